package workers

import (
	"maps"
	"time"

	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/resources"
)

// TaskRecord is what the leader knows of a reported task.
type TaskRecord struct {
	Ref       Ref
	Need      resources.Amounts
	Image     int32
	ImageGB   float64
	Open      bool // the job is open and the task not finished
	Noted     bool // the task's end is durable, or the job is over
	Cancelled bool // the job is, and Ref is NoRef
	Held      bool // the job waits for others
	Elsewhere bool // it counts as being on another machine
}

// EventKind is what a report told.
type EventKind uint8

// Events of a report.
const (
	EventBegan EventKind = iota // began to run
	EventAdopted
	EventPlaced      // an offered task turned out to be on the machine
	EventOfferClosed // no offer of a planned task is open any more
	EventCompleted
	EventGone
)

// Event is something a report told.
type Event struct {
	Kind      EventKind
	Ref       Ref
	JobID     uint64
	Attempt   uint64
	Reason    Reason
	Ran       time.Duration // how long it ran; negative: not known
	Running   bool          // it was running
	Died      bool          // of EvGone: the worker was lost with it
	Placement *Placement    // of EvAdopted, EvPlaced and EvOfferOver
}

// Fresh says whether a report is newer than all that were taken in.
func (m *Machine) Fresh(r *Report) bool {
	return r.Session > m.Session || (r.Session == m.Session && r.Seq > m.Seq)
}

// ApplyStatus takes in a fresh report. known tells what the leader knows of a
// task that is here, or whose result is; tally counts the differences found and may
// be nil. It returns the events and the commands that follow from the report
// alone: reaps and the stops of tasks that should not be there. What follows from
// which difference is package squaring's table.
func (m *Machine) ApplyStatus(now time.Duration, r *Report, token uint64, tally *reconcile.Tally, known func(job uint64, task int, here bool) (TaskRecord, bool)) ([]Event, []Command) {
	var events []Event
	var cmds []Command
	gone := func(p *Placement, why Reason) *Event {
		ran := time.Duration(-1)
		if p.Runs() {
			ran = now - p.RanAt
		}
		events = append(events, Event{Kind: EventGone, Ref: p.Ref, JobID: p.JobID, Attempt: p.Attempt, Reason: why, Ran: ran, Running: p.Runs()})
		m.RemovePlacement(p.Ref)
		return &events[len(events)-1]
	}
	reborn, doubted := !m.Fresh(r), m.SuspectBelow > 0
	if (r.Session > m.Session && m.Session != 0) || reborn {
		for _, p := range m.Tasks {
			if p.Planned {
				continue
			}
			if tally.Count(reconcile.Absent(true, m.unconfirmedDirectStart(p), false)).Resolution() == reconcile.Release {
				gone(p, Vanished).Died = true
			} else {
				m.Quarantined = true
			}
		}
		m.images = nil
		maps.DeleteFunc(m.directStarts, func(_ attemptKey, s *directStart) bool { return s.confirmed }) // the others name the session too, and a new life may be in it
		if m.Up && !reborn {
			// It was heard, and its lease ran out all the same: it may not hear us.
			m.suspect(now, m.Token)
		}
	}
	if r.Token > m.SuspectBelow {
		m.SuspectBelow = 0
	}
	m.highestTokenSeen = r.Token
	if !m.Up || r.Token >= m.firstTokenOfTerm {
		m.LastHeartbeat = now // a machine that goes on reporting without the token of this term does not hear us
	}
	events = append(events, m.resolveOffers(r)...)
	m.Session, m.Seq = r.Session, r.Seq
	m.Up = true
	if r.Notice {
		m.PreemptionNotice = true
		m.PreemptedAt = now + time.Duration(r.NoticeS*float64(time.Second))
	} else {
		m.PreemptionNotice = false
	}
	current := r.Token == token
	m.Resolved = m.Resolved || current
	var strays []uint64
	for _, t := range r.Tasks {
		k, ok := known(t.Job, t.Task, t.State != Ended || t.Reason == Completed)
		var p *Placement
		if ok {
			if p = m.Tasks[k.Ref]; p != nil && p.Planned {
				p = nil
			}
			if t.State != Fetching && t.State != Ended && k.Ref != NoRef {
				m.UseImage(k.Image, k.ImageGB, now)
			}
		}
		st := reconcile.Stored{Known: ok, Open: k.Open, Durable: k.Noted, Cancelled: k.Cancelled, Held: k.Held, Elsewhere: k.Elsewhere, Here: p != nil}
		if p != nil {
			st.Attempt = p.Attempt
		}
		st.Direct = ok && m.mayStartLate(k.Ref, t.Attempt, r.Token)
		diff := tally.Count(reconcile.Task(st, reconcile.Shown{Attempt: t.Attempt, Ended: t.State == Ended, Done: t.State == Ended && t.Reason == Completed, Saved: t.Saved, Saving: t.State == Saving}))
		switch diff.Resolution() {
		case reconcile.RecordCompletion:
			ev := Event{Kind: EventCompleted, Ref: k.Ref, JobID: t.Job, Attempt: t.Attempt, Ran: -1}
			if diff == reconcile.Completed && p.Runs() {
				ev.Ran, ev.Running = now-p.RanAt, true
			}
			m.RemovePlacement(k.Ref)
			events = append(events, ev)
		case reconcile.Wait:
			if diff == reconcile.EndedDirectMayArrive {
				if m.tokenUrgency = max(m.tokenUrgency, TokenEventually); p != nil && p.Attempt == t.Attempt {
					m.tokenUrgency, p.Seen, p.lastReportSeq = TokenNow, true, r.Seq
				}
			}
		case reconcile.ReleaseAndReap:
			delete(m.directStarts, attemptKey{k.Ref, t.Attempt})
			gone(p, t.Reason)
			cmds = append(cmds, Command{Op: Reap, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
		case reconcile.Reap:
			delete(m.directStarts, attemptKey{k.Ref, t.Attempt})
			cmds = append(cmds, Command{Op: Reap, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
		case reconcile.Stop:
			strays = append(strays, t.Job)
			cmds = append(cmds, Command{Op: Stop, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
		case reconcile.Adopt:
			p = &Placement{Ref: k.Ref, JobID: t.Job, Image: k.Image, Need: k.Need, Attempt: t.Attempt, Machine: m, State: Fetching}
			m.addPlacement(p)
			events = append(events, Event{Kind: EventAdopted, Ref: k.Ref, JobID: t.Job, Attempt: t.Attempt, Placement: p})
			fallthrough
		case reconcile.Keep:
			if t.State == Running && (!p.Seen || p.State != Running) {
				p.RanAt = now
				events = append(events, Event{Kind: EventBegan, Ref: p.Ref, JobID: t.Job, Attempt: t.Attempt})
			}
			p.State, p.Seen, p.lastReportSeq = t.State, true, r.Seq
			if s := m.directStartOf(p); s != nil {
				s.confirmed = true
			}
		}
	}
	for _, p := range m.Tasks {
		// Sent with an earlier answer and not shown by this report.
		if p.Planned || p.lastReportSeq >= r.Seq {
			continue
		}
		late := !p.Seen && m.mayStartLate(p.Ref, p.Attempt, r.Token)
		tainted := m.Quarantined && m.unconfirmedDirectStart(p)
		if tally.Count(reconcile.Absent(tainted, late || tainted, current)).Resolution() == reconcile.Release {
			delete(m.directStarts, attemptKey{p.Ref, p.Attempt})
			gone(p, Vanished).Died = doubted // it may have begun anew, and have counted on past what we knew
		}
	}
	if len(strays) > 0 && len(m.Orphans) == 0 {
		m.OrphansSince = now
	}
	m.Orphans = strays
	return events, cmds
}

// IsCurrentAttempt says whether an attempt of a task is the one that counts as being here.
func (m *Machine) IsCurrentAttempt(ref Ref, attempt uint64) bool {
	p := m.Tasks[ref]
	return p != nil && !p.Planned && reconcile.Task(reconcile.Stored{Known: true, Here: true, Attempt: p.Attempt}, reconcile.Shown{Attempt: attempt}) == reconcile.AsStored
}
