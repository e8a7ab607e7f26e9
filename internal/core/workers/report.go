package workers

import "slices"

// TaskState is a task's state as its worker reports it.
type TaskState uint8

// States of a task on a machine.
const (
	Fetching TaskState = iota
	Gathering
	Running
	Saving
	Ended
)

// Reason is why a task ended.
type Reason uint8

// Reasons of an end; Vanished is a task that a report no longer shows.
const (
	Vanished Reason = iota
	Completed
	Stopped
	PeersLost
	Alone
	Failed
	NoRoom
	Busy
	UnknownTask
)

var reasonLabels = [...]string{"vanished", "done", "stopped", "a peer was lost", "gang not complete", "failed", "no room", "busy", "unknown task"}

func (r Reason) String() string { return reasonLabels[r] }

// Report is a worker's report.
type Report struct {
	Machine, Address, Type, Zone string
	Spot                         bool
	Session, Seq, Token          uint64
	Notice                       bool
	NoticeS                      float64
	Tasks                        []TaskReport
}

// shows says whether the report lists a placement's attempt.
func (r *Report) shows(p *Placement) bool {
	return slices.ContainsFunc(r.Tasks, func(t TaskReport) bool {
		return t.Job == p.JobID && t.Task == int(p.Ref.Task) && t.Attempt == p.Attempt
	})
}

// TaskReport is one task of a report.
type TaskReport struct {
	Job     uint64
	Task    int
	Attempt uint64
	State   TaskState
	Reason  Reason
	Saved   bool
}

// Op is a command's verb.
type Op uint8

// Commands.
const (
	Start Op = iota
	Stop
	Reap
)

// Command is a command to a worker.
type Command struct {
	Op      Op
	Job     uint64
	Task    int
	Attempt uint64
	GraceS  float64
}
