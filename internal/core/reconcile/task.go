package reconcile

// StoredTask is the leader's record of a task, relative to the machine that reports it.
type StoredTask struct {
	Known     bool // its job was accepted, is still stored, and has such a task
	Open      bool // its completion would be recorded: the job is open, and the task has not ended
	Durable   bool // its end is durable, or its job is cancelled
	Cancelled bool // its job is cancelled
	Held      bool // its job waits for jobs that it depends on

	PlacedElsewhere bool   // it is placed on another machine, or offered to one
	PlacedHere      bool   // it is placed on this machine
	Attempt         uint64 // the attempt that is placed here

	// DirectMayArrive is set if the reported attempt was started directly and a copy of the start may still
	// be accepted, because the worker has not seen a higher token than that of the start.
	DirectMayArrive bool
}

// ReportedTask is the state of a task in a report.
type ReportedTask struct {
	Attempt   uint64
	Ended     bool
	Completed bool // of an ended attempt: it ended with its result
	Saved     bool // of a stopped attempt: its progress is saved
	Saving    bool // of an attempt that has not ended: it is saving its progress
}

// Task returns the difference between the stored and the reported state of a task.
func Task(stored StoredTask, reported ReportedTask) Diff {
	diff := classifyTask(stored, reported)
	resolution := diff.Resolution()
	if stored.DirectMayArrive && (resolution == Reap || resolution == ReleaseAndReap) {
		return EndedDirectMayArrive
	}
	return diff
}

// classifyTask returns the difference without regard to direct starts.
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

// classifyCompleted returns the difference of an attempt that has ended with its result. placed is true if
// this attempt is the one that is placed on the machine.
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

// classifyEndedWithoutResult returns the difference of an attempt that has ended without a result.
func classifyEndedWithoutResult(reported ReportedTask, placed bool) Diff {
	switch {
	case placed && reported.Saved:
		return EndedSaved
	case placed:
		return EndedWithoutResult
	}
	return EndedOldAttempt
}

// classifyNotEnded returns the difference of an attempt that has not ended.
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

// AbsentTask is a task that is placed on a machine and missing from a report of it.
type AbsentTask struct {
	LaterSession bool // the worker has begun a later session or incarnation since the task was placed
	SentDirectly bool // a start of the task was sent directly, so that a later incarnation may carry it out
	MayArrive    bool // the worker that reports has not seen a higher token than that of such a start
	Current      bool // the report is at the current token
}

// Absent returns the difference for a task that is placed on the machine and missing from its report.
func Absent(task AbsentTask) Diff {
	switch {
	case task.LaterSession && task.SentDirectly:
		return AbsentDirect
	case task.LaterSession:
		return AbsentInLaterSession
	case task.MayArrive:
		return AbsentDirectMayArrive
	case !task.Current:
		return AbsentAtOlderToken
	case task.SentDirectly:
		return AbsentDirect
	}
	return AbsentAtCurrentToken
}

// Gang returns the difference when a task of a gang is found on a machine. known is the known attempt of the
// gang, 0 for none; reported is the attempt of the task.
func Gang(known, reported uint64) Diff {
	switch known {
	case 0:
		return GangAttemptUnknown
	case reported:
		return GangSameAttempt
	}
	return GangOtherAttempt
}
