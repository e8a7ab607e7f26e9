package cluster

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// FailGang aborts the current attempt of a gang: plans are cancelled, tasks that were sent
// are stopped, and the next attempt waits until all of them are proved gone. If one task of a
// gang is done, all of them are, so such a gang is left unchanged.
func (s *State) FailGang(j *jobs.Job) {
	if j.GangFailed || j.Finished > 0 {
		return
	}
	j.GangFailed = true
	for k, task := range j.Tasks {
		p := s.Placements[workers.TaskRef{Job: j.Index, Task: int32(k)}]
		if task != jobs.Placed || p == nil {
			continue
		}
		switch {
		case p.Planned:
			s.CancelPlan(p)
		case !p.Stopping:
			p.Stopping, p.GraceSeconds = true, 0
		}
	}
	s.ResetGangIfEmpty(j)
}

// ResetGangIfEmpty prepares a gang for its next attempt once no task of the last one is left
// on any machine. It does nothing for other kinds of jobs.
func (s *State) ResetGangIfEmpty(j *jobs.Job) {
	if j.Record.Kind == jobs.Gang && j.Placed == 0 {
		j.GangAttempt, j.GangFailed, j.GangStarted = 0, false, false
	}
}
