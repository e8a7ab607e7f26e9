package wire

import (
	"encoding/json"
	"fmt"
)

// Paths of the users' and workers' doors.
const (
	PathJobs    = "/api/jobs"
	PathJob     = "/api/jobs/{id}"
	PathAbort   = "/api/jobs/{id}/abort"
	PathHealth  = "/healthz"
	PathReports = "/checkin"
)

// JobPath and AbortPath are where a user asks for a job, and cancels it.
func JobPath(id uint64) string   { return PathJobs + "/" + FormatID(id) }
func AbortPath(id uint64) string { return JobPath(id) + "/abort" }

// JobState is a job's state as users know it.
type JobState uint8

// States of a job.
const (
	Queued JobState = iota
	Running
	Done
	Cancelled
)

var jobStateWords = []string{"queued", "running", "done", "aborted"}

type jobAnswer struct {
	ID      string `json:"name_id"`
	State   string `json:"standing"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// JobAnswer is the body that tells a user a job's state.
func JobAnswer(id uint64, s JobState, counts bool, done, running int) []byte {
	a := jobAnswer{ID: FormatID(id), State: jobStateWords[s]}
	if counts {
		a.Done, a.Running = &done, &running
	}
	return encode(a)
}

// ParseJobAnswer reads what a user is told of a job.
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
