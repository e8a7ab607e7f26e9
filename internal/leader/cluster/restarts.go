package cluster

import (
	"cmp"
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// ReleaseOrRestart lets a task that is not on its machine start again. If a start of it was sent there
// directly, a later incarnation of the worker may still carry that out (see Machine.MayStartLate). The task then
// awaits its restart on the same machine, or the answered deletion of the machine. Until then it counts as
// placed, with its team, its zone and its units, and its job is not quiescent. Any other task is released.
//
// sameAttempt is true if the attempt may not have arrived, and false if it has ended.
func (s *State) ReleaseOrRestart(p *workers.Placement, sameAttempt bool) {
	if !s.mustRestartHere(p) {
		s.ReleasePlacement(p.Ref)
		return
	}
	p.PrepareRestart(sameAttempt)
	s.AwaitingRestart[p.Ref] = p
	s.Estimator.TaskLost(p.Ref.Job, int(p.Ref.Task))
	s.NeedsCycle = true
}

// mustRestartHere reports whether a task may start again only on its machine. A job that is being cancelled
// waits only for starts that nothing has shown to have arrived: to rule out repeats of the others as well, each
// machine that has had a task of a cancelled job would have to be deleted.
func (s *State) mustRestartHere(p *workers.Placement) bool {
	switch s.Jobs.ByIndex(p.Ref.Job).Phase {
	case jobs.Open, jobs.Held:
		return p.Machine.MayStartLate(p.Ref)
	case jobs.Cancelling:
		return p.Machine.HasUnconfirmedStart(p.Ref)
	}
	return false
}

// RestartsOn returns the tasks that await their restart on a machine, ordered by job and task.
func (s *State) RestartsOn(m *workers.Machine) []*workers.Placement {
	if len(s.AwaitingRestart) == 0 {
		return nil
	}
	return s.restarts(func(p *workers.Placement) bool { return p.Machine == m })
}

// Restarts returns the tasks that await their restart, ordered by job and task.
func (s *State) Restarts() []*workers.Placement {
	return s.restarts(func(*workers.Placement) bool { return true })
}

func (s *State) restarts(include func(*workers.Placement) bool) []*workers.Placement {
	var list []*workers.Placement
	for _, p := range s.AwaitingRestart {
		if include(p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *workers.Placement) int {
		return cmp.Or(cmp.Compare(a.Ref.Job, b.Ref.Job), cmp.Compare(a.Ref.Task, b.Ref.Task))
	})
	return list
}
