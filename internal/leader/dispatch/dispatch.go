// Package dispatch is the duty that starts tasks straight at their workers, without waiting
// for a report: the exception direct_starts. Only tasks of classes whose wait aim is
// shorter than a report interval go this way.
//
// Such a command may be carried out late, minutes after it was given up, as long as its
// token and session match. So a task that was sent counts as being on its machine from
// before the command leaves, and one that is not seen there is proved gone only by a
// report at a higher token, a later session, or the answered deletion of the machine
// (package squaring). What has ended is reaped only after that too, for a copy of the
// command would begin it anew. A machine that did not answer gets nothing more this way
// until it has seen a higher token, which it is given with its next report.
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

// Name is that of the duty's view.
const Name = "direct"

// Component sends starts in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	callsInFlight int // calls under way

	callsSent, callsAnswered, callsUnanswered, tasksSent uint64
	startSeconds                                         *cluster.Histogram
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	return &Component{State: s, startSeconds: s.Metrics.Histogram("bitternmoor_start_seconds", "Time from a job's acceptance, or release, until one of its tasks was seen to run, by its class and the way of the start.",
		"start", []float64{0.25, 0.5, 1, 2, 4, 8, 16, 32, 64, 128, 256})}
}

// HandleEvent measures how long tasks of classes with a wait aim took to begin, by each way: a
// bounded number of labels. Those that run again have waited since their first start.
func (d *Component) HandleEvent(e cluster.Event) {
	if e.Kind != cluster.TaskBegan || !slices.ContainsFunc(d.Cfg.Deployment.Objectives, func(o settings.Objective) bool {
		return o.Kind == settings.AimWait && o.Class == e.Job.Record.Class
	}) {
		return
	}
	way := " by report"
	if e.Machine.WasDispatched(workers.Ref{Job: e.Job.Index, Task: int32(e.Task)}) {
		way = " directly"
	}
	d.startSeconds.Observe(e.Job.Record.Class+way, (e.At - e.Job.AcceptedAt).Seconds())
}

// AfterCycle sends what may go: tasks whose grant and mark are durable, to machines on which
// nothing else is on its way.
func (d *Component) AfterCycle(now time.Duration, leaseValid bool) {
	if !leaseValid || len(d.DispatchQueue) == 0 {
		return
	}
	kept := d.DispatchQueue[:0]
	done := map[*workers.Machine]bool{}
	for _, p := range d.DispatchQueue {
		m := p.Machine
		switch {
		case !p.Planned || d.Placements[p.Ref] != p: // it has gone the ordinary way, or was taken back
		case done[m] || d.callsInFlight >= d.Cfg.Tunables.DirectStarts || d.TokensRunLow() || !d.isDispatchable(now, m):
			kept = append(kept, p)
		default:
			done[m] = true
			d.dispatchTo(now, m)
			if p.Planned {
				kept = append(kept, p)
			}
		}
	}
	clear(d.DispatchQueue[len(kept):])
	d.DispatchQueue = kept
}

// isDispatchable says whether starts may be sent straight to a machine: its worker is known to live,
// it has room, and neither an answer with offers for it is open, which another controller
// may have filled with other tasks, nor a call without an answer.
func (d *Component) isDispatchable(now time.Duration, m *workers.Machine) bool {
	return m.Address != "" && m.Usable(now, d.SuspectAfter()) && len(m.OpenOffers) == 0 && !m.Dispatching
}

// dispatchTo sends all that may be started on a machine in one command.
func (d *Component) dispatchTo(now time.Duration, m *workers.Machine) {
	var starts []workers.Command
	for _, p := range m.PlannedHere() {
		if !p.StartNow || p.NotOfferedAgain || p.Withdrawn || len(p.Offered) > 0 || !m.Grants[p.JobID] || !p.IntentDurable {
			continue
		}
		if p.Attempt == 0 {
			p.Attempt = d.NextAttempt()
		}
		m.Dispatch(p)
		starts = append(starts, workers.Command{Op: workers.Start, Job: p.JobID, Task: int(p.Ref.Task), Attempt: p.Attempt})
		d.Publish(cluster.Event{Kind: cluster.TaskPlaced, At: now, Job: d.Jobs.At(p.Ref.Job), Task: int(p.Ref.Task), Machine: m})
	}
	if len(starts) == 0 {
		return
	}
	m.Dispatching = true
	d.callsInFlight++
	d.callsSent++
	d.tasksSent += uint64(len(starts))
	d.Emit(effects.Dispatch{Machine: m.Name, Address: m.Address, Token: m.Token, Session: m.Session, Starts: starts})
}

// Dispatched takes a worker's report after starts that were sent to it, or none.
func (d *Component) Dispatched(now time.Duration, machine string, token uint64, starts []workers.Command, r *workers.Report) {
	d.callsInFlight--
	if r != nil {
		d.callsAnswered++
	} else {
		d.callsUnanswered++
	}
	m := d.Inventory.Find(machine)
	if m == nil {
		return // deleted meanwhile, and all that was on it
	}
	var refs []workers.Ref
	for _, c := range starts {
		if j := d.Jobs.Find(c.Job); j != nil {
			refs = append(refs, workers.Ref{Job: j.Index, Task: int32(c.Task)})
		}
	}
	m.DispatchResult(now, token, refs, r)
}

// View is what operators may see.
type View struct {
	Calls      uint64 `json:"calls"`
	Tasks      uint64 `json:"tasks"`
	Answered   uint64 `json:"answered"`
	Unanswered uint64 `json:"unanswered"`
	UnderWay   int    `json:"under_way"`
}

// Show gives what this leader has sent.
func (d *Component) Show(_ time.Duration, view string) (json.RawMessage, error) {
	if view != "" {
		return nil, cluster.ErrUnknownView
	}
	return json.Marshal(View{d.callsSent, d.tasksSent, d.callsAnswered, d.callsUnanswered, d.callsInFlight})
}
