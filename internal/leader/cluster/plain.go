package cluster

import (
	"time"

	"bitternmoor/internal/core/eventlog"
)

// Plain does nothing at any of the moments at which a duty may act. A duty
// embeds it and has methods of its own for those that concern it.
type Plain struct{}

// Replay takes nothing from the log.
func (Plain) Replay(time.Duration, eventlog.Entry) {}

// Begin has nothing to settle.
func (Plain) Begin(time.Duration) {}

// Durable waits for no entry.
func (Plain) Durable(time.Duration, bool, eventlog.Entry) {}

// Hear ignores what happens.
func (Plain) Hear(Event) {}

// Tick has nothing due before a pass.
func (Plain) Tick(time.Duration, bool) {}

// Send has nothing due after a pass.
func (Plain) Send(time.Duration, bool) {}

// Write has gathered nothing for the log.
func (Plain) Write(time.Duration) {}

// Live is nothing.
func (Plain) Live() int { return 0 }

// Keep keeps nothing.
func (Plain) Keep(time.Duration, eventlog.Entry) {}

// Kept has nothing left to write.
func (Plain) Kept() {}
