package scheduler

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
)

// Pools counts the units (licences and the like) that some tasks need besides room on
// a machine. It decides which tasks may start; the scheduler reports what it places.
type Pools interface {
	// BeginCycle begins a scheduling cycle: list has the jobs that could start a task now but for
	// units and room, in the order in which they get room.
	BeginCycle(now time.Duration, list []*jobs.Job)
	// Allows reports whether so many more tasks of a job may start.
	Allows(j *jobs.Job, tasks int) bool
	// TaskPlaced counts a task that was placed.
	TaskPlaced(j *jobs.Job)
	// TaskRemoved takes back TaskPlaced for a task whose plan was dropped in the same cycle.
	TaskRemoved(j *jobs.Job)
	// StartableTasks is how many more tasks the units that are left let start.
	StartableTasks(j *jobs.Job) int
	// WaitReason says in words what a job waits for; empty: nothing.
	WaitReason(j *jobs.Job) string
	// Unsatisfiable says in words why a job could never have the units it asks for; empty: it could.
	Unsatisfiable(rec *eventlog.Job) string
}

// beginUnitCycle gives the pools the jobs that could start a task in this cycle:
// services first, then the others in their order.
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

// couldUseUnits reports whether a job needs counted units, and could start a task now
// but for units and room.
func (s *Scheduler) couldUseUnits(snap *Snapshot, job *jobs.Job) bool {
	return len(job.Record.Counted) > 0 &&
		job.Waiting > 0 &&
		s.ready(snap, job) &&
		snap.nextTask(job) >= 0 &&
		s.withinLimit(snap, job, 1)
}
