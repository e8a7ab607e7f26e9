package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["unknown"] = playUnknown }

// playUnknown submits a job of two tasks. With the disruption the submission has a field that is not in the
// protocol.
func playUnknown(rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(rec, lendingSite())
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.start(); err != nil {
		return nil, err
	}
	if err := c.awaitServing(); err != nil {
		return nil, err
	}
	j := batch("j-000001", "fraud-screen", 2, 1, 5)
	c.jobs[j.ID] = j
	body, err := json.Marshal(j)
	if err != nil {
		return nil, err
	}
	text := string(body)
	if trouble {
		text = strings.TrimSuffix(text, "}") + `,"HEAD":4}`
	}
	accepted := false
	for n := 0; n < 20 && !accepted; n++ {
		status, answer := request(http.MethodPost, "http://"+c.public[n%3]+"/api/jobs", []byte(text), 5*time.Second)
		rec.add("user: submit %s: %d %s", text, status, answer)
		accepted = status == http.StatusCreated || status == http.StatusOK
		time.Sleep(time.Second)
	}
	if !accepted {
		return nil, errors.New("the job was not accepted")
	}
	finished := c.awaitStanding(j.ID, "done", 60*time.Second)
	var broken []string
	for _, task := range c.audit.unknownStarts() {
		broken = append(broken, fmt.Sprintf("a worker was told to start %s, which nobody submitted", task))
	}
	if !finished {
		broken = append(broken, "an accepted job whose two tasks have completed is not called done")
	}
	return broken, nil
}
