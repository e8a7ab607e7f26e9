package eventlog

import (
	"bytes"
	"slices"
	"time"
)

// inflightCommit is a commit whose outcome is awaited or whose transaction must be sent again.
type inflightCommit struct {
	transaction     Transaction
	segments        []segment // the open segment and the ones after it, as the commit leaves them
	entryCount      int       // number of pending entries in it
	sizes           []Write   // pieces of virtual sizes in it
	sizesGeneration int       // the list of sizes to which they belong
	removals        []string  // keys of the segments that it removes
	sent            bool      // the outcome of the last attempt is awaited
	maybeExecuted   bool      // an attempt was not answered
}

// lastSegment returns the last segment that the commit writes.
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

// refillWriteTokens adds the write tokens of the time since the last refill. The bucket holds at most
// the tokens of half a second, or minBurst if that is more.
func (l *Log) refillWriteTokens(now time.Duration) {
	rate := l.limits.WriteRPS * commitRateShare
	l.writeTokens = min(max(minBurst, rate/2), l.writeTokens+(now-l.refilledAt).Seconds()*rate)
	l.refilledAt = now
}

// resendInflight returns the transaction in flight once more, unless its outcome is awaited.
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

// send marks a new commit as in flight and returns its transaction. A commit without writes is dropped.
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

// commitBuilder collects the contents of the next transaction.
type commitBuilder struct {
	log     *Log
	commit  *inflightCommit
	current segment // the segment to which the next entry is appended
	values  []Write // components' values
	bytes   int     // of entries and values so far
	writes  int     // needed by the entries so far
	// leaveOpen means that the open segment is left unchanged: entries go into a new one.
	leaveOpen bool
}

func (l *Log) newCommitBuilder() *commitBuilder {
	// If only one write is available and the pending entries do not fit into the rest of an open
	// segment that is more than half full, a new segment takes more of them.
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

// addEntries adds pending entries in order, as many as fit into one transaction.
func (b *commitBuilder) addEntries() {
	for i := range b.log.pending {
		if !b.addEntry(&b.log.pending[i]) {
			break
		}
	}
	b.commit.segments = append(b.commit.segments, b.current)
}

// addEntry adds an entry, or returns false if this transaction has no room for it.
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

// writesSameValue reports whether the transaction already writes the key of the entry's value: a
// transaction can contain only one write of a key.
func (b *commitBuilder) writesSameValue(entry *pendingEntry) bool {
	return entry.value != nil &&
		slices.ContainsFunc(b.values, func(w Write) bool { return w.Key == entry.value.Key })
}

// needsNewSegment reports whether an entry must go into a new segment instead of the current one.
func (b *commitBuilder) needsNewSegment(entry *pendingEntry) bool {
	full := len(b.current.body) > 0 &&
		len(b.current.body)+1+len(entry.raw) > b.log.segmentCapacity()
	return full || (b.leaveOpen && b.current.number == b.log.openSegment)
}

// writesWith returns the number of writes that the transaction needs including an entry.
func (b *commitBuilder) writesWith(entry *pendingEntry, newSegment bool) int {
	writes := b.writes
	if entry.value != nil {
		writes++
	}
	// The open segment needs no write if it stays unchanged.
	unchanged := b.current.number == b.log.openSegment && len(b.current.body) == len(b.log.openBody)
	if newSegment && !unchanged {
		writes++
	}
	return writes
}

// buildTransaction fills in the transaction's conditions and the writes of the entries.
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
			continue // no entry was added to the open segment
		}
		if i > 0 {
			// A new segment must not exist yet. Without this condition, a late copy of a transaction
			// that left the open segment unchanged would still meet its conditions and overwrite
			// later writes.
			transaction.Conditions = append(transaction.Conditions, Condition{Key: SegmentKey(s.number)})
		}
		transaction.Writes = append(transaction.Writes,
			Write{Key: SegmentKey(s.number), Value: encodeSegment(s.body)})
	}
	transaction.Writes = append(transaction.Writes, b.values...)
}

// hasSpareWrite reports whether one more write may be spent on sizes or removals, which get the writes
// that entries do not use. They may overdraw the budget by maxWriteDebt: under steady load no write is
// ever left over, and without the overdraft the log would never get shorter.
func (b *commitBuilder) hasSpareWrite() bool {
	writes := len(b.commit.transaction.Writes)
	return writes < b.log.limits.TxnOps && float64(writes+1) <= b.log.writeTokens+maxWriteDebt
}

// addSizes adds the pending pieces of virtual sizes for which there is room.
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

// addRemovals adds the pending removals of segments for which there is room.
func (b *commitBuilder) addRemovals() {
	l := b.log
	for len(l.pendingRemovals) > 0 && b.hasSpareWrite() {
		key := l.pendingRemovals[0]
		b.commit.removals = append(b.commit.removals, key)
		b.commit.transaction.Writes = append(b.commit.transaction.Writes, Write{Key: key, Remove: true})
		l.pendingRemovals = l.pendingRemovals[1:]
	}
}
