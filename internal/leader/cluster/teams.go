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

// TeamIndex is the index of a team, of the configuration or not; it is given one if it has
// none. A team that is not of the configuration has no limit.
func (s *State) TeamIndex(name string) int32 {
	team := s.Teams.Index(name)
	for int(team) >= len(s.Scheduler.Limits) {
		s.Scheduler.AddTeam()
		s.configuredTeams = append(s.configuredTeams, false)
	}
	return team
}

// HasTeam says whether a team is of the configuration, so that it may submit.
func (s *State) HasTeam(team int32) bool {
	return int(team) < len(s.configuredTeams) && s.configuredTeams[team]
}

// SetTeam has a team's guarantee and limit hold from now on. What runs above a lower limit
// runs on; what is only planned there is cancelled.
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

// RemoveTeam has a team submit nothing more. Its open jobs go on under its limit, without a
// guarantee.
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

// cancelPlansOverLimit cancels plans of a team, the last tasks first, until what is left is
// within its limit. Of a gang all or none are cancelled: none where one may have begun.
func (s *State) cancelPlansOverLimit(team int32) {
	use := s.Scheduler.TeamUse(team)
	limit := s.Scheduler.Limits[team]
	if limit.Covers(use) {
		return
	}
	planned, begunGangs := s.cancellablePlans(team)
	gang := int32(-1) // the one of which all plans are being cancelled
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

// cancellablePlans is the plans of a team, the last tasks of the last jobs first, and those
// of its gangs of which a task may have begun.
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
