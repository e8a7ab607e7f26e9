package scenario

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
)

// captureArrayStart sends the starts of an array of two tasks directly to one worker in its first session, and lets
// the first task end. Its end is durable and it is reaped.
func (h *harness) captureArrayStart() *directStart {
	h.t.Helper()
	h.bootThirdMachine()
	var start *directStart
	h.holdDispatch = func(command effects.Dispatch) bool {
		if start == nil {
			start = &directStart{command: command, target: h.cloud.machines[command.Address]}
		}
		return false
	}
	j := h.submitJob(600*time.Second, eventlog.Job{Tasks: 2, Priority: 1, Spot: true})
	h.awaitRunning(j, 2)
	if start == nil || start.command.Session != workers.FirstSession || len(start.command.Starts) != 2 {
		h.t.Fatalf("the start is %+v", start)
	}
	start.job = j
	ended := task{j.id, 0}
	start.target.complete(ended, start.target.tasks[ended])
	if !h.runUntil(2*time.Minute, func() bool { return len(start.target.ended) == 0 }) {
		h.t.Fatal("the ended task is not reaped")
	}
	return start
}

// TestRepeatOfEndedTaskAfterCancellation guards against a task of a cancelled job that starts again, although it was
// done, because a repeat of its start arrives after the machine's restart.
func TestRepeatOfEndedTaskAfterCancellation(t *testing.T) {
	runSeeds(t, 8, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, directDispatchSettings)
		start := h.captureArrayStart()
		h.cancelAndRepeat(start.job, start)
		return h.endFaultsAndSettle(10 * time.Minute)
	})
}

// TestRepeatAfterTakeoverAndCancellation guards against a next leader that tells a user of a cancellation without
// knowing which machines may repeat the starts of its predecessors, also once the log was compacted.
func TestRepeatAfterTakeoverAndCancellation(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, func(c *settings.Settings) {
			directDispatchSettings(c)
			if seed%2 == 0 {
				c.Deployment.State.ValueKB = 0.8 // the log is compacted all the time
			}
		})
		start := h.captureArrayStart()
		for range 1 + seed%3 {
			h.restartLeader(6 * time.Second)
			h.run(3 * time.Second)
			h.awaitLeader()
			h.run(time.Duration(seed) * time.Second)
		}
		h.cancelAndRepeat(start.job, start)
		return h.endFaultsAndSettle(10 * time.Minute)
	})
}

// TestCancellationDeletesOnlyItsMachine bounds the cost of a cancelled job whose start was sent in a worker's first
// session: the one machine that has it, and half of the time allowed.
func TestCancellationDeletesOnlyItsMachine(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		runSeeds(t, 8, func(t *testing.T, seed uint64) *sim {
			h := newHarness(t, seed, directDispatchSettings)
			h.bootThirdMachine()
			j, start := h.captureDirectStart(600*time.Second, false)
			h.awaitRunning(j, 1)
			deletions := h.cloud.deletions
			if takeover {
				h.restartLeader(6 * time.Second)
				h.run(3 * time.Second)
				h.awaitLeader()
				h.run(8 * time.Second)
			}
			h.cancelJob(j, 0)
			// Half of the time allowed, and the time for the cloud's answer.
			limit := settingsSeconds(h.cfg.Deployment.Workers.CancelS)/2 + 5*time.Second
			if !h.runUntil(limit, func() bool { return j.reportedCancelled }) {
				t.Errorf("the job is %s after %v", j.state, limit)
			}
			if n := h.cloud.deletions - deletions; n != 1 || start.target.up {
				t.Errorf("%d machines were deleted, and that of the start is up: %v", n, start.target.up)
			}
			return h.endFaultsAndSettle(10 * time.Minute)
		})
	}
}

// TestRepeatInLaterSession guards against a task of a cancelled job that starts again although its start was sent in
// a session that a new incarnation of the worker refuses, so that the machine is kept.
func TestRepeatInLaterSession(t *testing.T) {
	runSeeds(t, 8, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, lapsingSettings)
		j, start := h.captureLaterStart()
		h.awaitRunning(j, 1)
		deletions := h.cloud.deletions
		h.cancelAndRepeat(j, start)
		if h.cloud.deletions > deletions {
			t.Errorf("%d machines were deleted for a cancellation", h.cloud.deletions-deletions)
		}
		return h.endFaultsAndSettle(10 * time.Minute)
	})
}

// TestRepeatAfterLeaseWithoutAnswer guards against a task of a cancelled job that starts again because its machine
// restarts, gets no answer for a whole lease and cannot be deleted meanwhile, and a repeat of a start that was sent
// in a later session arrives before the first answer.
func TestRepeatAfterLeaseWithoutAnswer(t *testing.T) {
	h := newHarness(t, 1, lapsingSettings)
	j, start := h.captureLaterStart()
	h.awaitRunning(j, 1)
	h.cancelJob(j, 0)
	if !h.runUntil(time.Minute, func() bool { return j.reportedCancelled }) {
		t.Fatalf("the job is %s", j.state)
	}
	h.run(settingsSeconds(h.cfg.Deployment.Workers.CancelS) + time.Second)
	h.partitions = append(h.partitions, &partition{host: "cloud"})
	start.target.restartEmpty()
	h.inboundLost[start.target.name] = true
	h.run(settingsSeconds(h.cfg.Deployment.Workers.LeaseS) + time.Second)
	delete(h.inboundLost, start.target.name)
	h.heal("cloud")
	h.repeatStart(start)
	h.run(2 * time.Second)
	h.endFaultsAndSettle(10 * time.Minute)
}

// TestServicesStartDirectlyInLaterSessions guards against replicas that wait for reports although the workers are in
// later sessions, and against machines that are deleted when services are cancelled.
func TestServicesStartDirectlyInLaterSessions(t *testing.T) {
	runSeeds(t, 8, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, lapsingSettings)
		h.warmUp(3*time.Second, eventlog.Job{Tasks: 12, Priority: 1, Spot: false})
		h.run(60 * time.Second)
		deletions := h.cloud.deletions
		h.holdDispatch = func(effects.Dispatch) bool { h.cover("a replica started directly"); return false }
		j := h.submitJob(0, eventlog.Job{Kind: jobs.Service, Tasks: 3, Priority: 1})
		h.awaitRunning(j, 3)
		h.cancelJob(j, 0)
		if !h.runUntil(12*time.Second, func() bool { return j.reportedCancelled }) {
			t.Errorf("the job is %s", j.state)
		}
		if h.cloud.deletions > deletions {
			t.Errorf("%d machines were deleted for a cancellation", h.cloud.deletions-deletions)
		}
		return h.endFaultsAndSettle(10 * time.Minute)
	}, "a replica started directly")
}

// TestLapsesAreBounded guards against more empty workers without answers at a time than the setting allows, and
// against machines that are given up because of it.
func TestLapsesAreBounded(t *testing.T) {
	runSeeds(t, 8, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, func(c *settings.Settings) {
			directDispatchSettings(c)
			c.Tunables.LapseShare = 0.5
		})
		h.cloud.capacity = 8
		first := h.submitJob(20*time.Second, eventlog.Job{Tasks: 32, Priority: 1, Spot: true})
		h.pollAll(2 * time.Second)
		if !h.runUntil(5*time.Minute, func() bool { return first.reportedDone }) {
			t.Fatalf("the first job is %s", first.state)
		}
		deletions, machines := h.cloud.deletions, len(h.machines())
		if machines < 4 {
			t.Fatalf("only %d machines are up", machines)
		}
		sessions := map[string]uint64{}
		for _, w := range h.machines() {
			sessions[w.name] = w.session
		}
		h.runUntil(2*time.Minute, func() bool {
			begun := 0
			for _, w := range h.machines() {
				if w.session > sessions[w.name] {
					begun++
				}
				sessions[w.name] = w.session
			}
			if begun > (machines+1)/2 {
				t.Errorf("%d of %d workers began a session at once", begun, machines)
			}
			return false
		})
		for _, w := range h.machines() {
			if w.session != workers.FirstSession+1 {
				t.Errorf("%s is in session %d", w.name, w.session)
			}
		}
		if h.cloud.deletions > deletions {
			t.Errorf("%d machines were deleted", h.cloud.deletions-deletions)
		}
		return h.endFaultsAndSettle(10 * time.Minute)
	})
}

// TestLapsesDoNotStarveJobs guards against a gang that never starts because the machines that are rented for it are
// left without answers, returned as idle and rented again.
func TestLapsesDoNotStarveJobs(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, func(c *settings.Settings) {
			lapsingSettings(c)
			c.Tunables.ReadyWindowS = 0 // idle machines are returned at once
		})
		h.pollAll(2 * time.Second)
		gang := eventlog.Job{Class: "long", Kind: jobs.Gang, Tasks: 2, CPUs: 3, Spread: true, Spot: seed%2 == 0}
		j := h.submitJob(10*time.Second, gang)
		if !h.runUntil(4*time.Minute, func() bool { return j.reportedDone }) {
			t.Errorf("the job is %s", j.state)
		}
		return h.endFaultsAndSettle(15 * time.Minute)
	})
}
