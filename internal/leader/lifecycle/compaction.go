package lifecycle

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
)

// Upper bounds for what one item takes in an entry of the log, in bytes, and what is left
// in an entry for its other fields, in items.
const (
	maxRangeBytes = 16 // of a range of tasks
	maxIDBytes    = 21 // of a job's id

	completedOverhead    = 4
	dependenciesOverhead = 4
	finalStatesOverhead  = 2
)

// Rough sizes that tell how much of the log is live, in bytes.
const (
	openJobBytes    = 400
	finalStateBytes = 9
)

// LiveBytes is roughly how many bytes Compact would write for the whole log.
func (c *Component) LiveBytes() int {
	return c.Jobs.Len()*openJobBytes + c.Jobs.FinalCount()*finalStateBytes
}

// CanCompact says whether all that is live of these entries can be written anew. What was
// stored under larger limits may be too large now: then it stays where it is until the job
// is over. A cancellation on its way to the log would stand before the job that is written
// anew, and be replayed without it.
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

// Compact writes anew what is live of an entry.
func (c *Component) Compact(now time.Duration, e eventlog.Entry) {
	switch {
	case e.Dependencies != nil:
		// One for one, beside the job's own entry: the two may be in different segments, and
		// what a waiting job depends on must never be lost.
		if j := c.Jobs.ByID(e.Dependencies.ID); j != nil && j.Record.AtMS == e.Dependencies.AcceptedMS {
			c.EventLog.Append(e)
		}
	case e.Job != nil:
		if _, over := c.Jobs.FinalPhase(e.Job.ID); over {
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

// CompactionDone writes the final states that are left.
func (c *Component) CompactionDone() { c.appendFinalStates(1) }

// compactOpenJob appends what is known of an open job. Completed tasks that are on their
// way to the log are in it too: their own entry will stand before the job that is written
// here, and be replayed without it.
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

// compactFinalState gathers a final state to be written anew, in entries that are as large
// as they may be.
func (c *Component) compactFinalState(id uint64) {
	switch phase, _ := c.Jobs.FinalPhase(id); phase {
	case jobs.Done:
		c.compactedFinals.Done = append(c.compactedFinals.Done, id)
	case jobs.Cancelled:
		c.compactedFinals.Cancelled = append(c.compactedFinals.Cancelled, id)
	}
	c.appendFinalStates(max(1, c.EventLog.MaxEntryBytes()/maxIDBytes-finalStatesOverhead))
}

// appendFinalStates appends the final states that were gathered, if there are at least so
// many.
func (c *Component) appendFinalStates(least int) {
	if len(c.compactedFinals.Done)+len(c.compactedFinals.Cancelled) < least {
		return
	}
	finals := c.compactedFinals
	c.EventLog.Append(eventlog.Entry{FinalStates: &finals})
	c.compactedFinals = eventlog.FinalStates{}
}
