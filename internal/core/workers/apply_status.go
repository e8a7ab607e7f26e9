package workers

import (
	"maps"
	"time"

	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/resources"
)

// TaskRecord is what the leader has of a reported task.
type TaskRecord struct {
	Ref             TaskRef
	Need            resources.Amounts
	Image           int32 // index of its image
	ImageGB         float64
	Open            bool // the job is open and the task not finished
	EndDurable      bool // the task's end is durable, or the job is over
	Cancelled       bool // the job is cancelled and has left the job table: Ref is NoTaskRef
	Held            bool // the job waits for others
	PlacedElsewhere bool // the task is placed on another machine, or may be
}

// EventKind is what a report has shown of a task.
type EventKind uint8

// Events of a report.
const (
	EventStarted     EventKind = iota // it began to run
	EventAdopted                      // it runs, was placed nowhere, and is placed here now
	EventPlaced                       // it was on offer, and turned out to be on the machine
	EventOfferClosed                  // it is planned, and no offer of it is open any more
	EventCompleted                    // it has ended with its result
	EventGone                         // it was placed here, and is proved gone without a result
)

// Event is what a report has shown of one task.
type Event struct {
	Kind    EventKind
	Ref     TaskRef
	JobID   uint64
	Attempt uint64

	// Of EventCompleted and EventGone.
	Reason     Reason        // of EventGone: why the task ended
	RunTime    time.Duration // how long it ran; negative: not known
	WasRunning bool          // it was running when it was last reported
	WorkerLost bool          // of EventGone: its worker was lost with it

	Placement *Placement // of EventAdopted, EventPlaced and EventOfferClosed
}

// IsNewer says whether a report is newer than all that were applied.
func (m *Machine) IsNewer(r *Report) bool {
	return r.Session > m.Session || (r.Session == m.Session && r.Seq > m.Seq)
}

// ApplyStatus applies a worker's status report to the machine. The report is newer than all before it
// (see IsNewer), or it proves that the machine was restarted under its name: package reconcile says which.
//
// now is the leader's clock, token the current fencing token of the machine, and lookup gives the leader's
// record of a task: whether it is known at all, and what is stored of it. Its parameter here says that the
// task is on the machine, or that its result is. tally counts the differences by kind and may be nil.
//
// The result is what the report showed, in events, and the commands that follow from the report alone: reaps
// of ended attempts, and stops of tasks that should not be on the machine. Which resolution follows from
// which difference is decided by the table of package reconcile.
func (m *Machine) ApplyStatus(now time.Duration, r *Report, token uint64, tally *reconcile.Tally,
	lookup func(job uint64, task int, here bool) (TaskRecord, bool)) ([]Event, []Command) {
	u := statusUpdate{
		machine:    m,
		report:     r,
		now:        now,
		current:    r.Token == token,
		wasSuspect: m.SuspectBelow > 0,
		tally:      tally,
		lookup:     lookup,
	}
	u.applySession()
	u.applyToken()
	u.events = append(u.events, m.resolveOffers(r)...)
	u.applyHeader()
	for i := range r.Tasks {
		u.applyTask(&r.Tasks[i])
	}
	u.releaseAbsent()
	u.recordOrphans()
	return u.events, u.commands
}

// statusUpdate is the state of one call of ApplyStatus.
type statusUpdate struct {
	machine    *Machine
	report     *Report
	now        time.Duration
	current    bool // the report is at the current token
	wasSuspect bool // the machine was suspect before the report
	tally      *reconcile.Tally
	lookup     func(job uint64, task int, here bool) (TaskRecord, bool)

	events   []Event
	commands []Command
	orphans  []uint64 // jobs of the tasks that are stopped
}

// applySession releases what was on the machine where the report is of a later session, or of a machine that
// was restarted and counts sessions anew. A start that was sent straight to the worker and had no answer is
// not proved gone by that: it quarantines the machine.
func (u *statusUpdate) applySession() {
	m, r := u.machine, u.report
	restarted := !m.IsNewer(r)
	laterSession := r.Session > m.Session && m.Session != 0
	if !laterSession && !restarted {
		return
	}
	for _, p := range m.Tasks {
		if p.Planned {
			continue
		}
		diff := u.tally.Count(reconcile.Absent(true, m.unconfirmedDirectStart(p), false))
		if diff.Resolution() == reconcile.Release {
			u.release(p, Vanished, true)
		} else {
			m.Quarantined = true
		}
	}
	m.images = nil
	// The starts that are not confirmed name the session too, and a new incarnation may be in that session.
	maps.DeleteFunc(m.directStarts, func(_ attemptKey, s *directStart) bool { return s.confirmed })
	if m.Up && !restarted {
		// The leader has heard it, and its lease ran out all the same: it may not hear the leader.
		m.suspect(m.Token)
	}
}

// applyToken ends a suspicion by a token that was given out since, and notes the heartbeat.
func (u *statusUpdate) applyToken() {
	m, r := u.machine, u.report
	if r.Token > m.SuspectBelow {
		m.SuspectBelow = 0
	}
	m.highestTokenSeen = r.Token
	// A machine that goes on reporting without a token of this term does not hear the leader.
	if !m.Up || r.Token >= m.firstTokenOfTerm {
		m.LastHeartbeat = u.now
	}
}

// applyHeader takes over what the report says of the machine itself.
func (u *statusUpdate) applyHeader() {
	m, r := u.machine, u.report
	m.Session, m.Seq = r.Session, r.Seq
	m.Up = true
	m.PreemptionNotice = r.Notice
	if r.Notice {
		m.PreemptedAt = u.now + time.Duration(r.NoticeS*float64(time.Second))
	}
	m.Resolved = m.Resolved || u.current
}

// reportedTask is a task of a report together with what the leader has of it.
type reportedTask struct {
	TaskReport
	record TaskRecord
	placed *Placement // its placement on the reporting machine; nil: it is not placed there
}

// key names the reported attempt among the direct starts.
func (t *reportedTask) key() attemptKey { return attemptKey{t.record.Ref, t.Attempt} }

// event is an event about the reported attempt.
func (t *reportedTask) event(kind EventKind) Event {
	return Event{Kind: kind, Ref: t.record.Ref, JobID: t.Job, Attempt: t.Attempt}
}

// applyTask does what follows from one task of the report.
func (u *statusUpdate) applyTask(shown *TaskReport) {
	task, diff := u.compare(shown)
	t := &task
	switch diff.Resolution() {
	case reconcile.RecordCompletion:
		u.recordCompletion(t, diff)
	case reconcile.Wait:
		if diff == reconcile.EndedDirectMayArrive {
			u.awaitHigherToken(t)
		}
	case reconcile.ReleaseAndReap:
		delete(u.machine.directStarts, t.key())
		u.release(t.placed, t.Reason, false)
		u.command(Reap, t)
	case reconcile.Reap:
		delete(u.machine.directStarts, t.key())
		u.command(Reap, t)
	case reconcile.Stop:
		u.orphans = append(u.orphans, t.Job)
		u.command(Stop, t)
	case reconcile.Adopt:
		u.adopt(t)
		u.updatePlaced(t)
	case reconcile.Keep:
		u.updatePlaced(t)
	}
}

// compare looks up what the leader has of a reported task and names the difference. An image that the task
// uses is noted as being on the machine.
func (u *statusUpdate) compare(shown *TaskReport) (reportedTask, reconcile.Diff) {
	m := u.machine
	ended := shown.State == Ended
	completed := ended && shown.Reason == Completed
	record, known := u.lookup(shown.Job, shown.Task, !ended || completed)
	t := reportedTask{TaskReport: *shown, record: record}
	if known {
		if p := m.Tasks[record.Ref]; p != nil && !p.Planned {
			t.placed = p
		}
		if shown.State != Fetching && !ended && record.Ref != NoTaskRef {
			m.UseImage(record.Image, record.ImageGB, u.now)
		}
	}
	stored := reconcile.StoredTask{
		Known:           known,
		Open:            record.Open,
		Durable:         record.EndDurable,
		Cancelled:       record.Cancelled,
		Held:            record.Held,
		PlacedElsewhere: record.PlacedElsewhere,
		PlacedHere:      t.placed != nil,
		DirectMayArrive: known && m.mayStartLate(record.Ref, shown.Attempt, u.report.Token),
	}
	if t.placed != nil {
		stored.Attempt = t.placed.Attempt
	}
	diff := reconcile.Task(stored, reconcile.ReportedTask{
		Attempt:   shown.Attempt,
		Ended:     ended,
		Completed: completed,
		Saved:     shown.Saved,
		Saving:    shown.State == Saving,
	})
	return t, u.tally.Count(diff)
}

// recordCompletion reports a task's completion. It is reaped once the completion is durable.
func (u *statusUpdate) recordCompletion(t *reportedTask, diff reconcile.Diff) {
	event := t.event(EventCompleted)
	event.RunTime = -1
	if diff == reconcile.Completed && t.placed.IsRunning() {
		event.RunTime, event.WasRunning = u.now-t.placed.RunningSince, true
	}
	u.machine.RemovePlacement(t.record.Ref)
	u.events = append(u.events, event)
}

// awaitHigherToken asks for a higher token on the machine, so that an ended attempt can be reaped: at once
// if the attempt is the one placed there, since its task waits for that, and eventually else.
func (u *statusUpdate) awaitHigherToken(t *reportedTask) {
	m := u.machine
	m.tokenUrgency = max(m.tokenUrgency, TokenEventually)
	if p := t.placed; p != nil && p.Attempt == t.Attempt {
		m.tokenUrgency = TokenNow
		p.Seen, p.lastReportSeq = true, u.report.Seq
	}
}

// adopt places a running task of which nothing was known on the machine.
func (u *statusUpdate) adopt(t *reportedTask) {
	t.placed = &Placement{
		Ref:     t.record.Ref,
		JobID:   t.Job,
		Image:   t.record.Image,
		Need:    t.record.Need,
		Attempt: t.Attempt,
		Machine: u.machine,
		State:   Fetching,
	}
	u.machine.addPlacement(t.placed)
	event := t.event(EventAdopted)
	event.Placement = t.placed
	u.events = append(u.events, event)
}

// updatePlaced takes over the state of a task that is placed on the machine.
func (u *statusUpdate) updatePlaced(t *reportedTask) {
	p := t.placed
	if t.State == Running && !p.IsRunning() {
		p.RunningSince = u.now
		u.events = append(u.events, t.event(EventStarted))
	}
	p.State, p.Seen, p.lastReportSeq = t.State, true, u.report.Seq
	if s := u.machine.directStartOf(p); s != nil {
		s.confirmed = true
	}
}

// releaseAbsent releases the tasks placed on the machine that the report proves to be gone by lacking them.
func (u *statusUpdate) releaseAbsent() {
	m, r := u.machine, u.report
	for _, p := range m.Tasks {
		if p.Planned || p.lastReportSeq >= r.Seq {
			continue
		}
		// It was sent with an earlier answer, and this report does not show it.
		mayArrive := !p.Seen && m.mayStartLate(p.Ref, p.Attempt, r.Token)
		quarantined := m.Quarantined && m.unconfirmedDirectStart(p)
		diff := u.tally.Count(reconcile.Absent(quarantined, mayArrive || quarantined, u.current))
		if diff.Resolution() == reconcile.Release {
			delete(m.directStarts, attemptKey{p.Ref, p.Attempt})
			// A suspect machine may have been restarted, and have counted on past what was known.
			u.release(p, Vanished, u.wasSuspect)
		}
	}
}

// recordOrphans takes over the jobs of the tasks that should not be on the machine, and since when there
// are any.
func (u *statusUpdate) recordOrphans() {
	m := u.machine
	if len(u.orphans) > 0 && len(m.Orphans) == 0 {
		m.OrphansSince = u.now
	}
	m.Orphans = u.orphans
}

// release removes a placement whose task is proved gone, and reports that. workerLost says that the worker
// was lost with the task.
func (u *statusUpdate) release(p *Placement, why Reason, workerLost bool) {
	ran := time.Duration(-1)
	if p.IsRunning() {
		ran = u.now - p.RunningSince
	}
	u.events = append(u.events, Event{
		Kind:       EventGone,
		Ref:        p.Ref,
		JobID:      p.JobID,
		Attempt:    p.Attempt,
		Reason:     why,
		RunTime:    ran,
		WasRunning: p.IsRunning(),
		WorkerLost: workerLost,
	})
	u.machine.RemovePlacement(p.Ref)
}

// command adds a command about the reported attempt.
func (u *statusUpdate) command(op Op, t *reportedTask) {
	u.commands = append(u.commands, Command{Op: op, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
}

// IsCurrentAttempt says whether an attempt of a task is the one that is placed on the machine.
func (m *Machine) IsCurrentAttempt(ref TaskRef, attempt uint64) bool {
	p := m.Tasks[ref]
	if p == nil || p.Planned {
		return false
	}
	stored := reconcile.StoredTask{Known: true, PlacedHere: true, Attempt: p.Attempt}
	return reconcile.Task(stored, reconcile.ReportedTask{Attempt: attempt}) == reconcile.AsStored
}
