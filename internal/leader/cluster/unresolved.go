package cluster

import (
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
)

// A machine is unresolved while it is not known which tasks an earlier term left on it: since
// the takeover it has neither reported with the new token nor been proved gone.

// maxUnresolvedShare is the share of a team's limit above which the possible use of
// unresolved machines counts as holding the team back.
const maxUnresolvedShare = 0.25

// AddUnresolved counts an unresolved machine. Its whole capacity is charged to every team
// whose tasks may be on it.
func (s *State) AddUnresolved(m *workers.Machine) { s.countUnresolved(m, 1) }

// RemoveUnresolved reverses AddUnresolved once the machine has reported or is gone.
func (s *State) RemoveUnresolved(m *workers.Machine) { s.countUnresolved(m, -1) }

func (s *State) countUnresolved(m *workers.Machine, delta int) {
	s.unresolvedMachines += delta
	if m.Number == 0 {
		s.unresolvedWithoutNumber += delta
	}
	for len(s.unresolvedUse) < len(s.Scheduler.Limits) {
		s.unresolvedUse = append(s.unresolvedUse, resources.Amounts{})
	}
	for team := range s.unresolvedUse {
		if m.ClaimedByAnyTeam || m.Number == 0 || slices.Contains(m.ClaimedByTeams, int32(team)) {
			s.unresolvedUse[team] = s.unresolvedUse[team].Plus(m.Capacity.Times(delta))
		}
	}
}

// Unresolved returns the number of unresolved machines, and whether one of them may have
// tasks of any job because no grants were recorded for it.
func (s *State) Unresolved() (machines int, unknownGrants bool) {
	return s.unresolvedMachines, s.unresolvedWithoutNumber > 0
}

// MayRunUnreported reports whether tasks of a job that no heartbeat has shown may run on
// unresolved machines.
func (s *State) MayRunUnreported(j *jobs.Job) bool {
	return j.MayRunUnreported(s.unresolvedWithoutNumber > 0)
}

// Quiescent reports whether no task of a job is on any machine, or can be: none is placed,
// offered or being started, none may run unseen on an unresolved machine, and none is an
// orphan, which is a task on a machine where it is not counted.
func (s *State) Quiescent(j *jobs.Job) bool {
	if j.Placed != 0 || s.MayRunUnreported(j) {
		return false
	}
	return !slices.ContainsFunc(s.Inventory.All(), func(m *workers.Machine) bool {
		return slices.Contains(m.Orphans, j.Record.ID)
	})
}

// HeldBackByUnresolved reports whether the possible use of unresolved machines takes up much
// of the limit of any team.
func (s *State) HeldBackByUnresolved() bool {
	for team, use := range s.unresolvedUse {
		if exceedsUnresolvedShare(use, s.Scheduler.Limits[team]) {
			return true
		}
	}
	return false
}

// exceedsUnresolvedShare reports whether use exceeds maxUnresolvedShare of a limit. A limit
// of 0 means that there is none.
func exceedsUnresolvedShare(use resources.Amounts, limit scheduler.Limit) bool {
	cpu := limit.CPU > 0 && float64(use.CPU) > maxUnresolvedShare*float64(limit.CPU)
	gpu := limit.GPU > 0 && float64(use.GPU) > maxUnresolvedShare*float64(limit.GPU)
	return cpu || gpu
}
