package cluster

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// FailGang gives up a gang's launch: what was not sent is taken back, the
// others are stopped, and the next launch waits until all are proved gone.
func (s *State) FailGang(j *jobs.Job) {
	if j.GangFailed || j.Finished > 0 {
		return // one that is done has all of them done
	}
	j.GangFailed = true
	for k, task := range j.Tasks {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		p := s.Placements[ref]
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

// ResetGangIfEmpty makes a gang ready for its next launch once nothing of the last
// one is left anywhere.
func (s *State) ResetGangIfEmpty(j *jobs.Job) {
	if j.Record.Kind == jobs.Gang && j.Placed == 0 {
		j.GangAttempt, j.GangFailed, j.GangBegan = 0, false, false
	}
}
