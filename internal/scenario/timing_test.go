package scenario

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/settings"
)

// TestMachineUpBeforeRentalAnswer boots new machines before their rental is answered and gives them work
// at once, while writes are slow and the leader crashes just before or after each step from the rental to
// the first start. No task may run twice, no machine may be kept without work, and every job completes.
func TestMachineUpBeforeRentalAnswer(t *testing.T) {
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
	requiredCoverage := []string{"a machine up before its rental was answered"}
	for _, step := range steps {
		requiredCoverage = append(requiredCoverage, "the leader crashed "+step)
	}
	runSeeds(t, 4*len(steps), func(t *testing.T, seed uint64) *sim {
		step, variant := steps[int(seed)%len(steps)], int(seed)/len(steps)
		h := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams[0].CPUsMax = 24
			if variant%2 == 1 {
				c.Tunables.MaxPushDispatches = 8
				c.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 0.5}}
			}
		})
		h.cloud.bootTime, h.cloud.answerDelay = 0, 1500*time.Millisecond
		h.awaitLeader()
		h.latency["state"] = time.Duration(50+300*variant) * time.Millisecond
		h.after(40*time.Second, func() { delete(h.latency, "state") })
		reached := 0 // how often the step has been reached; the leader crashes at one of them
		h.onStep = func(what string) {
			if what != step {
				return
			}
			if reached++; reached != 1+variant {
				return
			}
			if leader := h.leader(); leader != nil {
				h.cover("the leader crashed " + step)
				h.after(0, func() {
					if variant%2 == 1 { // and the next leader does not hear of the tasks that have just started
						for _, w := range h.machines() {
							if len(w.tasks) > 0 {
								h.injectMachineFault("packets held", []*worker{w}, 7*time.Second)
							}
						}
					}
					leader.crash()
					h.faults.restartAfter(leader, []time.Duration{200 * time.Millisecond, 8 * time.Second}[variant/2])
				})
			}
		}
		for i := range 10 {
			h.submitJob(time.Duration(6+i)*time.Second, eventlog.Job{Tasks: 2 + i%4, Kind: uint8(i / 8), Priority: 1, Spot: i%3 > 0})
			h.run(1200 * time.Millisecond)
		}
		h.pollAll(time.Second)
		h.run(40 * time.Second)
		h.endFaultsAndSettle(5 * time.Minute)
		if !h.runUntil(3*time.Minute, func() bool { return len(h.machines()) <= 2 }) {
			t.Errorf("%d machines are kept although there is no work", len(h.machines()))
		}
		return h.sim
	}, requiredCoverage...)
}

// TestWriteAnswersLost applies writes of every kind at once and loses only their answers, while other
// controllers read them. The leader continues or ends its term within seconds, no command is executed
// twice, and no user is told the opposite of an earlier answer.
func TestWriteAnswersLost(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim { return simulateLateWrites(t, seed, true) },
		"only the answer lost: log",
		"only the answer lost: removal of log",
		"only the answer lost: sizes",
		"only the answer lost: own/pools",
		"only the answer lost: own/run-times",
		"only the answer lost: hold",
		"only the answer lost: claim",
		"only the answer lost: renewal")
}
