package lifecycle

import (
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// Jobs that depend on ("follow") others. What a job depends on is stored with it;
// everything else is derived from that and from the final states, by the leader as entries
// become durable and by its successor from the log, with the same result:
//
//   - a job is released once all that it depends on are durably done;
//   - a job is cancelled once one that it depends on is durably cancelled. Such a job has
//     no task anywhere: it was never released, for what it depends on was not durably done,
//     and what is durably cancelled never will be.

// storedForm is the form in which a job is written, and the entries that go before it where
// it depends on more jobs than fit.
func (c *Component) storedForm(rec eventlog.Job) (eventlog.Job, []eventlog.Entry) {
	rec.Rest = 0
	rec.HideFromOlderVersions()
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

// dependencyProblem says why a job cannot depend on what it names; known is false while
// that cannot be decided.
func (c *Component) dependencyProblem(rec *eventlog.Job) (why string, known bool) {
	for _, id := range rec.Follows {
		if _, over := c.Jobs.FinalPhase(id); over {
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

// resolveDependencies settles what an accepted job waits for. It is false when the job is
// cancelled from the start, since one that it depends on is.
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

// promoteDependencies has the jobs that a job depends on take its priority: the tunable
// follow_urgency. Their place in the order changes, their size does not.
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

// restorePriorities recomputes the priority of jobs that a cancelled one depended on.
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

// release releases a job: all that it depends on are durably done. It enters the order as
// if it had just arrived.
func (c *Component) release(now time.Duration, j *jobs.Job) {
	j.Phase = jobs.Open
	j.Record.ReleasedMS = c.ClockZeroMS + now.Milliseconds()
	c.setDeadlines(j, now)
	c.enqueue(now, j)
	c.Counts.Released++
	c.LogMessage(effects.Debug, "job released, dependencies done",
		"job", j.Record.ID,
		"class", j.Record.Class,
		"follows", len(j.Record.Follows))
}
