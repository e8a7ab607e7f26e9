package scenario

import (
	"cmp"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
)

// directStart is a start that was sent directly to a worker. A test delivers copies of it.
type directStart struct {
	command effects.Dispatch
	target  *worker
	job     *userJob
}

// repeatStart delivers a copy of a start. For a moment packets of the machine take so long that the task has
// its image before the leader can stop it.
func (h *harness) repeatStart(start *directStart) {
	h.delayPackets(start.target)
	start.target.handleDirect(start.command.Token, start.command.Session, start.command.Starts, func(*workers.Report) {})
}

// delayPackets delays the packets from and to a machine for a second.
func (h *harness) delayPackets(w *worker) {
	h.latency[w.name] = 400 * time.Millisecond
	h.after(time.Second, func() { delete(h.latency, w.name) })
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
		start = &directStart{command: command, target: h.cloud.machines[command.Address]}
		return held
	}
	j := h.submitJob(run, eventlog.Job{Priority: 1, Spot: true})
	if !h.runUntil(5*time.Second, func() bool { return start != nil }) {
		h.t.Fatal("no start was sent directly to a worker")
	}
	start.job = j
	h.run(100 * time.Millisecond)
	return j, start
}

// captureLaterStart is captureDirectStart for a start that is sent in the second session of a worker, which new
// incarnations of the worker refuse. It needs the settings of lapsingSettings.
func (h *harness) captureLaterStart() (*userJob, *directStart) {
	h.t.Helper()
	h.warmUp(3*time.Second, eventlog.Job{Tasks: 12, Priority: 1, Spot: true})
	h.run(60 * time.Second)
	j, start := h.captureDirectStart(600*time.Second, false)
	if start.command.Session <= workers.FirstSession {
		h.t.Fatal("the start was sent in the first session")
	}
	return j, start
}

// lapsingSettings is directDispatchSettings where empty workers are left without answers until their first lease
// has expired.
func lapsingSettings(c *settings.Settings) {
	directDispatchSettings(c)
	c.Tunables.LapseShare = 1
}

// bootThirdMachine fills two machines, and waits until a third one that was rented for one more task has
// begun it. Only the third has room then. Once the job that it returns is cancelled, each of the others has
// room that fits one task exactly, so that they are preferred.
func (h *harness) bootThirdMachine() *userJob {
	h.t.Helper()
	h.submitJob(300*time.Second, eventlog.Job{Class: "long", Tasks: 6, Priority: 1, Spot: true})
	others := h.submitJob(300*time.Second, eventlog.Job{Class: "long", Tasks: 2, Priority: 1, Spot: true})
	h.pollAll(2 * time.Second)
	h.awaitRunning(others, 2)
	h.awaitRunning(h.submitJob(300*time.Second, eventlog.Job{Class: "long", Priority: 1, Spot: true}), 1)
	return others
}

// TestRepeatAfterRestartOfYoungMachine guards against a task that runs twice because its start, which was
// answered, is repeated after a restart that nobody noticed (review/1). The machine has sent so few reports
// that those of its new incarnation pass them within a report interval.
func TestRepeatAfterRestartOfYoungMachine(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, directDispatchSettings)
		others := h.bootThirdMachine()
		j, start := h.captureDirectStart(60*time.Second, false)
		h.cancelJob(others, 0)
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

// TestHeldStartAfterRestart guards against a task that runs twice because its start, which had no answer, arrives
// when the machine has restarted after it had reported a higher token without the task (review/2).
func TestHeldStartAfterRestart(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, directDispatchSettings)
		others := h.bootThirdMachine()
		j, start := h.captureDirectStart(60*time.Second, true)
		h.cancelJob(others, 0)
		h.run(time.Duration(10+seed) * time.Second)
		if h.tasksOnMachines(j.id) > 0 {
			h.cover("the task runs when the machine restarts")
		}
		h.delayPackets(start.target)
		start.target.restartEmpty()
		h.repeatStart(start)
		h.run(20 * time.Second)
		return h.endFaultsAndSettle(5 * time.Minute)
	}, "the task runs when the machine restarts")
}

// orderEvent is an event that may follow a direct start.
type orderEvent struct {
	name  string
	occur func(h *harness, start *directStart)
}

// orderEvents are the events whose orders TestOrdersAfterDirectStart enumerates.
var orderEvents = []orderEvent{
	{"restart", func(h *harness, start *directStart) { // a copy of the start may arrive before the new worker has a token
		if start.target.up {
			h.delayPackets(start.target)
			start.target.restartEmpty()
		}
	}},
	{"report", func(h *harness, _ *directStart) { h.run(7 * time.Second) }},
	{"copy", func(h *harness, start *directStart) { h.repeatStart(start); h.run(2 * time.Second) }},
	{"takeover", func(h *harness, _ *directStart) {
		h.restartLeader(6 * time.Second)
		h.run(2 * time.Second)
		h.awaitLeader()
		h.run(6 * time.Second)
	}},
	{"session", func(h *harness, start *directStart) { // the worker's lease expires
		h.inboundLost[start.target.name] = true
		h.run(20 * time.Second)
		delete(h.inboundLost, start.target.name)
	}},
	{"controller", func(h *harness, start *directStart) { // the worker's controller is back within a second
		c := h.nodes[start.target.controllerIndex%len(h.nodes)]
		c.crash()
		h.faults.restartAfter(c, 400*time.Millisecond)
		h.run(2 * time.Second)
		h.awaitLeader()
	}},
	{"cancel", func(h *harness, start *directStart) {
		h.cancelJob(start.job, 0)
		if !h.runUntil(2*time.Minute, func() bool { return start.job.reportedCancelled || start.job.reportedDone }) {
			h.t.Errorf("its user has cancelled the job, which is %s", start.job.state)
		}
	}},
	{"end", func(h *harness, start *directStart) {
		for _, w := range h.machinesWithTasks(start.job) {
			t := task{start.job.id, 0}
			if run := w.tasks[t]; w.up && run.state == workers.Running {
				w.complete(t, run)
			}
		}
		h.run(time.Second)
	}},
	{"move", func(h *harness, start *directStart) { // the cloud takes the machine back
		if start.target.up && start.target.reclaimAt == 0 {
			start.target.reclaimAt = h.now + 10*time.Second
			start.target.reportSoon()
			h.after(10*time.Second, start.target.terminate)
			h.run(12 * time.Second)
		}
	}},
}

// ordersOf returns all orders of up to length events that end with a copy of the start.
func ordersOf(length int) [][]orderEvent {
	copyArrives := orderEvents[2]
	orders := [][]orderEvent{{copyArrives}}
	longest := orders
	for range length - 1 {
		var longer [][]orderEvent
		for _, order := range longest {
			for _, event := range orderEvents {
				longer = append(longer, append([]orderEvent{event}, order...))
			}
		}
		orders, longest = append(orders, longer...), longer
	}
	return orders
}

// TestOrdersAfterDirectStart enumerates the orders of the events that may follow a direct start: reports,
// restarts of its machine or a controller, later sessions, takeovers, the end of the task, its cancellation or move,
// and copies of the start. In no order may the task run twice, or start once its user was told that its job is
// cancelled. If it has neither ended nor been cancelled, it must run in the end. ORDER_LENGTH sets the number of events.
func TestOrdersAfterDirectStart(t *testing.T) {
	length, err := strconv.Atoi(cmp.Or(os.Getenv("ORDER_LENGTH"), "3"))
	if err != nil {
		t.Fatal(err)
	}
	for _, order := range ordersOf(length) {
		var names []string
		for _, event := range order {
			names = append(names, event.name)
		}
		for kind, simulate := range startsToFollow {
			t.Run(kind+","+strings.Join(names, ","), func(t *testing.T) {
				t.Parallel()
				h, start := simulate(t)
				h.followStart(start, order)
			})
		}
	}
}

// startsToFollow are the direct starts that TestOrdersAfterDirectStart lets events follow: in the worker's first
// session with and without an answer, and in a later session.
var startsToFollow = map[string]func(t *testing.T) (*harness, *directStart){
	"answered": func(t *testing.T) (*harness, *directStart) { return startInFirstSession(t, false) },
	"held":     func(t *testing.T) (*harness, *directStart) { return startInFirstSession(t, true) },
	"later": func(t *testing.T) (*harness, *directStart) {
		h := newHarness(t, 1, lapsingSettings)
		_, start := h.captureLaterStart()
		return h, start
	},
}

// startInFirstSession sends a start directly to a worker in its first session. held is true if it is held back.
func startInFirstSession(t *testing.T, held bool) (*harness, *directStart) {
	h := newHarness(t, 1, directDispatchSettings)
	others := h.bootThirdMachine()
	_, start := h.captureDirectStart(600*time.Second, held)
	h.cancelJob(others, 0)
	return h, start
}

// followStart lets events follow a direct start, and checks the job in the end.
func (h *harness) followStart(start *directStart, order []orderEvent) {
	for _, event := range order {
		event.occur(h, start)
	}
	h.run(5 * time.Second)
	if !h.runUntil(90*time.Second, func() bool { return h.isSettled(start.job) }) {
		h.t.Errorf("%d tasks run, and the job is %s", h.runningTasks(start.job.id), start.job.state)
	}
	if len(h.check.violations) > 0 {
		h.t.Errorf("violated invariants: %s", strings.Join(h.check.violations, "\n"))
	}
}

// isSettled reports whether a job of one task is as its user expects: done, cancelled or running.
func (h *harness) isSettled(j *userJob) bool {
	switch {
	case h.check.allCompleted(j.id):
		return j.reportedDone || j.reportedCancelled
	case j.cancelRequested:
		return j.reportedCancelled && h.tasksOnMachines(j.id) == 0
	}
	return h.runningTasks(j.id) == 1
}

// TestCancelAfterTakeoverKeepsMachines guards against machines that are deleted although nothing is lost: the
// next leader must learn from reports that the starts of its predecessor have arrived, and from its records that
// they were sent in a later session than the first.
func TestCancelAfterTakeoverKeepsMachines(t *testing.T) {
	runSeeds(t, 8, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, lapsingSettings)
		j, _ := h.captureLaterStart()
		h.awaitRunning(j, 1)
		h.restartLeader(6 * time.Second)
		h.run(3 * time.Second)
		h.awaitLeader()
		h.run(8 * time.Second)
		deletions := h.cloud.deletions
		h.cancelJob(j, 0)
		if !h.runUntil(12*time.Second, func() bool { return j.reportedCancelled }) {
			t.Errorf("the job is %s", j.state)
		}
		if h.cloud.deletions > deletions {
			t.Errorf("%d machines were deleted for a cancellation", h.cloud.deletions-deletions)
		}
		return h.endFaultsAndSettle(10 * time.Minute)
	})
}

// TestHeldStartOfCancelledJob guards against a task of a cancelled job that starts because nothing has shown
// that its start arrived, and it arrives after the machine's restart, long after the user was told.
func TestHeldStartOfCancelledJob(t *testing.T) {
	runSeeds(t, 8, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, directDispatchSettings)
		h.bootThirdMachine()
		j, start := h.captureDirectStart(600*time.Second, true)
		h.run(time.Duration(seed%4) * 3 * time.Second)
		h.cancelAndRepeat(j, start)
		return h.endFaultsAndSettle(10 * time.Minute)
	})
}

// cancelAndRepeat cancels a job. Once its user has been told and the time allowed is over, the machine of a start
// of the job restarts, and a copy of the start arrives.
func (h *harness) cancelAndRepeat(j *userJob, start *directStart) {
	h.t.Helper()
	h.cancelJob(j, 0)
	if !h.runUntil(2*time.Minute, func() bool { return j.reportedCancelled }) {
		h.t.Fatalf("the job is %s", j.state)
	}
	h.run(settingsSeconds(h.cfg.Deployment.Workers.CancelS) + time.Second)
	if start.target.up {
		h.delayPackets(start.target)
		start.target.restartEmpty()
	}
	h.repeatStart(start)
	h.run(5 * time.Second)
}

// TestRepeatAfterCancellation guards against a task of a cancelled job that starts again because a repeat of its
// start, which was answered, arrives after the machine's restart, long after the user was told.
func TestRepeatAfterCancellation(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, directDispatchSettings)
		h.bootThirdMachine()
		j, start := h.captureDirectStart(600*time.Second, false)
		h.awaitRunning(j, 1)
		h.cancelAndRepeat(j, start)
		return h.endFaultsAndSettle(10 * time.Minute)
	})
}

// TestCancelAcrossTakeoverKeepsMachines guards against machines that are deleted for a cancellation although the
// next leader is shown that the starts of its predecessor had arrived: the tasks have ended by then.
func TestCancelAcrossTakeoverKeepsMachines(t *testing.T) {
	runSeeds(t, 8, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, lapsingSettings)
		j, _ := h.captureLaterStart()
		h.awaitRunning(j, 1)
		h.cancelJob(j, 0)
		h.run(time.Duration(seed) * 500 * time.Microsecond)
		h.restartLeader(6 * time.Second)
		h.cover("cancelled just before a takeover")
		deletions := h.cloud.deletions
		if !h.runUntil(25*time.Second, func() bool { return j.reportedCancelled }) {
			t.Errorf("the job is %s", j.state)
		}
		if h.cloud.deletions > deletions {
			t.Errorf("%d machines were deleted for a cancellation", h.cloud.deletions-deletions)
		}
		return h.endFaultsAndSettle(10 * time.Minute)
	})
}
