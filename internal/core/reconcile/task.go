package reconcile

// StoredTask is what the leader has of a task, seen from the machine that reports it.
type StoredTask struct {
	Known     bool // its job is accepted and not forgotten, and has such a task
	Open      bool // its completion would count: the job is open, and the task has not ended
	Durable   bool // its end is durable, or its job is cancelled
	Cancelled bool // its job is cancelled
	Held      bool // its job waits for others

	PlacedElsewhere bool   // it is placed on another machine, or on offer to one
	PlacedHere      bool   // it is placed on this machine
	Attempt         uint64 // the attempt that is placed here

	// DirectMayArrive: the reported attempt was started directly, and a copy of the start may still arrive:
	// the worker has seen no higher token than that of the start.
	DirectMayArrive bool
}

// ReportedTask is what a report says of a task.
type ReportedTask struct {
	Attempt   uint64
	Ended     bool
	Completed bool // of an ended attempt: with its result
	Saved     bool // of a stopped attempt: its progress is saved
	Saving    bool // of an attempt that has not ended: it saves its progress
}

// Task names the difference between what is stored of a task and what is reported of it.
func Task(stored StoredTask, reported ReportedTask) Diff {
	diff := classifyTask(stored, reported)
	resolution := diff.Resolution()
	if stored.DirectMayArrive && (resolution == Reap || resolution == ReleaseAndReap) {
		return EndedDirectMayArrive
	}
	return diff
}

// classifyTask names the difference without regard to direct starts.
func classifyTask(stored StoredTask, reported ReportedTask) Diff {
	placed := stored.PlacedHere && stored.Attempt == reported.Attempt
	switch {
	case !stored.Known && reported.Ended:
		return EndedUnknown
	case !stored.Known:
		return RunsUnknown
	case reported.Ended && reported.Completed:
		return classifyCompleted(stored, placed)
	case reported.Ended:
		return classifyEndedWithoutResult(reported, placed)
	}
	return classifyNotEnded(stored, reported, placed)
}

// classifyCompleted names the difference of an attempt that has ended with its result. placed says that it is
// the attempt that is placed on the machine.
func classifyCompleted(stored StoredTask, placed bool) Diff {
	switch {
	case stored.Open && placed:
		return Completed
	case stored.Open:
		return EndedNotPlaced
	case placed && stored.Durable:
		return CancelledEnd
	case stored.Durable:
		return EndedDurable
	case stored.PlacedElsewhere:
		return EndedElsewhere
	}
	return EndedNotDurable
}

// classifyEndedWithoutResult names the difference of an attempt that has ended without a result.
func classifyEndedWithoutResult(reported ReportedTask, placed bool) Diff {
	switch {
	case placed && reported.Saved:
		return EndedSaved
	case placed:
		return EndedWithoutResult
	}
	return EndedOldAttempt
}

// classifyNotEnded names the difference of an attempt that has not ended.
func classifyNotEnded(stored StoredTask, reported ReportedTask, placed bool) Diff {
	switch {
	case placed:
		return AsStored
	case stored.PlacedHere:
		return RunsOtherAttempt
	case stored.PlacedElsewhere:
		return RunsElsewhere
	case stored.Cancelled:
		return RunsCancelled
	case stored.Held:
		return RunsHeld
	case !stored.Open:
		return RunsDone
	case reported.Saving:
		return SavesUnplaced
	}
	return RunsUnplaced
}

// Absent names the difference where a report lacks a task that is placed on the machine. laterSession says
// that the report is of a later session. directMayArrive says that the task was started directly and not
// seen, and that its start is still good at the report's token, or, in a later session, that it had no answer.
// current says that the report is at the current token.
func Absent(laterSession, directMayArrive, current bool) Diff {
	switch {
	case laterSession && directMayArrive:
		return AbsentDirectInLaterSession
	case laterSession:
		return AbsentInLaterSession
	case directMayArrive:
		return AbsentDirectMayArrive
	case current:
		return AbsentAtCurrentToken
	}
	return AbsentAtOlderToken
}

// Gang names the difference where a task of a gang turns out to be on a machine. known is the attempt of the
// gang that is known, 0 for none; reported is the attempt of the task.
func Gang(known, reported uint64) Diff {
	switch known {
	case 0:
		return GangAttemptUnknown
	case reported:
		return GangSameAttempt
	}
	return GangOtherAttempt
}
