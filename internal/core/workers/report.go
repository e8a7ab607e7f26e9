package workers

import "slices"

// TaskState is the state of a task as reported by its worker.
type TaskState uint8

// States of a task on a machine, in the order in which it passes through them.
const (
	Fetching  TaskState = iota // its image is being fetched
	Gathering                  // it waits for the other tasks of its gang
	Running
	Saving // it was stopped, and is saving its progress
	Ended
)

// Reason is why a task ended.
type Reason uint8

// Reasons why a task ended.
const (
	Vanished              Reason = iota // gone without a reported end, perhaps with its machine or session
	Completed                           // it ended with its result
	Stopped                             // it was stopped by a command
	PeersLost                           // another task of its gang was lost
	GangIncomplete                      // its gang did not become complete in time
	Failed                              // the task itself failed
	InsufficientResources               // the worker did not have enough free resources
	Busy                                // the worker could not accept it
	UnknownTask                         // the worker has no such task
)

// reasonLabels holds the reasons' labels in views, metrics and log entries.
var reasonLabels = [...]string{
	Vanished:              "vanished",
	Completed:             "done",
	Stopped:               "stopped",
	PeersLost:             "a peer was lost",
	GangIncomplete:        "gang not complete",
	Failed:                "failed",
	InsufficientResources: "no room",
	Busy:                  "busy",
	UnknownTask:           "unknown task",
}

// String returns the reason's label.
func (r Reason) String() string { return reasonLabels[r] }

// Report is a worker's status report, which also serves as its heartbeat.
type Report struct {
	// The machine.
	Machine, Address string
	Type, Zone       string
	Spot             bool
	Notice           bool    // the cloud has announced that it will take the spot instance back
	NoticeS          float64 // number of seconds until then

	// Ordering of reports.
	Session uint64 // session of the worker
	Seq     uint64 // number within the session
	Token   uint64 // highest fencing token that the worker has seen

	Tasks []TaskReport
}

// lists reports whether the report lists a placement's attempt.
func (r *Report) lists(p *Placement) bool {
	return slices.ContainsFunc(r.Tasks, func(t TaskReport) bool {
		return t.Job == p.JobID && t.Task == int(p.Ref.Task) && t.Attempt == p.Attempt
	})
}

// TaskReport is one task in a status report.
type TaskReport struct {
	Job     uint64
	Task    int
	Attempt uint64
	State   TaskState
	Reason  Reason // of an ended task
	Saved   bool   // of a stopped task: whether its progress is saved
}

// Op is the operation of a command.
type Op uint8

// Operations.
const (
	Start Op = iota
	Stop
	Reap // forget an ended attempt and its result
)

// Command is a command to a worker about one attempt of a task.
type Command struct {
	Op      Op
	Job     uint64
	Task    int
	Attempt uint64
	GraceS  float64 // of a stop: seconds that the task gets to save its progress
}
