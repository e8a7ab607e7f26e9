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

// TeamIndex is the index of a team, of the configuration or not. One that is not has no limit.
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

// SetTeam has a team's guarantee and limit hold from now on. What runs above a lower limit runs
// on; what is only planned there is taken back.
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

func (s *State) setGuarantee(team int32, g resources.Amounts) {
	for int(team) >= len(s.Scheduler.Guarantees) {
		s.Scheduler.Guarantees = append(s.Scheduler.Guarantees, scheduler.Limit{})
	}
	s.Scheduler.Guarantees[team] = scheduler.Limit{CPU: g.CPU, GPU: g.GPU}
}

// cancelPlansOverLimit takes back plans of a team, the last tasks first, until what is left is within
// its limit. Of a gang all or none are taken back: none where one may have begun.
func (s *State) cancelPlansOverLimit(team int32) {
	left := s.Scheduler.Use(team)
	if s.Scheduler.Limits[team].Covers(left) {
		return
	}
	var planned []*workers.Placement
	begun := map[int32]bool{} // gangs
	for ref, p := range s.Placements {
		j := s.Jobs.At(ref.Job)
		gang := j.Record.Kind == jobs.Gang
		switch {
		case j.Team != team:
		case gang && (!p.Planned || len(p.Offered) > 0):
			begun[ref.Job] = true
		case p.Planned:
			planned = append(planned, p)
		}
	}
	slices.SortFunc(planned, func(a, b *workers.Placement) int {
		return cmp.Or(cmp.Compare(b.Ref.Job, a.Ref.Job), cmp.Compare(b.Ref.Task, a.Ref.Task))
	})
	whole := int32(-1) // the gang of which all is taken back
	for _, p := range planned {
		job := p.Ref.Job
		if begun[job] || (job != whole && s.Scheduler.Limits[team].Covers(left)) {
			continue
		}
		if s.Jobs.At(job).Record.Kind == jobs.Gang {
			whole = job
		}
		left = left.Minus(s.Jobs.At(job).Need)
		s.CancelPlan(p)
	}
}
