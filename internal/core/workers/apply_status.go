package workers

import (
	"slices"
	"time"

	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/resources"
)

// TaskRecord is the leader's record of a reported task.
type TaskRecord struct {
	Ref             TaskRef
	Need            resources.Amounts
	Image           int32 // index of its image
	ImageGB         float64
	Open            bool // the job is open or being cancelled; the task is neither done nor placed elsewhere
	EndDurable      bool // the task's end is durable, or the job is over
	Cancelled       bool // the job is cancelled and has left the job table: Ref is NoTaskRef
	Held            bool // the job waits for jobs that it depends on
	PlacedElsewhere bool // the task is placed on another machine, or may be on one
}

// EventKind is the kind of change that a report shows for a task.
type EventKind uint8

// Events of a report.
const (
	EventStarted     EventKind = iota // it began to run
	EventAdopted                      // it runs, was not placed anywhere, and is now placed here
	EventPlaced                       // it was offered to the machine, and the report lists it there
	EventOfferClosed                  // it is still planned, and its last open offer was closed
	EventCompleted                    // it has ended with its result
	EventGone                         // it was placed here, and is proved to be gone without a result
)

// Event is a change that a report shows for one task.
type Event struct {
	Kind    EventKind
	Ref     TaskRef
	JobID   uint64
	Attempt uint64

	// Set for EventCompleted and EventGone.
	Reason     Reason        // EventGone only: why the task ended
	RunTime    time.Duration // how long it ran; negative if not known
	WasRunning bool          // it was running when it was last reported
	WorkerLost bool          // EventGone only: its worker's session or machine ended, or may have ended
	StartToken uint64        // EventGone only: the token of its direct start; 0: it was not started directly

	Placement *Placement // set for EventAdopted, EventPlaced and EventOfferClosed
}

// IsNewer reports whether a report is newer than all that were applied.
func (m *Machine) IsNewer(r *Report) bool {
	return r.Session > m.Session || (r.Session == m.Session && r.Seq > m.Seq)
}

// ApplyStatus applies a worker's status report to the machine. The report must be newer than all before it
// (see IsNewer) or prove that the machine was restarted under its name; package reconcile decides which.
//
// now is the time on the leader's clock, and token is the machine's current fencing token. lookup returns
// the leader's record of a task, and whether the task is known at all; its parameter here means that the
// task or its result is on the machine. tally counts the differences by kind and may be nil.
//
// ApplyStatus returns the changes that the report shows, as events, and the commands that follow from the
// report alone: reaps of ended attempts, and stops of tasks that should not be on the machine. The table of
// package reconcile determines the resolution of each difference.
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
	orphans  []uint64 // jobs of the tasks that are to be stopped

	// runOtherAttempt holds the tasks of which the machine runs another attempt than the one placed there.
	runOtherAttempt []TaskRef
}

// applySession releases the tasks placed on the machine if the report is of a later session, or of a
// restarted machine that counts sessions from the beginning.
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
		u.tally.Count(reconcile.Absent(reconcile.AbsentTask{LaterSession: true, SentDirectly: m.MayStartLate(p.Ref)}))
		u.release(p, Vanished, true)
	}
	lapsed := m.Lapsing && !restarted
	m.Lapsing = false
	if lapsed {
		return // as intended: it has lost no task, and its images are still there
	}
	m.images = nil
	if m.Up && !restarted {
		// Its lease expired although the leader received its reports: the leader's answers may not reach it.
		m.suspect(m.Token)
	}
}

// applyToken ends the suspicion of the machine if the report's token was issued after it began, and records
// the heartbeat.
func (u *statusUpdate) applyToken() {
	m, r := u.machine, u.report
	if r.Token > m.SuspectBelow {
		m.SuspectBelow = 0
	}
	m.highestTokenSeen = r.Token
	// A machine that keeps reporting without a token of this term does not receive the leader's answers.
	if !m.Up || r.Token >= m.firstTokenOfTerm {
		m.LastHeartbeat = u.now
	}
}

// applyHeader stores what the report contains about the machine itself.
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

// reportedTask is a task of a report together with the leader's record of it.
type reportedTask struct {
	TaskReport
	record TaskRecord
	placed *Placement // its placement on the reporting machine; nil if it is not placed there
}

// event returns an event of the given kind about the reported attempt.
func (t *reportedTask) event(kind EventKind) Event {
	return Event{Kind: kind, Ref: t.record.Ref, JobID: t.Job, Attempt: t.Attempt}
}

// applyTask compares one task of the report with its record and applies the resolution of the difference.
func (u *statusUpdate) applyTask(reported *TaskReport) {
	task, diff := u.compare(reported)
	t := &task
	u.confirmStart(t)
	switch diff.Resolution() {
	case reconcile.RecordCompletion:
		u.recordCompletion(t, diff)
	case reconcile.Wait:
		if diff == reconcile.EndedDirectMayArrive {
			u.awaitHigherToken(t)
		}
	case reconcile.ReleaseAndReap:
		u.release(t.placed, t.Reason, false)
		u.command(Reap, t)
	case reconcile.Reap:
		if t.record.EndDurable {
			delete(u.machine.directStarts, t.record.Ref) // no leader starts it again
		}
		u.command(Reap, t)
	case reconcile.Stop:
		if diff == reconcile.RunsOtherAttempt {
			u.runOtherAttempt = append(u.runOtherAttempt, t.record.Ref)
		}
		u.orphans = append(u.orphans, t.Job)
		u.command(Stop, t)
	case reconcile.Adopt:
		u.adopt(t)
		u.updatePlaced(t)
	case reconcile.Keep:
		u.updatePlaced(t)
	}
}

// confirmStart records that a direct start of a reported task has arrived. A report of an attempt that was
// started again with the answer to a heartbeat does not show that.
func (u *statusUpdate) confirmStart(t *reportedTask) {
	starts := u.machine.directStarts[t.record.Ref]
	if start := starts[unknownAttempt]; start != nil {
		start.confirmed = true
	}
	notRestarted := (t.placed != nil && t.placed.PushDispatch) || (t.placed == nil && t.State != Ended)
	if start := starts[t.Attempt]; start != nil && notRestarted {
		start.confirmed = true
	}
}

// compare looks up the leader's record of a reported task and returns the difference. If the task has
// fetched its image and has not ended, compare also records that the image is on the machine.
func (u *statusUpdate) compare(reported *TaskReport) (reportedTask, reconcile.Diff) {
	m := u.machine
	ended := reported.State == Ended
	completed := ended && reported.Reason == Completed
	record, known := u.lookup(reported.Job, reported.Task, !ended || completed)
	t := reportedTask{TaskReport: *reported, record: record}
	if known {
		if p := m.Tasks[record.Ref]; p != nil && !p.Planned {
			t.placed = p
		}
		if reported.State != Fetching && !ended && record.Ref != NoTaskRef {
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
		DirectMayArrive: known && m.acceptsStart(record.Ref, reported.Attempt, u.report.Token),
	}
	if t.placed != nil {
		stored.Attempt = t.placed.Attempt
	}
	diff := reconcile.Task(stored, reconcile.ReportedTask{
		Attempt:   reported.Attempt,
		Ended:     ended,
		Completed: completed,
		Saved:     reported.Saved,
		Saving:    reported.State == Saving,
	})
	return t, u.tally.Count(diff)
}

// recordCompletion adds the event of a task's completion. The attempt is reaped once the completion is
// durable.
func (u *statusUpdate) recordCompletion(t *reportedTask, diff reconcile.Diff) {
	event := t.event(EventCompleted)
	event.RunTime = -1
	if diff == reconcile.Completed && t.placed.IsRunning() {
		event.RunTime, event.WasRunning = u.now-t.placed.RunningSince, true
	}
	u.machine.RemovePlacement(t.record.Ref)
	u.events = append(u.events, event)
}

// awaitHigherToken requests a higher token for the machine, so that an ended attempt can be reaped. The
// request is urgent if the attempt is the one placed there, because its task is not released before that.
func (u *statusUpdate) awaitHigherToken(t *reportedTask) {
	m := u.machine
	m.tokenUrgency = max(m.tokenUrgency, TokenEventually)
	if p := t.placed; p != nil && p.Attempt == t.Attempt {
		m.tokenUrgency = TokenNow
		p.Reported, p.lastReportSeq = true, u.report.Seq
	}
}

// adopt records that a reported task, which was not placed anywhere, is placed on the reporting machine.
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

// updatePlaced stores the reported state of a task that is placed on the machine.
func (u *statusUpdate) updatePlaced(t *reportedTask) {
	p := t.placed
	if t.State == Running && !p.IsRunning() {
		p.RunningSince = u.now
		u.events = append(u.events, t.event(EventStarted))
	}
	p.State, p.Reported, p.lastReportSeq = t.State, true, u.report.Seq
}

// releaseAbsent releases the tasks placed on the machine whose absence from the report proves them gone. A task
// of which another attempt runs here is not released before that one has been stopped.
func (u *statusUpdate) releaseAbsent() {
	m, r := u.machine, u.report
	for _, p := range m.Tasks {
		if p.Planned || p.lastReportSeq >= r.Seq || slices.Contains(u.runOtherAttempt, p.Ref) {
			continue
		}
		// The task was sent with an earlier answer, and this report does not list it.
		mayArrive := m.acceptsStart(p.Ref, p.Attempt, r.Token)
		if mayArrive && p.Reported {
			m.suspect(r.Token) // only a restarted worker can lack a task that was there and was not reaped
		}
		diff := u.tally.Count(reconcile.Absent(reconcile.AbsentTask{
			SentDirectly: m.MayStartLate(p.Ref),
			MayArrive:    mayArrive,
			Current:      u.current,
		}))
		if diff.Resolution() != reconcile.Wait {
			// A suspect machine may have been restarted, and its session and report numbers may already be
			// above the last ones that the leader received.
			u.release(p, Vanished, u.wasSuspect)
		}
	}
}

// recordOrphans stores the jobs of the tasks that should not be on the machine, and since when there have
// been any.
func (u *statusUpdate) recordOrphans() {
	m := u.machine
	if len(u.orphans) > 0 && len(m.Orphans) == 0 {
		m.OrphansSince = u.now
	}
	m.Orphans = u.orphans
}

// release removes a placement whose task is proved to be gone from the machine, and adds the event. workerLost
// is true if the worker was lost with the task. MayStartLate tells whether the task may start elsewhere.
func (u *statusUpdate) release(p *Placement, reason Reason, workerLost bool) {
	runTime := time.Duration(-1)
	if p.IsRunning() {
		runTime = u.now - p.RunningSince
	}
	startToken := uint64(0)
	if start := u.machine.directStartOf(p); start != nil {
		startToken = start.token
	}
	u.events = append(u.events, Event{
		Kind:       EventGone,
		Ref:        p.Ref,
		JobID:      p.JobID,
		Attempt:    p.Attempt,
		Reason:     reason,
		RunTime:    runTime,
		WasRunning: p.IsRunning(),
		WorkerLost: workerLost,
		StartToken: startToken,
	})
	u.machine.RemovePlacement(p.Ref)
}

// command adds a command about the reported attempt.
func (u *statusUpdate) command(op Op, t *reportedTask) {
	u.commands = append(u.commands, Command{Op: op, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
}

// IsCurrentAttempt reports whether an attempt of a task is the one that is placed on the machine.
func (m *Machine) IsCurrentAttempt(ref TaskRef, attempt uint64) bool {
	p := m.Tasks[ref]
	if p == nil || p.Planned {
		return false
	}
	stored := reconcile.StoredTask{Known: true, PlacedHere: true, Attempt: p.Attempt}
	return reconcile.Task(stored, reconcile.ReportedTask{Attempt: attempt}) == reconcile.AsStored
}
