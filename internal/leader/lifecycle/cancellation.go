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

// maxCancelRequests bounds those who wait to be told of one cancellation: each is told to
// come back after a second.
const maxCancelRequests = 64

// Cancel cancels a job: its tasks are stopped at once, and its user is told once nothing of
// it is left anywhere. A user who cannot be told in time asks again.
func (c *Component) Cancel(now time.Duration, to effects.RequestID, id uint64) {
	if _, over := c.Jobs.FinalPhase(id); over {
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
		return // answered with what becomes durable first
	}
	j.CancelAskedAt = now
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

// addCancelRequest keeps a request until the cancellation is durable, and drops the oldest
// one where there are too many: it was told to come back long ago.
func (c *Component) addCancelRequest(to effects.RequestID, id uint64) {
	if list := c.cancelRequests[id]; len(list) >= maxCancelRequests {
		c.cancelRequests[id] = slices.Delete(list, 0, 1)
	}
	c.cancelRequests[id] = append(c.cancelRequests[id], to)
}

// stopTasks stops all tasks of a job that is to be cancelled.
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
		p.Stopping, p.GraceSeconds = true, 0
		machines[p.Machine] = true
	}
	for m := range machines {
		c.SendStops(m)
	}
}

// appendCancellations hands cancellations to the log, in the order of their jobs' ids.
//
// A cancellation becomes durable, and its user is told, only once nothing of the job is on
// any machine, nor can be. Found on days on which the state service refused the leader
// alone and then everybody: another leader had confirmed cancellations, the old one kept
// its workers alive, and nobody who knew of the one could reach the other. Whatever fails
// after the user was told, and whoever then leads, answers workers or knows of nothing:
// there is nothing left that could run.
func (c *Component) appendCancellations(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.cancelling)) {
		switch j := c.cancelling[id]; {
		case j.Finished == len(j.Tasks): // done before it could be stopped
			delete(c.cancelling, id)
		case c.Quiescent(j):
			delete(c.cancelling, id)
			c.appendCancellation(now, j)
		}
	}
}

// appendCancellation hands the cancellation of a job to the log.
func (c *Component) appendCancellation(now time.Duration, j *jobs.Job) {
	j.CancelPending = true
	took := now - j.CancelAskedAt
	c.cancelSeconds.Observe(j.Record.Class, took.Seconds())
	c.LogMessage(effects.Debug, "cancelled job left no tasks",
		"job", j.Record.ID,
		"class", j.Record.Class,
		"after", took.Round(time.Millisecond))
	c.EventLog.AppendTracked(eventlog.Entry{Cancel: &j.Record.ID})
}

// cancellationDurable acts on a cancellation that is durable, unless the job is over.
func (c *Component) cancellationDurable(leaseValid bool, id uint64) {
	if j := c.Jobs.ByID(id); j != nil && j.Phase != jobs.Done && j.Phase != jobs.Cancelled {
		c.applyCancellation(leaseValid, j)
	}
	c.answerCancellations(leaseValid, id)
}

// applyCancellation acts on a durable cancellation, of a job or of one that it depends on,
// and on all that depend on it.
func (c *Component) applyCancellation(leaseValid bool, j *jobs.Job) {
	dependencies, dependents := c.Jobs.TransitiveDependencies(j), c.Jobs.TransitiveDependents(j)
	c.purge(j)
	for _, dependent := range dependents {
		c.purge(dependent)
		c.Counts.CancelSpread++
		c.LogMessage(effects.Info, "job cancelled with a dependency", "job", dependent.Record.ID, "needs", j.Record.ID)
		c.answerCancellations(leaseValid, dependent.Record.ID)
	}
	c.restorePriorities(dependencies)
}

// purge ends one job that is cancelled, none of whose tasks is anywhere.
func (c *Component) purge(j *jobs.Job) {
	j.Phase = jobs.Cancelled
	delete(c.cancelling, j.Record.ID)
	c.Jobs.RecordFinalPhase(j.Record.ID, jobs.Cancelled)
	c.Jobs.RemoveDependency(j)
	c.Estimator.Remove(j.Index, false, 0, 0)
	c.RemoveIfFinished(j)
	c.NeedsCycle = true
}
