package reconcile

// row is one row of the table of differences. docs/cold-start.md has the same table word for word.
type row struct {
	label      string     // label of the difference in metrics and summaries
	stored     string     // what the leader has stored
	reported   string     // what the worker reports
	resolution Resolution // action that resolves the difference
	proof      string     // why the resolution is correct; "none" and the reason if there is no proof
}

// table has a row for each difference.
var table = [DiffCount]row{
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
		proof:      "a task has exactly one result, which counts no matter who started the attempt",
	},
	EndedNotDurable: {
		label:      "ended_not_durable",
		stored:     "done, not durable",
		reported:   "done",
		resolution: Wait,
		proof:      "if it were reaped now, the result would be lost with this leader",
	},
	EndedElsewhere: {
		label:      "ended_elsewhere",
		stored:     "on another machine, or offered to one",
		reported:   "done",
		resolution: Wait,
		proof:      "the attempt on the other machine counts, and ends at once with the same result",
	},
	EndedDurable: {
		label:      "ended_durable",
		stored:     "done and durable, or its job is over",
		reported:   "done",
		resolution: Reap,
		proof:      "no leader needs anything more of this attempt",
	},
	CancelledEnd: {
		label:      "cancelled_end",
		stored:     "on this machine, cancelled",
		reported:   "this attempt, done",
		resolution: ReleaseAndReap,
		proof:      "the results of a cancelled job are not needed",
	},
	EndedSaved: {
		label:      "ended_saved",
		stored:     "on this machine",
		reported:   "this attempt, stopped, its progress saved",
		resolution: ReleaseAndReap,
		proof:      "an ended attempt never starts again; the next attempt resumes from the saved progress",
	},
	EndedWithoutResult: {
		label:      "ended_without",
		stored:     "on this machine",
		reported:   "this attempt, ended without a result",
		resolution: ReleaseAndReap,
		proof:      "an ended attempt never starts again",
	},
	EndedOldAttempt: {
		label:      "old_end",
		stored:     "not on this machine, or with another attempt",
		reported:   "ended without a result",
		resolution: Reap,
		proof:      "an ended attempt never starts again, and this one did not count as placed anywhere",
	},
	AbsentAtCurrentToken: {
		label:      "absent_now",
		stored:     "on this machine",
		reported:   "missing, at the current token",
		resolution: Release,
		proof:      "a start is sent only with the answer to the previous report, so its task would be in this report",
	},
	AbsentInLaterSession: {
		label:      "absent_later",
		stored:     "on this machine",
		reported:   "a later session",
		resolution: Release,
		proof:      "a worker whose lease has expired kills and forgets all its tasks",
	},
	AbsentAtOlderToken: {
		label:      "absent_unproved",
		stored:     "on this machine",
		reported:   "missing, at an older token",
		resolution: Wait,
		proof:      "none: an answer with a start may still be in transit",
	},
	AbsentDirect: {
		label:      "absent_bound",
		stored:     "on this machine, started directly",
		reported:   "missing at the current token, above that of the start, or a later session or incarnation",
		resolution: RestartHere,
		proof:      "this incarnation refuses the start; only the answered deletion proves that no later one carries it out, and beside a restart here it does nothing",
	},
	AbsentDirectMayArrive: {
		label:      "absent_direct",
		stored:     "on this machine, started directly",
		reported:   "missing, at a token no higher than that of the start",
		resolution: Wait,
		proof:      "none: the worker may still carry out the start, as long as it accepts the token",
	},
	EndedDirectMayArrive: {
		label:      "ended_direct",
		stored:     "started directly",
		reported:   "ended, at a token no higher than that of the start",
		resolution: Wait,
		proof:      "if it were reaped before the worker has seen a higher token, a late copy of the start would run it again",
	},
	RunsUnplaced: {
		label:      "runs_unseen",
		stored:     "not placed, open",
		reported:   "not ended",
		resolution: Adopt,
		proof:      "the newest report shows it, and it is not placed anywhere else",
	},
	SavesUnplaced: {
		label:      "saves_unseen",
		stored:     "not placed, open",
		reported:   "saving its progress",
		resolution: Adopt,
		proof:      "the newest report shows it; the progress that it saves is kept",
	},
	RunsDone: {
		label:      "runs_done",
		stored:     "done",
		reported:   "not ended",
		resolution: Stop,
		proof:      "its result is known, so there is no use in running it further",
	},
	RunsCancelled: {
		label:      "runs_cancelled",
		stored:     "not placed, cancelled",
		reported:   "not ended",
		resolution: Stop,
		proof:      "a leader of an older version has already confirmed the cancellation to the user",
	},
	RunsHeld: {
		label:      "runs_held",
		stored:     "held until other jobs are done",
		reported:   "not ended",
		resolution: Stop,
		proof:      "tasks of a held job must not be started",
	},
	RunsElsewhere: {
		label:      "runs_elsewhere",
		stored:     "on another machine, or offered to one",
		reported:   "not ended",
		resolution: Stop,
		proof:      "one of the two attempts must be stopped, and the other is the one that counts",
	},
	RunsOtherAttempt: {
		label:      "runs_other_attempt",
		stored:     "on this machine with another attempt",
		reported:   "not ended",
		resolution: Stop,
		proof:      "one of the two attempts must be stopped, and the other is the one that counts",
	},
	RunsUnknown: {
		label:      "runs_unknown",
		stored:     "no such job or task",
		reported:   "not ended",
		resolution: Stop,
		proof:      "the whole log has been read: acceptance of the job was never confirmed to anybody",
	},
	EndedUnknown: {
		label:      "ended_unknown",
		stored:     "no such job or task",
		reported:   "ended",
		resolution: Reap,
		proof:      "as for `runs_unknown`",
	},

	// Machines.
	MachineAsStored: {
		label:      "machine_as_stored",
		stored:     "registered",
		reported:   "the current token, this session",
		resolution: Keep,
		proof:      "the report proves which tasks are on the machine and which are not",
	},
	MachineUnregistered: {
		label:      "machine_new",
		stored:     "nothing",
		reported:   "a report",
		resolution: Register,
		proof:      "no task is ever started on a machine before its registration is durable",
	},
	MachineDeleted: {
		label:      "machine_gone",
		stored:     "deleted",
		reported:   "a report",
		resolution: Ignore,
		proof:      "the cloud has confirmed the deletion, so the report is late",
	},
	MachineUnknownType: {
		label:      "machine_strange",
		stored:     "of no known type",
		reported:   "a report",
		resolution: Ignore,
		proof:      "none: the cloud is asked for its machine types, and the machine is kept alive until they are known",
	},
	MachineOutdatedReport: {
		label:      "machine_late",
		stored:     "a newer report",
		reported:   "an older session or number, or a lower token",
		resolution: Ignore,
		proof:      "its list of tasks is as old as the report itself",
	},
	MachineDeleting: {
		label:      "machine_leaving",
		stored:     "to be deleted",
		reported:   "a report",
		resolution: ContinueDeletion,
		proof:      "the decision is final: only the completed deletion proves the tasks gone",
	},
	MachineStaleToken: {
		label:      "machine_behind",
		stored:     "registered",
		reported:   "an older token",
		resolution: ApplyPresent,
		proof:      "an answer at an older token may still be in transit",
	},
	MachineNewSession: {
		label:      "machine_again",
		stored:     "registered",
		reported:   "a later session",
		resolution: ReleaseAll,
		proof:      "a worker whose lease has expired kills and forgets all its tasks",
	},
	MachineNewerTerm: {
		label:      "machine_ahead",
		stored:     "registered",
		reported:   "a token of a later term",
		resolution: StepDown,
		proof:      "only leaders issue tokens, and tokens only increase",
	},
	MachineRestarted: {
		label:      "machine_reborn",
		stored:     "suspect",
		reported:   "an older session or number, at a token issued since the suspicion",
		resolution: ReleaseAll,
		proof:      "the incarnation that received that token and counts from the beginning is running, so the previous one is not",
	},

	// Gangs.
	GangAttemptUnknown: {
		label:      "gang_found",
		stored:     "no attempt in progress",
		reported:   "one of its tasks, not ended",
		resolution: Adopt,
		proof:      "the newest report shows it; the other tasks are waited for like any task",
	},
	GangSameAttempt: {
		label:      "gang_part",
		stored:     "this attempt",
		reported:   "one of its tasks, not ended",
		resolution: Adopt,
		proof:      "the newest report shows it",
	},
	GangOtherAttempt: {
		label:      "gang_other",
		stored:     "another attempt",
		reported:   "one of its tasks, not ended",
		resolution: AdoptAndFailGang,
		proof:      "two attempts can never complete the gang together: all tasks must be gone before the next attempt",
	},
}
