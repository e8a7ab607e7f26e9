package workers

import "time"

// TokenUrgency is how urgently a higher fencing token is wanted on a machine.
type TokenUrgency uint8

// Urgencies, in ascending order.
const (
	TokenNotNeeded  TokenUrgency = iota
	TokenEventually              // ended attempts cannot be reaped before
	TokenNow                     // a task, or the machine itself, waits for it
)

// Shortest intervals between two tokens given to one machine, by urgency: a worker reports a higher one at
// once only now and then, and the tokens of a term are bounded.
const (
	urgentTokenInterval   = 2 * time.Second
	eventualTokenInterval = 60 * time.Second
)

// HighestTokenSeen is the highest token that the machine has reported.
func (m *Machine) HighestTokenSeen() uint64 { return m.highestTokenSeen }

// NeedsToken says whether the machine should be given a higher token now. It assumes that the caller then
// gives it one: it answers false until one is wanted again.
func (m *Machine) NeedsToken(now time.Duration) bool {
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
	if m.SuspectBelow > 0 && m.tokenGivenAt == 0 {
		m.tokenGivenAt = now
	}
	return true
}

// suspect makes the machine suspect: it gets nothing new until it has reported a token above this one, which
// is given to it with the answer to its next report.
func (m *Machine) suspect(token uint64) {
	if m.SuspectBelow == 0 {
		m.tokenGivenAt = 0
	}
	m.SuspectBelow, m.tokenUrgency = max(m.SuspectBelow, token), TokenNow
}

// CheckStale is called for a report that is older than one that was applied. If no newer one has come for
// longer than silent, which is how long a worker that is alive may be silent, the machine may have been
// restarted, and becomes suspect.
func (m *Machine) CheckStale(now, silent time.Duration) {
	if m.Up && m.SuspectBelow == 0 && now-m.LastHeartbeat > silent {
		m.suspect(m.Token)
	}
}

// Unreachable says whether a suspect machine was heard after a higher token was given out for it, and has not
// reported that token for longer than limit. Time in which nobody could give it one, as in an outage, does
// not count.
func (m *Machine) Unreachable(now, limit time.Duration) bool {
	given := m.SuspectBelow > 0 && m.tokenGivenAt > 0
	return given && m.LastHeartbeat > m.tokenGivenAt && now-m.tokenGivenAt > limit
}
