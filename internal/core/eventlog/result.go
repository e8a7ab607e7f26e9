package eventlog

import (
	"encoding/json"
	"slices"
	"time"
)

const (
	minValueBytes     = 512                    // values are not made smaller than this
	minTransactionOps = 2                      // nor transactions
	refusalDelay      = 60 * time.Millisecond  // before the next attempt, for each refusal in a row
	maxRefusalDelays  = 8                      // and at most so many times as long
	readBackDelay     = 100 * time.Millisecond // before the next attempt after a read-back
)

// CommitStep says what the holder of the log must do after a result.
type CommitStep uint8

// Steps after a result.
const (
	Continue       CommitStep = iota // go on
	ReadBackNeeded                   // read the key of Log.OpenSegmentKey and hand its value to Log.ReadBack
	TermLost                         // the term is over
)

// CommitResult takes the outcome of the transaction in flight: the version is the revision of the
// change, and failedKeys are those whose conditions were not met. It returns the tracked entries
// that are now durable.
func (l *Log) CommitResult(
	now time.Duration, sequence uint64, outcome Outcome, version uint64, failedKeys []string,
) ([]Entry, CommitStep) {
	commit := l.inflight
	if commit == nil || commit.transaction.Sequence != sequence {
		return nil, Continue
	}
	commit.sent = false
	switch outcome {
	case Applied:
		return l.finishCommit(commit, version), Continue
	case Conflict:
		return nil, l.conflicted(commit, failedKeys)
	case Unknown:
		return nil, l.unanswered(commit)
	case Invalid:
		return nil, l.rejected(commit)
	default:
		return nil, l.refused(now, commit)
	}
}

// conflicted: a condition was not met. That is to be expected only where an earlier attempt may
// have been executed.
func (l *Log) conflicted(commit *inflightCommit, failedKeys []string) CommitStep {
	if slices.Contains(failedKeys, l.epochKey) {
		return TermLost
	}
	if !commit.maybeExecuted {
		return TermLost // somebody else wrote our log
	}
	l.awaitingReadBack = true
	return ReadBackNeeded
}

// unanswered: the transaction may be executed, now or later.
func (l *Log) unanswered(commit *inflightCommit) CommitStep {
	if commit.entryCount == 0 {
		// Only sizes and segments to remove: both can be done twice.
		l.requeue(commit)
		return Continue
	}
	commit.maybeExecuted = true
	l.awaitingReadBack = true
	return ReadBackNeeded
}

// rejected: the transaction is larger than the service now takes. This must never be met; if it
// is, smaller values are tried in further segments. What may have been executed already, or is as
// small as can be, ends the term instead: the next one begins with what is really there.
func (l *Log) rejected(commit *inflightCommit) CommitStep {
	if commit.maybeExecuted || l.limits.ValueBytes <= minValueBytes {
		return TermLost
	}
	l.limits.ValueBytes = max(minValueBytes, l.limits.ValueBytes/2)
	l.limits.TxnOps = max(minTransactionOps, l.limits.TxnOps/2)
	l.openSealed = len(l.openBody) > 0
	l.dropPendingSizes()
	l.requeue(commit)
	l.dropPendingValues()
	return Continue
}

// refused: the transaction was not executed and is tried again after a pause that grows.
func (l *Log) refused(now time.Duration, commit *inflightCommit) CommitStep {
	l.failures++
	l.retryAt = now + time.Duration(min(l.failures, maxRefusalDelays))*refusalDelay
	if !commit.maybeExecuted {
		l.requeue(commit)
	}
	return Continue
}

// dropPendingValues leaves out the values that wait, which may be too large now. Their entries
// become ones that say nothing, since entries are counted.
func (l *Log) dropPendingValues() {
	for i := range l.pending {
		p := &l.pending[i]
		if p.value == nil {
			continue
		}
		l.pendingBytes -= len(p.raw)
		*p = pendingEntry{raw: []byte(`{"f":{}}`)}
		l.pendingBytes += len(p.raw)
	}
}

// requeue takes back a commit that was not executed, or may be executed a second time: its entries
// are still pending, and its sizes and removals are again.
func (l *Log) requeue(commit *inflightCommit) {
	l.pendingRemovals = append(l.pendingRemovals, commit.removals...)
	if commit.sizesGeneration == l.sizesGeneration { // otherwise a newer list has come
		l.pendingSizes = append(commit.sizes, l.pendingSizes...)
	}
	l.inflight = nil
}

// finishCommit takes note that a commit was applied and returns its tracked entries.
func (l *Log) finishCommit(commit *inflightCommit, version uint64) []Entry {
	l.failures = 0
	l.inflight = nil
	if commit.sizesGeneration == l.sizesGeneration && len(commit.sizes) > 0 && len(l.pendingSizes) == 0 {
		l.storedSizes = l.wantedSizes // all that was there beyond is removed
	}
	if commit.entryCount == 0 {
		return nil
	}
	last := commit.lastSegment()
	l.openSealed = l.openSealed && last.number == l.openSegment
	l.openSegment, l.openBody, l.openVersion = last.number, last.body, version
	var durable []Entry
	for _, p := range l.pending[:commit.entryCount] {
		if p.tracked != nil {
			durable = append(durable, *p.tracked)
		}
		l.pendingBytes -= len(p.raw) + 1
	}
	l.durableCount += commit.entryCount
	l.pending = l.pending[commit.entryCount:]
	return durable
}

// OpenSegmentKey is the key whose value settles an unknown outcome: that of the last segment that
// the transaction in flight writes.
func (l *Log) OpenSegmentKey() string {
	if l.inflight != nil {
		return SegmentKey(l.inflight.lastSegment().number)
	}
	return SegmentKey(l.openSegment)
}

// ReadBack settles an unknown outcome. It is called with the version and the value of
// OpenSegmentKey (version 0: the key does not exist), read after the outcome became unknown; ok is
// false when the key could not be read. It returns the tracked entries that are now durable.
//
// When the transaction is not there, the very same one is sent again: should the first still
// arrive, one of the two fails its conditions, and whichever was applied left the same value.
func (l *Log) ReadBack(now time.Duration, ok bool, version uint64, value json.RawMessage) []Entry {
	commit := l.inflight
	if commit == nil || !l.awaitingReadBack {
		return nil
	}
	l.retryAt = now + readBackDelay
	l.awaitingReadBack = false
	changed := ok && version != 0 && version != l.openVersion
	if changed && segmentHolds(value, commit.lastSegment().body) {
		return l.finishCommit(commit, version)
	}
	return nil
}
