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

// closeNights ends nights that are long over, and gives the values they are kept in.
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

func (m *demand) keepNight(n *demandNight) {
	m.nights = append(m.nights, n)
	if over := len(m.nights) - maxNights; over > 0 {
		m.nights = slices.Delete(m.nights, 0, over)
	}
}

func (m *demand) restore(s *storedDemand) {
	n := &demandNight{day: s.Day, holiday: s.Holiday}
	copy(n.work[:], s.Work)
	m.nights = append(m.nights, n)
	slices.SortFunc(m.nights, func(a, b *demandNight) int { return cmp.Compare(a.day, b.day) })
	m.durableDay = max(m.durableDay, s.Day)
}

// stored is the night that a value keeps; nil if there is none.
func (m *demand) stored(value int) *storedDemand {
	for _, n := range m.nights {
		if demandValueNumber(n.day) != value {
			continue
		}
		s := &storedDemand{Day: n.day, Holiday: n.holiday}
		last := 0
		for i, w := range n.work {
			if w > 0 {
				last = i + 1
			}
		}
		for _, w := range n.work[:last] {
			s.Work = append(s.Work, roundDigits(w))
		}
		return s
	}
	return nil
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

// expected is a slot's demand, learned from nights of the same sort, or from all of
// them while there are none of that.
func (m *demand) expected(holiday bool, slot int) (nights int, median, most float64) {
	var list, all []float64
	for _, n := range m.nights {
		all = append(all, n.work[slot])
		if n.holiday == holiday {
			list = append(list, n.work[slot])
		}
	}
	if len(list) == 0 {
		list = all
	}
	if len(list) == 0 {
		return 0, 0, 0
	}
	slices.Sort(list)
	n := len(list)
	return n, (list[(n-1)/2] + list[n/2]) / 2, list[n-1]
}

// expectedDemand is what is expected over the next hours.
func (d *Component) expectedDemand(now time.Duration) []Expected {
	out := []Expected{}
	rented := d.CPUs()
	at := d.calendar.Quarter(d.wallClock(now))
	for range expectedSlots {
		night := d.calendar.At(at)
		n, median, most := d.demand.expected(night.Holiday, d.calendar.Slot(at))
		out = append(out, Expected{At: d.calendar.Clock(at), InS: max(0, at.Sub(d.wallClock(now)).Seconds()), Nights: n, Work: roundDigits(median), Most: roundDigits(most),
			CPUs: roundDigits(median / slotLength.Seconds()), CPUsMost: roundDigits(most / slotLength.Seconds()), Now: roundDigits(rented)})
		at = at.Add(slotLength)
	}
	return out
}

// aheadSlots is how far the expected demand is shown: twelve hours.
const expectedSlots = 48
