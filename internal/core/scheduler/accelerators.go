package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"time"
)

// accelKept is for how long machines are kept for work that needs their accelerators when
// none is there.
const acceleratedNeedRetention = 10 * time.Minute

const (
	maxLentSeconds  = 120 // seconds that a task runs at most for which such a place is lent
	minUnlentPlaces = 8   // places that are never lent
	unlentShare     = 8   // and one in so many of all
)

// Accelerated is the largest need of a task with accelerators: of the jobs there are, or of
// the last ones for a while after they have left.
func (p *Scheduler) Accelerated(now time.Duration, t *jobs.Table) resources.Amounts {
	var most resources.Amounts
	for _, j := range t.All() {
		if j != nil && j.Need.GPU > 0 {
			most = resources.Amounts{CPU: max(most.CPU, j.Need.CPU), GPU: max(most.GPU, j.Need.GPU), Mem: max(most.Mem, j.Need.Mem)}
		}
	}
	switch {
	case most.GPU > 0:
		p.acceleratedNeed, p.acceleratedNeedAt = most, now
	case now-p.acceleratedNeedAt > acceleratedNeedRetention:
		p.acceleratedNeed = resources.Amounts{}
	}
	return p.acceleratedNeed
}

// keptForAccelerators says whether a machine is kept for tasks that need its accelerators, before one
// that needs none and can be elsewhere: no more of them get there than leave as many of
// the others their place as it has.
func (w *Snapshot) keptForAccelerators(j *jobs.Job, m *workers.Machine) bool {
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
	return j.Record.Kind == jobs.Array && j.Mean() <= maxLentSeconds && (w.lendablePlaces > 0 || after >= TasksThatFit(w.AcceleratedNeed, left))
}

// recordLent counts what a task takes from those that need accelerators.
func (w *Snapshot) recordLent(j *jobs.Job, m *workers.Machine) {
	left := m.Cap.Minus(m.UsedWithoutGPU)
	w.lendablePlaces -= max(0, TasksThatFit(w.AcceleratedNeed, left)-TasksThatFit(w.AcceleratedNeed, left.Minus(j.Need)))
}

// countLendable is how many places for tasks with accelerators are free beyond those that wait
// and some that may come.
func (w *Snapshot) countLendable() int {
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
	return free - waiting - max(minUnlentPlaces, all/unlentShare)
}
