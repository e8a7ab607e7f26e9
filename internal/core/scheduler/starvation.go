package scheduler

import (
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

const (
	starvationLimit         = 60 * time.Second // how long a job waits beside room that it may have before it gets it
	starvationCheckInterval = time.Second      // how often starved jobs are looked for
)

// placeStarved is the exception left_waiting: a job of which a task has waited for
// starvationLimit while machines on which its user lets it be had room for it all the time,
// or for all of a gang, and its team was under its limit, gets that room. It gets it whatever
// the room was reserved or kept for, also where the leader would rather have the tasks
// elsewhere, and also on machines that were to be returned. Room reserved for a first job
// that does not fit has no limit in time otherwise. Found in a test with services on all
// machines, an urgent gang that fits none of them, and gangs that waited beside them for as
// long as the day was.
//
// smallestCPU is what the smallest task that waits needs, in thousandths of a processor. It
// returns how many jobs got room.
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

// servingMachinesWithRoom lists the machines, also such that are to be returned, that have
// room for the smallest task that waits.
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

// mayStarve reports whether a job waits for nothing but room.
func (s *Scheduler) mayStarve(snap *Snapshot, job *jobs.Job) bool {
	return job.Waiting > 0 &&
		s.ready(snap, job) &&
		snap.nextTask(job) >= 0 &&
		s.withinLimit(snap, job, job.GangSize()) &&
		snap.unitsAllow(job, job.GangSize())
}

// placeStarvedJob gives a starved job what room there is for it, and reports whether that
// was any.
func (s *Scheduler) placeStarvedJob(snap *Snapshot, job *jobs.Job, machines []*workers.Machine) bool {
	placedBefore := job.Placed
	s.placeJob(snap, job, machines)
	if job.Placed == placedBefore {
		return false
	}
	job.StarvedSince = 0
	for _, machine := range machines {
		if machine.Draining && machine.HasPlans() {
			// The plan would be taken back otherwise.
			machine.Draining = false
			machine.NotDrainedBefore = snap.Now + starvationLimit
		}
	}
	return true
}

// hasRoom reports whether the machines that a job may use have room for one more of its
// tasks, or for all of a gang.
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
		(!job.GangBegan || job.Placed == 0)
}

// usablePlaces is how many of the places in each zone a job may use together by its rule
// on zones.
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
