package main

import (
	"bytes"
	"errors"
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
	if err := c.startWithQuickJobs(); err != nil {
		return nil, err
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
