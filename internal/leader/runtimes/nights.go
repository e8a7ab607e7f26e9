package runtimes

import "time"

const (
	countedRunDays        = 2  // how long the ids of counted jobs are kept
	keepForgottenDays     = 3  // how long compaction keeps the entry of a forgotten kind
	maxKindsClosedPerTick = 16 // maximum number of kinds whose night is closed in one tick
)

// wallClock converts the leader's clock to wall clock time.
func (d *Component) wallClock(now time.Duration) time.Time {
	return time.UnixMilli(d.ClockOriginUnixMS + now.Milliseconds())
}

// startNight sets the current night. When it changes, earlier nights of all kinds are queued for closing
// and data that is no longer needed is dropped.
func (d *Component) startNight(now time.Duration) {
	today := d.calendar.NightAt(d.wallClock(now))
	if today == d.today {
		return
	}
	d.today = today
	for id, day := range d.countedRuns {
		if day < today.Day-countedRunDays {
			delete(d.countedRuns, id)
		}
	}
	d.closingKinds = append(d.closingKinds, d.model.takeKindsOpenBefore(today.Day)...)
	for _, number := range d.demand.closeNights(today.Day) {
		d.store.markDirty(number)
	}
	for name := range d.machineSpeeds {
		if d.Inventory.Find(name) == nil {
			delete(d.machineSpeeds, name)
		}
	}
}

// closeNights closes the ended night of up to maxKindsClosedPerTick kinds.
func (d *Component) closeNights() {
	n := min(maxKindsClosedPerTick, len(d.closingKinds))
	for _, k := range d.closingKinds[:n] {
		h := d.model.histories[k]
		if h != nil && h.open != nil && h.open.day < d.today.Day {
			h.closeNight()
			d.store.markDirty(d.store.assign(k))
		}
	}
	d.closingKinds = d.closingKinds[n:]
}

// nightDurable reports whether a kind's history up to and including a night is durable.
func (d *Component) nightDurable(k Kind, day int32) bool {
	last, ok := d.durableNights[k]
	return ok && last >= day
}

// recordNeeded reports whether a record is still missing from a durable value that it counts for.
func (d *Component) recordNeeded(r *RunRecord) bool {
	for _, k := range r.Kind.levels() {
		if d.model.histories[k] != nil && !d.nightDurable(k, r.Day) {
			return true
		}
	}
	return r.Work > 0 && d.demand.notDurable(d.calendar.NightAt(r.accepted()).Day)
}

// forgottenNeeded reports whether the entry of a forgotten kind is still needed, because the log may
// hold records of the kind or a value may still contain it.
func (d *Component) forgottenNeeded(f *storedForgotten) bool {
	if !d.historyReader.Done || d.calendar.NightAt(time.Unix(f.At, 0)).Day >= d.today.Day-keepForgottenDays {
		return true
	}
	number, ok := d.store.valueOf[kindOf(f.Kind, f.Holiday)]
	return ok && d.store.isDirty[number]
}
