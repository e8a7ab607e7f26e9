package wire

import (
	"encoding/json"
	"fmt"
)

// Paths of the controllers' user API, and the path to which workers send their reports.
const (
	PathJobs    = "/api/jobs"
	PathJob     = "/api/jobs/{id}"
	PathAbort   = "/api/jobs/{id}/abort"
	PathHealth  = "/healthz"
	PathReports = "/checkin"
)

// JobPath returns the path at which users query the state of a job.
func JobPath(id uint64) string { return PathJobs + "/" + FormatID(id) }

// AbortPath returns the path at which users cancel a job.
func AbortPath(id uint64) string { return JobPath(id) + "/abort" }

// JobState is the state of a job as the user API shows it.
type JobState uint8

// States of a job.
const (
	Queued JobState = iota
	Running
	Done
	Cancelled
)

// jobStateNames are the protocol's names of job states, indexed by JobState.
var jobStateNames = []string{"queued", "running", "done", "aborted"}

// jobAnswer is the response to a query for a job's state.
type jobAnswer struct {
	ID      string `json:"name_id"`
	State   string `json:"standing"`
	Done    *int   `json:"done,omitempty"`    // number of tasks that are done
	Running *int   `json:"running,omitempty"` // number of tasks that run
}

// EncodeJobAnswer encodes the response to a query for a job's state. If counts is set, it includes how many
// tasks are done and how many run.
func EncodeJobAnswer(id uint64, state JobState, counts bool, done, running int) []byte {
	a := jobAnswer{ID: FormatID(id), State: jobStateNames[state]}
	if counts {
		a.Done, a.Running = &done, &running
	}
	return encode(a)
}

// ParseJobAnswer decodes the response to a query for a job's state.
func ParseJobAnswer(body []byte) (JobState, error) {
	var in jobAnswer
	if err := json.Unmarshal(body, &in); err != nil {
		return 0, fmt.Errorf("wire: a job's state that cannot be read: %w", err)
	}
	state, known := indexOf(jobStateNames, in.State)
	if !known {
		return 0, fmt.Errorf("wire: %q is no state of a job", in.State)
	}
	return JobState(state), nil
}
