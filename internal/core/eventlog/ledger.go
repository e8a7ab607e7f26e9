// Package eventlog is the only writer of durable state. It keeps a log of
// small entries in values of the state service and commits many entries with
// one write.
//
// Layout: keys log/00000001, log/00000002, … hold {"e":[entry,…]}. A commit
// rewrites the last of them with entries appended, opening further ones as
// they fill up. Every write is conditional on the epoch key, so that a
// transaction of an earlier term that comes late fails, and on the version
// of the value it rewrites, so that a late one of this term does too.
package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Prefix is where the log's keys begin; SizesPrefix holds the virtual sizes.
const (
	Prefix      = "log/"
	SizesPrefix = "sizes/"
)

// Write is a put (or, without a value, a delete) of a transaction.
type Write struct {
	Key    string
	Value  json.RawMessage
	Remove bool
}

// Condition is a version that a key must have.
type Condition struct {
	Key     string
	Version uint64
}

// Transaction is a transaction to be sent to the state service.
type Transaction struct {
	Sequence   uint64
	Conditions []Condition
	Writes     []Write
}

// Outcome is what became of a transaction.
type Outcome uint8

// Outcomes of a transaction.
const (
	Applied  Outcome = iota // 200
	Conflict                // 409
	Refused                 // 429, 503: not executed
	Unknown                 // no response: may be executed, now or later
	Invalid                 // 400: not executed, and never will be in this form
)

// Limits are those of the state service.
type Limits struct {
	WriteRPS   float64
	ValueBytes int
	TxnOps     int
}

const (
	maxTransactionBytes = 56 << 10 // below the service's 64 KiB, which counts keys and conditions too
	commitRateShare     = 0.9      // share of write_rps that commits may use; elections use the rest
	minValueBytes       = 512      // values are not made smaller than this
	maxWriteDebt        = 2        // changes that sizes and removals may spend ahead
)

// Log is the write side, held by the leader during its term.
type Log struct {
	limits       Limits
	epochKey     string
	epochVersion uint64

	openSegment      int    // number of the open segment
	openVersion      uint64 // its version; 0 while it does not exist
	openBody         []byte // its entries, comma separated, as committed or in flight
	pending          []pendingEntry
	pendingBytes     int // bytes of the pending entries
	inflight         *inflightCommit
	awaitingReadBack bool
	sequence         uint64

	writeTokens float64
	refilledAt  time.Duration
	retryAt     time.Duration // no commit before this
	failures    int
	openSealed  bool // the open segment is larger than what may be written: it stays as it is

	pendingSizes    []Write  // pieces of the last list of virtual sizes that are not written yet
	storedSizes     int      // pieces that may be there
	wantedSizes     int      // pieces of the last list
	sizesGeneration int      // counts the lists
	pendingRemovals []string // segments whose live entries have been written anew

	appendedCount, durableCount int // entries so far, and those of them that are durable
}

type pendingEntry struct {
	raw     []byte
	tracked *Entry // to be told once it is durable; nil: nobody waits for that
	value   *Write // a value of its own that goes into the same transaction
}

func (p *pendingEntry) size() int {
	if p.value == nil {
		return len(p.raw)
	}
	return len(p.raw) + len(p.value.Value)
}

type inflightCommit struct {
	transaction     Transaction
	segments        []segment
	entryCount      int // pending entries in it
	sizes           []Write
	sizesGeneration int // which list of sizes they are of
	removals        []string
	sent            bool
	maybeExecuted   bool // a try of it had no answer
}

type segment struct {
	number int
	body   []byte
}

// NewLog starts the log of a term after the last segment that was read. sizes
// is how many pieces of virtual sizes were found: those that its own lists do
// not reach are removed with the first of them.
func NewLog(lim Limits, epochKey string, epochMark uint64, last, sizes int) *Log {
	return &Log{limits: lim, epochKey: epochKey, epochVersion: epochMark, openSegment: last + 1, writeTokens: 1, storedSizes: sizes}
}

// SegmentKey is the key of a segment.
func SegmentKey(n int) string { return fmt.Sprintf("%s%08d", Prefix, n) }

// SegmentNumber is the number of the segment with a key.
func SegmentNumber(key string) (int, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, Prefix))
	if err != nil {
		return 0, fmt.Errorf("ledger: key %q: %w", key, err)
	}
	return n, nil
}

// Append queues an entry. Entries become durable in the order they were
// appended.
func (l *Log) Append(e Entry) { l.append(e, nil, nil) }

// AppendTracked queues an entry that Result returns once it is durable.
func (l *Log) AppendTracked(e Entry) { l.append(e, &e, nil) }

// AppendWithValue queues an entry, as AppendFact does, with a value of a duty's own that
// is written by the same transaction. It is the entry that makes this safe: it
// changes the log, so that a late copy of the transaction, which could put an old
// value back, fails. False: the value is larger than may be written. Should the
// state service refuse it even so, both are left out, and the entry is never told
// as a fact although Settled passes it.
func (l *Log) AppendWithValue(e Entry, key string, value json.RawMessage) bool {
	if len(value) > min(l.segmentCapacity(), maxTransactionBytes/2) {
		return false
	}
	l.append(e, &e, &Write{Key: key, Value: value})
	return true
}

func (l *Log) append(e Entry, fact *Entry, value *Write) {
	raw, err := e.encode()
	if err != nil {
		panic(fmt.Sprintf("ledger: an entry that cannot be written: %v", err)) // no entry holds such a value
	}
	l.pending = append(l.pending, pendingEntry{raw, fact, value})
	l.pendingBytes += len(raw) + 1
	l.appendedCount++
}

// AppendedCount counts the entries appended so far, and Settled those of them that
// are durable: an entry is once Settled has reached what Appended gave after it.
func (l *Log) AppendedCount() int { return l.appendedCount }

// DurableCount counts the entries that are durable.
func (l *Log) DurableCount() int { return l.durableCount }

// Fits says whether an entry can be stored at all.
func (l *Log) Fits(e Entry) bool {
	raw, err := e.encode()
	return err == nil && len(raw) <= l.segmentCapacity()
}

func (l *Log) segmentCapacity() int { return l.limits.ValueBytes - 64 }

// LastSegment is the number of the open segment.
func (l *Log) LastSegment() int { return l.openSegment }

// DropSegment removes a segment whose live entries are durable elsewhere.
func (l *Log) DropSegment(n int) { l.pendingRemovals = append(l.pendingRemovals, SegmentKey(n)) }

// MaxEntryBytes is how large an entry may be.
func (l *Log) MaxEntryBytes() int { return l.segmentCapacity() }

// Idle says whether nothing is on its way: what is appended now goes with the
// next commit.
func (l *Log) Idle() bool { return l.inflight == nil }

// Pending is the number of entries not known to be durable.
func (l *Log) Pending() int { return len(l.pending) }

// SetVirtualSizes queues the virtual sizes of all jobs, in pieces: each commit takes
// along as many as it has room for, and a newer list replaces what is left of
// one. Jobs should come in a steady order, so that few change their piece:
// until all pieces are written, some are of the list before.
func (l *Log) SetVirtualSizes(all []VirtualSize) {
	l.pendingSizes = nil
	l.sizesGeneration++
	var list []VirtualSize
	used := 16
	n := 0
	flush := func() {
		raw, err := json.Marshal(VirtualSizes{list})
		if err != nil {
			panic(fmt.Sprintf("ledger: sizes that cannot be written: %v", err))
		}
		l.pendingSizes = append(l.pendingSizes, Write{Key: sizesPieceKey(n), Value: raw})
		n++
		list, used = nil, 16
	}
	for _, s := range all {
		raw, _ := json.Marshal(s)
		if used+len(raw)+1 > l.segmentCapacity() {
			flush()
		}
		used += len(raw) + 1
		list = append(list, s)
	}
	flush()
	l.wantedSizes = n
	for l.storedSizes = max(l.storedSizes, n); n < l.storedSizes; n++ {
		l.pendingSizes = append(l.pendingSizes, Write{Key: sizesPieceKey(n), Remove: true})
	}
}

func sizesPieceKey(n int) string { return fmt.Sprintf("%s%04d", SizesPrefix, n) }

// SizesNumber is the number of the piece of virtual sizes with a key.
func SizesNumber(key string) (int, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, SizesPrefix))
	if err != nil {
		return 0, fmt.Errorf("ledger: key %q: %w", key, err)
	}
	return n, nil
}

// NextTransaction returns the transaction to send now, if any.
func (l *Log) NextTransaction(now time.Duration) *Transaction {
	rate := l.limits.WriteRPS * commitRateShare
	l.writeTokens = min(max(2, rate/2), l.writeTokens+(now-l.refilledAt).Seconds()*rate)
	l.refilledAt = now
	if l.awaitingReadBack || now < l.retryAt || l.writeTokens < 1 {
		return nil
	}
	if f := l.inflight; f != nil {
		if f.sent {
			return nil
		}
		l.sequence++
		f.transaction.Sequence = l.sequence
		f.sent = true
		l.writeTokens -= float64(len(f.transaction.Writes))
		return &f.transaction
	}
	if len(l.pending) == 0 && len(l.pendingSizes) == 0 && len(l.pendingRemovals) == 0 {
		return nil
	}
	f := &inflightCommit{sizesGeneration: l.sizesGeneration}
	cur := segment{l.openSegment, bytes.Clone(l.openBody)}
	total := len(cur.body)
	ops := 1
	// Where a single change can be spent and not all goes into the open segment,
	// a new one takes more than what is left of one that is nearly full.
	fresh := l.openSealed || (l.writeTokens < 2 && len(l.openBody) > l.segmentCapacity()/2 && len(l.openBody)+l.pendingBytes > l.segmentCapacity())
	var values []Write
	for i := range l.pending {
		p := &l.pending[i]
		if total+p.size() > maxTransactionBytes {
			break
		}
		need := ops
		if p.value != nil {
			if slices.ContainsFunc(values, func(o Write) bool { return o.Key == p.value.Key }) {
				break // one change of a key in a transaction
			}
			need++
		}
		full := len(cur.body) > 0 && len(cur.body)+1+len(p.raw) > l.segmentCapacity()
		if full || (fresh && cur.number == l.openSegment) {
			// A segment that stays as it is costs no change.
			if cur.number != l.openSegment || len(cur.body) != len(l.openBody) {
				need++
			}
		}
		if need > ops && (need > l.limits.TxnOps || float64(need) > l.writeTokens) {
			break
		}
		ops = need
		if full || (fresh && cur.number == l.openSegment) {
			f.segments = append(f.segments, cur)
			cur = segment{number: cur.number + 1}
		}
		if p.value != nil {
			values = append(values, *p.value)
		}
		if len(cur.body) > 0 {
			cur.body = append(cur.body, ',')
		}
		cur.body = append(cur.body, p.raw...)
		total += p.size() + 1
		f.entryCount++
	}
	f.segments = append(f.segments, cur)
	l.sequence++
	txn := Transaction{Sequence: l.sequence, Conditions: []Condition{{l.epochKey, l.epochVersion}, {SegmentKey(l.openSegment), l.openVersion}}}
	if f.entryCount > 0 {
		for i, s := range f.segments {
			if i == 0 && len(s.body) == len(l.openBody) {
				continue // the open segment was full: it stays as it is
			}
			if i > 0 {
				// A new segment must not be there yet. Without this a late copy of
				// a transaction that left the open segment as it was would still
				// meet its conditions and undo what was written since.
				txn.Conditions = append(txn.Conditions, Condition{SegmentKey(s.number), 0})
			}
			txn.Writes = append(txn.Writes, Write{Key: SegmentKey(s.number), Value: encodeSegment(s.body)})
		}
		txn.Writes = append(txn.Writes, values...)
	}
	// What entries leave is for sizes and removals. They may run up a small debt:
	// under steady load there is never a change left over, and without one the
	// log would never get shorter.
	spare := func() bool {
		return len(txn.Writes) < l.limits.TxnOps && float64(len(txn.Writes)+1) <= l.writeTokens+maxWriteDebt
	}
	for len(l.pendingSizes) > 0 && spare() && total+len(l.pendingSizes[0].Value) <= maxTransactionBytes {
		total += len(l.pendingSizes[0].Value)
		f.sizes = append(f.sizes, l.pendingSizes[0])
		txn.Writes = append(txn.Writes, l.pendingSizes[0])
		l.pendingSizes = l.pendingSizes[1:]
	}
	for len(l.pendingRemovals) > 0 && spare() {
		f.removals = append(f.removals, l.pendingRemovals[0])
		txn.Writes = append(txn.Writes, Write{Key: l.pendingRemovals[0], Remove: true})
		l.pendingRemovals = l.pendingRemovals[1:]
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	l.writeTokens -= float64(len(txn.Writes))
	f.transaction = txn
	f.sent = true
	l.inflight = f
	return &f.transaction
}

func encodeSegment(body []byte) json.RawMessage {
	out := make([]byte, 0, len(body)+8)
	out = append(out, `{"e":[`...)
	out = append(out, body...)
	return append(out, "]}"...)
}

// CommitStep says what the holder of the log must do after a result.
type CommitStep uint8

// Steps after a result.
const (
	Carry  CommitStep = iota // go on
	Reread                   // read the key of Log.Open back and hand it to ReadBack
	Lost                     // the term is over
)

// CommitResult takes the outcome of the transaction in flight. It returns the facts
// that are now durable. mark is the revision of the change.
func (l *Log) CommitResult(now time.Duration, seq uint64, out Outcome, mark uint64, failed []string) ([]Entry, CommitStep) {
	f := l.inflight
	if f == nil || f.transaction.Sequence != seq {
		return nil, Carry
	}
	f.sent = false
	switch out {
	case Applied:
		return l.finishCommit(f, mark), Carry
	case Conflict:
		for _, k := range failed {
			if k == l.epochKey {
				return nil, Lost
			}
		}
		if !f.maybeExecuted {
			return nil, Lost // somebody else wrote our log
		}
		l.awaitingReadBack = true
		return nil, Reread
	case Unknown:
		if f.entryCount == 0 {
			// Only sizes and segments to remove: both can be done twice.
			l.requeue(f)
			return nil, Carry
		}
		f.maybeExecuted = true
		l.awaitingReadBack = true
		return nil, Reread
	case Invalid:
		// Larger than the service now takes. This must never be met; if it is,
		// smaller values are tried in further segments. What may have been
		// executed already, or is as small as can be, ends the term instead: the
		// next one begins with what is really there.
		if f.maybeExecuted || l.limits.ValueBytes <= minValueBytes {
			return nil, Lost
		}
		l.limits.ValueBytes = max(minValueBytes, l.limits.ValueBytes/2)
		l.limits.TxnOps = max(2, l.limits.TxnOps/2)
		l.openSealed = len(l.openBody) > 0
		l.sizesGeneration++ // the next one comes in smaller pieces
		l.pendingSizes = nil
		l.requeue(f)
		l.dropPendingValues()
		return nil, Carry
	default:
		l.failures++
		l.retryAt = now + time.Duration(min(l.failures, 8))*60*time.Millisecond
		if !f.maybeExecuted {
			l.requeue(f)
		}
		return nil, Carry
	}
}

// dropPendingValues leaves out the values that wait, which may be too large now. Their
// entries become ones that say nothing: entries are counted.
func (l *Log) dropPendingValues() {
	for i := range l.pending {
		if p := &l.pending[i]; p.value != nil {
			l.pendingBytes -= len(p.raw)
			*p = pendingEntry{raw: []byte(`{"f":{}}`)}
			l.pendingBytes += len(p.raw)
		}
	}
}

// requeue takes back a transaction that was not executed, or may be executed a
// second time: its entries are still pending.
func (l *Log) requeue(f *inflightCommit) {
	l.pendingRemovals = append(l.pendingRemovals, f.removals...)
	if f.sizesGeneration == l.sizesGeneration { // otherwise a newer one has come
		l.pendingSizes = append(f.sizes, l.pendingSizes...)
	}
	l.inflight = nil
}

func (l *Log) finishCommit(f *inflightCommit, mark uint64) []Entry {
	l.failures = 0
	l.inflight = nil
	if f.sizesGeneration == l.sizesGeneration && len(f.sizes) > 0 && len(l.pendingSizes) == 0 {
		l.storedSizes = l.wantedSizes // all that was there beyond is removed
	}
	if f.entryCount == 0 {
		return nil
	}
	last := f.segments[len(f.segments)-1]
	l.openSealed = l.openSealed && last.number == l.openSegment
	l.openSegment, l.openBody, l.openVersion = last.number, last.body, mark
	var facts []Entry
	for _, p := range l.pending[:f.entryCount] {
		if p.tracked != nil {
			facts = append(facts, *p.tracked)
		}
		l.pendingBytes -= len(p.raw) + 1
	}
	l.durableCount += f.entryCount
	l.pending = l.pending[f.entryCount:]
	return facts
}

// OpenSegmentKey is the key whose value settles an unknown outcome: the last segment
// that the transaction in flight writes.
func (l *Log) OpenSegmentKey() string {
	if l.inflight != nil {
		return SegmentKey(l.inflight.segments[len(l.inflight.segments)-1].number)
	}
	return SegmentKey(l.openSegment)
}

// ReadBack settles an unknown outcome. It is called with the value of
// Log.Open (mark 0: the key does not exist), read after the outcome became
// unknown. When the transaction is not there, the very same one is sent
// again: should the first still arrive, one of the two fails its conditions,
// and whichever was applied left the same value. read is false when the key
// could not be read.
func (l *Log) ReadBack(now time.Duration, read bool, mark uint64, value json.RawMessage) []Entry {
	f := l.inflight
	if f == nil || !l.awaitingReadBack {
		return nil
	}
	l.retryAt = now + 100*time.Millisecond
	l.awaitingReadBack = false
	if read && mark != 0 && mark != l.openVersion && segmentHolds(value, f.segments[len(f.segments)-1].body) {
		return l.finishCommit(f, mark)
	}
	return nil
}

func segmentHolds(value json.RawMessage, body []byte) bool {
	var got bytes.Buffer
	return json.Compact(&got, value) == nil && bytes.Equal(got.Bytes(), encodeSegment(body))
}
