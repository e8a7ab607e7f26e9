// Package lifecycle is the component of a leader that takes jobs from their submission to
// their end: it accepts them, resolves their dependencies, releases, cancels and completes
// them, and answers their users. It alone writes entries of jobs, dependencies, completed
// tasks, cancellations and final states to the event log.
//
// Like all components it has no clock, socket or goroutine. leaseValid says whether the
// leader's lease still holds; without it users are told nothing of jobs.
package lifecycle

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// Component is the life of all jobs in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	// What has not been handed to the log yet, by job id.
	completed  map[uint64]*eventlog.CompletedTasks // tasks that have completed
	cancelling map[uint64]*jobs.Job                // jobs whose cancellation waits until nothing of them is anywhere

	// Requests that are answered once an entry is durable, by job id.
	submitRequests map[uint64][]effects.RequestID
	cancelRequests map[uint64][]effects.RequestID

	cancelSeconds *cluster.Histogram

	// While the log is replayed, by job id; nil after.
	replayedDependencies map[uint64][]eventlog.Dependencies
	replayedDoneAt       map[uint64]int64 // time of day of the last completion, in milliseconds

	compactedFinals eventlog.FinalStates // to be written anew by the compaction under way
}

// New makes the component of a term.
func New(s *cluster.State) *Component {
	return &Component{
		State: s,
		cancelSeconds: s.Metrics.Histogram("bitternmoor_cancel_seconds",
			"Time from a user's wish to cancel a job until nothing of it was left anywhere, by its class.",
			"class", []float64{0.05, 0.2, 0.5, 1, 2, 4, 8, 15, 30, 60}),
		completed:            map[uint64]*eventlog.CompletedTasks{},
		cancelling:           map[uint64]*jobs.Job{},
		submitRequests:       map[uint64][]effects.RequestID{},
		cancelRequests:       map[uint64][]effects.RequestID{},
		replayedDependencies: map[uint64][]eventlog.Dependencies{},
		replayedDoneAt:       map[uint64]int64{},
	}
}

// EntryDurable acts on an entry that has become durable.
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

// AppendEntries hands completed tasks to the log, and cancellations of jobs of which
// nothing is left.
func (c *Component) AppendEntries(now time.Duration) {
	c.appendCompleted(now)
	c.appendCancellations(now)
}

// End answers everybody who still waits; the next leader knows more.
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
