package leadership

import "time"

const (
	// renewalsPerTTL is how many times a leader renews its lease within the lease's time to live.
	renewalsPerTTL = 5
	// renewRetryDelay is the delay before the next renewal after one that failed, unless the lease has
	// ended.
	renewRetryDelay = retryDelay / 2
	// maxClockDrift is the assumed upper bound of the drift between the leader's clock and that of
	// the state service, as a share of the elapsed time: twice the drift of two stable clocks.
	maxClockDrift = 0.001
	// leaseMargin is subtracted from the lease's validity in addition to the drift.
	leaseMargin = 60 * time.Millisecond
)

// LeaseValid reports whether this node leads and no other node can be leading. The time to live is
// counted from the sending of CreateLease or of the last successful renewal: the state service counts
// it from a later time and never ends a lease early.
func (e *Elector) LeaseValid(now time.Duration) bool {
	return e.role == Leader && now < e.leaseValidUntil
}

// renewalDue reports whether this node leads and must send the next renewal.
func (e *Elector) renewalDue(now time.Duration) bool {
	return e.role == Leader && e.renewalCall == nil &&
		now-e.renewalSentAt >= e.leaseTTL/renewalsPerTTL && now >= e.nextAttemptAt
}

// LeaseRenewed handles the result of RenewLease; gone means that the lease has ended.
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

// extendLease sets the end of the lease's validity: its time to live after the request that created
// or renewed it was sent, less the clock drift and leaseMargin.
func (e *Elector) extendLease(sentAt time.Duration) {
	until := sentAt + time.Duration(float64(e.leaseTTL)*(1-maxClockDrift)) - leaseMargin
	e.leaseValidUntil = max(e.leaseValidUntil, until)
}

// EpochObserved handles the observation of an epoch: a leader of a lower epoch steps down.
func (e *Elector) EpochObserved(now time.Duration, epoch uint64) {
	if epoch > e.epoch && e.role == Leader {
		e.stepDown(now)
	}
}

// Resign gives up leadership so that another node can take over: this node does not stand for
// election for at least the pause.
func (e *Elector) Resign(now, pause time.Duration) []Request {
	if e.role != Leader {
		return nil
	}
	release := e.newRequest(ReleaseLease) // before stepDown, which clears leaseID
	e.stepDown(now)
	e.nextAttemptAt = now + pause
	return []Request{release}
}

// stepDown turns a leader into a follower that reads the keys next.
func (e *Elector) stepDown(now time.Duration) {
	e.role = Follower
	e.history.recordLeader(now, e.epoch)
	e.leaseID, e.renewalCall = 0, nil
	e.view.Holder = nil
	e.leaseValidUntil = 0
	e.viewKnown = false
	e.nextReadAt, e.nextAttemptAt = now, now
}
