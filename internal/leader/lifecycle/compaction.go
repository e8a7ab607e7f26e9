package lifecycle

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
)

// Upper bounds of the size of one item in a log entry, in bytes, and the space that is
// reserved for the other fields of the entry, in items.
const (
	maxRangeBytes = 16 // one range of tasks
	maxIDBytes    = 21 // one job id

	completedOverhead    = 4
	dependenciesOverhead = 4
	finalStatesOverhead  = 2
)

// Approximate sizes from which the live part of the log is estimated, in bytes.
const (
	openJobBytes    = 400
	finalStateBytes = 9
)

// LiveBytes estimates how many bytes Compact would write for the whole log.
func (c *Component) LiveBytes() int {
	return c.Jobs.Len()*openJobBytes + c.Jobs.FinalCount()*finalStateBytes
}

// CanCompact reports whether all live entries among these can be appended again. A job that
// was stored under larger limits may be too large now; it then stays in its segment until it
// is over. A job whose cancellation is pending cannot be compacted either: the cancellation
// would precede the new entry of the job in the log, and replay would ignore it.
func (c *Component) CanCompact(entries []eventlog.Entry) bool {
	for _, e := range entries {
		if e.Job == nil {
			continue
		}
		j := c.Jobs.ByID(e.Job.ID)
		if j == nil {
			continue
		}
		stored, _ := c.storedForm(j.Record)
		if j.CancelPending || !c.EventLog.Fits(eventlog.Entry{Job: &stored}) {
			return false
		}
	}
	return true
}

// Compact appends again what is live of an entry.
func (c *Component) Compact(now time.Duration, e eventlog.Entry) {
	switch {
	case e.Dependencies != nil:
		// Copied one by one, independently of the job's own entry: the two may be in different
		// segments, and the dependencies of a waiting job must never be lost.
		if j := c.Jobs.ByID(e.Dependencies.ID); j != nil && j.Record.AtMS == e.Dependencies.AcceptedMS {
			c.EventLog.Append(e)
		}
	case e.Job != nil:
		if _, final := c.Jobs.FinalPhase(e.Job.ID); final {
			c.compactFinalState(e.Job.ID)
		} else if j := c.Jobs.ByID(e.Job.ID); j != nil {
			c.compactOpenJob(now, j)
		}
	case e.FinalStates != nil:
		for _, id := range e.FinalStates.Done {
			c.compactFinalState(id)
		}
		for _, id := range e.FinalStates.Cancelled {
			c.compactFinalState(id)
		}
	}
}

// CompactionDone appends the remaining final states.
func (c *Component) CompactionDone() { c.appendFinalStates(1) }

// compactOpenJob appends the present state of an open job. It includes completed tasks whose
// own entry is pending: that entry will precede the job's new entry, and replay ignores
// completions of a job that it has not read yet.
func (c *Component) compactOpenJob(now time.Duration, j *jobs.Job) {
	c.EventLog.Append(c.acceptanceEntry(j))
	completed := eventlog.CompletedTasks{ID: j.Record.ID, Seconds: j.RunSeconds, Known: j.RunCount}
	for k, state := range j.Tasks {
		if state == jobs.FinishedDurably || state == jobs.Finished {
			completed.Add(k)
		}
	}
	if len(completed.Ranges) > 0 {
		c.appendTasks(now, completed)
	}
	if size, final := c.Estimator.Size(j.Index); final && size > 0 {
		c.EventLog.Append(eventlog.Entry{FinalSize: &eventlog.FinalSize{ID: j.Record.ID, Size: size}})
	}
}

// compactFinalState collects a final state and appends the collected ones once they fill an
// entry of the maximum size.
func (c *Component) compactFinalState(id uint64) {
	switch phase, _ := c.Jobs.FinalPhase(id); phase {
	case jobs.Done:
		c.compactedFinals.Done = append(c.compactedFinals.Done, id)
	case jobs.Cancelled:
		c.compactedFinals.Cancelled = append(c.compactedFinals.Cancelled, id)
	}
	c.appendFinalStates(max(1, c.EventLog.MaxEntryBytes()/maxIDBytes-finalStatesOverhead))
}

// appendFinalStates appends the collected final states if there are at least minCount of them.
func (c *Component) appendFinalStates(minCount int) {
	if len(c.compactedFinals.Done)+len(c.compactedFinals.Cancelled) < minCount {
		return
	}
	finals := c.compactedFinals
	c.EventLog.Append(eventlog.Entry{FinalStates: &finals})
	c.compactedFinals = eventlog.FinalStates{}
}
