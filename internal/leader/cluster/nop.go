package cluster

import (
	"time"

	"bitternmoor/internal/core/eventlog"
)

// NopComponent implements every method of term.Component as a no-op. Components embed it
// and override the methods that they need.
type NopComponent struct{}

// Replay ignores the entry.
func (NopComponent) Replay(time.Duration, eventlog.Entry) {}

// Begin does nothing.
func (NopComponent) Begin(time.Duration) {}

// EntryDurable ignores the entry.
func (NopComponent) EntryDurable(time.Duration, bool, eventlog.Entry) {}

// HandleEvent ignores the event.
func (NopComponent) HandleEvent(Event) {}

// Tick does nothing.
func (NopComponent) Tick(time.Duration, bool) {}

// AfterCycle does nothing.
func (NopComponent) AfterCycle(time.Duration, bool) {}

// AppendEntries appends no entries.
func (NopComponent) AppendEntries(time.Duration) {}

// LiveBytes returns 0.
func (NopComponent) LiveBytes() int { return 0 }

// Compact appends no entries.
func (NopComponent) Compact(time.Duration, eventlog.Entry) {}

// CompactionDone does nothing.
func (NopComponent) CompactionDone() {}
