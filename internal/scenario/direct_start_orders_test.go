package scenario

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
)

// directStart is a start that was sent directly to a worker. A test delivers copies of it.
type directStart struct {
	command effects.Dispatch
	target  *worker
}

// repeatStart delivers a copy of a start. For a moment packets of the machine take so long that the task has
// its image before the leader can stop it.
func (h *harness) repeatStart(start *directStart) {
	name := start.target.name
	h.latency[name] = 400 * time.Millisecond
	h.after(time.Second, func() { delete(h.latency, name) })
	start.target.handleDirect(start.command.Token, start.command.Session, start.command.Starts, func(*workers.Report) {})
}

// captureDirectStart submits a job of one task, and returns the start of the task that is sent directly to
// a worker. The worker of a young machine is in its first session and has sent few reports. With held, the
// command is held back, and the leader gets no answer.
func (h *harness) captureDirectStart(run time.Duration, held bool) (*userJob, *directStart) {
	h.t.Helper()
	var start *directStart
	h.holdDispatch = func(command effects.Dispatch) bool {
		if start != nil {
			return false
		}
		start = &directStart{command, h.cloud.machines[command.Address]}
		return held
	}
	j := h.submitJob(run, eventlog.Job{Priority: 1, Spot: true})
	if !h.runUntil(5*time.Second, func() bool { return start != nil }) {
		h.t.Fatal("no start was sent directly to a worker")
	}
	h.run(100 * time.Millisecond)
	return j, start
}

// bootThirdMachine fills two machines, and waits until a third one that was rented for one more task has
// begun it. Only the third has room then; each of the others has room again some seconds later.
func (h *harness) bootThirdMachine() {
	h.t.Helper()
	h.submitJob(300*time.Second, eventlog.Job{Class: "long", Tasks: 6, Priority: 1, Spot: true})
	short := h.submitJob(12*time.Second, eventlog.Job{Class: "short", Tasks: 2, Priority: 1, Spot: true})
	h.pollAll(2 * time.Second)
	h.awaitRunning(short, 2)
	h.awaitRunning(h.submitJob(300*time.Second, eventlog.Job{Class: "long", Priority: 1, Spot: true}), 1)
}

// TestRepeatAfterRestartOfYoungMachine guards against a task that runs twice because its start, which was
// answered, is repeated after a restart that nobody noticed (review/1). The machine has sent so few reports
// that those of its new incarnation pass them within a report interval.
func TestRepeatAfterRestartOfYoungMachine(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, directDispatchSettings)
		h.bootThirdMachine()
		j, start := h.captureDirectStart(60*time.Second, false)
		start.target.restartEmpty()
		h.run(time.Duration(5+seed) * time.Second)
		if h.tasksOnMachines(j.id) > 0 {
			h.cover("the task runs again when the start is repeated")
		}
		h.repeatStart(start)
		h.run(20 * time.Second)
		return h.endFaultsAndSettle(5 * time.Minute)
	}, "the task runs again when the start is repeated")
}
