package scheduler

import (
	"time"

	"bitternmoor/internal/core/jobs"
)

// Explain returns the reasons for which a job's waiting tasks wait, as texts for users, or nil if
// no task waits.
func (s *Scheduler) Explain(snap Snapshot, job *jobs.Job) []string {
	if job.Waiting == 0 {
		return nil
	}
	reasons := s.explainLimits(&snap, job)
	reasons = append(reasons, explainRoom(&snap, job)...)
	if why := s.explainRank(&snap, job); why != "" {
		reasons = append(reasons, why)
	}
	return reasons
}

// explainLimits returns the reasons that keep a job's tasks from starting on any machine.
func (s *Scheduler) explainLimits(snap *Snapshot, job *jobs.Job) []string {
	var reasons []string
	if snap.Now < job.NotBefore {
		pause := (job.NotBefore - snap.Now).Round(time.Second)
		reasons = append(reasons, "its tasks failed wherever they were: the next try is in "+pause.String())
	}
	if snap.mayRunUnseen(job) {
		reasons = append(reasons, "a leader before this one may have started its tasks on machines that have not reported yet")
	}
	if !s.withinLimit(snap, job, 1) {
		reasons = append(reasons, "its team is at its limit")
	}
	if len(job.Record.Counted) > 0 {
		if snap.Pools == nil {
			reasons = append(reasons, "it needs counted units, and the leader has no pools in its settings")
		} else if why := snap.Pools.WaitReason(job); why != "" {
			reasons = append(reasons, why)
		}
	}
	return reasons
}

// explainRoom returns the reasons that concern machines: none that the job may use is up, none has
// room, or the room is reserved for others.
func explainRoom(snap *Snapshot, job *jobs.Job) []string {
	var reasons []string
	anyHost, anyFree := false, false
	for _, machine := range snap.Inventory.All() {
		if snap.couldHost(job, machine) && machine.AcceptsPlans(snap.Now, snap.SuspectAfter) {
			anyHost = true
			anyFree = anyFree || job.Need.Fits(machine.Free)
		}
	}
	switch {
	case !anyHost:
		reasons = append(reasons, "no machine that it may use is up")
	case !anyFree:
		reasons = append(reasons, "no machine that it may use has room; it gets the next that comes free in its order")
	}
	if job.StarvedSince > 0 {
		left := max(0, starvationLimit-(snap.Now-job.StarvedSince)).Round(time.Second)
		reasons = append(reasons, "room that it may have is held or kept for others: if that lasts, it gets it in "+left.String()+" (exception left_waiting)")
	}
	return reasons
}

// explainRank returns which exception to the size order moves a job, or an empty string if none
// does.
func (s *Scheduler) explainRank(snap *Snapshot, job *jobs.Job) string {
	rank := s.rank(snap, job.Index)
	switch {
	case job.Record.Kind == jobs.Service:
		return ""
	case s.overdue(snap, job):
		return "none of its tasks has begun for long: it goes ahead of all but urgent jobs (exception begin_within)"
	case rank == servedFloorRank, rank == servedFloorFirstRank:
		return "it goes ahead of others: less than the floor of its class or team would be served in time otherwise (exception served_floor)"
	case rank > servedFloorRank:
		return "it is urgent and goes ahead of the size order (exception urgent_first)"
	case job.Guaranteed:
		return "it fits into its team's guarantee and goes ahead of the size order (exception guarantee_first)"
	case rank == aheadRank:
		return "it has waited for much of its class's aim and goes ahead of the size order (exception wait_lead)"
	case rank < 0:
		return "it goes behind the size order for now: best-effort work, or all its aims are missed already (exceptions low_lead, lost_behind)"
	}
	return ""
}
