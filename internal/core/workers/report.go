package workers

import "slices"

// TaskState is a task's state as its worker reports it.
type TaskState uint8

// States of a task on a machine, in the order in which it goes through them.
const (
	Fetching  TaskState = iota // its image is fetched
	Gathering                  // it waits for the other tasks of its gang
	Running
	Saving // it was stopped, and saves its progress
	Ended
)

// Reason is why a task ended.
type Reason uint8

// Reasons of an end.
const (
	Vanished              Reason = iota // a report does not show it any more
	Completed                           // with its result
	Stopped                             // by a command
	PeersLost                           // another task of its gang was lost
	GangIncomplete                      // its gang did not become complete in time
	Failed                              // the task itself
	InsufficientResources               // the worker had no room for it
	Busy                                // the worker could not take it on
	UnknownTask                         // the worker does not know it
)

// reasonLabels are the labels of the reasons in views, metrics and log entries.
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

func (r Reason) String() string { return reasonLabels[r] }

// Report is a worker's status report, which is its heartbeat too.
type Report struct {
	// The machine.
	Machine, Address string
	Type, Zone       string
	Spot             bool
	Notice           bool    // the cloud has announced that it takes the spot instance back
	NoticeS          float64 // in how many seconds

	// Order of reports.
	Session uint64 // of the worker
	Seq     uint64 // number within the session
	Token   uint64 // highest fencing token that the worker has seen

	Tasks []TaskReport
}

// shows says whether the report lists a placement's attempt.
func (r *Report) shows(p *Placement) bool {
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
	Saved   bool   // of a stopped task: its progress is saved
}

// Op is what a command asks for.
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
