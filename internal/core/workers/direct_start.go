package workers

import "time"

// directStart is a start command that was pushed to the worker, not sent with the answer to a report.
type directStart struct {
	token     uint64 // token that it was sent with; a worker that has seen a higher one refuses it
	confirmed bool   // the worker has acknowledged it, or a report has listed its task
}

// unknownAttempt stands for the attempt of a start that an earlier term may have sent.
const unknownAttempt = 0

// FirstSession is the session in which each incarnation of a worker begins. Until its first answer has reached it,
// a new incarnation carries out a late copy of every direct start that was sent in this session. It refuses those of
// later sessions until it has been without an answer for a whole lease.
const FirstSession = 1

// InFirstSession reports whether the worker's latest report was of its first session.
func (m *Machine) InFirstSession() bool { return m.Session <= FirstSession }

// MayStartLate reports whether a start of a task may still be carried out on the machine, or carried out once
// more, although the task is not there: one was sent directly. Only the machine's deletion rules that out. A
// higher token or a later session does so for the worker that reports it, but a later incarnation of the
// worker counts both from the beginning. So the task must not start on any other machine before the deletion is
// answered. On this machine it may start again: a worker runs at most one attempt of a task.
func (m *Machine) MayStartLate(ref TaskRef) bool { return len(m.directStarts[ref]) > 0 }

// HasUnconfirmedStart reports whether a start of a task was sent directly and nothing has shown yet that it
// arrived.
func (m *Machine) HasUnconfirmedStart(ref TaskRef) bool {
	for _, start := range m.directStarts[ref] {
		if !start.confirmed {
			return true
		}
	}
	return false
}

// RestoreDirectStart records that an earlier term may have sent a start of a task directly.
func (m *Machine) RestoreDirectStart(ref TaskRef) {
	m.startsOf(ref)[unknownAttempt] = &directStart{}
}

// startsOf returns the direct starts of a task, to which the caller may add.
func (m *Machine) startsOf(ref TaskRef) map[uint64]*directStart {
	if m.directStarts == nil {
		m.directStarts = map[TaskRef]map[uint64]*directStart{}
	}
	if m.directStarts[ref] == nil {
		m.directStarts[ref] = map[uint64]*directStart{}
	}
	return m.directStarts[ref]
}

// ForgetDirectStarts drops the direct starts of a job that is over, given by its index.
func (m *Machine) ForgetDirectStarts(job int32) {
	for ref := range m.directStarts {
		if ref.Job == job {
			delete(m.directStarts, ref)
		}
	}
}

// ConfirmDeleted records that the cloud has confirmed the machine's deletion: no start is carried out on it any
// more.
func (m *Machine) ConfirmDeleted() { m.directStarts = nil }

// Dispatch records that the start of a task planned here is pushed to the worker. From then on the task
// counts as placed here until a report at a higher token shows that it is not, since the worker may carry
// out the command late.
func (m *Machine) Dispatch(p *Placement) {
	m.placePlanned(p)
	p.lastReportSeq = m.Seq
	m.startsOf(p.Ref)[p.Attempt] = &directStart{token: m.Token}
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

// directStartOf returns the direct start of a placed task's attempt, or nil if it was not started directly.
func (m *Machine) directStartOf(p *Placement) *directStart { return m.directStarts[p.Ref][p.Attempt] }

// acceptsStart reports whether an attempt was started directly and a worker that has seen no higher token
// than the given one still carries the start out.
func (m *Machine) acceptsStart(ref TaskRef, attempt, token uint64) bool {
	start := m.directStarts[ref][attempt]
	return start != nil && token <= start.token
}

// WasDispatched reports whether a task was placed here by a direct start.
func (m *Machine) WasDispatched(ref TaskRef) bool {
	p := m.Tasks[ref]
	return p != nil && p.PushDispatch && m.directStartOf(p) != nil
}
