package lifecycle

import (
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
)

// Replay takes an entry of the log.
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

// replayJob adds a job to the table unless an earlier entry has: a compaction may leave
// entries twice.
func (c *Component) replayJob(now time.Duration, rec *eventlog.Job) {
	if _, over := c.Jobs.FinalPhase(rec.ID); !over && c.Jobs.ByID(rec.ID) == nil {
		c.addJob(*rec, now)
	}
}

// replayCompleted marks tasks as durably done, and their job once all are.
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

// replayFinalState notes a final state, whatever stood before it.
func (c *Component) replayFinalState(id uint64, phase jobs.Phase) {
	c.Jobs.RecordFinalPhase(id, phase)
	if j := c.Jobs.ByID(id); j != nil {
		c.Jobs.Remove(j)
	}
}

// Begin settles what every job waits for and enters the open ones into the order.
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

// restoreSize gives the estimator an open job and its completed tasks.
func (c *Component) restoreSize(j *jobs.Job) {
	c.Estimator.Add(j.Index, j.Team, len(j.Tasks), j.Record.CPUs, j.Record.Kind == jobs.Gang)
	meanSeconds := -1.0 // not known
	if j.RunCount > 0 {
		meanSeconds = j.RunSeconds / float64(j.RunCount)
	}
	for k, state := range j.Tasks {
		if state == jobs.FinishedDurably {
			c.Estimator.TaskCompleted(j.Index, k, meanSeconds)
		}
	}
}

// restoreDependencies settles after a replay what every job waits for. The log is read as a
// whole before: its compaction changes the order of its entries.
func (c *Component) restoreDependencies(now time.Duration) {
	var cancelled []*jobs.Job
	for _, j := range c.Jobs.All() {
		if j != nil && !c.restoreJob(now, j) {
			cancelled = append(cancelled, j)
		}
	}
	for _, j := range cancelled {
		for _, x := range append(c.Jobs.TransitiveDependents(j), j) {
			c.Jobs.RecordFinalPhase(x.Record.ID, jobs.Cancelled)
			c.Jobs.RemoveDependency(x)
			c.Jobs.Remove(x)
		}
	}
}

// restoreJob settles what one job waits for. It is false for a job that is cancelled, since
// one that it depends on is.
func (c *Component) restoreJob(now time.Duration, j *jobs.Job) bool {
	j.Phase, j.FromEarlierTerm = jobs.Open, true
	if j.Record.Rest > 0 && j.Record.ReleasedMS == 0 {
		j.Record.Follows = joinDependencies(j.Record, c.replayedDependencies[j.Record.ID])
	}
	if len(j.Record.Follows) < j.Record.Rest || !c.dependenciesKnown(j.Record.Follows) {
		// No leader that knows of dependencies writes such a log. Whether the job may start
		// is not known any more: it waits for its user to cancel it.
		c.LogMessage(effects.Error, "dependencies missing from event log, job not started", "job", j.Record.ID)
		j.Phase = jobs.Held
		return true
	}
	if !c.resolveDependencies(j) {
		return false
	}
	if len(j.Dependencies) > 0 {
		j.Phase, j.FromEarlierTerm = jobs.Held, false // never started
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

// restoredRelease is the time of day at which a job was released, in milliseconds: when the
// last of those that it depends on was done, and not before it was accepted.
func (c *Component) restoredRelease(rec eventlog.Job) int64 {
	released := rec.AtMS
	for _, id := range rec.Follows {
		released = max(released, c.replayedDoneAt[id])
	}
	return released
}

// dependenciesKnown says whether the log knows jobs that an accepted one depends on.
func (c *Component) dependenciesKnown(ids []uint64) bool {
	return !slices.ContainsFunc(ids, func(id uint64) bool {
		_, over := c.Jobs.FinalPhase(id)
		return !over && c.Jobs.ByID(id) == nil
	})
}

// joinDependencies gathers what a job depends on from the entries beside its own: each id
// once, of the same acceptance only.
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

// toClock is a time of day, in milliseconds, on this node's clock; none is later than now.
func (c *Component) toClock(ms int64, now time.Duration) time.Duration {
	return min(now, time.Duration(ms-c.ClockZeroMS)*time.Millisecond)
}
