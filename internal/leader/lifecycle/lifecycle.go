// Package lifecycle implements the component of a leader that manages jobs from submission
// to end: it accepts them, resolves their dependencies, releases, cancels and completes
// them, and answers user requests. It alone writes entries of jobs, dependencies, completed
// tasks, cancellations and final states to the event log.
//
// Like all components it has no clock, socket or goroutine. leaseValid reports whether the
// leader's lease still holds; without it no answer contains the state of a job.
package lifecycle

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// Component manages the life cycle of all jobs in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	// Changes that are not appended to the log yet, by job id.
	completed  map[uint64]*eventlog.CompletedTasks // tasks that have completed
	cancelling map[uint64]*jobs.Job                // jobs whose cancellation waits for their tasks to stop

	// Requests that are answered once an entry is durable, by job id.
	submitRequests map[uint64][]effects.RequestID
	cancelRequests map[uint64][]effects.RequestID

	cancelSeconds *cluster.Histogram

	// Set only while the log is replayed, by job id.
	replayedDependencies map[uint64][]eventlog.Dependencies
	replayedDoneAt       map[uint64]int64 // time of day of the last completion, in Unix milliseconds

	compactedFinals eventlog.FinalStates // collected by the current compaction, to be appended again
}

// New creates the component for a term.
func New(s *cluster.State) *Component {
	return &Component{
		State: s,
		cancelSeconds: s.Metrics.Histogram("bitternmoor_cancel_seconds",
			"Time from a request to cancel a job until no task of it was left on any machine, by job class.",
			"class", []float64{0.05, 0.2, 0.5, 1, 2, 4, 8, 15, 30, 60}),
		completed:            map[uint64]*eventlog.CompletedTasks{},
		cancelling:           map[uint64]*jobs.Job{},
		submitRequests:       map[uint64][]effects.RequestID{},
		cancelRequests:       map[uint64][]effects.RequestID{},
		replayedDependencies: map[uint64][]eventlog.Dependencies{},
		replayedDoneAt:       map[uint64]int64{},
	}
}

// EntryDurable applies an entry that has become durable.
func (c *Component) EntryDurable(now time.Duration, leaseValid bool, e eventlog.Entry) {
	switch {
	case e.Job != nil:
		c.acceptanceDurable(now, leaseValid, e.Job.ID)
	case e.Cancel != nil:
		c.cancellationDurable(leaseValid, *e.Cancel)
	case e.CompletedTasks != nil:
		c.completionsDurable(now, leaseValid, e.CompletedTasks)
	}
}

// AppendEntries appends completed tasks to the log, and the cancellations of jobs that have no
// tasks left on any machine.
func (c *Component) AppendEntries(now time.Duration) {
	c.appendCompleted(now)
	c.appendCancellations(now)
}

// End answers all waiting requests as unavailable; clients retry them with the next leader.
func (c *Component) End() {
	for _, requests := range []map[uint64][]effects.RequestID{c.submitRequests, c.cancelRequests} {
		for _, list := range requests {
			for _, to := range list {
				c.reply(to, effects.Unavailable("leadership has changed"))
			}
		}
	}
	c.submitRequests, c.cancelRequests = nil, nil
}
