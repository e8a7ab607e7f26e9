package main

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["held"] = playHeld }

const (
	interruptedFor = 20 * time.Second // from the first direct command that is held back
	restartBefore  = 3 * time.Second  // the end of the interruption
)

// playHeld interrupts the network between the leader and one machine as the leader sends it a direct command. The
// machine goes on reporting to the other controllers. Some seconds before the interruption ends, the machine
// restarts.
func playHeld(rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(rec, leasingSite())
	if err != nil {
		return nil, err
	}
	defer c.stop()
	var mu sync.Mutex
	var cut *worker
	var cutAt time.Time
	c.beforeCommand = func(w *worker, path string, body []byte) {
		mu.Lock()
		defer mu.Unlock()
		if cut != nil || path != "/do" || !bytes.Contains(body, []byte(`"start"`)) {
			return
		}
		if leader, err := c.leader(); err == nil {
			cut, cutAt = w, time.Now()
			if trouble {
				w.interrupt(leader)
			}
		}
	}
	if err := c.start(); err != nil {
		return nil, err
	}
	if err := c.awaitServing(20 * time.Second); err != nil {
		return nil, err
	}
	// Three machines and a part of a fourth get full. Seven places on them are free again after some seconds.
	if !c.submit(batch("j-000001", "contract-batch", 93, 1, 110)) || !c.submit(batch("j-000002", "contract-batch", 7, 1, 6)) {
		return nil, errors.New("the first jobs were not accepted")
	}
	for n := 0; n < 200 && c.audit.starts("j-000002/6") == 0; n++ {
		time.Sleep(100 * time.Millisecond)
	}
	for n := range quickChecks {
		if !c.submit(batch(fmt.Sprintf("j-%06d", 10+n), "dawn-checks", 1, 1, 40)) {
			return nil, errors.New("a quick job was not accepted")
		}
	}
	time.Sleep(time.Second)
	mu.Lock()
	w, at := cut, cutAt
	mu.Unlock()
	if w == nil {
		return nil, errors.New("the leader sent no direct command")
	}
	if trouble {
		time.Sleep(time.Until(at.Add(interruptedFor - restartBefore)))
		w.restart()
		time.Sleep(time.Until(at.Add(interruptedFor)))
		w.heal()
	}
	time.Sleep(time.Until(at.Add(interruptedFor + 10*time.Second)))
	return c.audit.violations(), nil
}
