package cluster

import (
	"time"

	"bitternmoor/internal/core/eventlog"
)

// NopComponent has a method that does nothing for each method of term.Component. A
// component embeds it and has methods of its own for those that concern it.
type NopComponent struct{}

// Replay takes nothing from the log.
func (NopComponent) Replay(time.Duration, eventlog.Entry) {}

// Begin has nothing to restore.
func (NopComponent) Begin(time.Duration) {}

// EntryDurable waits for no entry.
func (NopComponent) EntryDurable(time.Duration, bool, eventlog.Entry) {}

// HandleEvent ignores what happens.
func (NopComponent) HandleEvent(Event) {}

// Tick has nothing due before a scheduling cycle.
func (NopComponent) Tick(time.Duration, bool) {}

// AfterCycle has nothing due after a scheduling cycle.
func (NopComponent) AfterCycle(time.Duration, bool) {}

// AppendEntries has gathered nothing for the log.
func (NopComponent) AppendEntries(time.Duration) {}

// LiveBytes is nothing.
func (NopComponent) LiveBytes() int { return 0 }

// Compact keeps nothing.
func (NopComponent) Compact(time.Duration, eventlog.Entry) {}

// CompactionDone has nothing left to write.
func (NopComponent) CompactionDone() {}
