// Package reconcile holds what a worker reports against what the leader has stored:
// every difference that there can be, each with the one settlement that follows from
// it and with what proves that settlement right. It is pure: it looks at two
// descriptions and names their difference. Those who act on it (packages workers,
// roster and pools) decide nothing of this kind by themselves. The table is that of
// docs/cold-start.md, word for word.
package reconcile

// Diff is a difference between what is stored and what is reported; AsStored is that
// there is none.
type Diff uint8

// The differences of a task. Those of machines follow, and then those of gangs.
const (
	AsStored                   Diff = iota
	Completed                       // it counted here, and has ended with its result
	EndedNotPlaced                  // it has ended with its result, and did not count here
	EndedNotDurable                 // its result is known already, and not durable yet
	EndedElsewhere                  // it has ended here with its result, and counts on another machine
	EndedDurable                    // its end is durable, or its job is over
	CancelledEnd                    // it counted here, has ended, and its job is cancelled
	EndedSaved                      // it counted here, and was stopped with its progress saved
	EndedWithoutResult              // it counted here, and has ended without a result
	EndedOldAttempt                 // an attempt that did not count here has ended without a result
	AbsentAtCurrentToken            // it counted here; a newer report at the current token lacks it
	AbsentInLaterSession            // it counted here; the worker has begun a later session
	AbsentAtOlderToken              // it counted here; a report at an older token lacks it
	AbsentDirectInLaterSession      // it was sent straight to the worker, had no answer, and the worker has begun a later session or a new life
	AbsentDirectMayArrive           // it was sent straight to the worker, and a report lacks it at a token with which it may yet arrive
	EndedDirectMayArrive            // it was sent straight to the worker, has ended, and a copy of its start may yet arrive
	RunsUnplaced                    // it counted nowhere, and runs here
	SavesUnplaced                   // it counted nowhere, and is saving here
	RunsDone                        // it runs, though its end is known
	RunsCancelled                   // it runs, though its job is cancelled
	RunsHeld                        // it runs, though its job waits for others
	RunsElsewhere                   // it runs, though it counts on another machine or may be on one
	RunsOtherAttempt                // another attempt of it counts here
	RunsUnknown                     // nobody accepted its job, or there is no such task
	EndedUnknown                    // the same, and it has ended

	MachineAsStored
	MachineUnregistered   // nothing is stored of it: rented late, or its rental was never durable
	MachineDeleted        // it is stored as deleted
	MachineUnknownType    // its type is not known
	MachineOutdatedReport // an older report than one that was taken in
	MachineDeleting       // its deletion is decided
	MachineStaleToken     // it has not seen the current token
	MachineNewSession     // it has begun a later session
	MachineNewerTerm      // it has seen a token of a later term
	MachineRestarted      // it has begun anew under its name, and remembers nothing

	GangFound        // a part of a gang runs of which nothing was known
	GangSameAttempt  // a further part of the attempt that is known
	GangOtherAttempt // a part of another attempt than the one that is known

	Kinds // how many there are
)

// Resolution is what follows from a difference.
type Resolution uint8

// Settlements.
const (
	Keep             Resolution = iota // nothing changes
	RecordCompletion                   // note its completion; reap once that is durable
	Wait                               // nothing is told to the worker until more is durable or known
	Reap                               // have the worker forget the ended attempt
	ReleaseAndReap                     // it is proved gone from here: it may run again elsewhere; reap
	Release                            // it is proved gone from here: it may run again elsewhere
	Adopt                              // it counts here from now on
	Break                              // it counts here, and the gang's attempt is given up as a whole
	Stop                               // it is stopped, and the machine gets nothing until it is gone
	Register                           // enter it, and have it registered before its first start
	Ignore                             // the report is answered, and nothing is taken from it
	ApplyPresent                       // the report is taken in; it does not prove what is absent
	Forget                             // all that counted there is proved gone
	ContinueDeletion                   // taken in; its deletion goes on, and nothing is started
	StepDown                           // somebody else leads: the term is over
)

var resolutionLabels = [...]string{"keep", "complete, reap once durable", "wait", "reap", "release and reap", "release", "adopt", "adopt and give up the gang's attempt",
	"stop", "register", "ignore", "listen", "release all", "delete", "step down"}

func (s Resolution) String() string { return resolutionLabels[s] }

// row is a line of the table.
type row struct {
	label      string // for metrics and accounts
	stored     string // what the leader has
	reported   string // what the worker reports
	resolution Resolution
	proof      string
}

var table = [Kinds]row{
	AsStored:                   {"as_stored", "on this machine", "this attempt, not ended", Keep, "the newest report shows it"},
	Completed:                  {"completed", "on this machine, open", "this attempt, done", RecordCompletion, "the worker keeps the result until it is reaped"},
	EndedNotPlaced:             {"ended_unheard", "not on this machine, open", "done", RecordCompletion, "a result counts whoever started it: a task has one result"},
	EndedNotDurable:            {"ended_not_durable", "done, not durable", "done", Wait, "reaped too early it would be lost with this leader"},
	EndedElsewhere:             {"ended_elsewhere", "on another machine, or on offer to one", "done", Wait, "the one that counts ends at once with the same result"},
	EndedDurable:               {"ended_durable", "done and durable, or its job over", "done", Reap, "nothing more is asked of this attempt by any leader"},
	CancelledEnd:               {"cancelled_end", "on this machine, cancelled", "this attempt, done", ReleaseAndReap, "a cancelled job's results are of no use"},
	EndedSaved:                 {"ended_saved", "on this machine", "this attempt, stopped, its progress saved", ReleaseAndReap, "an ended attempt does not begin again; the next one goes on from what is saved"},
	EndedWithoutResult:         {"ended_without", "on this machine", "this attempt, ended without a result", ReleaseAndReap, "an ended attempt does not begin again"},
	EndedOldAttempt:            {"old_end", "not on this machine, or with another attempt", "ended without a result", Reap, "an ended attempt does not begin again, and this one counted nowhere"},
	AbsentAtCurrentToken:       {"absent_now", "on this machine", "not there, at the current token", Release, "a start travels in the answer to the report before only, and would show in this one"},
	AbsentInLaterSession:       {"absent_later", "on this machine", "a later session", Release, "with its lease a worker kills and forgets all tasks"},
	AbsentAtOlderToken:         {"absent_unproved", "on this machine", "not there, at an older token", Wait, "none: an answer with a start may still be on its way"},
	AbsentDirectInLaterSession: {"absent_unanswered", "on this machine, started directly, without an answer", "a later session, or a new life", Wait, "none: the command may be carried out late, by a life that counts sessions and tokens anew; the machine is deleted"},
	AbsentDirectMayArrive:      {"absent_direct", "on this machine, started directly", "not there, at no higher token than the start's", Wait, "none: the command may be carried out late, as long as its token matches"},
	EndedDirectMayArrive:       {"ended_direct", "started directly", "ended, at no higher token than the start's", Wait, "reaped before the worker has seen a higher token, a late copy of its start would begin it once more"},
	RunsUnplaced:               {"runs_unseen", "nowhere, open", "not ended", Adopt, "the newest report shows it, and it counts nowhere else"},
	SavesUnplaced:              {"saves_unseen", "nowhere, open", "saving", Adopt, "the newest report shows it; what it saves is kept"},
	RunsDone:                   {"runs_done", "done", "not ended", Stop, "its result is known: more of it is of no use"},
	RunsCancelled:              {"runs_cancelled", "nowhere, cancelled", "not ended", Stop, "its user was told that it is cancelled, by a leader of an older version"},
	RunsHeld:                   {"runs_held", "held for other jobs", "not ended", Stop, "it may not have been started"},
	RunsElsewhere:              {"runs_elsewhere", "on another machine, or on offer to one", "not ended", Stop, "one of the two has to go, and the other is the one that counts"},
	RunsOtherAttempt:           {"runs_other_attempt", "on this machine with another attempt", "not ended", Stop, "one of the two has to go, and the other is the one that counts"},
	RunsUnknown:                {"runs_unknown", "no such job or task", "not ended", Stop, "the whole log is read: nobody was told that it is accepted"},
	EndedUnknown:               {"ended_unknown", "no such job or task", "ended", Reap, "the same"},

	MachineAsStored:       {"machine_as_stored", "registered", "the current token, this session", Keep, "what it shows, and what it lacks, is so"},
	MachineUnregistered:   {"machine_new", "nothing", "a report", Register, "no task is ever started on a machine before it is registered durably"},
	MachineDeleted:        {"machine_gone", "deleted", "a report", Ignore, "the cloud has answered its deletion: the report is late"},
	MachineUnknownType:    {"machine_strange", "of no known type", "a report", Ignore, "none: it is asked for types, and the machine kept alive until then"},
	MachineOutdatedReport: {"machine_late", "a newer report", "an older session or number, or a lower token", Ignore, "its list is as old as it is itself"},
	MachineDeleting:       {"machine_leaving", "to be deleted", "a report", ContinueDeletion, "what is decided stays so: only the deletion proves what it proves"},
	MachineStaleToken:     {"machine_behind", "registered", "an older token", ApplyPresent, "an answer at an older token may still be on its way"},
	MachineNewSession:     {"machine_again", "registered", "a later session", Forget, "with its lease a worker kills and forgets all tasks"},
	MachineNewerTerm:      {"machine_ahead", "registered", "a token of a later term", StepDown, "tokens are given out by leaders alone, and only rise"},
	MachineRestarted:      {"machine_reborn", "in doubt", "an older session or number, at a token given out since", Forget, "who got that token and counts from the beginning lives, and the one before it does not"},

	GangFound:        {"gang_found", "no attempt under way", "a part, not ended", Adopt, "the newest report shows it; the others are waited for like any task"},
	GangSameAttempt:  {"gang_part", "this attempt", "a part, not ended", Adopt, "the newest report shows it"},
	GangOtherAttempt: {"gang_other", "another attempt", "a part, not ended", Break, "two attempts never complete together: all parts go before the next"},
}

// Row gives a difference's line of the table.
func (d Diff) Row() row { return table[d] }

// Resolution is the one thing that follows from a difference.
func (d Diff) Resolution() Resolution { return table[d].resolution }

func (d Diff) String() string { return table[d].label }

// Table lists all differences in order.
func Table() []row { return table[:] }

// StoredTask is what the leader has of a task, seen from the machine that reports.
type StoredTask struct {
	Known           bool   // its job is accepted and not forgotten, and has such a task
	Open            bool   // its completion would count: the job is open, and it has not ended
	Durable         bool   // its end is durable, or its job cancelled
	Cancelled       bool   // its job is
	Held            bool   // its job waits for others
	PlacedElsewhere bool   // it counts as being on another machine, or is on offer
	PlacedHere      bool   // it counts as being on this one
	Attempt         uint64 // where it counts here: which
	DirectMayArrive bool   // the attempt that is shown was sent straight to the worker, and its token is still good
}

// ReportedTask is what a report says of a task.
type ReportedTask struct {
	Attempt   uint64
	Ended     bool
	Completed bool // of an ended one: with its result
	Saved     bool // of one that was stopped: its progress
	Saving    bool // of one that has not ended
}

// Task names the difference between what is stored of a task and what is shown of it.
func Task(st StoredTask, sh ReportedTask) Diff {
	d := classifyTask(st, sh)
	if s := d.Resolution(); st.DirectMayArrive && (s == Reap || s == ReleaseAndReap) {
		return EndedDirectMayArrive
	}
	return d
}

func classifyTask(st StoredTask, sh ReportedTask) Diff {
	mine := st.PlacedHere && st.Attempt == sh.Attempt
	switch {
	case !st.Known && sh.Ended:
		return EndedUnknown
	case !st.Known:
		return RunsUnknown
	case sh.Ended && sh.Completed:
		switch {
		case st.Open && mine:
			return Completed
		case st.Open:
			return EndedNotPlaced
		case mine && st.Durable:
			return CancelledEnd
		case st.Durable:
			return EndedDurable
		case st.PlacedElsewhere:
			return EndedElsewhere
		}
		return EndedNotDurable
	case sh.Ended:
		switch {
		case mine && sh.Saved:
			return EndedSaved
		case mine:
			return EndedWithoutResult
		}
		return EndedOldAttempt
	case mine:
		return AsStored
	case st.PlacedHere:
		return RunsOtherAttempt
	case st.PlacedElsewhere:
		return RunsElsewhere
	case st.Cancelled:
		return RunsCancelled
	case st.Held:
		return RunsHeld
	case !st.Open:
		return RunsDone
	case sh.Saving:
		return SavesUnplaced
	}
	return RunsUnplaced
}

// Absent names the difference where a report lacks a task that counts here. later says
// that it is of a later session, direct that the task was sent straight to the worker,
// was not seen, and is still good at the report's token, or, of a later session, that it
// had no answer; current that this is the current token.
func Absent(later, direct, current bool) Diff {
	switch {
	case later && direct:
		return AbsentDirectInLaterSession
	case later:
		return AbsentInLaterSession
	case direct:
		return AbsentDirectMayArrive
	case current:
		return AbsentAtCurrentToken
	}
	return AbsentAtOlderToken
}

// Machine is what the leader has of a machine, and what its report says of it.
type Machine struct {
	Gone, Known, Typed, Leaving bool   // deleted; entered; of a known type; to be deleted
	Session, Number, Token      uint64 // of the newest report that was taken in; the current token
	Seen                        uint64 // highest token that a report taken in has shown
	Doubt                       uint64 // it is in doubt until a token above this one is seen; 0: it is not
	Epoch                       uint64 // of this term
	ReportSession, ReportNumber uint64
	ReportToken, ReportEpoch    uint64
}

// Report names the difference between what is stored of a machine and its report.
func Report(m Machine) Diff {
	older := m.ReportSession < m.Session || (m.ReportSession == m.Session && m.ReportNumber <= m.Number)
	switch {
	case m.ReportEpoch > m.Epoch:
		return MachineNewerTerm
	case m.Gone:
		return MachineDeleted
	case !m.Known && !m.Typed:
		return MachineUnknownType
	case !m.Known:
		return MachineUnregistered
	case older && m.Doubt > 0 && m.ReportToken > m.Doubt:
		return MachineRestarted
	case older || m.ReportToken < m.Seen:
		return MachineOutdatedReport
	case m.Session != 0 && m.ReportSession > m.Session:
		return MachineNewSession
	case m.Leaving:
		return MachineDeleting
	case m.ReportToken != m.Token:
		return MachineStaleToken
	}
	return MachineAsStored
}

// Gang names the difference where a part of a gang turns out to be on a machine;
// launch is the attempt that is known, 0 for none.
func Gang(launch, attempt uint64) Diff {
	switch launch {
	case 0:
		return GangFound
	case attempt:
		return GangSameAttempt
	}
	return GangOtherAttempt
}

// Tally counts differences by kind.
type Tally [Kinds]uint64

// Count counts one.
func (t *Tally) Count(d Diff) Diff {
	if t != nil {
		t[d]++
	}
	return d
}

// Each calls f for every difference that was found, in order.
func (t *Tally) Each(f func(d Diff, n uint64)) {
	for d, n := range t {
		if n > 0 {
			f(Diff(d), n)
		}
	}
}
