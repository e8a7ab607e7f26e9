package cluster

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// TrackMachineWithPlans adds a machine to MachinesWithPlans unless it is already in it.
func (s *State) TrackMachineWithPlans(m *workers.Machine) {
	if !m.ListedWithPlans {
		m.ListedWithPlans = true
		s.MachinesWithPlans = append(s.MachinesWithPlans, m)
	}
}

// CancelPlan cancels a planned task. A task that is offered to machines may have been started
// already, so it stays counted until no offer is open.
func (s *State) CancelPlan(p *workers.Placement) {
	if len(p.Offered) > 0 {
		p.Withdrawn = true
		return
	}
	p.Machine.RemovePlacement(p.Ref)
	s.ReleaseOrRestart(p, true)
}

// CancelPlans cancels all planned tasks of a machine.
func (s *State) CancelPlans(m *workers.Machine) {
	for _, p := range m.Tasks {
		if p.Planned {
			s.CancelPlan(p)
		}
	}
}

// ReleasePlacement releases a task's placement in the state of its job, its team and the size
// estimator. The caller updates the machine's own list of tasks.
func (s *State) ReleasePlacement(ref workers.TaskRef) {
	p := s.Placements[ref]
	if p == nil {
		return
	}
	delete(s.Placements, ref)
	s.EndAwaitingRestart(ref)
	j := s.Jobs.ByIndex(ref.Job)
	j.CountInZone(p.Machine.Zone, -1)
	s.Scheduler.Refund(j.Team, j.Need)
	j.Release(int(ref.Task))
	s.ResetGangIfEmpty(j)
	s.Estimator.TaskLost(ref.Job, int(ref.Task))
	s.RemoveIfFinished(j)
	s.NeedsCycle = true
}

// RemoveIfFinished removes a done or cancelled job from the table once none of its tasks is
// counted as placed.
func (s *State) RemoveIfFinished(j *jobs.Job) {
	if j.Placed == 0 && (j.Phase == jobs.Cancelled || j.Phase == jobs.Done) {
		s.Jobs.Remove(j)
		s.Publish(Event{Kind: JobRemoved, Job: j})
	}
}
