package workers

import (
	"slices"
	"time"
)

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
		s := m.directStartOf(p)
		if s == nil || s.token != token {
			continue // likewise
		}
		if r == nil || r.Machine != m.Name || r.Session != m.Session || !slices.ContainsFunc(r.Tasks, func(t TaskReport) bool {
			return t.Job == p.JobID && t.Task == int(ref.Task) && t.Attempt == p.Attempt
		}) {
			m.suspect(token)
			continue
		}
		p.Seen, p.State, p.lastReportSeq = true, Fetching, max(p.lastReportSeq, r.Seq)
		s.confirmed = true
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

// suspect has the machine get nothing new until it has seen a token above this one, which it
// is given with its next report.
func (m *Machine) suspect(token uint64) {
	if m.SuspectBelow == 0 {
		m.tokenGivenAt = 0
	}
	m.SuspectBelow, m.tokenUrgency = max(m.SuspectBelow, token), TokenNow
}

// CheckStale takes a report that is older than one taken in, though nothing newer has come for
// longer than a worker is silent: the machine may have begun anew.
func (m *Machine) CheckStale(now, silent time.Duration) {
	if m.Up && m.SuspectBelow == 0 && now-m.LastHeartbeat > silent {
		m.suspect(m.Token)
	}
}

// Unreachable says whether the machine has been heard since it was given a higher token for being
// in doubt, and has not shown it for so long. Time in which nobody could give it one, as in
// an outage, does not count.
func (m *Machine) Unreachable(now, limit time.Duration) bool {
	return m.SuspectBelow > 0 && m.tokenGivenAt > 0 && m.LastHeartbeat > m.tokenGivenAt && now-m.tokenGivenAt > limit
}

// HighestTokenSeen is the highest token that the machine has shown.
func (m *Machine) HighestTokenSeen() uint64 { return m.highestTokenSeen }

// NeedsToken says whether the machine should be given a higher token now, and takes it
// that it will be.
func (m *Machine) NeedsToken(now time.Duration) bool {
	pause := eventualTokenInterval
	if m.tokenUrgency == TokenNow {
		pause = urgentTokenInterval
	}
	if m.tokenUrgency == TokenNotNeeded || (m.tokenRequestedAt > 0 && now-m.tokenRequestedAt < pause) {
		return false
	}
	m.tokenUrgency, m.tokenRequestedAt = TokenNotNeeded, now
	if m.SuspectBelow > 0 && m.tokenGivenAt == 0 {
		m.tokenGivenAt = now
	}
	return true
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
