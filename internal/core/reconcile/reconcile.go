// Package reconcile compares what workers report with what the leader has stored. It has a table of every
// difference that there can be, each with the one resolution that follows from it and with the proof that the
// resolution is right.
//
// It is part of the core and pure: its functions look at two descriptions and name their difference. Those who
// act on a difference (package workers, and the leader's registry and pools) decide nothing of this kind by
// themselves. The table is that of docs/cold-start.md, word for word; a test compares the two.
package reconcile

// Diff is a difference between what is stored and what is reported.
type Diff uint8

// Differences of a task. A task is placed where it counts as being. Those of machines and gangs follow.
const (
	AsStored Diff = iota // none: it is placed here and reported as it is stored

	// Attempts that have ended, with a result unless it says otherwise.
	Completed          // it was placed here
	EndedNotPlaced     // it was not placed here
	EndedNotDurable    // its result is known already, and not durable yet
	EndedElsewhere     // it is placed on another machine, or on offer to one
	EndedDurable       // its end is durable, or its job is over
	CancelledEnd       // it was placed here, and its job is cancelled
	EndedSaved         // without a result: it was placed here, and was stopped with its progress saved
	EndedWithoutResult // without a result: it was placed here
	EndedOldAttempt    // without a result: an attempt that was not placed here

	// Tasks that are placed here and not in the report.
	AbsentAtCurrentToken // a newer report at the current token lacks it
	AbsentInLaterSession // the worker has begun a later session
	AbsentAtOlderToken   // a report at an older token lacks it

	// Tasks that were started directly: the start was pushed to the worker.
	AbsentDirectInLaterSession // the start had no answer, and the worker has a later session or incarnation
	AbsentDirectMayArrive      // a report lacks it, at a token with which the start may yet arrive
	EndedDirectMayArrive       // it has ended, and a copy of the start may yet arrive

	// Attempts that have not ended.
	RunsUnplaced     // it was placed nowhere, and runs here
	SavesUnplaced    // it was placed nowhere, and saves its progress here
	RunsDone         // its end is known
	RunsCancelled    // its job is cancelled
	RunsHeld         // its job waits for others
	RunsElsewhere    // it is placed on another machine, or may be on one
	RunsOtherAttempt // another attempt of it is placed here

	// Tasks that are not known: nobody accepted the job, or it has no such task.
	RunsUnknown
	EndedUnknown

	// Differences of a machine.
	MachineAsStored       // none
	MachineUnregistered   // nothing is stored of it: rented late, or its rental was never durable
	MachineDeleted        // it is stored as deleted
	MachineUnknownType    // its type is not known
	MachineOutdatedReport // the report is older than one that was applied
	MachineDeleting       // its deletion is decided
	MachineStaleToken     // it has not seen the current token
	MachineNewSession     // it has begun a later session
	MachineNewerTerm      // it has seen a token of a later term
	MachineRestarted      // it is a new incarnation under its name, and remembers nothing

	// Differences of a gang, where one of its tasks turns out to be on a machine.
	GangAttemptUnknown // no attempt of the gang was known
	GangSameAttempt    // the task is of the attempt that is known
	GangOtherAttempt   // the task is of another attempt than the one that is known

	Kinds // the number of differences
)

// Resolution is the one thing that follows from the difference.
func (d Diff) Resolution() Resolution { return table[d].resolution }

// String is the difference's label in metrics and accounts.
func (d Diff) String() string { return table[d].label }

// Resolution is what follows from a difference.
type Resolution uint8

// Resolutions.
const (
	Keep             Resolution = iota // nothing changes
	RecordCompletion                   // record the completion, and reap the attempt once that is durable
	Wait                               // send the worker nothing until more is durable or known
	Reap                               // have the worker forget the ended attempt
	ReleaseAndReap                     // it is proved gone from here, and may run again elsewhere; reap the attempt
	Release                            // it is proved gone from here, and may run again elsewhere
	Adopt                              // it is placed here from now on
	AdoptAndFailGang                   // adopt it, and give up the gang's attempt as a whole
	Stop                               // stop it, and start nothing on the machine until it is gone
	Register                           // enter the machine, and register it before its first start
	Ignore                             // answer the report, and apply nothing of it
	ApplyPresent                       // apply the report; it does not prove what is absent
	ReleaseAll                         // all that is placed on the machine is proved gone
	ContinueDeletion                   // apply the report; the deletion goes on, and nothing is started
	StepDown                           // another node leads: the term is over
)

// resolutionLabels are the words of the resolutions in the table and in accounts.
var resolutionLabels = [...]string{
	Keep:             "keep",
	RecordCompletion: "complete, reap once durable",
	Wait:             "wait",
	Reap:             "reap",
	ReleaseAndReap:   "release and reap",
	Release:          "release",
	Adopt:            "adopt",
	AdoptAndFailGang: "adopt and give up the gang's attempt",
	Stop:             "stop",
	Register:         "register",
	Ignore:           "ignore",
	ApplyPresent:     "listen",
	ReleaseAll:       "release all",
	ContinueDeletion: "delete",
	StepDown:         "step down",
}

// String gives the resolution's words in the table.
func (r Resolution) String() string { return resolutionLabels[r] }
