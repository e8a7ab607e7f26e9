package cluster

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// FailGang gives up a gang's launch: tasks that were not sent are cancelled, the others
// are stopped, and the next launch waits until all are proved gone. A gang of which a task
// is done has all of them done, and is left alone.
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

// ResetGangIfEmpty makes a gang ready for its next launch once nothing of the last one is
// left anywhere. It does nothing for other jobs.
func (s *State) ResetGangIfEmpty(j *jobs.Job) {
	if j.Record.Kind == jobs.Gang && j.Placed == 0 {
		j.GangAttempt, j.GangFailed, j.GangBegan = 0, false, false
	}
}
