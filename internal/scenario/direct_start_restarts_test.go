package scenario

import (
	"os"
	"strconv"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
)

// TestRestartsAndRepeatedStarts guards against tasks that run twice, or after their user was told of a cancellation,
// where machines restart all the time while reports and direct starts are repeated, held back or lost, and leaders
// change. Copies of earlier starts arrive just after restarts. RESTART_DAYS sets the number of runs.
func TestRestartsAndRepeatedStarts(t *testing.T) {
	runs := 24
	if v, err := strconv.Atoi(os.Getenv("RESTART_DAYS")); err == nil {
		runs = v
	}
	runSeeds(t, runs, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, func(c *settings.Settings) {
			directDispatchSettings(c)
			c.Tunables.LapseShare = float64(seed%3) / 2
		})
		h.cloud.capacity = 8
		h.imageFetch = 5 * time.Millisecond // shorter than the leader takes to stop a task
		h.submitJob(0, eventlog.Job{Tasks: 4, Kind: jobs.Service, Priority: 1, Spot: true, Spread: true})
		for i := range 40 {
			h.submitJobAfter(time.Duration(i)*2*time.Second, time.Duration(3+h.random.IntN(40))*time.Second, eventlog.Job{
				Tasks: 1 + h.random.IntN(5), Priority: 1 + uint8(i%2), Spot: true, OneZone: i%7 == 3,
			})
		}
		for range 8 {
			h.after(time.Duration(5+h.random.IntN(80))*time.Second, func() { h.cancelJob(h.jobs[uint64(2+h.random.IntN(40))], 0) })
		}
		h.pollAll(2 * time.Second)
		h.duplicateDelay = 30 * time.Second
		sent := map[string][]effects.Dispatch{} // by machine
		h.holdDispatch = func(e effects.Dispatch) bool {
			sent[e.Address] = append(sent[e.Address], e)
			return h.random.IntN(6) == 0
		}
		restart := func(w *worker) {
			w.restartEmpty()
			for _, e := range sent[w.name] {
				if h.random.IntN(2) == 0 {
					h.cover("copy of a start after a restart")
					w.handleDirect(e.Token, e.Session, e.Starts, func(*workers.Report) {})
				}
			}
		}
		for range 30 {
			h.after(time.Duration(h.random.IntN(90_000))*time.Millisecond, func() { h.disturbMachine(restart) })
		}
		for range int(seed % 4) {
			h.after(time.Duration(10+h.random.IntN(70))*time.Second, func() { h.restartLeader(6 * time.Second) })
		}
		h.run(120 * time.Second)
		h.duplicateDelay = 0
		for _, j := range h.jobs {
			if j.spec.Job.Kind == jobs.Service {
				h.cancelJob(j, 0)
			}
		}
		return h.endFaultsAndSettle(10 * time.Minute)
	}, "copy of a start after a restart")
}

// disturbMachine restarts a random machine, or disturbs its network for a while and may restart it in between.
func (h *harness) disturbMachine(restart func(*worker)) {
	list := h.faults.pickMachines(1)
	if len(list) == 0 {
		return
	}
	w := list[0]
	kind := []string{"", "packets held", "inbound loss", "slow", "hung"}[h.random.IntN(5)]
	length := time.Duration(1+h.random.IntN(25)) * time.Second
	if kind != "" {
		h.injectMachineFault(kind, list, length)
	}
	if kind == "" || h.random.IntN(2) == 0 {
		h.after(time.Duration(h.random.Int64N(int64(length))), func() {
			if w.up && h.cloud.machines[w.name] == w {
				restart(w)
			}
		})
	}
}
