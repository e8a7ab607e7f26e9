package registry

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

const (
	// A machine on which this many tasks have failed in a row, without a success between
	// them, is probably faulty: it is avoided for a while.
	faultyMachineErrors = 3
	faultyMachineAvoid  = time.Minute

	// A job this many of whose tasks have failed in a row fails wherever it goes: each
	// further attempt waits twice as long, up to a second times two to this power, so that
	// others get on.
	failingJobErrors  = 3
	maxBackoffDoubles = 6

	// refusedStartPause follows a start that was refused: what the leader counts of the
	// machine's room, or what the worker knows of the job, is wrong for the moment.
	refusedStartPause = 2 * time.Second
)

// lookUpTask returns what the leader knows of a task that a report shows on a machine. When
// the task is really there (here), a mere plan for it is cancelled.
func (d *Component) lookUpTask(m *workers.Machine, jobID uint64, task int, here bool) (workers.TaskRecord, bool) {
	j := d.Jobs.ByID(jobID)
	if j == nil {
		// Leaders of the version in production tell users of an end while tasks still run.
		phase, _ := d.Jobs.FinalPhase(jobID)
		return workers.TaskRecord{Ref: workers.NoTaskRef, EndDurable: true, Cancelled: true}, phase == jobs.Cancelled
	}
	if task >= len(j.Tasks) || j.Phase == jobs.Accepting {
		return workers.TaskRecord{}, false
	}
	ref := workers.TaskRef{Job: j.Index, Task: int32(task)}
	if p := d.Placements[ref]; here && p != nil && p.Planned && len(p.Offered) == 0 {
		d.CancelPlan(p)
	}
	p := d.Placements[ref]
	elsewhere := p != nil && (p.Machine != m || p.Planned)
	state := j.Tasks[task]
	jobOpen := j.Phase == jobs.Open || j.Phase == jobs.Cancelling
	return workers.TaskRecord{
		Ref:             ref,
		Need:            j.Need,
		Image:           j.Image,
		ImageGB:         j.Record.ImageGB,
		Open:            jobOpen && state != jobs.Finished && state != jobs.FinishedDurably && !elsewhere,
		EndDurable:      state == jobs.FinishedDurably,
		Held:            j.Phase == jobs.Held,
		PlacedElsewhere: elsewhere,
	}, true
}

// applyTaskEvent applies one event that follows from a report, or from a machine's end, to
// the job, the machine and the totals of teams.
func (d *Component) applyTaskEvent(now time.Duration, m *workers.Machine, e workers.Event) {
	j := d.Jobs.ByIndex(e.Ref.Job)
	switch e.Kind {
	case workers.EventAdopted:
		d.taskAdopted(now, m, j, e)
	case workers.EventPlaced:
		d.taskPlaced(now, m, j, e)
	case workers.EventOfferClosed:
		d.offerClosed(e)
	case workers.EventStarted:
		d.taskBegan(now, m, j, e)
	case workers.EventCompleted:
		d.taskCompleted(now, m, j, e)
	case workers.EventGone:
		d.taskGone(now, m, j, e)
	}
}

// taskAdopted takes over a task that an earlier leader has started.
func (d *Component) taskAdopted(now time.Duration, m *workers.Machine, j *jobs.Job, e workers.Event) {
	task := int(e.Ref.Task)
	j.Place(task)
	d.Scheduler.Charge(j.Team, j.Need)
	j.CountInZone(m.Zone, 1)
	d.Placements[e.Ref] = e.Placement
	d.Publish(cluster.Event{Kind: cluster.TaskAdopted, At: now, Job: j, Task: task, Machine: m})
	d.stopIfCancelling(j, e.Placement)
	if j.Record.Kind == jobs.Gang {
		d.gangPartAdopted(j, e.Attempt)
	}
}

// gangPartAdopted joins an adopted task to its gang's attempt, or fails the gang where the
// task belongs to another attempt.
func (d *Component) gangPartAdopted(j *jobs.Job, attempt uint64) {
	difference := d.Reconciled.Count(reconcile.Gang(j.GangAttempt, attempt))
	if difference == reconcile.GangAttemptUnknown {
		j.GangAttempt = attempt
	}
	j.GangBegan = true // has to be assumed: it is not known whether it ran
	if difference.Resolution() == reconcile.AdoptAndFailGang {
		d.FailGang(j)
	}
}

// taskPlaced notes that an offered task is on the machine.
func (d *Component) taskPlaced(now time.Duration, m *workers.Machine, j *jobs.Job, e workers.Event) {
	p := e.Placement
	p.Withdrawn = false
	d.Publish(cluster.Event{Kind: cluster.TaskPlaced, At: now, Job: j, Task: int(e.Ref.Task), Machine: m})
	d.stopIfCancelling(j, p)
	if j.Record.Kind == jobs.Gang && (j.GangFailed || j.GangAttempt != p.Attempt) {
		p.Stopping, p.GraceSeconds = true, 0
	}
}

// offerClosed makes a planned task free to be offered again, or cancels its plan if that was
// asked for while the offer was open.
func (d *Component) offerClosed(e workers.Event) {
	p := e.Placement
	p.NoNewOffers = false
	if p.Withdrawn {
		p.Withdrawn = false
		d.CancelPlan(p)
	}
}

// taskBegan notes that a task was seen to run.
func (d *Component) taskBegan(now time.Duration, m *workers.Machine, j *jobs.Job, e workers.Event) {
	task := int(e.Ref.Task)
	j.Running++
	if j.FirstRunAt == 0 {
		j.FirstRunAt = now
	}
	j.LastRunAt = now
	j.GangBegan = j.GangBegan || j.Record.Kind == jobs.Gang
	d.Estimator.TaskStarted(e.Ref.Job, task, now.Seconds())
	d.Publish(cluster.Event{Kind: cluster.TaskBegan, At: now, Job: j, Task: task, Machine: m})
}

// taskCompleted notes a task's result, and how long it ran where that is known.
func (d *Component) taskCompleted(now time.Duration, m *workers.Machine, j *jobs.Job, e workers.Event) {
	task := int(e.Ref.Task)
	if e.WasRunning {
		j.Running--
	}
	runSeconds := -1.0
	if e.RunTime >= 0 {
		runSeconds = e.RunTime.Seconds()
		j.RunSeconds += runSeconds
		j.RunCount++
	}
	if d.Placements[e.Ref] != nil {
		delete(d.Placements, e.Ref)
		d.Scheduler.Refund(j.Team, j.Need)
		j.CountInZone(m.Zone, -1)
	}
	d.Counts.TasksDone++
	j.Complete(task)
	d.ResetGangIfEmpty(j)
	j.FailuresInARow, m.FailuresInARow = 0, 0
	d.Estimator.TaskCompleted(e.Ref.Job, task, runSeconds)
	d.Publish(cluster.Event{
		Kind:         cluster.TaskDone,
		At:           now,
		Job:          j,
		Task:         task,
		RunSeconds:   runSeconds,
		FromThisTerm: d.FromThisTerm(e.Attempt),
		Machine:      m,
	})
	d.NeedsCycle = true
}

// taskGone takes a task off a machine on which it has ended without a result, or never was.
func (d *Component) taskGone(now time.Duration, m *workers.Machine, j *jobs.Job, e workers.Event) {
	task := int(e.Ref.Task)
	if e.WasRunning {
		j.Running--
	}
	if j.Phase == jobs.Open && e.Reason != workers.Stopped {
		d.Counts.TasksRerun++
		d.LogMessage(effects.Debug, "task requeued", "job", e.JobID, "task", task,
			"machine", m.Name, "why", e.Reason.String())
	}
	d.Publish(cluster.Event{Kind: cluster.TaskGone, At: now, Job: j, Task: task, Machine: m, WorkerDied: e.WorkerLost})
	d.Unplace(e.Ref)
	if j.Record.Kind == jobs.Gang && (j.GangBegan || failsGang(e.Reason)) {
		d.FailGang(j)
	}
	d.ResetGangIfEmpty(j)
	switch e.Reason {
	case workers.Failed:
		d.taskFailed(now, m, j, task)
	case workers.InsufficientResources, workers.Busy:
		m.AvoidUntil = now + refusedStartPause
	case workers.UnknownTask:
		j.NotBefore = now + refusedStartPause
	}
}

// failsGang says whether a gang's attempt fails with a task that is gone for this reason,
// even if the gang had not begun.
func failsGang(why workers.Reason) bool {
	switch why {
	case workers.GangIncomplete, workers.PeersLost, workers.Failed, workers.Stopped:
		return true
	}
	return false
}

// taskFailed counts a failure against the machine and the job, and backs off from either.
func (d *Component) taskFailed(now time.Duration, m *workers.Machine, j *jobs.Job, task int) {
	m.FailuresInARow++
	j.FailuresInARow++
	if m.FailuresInARow >= faultyMachineErrors {
		m.AvoidUntil = now + faultyMachineAvoid
	}
	if j.FailuresInARow >= failingJobErrors {
		j.NotBefore = now + time.Second<<min(j.FailuresInARow-failingJobErrors, maxBackoffDoubles)
	}
	d.LogMessage(effects.Debug, "task failed", "job", j.Record.ID, "task", task, "machine", m.Name)
}

// stopIfCancelling has a task stopped that turns out to be on a machine while its job is
// being cancelled.
func (d *Component) stopIfCancelling(j *jobs.Job, p *workers.Placement) {
	if j.Phase == jobs.Cancelling {
		p.Stopping, p.GraceSeconds = true, 0
	}
}

// publishLostOffers publishes the tasks that were on offer to a machine whose worker has
// died: another controller may have started them there, and no report will ever show it.
func (d *Component) publishLostOffers(now time.Duration, m *workers.Machine) {
	for ref, p := range m.OpenOffers {
		if j := d.Jobs.ByIndex(ref.Job); p.Planned && j != nil {
			d.Publish(cluster.Event{Kind: cluster.OfferLost, At: now, Job: j, Task: int(ref.Task), Machine: m})
		}
	}
}
