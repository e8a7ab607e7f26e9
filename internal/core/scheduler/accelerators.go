package scheduler

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

// acceleratedNeedRetention is for how long machines are kept for work that needs their
// accelerators while none is there.
const acceleratedNeedRetention = 10 * time.Minute

// Bounds for lending places of tasks with accelerators to tasks without.
const (
	maxLentSeconds  = 120 // mean run time, in seconds, up to which a task may be lent a place
	minUnlentPlaces = 8   // places that are never lent,
	unlentShare     = 8   // or one in so many of all, if that is more
)

// LargestAcceleratedNeed is the largest need of a task with accelerators: of the jobs there are, or of
// the last ones for acceleratedNeedRetention after they have left.
func (s *Scheduler) LargestAcceleratedNeed(now time.Duration, table *jobs.Table) resources.Amounts {
	var largest resources.Amounts
	for _, job := range table.All() {
		if job != nil && job.Need.GPU > 0 {
			largest.CPU = max(largest.CPU, job.Need.CPU)
			largest.GPU = max(largest.GPU, job.Need.GPU)
			largest.Mem = max(largest.Mem, job.Need.Mem)
		}
	}
	switch {
	case largest.GPU > 0:
		s.acceleratedNeed, s.acceleratedNeedAt = largest, now
	case now-s.acceleratedNeedAt > acceleratedNeedRetention:
		s.acceleratedNeed = resources.Amounts{}
	}
	return s.acceleratedNeed
}

// keptForAccelerators reports whether a machine is kept for tasks that need its
// accelerators, before a job that needs none and fits elsewhere: no more of its tasks get
// there than leave the machine as many places for accelerated tasks as it has in all.
func (snap *Snapshot) keptForAccelerators(job *jobs.Job, machine *workers.Machine) bool {
	return machine.Capacity.GPU > 0 &&
		job.Need.GPU == 0 &&
		job.FitsWithoutGPU &&
		snap.AcceleratedNeed.GPU > 0
}

// acceleratedPlaces is how many tasks of the largest need with accelerators fit into room.
func (snap *Snapshot) acceleratedPlaces(room resources.Amounts) int {
	return TasksThatFit(snap.AcceleratedNeed, room)
}

// mayLend reports whether one more task that needs no accelerator may be placed on a machine
// that is kept for those that do: where it leaves as many places for them as the machine has
// in all, or, for a short task, where it takes none of those left or more are free than
// accelerated tasks wait for. Found on a day with gangs on machines of two accelerators and
// twelve processors: replicas of one processor ran on most of them for minutes, and a third
// of the accelerators was idle while gangs waited.
func (snap *Snapshot) mayLend(job *jobs.Job, machine *workers.Machine) bool {
	unused := machine.Capacity.Minus(machine.UsedWithoutGPU)
	placesAfter := snap.acceleratedPlaces(unused.Minus(job.Need))
	if placesAfter >= snap.acceleratedPlaces(machine.Capacity) {
		return true
	}
	return job.Record.Kind == jobs.Array &&
		job.MeanRunSeconds() <= maxLentSeconds &&
		(snap.lendablePlaces > 0 || placesAfter >= snap.acceleratedPlaces(unused))
}

// recordLent takes the places that a task takes from accelerated ones off those that may
// be lent.
func (snap *Snapshot) recordLent(job *jobs.Job, machine *workers.Machine) {
	unused := machine.Capacity.Minus(machine.UsedWithoutGPU)
	snap.lendablePlaces -= max(0, snap.acceleratedPlaces(unused)-snap.acceleratedPlaces(unused.Minus(job.Need)))
}

// countLendable is how many places for tasks with accelerators are free beyond those for
// which tasks wait and a reserve for tasks that may come.
func (snap *Snapshot) countLendable() int {
	free, all, waiting := 0, 0, 0
	for _, machine := range snap.Inventory.All() {
		if machine.Capacity.GPU > 0 && machine.AcceptsPlans(snap.Now, snap.SuspectAfter) {
			free += snap.acceleratedPlaces(machine.Free)
			all += snap.acceleratedPlaces(machine.Capacity)
		}
	}
	for _, job := range snap.Jobs.All() {
		if job != nil && job.Need.GPU > 0 {
			waiting += job.Waiting
		}
	}
	return free - waiting - max(minUnlentPlaces, all/unlentShare)
}
