package wire

import (
	"encoding/json"
	"fmt"
)

// Paths of the controllers' API for users, and of the one to which workers report.
const (
	PathJobs    = "/api/jobs"
	PathJob     = "/api/jobs/{id}"
	PathAbort   = "/api/jobs/{id}/abort"
	PathHealth  = "/healthz"
	PathReports = "/checkin"
)

// JobPath is where a user asks for a job's state.
func JobPath(id uint64) string { return PathJobs + "/" + FormatID(id) }

// AbortPath is where a user cancels a job.
func AbortPath(id uint64) string { return JobPath(id) + "/abort" }

// JobState is a job's state as users see it.
type JobState uint8

// States of a job.
const (
	Queued JobState = iota
	Running
	Done
	Cancelled
)

// jobStateWords are the words of states, in the order of their numbers.
var jobStateWords = []string{"queued", "running", "done", "aborted"}

// jobAnswer answers a question for a job's state.
type jobAnswer struct {
	ID      string `json:"name_id"`
	State   string `json:"standing"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// JobAnswer is the body that answers a question for a job's state. With counts it says how many tasks
// are done and how many run.
func JobAnswer(id uint64, state JobState, counts bool, done, running int) []byte {
	a := jobAnswer{ID: FormatID(id), State: jobStateWords[state]}
	if counts {
		a.Done, a.Running = &done, &running
	}
	return encode(a)
}

// ParseJobAnswer reads the answer to a question for a job's state.
func ParseJobAnswer(body []byte) (JobState, error) {
	var in jobAnswer
	if err := json.Unmarshal(body, &in); err != nil {
		return 0, fmt.Errorf("wire: a job's state that cannot be read: %w", err)
	}
	state, known := indexOf(jobStateWords, in.State)
	if !known {
		return 0, fmt.Errorf("wire: %q is no state of a job", in.State)
	}
	return JobState(state), nil
}
