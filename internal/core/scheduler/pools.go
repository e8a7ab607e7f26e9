package scheduler

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
)

// Pools counts the units, such as licences, that some tasks need besides room on a machine. It
// decides which tasks may start; the scheduler reports each placement to it.
type Pools interface {
	// BeginCycle starts a scheduling cycle. list holds the jobs that could start a task now if they
	// got units and room, in the order in which they get room.
	BeginCycle(now time.Duration, list []*jobs.Job)
	// AllowsStart reports whether the units suffice for so many more tasks of a job.
	AllowsStart(j *jobs.Job, tasks int) bool
	// TaskPlaced counts a task that was placed.
	TaskPlaced(j *jobs.Job)
	// TaskRemoved reverses TaskPlaced for a task whose plan was withdrawn in the same cycle.
	TaskRemoved(j *jobs.Job)
	// StartableTasks returns how many more tasks of a job the remaining units suffice for.
	StartableTasks(j *jobs.Job) int
	// WaitReason returns a text for users on the units that a job waits for, or an empty string if
	// it waits for none.
	WaitReason(j *jobs.Job) string
	// UnsatisfiableReason returns a text for users on why a job can never get the units that it asks for,
	// or an empty string if it can.
	UnsatisfiableReason(rec *eventlog.Job) string
}

// beginUnitCycle passes to the pools the jobs that could start a task in this cycle: services
// first, then the others in their order.
func (s *Scheduler) beginUnitCycle(snap *Snapshot, order []int32) {
	var startable []*jobs.Job
	for _, job := range snap.Jobs.All() {
		if job != nil && job.Record.Kind == jobs.Service && s.couldUseUnits(snap, job) {
			startable = append(startable, job)
		}
	}
	for _, i := range order {
		if job := snap.Jobs.ByIndex(i); s.couldUseUnits(snap, job) {
			startable = append(startable, job)
		}
	}
	snap.Pools.BeginCycle(snap.Now, startable)
}

// couldUseUnits reports whether a job needs counted units and could start a task now if it got
// units and room.
func (s *Scheduler) couldUseUnits(snap *Snapshot, job *jobs.Job) bool {
	return len(job.Record.Counted) > 0 &&
		job.Waiting > 0 &&
		s.ready(snap, job) &&
		snap.nextTask(job) >= 0 &&
		s.withinLimit(snap, job, 1)
}
