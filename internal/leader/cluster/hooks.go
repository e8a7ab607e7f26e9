package cluster

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"time"
)

// Gate holds orders back for a while, after a start in which nobody led before.
type Gate interface {
	// May says whether orders of a kind may be given now.
	Permits(now time.Duration, o Action) bool
	// Patience is how long after the beginning of the term a machine that was not heard
	// in it may be one that lives.
	SilenceAllowance() time.Duration
}

// StartPacer bounds how fast tasks are started.
type StartPacer interface {
	Allows(now time.Duration, j *jobs.Job, m *workers.Machine) bool
	TaskStarted(now time.Duration, m *workers.Machine)
}

// Rebalancer spreads reports over controllers.
type Rebalancer interface {
	// Elsewhere says to which controller a machine that has just reported should go
	// instead; empty: it stays.
	RedirectTo(now time.Duration, m *workers.Machine) string
}

// Permits says whether orders of a kind may be given now.
func (s *State) Permits(now time.Duration, o Action) bool {
	return s.Gate == nil || s.Gate.Permits(now, o)
}

// SilenceAllowance is how long a machine may be silent that was not heard in this term yet.
func (s *State) SilenceAllowance() time.Duration {
	if s.Gate == nil {
		return 0
	}
	return s.Gate.SilenceAllowance()
}
