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

	// The jobs and machines of the cluster.

	Jobs      *jobs.Table
	Inventory *workers.Inventory
	Estimator *sizing.Estimator
	Pools     Pools // nil: there are none

	// What may be running on unresolved machines. A machine of an earlier term is unresolved until
	// it has reported.

	UnresolvedUse          []resources.Amounts // by team: what its tasks on these machines may use
	AnyJobMayRunUnreported bool                // one of these machines may have tasks of any job

	// AcceleratedNeed is the result of LargestAcceleratedNeed; zero if no job needs accelerators.
	AcceleratedNeed resources.Amounts

	// Callbacks.

	Zone     func(string) int32                           // index of a zone by its name
	Place    func(j *jobs.Job, k int, m *workers.Machine) // plans task k of a job on a machine
	Unplace  func(j *jobs.Job, k int)                     // withdraws a plan that was not sent
	MayStart func(j *jobs.Job, m *workers.Machine) bool   // whether a task may be started now; nil: always

	// State of the cycle.

	lendablePlaces int  // places for tasks with accelerators that may be lent to others
	localityOnly   bool // jobs that have not waited for long skip machines without their image
	starvedOnly    bool // a starved job is being placed, on any machine that its user permits
}

// UnresolvedUseOf returns what a team's tasks on unresolved machines may be using.
func (snap *Snapshot) UnresolvedUseOf(team int32) resources.Amounts {
	if int(team) < len(snap.UnresolvedUse) {
		return snap.UnresolvedUse[team]
	}
	return resources.Amounts{}
}

// mayRunUnseen reports whether tasks of a job that an earlier term started may be running on
// machines that have not reported yet.
func (snap *Snapshot) mayRunUnseen(job *jobs.Job) bool {
	return job.MayRunUnreported(snap.AnyJobMayRunUnreported)
}

// unitsSuffice reports whether so many more tasks of a job can get the counted units that they need.
// Without pools no task that needs counted units may start.
func (snap *Snapshot) unitsSuffice(job *jobs.Job, tasks int) bool {
	return len(job.Record.Counted) == 0 || (snap.Pools != nil && snap.Pools.AllowsStart(job, tasks))
}

// nextTask returns the number of the job's task to be placed next, or -1. While tasks that an
// earlier term started may run unseen, it returns only tasks that no earlier term can have started.
func (snap *Snapshot) nextTask(job *jobs.Job) int {
	switch {
	case !snap.mayRunUnseen(job):
		return job.NextWaiting(len(job.Tasks))
	case job.Record.Kind == jobs.Gang || job.HasZoneRule():
		return -1 // the placement also depends on the tasks that are not seen
	}
	return job.NextUnassigned()
}
