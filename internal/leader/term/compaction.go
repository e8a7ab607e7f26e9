package term

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// The log is compacted from its oldest segment, a few segments at a time: their live entries
// are appended again, and once those are durable the segments are removed. Until then an
// entry may be in the log twice, which replay tolerates. Compacting the oldest segments first
// preserves the order of the entries that concern one job.

const (
	compactionInterval    = 2 * time.Second        // minimum time between compactions
	compactionMinInterval = 700 * time.Millisecond // the same, for a log of three times its allowed length
	compactionBytes       = 8 << 10                // read per compaction, in whole segments
	compactionMaxSegments = 8                      // per compaction: each removal takes one write
	compactionMinSegments = 24                     // a log with at most this many segments is not compacted

	liveFactor = 3 // allowed size of the log, as a multiple of its live bytes
)

// compaction is the state of the log compaction.
type compaction struct {
	firstSegment    int           // number of the log's oldest segment
	compacting      bool          // segments have been requested and are not removed yet
	compactionBegan time.Duration // when the last compaction began

	// compactionEnd is the first segment that the current compaction keeps, or 0 while
	// nothing has been appended. The segments before it are removed once
	// compactionPosition entries of the log are durable.
	compactionEnd      int
	compactionPosition int
}

// requestCompaction requests the oldest segments once the log has grown beyond a multiple of
// its live entries.
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

// compactionDue reports whether to compact a log that exceeds the allowed number of segments
// by excess. Pending entries, for which users wait, take precedence up to a limit: under
// steady load entries are always pending, and the log must not grow without bound.
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

// SegmentsRead handles the segments numbered first to end-1, read back for a compaction. A
// key that is missing was removed before.
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
	// This entry is empty. Once it is durable, so are all entries before it.
	t.EventLog.Append(eventlog.Entry{FinalStates: &eventlog.FinalStates{}})
	t.compactionEnd, t.compactionPosition = end, t.EventLog.AppendedCount()
}

// canCompact reports whether all live entries among these can be appended again. Entries that
// were stored under larger limits may be too large now; they stay in their segments.
func (t *Term) canCompact(entries []eventlog.Entry) bool {
	for _, e := range entries {
		keptWhole := e.Component != nil || e.Unknown != nil
		if keptWhole && !t.EventLog.Fits(e) {
			return false
		}
	}
	return t.Lifecycle.CanCompact(entries)
}

// dropCompactedSegments removes the compacted segments once the copies of their live entries
// are durable.
func (t *Term) dropCompactedSegments() {
	if t.compactionEnd == 0 || t.EventLog.DurableCount() < t.compactionPosition {
		return
	}
	for ; t.firstSegment < t.compactionEnd; t.firstSegment++ {
		t.EventLog.DropSegment(t.firstSegment)
	}
	t.compacting, t.compactionEnd = false, 0
}
