package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["tiny"] = playTiny }

const (
	// waitsAtMost is how long a job may be left waiting while a machine that fits has room.
	waitsAtMost = 90 * time.Second
	tinyTasks   = 3000
)

// playTiny submits an array of 3000 tasks. With the disruption each takes a fiftieth of a processor, so that more
// than a thousand fit on one machine; without it each takes a half, and 64 fit.
func playTiny(rec *record, trouble bool) ([]string, error) {
	s := lendingSite()
	s.capacity = map[string]int{s.zones[0]: 2, s.zones[1]: 2}
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
	j := batch("j-000001", "repayment-recon", tinyTasks, 0.5, 20)
	j.Types, j.Mem, j.Size = []string{"trezor"}, 0.05, 0.4
	if trouble {
		j.CPUs = 0.02
	}
	if !c.submit(j) {
		return nil, errors.New("the job was not accepted")
	}
	accepted := time.Now()
	for time.Since(accepted) < waitsAtMost && (trouble || c.audit.allStarts() == 0) {
		c.poll(0, j.ID)
		time.Sleep(5 * time.Second)
	}
	var broken []string
	lines, largest := c.tooLargeLines()
	if lines > 0 {
		broken = append(broken, fmt.Sprintf("lines: %d responses to workers had a line over 64 KiB, the largest %d bytes", lines, largest))
	}
	if c.audit.allStarts() == 0 {
		broken = append(broken, fmt.Sprintf("forgotten work: no task of an accepted job has begun %v after its acceptance", waitsAtMost))
	}
	return broken, nil
}
