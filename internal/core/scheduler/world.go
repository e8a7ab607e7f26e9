package scheduler

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/sizing"
	"bitternmoor/internal/core/workers"
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
	lend            int                                        // places for tasks with accelerators that may be lent to others
	local           bool                                       // jobs that have not waited long leave machines without their image
	left            bool                                       // a job that was left waiting gets whatever it may have
	Unplace         func(j *jobs.Job, k int)                   // takes back a plan that was not sent
}

// missing is what machines that are not resolved may be using of a team.
func (w *Snapshot) missing(team int32) resources.Amounts {
	if int(team) < len(w.UnresolvedUse) {
		return w.UnresolvedUse[team]
	}
	return resources.Amounts{}
}

// unsettled says whether tasks of a job that are not seen may run on machines
// of an earlier term.
func (w *Snapshot) unsettled(j *jobs.Job) bool { return j.MayRunUnseen(w.UnknownGrants) }

// units says whether so many more tasks of a job may have the units that they need.
// Without anybody who counts them none that needs any may start.
func (w *Snapshot) units(j *jobs.Job, tasks int) bool {
	return len(j.Record.Counted) == 0 || (w.Pools != nil && w.Pools.Allows(j, tasks))
}

// next is the task of a job that gets room next, or -1. While tasks of an earlier
// term may run unseen it is one that no earlier term can have started.
func (w *Snapshot) next(j *jobs.Job) int {
	switch {
	case !w.unsettled(j):
		return j.NextWaiting(len(j.Tasks))
	case j.Record.Kind == jobs.Gang || j.ZoneRule():
		return -1 // where the others may be matters too
	}
	return j.NextFresh()
}

// suits says whether one more task of a job could be on a machine if that
// were free.
func (w *Snapshot) suits(j *jobs.Job, m *workers.Machine) bool {
	return !w.kept(j, m) && j.Need.Fits(m.Cap) && Allowed(j, m, w.Zone) && j.ZoneAllows(m.Zone)
}

// kept says whether a machine is kept for tasks that need its accelerators, before one
// that needs none and can be elsewhere: no more of them get there than leave as many of
// the others their place as it has.
func (w *Snapshot) kept(j *jobs.Job, m *workers.Machine) bool {
	return m.Cap.GPU > 0 && j.Need.GPU == 0 && j.FitsWithoutGPU && w.AcceleratedNeed.GPU > 0
}

// mayLend says whether one more task that needs no accelerator may have room on a machine
// that is kept: where it leaves room for as many that do as the machine has, or, for a
// short while, where more are free than such tasks wait for. Found on a day with gangs on
// machines of two accelerators and twelve processors: replicas of one processor stood on
// most of them for minutes, and a third of the accelerators was idle while gangs waited.
func (w *Snapshot) mayLend(j *jobs.Job, m *workers.Machine) bool {
	left := m.Cap.Minus(m.UsedWithoutGPU)
	after := TasksThatFit(w.AcceleratedNeed, left.Minus(j.Need))
	if after >= TasksThatFit(w.AcceleratedNeed, m.Cap) {
		return true
	}
	return j.Record.Kind == jobs.Array && j.Mean() <= lentFor && (w.lend > 0 || after >= TasksThatFit(w.AcceleratedNeed, left))
}

// lent counts what a task takes from those that need accelerators.
func (w *Snapshot) lent(j *jobs.Job, m *workers.Machine) {
	left := m.Cap.Minus(m.UsedWithoutGPU)
	w.lend -= max(0, TasksThatFit(w.AcceleratedNeed, left)-TasksThatFit(w.AcceleratedNeed, left.Minus(j.Need)))
}

// lendable is how many places for tasks with accelerators are free beyond those that wait
// and some that may come.
func (w *Snapshot) lendable() int {
	free, all, waiting := 0, 0, 0
	for _, m := range w.Inventory.All() {
		if m.Cap.GPU > 0 && m.Usable(w.Now, w.SuspectAfter) {
			free += TasksThatFit(w.AcceleratedNeed, m.Free)
			all += TasksThatFit(w.AcceleratedNeed, m.Cap)
		}
	}
	for _, j := range w.Jobs.All() {
		if j != nil && j.Need.GPU > 0 {
			waiting += j.Waiting
		}
	}
	return free - waiting - max(lendLeast, all/lendShare)
}

const (
	lentFor   = 120 // seconds that a task runs at most for which such a place is lent
	lendLeast = 8   // places that are never lent
	lendShare = 8   // and one in so many of all
)
