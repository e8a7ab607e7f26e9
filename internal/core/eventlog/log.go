// Package eventlog is the only writer of the leader's durable state: a write-ahead log with group
// commit. It keeps small entries in values of the state service (a consensus-backed key-value
// store) and commits many of them with one write.
//
// Layout: keys log/00000001, log/00000002, … hold {"e":[entry,…]}, a segment each. A commit
// rewrites the last of them with entries appended, opening further ones as they fill up. Every
// write is conditional on the epoch key, so that a transaction of an earlier term that comes late
// fails, and on the version of the value it rewrites, so that a late one of this term does too.
//
// Beside the log there are the virtual sizes of jobs (sizes/) and values of components' own
// (own/).
//
// Like all of internal/core the package is a pure state machine without clock, socket or
// goroutine: times are passed in, transactions are returned to the caller, and their outcomes
// come back by CommitResult and ReadBack.
package eventlog

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Prefix is where the keys of the log's segments begin.
const Prefix = "log/"

// Limits are those of the state service.
type Limits struct {
	WriteRPS   float64 // writes a second
	ValueBytes int     // bytes of a value
	TxnOps     int     // writes of a transaction
}

const (
	maxTransactionBytes = 56 << 10 // below the service's 64 KiB, which counts keys and conditions too
	commitRateShare     = 0.9      // share of WriteRPS that commits may use; elections use the rest
	minBurst            = 2        // writes that may be saved up at any rate
	maxWriteDebt        = 2        // writes that sizes and removals may spend ahead
	segmentOverhead     = 64       // bytes of a value that entries leave free
)

// Log is the write side of the log, held by the leader during its term.
type Log struct {
	limits       Limits
	epochKey     string
	epochVersion uint64
	sequence     uint64 // of the last transaction

	// The open segment: the one to which the next commit appends.
	openSegment int    // its number
	openVersion uint64 // its version; 0 while it does not exist
	openBody    []byte // its entries, comma separated, as committed or in flight
	openSealed  bool   // it is larger than what may be written: it stays as it is

	// Entries that are not known to be durable, and the commit that has the first of them.
	pending          []pendingEntry
	pendingBytes     int
	inflight         *inflightCommit
	awaitingReadBack bool
	appendedCount    int // entries so far
	durableCount     int // those of them that are durable

	// The budget of writes, a token bucket.
	writeTokens float64
	refilledAt  time.Duration
	retryAt     time.Duration // no commit before this
	failures    int           // refused in a row

	// Virtual sizes.
	pendingSizes    []Write // pieces of the last list that are not written yet
	storedSizes     int     // pieces that may be stored
	wantedSizes     int     // pieces of the last list
	sizesGeneration int     // counts the lists

	pendingRemovals []string // keys of segments whose live entries have been written anew
}

// pendingEntry is an entry that is not known to be durable.
type pendingEntry struct {
	raw     []byte
	tracked *Entry // to be reported once it is durable; nil: nobody waits for that
	value   *Write // a component's value that goes into the same transaction
}

func (p *pendingEntry) size() int {
	if p.value == nil {
		return len(p.raw)
	}
	return len(p.raw) + len(p.value.Value)
}

// NewLog starts the log of a term after the last segment that was read. sizes is how many pieces
// of virtual sizes were read: those that its own lists do not reach are removed with the first of
// them.
func NewLog(limits Limits, epochKey string, epochVersion uint64, lastSegment, sizes int) *Log {
	return &Log{
		limits:       limits,
		epochKey:     epochKey,
		epochVersion: epochVersion,
		openSegment:  lastSegment + 1,
		writeTokens:  1,
		storedSizes:  sizes,
	}
}

// SegmentKey is the key of a segment.
func SegmentKey(number int) string { return fmt.Sprintf("%s%08d", Prefix, number) }

// SegmentNumber is the number of the segment with a key.
func SegmentNumber(key string) (int, error) { return keyNumber(key, Prefix) }

// keyNumber is the number that follows a prefix in a key.
func keyNumber(key, prefix string) (int, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	if err != nil {
		return 0, fmt.Errorf("event log: key %q: %w", key, err)
	}
	return number, nil
}

// Append queues an entry. Entries become durable in the order in which they were appended.
func (l *Log) Append(e Entry) { l.append(e, nil, nil) }

// AppendTracked queues an entry that CommitResult or ReadBack returns once it is durable.
func (l *Log) AppendTracked(e Entry) { l.append(e, &e, nil) }

// AppendWithValue queues an entry, as AppendTracked does, with a value of a component's own that
// is written by the same transaction. It is the entry that makes this safe: it changes the log, so
// that a late copy of the transaction, which could put an old value back, fails.
//
// It returns false, and queues nothing, if the value is larger than may be written. Should the
// state service refuse the value even so, both are left out, and the entry is never returned
// although DurableCount passes it.
func (l *Log) AppendWithValue(e Entry, key string, value json.RawMessage) bool {
	if len(value) > min(l.segmentCapacity(), maxTransactionBytes/2) {
		return false
	}
	l.append(e, &e, &Write{Key: key, Value: value})
	return true
}

func (l *Log) append(e Entry, tracked *Entry, value *Write) {
	raw, err := e.encode()
	if err != nil {
		panic(fmt.Sprintf("event log: entry not encodable: %v", err)) // no entry holds such a value
	}
	l.pending = append(l.pending, pendingEntry{raw, tracked, value})
	l.pendingBytes += len(raw) + 1
	l.appendedCount++
}

// AppendedCount counts the entries appended so far: an entry is durable once DurableCount has
// reached what AppendedCount gave after it was appended.
func (l *Log) AppendedCount() int { return l.appendedCount }

// DurableCount counts the entries that are durable.
func (l *Log) DurableCount() int { return l.durableCount }

// PendingCount counts the entries that are not known to be durable.
func (l *Log) PendingCount() int { return len(l.pending) }

// Idle says whether no commit is in flight: what is appended now goes with the next one.
func (l *Log) Idle() bool { return l.inflight == nil }

// Fits says whether an entry can be stored at all.
func (l *Log) Fits(e Entry) bool {
	raw, err := e.encode()
	return err == nil && len(raw) <= l.segmentCapacity()
}

// MaxEntryBytes is how large an encoded entry may be.
func (l *Log) MaxEntryBytes() int { return l.segmentCapacity() }

// segmentCapacity is how many bytes of entries a segment may have.
func (l *Log) segmentCapacity() int { return l.limits.ValueBytes - segmentOverhead }

// OpenSegment is the number of the open segment.
func (l *Log) OpenSegment() int { return l.openSegment }

// DropSegment queues the removal of a segment whose live entries are durable elsewhere.
func (l *Log) DropSegment(number int) {
	l.pendingRemovals = append(l.pendingRemovals, SegmentKey(number))
}
