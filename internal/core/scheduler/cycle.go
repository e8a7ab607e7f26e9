package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// RunCycle runs one scheduling cycle. It places, through snap.Place, all tasks that the scheduling
// order and the limits allow and that find room. It returns how many starved jobs (see
// placeStarved) got room.
func (s *Scheduler) RunCycle(snap Snapshot) (starvedServed int) {
	s.refusals = s.refusals[:0]
	if snap.AcceleratedNeed.GPU > 0 {
		snap.lendablePlaces = snap.countLendablePlaces()
	}
	order := s.JobOrder(&snap)
	smallestCPU := snap.smallestWaitingCPU(order)
	training := snap.runningTraining(order)
	machines := s.machinesWithRoom(&snap, smallestCPU)
	if smallestCPU < 0 {
		return 0
	}
	if snap.Pools != nil {
		s.beginUnitCycle(&snap, order)
	}
	s.placeServices(&snap, machines)
	ahead, ordinary, rest := s.splitByRank(order)
	reserved := s.placeInOrder(&snap, ahead, machines, false)
	s.placeTraining(&snap, ordinary, machines, training)
	if s.Locality > 0 {
		snap.localityOnly = true
		reserved = s.placeInOrder(&snap, rest, machines, reserved)
		snap.localityOnly = false
	}
	s.placeInOrder(&snap, rest, machines, reserved)
	return s.placeStarved(&snap, smallestCPU)
}

// smallestWaitingCPU returns the smallest number of processors that a waiting task needs, in
// thousandths, or -1 if no task of a service or of a job in the order waits.
func (snap *Snapshot) smallestWaitingCPU(order []int32) int64 {
	smallest := int64(-1)
	consider := func(job *jobs.Job) {
		if job.Waiting > 0 && (smallest < 0 || job.Need.CPU < smallest) {
			smallest = job.Need.CPU
		}
	}
	for _, job := range snap.Jobs.All() {
		if job != nil && job.Record.Kind == jobs.Service {
			consider(job)
		}
	}
	for _, i := range order {
		consider(snap.Jobs.ByIndex(i))
	}
	return smallest
}

// runningTraining returns the number of training tasks that are already placed.
func (snap *Snapshot) runningTraining(order []int32) int {
	running := 0
	for _, i := range order {
		if !snap.Estimator.InTraining(i) {
			continue
		}
		for k, state := range snap.Jobs.ByIndex(i).Tasks {
			if !snap.Estimator.Training(i, k) {
				break
			}
			if state == jobs.Placed {
				running++
			}
		}
	}
	return running
}

// machinesWithRoom returns the machines that may be given tasks and have enough free processors
// for the smallest waiting task. It also clears the last cycle's reservations on all machines.
func (s *Scheduler) machinesWithRoom(snap *Snapshot, smallestCPU int64) []*workers.Machine {
	machines := make([]*workers.Machine, 0, 64)
	for _, machine := range snap.Inventory.All() {
		machine.Reserved = false
		if smallestCPU >= 0 &&
			(s.exhaustive || machine.Free.CPU >= smallestCPU) &&
			(machine.Free.CPU > 0 || machine.Free.GPU > 0) &&
			machine.AcceptsPlans(snap.Now, snap.SuspectAfter) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// splitByRank returns three parts of the order: the jobs that an exception puts ahead of the size
// order, the ordinary jobs, and all jobs that are not ahead, which are the ordinary jobs and those
// that an exception puts behind them.
func (s *Scheduler) splitByRank(order []int32) (ahead, ordinary, rest []int32) {
	first, end := 0, len(order)
	for first < len(order) && s.ranks[order[first]] > 0 {
		first++
	}
	for end > 0 && s.ranks[order[end-1]] < 0 {
		end--
	}
	return order[:first], order[first:end], order[first:]
}

// placeServices places replicas of services, which are placed first and are not in the order.
func (s *Scheduler) placeServices(snap *Snapshot, machines []*workers.Machine) {
	for _, job := range snap.Jobs.All() {
		if job == nil || job.Record.Kind != jobs.Service {
			continue
		}
		for {
			k := snap.nextTask(job)
			if k < 0 || !s.placeTask(snap, job, k, machines) {
				break
			}
		}
	}
}

// placeTraining places training tasks of the ordinary jobs, in their order, until MaxTraining of
// them run at once. running is the number that ran before this cycle.
func (s *Scheduler) placeTraining(snap *Snapshot, ordinary []int32, machines []*workers.Machine, running int) {
	for _, i := range ordinary {
		if running >= s.MaxTraining {
			return
		}
		if !snap.Estimator.InTraining(i) {
			continue
		}
		job := snap.Jobs.ByIndex(i)
		for running < s.MaxTraining {
			k := snap.nextTask(job)
			if k < 0 || !snap.Estimator.Training(i, k) || !s.placeTask(snap, job, k, machines) {
				break
			}
			running++
		}
	}
}

// placeInOrder places tasks of the jobs in their order. It reserves room for the first job that
// does not fit, unless reserved reports that room is already reserved for another one, and returns
// whether room is reserved now.
func (s *Scheduler) placeInOrder(snap *Snapshot, order []int32, machines []*workers.Machine, reserved bool) bool {
	for _, i := range order {
		job := snap.Jobs.ByIndex(i)
		if s.placeJob(snap, job, machines) {
			continue
		}
		if !reserved && s.mayReserve(snap, job) {
			reserved = s.reserveFor(snap, job)
		}
	}
	return reserved
}

// placeJob places as many of a job's waiting tasks as possible, those of a gang all or none. It
// reports whether all tasks that may be placed now were placed.
func (s *Scheduler) placeJob(snap *Snapshot, job *jobs.Job, machines []*workers.Machine) bool {
	for {
		k := snap.nextTask(job)
		if k < 0 {
			return true
		}
		if job.Record.Kind == jobs.Gang {
			return s.placeGang(snap, job, machines)
		}
		if !s.placeTask(snap, job, k, machines) {
			return false
		}
	}
}

// mayReserve reports whether room may be reserved for a job that did not fit. The job must have
// the counted units that it needs: it then waits only for other tasks to end, and none of them
// waits for it.
func (s *Scheduler) mayReserve(snap *Snapshot, job *jobs.Job) bool {
	return !snap.localityOnly &&
		!s.placementDelayed &&
		s.ready(snap, job) &&
		!snap.mayRunUnseen(job) &&
		snap.unitsSuffice(job, job.GangSize()) &&
		s.withinLimit(snap, job, 1)
}
