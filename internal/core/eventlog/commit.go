package eventlog

import (
	"bytes"
	"slices"
	"time"
)

// inflightCommit is a transaction whose outcome is awaited, or that is to be sent again.
type inflightCommit struct {
	transaction     Transaction
	segments        []segment // the open segment and those that follow it, as the commit leaves them
	entryCount      int       // pending entries in it
	sizes           []Write   // pieces of virtual sizes in it
	sizesGeneration int       // which list of sizes they are of
	removals        []string  // keys of segments that it removes
	sent            bool      // the outcome of the last attempt is awaited
	maybeExecuted   bool      // an attempt had no answer
}

// lastSegment is the last segment that the commit writes.
func (c *inflightCommit) lastSegment() segment { return c.segments[len(c.segments)-1] }

// NextTransaction returns the transaction to send now, if any.
func (l *Log) NextTransaction(now time.Duration) *Transaction {
	l.refillWriteTokens(now)
	if l.awaitingReadBack || now < l.retryAt || l.writeTokens < 1 {
		return nil
	}
	if l.inflight != nil {
		return l.resendInflight()
	}
	if len(l.pending) == 0 && len(l.pendingSizes) == 0 && len(l.pendingRemovals) == 0 {
		return nil
	}
	builder := l.newCommitBuilder()
	builder.addEntries()
	builder.buildTransaction()
	builder.addSizes()
	builder.addRemovals()
	return l.send(builder.commit)
}

// refillWriteTokens adds what the rate has given since the last refill. At most half a second's
// worth is saved up.
func (l *Log) refillWriteTokens(now time.Duration) {
	rate := l.limits.WriteRPS * commitRateShare
	l.writeTokens = min(max(minBurst, rate/2), l.writeTokens+(now-l.refilledAt).Seconds()*rate)
	l.refilledAt = now
}

// resendInflight gives the commit in flight again, unless an outcome is awaited.
func (l *Log) resendInflight() *Transaction {
	commit := l.inflight
	if commit.sent {
		return nil
	}
	l.sequence++
	commit.transaction.Sequence = l.sequence
	commit.sent = true
	l.writeTokens -= float64(len(commit.transaction.Writes))
	return &commit.transaction
}

// send puts a new commit in flight; one that would write nothing is dropped.
func (l *Log) send(commit *inflightCommit) *Transaction {
	writes := len(commit.transaction.Writes)
	if writes == 0 {
		return nil
	}
	l.writeTokens -= float64(writes)
	commit.sent = true
	l.inflight = commit
	return &commit.transaction
}

// commitBuilder gathers what the next transaction takes along.
type commitBuilder struct {
	log     *Log
	commit  *inflightCommit
	current segment // the segment to which the next entry goes
	values  []Write // components' values
	bytes   int     // of entries and values so far
	writes  int     // that the entries so far need
	// leaveOpen says that the open segment stays as it is: entries go into a new one.
	leaveOpen bool
}

func (l *Log) newCommitBuilder() *commitBuilder {
	// Where a single write can be spent and not all goes into the open segment, a new one takes
	// more than what is left of one that is nearly full.
	nearlyFull := len(l.openBody) > l.segmentCapacity()/2 &&
		len(l.openBody)+l.pendingBytes > l.segmentCapacity()
	return &commitBuilder{
		log:       l,
		commit:    &inflightCommit{sizesGeneration: l.sizesGeneration},
		current:   segment{number: l.openSegment, body: bytes.Clone(l.openBody)},
		bytes:     len(l.openBody),
		writes:    1,
		leaveOpen: l.openSealed || (l.writeTokens < 2 && nearlyFull),
	}
}

// addEntries takes as many pending entries, from the first, as one transaction can have.
func (b *commitBuilder) addEntries() {
	for i := range b.log.pending {
		if !b.addEntry(&b.log.pending[i]) {
			break
		}
	}
	b.commit.segments = append(b.commit.segments, b.current)
}

// addEntry takes an entry along, or returns false if this transaction has no room for it.
func (b *commitBuilder) addEntry(entry *pendingEntry) bool {
	if b.bytes+entry.size() > maxTransactionBytes || b.writesSameValue(entry) {
		return false
	}
	newSegment := b.needsNewSegment(entry)
	writes := b.writesWith(entry, newSegment)
	if writes > b.writes && (writes > b.log.limits.TxnOps || float64(writes) > b.log.writeTokens) {
		return false
	}
	b.writes = writes
	if newSegment {
		b.commit.segments = append(b.commit.segments, b.current)
		b.current = segment{number: b.current.number + 1}
	}
	if entry.value != nil {
		b.values = append(b.values, *entry.value)
	}
	b.current.append(entry.raw)
	b.bytes += entry.size() + 1
	b.commit.entryCount++
	return true
}

// writesSameValue says whether the transaction writes the entry's value already: it can have one
// write of a key.
func (b *commitBuilder) writesSameValue(entry *pendingEntry) bool {
	return entry.value != nil &&
		slices.ContainsFunc(b.values, func(w Write) bool { return w.Key == entry.value.Key })
}

// needsNewSegment says whether an entry does not go into the current segment.
func (b *commitBuilder) needsNewSegment(entry *pendingEntry) bool {
	full := len(b.current.body) > 0 &&
		len(b.current.body)+1+len(entry.raw) > b.log.segmentCapacity()
	return full || (b.leaveOpen && b.current.number == b.log.openSegment)
}

// writesWith counts the writes that the transaction needs with an entry.
func (b *commitBuilder) writesWith(entry *pendingEntry, newSegment bool) int {
	writes := b.writes
	if entry.value != nil {
		writes++
	}
	// The open segment costs no write if it stays as it is.
	unchanged := b.current.number == b.log.openSegment && len(b.current.body) == len(b.log.openBody)
	if newSegment && !unchanged {
		writes++
	}
	return writes
}

// buildTransaction begins the transaction with its conditions and with the entries' writes.
func (b *commitBuilder) buildTransaction() {
	l := b.log
	l.sequence++
	transaction := &b.commit.transaction
	transaction.Sequence = l.sequence
	transaction.Conditions = []Condition{
		{Key: l.epochKey, Version: l.epochVersion},
		{Key: SegmentKey(l.openSegment), Version: l.openVersion},
	}
	if b.commit.entryCount == 0 {
		return
	}
	for i, s := range b.commit.segments {
		if i == 0 && len(s.body) == len(l.openBody) {
			continue // the open segment was full: it stays as it is
		}
		if i > 0 {
			// A new segment must not exist yet. Without this a late copy of a transaction that left
			// the open segment as it was would still meet its conditions and undo what was written
			// since.
			transaction.Conditions = append(transaction.Conditions, Condition{Key: SegmentKey(s.number)})
		}
		transaction.Writes = append(transaction.Writes,
			Write{Key: SegmentKey(s.number), Value: encodeSegment(s.body)})
	}
	transaction.Writes = append(transaction.Writes, b.values...)
}

// hasSpareWrite says whether one more write may be spent on sizes or removals, which get what
// entries leave. They may run up a small debt: under steady load there is never a write left over,
// and without one the log would never get shorter.
func (b *commitBuilder) hasSpareWrite() bool {
	writes := len(b.commit.transaction.Writes)
	return writes < b.log.limits.TxnOps && float64(writes+1) <= b.log.writeTokens+maxWriteDebt
}

// addSizes takes along the pieces of virtual sizes for which there is room.
func (b *commitBuilder) addSizes() {
	l := b.log
	for len(l.pendingSizes) > 0 && b.hasSpareWrite() {
		piece := l.pendingSizes[0]
		if b.bytes+len(piece.Value) > maxTransactionBytes {
			return
		}
		b.bytes += len(piece.Value)
		b.commit.sizes = append(b.commit.sizes, piece)
		b.commit.transaction.Writes = append(b.commit.transaction.Writes, piece)
		l.pendingSizes = l.pendingSizes[1:]
	}
}

// addRemovals takes along the removals of segments for which there is room.
func (b *commitBuilder) addRemovals() {
	l := b.log
	for len(l.pendingRemovals) > 0 && b.hasSpareWrite() {
		key := l.pendingRemovals[0]
		b.commit.removals = append(b.commit.removals, key)
		b.commit.transaction.Writes = append(b.commit.transaction.Writes, Write{Key: key, Remove: true})
		l.pendingRemovals = l.pendingRemovals[1:]
	}
}
