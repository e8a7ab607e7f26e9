package cluster

import (
	"cmp"
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// ReleaseOrRestart lets a task that is not on its machine start again. If a start of it was sent directly to a
// machine, this one or one where an earlier leader placed it, a later incarnation of that machine's worker may
// still carry it out (see Machine.MayStartLate). The task then awaits its restart on that machine, or the answered
// deletion of the machine. Until then it counts as placed, with its room there, its team, its zone and its units,
// and its job is not quiescent. Any other task is released.
//
// sameAttempt is true if the attempt may not have arrived, and false if it has ended.
func (s *State) ReleaseOrRestart(p *workers.Placement, sameAttempt bool) {
	m := s.restartMachine(p.Ref)
	if m == nil {
		s.ReleasePlacement(p.Ref)
		return
	}
	if m != p.Machine {
		j := s.Jobs.ByIndex(p.Ref.Job)
		j.CountInZone(p.Machine.Zone, -1)
		j.CountInZone(m.Zone, 1)
		p.Machine = m
	}
	p.PrepareRestart(sameAttempt)
	s.awaitRestart(p)
	s.Estimator.TaskLost(p.Ref.Job, int(p.Ref.Task))
	s.NeedsCycle = true
}

// BindToMachine records that a waiting task of an earlier term may start only on this machine: the task
// awaits its restart there, unless a report shows where it is.
func (s *State) BindToMachine(j *jobs.Job, task int, m *workers.Machine) {
	ref := workers.TaskRef{Job: j.Index, Task: int32(task)}
	m.RestoreDirectStart(ref)
	s.SentTo[ref] = m
	p := &workers.Placement{Ref: ref, JobID: j.Record.ID, Image: j.Image, Need: j.Need, Machine: m}
	p.PrepareRestart(false)
	j.Place(task)
	j.CountInZone(m.Zone, 1)
	s.Scheduler.Charge(j.Team, j.Need)
	s.Placements[ref] = p
	s.awaitRestart(p)
}

// awaitRestart keeps the room of a task that awaits its restart.
func (s *State) awaitRestart(p *workers.Placement) {
	if s.AwaitingRestart[p.Ref] == nil {
		s.AwaitingRestart[p.Ref] = p
		p.Machine.KeepRoom(p.Need)
	}
}

// EndAwaitingRestart reverses awaitRestart. It does nothing if the task does not await its restart.
func (s *State) EndAwaitingRestart(ref workers.TaskRef) {
	if p := s.AwaitingRestart[ref]; p != nil {
		delete(s.AwaitingRestart, ref)
		p.Machine.ReturnRoom(p.Need)
	}
}

// restartMachine returns the only machine on which a task may start again, or nil if there is no such
// restriction. A task of a job that is being cancelled keeps its place only if nothing has shown that its start has
// arrived. Repeats of the others are ruled out by the session of the start, see FirstSessionStarts.
func (s *State) restartMachine(ref workers.TaskRef) *workers.Machine {
	m := s.SentTo[ref]
	if m == nil {
		return nil
	}
	phase := s.Jobs.ByIndex(ref.Job).Phase
	open := phase == jobs.Open || phase == jobs.Held
	if (open && m.MayStartLate(ref)) || (phase == jobs.Cancelling && m.HasUnconfirmedStart(ref)) {
		return m
	}
	return nil
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
