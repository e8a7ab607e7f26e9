package workers

import "time"

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	ref     TaskRef
	attempt uint64
}

// directStart is a start command that was pushed to the worker, not sent with the answer to a report.
type directStart struct {
	token     uint64 // token that it was sent with; a worker that has seen a higher one refuses it
	confirmed bool   // the worker has acknowledged it, or a report has listed its task
}

// Dispatch records that the start of a task planned here is pushed to the worker. From then on the task
// counts as placed here until a report at a higher token shows that it is not, since the worker may carry
// out the command late.
func (m *Machine) Dispatch(p *Placement) {
	m.placePlanned(p)
	p.lastReportSeq = m.Seq
	if m.directStarts == nil {
		m.directStarts = map[attemptKey]*directStart{}
	}
	m.directStarts[attemptKey{p.Ref, p.Attempt}] = &directStart{token: m.Token}
}

// ApplyDispatchResult applies the worker's answer to direct starts that were sent with the given token. r is the
// worker's report after the starts. It is nil if there was no answer, or none that confirms the starts; the
// machine then becomes suspect. Only the started tasks are read from the report: it may overtake the answer
// to a regular report, so the tasks that it lacks and the newer data in it are ignored.
func (m *Machine) ApplyDispatchResult(_ time.Duration, token uint64, refs []TaskRef, r *Report) {
	m.Dispatching = false
	for _, ref := range refs {
		p := m.Tasks[ref]
		if p == nil || p.Planned || p.Reported {
			continue // superseded by a report that was applied meanwhile
		}
		start := m.directStartOf(p)
		if start == nil || start.token != token {
			continue // superseded as well
		}
		if r == nil || r.Machine != m.Name || r.Session != m.Session || !r.lists(p) {
			m.suspect(token)
			continue
		}
		p.Reported, p.State, p.lastReportSeq = true, Fetching, max(p.lastReportSeq, r.Seq)
		start.confirmed = true
	}
}

// directStartOf returns the direct start of a placed task, or nil if it was not started directly.
func (m *Machine) directStartOf(p *Placement) *directStart {
	return m.directStarts[attemptKey{p.Ref, p.Attempt}]
}

// unconfirmedDirectStart reports whether a placed task was started directly and nothing has shown yet that
// the start arrived.
func (m *Machine) unconfirmedDirectStart(p *Placement) bool {
	s := m.directStartOf(p)
	return s != nil && !s.confirmed
}

// mayStartLate reports whether an attempt was started directly and may still begin, or begin once more, on a
// worker that has seen no higher token than the given one.
func (m *Machine) mayStartLate(ref TaskRef, attempt, token uint64) bool {
	start := m.directStarts[attemptKey{ref, attempt}]
	return start != nil && token <= start.token
}

// WasDispatched reports whether a task was placed here by a direct start.
func (m *Machine) WasDispatched(ref TaskRef) bool {
	p := m.Tasks[ref]
	return p != nil && m.directStartOf(p) != nil
}
