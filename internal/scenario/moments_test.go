package scenario

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/settings"
)

// TestUpAtOnce has new machines up before their rental is answered, with work for them at
// once, while writes lag and the leader ends just before or after each step from the rental to
// the first start: nothing runs twice, no machine is kept for nothing, and all is done.
func TestUpAtOnce(t *testing.T) {
	var steps []string
	for _, step := range []string{"the rental noted", "the rental carried out", "the rental answered", "the answer noted", "the machine registered", "the grant noted", "the start carried out"} {
		steps = append(steps, "before "+step, "after "+step)
	}
	must := []string{"a machine up before its rental was answered"}
	for _, step := range steps {
		must = append(must, "the leader ended "+step)
	}
	runSeeds(t, 4*len(steps), func(t *testing.T, seed uint64) *sim {
		step, variant := steps[int(seed)%len(steps)], int(seed)/len(steps)
		d := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams[0].CPUsMax = 24
			if variant%2 == 1 {
				c.Tunables.PushDispatches = 8
				c.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 0.5}}
			}
		})
		d.cloud.bootTime, d.cloud.answerDelay = 0, 1500*time.Millisecond
		d.awaitLeader()
		d.latency["state"] = time.Duration(50+300*variant) * time.Millisecond
		d.after(40*time.Second, func() { delete(d.latency, "state") })
		times := 0 // the step, by which the leader ends
		d.onStep = func(what string) {
			if what != step {
				return
			}
			if times++; times != 1+variant {
				return
			}
			if l := d.leader(); l != nil {
				d.cover("the leader ended " + step)
				d.after(0, func() {
					if variant%2 == 1 { // and what has just begun is not heard by the next one
						for _, w := range d.machines() {
							if len(w.tasks) > 0 {
								d.injectMachineFault("held", []*worker{w}, 7*time.Second)
							}
						}
					}
					l.crash()
					d.faults.restartAfter(l, []time.Duration{200 * time.Millisecond, 8 * time.Second}[variant/2])
				})
			}
		}
		for i := range 10 {
			d.submitJob(time.Duration(6+i)*time.Second, eventlog.Job{Tasks: 2 + i%4, Kind: uint8(i / 8), Priority: 1, Spot: i%3 > 0})
			d.run(1200 * time.Millisecond)
		}
		d.pollAll(time.Second)
		d.run(40 * time.Second)
		d.endFaultsAndSettle(5 * time.Minute)
		if !d.runUntil(3*time.Minute, func() bool { return len(d.machines()) <= 2 }) {
			t.Errorf("%d machines are kept though there is nothing to do", len(d.machines()))
		}
		return d.sim
	}, must...)
}

// TestOnlyTheAnswerIsLost has writes of every kind carried out at once, and only their answer
// lost, while other controllers read them: the leader goes on or ends its term within seconds,
// nothing is done twice, and nobody is told the opposite.
func TestOnlyTheAnswerIsLost(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim { return lateWritesDay(t, seed, true) },
		"only the answer lost: log", "only the answer lost: removal of log", "only the answer lost: sizes", "only the answer lost: own/pools", "only the answer lost: own/run-times",
		"only the answer lost: hold", "only the answer lost: claim", "only the answer lost: renewal")
}
