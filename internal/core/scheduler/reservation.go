package scheduler

import (
	"cmp"
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// reserveFor reserves the room of machines for a job that fits nowhere now: of those
// that would fit it the ones with most room already, as many as its waiting
// tasks fill and its team may use. For a job bound to one zone they are of
// one zone; for a gang nothing is reserved unless all of it would fit, for then
// waiting would bring nothing. It reports whether any machine is reserved.
func (s *Scheduler) reserveFor(snap *Snapshot, job *jobs.Job) bool {
	hosts, places := snap.possibleHosts(job)
	tasks := s.waitingWithinLimit(snap, job)
	if job.Record.Kind == jobs.Gang && (tasks < job.Waiting || places < job.Waiting) {
		return false
	}
	reserved := false
	for _, machine := range hosts {
		if tasks <= 0 {
			break
		}
		machine.Reserved, reserved = true, true
		tasks -= TasksThatFit(job.Need, machine.Capacity)
	}
	return reserved
}

// possibleHosts lists the machines that could host a job if they were empty, most free
// processors first, and how many of its tasks fit there together; for a job bound to one
// zone those of the zone with the most places.
func (snap *Snapshot) possibleHosts(job *jobs.Job) (hosts []*workers.Machine, places int) {
	placesByZone := map[int32]int{}
	for _, machine := range snap.Inventory.All() {
		if machine.AcceptsPlans(snap.Now, snap.SuspectAfter) && snap.couldHost(job, machine) {
			hosts = append(hosts, machine)
			count := TasksThatFit(job.Need, machine.Capacity)
			placesByZone[machine.Zone] += count
			places += count
		}
	}
	slices.SortFunc(hosts, func(a, b *workers.Machine) int { return cmp.Compare(b.Free.CPU, a.Free.CPU) })
	if !job.Record.OneZone || len(hosts) == 0 {
		return hosts, places
	}
	zone := hosts[0].Zone
	for _, machine := range hosts {
		if placesByZone[machine.Zone] > placesByZone[zone] {
			zone = machine.Zone
		}
	}
	return machinesInZone(hosts, zone), placesByZone[zone]
}

// waitingWithinLimit is how many of a job's waiting tasks its team may use at once.
func (s *Scheduler) waitingWithinLimit(snap *Snapshot, job *jobs.Job) int {
	tasks := 0
	for tasks < job.Waiting && s.withinLimit(snap, job, tasks+1) {
		tasks++
	}
	return tasks
}
