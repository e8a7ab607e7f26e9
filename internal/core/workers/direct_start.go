package workers

import (
	"time"
)

type attemptKey struct {
	ref Ref
	n   uint64
}

// directStart is a start that was sent straight to the worker.
type directStart struct {
	token     uint64
	confirmed bool // the worker has answered it, or shown its task
}

// Dispatch notes that a task planned here is sent straight to the worker. From now on
// it counts as being here, until a report at a higher token shows that it is not: the
// command may be carried out late.
func (m *Machine) Dispatch(p *Placement) {
	m.placePlanned(p)
	p.lastReportSeq = m.Seq
	if m.directStarts == nil {
		m.directStarts = map[attemptKey]*directStart{}
	}
	m.directStarts[attemptKey{p.Ref, p.Attempt}] = &directStart{token: m.Token}
}

// DispatchResult takes the worker's answer to starts sent straight to it, under a token: its
// report after them, nil if there was none or it does not say that they were carried out.
// Of the report only the tasks that were sent are looked at: it may overtake the answer to
// a report, and what is absent or newer in it proves nothing here.
func (m *Machine) DispatchResult(_ time.Duration, token uint64, refs []Ref, r *Report) {
	m.Dispatching = false
	for _, ref := range refs {
		p := m.Tasks[ref]
		if p == nil || p.Planned || p.Seen {
			continue // a report has shown more meanwhile
		}
		start := m.directStartOf(p)
		if start == nil || start.token != token {
			continue // likewise
		}
		if r == nil || r.Machine != m.Name || r.Session != m.Session || !r.shows(p) {
			m.suspect(token)
			continue
		}
		p.Seen, p.State, p.lastReportSeq = true, Fetching, max(p.lastReportSeq, r.Seq)
		start.confirmed = true
	}
}

// directStartOf is the start of a task that counts as being here, if that was sent straight to
// the worker; nil: it was not.
func (m *Machine) directStartOf(p *Placement) *directStart {
	return m.directStarts[attemptKey{p.Ref, p.Attempt}]
}

// unconfirmedDirectStart says whether a task that counts as being here was sent straight to the worker,
// and nothing has shown that it arrived.
func (m *Machine) unconfirmedDirectStart(p *Placement) bool {
	s := m.directStartOf(p)
	return s != nil && !s.confirmed
}

// mayStartLate says whether an attempt was sent straight to the worker and may still begin, or
// begin once more, when the worker has seen no higher token than this one.
func (m *Machine) mayStartLate(ref Ref, n, token uint64) bool {
	s := m.directStarts[attemptKey{ref, n}]
	return s != nil && token <= s.token
}

// WasDispatched says whether a task that counts as being here was sent straight to the worker.
func (m *Machine) WasDispatched(ref Ref) bool {
	p := m.Tasks[ref]
	return p != nil && m.directStartOf(p) != nil
}
