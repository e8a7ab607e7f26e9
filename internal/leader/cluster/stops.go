package cluster

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"time"
)

var stopMessages = map[Action]string{Preempt: "task stopped for another job", Move: "task moved off a machine that is returned"}

// StopAll stops tasks with time to save, and says why.
func (s *State) StopAll(now time.Duration, list []*workers.Placement, o Action) {
	on := map[*workers.Machine]bool{}
	why := stopMessages[o]
	for _, p := range list {
		j := s.Jobs.At(p.Ref.Job)
		s.SaveAndStop(now, j, p)
		s.Publish(Event{Kind: TaskStopped, At: now, Job: j, Task: int(p.Ref.Task), Machine: p.Machine, Action: o})
		on[p.Machine] = true
		s.LogMessage(effects.Debug, why, "job", p.JobID, "task", p.Ref.Task, "machine", p.Machine.Name)
	}
	for m := range on {
		s.SendStops(m)
	}
}

// SaveAndStop stops a task with time to save; a gang is stopped as a whole,
// for its progress is safe only when all of it is told in time.
func (s *State) SaveAndStop(now time.Duration, j *jobs.Job, p *workers.Placement) {
	grace := j.Record.SaveS + 5 + s.PeerTime(j)
	if j.Record.Kind != jobs.Gang {
		p.Stopping, p.GraceSeconds = true, grace
		if j.Record.Checkpoint > 0 && p.Runs() {
			if j.Saved == nil {
				j.Saved = map[int32]time.Duration{}
			}
			j.Saved[p.Ref.Task] += now - p.RanAt
		}
		return
	}
	for k := range j.Tasks {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		if q := s.Placements[ref]; q != nil && !q.Planned && !q.Stopping {
			q.Stopping, q.GraceSeconds = true, grace
		}
	}
}

// PeerTime is how long it may take until all tasks of a gang are told.
func (s *State) PeerTime(j *jobs.Job) float64 {
	if j.Record.Kind != jobs.Gang {
		return 0
	}
	return s.Cfg.Deployment.Workers.GangPeerS
}

// SendStops sends a machine's stops without waiting for its next report.
func (s *State) SendStops(m *workers.Machine) {
	if m.Address != "" && m.Up && !m.Deleting {
		s.Emit(effects.SendStops{Address: m.Address, Token: m.Token, Session: m.Session, Stops: m.Stops()})
	}
}
