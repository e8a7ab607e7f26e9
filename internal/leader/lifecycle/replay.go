package lifecycle

import (
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
)

// Replay applies an entry of the log.
func (c *Component) Replay(now time.Duration, e eventlog.Entry) {
	switch {
	case e.FinalStates != nil:
		for _, id := range e.FinalStates.Done {
			c.replayFinalState(id, jobs.Done)
		}
		for _, id := range e.FinalStates.Cancelled {
			c.replayFinalState(id, jobs.Cancelled)
		}
	case e.Job != nil:
		c.replayJob(now, e.Job)
	case e.Cancel != nil:
		if j := c.Jobs.ByID(*e.Cancel); j != nil {
			c.replayFinalState(j.Record.ID, jobs.Cancelled)
		}
	case e.CompletedTasks != nil:
		c.replayCompleted(e.CompletedTasks)
	case e.Dependencies != nil:
		id := e.Dependencies.ID
		c.replayedDependencies[id] = append(c.replayedDependencies[id], *e.Dependencies)
	}
}

// replayJob adds a job to the table unless an earlier entry did, since a compaction may leave
// an entry in the log twice.
func (c *Component) replayJob(now time.Duration, rec *eventlog.Job) {
	if _, final := c.Jobs.FinalPhase(rec.ID); !final && c.Jobs.ByID(rec.ID) == nil {
		c.addJob(*rec, now)
	}
}

// replayCompleted marks tasks as durably done, and their job as done once all of them are.
func (c *Component) replayCompleted(done *eventlog.CompletedTasks) {
	if done.AtMS != 0 {
		c.replayedDoneAt[done.ID] = max(c.replayedDoneAt[done.ID], done.AtMS)
	}
	j := c.Jobs.ByID(done.ID)
	if j == nil {
		return
	}
	for _, r := range done.Ranges {
		for k := r[0]; k < r[1] && k < len(j.Tasks); k++ {
			j.MarkDurable(k)
		}
	}
	j.RunSeconds += done.Seconds
	j.RunCount += done.Known
	if j.DurableCount == len(j.Tasks) {
		c.Estimator.RestoreHistory(j.RunSeconds, j.RunCount)
		c.replayFinalState(j.Record.ID, jobs.Done)
	}
}

// replayFinalState records a final state, overriding any earlier entries of the job.
func (c *Component) replayFinalState(id uint64, phase jobs.Phase) {
	c.Jobs.RecordFinalPhase(id, phase)
	if j := c.Jobs.ByID(id); j != nil {
		c.Jobs.Remove(j)
	}
}

// Begin resolves the dependencies of all jobs and adds the open ones to the order.
func (c *Component) Begin(now time.Duration) {
	c.restoreDependencies(now)
	c.replayedDependencies, c.replayedDoneAt = nil, nil
	for _, j := range c.Jobs.All() {
		if j == nil {
			continue
		}
		c.resolveTypes(j)
		if j.Record.Kind == jobs.Service || j.Phase == jobs.Held {
			continue
		}
		c.restoreSize(j)
	}
}

// restoreSize adds an open job and its completed tasks to the size estimator.
func (c *Component) restoreSize(j *jobs.Job) {
	c.Estimator.Add(j.Index, j.Team, len(j.Tasks), j.Record.CPUs, j.Record.Kind == jobs.Gang)
	meanSeconds := -1.0 // unknown
	if j.RunCount > 0 {
		meanSeconds = j.RunSeconds / float64(j.RunCount)
	}
	for k, state := range j.Tasks {
		if state == jobs.FinishedDurably {
			c.Estimator.TaskCompleted(j.Index, k, meanSeconds)
		}
	}
}

// restoreDependencies resolves the dependencies of all jobs. It runs after the whole log has
// been replayed, because compaction changes the order of entries.
func (c *Component) restoreDependencies(now time.Duration) {
	var cancelled []*jobs.Job
	for _, j := range c.Jobs.All() {
		if j != nil && !c.restoreJob(now, j) {
			cancelled = append(cancelled, j)
		}
	}
	for _, j := range cancelled {
		for _, affected := range append(c.Jobs.TransitiveDependents(j), j) {
			c.Jobs.RecordFinalPhase(affected.Record.ID, jobs.Cancelled)
			c.Jobs.RemoveFromGraph(affected)
			c.Jobs.Remove(affected)
		}
	}
}

// restoreJob resolves the dependencies of one job. It returns false if the job is cancelled
// because one of its dependencies is.
func (c *Component) restoreJob(now time.Duration, j *jobs.Job) bool {
	j.Phase, j.FromEarlierTerm = jobs.Open, true
	if j.Record.Rest > 0 && j.Record.ReleasedMS == 0 {
		j.Record.Follows = joinDependencies(j.Record, c.replayedDependencies[j.Record.ID])
	}
	if len(j.Record.Follows) < j.Record.Rest || !c.dependenciesKnown(j.Record.Follows) {
		// No version with support for dependencies writes such a log. It is unknown whether
		// the job may start, so it is held until its user cancels it.
		c.LogMessage(effects.Error, "dependencies missing from event log, job not started", "job", j.Record.ID)
		j.Phase = jobs.Held
		return true
	}
	if !c.resolveDependencies(j) {
		return false
	}
	if len(j.Dependencies) > 0 {
		j.Phase, j.FromEarlierTerm = jobs.Held, false // it was never started
		return true
	}
	if len(j.Record.Follows) > 0 && j.Record.ReleasedMS == 0 {
		j.Record.ReleasedMS = c.restoredRelease(j.Record)
	}
	if j.Record.ReleasedMS != 0 {
		c.setDeadlines(j, c.toClock(j.Record.ReleasedMS, now))
	}
	return true
}

// restoredRelease returns the time of day at which a job was released, in Unix milliseconds:
// when the last of its dependencies was done, but not before it was accepted.
func (c *Component) restoredRelease(rec eventlog.Job) int64 {
	released := rec.AtMS
	for _, id := range rec.Follows {
		released = max(released, c.replayedDoneAt[id])
	}
	return released
}

// dependenciesKnown reports whether the log has entries of all jobs with the given ids.
func (c *Component) dependenciesKnown(ids []uint64) bool {
	return !slices.ContainsFunc(ids, func(id uint64) bool {
		_, final := c.Jobs.FinalPhase(id)
		return !final && c.Jobs.ByID(id) == nil
	})
}

// joinDependencies collects a job's dependencies from their separate entries, each id once. It
// ignores entries of another acceptance of the same job id.
func joinDependencies(rec eventlog.Job, parts []eventlog.Dependencies) []uint64 {
	var ids []uint64
	for _, part := range parts {
		if part.AcceptedMS == rec.AtMS {
			ids = append(ids, part.Jobs...)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// toClock converts a time of day, in Unix milliseconds, to the node's clock. The result is at
// most now.
func (c *Component) toClock(ms int64, now time.Duration) time.Duration {
	return min(now, time.Duration(ms-c.ClockOriginUnixMS)*time.Millisecond)
}
