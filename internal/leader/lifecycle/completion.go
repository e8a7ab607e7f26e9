package lifecycle

import (
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// HandleEvent collects completed tasks, so that the tasks of a job that complete between two
// commits share one log entry.
func (c *Component) HandleEvent(e cluster.Event) {
	if e.Kind != cluster.TaskDone {
		return
	}
	id := e.Job.Record.ID
	batch := c.completed[id]
	if batch == nil {
		batch = &eventlog.CompletedTasks{ID: id}
		c.completed[id] = batch
	}
	batch.Add(e.Task)
	if e.RunSeconds >= 0 {
		// Rounded down to hundredths to save space in the log.
		batch.Seconds = float64(int64((batch.Seconds+e.RunSeconds)*100)) / 100
		batch.Known++
	}
}

// appendCompleted appends completed tasks to the log, in the order of their jobs' ids.
func (c *Component) appendCompleted(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.completed)) {
		c.appendTasks(now, *c.completed[id])
	}
	clear(c.completed)
}

// appendTasks appends completed tasks of a job, in as many entries as they need. If other jobs
// depend on the job, the entries carry the time of day.
func (c *Component) appendTasks(now time.Duration, batch eventlog.CompletedTasks) {
	if j := c.Jobs.ByID(batch.ID); j != nil && len(j.Dependents) > 0 {
		batch.AtMS = c.ClockOriginUnixMS + now.Milliseconds()
	}
	maxRanges := max(1, c.EventLog.MaxEntryBytes()/maxRangeBytes-completedOverhead)
	for len(batch.Ranges) > maxRanges {
		part := eventlog.CompletedTasks{ID: batch.ID, Ranges: batch.Ranges[:maxRanges], AtMS: batch.AtMS}
		c.EventLog.AppendTracked(eventlog.Entry{CompletedTasks: &part})
		batch.Ranges = batch.Ranges[maxRanges:]
	}
	c.EventLog.AppendTracked(eventlog.Entry{CompletedTasks: &batch})
}

// completionsDurable marks tasks as durably completed and finishes the job once all of its
// tasks are.
func (c *Component) completionsDurable(now time.Duration, leaseValid bool, done *eventlog.CompletedTasks) {
	j := c.Jobs.ByID(done.ID)
	if j == nil {
		return
	}
	for _, r := range done.Ranges {
		for k := r[0]; k < r[1]; k++ {
			j.MarkDurable(k)
		}
	}
	if j.DurableCount == len(j.Tasks) {
		c.finish(now, leaseValid, j)
	}
}

// finish ends a job all of whose tasks are durably completed, and releases the jobs that
// waited only for it.
func (c *Component) finish(now time.Duration, leaseValid bool, j *jobs.Job) {
	id := j.Record.ID
	j.Phase = jobs.Done
	c.Jobs.RecordFinalPhase(id, jobs.Done)
	c.Estimator.Remove(j.Index, true, j.RunSeconds, j.RunCount)
	c.Publish(cluster.Event{Kind: cluster.JobDone, At: now, Job: j})
	c.logJobDone(now, j)
	for _, dependent := range c.Jobs.RemoveFromGraph(j) {
		if len(dependent.Dependencies) == 0 && dependent.Phase == jobs.Held {
			c.release(now, dependent)
		}
	}
	c.RemoveIfFinished(j)
	c.answerCancellations(leaseValid, id)
}

func (c *Component) logJobDone(now time.Duration, j *jobs.Job) {
	sinceAccepted := func(at time.Duration) time.Duration {
		return (at - j.AcceptedAt).Round(100 * time.Millisecond)
	}
	c.LogMessage(effects.Debug, "job done",
		"job", j.Record.ID,
		"class", j.Record.Class,
		"tasks", len(j.Tasks),
		"mean", j.MeanRunSeconds(),
		"estimate", j.Record.EstimateS,
		"first_start", sinceAccepted(j.FirstRunAt),
		"last_start", sinceAccepted(j.LastRunAt),
		"after", sinceAccepted(now))
}
