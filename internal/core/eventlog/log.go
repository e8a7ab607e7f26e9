// Package eventlog is the only writer of the leader's durable state: a write-ahead log with group
// commit. It stores small entries in values of the state service (a consensus-backed key-value
// store) and commits many of them with one write.
//
// Layout: each of the keys log/00000001, log/00000002, … holds one segment, {"e":[entry,…]}. A commit
// rewrites the last segment with entries appended and opens new ones when it is full. Every write is
// conditional on the epoch key, so that a late transaction of an earlier term fails, and on the
// version of the value that it rewrites, so that a late transaction of this term fails too.
//
// The virtual sizes of jobs (sizes/) and values of components (own/) are stored outside the log.
//
// Like all of internal/core, the package is a pure state machine without clock, socket or
// goroutine: times are passed in, transactions are returned to the caller, and their outcomes
// are passed to CommitResult and ReadBack.
package eventlog

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Prefix is the prefix of the keys of the log's segments.
const Prefix = "log/"

// Limits are the limits of the state service.
type Limits struct {
	WriteRPS   float64 // writes per second
	ValueBytes int     // bytes per value
	TxnOps     int     // writes per transaction
}

const (
	maxTransactionBytes = 56 << 10 // below the service's limit of 64 KiB, which includes keys and conditions
	commitRateShare     = 0.9      // share of WriteRPS for commits; the rest is left for elections
	minBurst            = 2        // minimum capacity of the write budget in writes, however low the rate
	maxWriteDebt        = 2        // writes by which sizes and removals may overdraw the budget
	segmentOverhead     = 64       // bytes of a value that are not available to entries
)

// Log writes the event log; the leader creates one for each term.
type Log struct {
	limits       Limits
	epochKey     string
	epochVersion uint64
	sequence     uint64 // sequence number of the last transaction

	// The open segment, to which the next commit appends.
	openSegment int    // its number
	openVersion uint64 // its version; 0 while it does not exist
	openBody    []byte // its entries as last committed, comma separated
	openSealed  bool   // it may be too large to be rewritten, so nothing is appended to it

	// Entries that are not known to be durable, and the commit in flight, which contains the first ones.
	pending          []pendingEntry
	pendingBytes     int
	inflight         *inflightCommit
	awaitingReadBack bool
	appendedCount    int // entries appended so far
	durableCount     int // how many of these are durable

	// The write budget, a token bucket.
	writeTokens float64
	refilledAt  time.Duration
	retryAt     time.Duration // no transaction is sent before this
	failures    int           // consecutive refusals

	// Virtual sizes.
	pendingSizes    []Write // pieces of the latest list that are not written yet
	storedPieces    int     // number of pieces that may be stored
	wantedPieces    int     // number of pieces of the latest list
	sizesGeneration int     // incremented with each list

	pendingRemovals []string // keys of segments whose live entries have been rewritten
}

// pendingEntry is an entry that is not known to be durable.
type pendingEntry struct {
	raw     []byte
	tracked *Entry // returned once it is durable; nil: not tracked
	value   *Write // a component's value that is written by the same transaction
}

func (p *pendingEntry) size() int {
	if p.value == nil {
		return len(p.raw)
	}
	return len(p.raw) + len(p.value.Value)
}

// NewLog returns the log of a term, which continues after the last segment that was read. sizePieces is
// the number of pieces of virtual sizes that were read: those that the first list of this term does not
// overwrite are removed when that list is written.
func NewLog(limits Limits, epochKey string, epochVersion uint64, lastSegment, sizePieces int) *Log {
	return &Log{
		limits:       limits,
		epochKey:     epochKey,
		epochVersion: epochVersion,
		openSegment:  lastSegment + 1,
		writeTokens:  1,
		storedPieces: sizePieces,
	}
}

// SegmentKey returns the key of a segment.
func SegmentKey(number int) string { return fmt.Sprintf("%s%08d", Prefix, number) }

// SegmentNumber returns the number of the segment with a key.
func SegmentNumber(key string) (int, error) { return keyNumber(key, Prefix) }

// keyNumber returns the number that follows a prefix in a key.
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

// AppendWithValue queues an entry, as AppendTracked does, together with a component's value that is
// written by the same transaction. The entry makes this safe: it changes the log, so that a late copy of
// the transaction, which could restore an old value, fails.
//
// It returns false and queues nothing if the value is too large. If the state service rejects the
// transaction as invalid all the same, value and entry are dropped: the entry is never returned,
// although DurableCount includes it.
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
		panic(fmt.Sprintf("event log: entry not encodable: %v", err)) // all fields are encodable
	}
	l.pending = append(l.pending, pendingEntry{raw, tracked, value})
	l.pendingBytes += len(raw) + 1
	l.appendedCount++
}

// AppendedCount returns the number of entries appended so far: an entry is durable once DurableCount has
// reached the value that AppendedCount returned right after it was appended.
func (l *Log) AppendedCount() int { return l.appendedCount }

// DurableCount returns the number of entries that are durable.
func (l *Log) DurableCount() int { return l.durableCount }

// PendingCount returns the number of entries that are not known to be durable.
func (l *Log) PendingCount() int { return len(l.pending) }

// Idle reports whether no commit is in flight. If so, the next one includes entries appended now.
func (l *Log) Idle() bool { return l.inflight == nil }

// Fits reports whether an entry is small enough to be stored.
func (l *Log) Fits(e Entry) bool {
	raw, err := e.encode()
	return err == nil && len(raw) <= l.segmentCapacity()
}

// MaxEntryBytes returns the maximum size of an encoded entry.
func (l *Log) MaxEntryBytes() int { return l.segmentCapacity() }

// segmentCapacity returns the maximum number of bytes of entries in a segment.
func (l *Log) segmentCapacity() int { return l.limits.ValueBytes - segmentOverhead }

// OpenSegment returns the number of the open segment: the last one committed or, before the term's first
// commit, the one after the last segment that was read.
func (l *Log) OpenSegment() int { return l.openSegment }

// DropSegment queues the removal of a segment whose live entries are durable elsewhere.
func (l *Log) DropSegment(number int) {
	l.pendingRemovals = append(l.pendingRemovals, SegmentKey(number))
}
