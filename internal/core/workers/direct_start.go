package workers

import "time"

// attemptKey names an attempt of a task.
type attemptKey struct {
	ref     TaskRef
	attempt uint64
}

// directStart is a start that was pushed straight to the worker.
type directStart struct {
	token     uint64 // under which it was sent: a worker that has seen a higher one refuses it
	confirmed bool   // the worker has answered it, or a report has shown its task
}

// Dispatch notes that a task planned here is sent straight to the worker. From now on it counts as being
// placed here, until a report at a higher token shows that it is not: the command may be carried out late.
func (m *Machine) Dispatch(p *Placement) {
	m.placePlanned(p)
	p.lastReportSeq = m.Seq
	if m.directStarts == nil {
		m.directStarts = map[attemptKey]*directStart{}
	}
	m.directStarts[attemptKey{p.Ref, p.Attempt}] = &directStart{token: m.Token}
}

// DispatchResult applies the worker's answer to the direct starts of tasks that were sent under a token. r is
// the worker's report after them; it is nil if there was no answer, or none that says that they were carried
// out, and the machine becomes suspect then. Of the report only the tasks that were sent are looked at: it may
// overtake the answer to a regular report, and what is absent or newer in it proves nothing here.
func (m *Machine) DispatchResult(_ time.Duration, token uint64, refs []TaskRef, r *Report) {
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

// directStartOf returns the direct start of a placed task; nil if it was not started directly.
func (m *Machine) directStartOf(p *Placement) *directStart {
	return m.directStarts[attemptKey{p.Ref, p.Attempt}]
}

// unconfirmedDirectStart says whether a placed task was started directly, and nothing has shown that the start
// arrived.
func (m *Machine) unconfirmedDirectStart(p *Placement) bool {
	s := m.directStartOf(p)
	return s != nil && !s.confirmed
}

// mayStartLate says whether an attempt was started directly and may still begin, or begin once more, on a
// worker that has seen no higher token than the given one.
func (m *Machine) mayStartLate(ref TaskRef, number, token uint64) bool {
	start := m.directStarts[attemptKey{ref, number}]
	return start != nil && token <= start.token
}

// WasDispatched says whether a task is placed here by a direct start.
func (m *Machine) WasDispatched(ref TaskRef) bool {
	p := m.Tasks[ref]
	return p != nil && m.directStartOf(p) != nil
}
