package lifecycle

import (
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/wire"
)

// Jobs that follow others. What a job follows is stored with it; everything
// else is derived from that and from the final states, by the leader as things
// become durable and by its successor from the log, with the same result:
//
//   - a job is released once all that it follows are durably done;
//   - a job is cancelled once one that it follows is durably cancelled. Such a
//     job has no task anywhere: it was never released, for what it follows was
//     not durably done, and what is durably cancelled never will be.

// storedForm is the form in which a job is written, and the entries that go before
// it where it follows more jobs than fit.
func (d *Component) storedForm(rec eventlog.Job) (eventlog.Job, []eventlog.Entry) {
	rec.Rest = 0
	rec.HideFromOlderVersions()
	if rec.ReleasedMS != 0 {
		rec.Follows = nil
	}
	if len(rec.Follows) == 0 || d.EventLog.Fits(eventlog.Entry{Job: &rec}) {
		return rec, nil
	}
	var parts []eventlog.Entry
	for ids := range slices.Chunk(rec.Follows, max(1, d.EventLog.MaxEntryBytes()/maxIDBytes-4)) {
		parts = append(parts, eventlog.Entry{Dependencies: &eventlog.Dependencies{ID: rec.ID, AtMS: rec.AtMS, Jobs: ids}})
	}
	rec.Rest, rec.Follows = len(rec.Follows), nil
	return rec, parts
}

// dependencyProblem says why a job cannot follow what it names; known is false
// while that cannot be decided.
func (d *Component) dependencyProblem(rec *eventlog.Job) (why string, known bool) {
	for _, id := range rec.Follows {
		if _, over := d.Jobs.Final(id); over {
			continue
		}
		switch j := d.Jobs.Find(id); {
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
// cancelled from the start, since one that it follows is.
func (d *Component) resolveDependencies(j *jobs.Job) bool {
	if j.Record.ReleasedMS != 0 {
		return true
	}
	for _, id := range j.Record.Follows {
		switch p, _ := d.Jobs.Final(id); {
		case p == jobs.Cancelled:
			return false
		case p == jobs.Done:
		default:
			if before := d.Jobs.Find(id); before != nil {
				d.Jobs.AddDependency(j, before)
			}
		}
	}
	d.promoteDependencies(j)
	return true
}

// promoteDependencies has the jobs that a job needs take its priority: the exception
// follow_urgency. Their place in the order changes, their size does not.
func (d *Component) promoteDependencies(j *jobs.Job) {
	if d.Cfg.Tunables.FollowUrgency == 0 {
		return
	}
	for _, x := range d.Jobs.TransitiveDependencies(j) {
		if x.Priority < j.Priority {
			x.Priority = j.Priority
			x.BehindUntil = 0
			d.NeedsCycle = true
		}
	}
}

// restorePriorities recomputes the priority of jobs that a cancelled one needed.
func (d *Component) restorePriorities(list []*jobs.Job) {
	for _, x := range list {
		x.Priority = x.Record.Priority
		if d.Cfg.Tunables.FollowUrgency == 1 {
			for _, f := range d.Jobs.TransitiveDependents(x) {
				x.Priority = max(x.Priority, f.Record.Priority)
			}
		}
	}
}

// release releases a job: all that it follows are durably done. It enters the
// order as if it had just arrived.
func (d *Component) release(now time.Duration, j *jobs.Job) {
	j.Phase = jobs.Open
	j.Record.ReleasedMS = d.ClockZeroMS + now.Milliseconds()
	d.setDeadlines(j, now)
	d.enqueue(now, j)
	d.Counts.Released++
	d.LogMessage(effects.Debug, "job released: all that it follows are done", "job", j.Record.ID, "class", j.Record.Class, "follows", len(j.Record.Follows))
}

// enqueue enters a job into the order.
func (d *Component) enqueue(now time.Duration, j *jobs.Job) {
	d.Estimator.Age(now.Seconds(), d.CPUs())
	if j.Record.Kind != jobs.Service {
		d.Estimator.Add(j.Index, j.Team, len(j.Tasks), j.Record.CPUs, j.Record.Kind == jobs.Gang)
	}
	d.Publish(cluster.Event{Kind: cluster.JobOrdered, At: now, Job: j})
	d.NeedsCycle = true
}

// applyCancellation acts on a cancellation that is durable, of a job or of one that it
// follows, and on all that need it.
func (d *Component) applyCancellation(sure bool, j *jobs.Job) {
	needed, needing := d.Jobs.TransitiveDependencies(j), d.Jobs.TransitiveDependents(j)
	d.purge(j)
	for _, f := range needing {
		d.purge(f)
		d.Counts.CancelSpread++
		d.LogMessage(effects.Info, "job cancelled with one that it needs", "job", f.Record.ID, "needs", j.Record.ID)
		d.answerCancellations(sure, f.Record.ID)
	}
	d.restorePriorities(needed)
}

// purge cancels one job, none of whose tasks is anywhere.
func (d *Component) purge(j *jobs.Job) {
	j.Phase = jobs.Cancelled
	delete(d.cancelling, j.Record.ID)
	d.Jobs.Finish(j.Record.ID, jobs.Cancelled)
	d.Jobs.RemoveDependency(j)
	d.Estimator.Remove(j.Index, false, 0, 0)
	d.RemoveIfFinished(j)
	d.NeedsCycle = true
}

// restoreDependencies settles after a replay what every job waits for. The log is
// read as a whole before: cleaning changes the order of its entries.
func (d *Component) restoreDependencies(now time.Duration, parts map[uint64][]eventlog.Dependencies, doneAt map[uint64]int64) {
	var cancelling []*jobs.Job
	for _, j := range d.Jobs.All() {
		if j == nil {
			continue
		}
		j.Phase, j.Earlier = jobs.Open, true
		if j.Record.Rest > 0 && j.Record.ReleasedMS == 0 {
			j.Record.Follows = joinDependencies(j.Record, parts[j.Record.ID])
		}
		if len(j.Record.Follows) < j.Record.Rest || !d.dependenciesKnown(j.Record.Follows) {
			// No leader that knows of links writes such a log. Whether it may
			// start is not known any more: it waits for its user to cancel it.
			d.LogMessage(effects.Error, "what a job follows is not in the log: it is not started", "job", j.Record.ID)
			j.Phase = jobs.Held
			continue
		}
		if !d.resolveDependencies(j) {
			cancelling = append(cancelling, j)
			continue
		}
		if len(j.Dependencies) > 0 {
			j.Phase, j.Earlier = jobs.Held, false // never started
			continue
		}
		if len(j.Record.Follows) > 0 && j.Record.ReleasedMS == 0 {
			j.Record.ReleasedMS = j.Record.AtMS
			for _, id := range j.Record.Follows {
				j.Record.ReleasedMS = max(j.Record.ReleasedMS, doneAt[id])
			}
		}
		if j.Record.ReleasedMS != 0 {
			d.setDeadlines(j, d.toClock(j.Record.ReleasedMS, now))
		}
	}
	for _, j := range cancelling {
		for _, x := range append(d.Jobs.TransitiveDependents(j), j) {
			d.Jobs.Finish(x.Record.ID, jobs.Cancelled)
			d.Jobs.RemoveDependency(x)
			d.Jobs.Remove(x)
		}
	}
}

// dependenciesKnown says whether the log knows jobs that an accepted one follows.
func (d *Component) dependenciesKnown(ids []uint64) bool {
	return !slices.ContainsFunc(ids, func(id uint64) bool {
		_, over := d.Jobs.Final(id)
		return !over && d.Jobs.Find(id) == nil
	})
}

// joinDependencies gathers what a job follows from the entries beside its own: each id
// once, of the same acceptance only.
func joinDependencies(rec eventlog.Job, parts []eventlog.Dependencies) []uint64 {
	var out []uint64
	for _, p := range parts {
		if p.AtMS == rec.AtMS {
			out = append(out, p.Jobs...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
