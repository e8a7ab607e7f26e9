package cluster

import (
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
)

// A machine is unresolved while it is not known what an earlier term left on it: since the
// takeover it has neither reported at the new token nor been proved gone.

// maxUnresolvedShare is the share of a team's limit that unresolved machines may take
// before the team is held back by them.
const maxUnresolvedShare = 0.25

// AddUnresolved counts an unresolved machine: in full against every team whose tasks it may
// have.
func (s *State) AddUnresolved(m *workers.Machine) { s.countUnresolved(m, 1) }

// RemoveUnresolved takes back what AddUnresolved counted: the machine has reported, or is
// gone.
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
			s.unresolvedUse[team] = s.unresolvedUse[team].Plus(m.Capacity.Times(by))
		}
	}
}

// Unresolved counts the unresolved machines, and says whether one of them may have tasks
// of any job, since no grants were noted for it.
func (s *State) Unresolved() (machines int, blind bool) {
	return s.unresolvedMachines, s.unresolvedUnnumbered > 0
}

// MayRunUnseen says whether tasks of a job that are not seen may run on unresolved machines.
func (s *State) MayRunUnseen(j *jobs.Job) bool { return j.MayRunUnseen(s.unresolvedUnnumbered > 0) }

// Quiescent says whether nothing of a job is anywhere, nor can be: no task counts as being
// on a machine, on offer or on its way, none may run unseen, and none is an orphan on a
// machine where it does not count.
func (s *State) Quiescent(j *jobs.Job) bool {
	if j.Placed != 0 || s.MayRunUnseen(j) {
		return false
	}
	return !slices.ContainsFunc(s.Inventory.All(), func(m *workers.Machine) bool {
		return slices.Contains(m.Orphans, j.Record.ID)
	})
}

// HeldBackByUnresolved says whether unresolved machines hold a team back at its limit.
func (s *State) HeldBackByUnresolved() bool {
	for team, use := range s.unresolvedUse {
		if takesMuchOf(use, s.Scheduler.Limits[team]) {
			return true
		}
	}
	return false
}

// takesMuchOf says whether use is more than maxUnresolvedShare of a limit; 0: no limit.
func takesMuchOf(use resources.Amounts, limit scheduler.Limit) bool {
	cpu := limit.CPU > 0 && float64(use.CPU) > maxUnresolvedShare*float64(limit.CPU)
	gpu := limit.GPU > 0 && float64(use.GPU) > maxUnresolvedShare*float64(limit.GPU)
	return cpu || gpu
}
