// Package reconcile compares what workers report with what the leader has stored. Its table lists every
// possible difference with its resolution, and the proof that the resolution is correct, if there is one.
//
// The package is part of the core. Its functions are pure: they compare two descriptions and return their
// difference. The packages that act on a difference (workers, and the leader's registry and pools) make no
// such decisions themselves. docs/cold-start.md has the same table word for word; a test compares the two.
package reconcile

// Diff is a difference between the stored and the reported state.
type Diff uint8

// Differences of tasks, machines and gangs. A task is placed on the machine on which the leader counts it.
const (
	AsStored Diff = iota // none: the task is placed here and reported as it is stored

	// Attempts that have ended, with a result unless noted otherwise.
	Completed          // it was placed here
	EndedNotPlaced     // it was not placed here
	EndedNotDurable    // its result is already known but not durable yet
	EndedElsewhere     // it is placed on another machine, or offered to one
	EndedDurable       // its end is durable, or its job is over
	CancelledEnd       // it was placed here, and its job is cancelled
	EndedSaved         // without a result: it was placed here, and it was stopped with its progress saved
	EndedWithoutResult // without a result: it was placed here
	EndedOldAttempt    // without a result: this attempt was not placed here

	// Tasks that are placed here and missing from the report.
	AbsentAtCurrentToken // a newer report at the current token lacks it
	AbsentInLaterSession // the worker has begun a later session
	AbsentAtOlderToken   // a report at an older token lacks it

	// Tasks that were started directly, by a start pushed to the worker.
	AbsentDirect          // a report at a higher token lacks it, or a later session or incarnation has begun
	AbsentDirectMayArrive // a report lacks it, at a token at which the start may still arrive
	EndedDirectMayArrive  // it has ended, and a copy of the start may still arrive

	// Attempts that have not ended.
	RunsUnplaced     // it was not placed anywhere, and runs here
	SavesUnplaced    // it was not placed anywhere, and is saving its progress here
	RunsDone         // its end is already known
	RunsCancelled    // its job is cancelled
	RunsHeld         // its job waits for jobs that it depends on
	RunsElsewhere    // it is placed on another machine, or may be on one
	RunsOtherAttempt // another attempt of it is placed here

	// Unknown tasks: the job was never accepted, or it has no such task.
	RunsUnknown
	EndedUnknown

	// Differences of a machine.
	MachineAsStored       // none
	MachineUnregistered   // it is not stored: its rental was carried out late, or never became durable
	MachineDeleted        // it is recorded as deleted
	MachineUnknownType    // its machine type is not known
	MachineOutdatedReport // the report is older than one that was applied
	MachineDeleting       // its deletion is decided
	MachineStaleToken     // it has not received the current token
	MachineNewSession     // it has begun a later session
	MachineNewerTerm      // it has received a token of a later term
	MachineRestarted      // it is a new incarnation under the same name, without the state of the former one

	// Differences of a gang, when one of its tasks is found on a machine.
	GangAttemptUnknown // no attempt of the gang is known
	GangSameAttempt    // the task belongs to the known attempt
	GangOtherAttempt   // the task belongs to another attempt than the known one

	DiffCount // the number of Diff values
)

// Resolution returns the only resolution of the difference.
func (d Diff) Resolution() Resolution { return table[d].resolution }

// String returns the difference's label in metrics and summaries.
func (d Diff) String() string { return table[d].label }

// Resolution is the action that resolves a difference.
type Resolution uint8

// Resolutions.
const (
	Keep             Resolution = iota // nothing changes
	RecordCompletion                   // record the completion, and reap the attempt once that is durable
	Wait                               // send the worker no command until more is durable or known
	Reap                               // have the worker forget the ended attempt
	ReleaseAndReap                     // release it, and have the worker forget the ended attempt
	Release                            // it is proved to be gone from here, and may run again elsewhere
	RestartHere                        // it is gone from here, and may run again only here
	Adopt                              // it counts as placed here from now on
	AdoptAndFailGang                   // adopt it, and abandon the attempt of the whole gang
	Stop                               // stop it, and start nothing on the machine until it is gone
	Register                           // add the machine, and register it durably before its first start
	Ignore                             // answer the report, but apply nothing of it
	ApplyPresent                       // apply the report, except that it does not prove the absence of tasks
	ReleaseAll                         // everything placed on the machine is proved to be gone
	ContinueDeletion                   // apply the report; the deletion continues, and nothing is started
	StepDown                           // another node is the leader, so this term is over
)

// resolutionLabels holds the text of each resolution in the table and in summaries.
var resolutionLabels = [...]string{
	Keep:             "keep",
	RecordCompletion: "complete, reap once durable",
	Wait:             "wait",
	Reap:             "reap",
	ReleaseAndReap:   "release and reap",
	Release:          "release",
	RestartHere:      "restart here",
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

// String returns the resolution's text in the table.
func (r Resolution) String() string { return resolutionLabels[r] }
