package runtimes

import (
	"cmp"
	"slices"
	"time"
)

// How much work comes at which time of a night, learned from the nights before, so
// that operators see a nightly peak ahead of it.

// The slots of a day are local quarters of an hour. An hour that the clocks repeat counts
// into the same ones, one that they skip leaves them empty, for one night.
const (
	slotsPerDay = 96
	slotLength  = 15 * time.Minute
)

// demandNight is the work, in processor seconds, that came in one night, by the
// local time at which it was accepted.
type demandNight struct {
	day     int32
	holiday bool
	work    [slotsPerDay]float64
}

// demand is the demand of the last nights. A night is closed once the one after it is over
// too: its last jobs may end as late as that.
type demand struct {
	nights     []*demandNight // closed ones, by day
	open       []*demandNight
	durableDay int32 // the last night that is durable
}

// storedDemand is a night's demand as it is written, without its last empty slots.
type storedDemand struct {
	Day     int32     `json:"d"`
	Holiday bool      `json:"h,omitempty"`
	Work    []float64 `json:"w"`
}

// addWork counts work, in processor seconds. That of a night that is closed was counted
// before.
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

// notDurable reports whether a night is known and not in a durable value.
func (m *demand) notDurable(day int32) bool {
	isDay := func(n *demandNight) bool { return n.day == day }
	known := slices.ContainsFunc(m.open, isDay) || slices.ContainsFunc(m.nights, isDay)
	return day > m.durableDay && known
}

// closeNights closes the nights that are long over, and returns the numbers of the values
// that keep them.
func (m *demand) closeNights(today int32) (values []int) {
	for len(m.open) > 0 && m.open[0].day < today-1 {
		m.keepNight(m.open[0])
		values = append(values, demandValueNumber(m.open[0].day))
		m.open = m.open[1:]
	}
	return values
}

// demandValueNumber is the number of the value that keeps a night's demand.
func demandValueNumber(day int32) int { return int((day%maxNights + maxNights) % maxNights) }

// keepNight adds a closed night, in place of the oldest one if there are too many.
func (m *demand) keepNight(n *demandNight) {
	m.nights = append(m.nights, n)
	if over := len(m.nights) - maxNights; over > 0 {
		m.nights = slices.Delete(m.nights, 0, over)
	}
}

// restore takes a night of a value.
func (m *demand) restore(s *storedDemand) {
	n := &demandNight{day: s.Day, holiday: s.Holiday}
	copy(n.work[:], s.Work)
	m.nights = append(m.nights, n)
	slices.SortFunc(m.nights, func(a, b *demandNight) int { return cmp.Compare(a.day, b.day) })
	m.durableDay = max(m.durableDay, s.Day)
}

// stored is the night that a value keeps; nil if there is none.
func (m *demand) stored(number int) *storedDemand {
	i := slices.IndexFunc(m.nights, func(n *demandNight) bool { return demandValueNumber(n.day) == number })
	if i < 0 {
		return nil
	}
	n := m.nights[i]
	s := &storedDemand{Day: n.day, Holiday: n.holiday}
	used := 0 // slots, up to the last one with work
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

// Expected is what is expected to come in a quarter of an hour.
type Expected struct {
	At       string  `json:"at"` // local time at which it begins
	InS      float64 `json:"in_s"`
	Nights   int     `json:"nights"`      // that were learned from
	Work     float64 `json:"work_cpu_s"`  // the median night's, in processor seconds
	Most     float64 `json:"most_cpu_s"`  // the heaviest night's
	CPUs     float64 `json:"cpus"`        // that the median night's work keeps busy
	CPUsMost float64 `json:"cpus_most"`   // and the heaviest night's
	Now      float64 `json:"cpus_rented"` // at present
}

// slotForecast is what is expected of a slot: work in processor seconds.
type slotForecast struct {
	nights       int // that it was learned from
	median, most float64
}

// expected is a slot's demand, learned from nights of the same sort, or from all of them
// while there are none of that.
func (m *demand) expected(holiday bool, slot int) slotForecast {
	var sameSort, all []float64
	for _, n := range m.nights {
		all = append(all, n.work[slot])
		if n.holiday == holiday {
			sameSort = append(sameSort, n.work[slot])
		}
	}
	list := sameSort
	if len(list) == 0 {
		list = all
	}
	n := len(list)
	if n == 0 {
		return slotForecast{}
	}
	slices.Sort(list)
	return slotForecast{nights: n, median: (list[(n-1)/2] + list[n/2]) / 2, most: list[n-1]}
}

// expectedSlots is how far the expected demand is shown: twelve hours.
const expectedSlots = 48

// expectedDemand is what is expected over the next hours.
func (d *Component) expectedDemand(now time.Duration) []Expected {
	out := []Expected{}
	rented := d.CPUs()
	slotCPUs := func(work float64) float64 { return roundDigits(work / slotLength.Seconds()) }
	at := d.calendar.Quarter(d.wallClock(now))
	for range expectedSlots {
		f := d.demand.expected(d.calendar.At(at).Holiday, d.calendar.Slot(at))
		out = append(out, Expected{
			At:       d.calendar.LocalTime(at),
			InS:      max(0, at.Sub(d.wallClock(now)).Seconds()),
			Nights:   f.nights,
			Work:     roundDigits(f.median),
			Most:     roundDigits(f.most),
			CPUs:     slotCPUs(f.median),
			CPUsMost: slotCPUs(f.most),
			Now:      roundDigits(rented),
		})
		at = at.Add(slotLength)
	}
	return out
}
