package runtimes

import "time"

const (
	countedRunDays        = 2  // for how long the ids of counted jobs are remembered
	keepForgottenDays     = 3  // for how long it is logged that a kind was forgotten
	maxKindsClosedPerTick = 16 // kinds whose night is closed in one tick
)

// wallClock is the time of day.
func (d *Component) wallClock(now time.Duration) time.Time {
	return time.UnixMilli(d.ClockZeroMS + now.Milliseconds())
}

// startNight notes which night it is. Those before it are closed for all kinds.
func (d *Component) startNight(now time.Duration) {
	today := d.calendar.At(d.wallClock(now))
	if today == d.today {
		return
	}
	d.today = today
	for id, day := range d.countedRuns {
		if day < today.Day-countedRunDays {
			delete(d.countedRuns, id)
		}
	}
	d.closingKinds = append(d.closingKinds, d.model.kindsEndedBefore(today.Day)...)
	for _, number := range d.demand.closeNights(today.Day) {
		d.store.markDirty(number)
	}
	for name := range d.machineSpeeds {
		if d.Inventory.Find(name) == nil {
			delete(d.machineSpeeds, name)
		}
	}
}

// closeNights closes the night of some of the kinds for which it is over.
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

// nightDurable reports whether a kind's summary up to a night is durable.
func (d *Component) nightDurable(k Kind, day int32) bool {
	last, ok := d.durableNights[k]
	return ok && last >= day
}

// recordNeeded reports whether a record is not in the values of all that it counts for.
func (d *Component) recordNeeded(r *RunRecord) bool {
	for _, k := range r.Kind.levels() {
		if d.model.histories[k] != nil && !d.nightDurable(k, r.Day) {
			return true
		}
	}
	return r.Work > 0 && d.demand.notDurable(d.calendar.At(r.accepted()).Day)
}

// forgottenNeeded reports whether records of a kind that was forgotten may still be in the
// log, or the kind in a value.
func (d *Component) forgottenNeeded(f *storedForgotten) bool {
	if !d.historyReader.Done || d.calendar.At(time.Unix(f.At, 0)).Day >= d.today.Day-keepForgottenDays {
		return true
	}
	number, ok := d.store.valueOf[kindOf(f.Kind, f.Holiday)]
	return ok && d.store.isDirty[number]
}
