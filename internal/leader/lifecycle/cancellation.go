package lifecycle

import (
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
)

// maxCancelRequests bounds the requests that wait for one cancellation. A client whose request
// is not answered in time is asked to retry after a second.
const maxCancelRequests = 64

// Cancel cancels a job: its tasks are stopped at once, and the request is answered once none
// of its tasks is left on any machine. A client whose request times out repeats it.
func (c *Component) Cancel(now time.Duration, to effects.RequestID, id uint64) {
	if _, final := c.Jobs.FinalPhase(id); final {
		state, _ := c.jobState(id)
		c.reply(to, state)
		return
	}
	j := c.Jobs.ByID(id)
	if j == nil {
		c.reply(to, effects.Answer{Status: statusNotFound, Why: "no such job"})
		return
	}
	c.addCancelRequest(to, id)
	if j.Phase == jobs.Cancelling || j.Finished == len(j.Tasks) {
		return // answered by whichever becomes durable first, the cancellation or the completion
	}
	j.CancelRequestedAt = now
	if j.Phase == jobs.Accepting {
		if !j.CancelPending { // it has no task before its acceptance is durable
			c.appendCancellation(now, j)
		}
		return
	}
	j.Phase = jobs.Cancelling
	c.cancelling[id] = j
	c.stopTasks(j)
}

// addCancelRequest keeps a request until the cancellation is durable. If there are too many,
// it drops the oldest, whose client was asked to retry long before.
func (c *Component) addCancelRequest(to effects.RequestID, id uint64) {
	if requests := c.cancelRequests[id]; len(requests) >= maxCancelRequests {
		c.cancelRequests[id] = slices.Delete(requests, 0, 1)
	}
	c.cancelRequests[id] = append(c.cancelRequests[id], to)
}

// stopTasks stops all tasks of a job that is being cancelled.
func (c *Component) stopTasks(j *jobs.Job) {
	machines := map[*workers.Machine]bool{}
	for k, state := range j.Tasks {
		p := c.Placements[workers.TaskRef{Job: j.Index, Task: int32(k)}]
		if state != jobs.Placed || p == nil {
			continue
		}
		if p.Planned {
			c.CancelPlan(p)
			continue
		}
		if c.AwaitingRestart[p.Ref] != nil {
			c.ReleaseOrRestart(p, true)
			continue
		}
		p.Stopping, p.GraceSeconds = true, 0
		machines[p.Machine] = true
	}
	for m := range machines {
		c.SendStops(m)
	}
}

// appendCancellations appends cancellations to the log, in the order of their jobs' ids.
//
// A cancellation is written and confirmed only once no task of the job is on any machine, or
// can be, and each machine is deleted on which a copy of a direct start could still start one after a
// restart. Then no later failure or change of leader can leave a task of it running. Confirming
// earlier failed when the state service refused first the leader alone and then all controllers:
// a new leader confirmed cancellations while the old one, which could not learn of them, kept
// the leases of its workers alive.
func (c *Component) appendCancellations(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.cancelling)) {
		j := c.cancelling[id]
		c.releaseConfirmed(j)
		switch {
		case j.Finished == len(j.Tasks): // its tasks completed before they could be stopped
			delete(c.cancelling, id)
		case c.Quiescent(j) && len(c.FirstSessionStarts[j.Index]) == 0:
			delete(c.cancelling, id)
			c.appendCancellation(now, j)
		}
	}
}

// releaseConfirmed releases the tasks of a job that is being cancelled that awaited their restart until a report
// showed that their starts had arrived.
func (c *Component) releaseConfirmed(j *jobs.Job) {
	if len(c.AwaitingRestart) == 0 {
		return
	}
	for k := range j.Tasks {
		if p := c.AwaitingRestart[workers.TaskRef{Job: j.Index, Task: int32(k)}]; p != nil {
			c.ReleaseOrRestart(p, true)
		}
	}
}

// appendCancellation appends the cancellation of a job to the log.
func (c *Component) appendCancellation(now time.Duration, j *jobs.Job) {
	j.CancelPending = true
	took := now - j.CancelRequestedAt
	c.cancelSeconds.Observe(j.Record.Class, took.Seconds())
	c.LogMessage(effects.Debug, "cancelled job left no tasks",
		"job", j.Record.ID,
		"class", j.Record.Class,
		"after", took.Round(time.Millisecond))
	c.EventLog.AppendTracked(eventlog.Entry{Cancel: &j.Record.ID})
}

// cancellationDurable applies a cancellation that is durable, unless the job is over.
func (c *Component) cancellationDurable(leaseValid bool, id uint64) {
	if j := c.Jobs.ByID(id); j != nil && j.Phase != jobs.Done && j.Phase != jobs.Cancelled {
		c.applyCancellation(leaseValid, j)
	}
	c.answerCancellations(leaseValid, id)
}

// applyCancellation cancels a job, because its own cancellation or that of a job it depends on
// is durable, and all jobs that depend on it.
func (c *Component) applyCancellation(leaseValid bool, j *jobs.Job) {
	dependencies, dependents := c.Jobs.TransitiveDependencies(j), c.Jobs.TransitiveDependents(j)
	c.finishCancelled(j)
	for _, dependent := range dependents {
		c.finishCancelled(dependent)
		c.Counts.CancelSpread++
		c.LogMessage(effects.Info, "job cancelled with a dependency", "job", dependent.Record.ID, "needs", j.Record.ID)
		c.answerCancellations(leaseValid, dependent.Record.ID)
	}
	c.restorePriorities(dependencies)
}

// finishCancelled ends a cancelled job that has no tasks on any machine.
func (c *Component) finishCancelled(j *jobs.Job) {
	j.Phase = jobs.Cancelled
	delete(c.cancelling, j.Record.ID)
	c.Jobs.RecordFinalPhase(j.Record.ID, jobs.Cancelled)
	c.Jobs.RemoveFromGraph(j)
	c.Estimator.Remove(j.Index, false, 0, 0)
	c.RemoveIfFinished(j)
	c.NeedsCycle = true
}
