package reconcile

// row is a line of the table of differences. docs/cold-start.md has the same table in the same words.
type row struct {
	label      string     // of the difference, in metrics and accounts
	stored     string     // what the leader has stored
	reported   string     // what the worker reports
	resolution Resolution // what follows
	proof      string     // why that is right, or what is missing for a proof
}

// table has a row for each difference.
var table = [Kinds]row{
	// Tasks.
	AsStored: {
		label:      "as_stored",
		stored:     "on this machine",
		reported:   "this attempt, not ended",
		resolution: Keep,
		proof:      "the newest report shows it",
	},
	Completed: {
		label:      "completed",
		stored:     "on this machine, open",
		reported:   "this attempt, done",
		resolution: RecordCompletion,
		proof:      "the worker keeps the result until it is reaped",
	},
	EndedNotPlaced: {
		label:      "ended_unheard",
		stored:     "not on this machine, open",
		reported:   "done",
		resolution: RecordCompletion,
		proof:      "a result counts whoever started it: a task has one result",
	},
	EndedNotDurable: {
		label:      "ended_not_durable",
		stored:     "done, not durable",
		reported:   "done",
		resolution: Wait,
		proof:      "reaped too early it would be lost with this leader",
	},
	EndedElsewhere: {
		label:      "ended_elsewhere",
		stored:     "on another machine, or on offer to one",
		reported:   "done",
		resolution: Wait,
		proof:      "the one that counts ends at once with the same result",
	},
	EndedDurable: {
		label:      "ended_durable",
		stored:     "done and durable, or its job over",
		reported:   "done",
		resolution: Reap,
		proof:      "nothing more is asked of this attempt by any leader",
	},
	CancelledEnd: {
		label:      "cancelled_end",
		stored:     "on this machine, cancelled",
		reported:   "this attempt, done",
		resolution: ReleaseAndReap,
		proof:      "a cancelled job's results are of no use",
	},
	EndedSaved: {
		label:      "ended_saved",
		stored:     "on this machine",
		reported:   "this attempt, stopped, its progress saved",
		resolution: ReleaseAndReap,
		proof:      "an ended attempt does not begin again; the next one goes on from what is saved",
	},
	EndedWithoutResult: {
		label:      "ended_without",
		stored:     "on this machine",
		reported:   "this attempt, ended without a result",
		resolution: ReleaseAndReap,
		proof:      "an ended attempt does not begin again",
	},
	EndedOldAttempt: {
		label:      "old_end",
		stored:     "not on this machine, or with another attempt",
		reported:   "ended without a result",
		resolution: Reap,
		proof:      "an ended attempt does not begin again, and this one counted nowhere",
	},
	AbsentAtCurrentToken: {
		label:      "absent_now",
		stored:     "on this machine",
		reported:   "not there, at the current token",
		resolution: Release,
		proof:      "a start travels in the answer to the report before only, and would show in this one",
	},
	AbsentInLaterSession: {
		label:      "absent_later",
		stored:     "on this machine",
		reported:   "a later session",
		resolution: Release,
		proof:      "with its lease a worker kills and forgets all tasks",
	},
	AbsentAtOlderToken: {
		label:      "absent_unproved",
		stored:     "on this machine",
		reported:   "not there, at an older token",
		resolution: Wait,
		proof:      "none: an answer with a start may still be on its way",
	},
	AbsentDirectInLaterSession: {
		label:      "absent_unanswered",
		stored:     "on this machine, started directly, without an answer",
		reported:   "a later session, or a new life",
		resolution: Wait,
		proof:      "none: the command may be carried out late, by a life that counts sessions and tokens anew; the machine is deleted",
	},
	AbsentDirectMayArrive: {
		label:      "absent_direct",
		stored:     "on this machine, started directly",
		reported:   "not there, at no higher token than the start's",
		resolution: Wait,
		proof:      "none: the command may be carried out late, as long as its token matches",
	},
	EndedDirectMayArrive: {
		label:      "ended_direct",
		stored:     "started directly",
		reported:   "ended, at no higher token than the start's",
		resolution: Wait,
		proof:      "reaped before the worker has seen a higher token, a late copy of its start would begin it once more",
	},
	RunsUnplaced: {
		label:      "runs_unseen",
		stored:     "nowhere, open",
		reported:   "not ended",
		resolution: Adopt,
		proof:      "the newest report shows it, and it counts nowhere else",
	},
	SavesUnplaced: {
		label:      "saves_unseen",
		stored:     "nowhere, open",
		reported:   "saving",
		resolution: Adopt,
		proof:      "the newest report shows it; what it saves is kept",
	},
	RunsDone: {
		label:      "runs_done",
		stored:     "done",
		reported:   "not ended",
		resolution: Stop,
		proof:      "its result is known: more of it is of no use",
	},
	RunsCancelled: {
		label:      "runs_cancelled",
		stored:     "nowhere, cancelled",
		reported:   "not ended",
		resolution: Stop,
		proof:      "its user was told that it is cancelled, by a leader of an older version",
	},
	RunsHeld: {
		label:      "runs_held",
		stored:     "held for other jobs",
		reported:   "not ended",
		resolution: Stop,
		proof:      "it may not have been started",
	},
	RunsElsewhere: {
		label:      "runs_elsewhere",
		stored:     "on another machine, or on offer to one",
		reported:   "not ended",
		resolution: Stop,
		proof:      "one of the two has to go, and the other is the one that counts",
	},
	RunsOtherAttempt: {
		label:      "runs_other_attempt",
		stored:     "on this machine with another attempt",
		reported:   "not ended",
		resolution: Stop,
		proof:      "one of the two has to go, and the other is the one that counts",
	},
	RunsUnknown: {
		label:      "runs_unknown",
		stored:     "no such job or task",
		reported:   "not ended",
		resolution: Stop,
		proof:      "the whole log is read: nobody was told that it is accepted",
	},
	EndedUnknown: {
		label:      "ended_unknown",
		stored:     "no such job or task",
		reported:   "ended",
		resolution: Reap,
		proof:      "the same",
	},

	// Machines.
	MachineAsStored: {
		label:      "machine_as_stored",
		stored:     "registered",
		reported:   "the current token, this session",
		resolution: Keep,
		proof:      "what it shows, and what it lacks, is so",
	},
	MachineUnregistered: {
		label:      "machine_new",
		stored:     "nothing",
		reported:   "a report",
		resolution: Register,
		proof:      "no task is ever started on a machine before it is registered durably",
	},
	MachineDeleted: {
		label:      "machine_gone",
		stored:     "deleted",
		reported:   "a report",
		resolution: Ignore,
		proof:      "the cloud has answered its deletion: the report is late",
	},
	MachineUnknownType: {
		label:      "machine_strange",
		stored:     "of no known type",
		reported:   "a report",
		resolution: Ignore,
		proof:      "none: it is asked for types, and the machine kept alive until then",
	},
	MachineOutdatedReport: {
		label:      "machine_late",
		stored:     "a newer report",
		reported:   "an older session or number, or a lower token",
		resolution: Ignore,
		proof:      "its list is as old as it is itself",
	},
	MachineDeleting: {
		label:      "machine_leaving",
		stored:     "to be deleted",
		reported:   "a report",
		resolution: ContinueDeletion,
		proof:      "what is decided stays so: only the deletion proves what it proves",
	},
	MachineStaleToken: {
		label:      "machine_behind",
		stored:     "registered",
		reported:   "an older token",
		resolution: ApplyPresent,
		proof:      "an answer at an older token may still be on its way",
	},
	MachineNewSession: {
		label:      "machine_again",
		stored:     "registered",
		reported:   "a later session",
		resolution: ReleaseAll,
		proof:      "with its lease a worker kills and forgets all tasks",
	},
	MachineNewerTerm: {
		label:      "machine_ahead",
		stored:     "registered",
		reported:   "a token of a later term",
		resolution: StepDown,
		proof:      "tokens are given out by leaders alone, and only rise",
	},
	MachineRestarted: {
		label:      "machine_reborn",
		stored:     "in doubt",
		reported:   "an older session or number, at a token given out since",
		resolution: ReleaseAll,
		proof:      "who got that token and counts from the beginning lives, and the one before it does not",
	},

	// Gangs.
	GangAttemptUnknown: {
		label:      "gang_found",
		stored:     "no attempt under way",
		reported:   "a part, not ended",
		resolution: Adopt,
		proof:      "the newest report shows it; the others are waited for like any task",
	},
	GangSameAttempt: {
		label:      "gang_part",
		stored:     "this attempt",
		reported:   "a part, not ended",
		resolution: Adopt,
		proof:      "the newest report shows it",
	},
	GangOtherAttempt: {
		label:      "gang_other",
		stored:     "another attempt",
		reported:   "a part, not ended",
		resolution: AdoptAndFailGang,
		proof:      "two attempts never complete together: all parts go before the next",
	},
}
