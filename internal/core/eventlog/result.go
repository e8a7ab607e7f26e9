package eventlog

import (
	"encoding/json"
	"slices"
	"time"
)

const (
	minValueBytes     = 512                    // lower bound when ValueBytes is reduced
	minTransactionOps = 2                      // lower bound when TxnOps is reduced
	refusalDelay      = 60 * time.Millisecond  // delay before the next attempt, per refusal in a row
	maxRefusalDelays  = 8                      // maximum number of refusals that count for the delay
	readBackDelay     = 100 * time.Millisecond // delay before the next attempt after a read-back
)

// CommitStep is what the caller must do after a result.
type CommitStep uint8

// Steps after a result.
const (
	Continue       CommitStep = iota // no action is needed
	ReadBackNeeded                   // read the key of Log.OpenSegmentKey and pass its value to Log.ReadBack
	TermLost                         // the term must end
)

// CommitResult handles the outcome of the transaction in flight: version is the revision of the change,
// and failedKeys are the keys whose conditions were not met. It returns the tracked entries that are
// now durable.
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
		return nil, l.handleConflict(commit, failedKeys)
	case Unknown:
		return nil, l.handleUnknown(commit)
	case Invalid:
		return nil, l.handleInvalid(commit)
	default:
		return nil, l.handleRefused(now, commit)
	}
}

// handleConflict handles an outcome in which a condition was not met. This is expected only if an
// earlier attempt may have been executed; otherwise, or if the epoch key has changed, the term is lost.
func (l *Log) handleConflict(commit *inflightCommit, failedKeys []string) CommitStep {
	if slices.Contains(failedKeys, l.epochKey) {
		return TermLost
	}
	if !commit.maybeExecuted {
		return TermLost // another writer changed the log
	}
	l.awaitingReadBack = true
	return ReadBackNeeded
}

// handleUnknown handles an unknown outcome: the transaction may have been executed or may still be.
func (l *Log) handleUnknown(commit *inflightCommit) CommitStep {
	if commit.entryCount == 0 {
		// It contains only sizes and removals of segments: both can be executed twice.
		l.requeue(commit)
		return Continue
	}
	commit.maybeExecuted = true
	l.awaitingReadBack = true
	return ReadBackNeeded
}

// handleInvalid handles a transaction that the service rejects as too large. This should never happen;
// if it does, smaller values are tried in new segments. If an earlier attempt may have been executed, or
// the values cannot get any smaller, the term ends instead: the next one starts from the stored state.
func (l *Log) handleInvalid(commit *inflightCommit) CommitStep {
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

// handleRefused handles a transaction that was not executed: it is retried after an increasing delay.
func (l *Log) handleRefused(now time.Duration, commit *inflightCommit) CommitStep {
	l.failures++
	l.retryAt = now + time.Duration(min(l.failures, maxRefusalDelays))*refusalDelay
	if !commit.maybeExecuted {
		l.requeue(commit)
	}
	return Continue
}

// dropPendingValues drops the pending values, which may now be too large. Their entries are replaced by
// empty ones, because AppendedCount includes them.
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

// requeue undoes the sending of a commit that was not executed or that may be executed twice: its
// entries are still pending, and its sizes and removals become pending again.
func (l *Log) requeue(commit *inflightCommit) {
	l.pendingRemovals = append(l.pendingRemovals, commit.removals...)
	if commit.sizesGeneration == l.sizesGeneration { // otherwise a newer list has replaced them
		l.pendingSizes = append(commit.sizes, l.pendingSizes...)
	}
	l.inflight = nil
}

// finishCommit records that a commit was applied and returns its tracked entries.
func (l *Log) finishCommit(commit *inflightCommit, version uint64) []Entry {
	l.failures = 0
	l.inflight = nil
	if commit.sizesGeneration == l.sizesGeneration && len(commit.sizes) > 0 && len(l.pendingSizes) == 0 {
		l.storedPieces = l.wantedPieces // all pieces beyond these have been removed
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

// OpenSegmentKey returns the key whose value resolves an unknown outcome: that of the last segment that
// the transaction in flight writes.
func (l *Log) OpenSegmentKey() string {
	if l.inflight != nil {
		return SegmentKey(l.inflight.lastSegment().number)
	}
	return SegmentKey(l.openSegment)
}

// ReadBack resolves an unknown outcome. It is called with the version and the value of OpenSegmentKey
// (version 0: the key does not exist), read after the outcome became unknown; ok is false if the key
// could not be read. It returns the tracked entries that are now durable.
//
// If the transaction was not applied, the same one is sent again: if the first copy arrives after all,
// one of the two fails its conditions, and the one that was applied has written the same value.
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
