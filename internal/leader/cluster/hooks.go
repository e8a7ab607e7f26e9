package cluster

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// Gate holds actions back for a while, after a start in which nobody led before.
type Gate interface {
	// Permits says whether actions of a kind may be taken now.
	Permits(now time.Duration, a Action) bool
	// SilenceAllowance is how long after the beginning of the term a machine may live that
	// has not been heard in it.
	SilenceAllowance() time.Duration
}

// StartPacer is the rate limit of task starts.
type StartPacer interface {
	// Allows says whether a task of a job may be started on a machine now.
	Allows(now time.Duration, j *jobs.Job, m *workers.Machine) bool
	// TaskStarted counts a task that was started.
	TaskStarted(now time.Duration, m *workers.Machine)
}

// Rebalancer spreads heartbeats over controllers.
type Rebalancer interface {
	// RedirectTo says to which controller a machine that has just reported should go
	// instead; empty: it stays.
	RedirectTo(now time.Duration, m *workers.Machine) string
}

// Permits says whether actions of a kind may be taken now.
func (s *State) Permits(now time.Duration, a Action) bool {
	return s.Gate == nil || s.Gate.Permits(now, a)
}

// SilenceAllowance is how long a machine may be silent that was not heard in this term yet.
func (s *State) SilenceAllowance() time.Duration {
	if s.Gate == nil {
		return 0
	}
	return s.Gate.SilenceAllowance()
}
