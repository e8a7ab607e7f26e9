package cluster

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"slices"
)

// AddUnresolved counts a machine of which it is not known what an earlier term left on
// it: in full against every team whose tasks it may have.
func (s *State) AddUnresolved(m *workers.Machine) { s.countUnresolved(m, 1) }

// RemoveUnresolved takes back what Expect counted: the machine has reported, or is gone.
func (s *State) RemoveUnresolved(m *workers.Machine) { s.countUnresolved(m, -1) }

func (s *State) countUnresolved(m *workers.Machine, by int) {
	s.unresolvedMachines += by
	if m.Number == 0 {
		s.unresolvedUnnumbered += by
	}
	for len(s.unresolvedUse) < len(s.Scheduler.Limits) {
		s.unresolvedUse = append(s.unresolvedUse, resources.Amounts{})
	}
	for team := range s.unresolvedUse {
		if m.ClaimedByAnyTeam || m.Number == 0 || slices.Contains(m.ClaimedByTeams, int32(team)) {
			s.unresolvedUse[team] = s.unresolvedUse[team].Plus(m.Cap.Times(by))
		}
	}
}

// Unresolved counts the machines of which it is not known what an earlier term
// left on them, and says whether one of them may have tasks of any job, since no
// grants were noted for it.
func (s *State) Unresolved() (machines int, blind bool) {
	return s.unresolvedMachines, s.unresolvedUnnumbered > 0
}

// MayRunUnseen says whether tasks of a job that are not seen may run on machines of which it
// is not known what an earlier term left on them.
func (s *State) MayRunUnseen(j *jobs.Job) bool { return j.MayRunUnseen(s.unresolvedUnnumbered > 0) }

// Quiescent says whether nothing of a job is anywhere, nor can be: no task counts as being on a
// machine, on offer or on its way, none may run unseen, and none is shown where it does not
// count.
func (s *State) Quiescent(j *jobs.Job) bool {
	return j.Placed == 0 && !s.MayRunUnseen(j) && !slices.ContainsFunc(s.Inventory.All(), func(m *workers.Machine) bool { return slices.Contains(m.Orphans, j.Record.ID) })
}

// mostMissing is the share of a team's limit that machines may take of which it is not
// known what they have, before the team is held back by them.
const maxUnresolvedShare = 0.25

// HeldBackByUnresolved says whether machines that are not resolved hold a team back at its limit.
func (s *State) HeldBackByUnresolved() bool {
	for team, x := range s.unresolvedUse {
		if l := s.Scheduler.Limits[team]; (l.CPU > 0 && float64(x.CPU) > maxUnresolvedShare*float64(l.CPU)) || (l.GPU > 0 && float64(x.GPU) > maxUnresolvedShare*float64(l.GPU)) {
			return true
		}
	}
	return false
}
