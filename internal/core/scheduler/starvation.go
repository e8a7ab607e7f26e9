package scheduler

import (
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

const (
	starvationLimit         = 60 * time.Second // how long a job waits before it gets room that its user permits
	starvationCheckInterval = time.Second      // how often starved jobs are looked for
)

// placeStarved implements the exception left_waiting. A job is starved if for starvationLimit it has
// waited for nothing but room while machines that its user permits had room for one of its tasks, or
// for all of a gang. It then gets that room, even if the room is reserved for another job or kept
// for accelerated tasks, if the leader prefers other machines for the job, or if the machine is
// being drained. smallestCPU is what the smallest waiting task needs, in thousandths of a processor.
// placeStarved returns how many jobs got room.
//
// Without this exception nothing limits how long room stays reserved for a job that does not fit. In
// a test with services on all machines and an urgent gang that fitted on none of them, other gangs
// waited for the whole day of the test although there was room for them.
func (s *Scheduler) placeStarved(snap *Snapshot, smallestCPU int64) (served int) {
	if snap.Now-s.starvationCheckedAt < starvationCheckInterval {
		return 0
	}
	s.starvationCheckedAt = snap.Now
	machines := snap.servingMachinesWithRoom(smallestCPU)
	var refusals []refusal
	snap.starvedOnly = true
	for _, job := range snap.Jobs.All() {
		if job == nil {
			continue
		}
		refused := func(r refusal) bool { return r.covers(job, job.Record.Spot) }
		if !s.mayStarve(snap, job) || slices.ContainsFunc(refusals, refused) {
			job.StarvedSince = 0
			continue
		}
		switch {
		case !snap.hasRoom(job, machines):
			job.StarvedSince = 0
			if job.Record.Kind != jobs.Gang && !job.HasZoneRule() {
				refusals = append(refusals, refusal{need: job.Need, spot: job.Record.Spot, types: job.AllowedTypes, zone: job.Record.Zone})
			}
		case job.StarvedSince == 0:
			job.StarvedSince = snap.Now
		case snap.Now-job.StarvedSince >= starvationLimit:
			if s.placeStarvedJob(snap, job, machines) {
				served++
			}
		}
	}
	snap.starvedOnly = false
	return served
}

// servingMachinesWithRoom returns the machines, including draining ones, that have enough free
// processors for the smallest waiting task.
func (snap *Snapshot) servingMachinesWithRoom(smallestCPU int64) []*workers.Machine {
	var machines []*workers.Machine
	for _, machine := range snap.Inventory.All() {
		if machine.Free.CPU >= smallestCPU &&
			(machine.Free.CPU > 0 || machine.Free.GPU > 0) &&
			machine.CanRunTasks(snap.Now, snap.SuspectAfter) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// mayStarve reports whether a job waits for nothing but room: it may start, and neither its team's
// limit nor counted units prevent that.
func (s *Scheduler) mayStarve(snap *Snapshot, job *jobs.Job) bool {
	return job.Waiting > 0 &&
		s.ready(snap, job) &&
		snap.nextTask(job) >= 0 &&
		s.withinLimit(snap, job, job.GangSize()) &&
		snap.unitsSuffice(job, job.GangSize())
}

// placeStarvedJob places as many tasks of a starved job as there is room for, and reports whether
// it placed any.
func (s *Scheduler) placeStarvedJob(snap *Snapshot, job *jobs.Job, machines []*workers.Machine) bool {
	placedBefore := job.Placed
	s.placeJob(snap, job, machines)
	if job.Placed == placedBefore {
		return false
	}
	job.StarvedSince = 0
	for _, machine := range machines {
		if machine.Draining && machine.HasPlans() {
			// The plan would be withdrawn if the machine were still draining.
			machine.Draining = false
			machine.NotDrainedBefore = snap.Now + starvationLimit
		}
	}
	return true
}

// hasRoom reports whether those of the machines that a job's user permits have room for one more of
// its tasks, or for all waiting tasks of a gang.
func (snap *Snapshot) hasRoom(job *jobs.Job, machines []*workers.Machine) bool {
	need := job.GangSize()
	placesByZone := map[int32]int{}
	for _, machine := range machines {
		if !job.Need.Fits(machine.Free) || !job.ZoneAllows(machine.Zone) || !permittedByUser(job, machine, snap.Zone) {
			continue
		}
		if need == 1 {
			return true
		}
		placesByZone[machine.Zone] += TasksThatFit(job.Need, machine.Free)
	}
	return usablePlaces(job, placesByZone) >= need &&
		!job.GangFailed &&
		(!job.GangStarted || job.Placed == 0)
}

// usablePlaces returns how many of the places in all zones a job may use at once by its zone rule.
func usablePlaces(job *jobs.Job, placesByZone map[int32]int) int {
	total, mostInOneZone := 0, 0
	for zone, places := range placesByZone {
		if job.Record.Spread {
			places = min(places, job.MaxTasksPerZone()-job.PlacedByZone[zone])
		}
		total += places
		mostInOneZone = max(mostInOneZone, places)
	}
	if job.Record.OneZone {
		return mostInOneZone
	}
	return total
}
