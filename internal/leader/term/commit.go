package term

import (
	"encoding/json"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// Flush appends the components' collected entries to the log and emits the next commit, if
// there is one and the log's rate limit allows it.
func (t *Term) Flush(now time.Duration) {
	if !t.loaded {
		return
	}
	// Entries are appended only when the next commit may begin, so that several completions
	// of a job between two commits are merged into one entry.
	if t.EventLog.Idle() {
		// In reverse order of the components, so that grants, for which task starts wait,
		// come before completions.
		for i := len(t.components) - 1; i >= 0; i-- {
			t.components[i].AppendEntries(now)
		}
	}
	if txn := t.EventLog.NextTransaction(now); txn != nil {
		t.Emit(effects.Commit{Txn: *txn})
	}
}

// Committed handles the outcome of the commit with sequence number seq. revision is that of
// the commit, and failedKeys are the keys whose comparison failed. The returned step is what
// the node must do next.
func (t *Term) Committed(
	now time.Duration, leaseValid bool, seq uint64, outcome eventlog.Outcome, revision uint64, failedKeys []string,
) eventlog.CommitStep {
	durable, step := t.EventLog.CommitResult(now, seq, outcome, revision, failedKeys)
	if outcome == eventlog.Invalid {
		t.logInvalidCommit(step)
	}
	t.entriesDurable(now, leaseValid, durable)
	if step == eventlog.ReadBackNeeded {
		t.Emit(effects.ReadBack{Key: t.EventLog.OpenSegmentKey()})
	}
	if leaseValid {
		t.placement.RunCycleAfterCommit(now)
	}
	t.registry.AnswerHeartbeats(now, leaseValid)
	if t.dispatch != nil {
		t.dispatch.AfterCycle(now, leaseValid)
	}
	return step
}

// logInvalidCommit logs that the state service rejected a transaction as malformed.
func (t *Term) logInvalidCommit(step eventlog.CommitStep) {
	message := "state service rejects transaction as malformed, trying smaller values"
	if step == eventlog.TermLost {
		message = "state service rejects transaction as malformed, ending term"
	}
	t.LogMessage(effects.Error, message, "epoch", t.Epoch, "pending", t.EventLog.PendingCount())
}

// ReadBack handles the value that was read to settle a commit whose outcome is unknown.
func (t *Term) ReadBack(now time.Duration, leaseValid, read bool, revision uint64, value json.RawMessage) {
	t.entriesDurable(now, leaseValid, t.EventLog.ReadBack(now, read, revision, value))
}

// entriesDurable passes entries that have become durable to the components, and removes the
// segments whose compaction is complete with them.
func (t *Term) entriesDurable(now time.Duration, leaseValid bool, durable []eventlog.Entry) {
	for _, e := range durable {
		t.routeEntry(e, func(c Component) { c.EntryDurable(now, leaseValid, e) })
	}
	t.dropCompactedSegments()
}
