package sizing

import (
	"cmp"
	"math"
	"slices"
)

// claim is how many processors a job could use in the virtual cluster.
type claim struct {
	job    *jobEstimate
	demand float64
}

func byDemand(a, b claim) int { return cmp.Compare(a.demand, b.demand) }

// Age lets the virtual cluster of cpus processors work until now, in seconds. Its
// processors are shared max-min fairly: no job gets more than its tasks can
// use, and what small jobs leave goes to the others. A team gets no more than
// its limit in all, as in the real cluster: otherwise all jobs of a team at its
// limit would be worked off in the virtual cluster long before the real one,
// and would stand in the order of their arrival instead of their size.
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

// claims lists the jobs of which something is left, each with the processors that its tasks
// could use for so many seconds: no more tasks than would work it off in that time, but one
// at least.
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

// capByTeam lowers the claims of each team with a limit to its max-min share of that. The
// claims come sorted by demand.
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

// maxMinLevel is the most that one of the jobs for which shares holds may get where cpus
// processors are shared max-min fairly among them. The claims come sorted by demand.
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
