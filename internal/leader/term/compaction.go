package term

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// The log is compacted from its old end, a few segments at a time: what is still live of
// them is appended anew, and once that is durable they are removed. Entries may then be
// in the log twice for a while, which their replay allows for. Compacting the oldest
// segments first keeps the order of the entries that concern one job.

const (
	compactionInterval    = 2 * time.Second        // between two compactions
	compactionMinInterval = 700 * time.Millisecond // while the log is three times as long as it should be
	compactionBytes       = 8 << 10                // read at once, in whole segments
	compactionMaxSegments = 8                      // at once: each costs a change to remove
	compactionMinSegments = 24                     // a log of no more segments is not compacted

	liveFactor = 3 // how many times the live bytes the log may take
)

// compaction is the state of the log compaction.
type compaction struct {
	firstSegment    int           // number of the log's oldest segment
	compacting      bool          // segments have been asked for and are not removed yet
	compactionBegan time.Duration // when the last compaction began

	// compactionEnd is the first segment that stays after the compaction under way; 0:
	// nothing is written yet. compactionPosition is how many entries must be durable
	// before the segments before it are removed.
	compactionEnd      int
	compactionPosition int
}

// requestCompaction asks for the oldest segments when the log has grown to a few times
// what is live of it.
func (t *Term) requestCompaction(now time.Duration) {
	if t.compacting || now-t.compactionBegan < compactionMinInterval {
		return
	}
	live := 0
	for _, c := range t.components {
		live += c.LiveBytes()
	}
	valueBytes := int(t.Cfg.WriteLimits().ValueKB * 1024)
	allowed := max(compactionMinSegments, liveFactor*live/valueBytes)
	excess := t.EventLog.OpenSegment() - t.firstSegment - allowed
	if !t.compactionDue(now, allowed, excess) {
		return
	}
	t.compacting, t.compactionBegan = true, now
	count := max(1, min(compactionBytes/valueBytes, compactionMaxSegments))
	t.Emit(effects.ReadSegments{
		First: t.firstSegment,
		Count: min(excess+1, count, t.EventLog.OpenSegment()-t.firstSegment),
	})
}

// compactionDue says whether to compact a log that may have a number of segments and
// exceeds it by some. What users wait for goes first, but not for ever: under steady load
// there is always something to write, and the log must not grow without end.
func (t *Term) compactionDue(now time.Duration, allowed, excess int) bool {
	switch {
	case excess < 0:
		return false
	case excess < allowed/2 && t.EventLog.PendingCount() > 0:
		return false
	case excess < 2*allowed && now-t.compactionBegan < compactionInterval:
		return false
	}
	return true
}

// SegmentsRead takes the segments numbered first to end-1, read back for a compaction. A
// key that is missing has been removed already.
func (t *Term) SegmentsRead(now time.Duration, first, end int, read bool, entries []eventlog.Entry) {
	if !t.loaded {
		return
	}
	if !read || first != t.firstSegment || !t.canCompact(entries) {
		t.compacting = false
		return
	}
	for _, e := range entries {
		if !t.routeEntry(e, func(c Component) { c.Compact(now, e) }) {
			t.logUnknownEntry(e)
			t.EventLog.Append(e)
		}
	}
	for _, c := range t.components {
		c.CompactionDone()
	}
	// This entry says nothing by itself; when it is durable all before it is.
	t.EventLog.Append(eventlog.Entry{FinalStates: &eventlog.FinalStates{}})
	t.compactionEnd, t.compactionPosition = end, t.EventLog.AppendedCount()
}

// canCompact says whether all that is live of these entries can be written anew. What was
// stored under larger limits may be too large now: it stays where it is.
func (t *Term) canCompact(entries []eventlog.Entry) bool {
	for _, e := range entries {
		keptWhole := e.Component != nil || e.Unknown != nil
		if keptWhole && !t.EventLog.Fits(e) {
			return false
		}
	}
	return t.Lifecycle.CanCompact(entries)
}

// dropCompactedSegments removes the segments whose live entries are durable elsewhere.
func (t *Term) dropCompactedSegments() {
	if t.compactionEnd == 0 || t.EventLog.DurableCount() < t.compactionPosition {
		return
	}
	for ; t.firstSegment < t.compactionEnd; t.firstSegment++ {
		t.EventLog.DropSegment(t.firstSegment)
	}
	t.compacting, t.compactionEnd = false, 0
}
