package runtimes

import (
	"time"
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
	for _, n := range d.demand.closeNights(today.Day) {
		d.store.push(n)
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
		if m := d.model.histories[k]; m != nil && m.open != nil && m.open.day < d.today.Day {
			m.closeNight()
			d.store.push(d.store.place(k))
		}
	}
	d.closingKinds = d.closingKinds[n:]
}

// nightDurable says whether a kind's summary up to a night is written.
func (d *Component) nightDurable(k Kind, day int32) bool {
	last, ok := d.durableNights[k]
	return ok && last >= day
}

// recordNeeded says whether a fact is not in the values of all that it counts for.
func (d *Component) recordNeeded(f *RunRecord) bool {
	for _, k := range f.Kind.levels() {
		if m := d.model.histories[k]; m != nil && !d.nightDurable(k, f.Day) {
			return true
		}
	}
	return f.Work > 0 && d.demand.notDurable(d.calendar.At(f.accepted()).Day)
}
