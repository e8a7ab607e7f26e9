package cluster

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// Gate delays actions after a cold start, which is a start without a preceding leader.
type Gate interface {
	// Permits reports whether actions of a kind may be taken now.
	Permits(now time.Duration, action Action) bool
	// SilenceAllowance returns for how long after the beginning of the term a machine that has
	// not reported in it may still be alive.
	SilenceAllowance() time.Duration
}

// StartPacer limits the rate of task starts.
type StartPacer interface {
	// Allows reports whether a task of a job may be started on a machine now.
	Allows(now time.Duration, j *jobs.Job, m *workers.Machine) bool
	// TaskStarted records the start of a task on a machine.
	TaskStarted(now time.Duration, m *workers.Machine)
}

// Rebalancer distributes the workers' heartbeats over the controllers.
type Rebalancer interface {
	// RedirectTo returns the controller to which a machine that has just reported should
	// report from now on, or "" if it should stay with its controller.
	RedirectTo(now time.Duration, m *workers.Machine) string
}

// Permits reports whether actions of a kind may be taken now.
func (s *State) Permits(now time.Duration, action Action) bool {
	return s.Gate == nil || s.Gate.Permits(now, action)
}

// SilenceAllowance returns for how long after the beginning of the term a machine that has
// not reported in it may still be alive; 0 without a Gate.
func (s *State) SilenceAllowance() time.Duration {
	if s.Gate == nil {
		return 0
	}
	return s.Gate.SilenceAllowance()
}
