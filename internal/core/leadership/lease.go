package leadership

import "time"

const (
	// renewalsPerTTL is how often a leader renews its lease in the lease's time to live.
	renewalsPerTTL = 5
	// renewRetryDelay follows a renewal that failed without the lease being gone.
	renewRetryDelay = retryDelay / 2
	// maxClockDrift bounds how far, as a share of the time, the leader's clock and that of the
	// state service may drift apart: twice what two steady clocks do.
	maxClockDrift = 0.001
	// leaseMargin is taken off the lease's validity besides the drift.
	leaseMargin = 60 * time.Millisecond
)

// LeaseValid says whether no other node can be leading. The time is counted from when the last
// renewal that succeeded was sent: the state service never ends a lease early.
func (e *Elector) LeaseValid(now time.Duration) bool {
	return e.role == Leader && now < e.leaseValidUntil
}

// renewalDue says whether a leader must send the next renewal.
func (e *Elector) renewalDue(now time.Duration) bool {
	return e.role == Leader && e.renewalCall == nil &&
		now-e.renewalSentAt >= e.leaseTTL/renewalsPerTTL && now >= e.nextAttemptAt
}

// LeaseRenewed takes the result of RenewLease; gone means that the lease has ended.
func (e *Elector) LeaseRenewed(now time.Duration, sequence uint64, ok, gone bool) []Request {
	if !e.renewalCall.matches(sequence) || e.role != Leader {
		return nil
	}
	sentAt := e.renewalCall.sentAt
	e.renewalCall = nil
	switch {
	case gone:
		e.stepDown(now)
	case ok:
		e.renewalSentAt = sentAt
		e.extendLease(sentAt)
	default:
		e.nextAttemptAt = now + renewRetryDelay
	}
	return nil
}

// extendLease counts the lease as valid for its time to live after the request that created or
// renewed it was sent, less what the clocks may differ by.
func (e *Elector) extendLease(sentAt time.Duration) {
	until := sentAt + time.Duration(float64(e.leaseTTL)*(1-maxClockDrift)) - leaseMargin
	e.leaseValidUntil = max(e.leaseValidUntil, until)
}

// Superseded takes note that a higher epoch was met: a leader of a lower one steps down.
func (e *Elector) Superseded(now time.Duration, epoch uint64) {
	if epoch > e.epoch && e.role == Leader {
		e.stepDown(now)
	}
}

// Resign gives leadership up and leaves it to the others: this node does not stand for election
// for at least the pause.
func (e *Elector) Resign(now, pause time.Duration) []Request {
	if e.role != Leader {
		return nil
	}
	release := e.newRequest(ReleaseLease) // before stepDown, which forgets the lease
	e.stepDown(now)
	e.nextAttemptAt = now + pause
	return []Request{release}
}

// stepDown makes a leader a follower that reads the keys next.
func (e *Elector) stepDown(now time.Duration) {
	e.role = Follower
	e.history.recordLeader(now, e.epoch)
	e.leaseID, e.renewalCall = 0, nil
	e.view.Holder = nil
	e.leaseValidUntil = 0
	e.viewKnown = false
	e.nextReadAt, e.nextAttemptAt = now, now
}
