package scheduler

import (
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// placeGang places all waiting tasks of a gang or none, and reports whether it placed them. Until
// all tasks of the gang have run, lost ones are replaced within the same attempt.
func (s *Scheduler) placeGang(snap *Snapshot, job *jobs.Job, machines []*workers.Machine) bool {
	if job.GangFailed ||
		(job.GangStarted && job.Placed > 0) ||
		!s.withinLimit(snap, job, job.Waiting) ||
		!snap.unitsSuffice(job, job.Waiting) {
		return false
	}
	if job.Record.OneZone && job.Placed == 0 {
		return s.placeGangInOneZone(snap, job, machines)
	}
	return s.placeAllOrNone(snap, job, machines)
}

// placeGangInOneZone tries one zone after another for a gang that must run in one zone and has no
// task placed yet: the zone of the best machine may not have room for all tasks.
func (s *Scheduler) placeGangInOneZone(snap *Snapshot, job *jobs.Job, machines []*workers.Machine) bool {
	var tried []int32
	for _, machine := range machines {
		zone := machine.Zone
		if slices.Contains(tried, zone) {
			continue
		}
		tried = append(tried, zone)
		if s.placeAllOrNone(snap, job, machinesInZone(machines, zone)) {
			return true
		}
		s.refusals = s.refusals[:0] // they hold for one zone only
	}
	return false
}

// machinesInZone returns the machines of one zone, in their order, in a new slice.
func machinesInZone(machines []*workers.Machine, zone int32) []*workers.Machine {
	elsewhere := func(machine *workers.Machine) bool { return machine.Zone != zone }
	return slices.DeleteFunc(slices.Clone(machines), elsewhere)
}

// placeAllOrNone places all waiting tasks of a job or none, and reports whether it placed them.
func (s *Scheduler) placeAllOrNone(snap *Snapshot, job *jobs.Job, machines []*workers.Machine) bool {
	var placed []int
	for {
		k := snap.nextTask(job)
		if k < 0 {
			return true
		}
		if !s.placeTask(snap, job, k, machines) {
			break
		}
		placed = append(placed, k)
	}
	for _, k := range placed {
		snap.Unplace(job, k)
		s.refusals = s.refusals[:0] // the withdrawn plans leave room again
	}
	return false
}
