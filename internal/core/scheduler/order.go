package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"cmp"
	"slices"
	"time"
)

// Ranks of jobs that are kept: next to those of urgent jobs, which are above 2.
const (
	servedFloorRank      = 2
	servedFloorFirstRank = 9
)

// JobOrder lists the jobs in the order in which they get room: HFSP's, with the
// exceptions before and behind it. Services are not in it. The slice is valid
// until the next call.
func (p *Scheduler) JobOrder(w *Snapshot) []int32 {
	order := w.Estimator.Order()
	if p.Guarantees != nil {
		p.markGuaranteed(w, order)
	}
	for len(p.ranks) < len(w.Jobs.All()) {
		p.ranks = append(p.ranks, 0)
	}
	lowest, highest := int8(0), int8(0)
	for _, i := range order {
		r := int8(p.rank(w, i))
		p.ranks[i] = r
		lowest, highest = min(lowest, r), max(highest, r)
	}
	p.orderBuffer = p.orderBuffer[:0]
	for r := highest; r >= lowest; r-- {
		for _, i := range order {
			if p.ranks[i] == r {
				p.orderBuffer = append(p.orderBuffer, i)
			}
		}
	}
	return p.orderBuffer
}

func (p *Scheduler) markGuaranteed(w *Snapshot, order []int32) {
	p.orderBuffer = append(p.orderBuffer[:0], order...)
	byArrival := p.orderBuffer
	slices.SortFunc(byArrival, func(a, b int32) int { return cmp.Compare(w.Jobs.At(a).AcceptedAt, w.Jobs.At(b).AcceptedAt) })
	sum := make([]resources.Amounts, len(p.Guarantees))
	for _, i := range byArrival {
		j := w.Jobs.At(i)
		j.Guaranteed = false
		if int(j.Team) >= len(sum) {
			continue
		}
		g := p.Guarantees[j.Team]
		sum[j.Team] = sum[j.Team].Plus(j.Need.Times(len(j.Tasks) - j.Finished))
		s := sum[j.Team]
		j.Guaranteed = s.CPU <= g.CPU && s.GPU <= g.GPU
	}
}

// rank is 0 for jobs on the ordinary path, above it for those that an
// exception puts ahead of the order and below for those it puts behind.
func (p *Scheduler) rank(w *Snapshot, i int32) int {
	j := w.Jobs.At(i)
	switch {
	case j.Boost == jobs.BoostFirst:
		return servedFloorFirstRank
	case p.UrgentFirst && j.Priority >= 2:
		return int(j.Priority) + 1
	case j.Boost == jobs.BoostBehindUrgent, p.overdue(w, j):
		return servedFloorRank
	case slices.ContainsFunc(j.PriorityWindows, func(a [2]time.Duration) bool { return a[0] <= w.Now && w.Now < a[1] }):
		return 1
	case j.Guaranteed:
		return 1
	case w.Now < j.BehindUntil, j.LastAim > 0 && w.Now < j.LostUntil && w.Now+time.Duration(j.Mean()*float64(time.Second)) > j.LastAim:
		return -1
	}
	return 0
}

// overdue says whether none of a job's tasks has begun for longer than it should wait. The
// largest come last by size, and where smaller ones keep coming they would never begin.
func (p *Scheduler) overdue(w *Snapshot, j *jobs.Job) bool {
	return p.BeginWithin > 0 && !j.HasBegun() && w.Now-j.AcceptedAt >= p.BeginWithin
}
