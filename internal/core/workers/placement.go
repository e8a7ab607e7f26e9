package workers

import (
	"time"

	"bitternmoor/internal/core/resources"
)

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

// Ref names a task by its job's dense index.
type Ref struct{ Job, Task int32 }

// NoRef is no task's name: that of one whose job has left the table.
var NoRef = Ref{-1, -1}

// Placement is a task that counts as being on a machine.
type Placement struct {
	Ref     Ref
	JobID   uint64
	Image   int32
	Need    resources.Amounts
	Attempt uint64
	Planned bool // not known to be anywhere yet: Home's room is kept for it
	Machine *Machine
	// A planned task is offered to the controller that holds Home's block,
	// with the answers to reports of machines of that block. The controller
	// starts it on one of them. Until a newer report of a machine it was
	// offered to has come, it may be there.
	Offered            map[*Machine]bool
	offeredUnderSerial map[*Machine]bool // machines it was offered to under this serial
	Serial             uint64            // of the offer; a controller starts a serial once
	BoundToHome        bool              // bound to Home: tasks of gangs and of jobs with rules on zones
	IntentDurable      bool              // it is noted that tasks up to its number may be handed out
	NotOfferedAgain    bool              // not offered again before no offer is open
	Withdrawn          bool              // to be taken back once no offer is open
	lastReportSeq      uint64
	StartNow           bool // its class should start sooner than an idle worker reports
	State              TaskState
	Seen               bool
	RanAt              time.Duration
	Stopping           bool
	GraceSeconds       float64
}

// Runs says whether the task was running when it was last reported.
func (p *Placement) Runs() bool { return p.Seen && p.State == Running }
