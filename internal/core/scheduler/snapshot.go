package scheduler

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/sizing"
	"bitternmoor/internal/core/workers"
)

// Snapshot is the state of the cluster that a scheduling cycle reads, and the
// callbacks through which it changes that state.
type Snapshot struct {
	Now          time.Duration
	SuspectAfter time.Duration // a machine without a heartbeat for longer gets no tasks

	// What there is.

	Jobs      *jobs.Table
	Inventory *workers.Inventory
	Estimator *sizing.Estimator
	Pools     Pools // nil: there are none

	// What machines of an earlier term may have that have not reported yet.

	UnresolvedUse []resources.Amounts // by team: what its tasks there may use
	UnknownGrants bool                // one of them may have tasks of any job

	// AcceleratedNeed is the largest need of a task with accelerators, as Accelerated
	// returns it; zero: there is none.
	AcceleratedNeed resources.Amounts

	// Callbacks.

	Zone     func(string) int32                           // index of a zone by its name
	Place    func(j *jobs.Job, k int, m *workers.Machine) // plans task k of a job on a machine
	Unplace  func(j *jobs.Job, k int)                     // takes back a plan that was not sent
	MayStart func(j *jobs.Job, m *workers.Machine) bool   // whether a task may be started now; nil: any

	// State of the cycle.

	lendablePlaces int  // places for tasks with accelerators that may be lent to others
	localityOnly   bool // jobs that have not waited long leave machines without their image
	starvedOnly    bool // a starved job gets whatever its user permits
}

// unresolvedUseOf is what machines that are not resolved may be using of a team.
func (snap *Snapshot) unresolvedUseOf(team int32) resources.Amounts {
	if int(team) < len(snap.UnresolvedUse) {
		return snap.UnresolvedUse[team]
	}
	return resources.Amounts{}
}

// mayRunUnseen reports whether tasks of a job may run on machines of an earlier
// term that have not reported them yet.
func (snap *Snapshot) mayRunUnseen(job *jobs.Job) bool { return job.MayRunUnseen(snap.UnknownGrants) }

// unitsAllow reports whether so many more tasks of a job may have the counted units
// that they need. Without pools no task that needs any may start.
func (snap *Snapshot) unitsAllow(job *jobs.Job, tasks int) bool {
	return len(job.Record.Counted) == 0 || (snap.Pools != nil && snap.Pools.Allows(job, tasks))
}

// nextTask is the task of a job that is placed next, or -1. While tasks of an earlier
// term may run unseen it is one that no earlier term can have started.
func (snap *Snapshot) nextTask(job *jobs.Job) int {
	switch {
	case !snap.mayRunUnseen(job):
		return job.NextWaiting(len(job.Tasks))
	case job.Record.Kind == jobs.Gang || job.HasZoneRule():
		return -1 // the placement of the tasks not seen matters too
	}
	return job.NextUnassigned()
}
