package term

import (
	"encoding/json"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// Flush hands what has gathered to the log and emits the next commit that the log's rate
// limit allows, if there is one.
func (t *Term) Flush(now time.Duration) {
	if !t.loaded {
		return
	}
	// Entries are appended only when the next commit may begin, so that those of a job
	// between two commits become one.
	if t.EventLog.Idle() {
		// The last components go first: grants, for which starts wait, before completions.
		for i := len(t.components) - 1; i >= 0; i-- {
			t.components[i].AppendEntries(now)
		}
	}
	if txn := t.EventLog.NextTransaction(now); txn != nil {
		t.Emit(effects.Commit{Txn: *txn})
	}
}

// Committed takes the outcome of the commit with a sequence number: the revision it was
// given, or the keys whose comparison failed. The step that it returns is what the node
// must do next.
func (t *Term) Committed(
	now time.Duration, leaseValid bool, seq uint64, out eventlog.Outcome, mark uint64, failed []string,
) eventlog.CommitStep {
	durable, step := t.EventLog.CommitResult(now, seq, out, mark, failed)
	if out == eventlog.Invalid {
		t.logInvalidCommit(step)
	}
	t.entriesDurable(now, leaseValid, durable)
	if step == eventlog.ReadBackNeeded {
		t.Emit(effects.ReadBack{Key: t.EventLog.OpenSegmentKey()})
	}
	if leaseValid {
		t.placement.RequestCycle(now)
	}
	t.registry.AnswerHeartbeats(now, leaseValid)
	if t.dispatch != nil {
		t.dispatch.AfterCycle(now, leaseValid)
	}
	return step
}

// logInvalidCommit logs that the state service has refused a transaction as malformed.
func (t *Term) logInvalidCommit(step eventlog.CommitStep) {
	message := "state service rejects transaction as malformed, trying smaller values"
	if step == eventlog.TermLost {
		message = "state service rejects transaction as malformed, ending term"
	}
	t.LogMessage(effects.Error, message, "epoch", t.Epoch, "pending", t.EventLog.PendingCount())
}

// ReadBack takes the value that settles a commit without an answer.
func (t *Term) ReadBack(now time.Duration, leaseValid, read bool, mark uint64, value json.RawMessage) {
	t.entriesDurable(now, leaseValid, t.EventLog.ReadBack(now, read, mark, value))
}

// entriesDurable tells the components of entries that have become durable, and removes
// segments whose compaction that completes.
func (t *Term) entriesDurable(now time.Duration, leaseValid bool, durable []eventlog.Entry) {
	for _, e := range durable {
		t.routeEntry(e, func(c Component) { c.EntryDurable(now, leaseValid, e) })
	}
	t.dropCompactedSegments()
}
