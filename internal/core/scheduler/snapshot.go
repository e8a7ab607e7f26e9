package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/sizing"
	"bitternmoor/internal/core/workers"
	"time"
)

// Snapshot is what a pass looks at.
type Snapshot struct {
	Now             time.Duration
	SuspectAfter    time.Duration // a machine silent for longer gets nothing
	Jobs            *jobs.Table
	Inventory       *workers.Inventory
	Estimator       *sizing.Estimator
	UnresolvedUse   []resources.Amounts // by team: machines of an earlier term that may have its tasks
	UnknownGrants   bool                // one of them may have tasks of any job
	AcceleratedNeed resources.Amounts   // the largest need of a task with accelerators, as of late; zero: there is none
	Pools           Pools               // nil: there are none
	Zone            func(string) int32
	Place           func(j *jobs.Job, k int, m *workers.Machine)
	MayStart        func(j *jobs.Job, m *workers.Machine) bool // whether a task may be started now; nil: any
	lendablePlaces  int                                        // places for tasks with accelerators that may be lent to others
	localityOnly    bool                                       // jobs that have not waited long leave machines without their image
	starvedOnly     bool                                       // a job that was left waiting gets whatever it may have
	Unplace         func(j *jobs.Job, k int)                   // takes back a plan that was not sent
}

// unresolvedUseOf is what machines that are not resolved may be using of a team.
func (w *Snapshot) unresolvedUseOf(team int32) resources.Amounts {
	if int(team) < len(w.UnresolvedUse) {
		return w.UnresolvedUse[team]
	}
	return resources.Amounts{}
}

// mayRunUnseen says whether tasks of a job that are not seen may run on machines
// of an earlier term.
func (w *Snapshot) mayRunUnseen(j *jobs.Job) bool { return j.MayRunUnseen(w.UnknownGrants) }

// unitsAllow says whether so many more tasks of a job may have the units that they need.
// Without anybody who counts them none that needs any may start.
func (w *Snapshot) unitsAllow(j *jobs.Job, tasks int) bool {
	return len(j.Record.Counted) == 0 || (w.Pools != nil && w.Pools.Allows(j, tasks))
}

// nextTask is the task of a job that gets room next, or -1. While tasks of an earlier
// term may run unseen it is one that no earlier term can have started.
func (w *Snapshot) nextTask(j *jobs.Job) int {
	switch {
	case !w.mayRunUnseen(j):
		return j.NextWaiting(len(j.Tasks))
	case j.Record.Kind == jobs.Gang || j.ZoneRule():
		return -1 // where the others may be matters too
	}
	return j.NextFresh()
}
