package term

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/effects"
)

// unknownEntryShown is the number of bytes of an unknown entry that are logged.
const unknownEntryShown = 80

// LoadedLog holds what a new leader has read from the state service.
type LoadedLog struct {
	First, Last       int                    // numbers of the log's first and last segment
	Entries           []eventlog.Entry       // of all segments, in order
	Sizes             []eventlog.VirtualSize // oldest first
	VirtualSizePieces int                    // upper bound of the number of stored pieces of virtual sizes
}

// Loaded reports whether the log has been replayed. Before that, no jobs are known.
func (t *Term) Loaded() bool { return t.loaded }

// Load replays the whole log. epochRevision is the revision of the leader's epoch key, on
// which all commits of the term are conditional.
func (t *Term) Load(now time.Duration, epochRevision uint64, log LoadedLog) {
	writes := t.Cfg.WriteLimits()
	limits := eventlog.Limits{
		WriteRPS:   writes.WriteRPS,
		ValueBytes: int(writes.ValueKB * 1024),
		TxnOps:     writes.TxnOps,
	}
	t.EventLog = eventlog.NewLog(limits, leadership.EpochKey, epochRevision, log.Last, log.VirtualSizePieces)
	t.firstSegment = max(log.First, 1)
	for _, e := range log.Entries {
		if !t.routeEntry(e, func(c Component) { c.Replay(now, e) }) {
			t.logUnknownEntry(e)
		}
	}
	for _, c := range t.components {
		c.Begin(now)
	}
	t.fairShare.Restore(now, log.Sizes)
	t.loaded = true
	t.NeedsCycle = true
	t.logTermBegun(log)
}

// logTermBegun logs the start of the term, with counts of what the replay restored.
func (t *Term) logTermBegun(log LoadedLog) {
	registered, booting := 0, 0
	for _, m := range t.Inventory.All() {
		if m.Durable {
			registered++
		} else {
			booting++
		}
	}
	t.LogMessage(effects.Info, "term started",
		"epoch", t.Epoch,
		"jobs", t.Estimator.JobCount(),
		"machines", registered,
		"booting", booting,
		"segments", log.Last-log.First+1)
}

// routeEntry calls f for the components that may own an entry: only the named one if the entry
// names its component, else all. It returns false for an entry of unknown kind or component.
func (t *Term) routeEntry(e eventlog.Entry, f func(Component)) bool {
	if e.Component != nil {
		c := t.componentsByName[e.Component.Name]
		if c == nil {
			return false
		}
		f(c)
		return true
	}
	if e.Unknown != nil {
		return false
	}
	for _, c := range t.components {
		f(c)
	}
	return true
}

// logUnknownEntry logs, once in a term, that the log has entries of an unknown kind, or of a
// component that this version does not have or that is disabled.
func (t *Term) logUnknownEntry(e eventlog.Entry) {
	if t.unknownEntryLogged {
		return
	}
	t.unknownEntryLogged = true
	if e.Component != nil {
		t.LogMessage(effects.Warn,
			"event log entries of unknown or disabled component kept unchanged",
			"duty", e.Component.Name)
		return
	}
	t.LogMessage(effects.Warn,
		"event log entries of unknown kind kept unchanged",
		"first", string(e.Unknown[:min(len(e.Unknown), unknownEntryShown)]))
}
