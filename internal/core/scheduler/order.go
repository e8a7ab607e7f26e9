package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
)

// Ranks of jobs; a job of a higher rank gets room first. Ordinary jobs have rank 0. The rank of an
// urgent or critical job is its priority plus one, which is above servedFloorRank.
const (
	behindRank           = -1 // best-effort jobs for a time, and jobs that would miss their last objective
	aheadRank            = 1  // jobs that have waited for much of their class's objective, or are guaranteed
	servedFloorRank      = 2  // exceptions served_floor and begin_within: behind urgent jobs, ahead of others
	servedFloorFirstRank = 9  // exception served_floor, ahead of urgent jobs too
)

// urgentPriority is the lowest priority that counts as urgent.
const urgentPriority = 2

// JobOrder returns the jobs in the order in which they get room: HFSP's size order, with the jobs
// that an exception puts ahead of it or behind it. Services are not included. The slice is valid
// until the next call.
func (s *Scheduler) JobOrder(snap *Snapshot) []int32 {
	order := snap.Estimator.Order()
	if s.Guarantees != nil {
		s.markGuaranteed(snap, order)
	}
	for len(s.ranks) < len(snap.Jobs.All()) {
		s.ranks = append(s.ranks, 0)
	}
	lowest, highest := int8(0), int8(0)
	for _, i := range order {
		rank := int8(s.rank(snap, i))
		s.ranks[i] = rank
		lowest, highest = min(lowest, rank), max(highest, rank)
	}
	s.orderBuffer = s.orderBuffer[:0]
	for rank := highest; rank >= lowest; rank-- {
		for _, i := range order {
			if s.ranks[i] == rank {
				s.orderBuffer = append(s.orderBuffer, i)
			}
		}
	}
	return s.orderBuffer
}

// markGuaranteed sets Guaranteed on the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (s *Scheduler) markGuaranteed(snap *Snapshot, order []int32) {
	s.orderBuffer = append(s.orderBuffer[:0], order...)
	byArrival := s.orderBuffer
	slices.SortFunc(byArrival, func(a, b int32) int {
		return cmp.Compare(snap.Jobs.ByIndex(a).AcceptedAt, snap.Jobs.ByIndex(b).AcceptedAt)
	})
	needByTeam := make([]resources.Amounts, len(s.Guarantees))
	for _, i := range byArrival {
		job := snap.Jobs.ByIndex(i)
		job.Guaranteed = false
		if int(job.Team) >= len(needByTeam) {
			continue
		}
		guarantee := s.Guarantees[job.Team]
		need := needByTeam[job.Team].Plus(job.Need.Times(len(job.Tasks) - job.Finished))
		needByTeam[job.Team] = need
		job.Guaranteed = need.CPU <= guarantee.CPU && need.GPU <= guarantee.GPU
	}
}

// rank returns 0 for ordinary jobs, a positive rank for those that an exception puts ahead of the
// size order and a negative one for those that an exception puts behind it.
func (s *Scheduler) rank(snap *Snapshot, i int32) int {
	job := snap.Jobs.ByIndex(i)
	switch {
	case job.Boost == jobs.BoostFirst:
		return servedFloorFirstRank
	case s.UrgentFirst && job.Priority >= urgentPriority:
		return int(job.Priority) + 1
	case job.Boost == jobs.BoostBehindUrgent, s.overdue(snap, job):
		return servedFloorRank
	case snap.inPriorityWindow(job), job.Guaranteed:
		return aheadRank
	case snap.Now < job.LowRankUntil, snap.missesLastObjective(job):
		return behindRank
	}
	return 0
}

// inPriorityWindow reports whether a job goes ahead of the size order now because it has waited
// for much of its class's objective.
func (snap *Snapshot) inPriorityWindow(job *jobs.Job) bool {
	return slices.ContainsFunc(job.PriorityWindows, func(window [2]time.Duration) bool {
		return window[0] <= snap.Now && snap.Now < window[1]
	})
}

// missesLastObjective reports whether a job has objectives and a task that started now would end
// after the last of them.
func (snap *Snapshot) missesLastObjective(job *jobs.Job) bool {
	return job.Deadline > 0 &&
		snap.Now < job.LowRankAfterMissUntil &&
		snap.Now+time.Duration(job.MeanRunSeconds()*float64(time.Second)) > job.Deadline
}

// overdue reports whether a job has waited for BeginWithin or longer without beginning. The
// largest jobs come last in the size order, and would never begin while smaller ones keep arriving.
func (s *Scheduler) overdue(snap *Snapshot, job *jobs.Job) bool {
	return s.BeginWithin > 0 && !job.HasStarted() && snap.Now-job.AcceptedAt >= s.BeginWithin
}
