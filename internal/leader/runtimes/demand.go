package runtimes

import (
	"cmp"
	"slices"
	"time"
)

// This file learns how much work arrives at which time of the night from previous nights, so that
// operators see a nightly peak in advance.

// A day is divided into slots of a quarter of an hour in local time. When clocks change, a
// repeated hour counts into the same slots twice, and a skipped hour leaves its slots empty
// for that night.
const (
	slotsPerDay = 96
	slotLength  = 15 * time.Minute
)

// demandNight is the work of one night, in CPU seconds, by the local time at which it was
// accepted.
type demandNight struct {
	day     int32
	holiday bool
	work    [slotsPerDay]float64
}

// demand is the demand of the last nights. A night is closed only once the following night is
// over too, because its last jobs may end that late.
type demand struct {
	nights     []*demandNight // closed nights, ordered by day
	open       []*demandNight
	durableDay int32 // the last durable night
}

// storedDemand is the stored form of a night's demand, without trailing empty slots.
type storedDemand struct {
	Day     int32     `json:"d"`
	Holiday bool      `json:"h,omitempty"`
	Work    []float64 `json:"w"`
}

// addWork adds work, in CPU seconds, to a slot. Work of a closed night is ignored because it
// was already counted.
func (m *demand) addWork(day int32, holiday bool, slot int, work float64) {
	if n := len(m.nights); n > 0 && day <= m.nights[n-1].day {
		return
	}
	if work <= 0 {
		return
	}
	byDay := func(n *demandNight, day int32) int { return cmp.Compare(n.day, day) }
	i, found := slices.BinarySearchFunc(m.open, day, byDay)
	if !found {
		m.open = slices.Insert(m.open, i, &demandNight{day: day, holiday: holiday})
	}
	m.open[i].work[slot] += work
}

// notDurable reports whether a night has demand that is not yet in a durable value.
func (m *demand) notDurable(day int32) bool {
	isDay := func(n *demandNight) bool { return n.day == day }
	known := slices.ContainsFunc(m.open, isDay) || slices.ContainsFunc(m.nights, isDay)
	return day > m.durableDay && known
}

// closeNights closes the nights before yesterday and returns the numbers of the values
// that store them.
func (m *demand) closeNights(today int32) (values []int) {
	for len(m.open) > 0 && m.open[0].day < today-1 {
		m.addNight(m.open[0])
		values = append(values, demandValueNumber(m.open[0].day))
		m.open = m.open[1:]
	}
	return values
}

// demandValueNumber returns the number of the value that stores a night's demand.
func demandValueNumber(day int32) int { return int((day%maxNights + maxNights) % maxNights) }

// addNight adds a closed night and drops the oldest one beyond maxNights.
func (m *demand) addNight(n *demandNight) {
	m.nights = append(m.nights, n)
	if over := len(m.nights) - maxNights; over > 0 {
		m.nights = slices.Delete(m.nights, 0, over)
	}
}

// restore adds a night that was read from a stored value.
func (m *demand) restore(s *storedDemand) {
	n := &demandNight{day: s.Day, holiday: s.Holiday}
	copy(n.work[:], s.Work)
	m.nights = append(m.nights, n)
	slices.SortFunc(m.nights, func(a, b *demandNight) int { return cmp.Compare(a.day, b.day) })
	m.durableDay = max(m.durableDay, s.Day)
}

// stored returns the stored form of the night whose value has this number, or nil if there is none.
func (m *demand) stored(number int) *storedDemand {
	i := slices.IndexFunc(m.nights, func(n *demandNight) bool { return demandValueNumber(n.day) == number })
	if i < 0 {
		return nil
	}
	n := m.nights[i]
	s := &storedDemand{Day: n.day, Holiday: n.holiday}
	used := 0 // number of slots up to the last one with work
	for slot, work := range n.work {
		if work > 0 {
			used = slot + 1
		}
	}
	for _, work := range n.work[:used] {
		s.Work = append(s.Work, roundDigits(work))
	}
	return s
}

// ExpectedDemand is the demand expected in a slot of a quarter of an hour.
type ExpectedDemand struct {
	At       string  `json:"at"`          // local time at which the slot begins
	InS      float64 `json:"in_s"`        // time until the slot begins, in seconds; 0: it has begun
	Nights   int     `json:"nights"`      // number of nights it is learned from
	Work     float64 `json:"work_cpu_s"`  // of the median night, in CPU seconds
	Most     float64 `json:"most_cpu_s"`  // of the heaviest night, in CPU seconds
	CPUs     float64 `json:"cpus"`        // processors that the median night's work keeps busy
	CPUsMost float64 `json:"cpus_most"`   // processors that the heaviest night's work keeps busy
	Now      float64 `json:"cpus_rented"` // processors of the machines that report at present
}

// slotForecast is the work expected in a slot, in CPU seconds.
type slotForecast struct {
	nights          int // number of nights it is learned from
	median, highest float64
}

// expected returns a slot's demand, learned from nights of the same type (holiday or not), or
// from all nights while there are none of that type.
func (m *demand) expected(holiday bool, slot int) slotForecast {
	var sameType, all []float64
	for _, n := range m.nights {
		all = append(all, n.work[slot])
		if n.holiday == holiday {
			sameType = append(sameType, n.work[slot])
		}
	}
	list := sameType
	if len(list) == 0 {
		list = all
	}
	n := len(list)
	if n == 0 {
		return slotForecast{}
	}
	slices.Sort(list)
	return slotForecast{nights: n, median: (list[(n-1)/2] + list[n/2]) / 2, highest: list[n-1]}
}

// expectedSlots is the number of slots for which the expected demand is shown: twelve hours.
const expectedSlots = 48

// expectedDemand returns the expected demand of the next expectedSlots slots.
func (d *Component) expectedDemand(now time.Duration) []ExpectedDemand {
	out := []ExpectedDemand{}
	rented := d.CPUs()
	slotCPUs := func(work float64) float64 { return roundDigits(work / slotLength.Seconds()) }
	at := d.calendar.StartOfQuarterHour(d.wallClock(now))
	for range expectedSlots {
		f := d.demand.expected(d.calendar.NightAt(at).Holiday, d.calendar.QuarterHourOfDay(at))
		out = append(out, ExpectedDemand{
			At:       d.calendar.LocalTime(at),
			InS:      max(0, at.Sub(d.wallClock(now)).Seconds()),
			Nights:   f.nights,
			Work:     roundDigits(f.median),
			Most:     roundDigits(f.highest),
			CPUs:     slotCPUs(f.median),
			CPUsMost: slotCPUs(f.highest),
			Now:      roundDigits(rented),
		})
		at = at.Add(slotLength)
	}
	return out
}
