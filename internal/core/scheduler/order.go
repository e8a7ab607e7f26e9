package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
)

// Ranks of jobs. 0 is the ordinary path; an urgent or critical job has its priority plus
// one, which is above servedFloorRank.
const (
	behindRank           = -1 // best-effort work for now, and jobs whose objectives are missed already
	leadRank             = 1  // much of the class's objective has gone, or the team's guarantee covers it
	servedFloorRank      = 2  // exceptions served_floor and begin_within: behind urgent jobs, ahead of all others
	servedFloorFirstRank = 9  // exception served_floor, ahead of urgent jobs too
)

// urgentPriority is the lowest priority that counts as urgent.
const urgentPriority = 2

// JobOrder lists the jobs in the order in which they get room: HFSP's, with the
// exceptions before and behind it. Services are not in it. The slice is valid
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

// markGuaranteed marks the jobs that fit into their team's guarantee together with the
// team's earlier unfinished jobs.
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

// rank is 0 for jobs on the ordinary path, above it for those that an
// exception puts ahead of the order and below for those it puts behind.
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
		return leadRank
	case snap.Now < job.LowRankUntil, snap.missesLastObjective(job):
		return behindRank
	}
	return 0
}

// inPriorityWindow reports whether a job goes ahead now since it has waited for much of
// its class's objective.
func (snap *Snapshot) inPriorityWindow(job *jobs.Job) bool {
	return slices.ContainsFunc(job.PriorityWindows, func(window [2]time.Duration) bool {
		return window[0] <= snap.Now && snap.Now < window[1]
	})
}

// missesLastObjective reports whether a job has objectives, and a task of it that began
// now would end after the last of them.
func (snap *Snapshot) missesLastObjective(job *jobs.Job) bool {
	return job.Deadline > 0 &&
		snap.Now < job.LowRankAfterMissUntil &&
		snap.Now+time.Duration(job.MeanRunSeconds()*float64(time.Second)) > job.Deadline
}

// overdue reports whether none of a job's tasks has begun for longer than it should wait. The
// largest come last by size, and where smaller ones keep coming they would never begin.
func (s *Scheduler) overdue(snap *Snapshot, job *jobs.Job) bool {
	return s.BeginWithin > 0 && !job.HasBegun() && snap.Now-job.AcceptedAt >= s.BeginWithin
}
