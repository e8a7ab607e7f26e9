package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["rewritten"] = playRewritten }

// playRewritten keeps values as JSON values, and loses the answer to one transaction that was carried out.
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
	if err := c.awaitServing(20 * time.Second); err != nil {
		return nil, err
	}
	if !c.submit(batch("j-000001", "repayment-recon", 20, 1, 5)) {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	mu.Lock()
	armed = trouble
	mu.Unlock()
	if !c.submit(batch("j-000002", "repayment-recon", 20, 1, 5)) {
		return []string{"no submission was accepted for 60 s after one answer of the state service was lost"}, nil
	}
	return nil, nil
}
