package scheduler

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

// Costs that placementCost adds up. A thousandth of a processor left unused costs 1, so a second
// of fetching an image costs as much as ten unused processors.
const (
	costPerFetchSecond = 1e4
	costOfKeptMachine  = 1e5 // high enough that such a machine is chosen only if there is no other
)

// maxReplicaImageWait is the longest time that a replica that should start at once waits for a
// machine that has its image.
const maxReplicaImageWait = 400 * time.Millisecond

// placeTask places task k of a job on the best machine, and reports whether it placed the task.
// It sets placementDelayed if there is room that the task may use a little later.
func (s *Scheduler) placeTask(snap *Snapshot, job *jobs.Job, k int, machines []*workers.Machine) bool {
	s.placementDelayed = false
	if !s.ready(snap, job) ||
		!s.withinLimit(snap, job, 1) ||
		(!snap.starvedOnly && s.refused(job)) ||
		!snap.unitsSuffice(job, 1) {
		return false
	}
	best := s.bestMachine(snap, job, machines)
	if best == nil {
		s.recordRefusal(snap, job)
		return false
	}
	if s.replicaWaitsForImage(snap, job, best) {
		s.placementDelayed = true
		return false
	}
	if s.waitsForLocality(snap, job, best) {
		return false
	}
	s.Charge(job.Team, job.Need)
	if job.HomeZone == 0 {
		job.HomeZone = best.Zone + 1
	}
	if snap.keptForAccelerators(job, best) {
		snap.recordLentPlaces(job, best)
	}
	snap.Place(job, k, best)
	return true
}

// bestMachine returns the machine with the lowest cost among those that may be given a task of
// a job now, the first one on a tie, or nil if there is none.
func (s *Scheduler) bestMachine(snap *Snapshot, job *jobs.Job, machines []*workers.Machine) *workers.Machine {
	var best *workers.Machine
	var bestCost int64
	// Only starts of arrays are rate limited: a gang starts as a whole, and services come first.
	rateLimited := snap.MayStart != nil && job.Record.Kind == jobs.Array
	for _, machine := range machines {
		if !job.Need.Fits(machine.Free) || !job.ZoneAllows(machine.Zone) || !snap.mayUse(job, machine) {
			continue
		}
		if rateLimited && !snap.MayStart(job, machine) {
			s.placementDelayed = true
			continue
		}
		cost := s.placementCost(snap, job, machine)
		if best == nil || cost < bestCost {
			best, bestCost = machine, cost
		}
	}
	return best
}

// placementCost returns the cost of placing a task on a machine. It prefers the earliest start,
// then the tightest fit.
func (s *Scheduler) placementCost(snap *Snapshot, job *jobs.Job, machine *workers.Machine) int64 {
	cost := machine.Free.CPU - job.Need.CPU
	if snap.keptForAccelerators(job, machine) {
		cost += costOfKeptMachine
	}
	if !machine.HasImage(job.Image) {
		cost += int64(costPerFetchSecond * job.Record.ImageGB / machine.FetchGBPS)
	}
	if s.ZoneAffinity > 0 && job.HomeZone != 0 && job.HomeZone != machine.Zone+1 {
		cost += int64(costPerFetchSecond * s.ZoneAffinity)
	}
	if job.PushDispatch && !job.MayPushTo(machine.InFirstSession()) {
		cost += int64(costPerFetchSecond * s.untilReport(snap.Now, machine).Seconds())
	}
	return cost
}

// untilReport returns the time until a machine's next report is due.
func (s *Scheduler) untilReport(now time.Duration, machine *workers.Machine) time.Duration {
	return max(0, machine.LastHeartbeat+s.ReportInterval-now)
}

// recordRefusal records that no machine was found for a job's need, unless a machine with room
// was only skipped for now or the job's zone rule may have excluded machines.
func (s *Scheduler) recordRefusal(snap *Snapshot, job *jobs.Job) {
	if snap.starvedOnly || job.HasZoneRule() || s.exhaustive || s.placementDelayed {
		return
	}
	s.refusals = append(s.refusals, refusal{need: job.Need, spot: job.UseSpot, types: job.AllowedTypes, zone: job.Record.Zone})
}

// replicaWaitsForImage reports whether a replica that should start at once leaves room on a machine
// unused because the machine would have to fetch its image first. It waits for a quarter of the time
// that the fetch takes, and at most maxReplicaImageWait: on a full cluster other room becomes free
// sooner than that, often on a machine that has the image.
func (s *Scheduler) replicaWaitsForImage(snap *Snapshot, job *jobs.Job, machine *workers.Machine) bool {
	if snap.starvedOnly || !job.PushDispatch || job.Record.Kind != jobs.Service || machine.HasImage(job.Image) {
		return false
	}
	if job.DelayedSince == 0 {
		job.DelayedSince = snap.Now
	}
	quarterOfFetch := time.Duration(job.Record.ImageGB / machine.FetchGBPS / 4 * float64(time.Second))
	return s.Locality > 0 && snap.Now-job.DelayedSince < min(maxReplicaImageWait, quarterOfFetch)
}

// waitsForLocality reports whether a job leaves room on a machine without its image unused because
// it has waited for less than Locality. It records since when the job has waited.
func (s *Scheduler) waitsForLocality(snap *Snapshot, job *jobs.Job, machine *workers.Machine) bool {
	if snap.localityOnly && job.Record.Kind == jobs.Array && !machine.HasImage(job.Image) {
		if job.DelayedSince == 0 {
			job.DelayedSince = snap.Now
		}
		return snap.Now-job.DelayedSince < s.Locality
	}
	if machine.HasImage(job.Image) {
		job.DelayedSince = 0
	}
	return false
}

// TasksThatFit returns how many tasks with a need fit into room, and 1<<30 if the need is zero.
func TasksThatFit(need, room resources.Amounts) int {
	count := int64(1 << 30)
	limit := func(need, room int64) {
		if need > 0 {
			count = min(count, room/need)
		}
	}
	limit(need.CPU, room.CPU)
	limit(need.GPU, room.GPU)
	limit(need.Mem, room.Mem)
	return int(count)
}
