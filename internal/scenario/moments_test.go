package scenario

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/settings"
)

// TestUpAtOnce boots new machines before their rental is answered and gives them work at once, while
// writes are slow and the leader crashes just before or after each step from the rental to the first
// start. No task may run twice, no machine may be kept without work, and every job completes.
func TestUpAtOnce(t *testing.T) {
	var steps []string
	for _, step := range []string{
		"the rental noted",
		"the rental carried out",
		"the rental answered",
		"the answer noted",
		"the machine registered",
		"the grant noted",
		"the start carried out",
	} {
		steps = append(steps, "before "+step, "after "+step)
	}
	must := []string{"a machine up before its rental was answered"}
	for _, step := range steps {
		must = append(must, "the leader crashed "+step)
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
		times := 0 // how often the step has been reached; the leader crashes at one of them
		d.onStep = func(what string) {
			if what != step {
				return
			}
			if times++; times != 1+variant {
				return
			}
			if l := d.leader(); l != nil {
				d.cover("the leader crashed " + step)
				d.after(0, func() {
					if variant%2 == 1 { // and the next leader does not hear of the tasks that have just started
						for _, w := range d.machines() {
							if len(w.tasks) > 0 {
								d.injectMachineFault("packets held", []*worker{w}, 7*time.Second)
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
			t.Errorf("%d machines are kept although there is no work", len(d.machines()))
		}
		return d.sim
	}, must...)
}

// TestOnlyTheAnswerIsLost applies writes of every kind at once and loses only their answers, while other
// controllers read them. The leader continues or ends its term within seconds, no command is executed
// twice, and no user is told the opposite of an earlier answer.
func TestOnlyTheAnswerIsLost(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim { return lateWritesDay(t, seed, true) },
		"only the answer lost: log",
		"only the answer lost: removal of log",
		"only the answer lost: sizes",
		"only the answer lost: own/pools",
		"only the answer lost: own/run-times",
		"only the answer lost: hold",
		"only the answer lost: claim",
		"only the answer lost: renewal")
}
