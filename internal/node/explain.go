package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/leader/term"
	"bitternmoor/internal/wire"
)

// Explanation describes in plain words a job's state and what it waits for. Peers send it over
// net/rpc, and views encode it as JSON.
type Explanation struct {
	ID    string     `json:"id"`
	Job   *JobStatus `json:"job,omitempty"`   // nil: there is no such unfinished job
	Place int        `json:"place,omitempty"` // position in the scheduling order, from 1; 0: not in it
	Words []string   `json:"words"`
}

func (e *Explanation) addSentence(format string, args ...any) {
	e.Words = append(e.Words, fmt.Sprintf(format, args...))
}

// Explain returns the explanation of a job. ok is false on a node that cannot answer because it
// does not lead or has not read the log yet.
func (c *Core) Explain(now time.Duration, id uint64) (explanation Explanation, ok bool) {
	t := c.term
	if t == nil || !t.Loaded() {
		return Explanation{}, false
	}
	e := Explanation{ID: wire.FormatID(id)}
	if phase, over := t.Jobs.FinalPhase(id); over {
		e.addSentence("it is %s", map[jobs.Phase]string{jobs.Done: "done", jobs.Cancelled: "cancelled"}[phase])
		return e, true
	}
	job := t.Jobs.ByID(id)
	if job == nil {
		e.addSentence("no such job was accepted")
		return e, true
	}
	e.explainUnfinished(t, now, job)
	return e, true
}

// explainUnfinished adds the explanation of an unfinished job.
func (e *Explanation) explainUnfinished(t *term.Term, now time.Duration, job *jobs.Job) {
	status := jobStatus(t, job)
	e.Job = &status
	snapshot := t.Snapshot(now)
	// slices.Index returns -1 for a job that is not in the order, so its place is 0.
	e.Place = slices.Index(t.Scheduler.JobOrder(&snapshot), job.Index) + 1
	e.explainDependents(t, job)
	if job.Phase == jobs.Held {
		e.explainHeld(t, job)
		return
	}
	if count := len(job.Record.Follows); count > 0 {
		e.addSentence("the %d jobs that it follows are done; its times count from then", count)
	}
	if job.Phase == jobs.Cancelling {
		e.explainCancelling(now, job)
		return
	}
	e.addSentence("%d of its %d tasks are done, %d have a place, %d wait",
		job.Finished, len(job.Tasks), job.Placed, job.Waiting)
	e.explainSize(job, &status)
	if e.Place > 0 {
		e.addSentence("it is number %d in the order", e.Place)
	}
	for _, sentence := range t.Scheduler.Explain(snapshot, job) {
		e.addSentence("%s", sentence)
	}
}

// explainDependents adds which jobs wait for the job, and the priority that it inherits from them.
func (e *Explanation) explainDependents(t *term.Term, job *jobs.Job) {
	if len(job.Dependents) > 0 {
		e.addSentence("jobs that wait for it: %s", strings.Join(jobIDs(t, job.Dependents), ", "))
	}
	if job.Priority > job.Record.Priority {
		e.addSentence("it has taken the priority of a job that needs it: %s instead of %s (exception follow_urgency)",
			wire.PriorityName(job.Priority), wire.PriorityName(job.Record.Priority))
	}
}

func (e *Explanation) explainHeld(t *term.Term, job *jobs.Job) {
	if len(job.Dependencies) == 0 {
		e.addSentence("what it follows is not in the log any more: it is not started, and waits to be cancelled")
		return
	}
	e.addSentence("it waits for %d of the %d jobs that it follows: %s",
		len(job.Dependencies), len(job.Record.Follows), strings.Join(jobIDs(t, job.Dependencies), ", "))
	e.addSentence("until they are done it is outside the order and holds nothing of its team's share")
}

func (e *Explanation) explainCancelling(now time.Duration, job *jobs.Job) {
	e.addSentence("its user has asked to cancel it %.0f s ago, and is told so once nothing of it is left anywhere: "+
		"%d tasks are not proved gone, %d machines that may have some were not heard",
		(now - job.CancelRequestedAt).Seconds(), job.Placed, job.UnresolvedMachines)
}

// explainSize adds the job's size and how it was determined.
func (e *Explanation) explainSize(job *jobs.Job, status *JobStatus) {
	switch {
	case job.Record.Kind == jobs.Service:
		e.addSentence("it is a service: it gets room first, outside the order")
	case job.Record.Kind == jobs.Gang:
		e.addSentence("it is a gang: it starts when all of its tasks fit; its size is an estimate of %.0f s of work", status.Size)
	case status.Final && status.Size == 0 && job.Finished == 0:
		e.addSentence("it has fewer tasks than train a size: it counts as tiny, with size 0")
	case status.Final:
		e.addSentence("its size was set by its training tasks: %.0f s of work, of which %.0f s are left in the virtual cluster",
			status.Size, status.Virtual)
	default:
		e.addSentence("its training tasks have not told its size yet: it starts at %.0f s of work", status.Size)
	}
}
