package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

const (
	minWaitToPreempt = time.Second     // a job waits at least this long before others are preempted for it
	preemptPause     = 5 * time.Second // between two rounds for one job, since stopping takes time
	maxLostRuntime   = 5 * time.Second // a task without checkpoints that has run for longer is not preempted
	maxVictims       = 8               // once this many tasks are chosen in one round for one job, no more are
)

// Preempt returns the tasks to be stopped to make room for other jobs: for jobs of higher priority,
// and for jobs within their team's guarantee if the task's team uses more than its own guarantee.
// Only tasks that save their progress or have just begun are stopped. Gangs and services are never
// preempted.
func (s *Scheduler) Preempt(snap Snapshot) []*workers.Placement {
	var stopped, candidates []*workers.Placement
	order := s.JobOrder(&snap)
	// The tasks are listed only once a job is found for which others may be preempted. Until then
	// the lowest rank of all jobs with placed tasks is used as a lower bound on the lowest rank of
	// the preemptible ones.
	lowest, listed := s.lowestPlacedRank(&snap, order), false
	for _, i := range order {
		if s.exhaustive && !listed {
			candidates, lowest = s.preemptible(&snap)
			listed = true
		}
		if s.ranks[i] <= lowest {
			break // neither this job nor a later one ranks above a preemptible task
		}
		job := snap.Jobs.ByIndex(i)
		if !s.mayTriggerPreemption(&snap, job) {
			continue
		}
		if !listed {
			candidates, lowest = s.preemptible(&snap)
			listed = true
			if s.ranks[i] <= lowest {
				break
			}
		}
		victims := s.chooseVictims(&snap, job, candidates)
		if len(victims) == 0 {
			continue
		}
		job.PreemptedAt = snap.Now
		for _, victim := range victims {
			if !slices.Contains(stopped, victim) {
				stopped = append(stopped, victim)
			}
		}
	}
	return stopped
}

// lowestPlacedRank returns the lowest rank of a job with placed tasks.
func (s *Scheduler) lowestPlacedRank(snap *Snapshot, order []int32) int8 {
	lowest := int8(math.MaxInt8)
	for _, i := range order {
		if snap.Jobs.ByIndex(i).Placed > 0 {
			lowest = min(lowest, s.ranks[i])
		}
	}
	return lowest
}

// mayTriggerPreemption reports whether a job itself meets the conditions for preempting tasks of other
// jobs now.
func (s *Scheduler) mayTriggerPreemption(snap *Snapshot, job *jobs.Job) bool {
	return job.Waiting > 0 &&
		job.Record.Kind != jobs.Gang &&
		s.ready(snap, job) &&
		!snap.mayRunUnseen(job) &&
		snap.unitsSuffice(job, 1) &&
		s.withinLimit(snap, job, 1) &&
		snap.Now-job.AcceptedAt >= minWaitToPreempt &&
		(job.PreemptedAt <= 0 || snap.Now-job.PreemptedAt >= preemptPause)
}

// preemptible returns the tasks that may be preempted, and the lowest rank of their jobs. It leaves
// out tasks that were stopped before.
func (s *Scheduler) preemptible(snap *Snapshot) (candidates []*workers.Placement, lowest int8) {
	lowest = math.MaxInt8
	for _, machine := range snap.Inventory.All() {
		if !machine.AcceptsPlans(snap.Now, snap.SuspectAfter) {
			continue
		}
		for _, task := range machine.Tasks {
			owner := snap.Jobs.ByIndex(task.Ref.Job)
			if !restartable(owner, task) || owner.SavedRunTime[task.Ref.Task] > 0 || snap.losesTooMuch(owner, task) {
				continue
			}
			candidates = append(candidates, task)
			lowest = min(lowest, s.ranks[task.Ref.Job])
		}
	}
	return candidates, lowest
}

// losesTooMuch reports whether a task saves no progress and has run for longer than maxLostRuntime.
func (snap *Snapshot) losesTooMuch(owner *jobs.Job, task *workers.Placement) bool {
	return owner.Record.Checkpoint == 0 && snap.Now-task.RunningSince > maxLostRuntime
}

// restartable reports whether a task is running and may be stopped and run again elsewhere. Tasks
// of gangs and services may not, nor those that could start again only on their machine.
func restartable(job *jobs.Job, task *workers.Placement) bool {
	return !task.Planned &&
		!task.Stopping &&
		task.IsRunning() &&
		!task.Machine.MayStartLate(task.Ref) &&
		job.Record.Kind == jobs.Array &&
		job.Phase == jobs.Open
}

// chooseVictims returns the candidates to be stopped to make room for a job's waiting tasks,
// starting with those that lose the least run time. It returns none if the job already has room.
func (s *Scheduler) chooseVictims(snap *Snapshot, job *jobs.Job, candidates []*workers.Placement) []*workers.Placement {
	if snap.hasFreeHost(job) {
		return nil // it only has to be placed
	}
	var eligible []*workers.Placement
	for _, task := range candidates {
		if !task.Stopping && snap.couldHost(job, task.Machine) && s.mayPreempt(snap, job, task) {
			eligible = append(eligible, task)
		}
	}
	slices.SortFunc(eligible, func(a, b *workers.Placement) int {
		if c := cmp.Compare(snap.lostRuntime(a), snap.lostRuntime(b)); c != 0 {
			return c
		}
		return cmp.Compare(a.Attempt, b.Attempt)
	})
	return victimsThatMakeRoom(job, eligible)
}

// hasFreeHost reports whether a machine has room for one more task of a job now.
func (snap *Snapshot) hasFreeHost(job *jobs.Job) bool {
	for _, machine := range snap.Inventory.All() {
		if job.Need.Fits(machine.Free) && machine.AcceptsPlans(snap.Now, snap.SuspectAfter) && snap.couldHost(job, machine) {
			return true
		}
	}
	return false
}

// lostRuntime returns the run time that is lost if a task is stopped.
func (snap *Snapshot) lostRuntime(task *workers.Placement) time.Duration {
	if snap.Jobs.ByIndex(task.Ref.Job).Record.Checkpoint > 0 {
		return 0
	}
	return snap.Now - task.RunningSince
}

// victimsThatMakeRoom takes tasks in their order until their room, together with the free room of
// their machines, suffices for all waiting tasks of a job or maxVictims is reached. The tasks of a
// machine are taken only once they make room for at least one task of the job.
func victimsThatMakeRoom(job *jobs.Job, eligible []*workers.Placement) []*workers.Placement {
	var victims []*workers.Placement
	freed := map[*workers.Machine]resources.Amounts{}
	chosen := map[*workers.Machine][]*workers.Placement{}
	places := 0
	for _, task := range eligible {
		machine := task.Machine
		freed[machine] = freed[machine].Plus(task.Need)
		chosen[machine] = append(chosen[machine], task)
		if count := TasksThatFit(job.Need, machine.Free.Plus(freed[machine])); count > 0 {
			places += count
			victims = append(victims, chosen[machine]...)
			// All of this room has been counted, so the sum for the machine starts again at zero.
			chosen[machine] = nil
			freed[machine] = resources.Amounts{}.Minus(machine.Free)
		}
		if places >= job.Waiting || len(victims) >= maxVictims {
			break
		}
	}
	return victims
}

// mayPreempt reports whether a candidate may be stopped to make room for a job.
func (s *Scheduler) mayPreempt(snap *Snapshot, job *jobs.Job, task *workers.Placement) bool {
	owner := snap.Jobs.ByIndex(task.Ref.Job)
	if s.ranks[job.Index] <= s.ranks[owner.Index] {
		return false // the stopped task would get the room back
	}
	if owner.Priority < job.Priority && !owner.Guaranteed {
		return true
	}
	if !job.Guaranteed || owner.Team == job.Team || int(owner.Team) >= len(s.Guarantees) {
		return false
	}
	guarantee := s.Guarantees[owner.Team]
	useWithout := s.teamUse[owner.Team].Minus(owner.Need)
	return useWithout.CPU >= guarantee.CPU && useWithout.GPU >= guarantee.GPU
}
