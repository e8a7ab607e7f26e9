// Package placement is the component of a leader's term that places tasks on machines: it runs
// the scheduling cycle (package scheduler) over the state of the term and plans the tasks that
// the cycle places.
//
// Before a task may be offered to a machine, the intent to start it is made durable in the event
// log, so that a later leader knows what a silent machine may be running. Grants name the
// machines that may have tasks of a job, and are revoked once they have none. Marks bound the
// tasks of a job that may have been handed out. Only this component writes entries of either
// kind.
package placement

import (
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
)

const (
	minCyclePause   = 20 * time.Millisecond // between a cycle and one requested after a commit
	preemptInterval = 500 * time.Millisecond
)

// Component places tasks in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	// Scheduling cycle.

	planned     []*workers.Placement // plans of the cycle under way
	cycledAt    time.Duration        // when the last cycle ran
	preemptedAt time.Duration        // when preemption last ran

	// Grants, by job id.

	newGrants      map[uint64][]*workers.Machine // to be written
	grants         map[uint64][]*workers.Machine // written, in flight or to be written
	revoked        map[uint64][]int              // numbers of machines whose grants are to be revoked
	grantsInFlight [][]*workers.Machine          // machines of each entry in flight to the log, in order

	replayedGrants    map[uint64]map[int]bool  // by job id and machine number, while the log is replayed
	compactedMachines map[int]*workers.Machine // by number, while the log is compacted

	marks intentMarks
}

// New returns the component of a term.
func New(state *cluster.State) *Component {
	return &Component{
		State:          state,
		newGrants:      map[uint64][]*workers.Machine{},
		grants:         map[uint64][]*workers.Machine{},
		revoked:        map[uint64][]int{},
		replayedGrants: map[uint64]map[int]bool{},
		marks:          newMarks(),
	}
}

// Replay applies an entry of the log.
func (c *Component) Replay(_ time.Duration, entry eventlog.Entry) {
	if entry.Component != nil {
		c.replayMarks(entry.Component)
	}
	if entry.Grant != nil {
		c.replayGrant(entry.Grant)
	}
}

// Begin determines, once the log is replayed, which machines may have tasks of which jobs. Until
// such a machine is resolved, it may have tasks of these jobs that no report shows.
func (c *Component) Begin(time.Duration) {
	c.recoverGrants()
	for _, machine := range c.Inventory.All() {
		if machine.Unresolved() {
			c.AddUnresolved(machine)
		}
	}
	c.recoverMarks()
}

// EntryDurable handles that an entry of this component has become durable: the tasks whose
// intent it recorded may now start.
func (c *Component) EntryDurable(_ time.Duration, _ bool, entry eventlog.Entry) {
	if entry.Component != nil {
		c.marksDurable()
	}
	if entry.Grant != nil {
		c.grantDurable(entry.Grant)
	}
}

// AppendEntries appends new grants, revoked grants and marks to the log.
func (c *Component) AppendEntries(time.Duration) {
	c.writeGrants()
	c.writeMarks()
}

// Compact rewrites the part of an entry that is still needed.
func (c *Component) Compact(_ time.Duration, entry eventlog.Entry) {
	if entry.Component != nil {
		c.compactMarks(entry.Component)
	}
	if entry.Grant != nil && !entry.Grant.Revoked {
		c.compactGrant(entry.Grant)
	}
}

// CompactionDone drops the state of the compaction.
func (c *Component) CompactionDone() {
	c.compactedMachines = nil
	c.marks.spanCompacted = false
}

// HandleEvent drops everything kept for a removed job, and revokes the grants that a report
// shows to be unused.
func (c *Component) HandleEvent(event cluster.Event) {
	switch event.Kind {
	case cluster.JobRemoved:
		c.forgetGrants(event.Job.Record.ID)
		c.marks.forgetJob(event.Job.Record.ID)
	case cluster.HeartbeatApplied:
		if event.Report.Token == event.Machine.Token {
			c.revokeIdleGrants(event.At, event.Machine, event.Report)
		}
	}
}

// RunCycle runs a scheduling cycle if anything has changed, and preempts tasks in favor of jobs
// that come before theirs in the order.
func (c *Component) RunCycle(now time.Duration) {
	if !c.NeedsCycle {
		return
	}
	c.runCycle(now)
	if c.Cfg.Tunables.Preempt == 1 && now-c.preemptedAt >= preemptInterval && c.Permits(now, cluster.Preempt) {
		c.preemptedAt = now
		c.StopAll(now, c.Scheduler.Preempt(c.Snapshot(now)), cluster.Preempt)
	}
}

// RunCycleAfterCommit runs a scheduling cycle after a commit if anything has changed, unless one ran
// within minCyclePause.
func (c *Component) RunCycleAfterCommit(now time.Duration) {
	if c.NeedsCycle && now-c.cycledAt >= minCyclePause {
		c.runCycle(now)
	}
}

// runCycle plans waiting tasks on machines, and requests that the intent to start them be made
// durable.
func (c *Component) runCycle(now time.Duration) {
	c.NeedsCycle = false
	c.cycledAt = now
	c.planned = c.planned[:0]
	snap := c.Snapshot(now)
	snap.Place = func(job *jobs.Job, task int, machine *workers.Machine) { c.planTask(now, job, task, machine) }
	snap.Unplace = c.cancelTask
	c.planRestarts(&snap)
	c.Counts.LeftWaiting += uint64(c.Scheduler.RunCycle(snap))
	c.MachinesWithPlans = slices.DeleteFunc(c.MachinesWithPlans, func(machine *workers.Machine) bool {
		machine.ListedWithPlans = machine.HasPlans()
		return !machine.ListedWithPlans
	})
	for _, plan := range c.planned {
		if c.Placements[plan.Ref] == plan { // not cancelled in the same cycle
			c.announcePlan(plan)
		}
	}
}

// planTask plans a task of a job on a machine.
func (c *Component) planTask(now time.Duration, job *jobs.Job, task int, machine *workers.Machine) {
	ref := workers.TaskRef{Job: job.Index, Task: int32(task)}
	job.Place(task)
	job.CountInZone(machine.Zone, 1)
	plan := &workers.Placement{
		Ref:            ref,
		JobID:          job.Record.ID,
		Image:          job.Image,
		Need:           job.Need,
		BoundToMachine: job.Record.Kind == jobs.Gang || job.HasZoneRule(),
		PushDispatch:   job.MayPushTo(machine.InFirstSession()),
	}
	c.Placements[ref] = plan
	if job.Record.Kind == jobs.Gang {
		if job.GangAttempt == 0 {
			job.GangAttempt = c.NextAttempt()
		}
		plan.Attempt = job.GangAttempt
	}
	machine.Plan(plan)
	c.planned = append(c.planned, plan)
	if c.StartPacer != nil {
		c.StartPacer.TaskStarted(now, machine)
	}
	if c.Pools != nil {
		c.Pools.TaskPlaced(job)
	}
	machine.UseImage(job.Image, job.Record.ImageGB, now)
}

// cancelTask cancels the plan for a task of a job in the cycle that made it.
func (c *Component) cancelTask(job *jobs.Job, task int) {
	c.CancelPlan(c.Placements[workers.TaskRef{Job: job.Index, Task: int32(task)}])
	if c.Pools != nil {
		c.Pools.TaskRemoved(job)
	}
}

// announcePlan lists a plan of the cycle for dispatch, and requests the mark and the grant that
// must be durable before the plan may be offered.
func (c *Component) announcePlan(plan *workers.Placement) {
	c.TrackMachineWithPlans(plan.Machine)
	if plan.PushDispatch {
		c.DispatchQueue = append(c.DispatchQueue, plan)
	}
	c.markPlan(plan)
	c.requestGrant(plan)
}
