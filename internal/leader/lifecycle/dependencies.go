package lifecycle

import (
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// Dependencies between jobs, which the API calls "follows". A job's dependencies are stored
// with it. Everything else is derived from them and from the final states of jobs, by the
// leader as entries become durable and by its successor from the log, with the same result:
//
//   - A job is released once all of its dependencies are durably done.
//   - A job is cancelled once one of its dependencies is durably cancelled. It has no task on
//     any machine: it was never released, because a durably cancelled dependency is never done.

// storedForm returns the form in which a job is written. If its dependencies do not fit into
// its entry, it also returns the entries that hold them and precede the job's entry.
func (c *Component) storedForm(rec eventlog.Job) (eventlog.Job, []eventlog.Entry) {
	rec.Rest = 0
	rec.EncodePoolUnits()
	if rec.ReleasedMS != 0 {
		rec.Follows = nil
	}
	if len(rec.Follows) == 0 || c.EventLog.Fits(eventlog.Entry{Job: &rec}) {
		return rec, nil
	}
	var parts []eventlog.Entry
	for ids := range slices.Chunk(rec.Follows, max(1, c.EventLog.MaxEntryBytes()/maxIDBytes-dependenciesOverhead)) {
		part := eventlog.Dependencies{ID: rec.ID, AcceptedMS: rec.AtMS, Jobs: ids}
		parts = append(parts, eventlog.Entry{Dependencies: &part})
	}
	rec.Rest, rec.Follows = len(rec.Follows), nil
	return rec, parts
}

// dependencyProblem returns why a job's dependencies are invalid, or "" if they are valid.
// known is false while that cannot be decided.
func (c *Component) dependencyProblem(rec *eventlog.Job) (reason string, known bool) {
	for _, id := range rec.Follows {
		if _, final := c.Jobs.FinalPhase(id); final {
			continue
		}
		switch j := c.Jobs.ByID(id); {
		case j == nil:
			return "follows: " + wire.FormatID(id) + " was never accepted", true
		case j.Phase == jobs.Accepting:
			return "follows: " + wire.FormatID(id) + " is being accepted", false
		case j.Record.Kind == jobs.Service:
			return "follows: " + wire.FormatID(id) + " is a service, which is never done", true
		}
	}
	return "", true
}

// resolveDependencies registers the unfinished dependencies of an accepted job. It returns
// false if one of its dependencies is cancelled, so that the job must be cancelled too.
func (c *Component) resolveDependencies(j *jobs.Job) bool {
	if j.Record.ReleasedMS != 0 {
		return true
	}
	for _, id := range j.Record.Follows {
		phase, _ := c.Jobs.FinalPhase(id)
		switch phase {
		case jobs.Cancelled:
			return false
		case jobs.Done:
		default:
			if dependency := c.Jobs.ByID(id); dependency != nil {
				c.Jobs.AddDependency(j, dependency)
			}
		}
	}
	c.promoteDependencies(j)
	return true
}

// promoteDependencies raises the priority of a job's dependencies to its own, if the tunable
// follow_urgency is on. This changes their place in the order, but not their size.
func (c *Component) promoteDependencies(j *jobs.Job) {
	if c.Cfg.Tunables.FollowUrgency == 0 {
		return
	}
	for _, dependency := range c.Jobs.TransitiveDependencies(j) {
		if dependency.Priority < j.Priority {
			dependency.Priority = j.Priority
			dependency.LowRankUntil = 0
			c.NeedsCycle = true
		}
	}
}

// restorePriorities recomputes the priorities of the former dependencies of a cancelled job.
func (c *Component) restorePriorities(dependencies []*jobs.Job) {
	for _, dependency := range dependencies {
		dependency.Priority = dependency.Record.Priority
		if c.Cfg.Tunables.FollowUrgency == 1 {
			for _, dependent := range c.Jobs.TransitiveDependents(dependency) {
				dependency.Priority = max(dependency.Priority, dependent.Record.Priority)
			}
		}
	}
}

// release releases a job whose dependencies are all durably done. It enters the order as if
// it had just arrived.
func (c *Component) release(now time.Duration, j *jobs.Job) {
	j.Phase = jobs.Open
	j.Record.ReleasedMS = c.ClockOriginUnixMS + now.Milliseconds()
	c.setDeadlines(j, now)
	c.enqueue(now, j)
	c.Counts.Released++
	c.LogMessage(effects.Debug, "job released, dependencies done",
		"job", j.Record.ID,
		"class", j.Record.Class,
		"follows", len(j.Record.Follows))
}
