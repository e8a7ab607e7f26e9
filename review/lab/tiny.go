package main

import (
	"fmt"
	"time"
)

func init() { cases["tiny"] = playTiny }

// playTiny submits one array of many tasks. With the disruption the tasks are so small that all of them fit on
// one machine; without it a machine holds eight.
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
	if err := c.awaitServing(20 * time.Second); err != nil {
		return nil, err
	}
	tasks, cpus, run := 120, 1.0, 5.0
	if trouble {
		tasks, cpus, run = 6000, 0.005, 5.0
	}
	if !c.submit(batch("j-000001", "repayment-recon", tasks, cpus, run)) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if c.awaitStanding("j-000001", "done", 95*time.Second) {
		return nil, nil
	}
	return []string{"an accepted job did not run"}, nil
}
