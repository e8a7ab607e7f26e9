package scheduler

import (
	"cmp"
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// reserveFor reserves machines for a job that fits nowhere now, and reports whether it reserved
// any. Of the machines that could host the job it takes those with the most free processors, as
// many as are needed for the waiting tasks that the team's limit allows. For a job bound to one zone
// they are in one zone. For a gang it reserves nothing unless the whole gang would fit, since the
// gang could not start otherwise.
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

// possibleHosts returns the machines that could host a job if they were empty, those with the most
// free processors first, and how many of its tasks fit on them in all. For a job bound to one zone
// they are those of the zone where the most tasks fit.
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

// waitingWithinLimit returns how many of a job's waiting tasks its team's limit allows at once.
func (s *Scheduler) waitingWithinLimit(snap *Snapshot, job *jobs.Job) int {
	tasks := 0
	for tasks < job.Waiting && s.withinLimit(snap, job, tasks+1) {
		tasks++
	}
	return tasks
}
