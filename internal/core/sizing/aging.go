package sizing

import (
	"cmp"
	"math"
	"slices"
)

// claim is the number of processors that a job could use in the virtual cluster.
type claim struct {
	job    *jobEstimate
	demand float64
}

func byDemand(a, b claim) int { return cmp.Compare(a.demand, b.demand) }

// Age advances the virtual cluster of cpus processors to the time now, in seconds. Its processors
// are shared max-min fairly: no job gets more than its tasks can use, and what small jobs leave
// unused goes to the others. A team gets no more than its limit in all, as in the real cluster.
// Otherwise the jobs of a team at its limit would be finished in the virtual cluster long before the
// real one, and would be ordered by arrival instead of by size.
func (e *Estimator) Age(now, cpus float64) {
	elapsed := now - e.agedAt
	e.agedAt = now
	if elapsed <= 0 || cpus <= 0 {
		return
	}
	claims := e.claims(elapsed)
	slices.SortFunc(claims, byDemand)
	e.sorted = e.sorted && len(claims) == 0
	e.capByTeam(claims)
	slices.SortFunc(claims, byDemand)
	level := maxMinLevel(claims, cpus, func(*jobEstimate) bool { return true })
	for _, c := range claims {
		c.job.virtualWork = min(c.job.size, c.job.virtualWork+min(c.demand, level)/c.job.cpus*elapsed)
	}
}

// claims returns the jobs with remaining virtual size, each with the number of processors that its
// tasks could use during elapsed seconds: at least one task, and no more tasks than would finish
// the rest in that time.
func (e *Estimator) claims(elapsed float64) []claim {
	claims := make([]claim, 0, len(e.order))
	for _, index := range e.order {
		job := e.job(index)
		if rest := job.size - job.virtualWork; rest > 0 {
			parallel := min(float64(job.tasksLeft), math.Ceil(rest/elapsed))
			claims = append(claims, claim{job: job, demand: max(parallel, 1) * job.cpus})
		}
	}
	return claims
}

// capByTeam lowers each claim of a team with a limit to the job's max-min fair share of that limit.
// The claims must be sorted by demand.
func (e *Estimator) capByTeam(claims []claim) {
	for team, limit := range e.Limits {
		if limit <= 0 {
			continue
		}
		level := maxMinLevel(claims, limit, func(job *jobEstimate) bool { return int(job.team) == team })
		for i, c := range claims {
			if int(c.job.team) == team {
				claims[i].demand = min(c.demand, level)
			}
		}
	}
}

// maxMinLevel returns the most that one job may get if cpus processors are shared max-min fairly
// among the jobs for which shares returns true. The claims must be sorted by demand.
func maxMinLevel(claims []claim, cpus float64, shares func(*jobEstimate) bool) float64 {
	jobsLeft := 0
	for _, c := range claims {
		if shares(c.job) {
			jobsLeft++
		}
	}
	level := 0.0
	for _, c := range claims {
		if shares(c.job) {
			share := cpus / float64(jobsLeft)
			level = max(level, share)
			cpus -= min(c.demand, share)
			jobsLeft--
		}
	}
	return level
}
