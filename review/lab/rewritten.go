package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["rewritten"] = playRewritten }

// playRewritten has a state service that keeps values as JSON values: what it returns has the same members, in the
// order of their names. The answer to one transaction that was carried out is lost.
func playRewritten(rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(rec, lendingSite())
	if err != nil {
		return nil, err
	}
	defer c.stop()
	c.rewrite = func(_ *http.Request, _ int, answer []byte) []byte {
		var v any
		d := json.NewDecoder(strings.NewReader(string(answer)))
		d.UseNumber()
		if d.Decode(&v) != nil {
			return answer
		}
		out, err := json.Marshal(v)
		if err != nil {
			return answer
		}
		return out
	}
	var mu sync.Mutex
	armed, lost := false, false
	c.answerDoor = func(r *http.Request, body []byte, status int) bool {
		mu.Lock()
		defer mu.Unlock()
		if !armed || lost || r.URL.Path != "/multi" || status != http.StatusOK || !strings.Contains(string(body), `"log/`) {
			return true
		}
		lost = true
		rec.add("the answer to a transaction that was carried out is lost: %s", body)
		return false
	}
	if err := c.start(); err != nil {
		return nil, err
	}
	if err := c.awaitServing(); err != nil {
		return nil, err
	}
	if !c.submit(batch("j-000001", "repayment-recon", 20, 1, 5)) {
		return nil, errors.New("the first job was not accepted")
	}
	accepted := time.Now()
	mu.Lock()
	armed = trouble
	mu.Unlock()
	other := make(chan bool, 1)
	go func() { other <- c.submit(batch("j-000002", "repayment-recon", 20, 1, 5)) }()
	for time.Since(accepted) < waitsAtMost && !c.audit.isDone("j-000001", 20) {
		time.Sleep(200 * time.Millisecond)
	}
	var broken []string
	if !c.audit.isDone("j-000001", 20) {
		broken = append(broken, fmt.Sprintf("forgotten work: %d of 20 tasks of an accepted job have completed %v after its acceptance",
			c.audit.doneTasks("j-000001"), waitsAtMost))
	}
	if !<-other {
		broken = append(broken, "no answer: a submission was not answered for 60 s")
	}
	return broken, nil
}
