package registry

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// taskRecord tells what the leader knows of a task that a report shows. When it is
// really there, a mere plan for it gives way.
func (d *Component) taskRecord(m *workers.Machine, id uint64, task int, here bool) (workers.TaskRecord, bool) {
	j := d.Jobs.Find(id)
	if j == nil {
		// Leaders of the version in production have users told while tasks still run.
		p, _ := d.Jobs.Final(id)
		return workers.TaskRecord{Ref: workers.NoRef, Noted: true, Cancelled: true}, p == jobs.Cancelled
	}
	if task >= len(j.Tasks) || j.Phase == jobs.Accepting {
		return workers.TaskRecord{}, false
	}
	ref := workers.Ref{Job: j.Index, Task: int32(task)}
	if p := d.Placements[ref]; here && p != nil && p.Planned && len(p.Offered) == 0 {
		d.CancelPlan(p)
	}
	p := d.Placements[ref]
	elsewhere := p != nil && (p.Machine != m || p.Planned)
	s := j.Tasks[task]
	return workers.TaskRecord{Ref: ref, Need: j.Need, Image: j.Image, ImageGB: j.Record.ImageGB,
		Open:  (j.Phase == jobs.Open || j.Phase == jobs.Cancelling) && s != jobs.Finished && s != jobs.DoneDurably && !elsewhere,
		Noted: s == jobs.DoneDurably, Held: j.Phase == jobs.Held, Elsewhere: elsewhere}, true
}

func (d *Component) applyTaskEvent(now time.Duration, m *workers.Machine, e workers.Event) {
	j := d.Jobs.At(e.Ref.Job)
	k := int(e.Ref.Task)
	switch e.Kind {
	case workers.EventAdopted:
		j.Place(k)
		d.Scheduler.Charge(j.Team, j.Need)
		j.CountInZone(m.Zone, 1)
		d.Placements[e.Ref] = e.Placement
		d.Publish(cluster.Event{Kind: cluster.TaskAdopted, At: now, Job: j, Task: k, Machine: m})
		d.stopIfCancelling(j, e.Placement)
		if j.Record.Kind == jobs.Gang {
			diff := d.Reconciled.Count(reconcile.Gang(j.GangAttempt, e.Attempt))
			if diff == reconcile.GangFound {
				j.GangAttempt = e.Attempt
			}
			j.GangBegan = true // or so it must be taken: it is not known whether it ran
			if diff.Resolution() == reconcile.Break {
				d.FailGang(j)
			}
		}
	case workers.EventPlaced:
		p := e.Placement
		p.Withdrawn = false
		d.Publish(cluster.Event{Kind: cluster.TaskPlaced, At: now, Job: j, Task: k, Machine: m})
		d.stopIfCancelling(j, p)
		if j.Record.Kind == jobs.Gang && (j.GangFailed || j.GangAttempt != p.Attempt) {
			p.Stopping, p.GraceSeconds = true, 0
		}
	case workers.EventOfferClosed:
		p := e.Placement
		if p.NotOfferedAgain = false; p.Withdrawn {
			p.Withdrawn = false
			d.CancelPlan(p)
		}
	case workers.EventBegan:
		j.Running++
		if j.FirstAt == 0 {
			j.FirstAt = now
		}
		j.LastAt = now
		j.GangBegan = j.GangBegan || j.Record.Kind == jobs.Gang
		d.Estimator.Began(e.Ref.Job, k, now.Seconds())
		d.Publish(cluster.Event{Kind: cluster.TaskBegan, At: now, Job: j, Task: k, Machine: m})
	case workers.EventCompleted:
		if e.Running {
			j.Running--
		}
		took := -1.0
		if e.Ran >= 0 {
			took = e.Ran.Seconds()
			j.RunSeconds += took
			j.RunCount++
		}
		if d.Placements[e.Ref] != nil {
			delete(d.Placements, e.Ref)
			d.Scheduler.Refund(j.Team, j.Need)
			j.CountInZone(m.Zone, -1)
		}
		d.Counts.TasksDone++
		j.Complete(k)
		d.ResetGangIfEmpty(j)
		j.Errors, m.Errors = 0, 0
		d.Estimator.Completed(e.Ref.Job, k, took)
		d.Publish(cluster.Event{Kind: cluster.TaskDone, At: now, Job: j, Task: k, RunSeconds: took, FromThisTerm: d.FromThisTerm(e.Attempt), Machine: m})
		d.NeedsCycle = true
	case workers.EventGone:
		if e.Running {
			j.Running--
		}
		if j.Phase == jobs.Open && e.Reason != workers.Stopped {
			d.Counts.TasksRerun++
			d.LogMessage(effects.Debug, "task to run again", "job", e.JobID, "task", k, "machine", m.Name, "why", e.Reason.String())
		}
		d.Publish(cluster.Event{Kind: cluster.TaskGone, At: now, Job: j, Task: k, Machine: m, WorkerDied: e.Died})
		d.Unplace(e.Ref)
		if j.Record.Kind == jobs.Gang && (j.GangBegan || e.Reason == workers.Alone || e.Reason == workers.PeersLost || e.Reason == workers.Failed || e.Reason == workers.Stopped) {
			d.FailGang(j)
		}
		d.ResetGangIfEmpty(j)
		switch e.Reason {
		case workers.Failed:
			m.Errors++
			j.Errors++
			if m.Errors >= 3 {
				// Few failures without a success between them: the machine is faulty.
				m.AvoidUntil = now + time.Minute
			}
			if j.Errors >= 3 {
				// It fails wherever it goes: tried ever more slowly, so that others get on.
				j.NotBefore = now + time.Second<<min(j.Errors-3, 6)
			}
			d.LogMessage(effects.Debug, "task failed", "job", e.JobID, "task", k, "machine", m.Name)
		case workers.NoRoom, workers.Busy:
			m.AvoidUntil = now + 2*time.Second // our count of its room is wrong for the moment
		case workers.UnknownTask:
			j.NotBefore = now + 2*time.Second
		}
	}
}

// stopIfCancelling has a task stopped that turns out to be on a machine while its job is
// being cancelled.
func (d *Component) stopIfCancelling(j *jobs.Job, p *workers.Placement) {
	if j.Phase == jobs.Cancelling {
		p.Stopping, p.GraceSeconds = true, 0
	}
}

// publishLostOffers tells of the tasks that were on offer to a machine whose worker has died:
// another controller may have started them there, and no report will say so any more.
func (d *Component) publishLostOffers(now time.Duration, m *workers.Machine) {
	for ref, p := range m.OpenOffers {
		if j := d.Jobs.At(ref.Job); p.Planned && j != nil {
			d.Publish(cluster.Event{Kind: cluster.OfferLost, At: now, Job: j, Task: int(ref.Task), Machine: m})
		}
	}
}
