package scheduler

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

// acceleratedNeedRetention is how long machines are still kept for tasks that need their
// accelerators after the last such job has left.
const acceleratedNeedRetention = 10 * time.Minute

// Limits on lending places for accelerated tasks to tasks that need no accelerator. A place is
// room for one task of the largest need with accelerators.
const (
	maxLentSeconds  = 120 // longest mean run time, in seconds, of a task that may be lent a place
	minUnlentPlaces = 8   // free places that are never lent, at least
	unlentShare     = 8   // one in this many of all places is not lent, if that is more than minUnlentPlaces
)

// LargestAcceleratedNeed returns the largest need of a task with accelerators, for each resource
// by itself, among the present jobs. After the last such job has left, it returns the last value
// for acceleratedNeedRetention, then zero.
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

// keptForAccelerators reports whether a machine is kept free of a job's tasks for the sake of tasks
// that need its accelerators: the job needs none and fits on machines without. mayLendPlace decides
// whether a task of such a job may be placed there nevertheless.
func (snap *Snapshot) keptForAccelerators(job *jobs.Job, machine *workers.Machine) bool {
	return machine.Capacity.GPU > 0 &&
		job.Need.GPU == 0 &&
		job.FitsWithoutGPU &&
		snap.AcceleratedNeed.GPU > 0
}

// acceleratedPlaces returns how many tasks of the largest need with accelerators fit into room.
func (snap *Snapshot) acceleratedPlaces(room resources.Amounts) int {
	return TasksThatFit(snap.AcceleratedNeed, room)
}

// mayLendPlace reports whether one more task that needs no accelerator may be placed on a machine
// that is kept for accelerated tasks. It may if the machine then still has as many places for
// accelerated tasks as when it is empty. A short task may also if it takes none of the places
// left, or while countLendablePlaces leaves places to lend.
//
// Without this rule, on machines with two accelerators and twelve processors, one-processor
// replicas ran on most machines for minutes, and a third of the accelerators was idle while gangs
// waited.
func (snap *Snapshot) mayLendPlace(job *jobs.Job, machine *workers.Machine) bool {
	unused := machine.Capacity.Minus(machine.UsedWithoutGPU)
	placesAfter := snap.acceleratedPlaces(unused.Minus(job.Need))
	if placesAfter >= snap.acceleratedPlaces(machine.Capacity) {
		return true
	}
	return job.Record.Kind == jobs.Array &&
		job.MeanRunSeconds() <= maxLentSeconds &&
		(snap.lendablePlaces > 0 || placesAfter >= snap.acceleratedPlaces(unused))
}

// recordLentPlaces subtracts the places that a task takes from accelerated tasks from those that may
// still be lent.
func (snap *Snapshot) recordLentPlaces(job *jobs.Job, machine *workers.Machine) {
	unused := machine.Capacity.Minus(machine.UsedWithoutGPU)
	snap.lendablePlaces -= max(0, snap.acceleratedPlaces(unused)-snap.acceleratedPlaces(unused.Minus(job.Need)))
}

// countLendablePlaces returns how many places for accelerated tasks are free beyond those that waiting
// tasks need and a reserve for tasks that may arrive.
func (snap *Snapshot) countLendablePlaces() int {
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
