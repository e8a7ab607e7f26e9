package term

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// The log is cleaned from its old end, a few segments at a time: what is still
// live of them is appended anew, and once that is durable they are
// removed. Entries may then be there twice for a while, which replaying them
// bears. Cleaning the oldest first keeps the order of what concerns one job.

const (
	compactionInterval    = 2 * time.Second
	compactionMinInterval = 700 * time.Millisecond // while the log is three times as long as it should be
	compactionBytes       = 8 << 10                // taken at once, in whole segments
	compactionMaxSegments = 8                      // segments at once: each costs a change to remove
	compactionMinSegments = 24                     // not worth cleaning
)

// requestCompaction asks for the oldest segments when the log has grown to a few times
// what is live of it.
func (t *Term) requestCompaction(now time.Duration) {
	if t.compacting || now-t.compactionBegan < compactionMinInterval {
		return
	}
	live := 0
	for _, d := range t.components {
		live += d.LiveBytes()
	}
	value := int(t.Cfg.WriteLimits().ValueKB * 1024)
	most := max(compactionMinSegments, 3*live/value)
	spare := t.EventLog.LastSegment() - t.firstSegment - most
	// What users wait for goes first, but not for ever: under steady load there
	// is always something to write, and the log must not grow without end.
	switch {
	case spare < 0, spare < most/2 && t.EventLog.Pending() > 0, spare < 2*most && now-t.compactionBegan < compactionInterval:
		return
	}
	t.compacting, t.compactionBegan = true, now
	t.Emit(effects.ReadSegments{First: t.firstSegment, Count: min(spare+1, max(1, min(compactionBytes/value, compactionMaxSegments)), t.EventLog.LastSegment()-t.firstSegment)})
}

// SegmentsRead takes the segments numbered first to end-1, read back. A key that is
// missing has been removed already.
func (t *Term) SegmentsRead(now time.Duration, first, end int, read bool, entries []eventlog.Entry) {
	if !t.loaded {
		return
	}
	if !read || first != t.firstSegment || !t.canCompact(entries) {
		t.compacting = false
		return
	}
	for _, e := range entries {
		if !t.routeEntry(e, func(d Component) { d.Compact(now, e) }) {
			t.logUnknownEntry(e)
			t.EventLog.Append(e)
		}
	}
	for _, d := range t.components {
		d.CompactionDone()
	}
	// This entry says nothing by itself; when it is durable all before it is.
	t.EventLog.Append(eventlog.Entry{FinalStates: &eventlog.FinalStates{}})
	t.compactionEnd, t.compactionPosition = end, t.EventLog.AppendedCount()
}

// canCompact says whether all that is live of these entries can be written anew.
// What was stored under larger limits may be too large now: it stays where it
// is.
func (t *Term) canCompact(entries []eventlog.Entry) bool {
	for _, e := range entries {
		if (e.Component != nil || e.Unknown != nil) && !t.EventLog.Fits(e) {
			return false
		}
	}
	return t.Users.CanCompact(entries)
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
