package workers

import "time"

// TokenUrgency says how much a higher token is wanted on a machine.
type TokenUrgency uint8

// Not at all; for ended attempts that are only to be reaped; for a task that waits for it.
const (
	TokenNotNeeded TokenUrgency = iota
	TokenEventually
	TokenNow
)

// Pauses between two tokens given to one machine: a worker reports a higher one at once
// only now and then, and tokens of a term are bounded.
const (
	urgentTokenInterval   = 2 * time.Second
	eventualTokenInterval = 60 * time.Second
)

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
