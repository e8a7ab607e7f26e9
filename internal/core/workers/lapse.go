package workers

import "time"

// The lease of an empty worker in its first session may be left to lapse: its reports are not answered until the
// lease has expired and the next session has begun. Starts that are sent directly from then on are refused by a new
// incarnation of the worker, which begins in the first session again.

// CanLapse reports whether the worker's lease may be left to lapse: the worker is in its first session, receives the
// leader's answers, and nothing is on the machine, planned there or on its way to it.
func (m *Machine) CanLapse() bool {
	known := m.Durable && m.Up && m.Resolved && m.SuspectBelow == 0
	stays := !m.Draining && !m.Deleting && !m.PreemptionNotice
	empty := len(m.Tasks) == 0 && m.Free == m.Capacity && len(m.OpenOffers) == 0 && len(m.Orphans) == 0 && !m.Dispatching
	return known && stays && empty && m.Session == FirstSession && m.lapseBegan == 0
}

// BeginLapse records that the worker's reports are not answered until its lease has expired.
func (m *Machine) BeginLapse(now time.Duration) { m.Lapsing, m.lapseBegan = true, now }

// EndLapseAfter ends a lapse that has taken longer than limit, since somebody else answers the worker. There is no
// second one in the term.
func (m *Machine) EndLapseAfter(now, limit time.Duration) {
	if m.Lapsing && now-m.lapseBegan > limit {
		m.Lapsing = false
	}
}
