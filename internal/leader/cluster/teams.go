package cluster

import (
	"cmp"
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/settings"
)

// TeamIndex returns the index of a team, assigning one if necessary. The team need not be
// configured; a team that never was has no limit.
func (s *State) TeamIndex(name string) int32 {
	team := s.Teams.Index(name)
	for int(team) >= len(s.Scheduler.Limits) {
		s.Scheduler.AddTeam()
		s.configuredTeams = append(s.configuredTeams, false)
	}
	return team
}

// HasTeam reports whether a team is configured, so that it may submit jobs.
func (s *State) HasTeam(team int32) bool {
	return int(team) < len(s.configuredTeams) && s.configuredTeams[team]
}

// SetTeam puts a team's guarantee and limit into force. Running tasks above a lowered limit
// continue; planned tasks above it are cancelled.
func (s *State) SetTeam(t settings.Team) {
	team := s.TeamIndex(t.Name)
	s.configuredTeams[team] = true
	limit := resources.Room(t.CPUsMax, t.GPUsMax, 0)
	s.Scheduler.Limits[team] = scheduler.Limit{CPU: limit.CPU, GPU: limit.GPU}
	for int(team) >= len(s.Estimator.Limits) {
		s.Estimator.Limits = append(s.Estimator.Limits, 0)
	}
	s.Estimator.Limits[team] = t.CPUsMax
	if s.Cfg.Tunables.GuaranteeFirst == 1 {
		s.setGuarantee(team, resources.Room(t.CPUs, t.GPUs, 0))
	}
	s.cancelPlansOverLimit(team)
	s.NeedsCycle = true
}

// RemoveTeam stops a team from submitting jobs. Its open jobs continue under its limit,
// without a guarantee.
func (s *State) RemoveTeam(name string) {
	team := s.TeamIndex(name)
	s.configuredTeams[team] = false
	if s.Cfg.Tunables.GuaranteeFirst == 1 {
		s.setGuarantee(team, resources.Amounts{})
	}
	s.NeedsCycle = true
}

func (s *State) setGuarantee(team int32, guarantee resources.Amounts) {
	for int(team) >= len(s.Scheduler.Guarantees) {
		s.Scheduler.Guarantees = append(s.Scheduler.Guarantees, scheduler.Limit{})
	}
	s.Scheduler.Guarantees[team] = scheduler.Limit{CPU: guarantee.CPU, GPU: guarantee.GPU}
}

// cancelPlansOverLimit cancels plans of a team, the last tasks first, until its use is within
// its limit. The plans of a gang are cancelled together, or not at all if a task of the gang
// may have begun.
func (s *State) cancelPlansOverLimit(team int32) {
	use := s.Scheduler.TeamUse(team)
	limit := s.Scheduler.Limits[team]
	if limit.Covers(use) {
		return
	}
	planned, begunGangs := s.cancellablePlans(team)
	gang := int32(-1) // job index of the gang whose plans are all being cancelled
	for _, p := range planned {
		job := p.Ref.Job
		if begunGangs[job] || (job != gang && limit.Covers(use)) {
			continue
		}
		if s.Jobs.ByIndex(job).Record.Kind == jobs.Gang {
			gang = job
		}
		use = use.Minus(s.Jobs.ByIndex(job).Need)
		s.CancelPlan(p)
	}
}

// cancellablePlans returns the plans of a team, the last tasks of the last jobs first, and
// the set of its gangs, by job index, of which a task may have begun.
func (s *State) cancellablePlans(team int32) (planned []*workers.Placement, begunGangs map[int32]bool) {
	begunGangs = map[int32]bool{}
	for ref, p := range s.Placements {
		j := s.Jobs.ByIndex(ref.Job)
		gang := j.Record.Kind == jobs.Gang
		switch {
		case j.Team != team:
		case gang && (!p.Planned || len(p.Offered) > 0):
			begunGangs[ref.Job] = true
		case p.Planned:
			planned = append(planned, p)
		}
	}
	slices.SortFunc(planned, func(a, b *workers.Placement) int {
		return cmp.Or(cmp.Compare(b.Ref.Job, a.Ref.Job), cmp.Compare(b.Ref.Task, a.Ref.Task))
	})
	return planned, begunGangs
}
