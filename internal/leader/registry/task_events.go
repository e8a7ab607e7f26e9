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
	// A machine on which this many tasks have failed in a row, without a success between them,
	// is probably faulty. It gets no new tasks for faultyMachineAvoid.
	faultyMachineErrors = 3
	faultyMachineAvoid  = time.Minute

	// A job with this many failed tasks in a row probably fails on any machine. Each further
	// attempt waits twice as long as the one before, from one second up to 2^maxBackoffDoubles
	// seconds, so that other jobs can proceed.
	failingJobErrors  = 3
	maxBackoffDoubles = 6

	// refusedStartPause is the pause after a refused start: either the leader's accounting of
	// the machine's room or the worker's record of the job is wrong for the moment.
	refusedStartPause = 2 * time.Second
)

// lookUpTask returns the leader's record of a task that a report shows on a machine. If the task
// is really there (present is true), a plan of it that is not on offer is cancelled. The second
// result is false if the job has no such task or is still being accepted.
func (c *Component) lookUpTask(m *workers.Machine, jobID uint64, task int, present bool) (workers.TaskRecord, bool) {
	j := c.Jobs.ByID(jobID)
	if j == nil {
		// Leaders of the version in production report the end of a job to users while its tasks
		// still run.
		phase, _ := c.Jobs.FinalPhase(jobID)
		return workers.TaskRecord{Ref: workers.NoTaskRef, EndDurable: true, Cancelled: true}, phase == jobs.Cancelled
	}
	if task >= len(j.Tasks) || j.Phase == jobs.Accepting {
		return workers.TaskRecord{}, false
	}
	ref := workers.TaskRef{Job: j.Index, Task: int32(task)}
	if p := c.Placements[ref]; present && p != nil && p.Planned && len(p.Offered) == 0 {
		c.CancelPlan(p)
	}
	if present && c.AwaitingRestart[ref] != nil {
		c.ReleasePlacement(ref) // it has been found
	}
	p := c.Placements[ref]
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

// applyTaskEvent applies one event, caused by a report or by the removal of a machine, to the
// job, the machine and the usage of teams.
func (c *Component) applyTaskEvent(now time.Duration, m *workers.Machine, e workers.Event) {
	j := c.Jobs.ByIndex(e.Ref.Job)
	switch e.Kind {
	case workers.EventAdopted:
		c.taskAdopted(now, m, j, e)
	case workers.EventPlaced:
		c.taskPlaced(now, m, j, e)
	case workers.EventOfferClosed:
		c.offerClosed(e)
	case workers.EventStarted:
		c.taskBegan(now, m, j, e)
	case workers.EventCompleted:
		c.taskCompleted(now, m, j, e)
	case workers.EventGone:
		c.taskGone(now, m, j, e)
	}
}

// taskAdopted takes over a task that is found on a machine and is not placed there.
func (c *Component) taskAdopted(now time.Duration, m *workers.Machine, j *jobs.Job, e workers.Event) {
	task := int(e.Ref.Task)
	if c.AwaitingRestart[e.Ref] != nil {
		c.ReleasePlacement(e.Ref) // the same report proved another attempt gone
	}
	j.Place(task)
	c.Scheduler.Charge(j.Team, j.Need)
	j.CountInZone(m.Zone, 1)
	c.Placements[e.Ref] = e.Placement
	c.Publish(cluster.Event{Kind: cluster.TaskAdopted, At: now, Job: j, Task: task, Machine: m})
	c.stopIfCancelling(j, e.Placement)
	if j.Record.Kind == jobs.Gang {
		c.gangTaskAdopted(j, e.Attempt)
	}
}

// gangTaskAdopted adds an adopted task to its gang's attempt, or fails the gang if the task
// belongs to another attempt.
func (c *Component) gangTaskAdopted(j *jobs.Job, attempt uint64) {
	difference := c.Reconciled.Count(reconcile.Gang(j.GangAttempt, attempt))
	if difference == reconcile.GangAttemptUnknown {
		j.GangAttempt = attempt
	}
	j.GangStarted = true // must be assumed, since it is unknown whether the gang ran
	if difference.Resolution() == reconcile.AdoptAndFailGang {
		c.FailGang(j)
	}
}

// taskPlaced records that an offered task is on the machine.
func (c *Component) taskPlaced(now time.Duration, m *workers.Machine, j *jobs.Job, e workers.Event) {
	p := e.Placement
	p.Withdrawn = false
	c.Publish(cluster.Event{Kind: cluster.TaskPlaced, At: now, Job: j, Task: int(e.Ref.Task), Machine: m})
	c.stopIfCancelling(j, p)
	if j.Record.Kind == jobs.Gang && (j.GangFailed || j.GangAttempt != p.Attempt) {
		p.Stopping, p.GraceSeconds = true, 0
	}
}

// offerClosed allows a planned task to be offered again, or cancels its plan if the plan was
// withdrawn while the offer was open.
func (c *Component) offerClosed(e workers.Event) {
	p := e.Placement
	p.NoNewOffers = false
	if p.Withdrawn {
		p.Withdrawn = false
		c.CancelPlan(p)
	}
}

// taskBegan records that a task was seen running.
func (c *Component) taskBegan(now time.Duration, m *workers.Machine, j *jobs.Job, e workers.Event) {
	task := int(e.Ref.Task)
	j.Running++
	if j.FirstRunAt == 0 {
		j.FirstRunAt = now
	}
	j.LastRunAt = now
	j.GangStarted = j.GangStarted || j.Record.Kind == jobs.Gang
	c.Estimator.TaskStarted(e.Ref.Job, task, now.Seconds())
	c.Publish(cluster.Event{Kind: cluster.TaskBegan, At: now, Job: j, Task: task, Machine: m})
}

// taskCompleted records a task's result, and its run time if that is known.
func (c *Component) taskCompleted(now time.Duration, m *workers.Machine, j *jobs.Job, e workers.Event) {
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
	if c.Placements[e.Ref] != nil {
		delete(c.Placements, e.Ref)
		c.EndAwaitingRestart(e.Ref)
		c.Scheduler.Refund(j.Team, j.Need)
		j.CountInZone(m.Zone, -1)
	}
	c.Counts.TasksDone++
	j.Complete(task)
	c.ResetGangIfEmpty(j)
	j.FailuresInARow, m.FailuresInARow = 0, 0
	c.Estimator.TaskCompleted(e.Ref.Job, task, runSeconds)
	c.Publish(cluster.Event{
		Kind:         cluster.TaskDone,
		At:           now,
		Job:          j,
		Task:         task,
		RunSeconds:   runSeconds,
		FromThisTerm: c.FromThisTerm(e.Attempt),
		Machine:      m,
	})
	c.NeedsCycle = true
}

// taskGone removes a task from a machine on which it has ended without a result or was never
// present.
func (c *Component) taskGone(now time.Duration, m *workers.Machine, j *jobs.Job, e workers.Event) {
	task := int(e.Ref.Task)
	if e.WasRunning {
		j.Running--
	}
	if j.Phase == jobs.Open && e.Reason != workers.Stopped {
		c.Counts.TasksRerun++
		c.logRequeued(m, e)
	}
	c.Publish(cluster.Event{Kind: cluster.TaskGone, At: now, Job: j, Task: task, Machine: m, WorkerDied: e.WorkerLost})
	c.releaseOrRestart(e)
	if j.Record.Kind == jobs.Gang && (j.GangStarted || failsGang(e.Reason)) {
		c.FailGang(j)
	}
	c.ResetGangIfEmpty(j)
	switch e.Reason {
	case workers.Failed:
		c.taskFailed(now, m, j, task)
	case workers.InsufficientResources, workers.Busy:
		m.AvoidUntil = now + refusedStartPause
	case workers.UnknownTask:
		j.NotBefore = now + refusedStartPause
	}
}

// logRequeued logs which report proved a task gone, and the token of its start if that was sent
// directly: a worker that has seen no higher token than that may still carry the start out.
func (c *Component) logRequeued(m *workers.Machine, e workers.Event) {
	fields := []any{
		"job", e.JobID, "task", e.Ref.Task, "machine", m.Name, "why", e.Reason.String(),
		"session", m.Session, "report", m.Seq, "token", m.HighestTokenSeen(),
	}
	if e.StartToken != 0 {
		fields = append(fields, "start_token", e.StartToken)
	}
	c.LogMessage(effects.Debug, "task requeued", fields...)
}

// releaseOrRestart lets a task that is gone from its machine start again, on any machine that is allowed by
// the rule of State.ReleaseOrRestart.
func (c *Component) releaseOrRestart(e workers.Event) {
	if p := c.Placements[e.Ref]; p != nil {
		c.ReleaseOrRestart(p, e.Reason == workers.Vanished)
	}
}

// failsGang reports whether the loss of a task for this reason fails its gang's attempt even if
// the gang had not begun.
func failsGang(why workers.Reason) bool {
	switch why {
	case workers.GangIncomplete, workers.PeersLost, workers.Failed, workers.Stopped:
		return true
	}
	return false
}

// taskFailed counts a failure against the machine and the job, and applies the backoff of each.
func (c *Component) taskFailed(now time.Duration, m *workers.Machine, j *jobs.Job, task int) {
	m.FailuresInARow++
	j.FailuresInARow++
	if m.FailuresInARow >= faultyMachineErrors {
		m.AvoidUntil = now + faultyMachineAvoid
	}
	if j.FailuresInARow >= failingJobErrors {
		j.NotBefore = now + time.Second<<min(j.FailuresInARow-failingJobErrors, maxBackoffDoubles)
	}
	c.LogMessage(effects.Debug, "task failed", "job", j.Record.ID, "task", task, "machine", m.Name)
}

// stopIfCancelling stops a task that is found on a machine while its job is being cancelled.
func (c *Component) stopIfCancelling(j *jobs.Job, p *workers.Placement) {
	if j.Phase == jobs.Cancelling {
		p.Stopping, p.GraceSeconds = true, 0
	}
}

// publishLostOffers publishes the tasks that were on offer to a machine whose worker has died.
// Another controller may have started them there, and no report will ever show them.
func (c *Component) publishLostOffers(now time.Duration, m *workers.Machine) {
	for ref, p := range m.OpenOffers {
		if j := c.Jobs.ByIndex(ref.Job); p.Planned && j != nil {
			c.Publish(cluster.Event{Kind: cluster.OfferLost, At: now, Job: j, Task: int(ref.Task), Machine: m})
		}
	}
}
