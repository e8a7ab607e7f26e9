package placement

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/settings"
)

// planRestarts plans the tasks that may start again only on their machine (State.ReleaseOrRestart). They
// come before all others, since their room was just theirs, and are started with the answer to a heartbeat. A
// machine that has had no room for one for the length of a lease is drained: its deletion lets the
// task start elsewhere.
func (c *Component) planRestarts(snap *scheduler.Snapshot) {
	patience := settings.Seconds(c.Cfg.Deployment.Workers.LeaseS)
	for _, p := range c.Restarts() {
		job := c.Jobs.ByIndex(p.Ref.Job)
		switch {
		case !c.mayRestart(snap, job):
			p.AwaitsRoomSince = 0
		case c.fitsAgain(snap, job, p):
			c.planRestart(snap.Now, job, p)
		case p.AwaitsRoomSince == 0:
			p.AwaitsRoomSince = snap.Now
		case snap.Now-p.AwaitsRoomSince > patience:
			p.Machine.Draining = true
		}
	}
}

// mayRestart reports whether tasks of a job may start now, on whatever machine. The use of its team already
// includes the tasks that are to start again.
func (c *Component) mayRestart(snap *scheduler.Snapshot, job *jobs.Job) bool {
	return job.Phase == jobs.Open &&
		snap.Now >= job.NotBefore &&
		!c.MayRunUnreported(job) &&
		c.Scheduler.TeamMayUse(job.Team, resources.Amounts{}, snap.UnresolvedUseOf(job.Team))
}

// fitsAgain reports whether a task can be planned again on its machine now.
func (c *Component) fitsAgain(snap *scheduler.Snapshot, job *jobs.Job, p *workers.Placement) bool {
	paced := snap.MayStart != nil && job.Record.Kind == jobs.Array && !snap.MayStart(job, p.Machine)
	return !paced && p.Need.Fits(p.Machine.Free) && p.Machine.AcceptsPlans(snap.Now, snap.SuspectAfter)
}

// planRestart plans a task again on its machine.
func (c *Component) planRestart(now time.Duration, job *jobs.Job, p *workers.Placement) {
	delete(c.AwaitingRestart, p.Ref)
	p.AwaitsRoomSince = 0
	p.Machine.Plan(p)
	c.planned = append(c.planned, p)
	if c.StartPacer != nil {
		c.StartPacer.TaskStarted(now, p.Machine)
	}
	p.Machine.UseImage(job.Image, job.Record.ImageGB, now)
}
