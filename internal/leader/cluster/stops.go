package cluster

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
)

// saveMarginSeconds is the time that a stopped task gets in addition to the time that it
// needs to save a checkpoint.
const saveMarginSeconds = 5

// stopMessages maps the reason for stopping a task to the log message.
var stopMessages = map[Action]string{
	Preempt: "task stopped for another job",
	Move:    "task moved off a machine that is returned",
}

// StopAll stops tasks, giving them time to save a checkpoint, and logs the reason.
func (s *State) StopAll(now time.Duration, placements []*workers.Placement, action Action) {
	machines := map[*workers.Machine]bool{}
	message := stopMessages[action]
	for _, p := range placements {
		j := s.Jobs.ByIndex(p.Ref.Job)
		s.SaveAndStop(now, j, p)
		s.Publish(Event{Kind: TaskStopped, At: now, Job: j, Task: int(p.Ref.Task), Machine: p.Machine, Action: action})
		machines[p.Machine] = true
		s.LogMessage(effects.Debug, message, "job", p.JobID, "task", p.Ref.Task, "machine", p.Machine.Name)
	}
	for m := range machines {
		s.SendStops(m)
	}
}

// SaveAndStop stops a task, giving it time to save a checkpoint. A gang is stopped as a
// whole, because its progress is saved only if all of its tasks are notified in time.
func (s *State) SaveAndStop(now time.Duration, j *jobs.Job, p *workers.Placement) {
	grace := j.Record.SaveS + saveMarginSeconds + s.GangNotifySeconds(j)
	if j.Record.Kind == jobs.Gang {
		s.stopGang(j, grace)
		return
	}
	p.Stopping, p.GraceSeconds = true, grace
	if j.Record.Checkpoint > 0 && p.IsRunning() {
		if j.SavedRunTime == nil {
			j.SavedRunTime = map[int32]time.Duration{}
		}
		j.SavedRunTime[p.Ref.Task] += now - p.RunningSince
	}
}

// stopGang stops all tasks of a gang that are on machines or whose start is in flight.
func (s *State) stopGang(j *jobs.Job, graceSeconds float64) {
	for k := range j.Tasks {
		p := s.Placements[workers.TaskRef{Job: j.Index, Task: int32(k)}]
		if p != nil && !p.Planned && !p.Stopping {
			p.Stopping, p.GraceSeconds = true, graceSeconds
		}
	}
}

// GangNotifySeconds returns how long it may take to notify all tasks of a gang, in seconds.
// It is 0 for other kinds of jobs.
func (s *State) GangNotifySeconds(j *jobs.Job) float64 {
	if j.Record.Kind != jobs.Gang {
		return 0
	}
	return s.Cfg.Deployment.Workers.GangPeerS
}

// SendStops sends a machine its stop commands without waiting for its next heartbeat.
func (s *State) SendStops(m *workers.Machine) {
	if m.Address != "" && m.Up && !m.Deleting {
		s.Emit(effects.SendStops{Address: m.Address, Token: m.Token, Session: m.Session, Stops: m.DueStops()})
	}
}
