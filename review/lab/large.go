package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["large"] = playLarge }

const (
	largeValueKB  = 64.0 // the disruption: a value may be as large as a transaction
	ordinaryKB    = 32.0
	largeJobs     = 400
	jobsPerSecond = 40
)

// playLarge submits one-task jobs, until one is refused or for some seconds. Then it submits one more as users do, and
// asks for all of them.
func playLarge(rec *record, trouble bool) ([]string, error) {
	s := leasingSite()
	s.valueKB = ordinaryKB
	if trouble {
		s.valueKB = largeValueKB
	}
	c, err := newCluster(rec, s)
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
	if !c.submit(batch("j-000001", "contract-batch", 1, 1, 2)) {
		return nil, errors.New("the first job was not accepted")
	}
	var accepted []string
	for n := range largeJobs {
		j := batch(fmt.Sprintf("j-%06d", 2+n), "contract-batch", 1, 1, 2)
		c.mu.Lock()
		c.jobs[j.ID] = j
		c.mu.Unlock()
		body, err := json.Marshal(j)
		if err != nil {
			return nil, fmt.Errorf("encode a job: %w", err)
		}
		status, answer := request(http.MethodPost, "http://"+c.public[n%len(c.public)]+"/api/jobs", body, 5*time.Second)
		rec.add("user: submit %s: %d %s", j.ID, status, answer)
		if status != http.StatusCreated && status != http.StatusOK {
			break // the submissions after it are not needed
		}
		accepted = append(accepted, j.ID)
		time.Sleep(time.Second / jobsPerSecond)
	}
	last := time.Now()
	answered := make(chan bool, 1)
	go func() { answered <- c.submit(batch("j-900000", "contract-batch", 1, 1, 2)) }()
	var broken []string
	if !<-answered {
		broken = append(broken, "no answer: a submission was not answered for 60 s")
	}
	left := accepted
	for n := 0; len(left) > 0 && time.Since(last) < waitsAtMost; n++ {
		time.Sleep(2 * time.Second)
		var open []string
		for _, id := range left {
			if _, standing := c.poll(n%len(c.public), id); standing != "done" {
				open = append(open, id)
			}
		}
		left = open
	}
	if len(left) > 0 {
		broken = append(broken, fmt.Sprintf("forgotten work: %d of %d accepted jobs, each one task of 2 s, are not done %v after the "+
			"last of them was accepted; the first is %s", len(left), len(accepted), waitsAtMost, left[0]))
	}
	return broken, nil
}
