// Package dispatch is the component of a leader's term for push dispatch: it starts tasks by a
// command sent straight to their workers, without waiting for a heartbeat (the setting
// direct_starts). Only tasks of classes whose wait objective is shorter than a heartbeat
// interval are dispatched this way.
//
// Such a command may be carried out minutes after the leader has given it up, as long as its
// token and session match. A dispatched task therefore counts as being on its machine from
// before the command is sent. If the task is not seen there, a report at a higher token or a later
// session proves that it is gone, and it starts again on the same machine; only the answered deletion
// of the machine lets it start elsewhere (see Machine.MayStartLate). A task that has ended is reaped
// only after a report at a higher token, since a late copy of the command would start it again. A
// machine that did not answer gets no further dispatch until it has seen a higher token, which it is
// given with the answer to its next heartbeat.
//
// records.go records which task may be sent to which machine, for the next leader.
package dispatch

import (
	"encoding/json"
	"slices"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Name is the key of the component's view.
const Name = "direct"

// startSecondsBuckets are the upper bounds of the histogram of start latency, in seconds.
var startSecondsBuckets = []float64{0.25, 0.5, 1, 2, 4, 8, 16, 32, 64, 128, 256}

// Component dispatches starts in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	callsInFlight int
	records       records
	machinesOf    map[int32]map[*workers.Machine]bool // by job index, machines to which its tasks were dispatched

	// Totals of the term, for the view and metrics.
	callsSent       uint64
	callsAnswered   uint64
	callsUnanswered uint64
	tasksSent       uint64
	startSeconds    *cluster.Histogram
}

// New returns the component of a term.
func New(s *cluster.State) *Component {
	return &Component{State: s, records: newRecords(), machinesOf: map[int32]map[*workers.Machine]bool{}, startSeconds: s.Metrics.Histogram("bitternmoor_start_seconds",
		"Time from a job's acceptance or release until one of its tasks was seen running, by class and way of starting.",
		"start", startSecondsBuckets)}
}

// HandleEvent forgets the starts of jobs that are over, and measures starts.
func (c *Component) HandleEvent(e cluster.Event) {
	switch e.Kind {
	case cluster.JobRemoved:
		c.forgetJob(e.Job.Index)
	case cluster.MachineProvedGone:
		c.forgetMachine(e.Machine)
	case cluster.TaskBegan:
		c.measureStart(e)
	}
}

// measureStart measures how long tasks of classes with a wait objective took to begin, by class
// and way of starting; this bounds the number of labels. If a task runs again, its time still
// counts from its job's acceptance.
func (c *Component) measureStart(e cluster.Event) {
	if !c.hasWaitObjective(e.Job.Record.Class) {
		return
	}
	way := " by report"
	if e.Machine.WasDispatched(workers.TaskRef{Job: e.Job.Index, Task: int32(e.Task)}) {
		way = " directly"
	}
	c.startSeconds.Observe(e.Job.Record.Class+way, (e.At - e.Job.AcceptedAt).Seconds())
}

// hasWaitObjective reports whether a class has an objective for how long its jobs wait.
func (c *Component) hasWaitObjective(class string) bool {
	return slices.ContainsFunc(c.Cfg.Deployment.Objectives, func(o settings.Objective) bool {
		return o.Kind == settings.ObjectiveWait && o.Class == class
	})
}

// AfterCycle dispatches tasks whose grant, intent (see package placement) and record are durable to
// machines with nothing else in flight, with at most one command to each.
func (c *Component) AfterCycle(now time.Duration, leaseValid bool) {
	if !leaseValid || len(c.DispatchQueue) == 0 {
		return
	}
	kept := c.DispatchQueue[:0]
	dispatched := map[*workers.Machine]bool{}
	for _, p := range c.DispatchQueue {
		m := p.Machine
		switch {
		case !p.Planned || c.Placements[p.Ref] != p: // it was started by an offer, or its plan was cancelled
			c.records.withdraw(p.Ref)
		case dispatched[m] || !c.hasCallBudget() || !c.isDispatchable(now, m):
			kept = append(kept, p)
		default:
			dispatched[m] = true
			c.dispatchTo(now, m)
			if p.Planned {
				kept = append(kept, p)
			}
		}
	}
	clear(c.DispatchQueue[len(kept):])
	c.DispatchQueue = kept
}

// hasCallBudget reports whether another command may be sent now.
func (c *Component) hasCallBudget() bool {
	return c.callsInFlight < c.Cfg.Tunables.MaxPushDispatches && !c.TokensRunLow()
}

// isDispatchable reports whether starts may be sent straight to a machine. Its worker must be
// known to be alive and able to take more tasks. There must be neither an open answer with
// offers for it, which another controller may have filled with other tasks, nor an unanswered
// call.
func (c *Component) isDispatchable(now time.Duration, m *workers.Machine) bool {
	return m.Address != "" && m.AcceptsPlans(now, c.SuspectAfter()) && len(m.OpenOffers) == 0 && !m.Dispatching
}

// dispatchTo sends all starts that may be dispatched to a machine in one command.
func (c *Component) dispatchTo(now time.Duration, m *workers.Machine) {
	var starts []workers.Command
	for _, p := range m.PlannedHere() {
		if !c.mayDispatch(m, p) {
			continue
		}
		if p.Attempt == 0 {
			p.Attempt = c.NextAttempt()
		}
		m.Dispatch(p)
		c.rememberMachine(p.Ref.Job, m)
		c.SentTo[p.Ref] = m
		if m.InFirstSession() {
			c.addFirstSessionStart(p.Ref.Job, m)
		}
		task := int(p.Ref.Task)
		starts = append(starts, workers.Command{Op: workers.Start, Job: p.JobID, Task: task, Attempt: p.Attempt})
		c.Publish(cluster.Event{Kind: cluster.TaskPlaced, At: now, Job: c.Jobs.ByIndex(p.Ref.Job), Task: task, Machine: m})
	}
	if len(starts) == 0 {
		return
	}
	m.Dispatching = true
	c.callsInFlight++
	c.callsSent++
	c.tasksSent += uint64(len(starts))
	c.Emit(effects.Dispatch{
		Machine: m.Name,
		Address: m.Address,
		Token:   m.Token,
		Session: m.Session,
		Starts:  starts,
	})
}

// rememberMachine records that a task of a job was dispatched to a machine.
func (c *Component) rememberMachine(job int32, m *workers.Machine) {
	if c.machinesOf[job] == nil {
		c.machinesOf[job] = map[*workers.Machine]bool{}
	}
	c.machinesOf[job][m] = true
}

// addFirstSessionStart records that a start of a task of a job was sent to a machine in its worker's first session,
// or may have been.
func (c *Component) addFirstSessionStart(job int32, m *workers.Machine) {
	if c.FirstSessionStarts[job] == nil {
		c.FirstSessionStarts[job] = map[*workers.Machine]bool{}
	}
	c.FirstSessionStarts[job][m] = true
}

// mayDispatch reports whether a planned task may be sent straight to its machine: it is marked
// for a direct start, it is neither withdrawn nor on offer, and its grant, its intent and the record that
// it may be sent to this machine are durable. The job and the record must allow it in the worker's present session.
func (c *Component) mayDispatch(m *workers.Machine, p *workers.Placement) bool {
	if !p.PushDispatch || p.NoNewOffers || p.Withdrawn || len(p.Offered) > 0 {
		return false
	}
	return m.Grants[p.JobID] &&
		p.IntentDurable &&
		c.records.allows(p.Ref, m) &&
		c.Jobs.ByIndex(p.Ref.Job).MayPushTo(m.InFirstSession())
}

// Dispatched applies the report with which a worker answered dispatched starts; report is nil if
// it did not answer.
func (c *Component) Dispatched(
	now time.Duration, machine string, token uint64, starts []workers.Command, report *workers.Report,
) {
	c.callsInFlight--
	if report != nil {
		c.callsAnswered++
	} else {
		c.callsUnanswered++
	}
	m := c.Inventory.Find(machine)
	if m == nil {
		return // deleted in the meantime, with everything on it
	}
	var refs []workers.TaskRef
	for _, command := range starts {
		if j := c.Jobs.ByID(command.Job); j != nil {
			refs = append(refs, workers.TaskRef{Job: j.Index, Task: int32(command.Task)})
		}
	}
	m.ApplyDispatchResult(now, token, refs, report)
}

// View is the component's view for operators: totals of the term and the number of calls in
// flight.
type View struct {
	Calls      uint64 `json:"calls"`
	Tasks      uint64 `json:"tasks"`
	Answered   uint64 `json:"answered"`
	Unanswered uint64 `json:"unanswered"`
	UnderWay   int    `json:"under_way"`
}

// Show returns the component's only view as JSON. The name of the view is the empty string.
func (c *Component) Show(_ time.Duration, view string) (json.RawMessage, error) {
	if view != "" {
		return nil, cluster.ErrUnknownView
	}
	return json.Marshal(View{
		Calls:      c.callsSent,
		Tasks:      c.tasksSent,
		Answered:   c.callsAnswered,
		Unanswered: c.callsUnanswered,
		UnderWay:   c.callsInFlight,
	})
}
