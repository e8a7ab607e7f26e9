package workers

import "time"

// TokenUrgency is how urgently a machine needs a higher fencing token.
type TokenUrgency uint8

// Urgencies, in ascending order.
const (
	TokenNotNeeded  TokenUrgency = iota
	TokenEventually              // ended attempts cannot be reaped until it has one
	TokenNow                     // a task, or the machine itself, waits for it
)

// Shortest intervals between two tokens issued to one machine, by urgency. They exist because a worker
// does not report every higher token at once, and because the number of tokens of a term is limited.
const (
	urgentTokenInterval   = 2 * time.Second
	eventualTokenInterval = 60 * time.Second
)

// HighestTokenSeen returns the highest token that the machine has reported.
func (m *Machine) HighestTokenSeen() uint64 { return m.highestTokenSeen }

// TakeTokenRequest reports whether a higher token should be issued to the machine now. If it returns true, it
// assumes that the caller issues one, and returns false until a higher token is needed again.
func (m *Machine) TakeTokenRequest(now time.Duration) bool {
	if m.tokenUrgency == TokenNotNeeded {
		return false
	}
	interval := eventualTokenInterval
	if m.tokenUrgency == TokenNow {
		interval = urgentTokenInterval
	}
	if m.tokenRequestedAt > 0 && now-m.tokenRequestedAt < interval {
		return false
	}
	m.tokenUrgency, m.tokenRequestedAt = TokenNotNeeded, now
	if m.SuspectBelow > 0 && m.tokenIssuedAt == 0 {
		m.tokenIssuedAt = now
	}
	return true
}

// suspect makes the machine suspect: it gets no new work until it has reported a token above the given one.
// It gets such a token with the answer to its next report.
func (m *Machine) suspect(token uint64) {
	if m.SuspectBelow == 0 {
		m.tokenIssuedAt = 0
	}
	m.SuspectBelow, m.tokenUrgency = max(m.SuspectBelow, token), TokenNow
	m.Lapsing = false
}

// CheckRestart is called for a report that is older than one that was applied. A worker that has no token
// although the machine has reported one has restarted, unless the report is a copy of the machine's first one.
// The machine becomes suspect, so that the worker gets a token that no earlier incarnation had.
func (m *Machine) CheckRestart(r *Report) {
	if r.Token == 0 && m.highestTokenSeen > 0 && m.SuspectBelow == 0 {
		m.suspect(m.Token)
	}
}

// CheckStale is called for a report that is older than one that was applied. The machine becomes suspect,
// as it may have been restarted, if no newer report has arrived for longer than maxSilence, the longest time
// that a running worker may go without one.
func (m *Machine) CheckStale(now, maxSilence time.Duration) {
	if m.Up && m.SuspectBelow == 0 && now-m.LastHeartbeat > maxSilence {
		m.suspect(m.Token)
	}
}

// Unreachable reports whether a suspect machine has sent a report since a higher token was issued to it,
// and has not reported that token for longer than limit. Time in which no token could be issued, as in an
// outage, does not count.
func (m *Machine) Unreachable(now, limit time.Duration) bool {
	tokenIssued := m.SuspectBelow > 0 && m.tokenIssuedAt > 0
	return tokenIssued && m.LastHeartbeat > m.tokenIssuedAt && now-m.tokenIssuedAt > limit
}
