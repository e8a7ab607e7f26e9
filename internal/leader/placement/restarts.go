package placement

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/settings"
)

// planRestarts plans the tasks that may start again only on their machine (State.ReleaseOrRestart). Their room
// there is kept, and they are started with the answer to a heartbeat. A machine on which one cannot be planned
// for the length of a lease is drained: its deletion lets the task start elsewhere.
func (c *Component) planRestarts(snap *scheduler.Snapshot) {
	if snap.Pools != nil && len(c.AwaitingRestart) > 0 {
		snap.Pools.BeginCycle(snap.Now, nil) // counts the units in use
	}
	patience := settings.Seconds(c.Cfg.Deployment.Workers.LeaseS)
	for _, p := range c.Restarts() {
		job := c.Jobs.ByIndex(p.Ref.Job)
		switch {
		case !c.mayRestart(snap, job) || !unitsAllowRestart(snap, job):
			p.AwaitsMachineSince = 0
		case c.machineAccepts(snap, job, p):
			c.planRestart(snap.Now, job, p)
		case p.AwaitsMachineSince == 0:
			p.AwaitsMachineSince = snap.Now
		case snap.Now-p.AwaitsMachineSince > patience:
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

// unitsAllowRestart reports whether the counted units that a job has in use allow its tasks to start again. They
// include those of the tasks that are to start again, and those that are held for lost ones.
func unitsAllowRestart(snap *scheduler.Snapshot, job *jobs.Job) bool {
	return len(job.Record.Counted) == 0 || (snap.Pools != nil && snap.Pools.AllowsStart(job, 0))
}

// machineAccepts reports whether a task can be planned again on its machine now.
func (c *Component) machineAccepts(snap *scheduler.Snapshot, job *jobs.Job, p *workers.Placement) bool {
	paced := snap.MayStart != nil && job.Record.Kind == jobs.Array && !snap.MayStart(job, p.Machine)
	var none resources.Amounts
	return !paced &&
		none.Fits(p.Machine.Free) &&
		job.ZoneAllowsPlaced(p.Machine.Zone) &&
		p.Machine.AcceptsPlans(snap.Now, snap.SuspectAfter)
}

// planRestart plans a task again on its machine.
func (c *Component) planRestart(now time.Duration, job *jobs.Job, p *workers.Placement) {
	c.EndAwaitingRestart(p.Ref)
	p.AwaitsMachineSince = 0
	p.Machine.Plan(p)
	c.planned = append(c.planned, p)
	if c.StartPacer != nil {
		c.StartPacer.TaskStarted(now, p.Machine)
	}
	p.Machine.UseImage(job.Image, job.Record.ImageGB, now)
}
