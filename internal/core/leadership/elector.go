package leadership

import "time"

// Elector is the leader election state machine of one node.
type Elector struct {
	// SilenceLimit is how long a follower may go without observing a leader before it reads the keys
	// in addition to its watch, since a watch that is cut off reports nothing. 0 disables such reads.
	SilenceLimit time.Duration

	node     string
	leaseTTL time.Duration

	role      Role
	view      View // the keys as last read; heartbeats update Holder and Epoch
	viewKnown bool // the keys were read since the role last changed to follower

	// The current term of this node, or its last one.
	epoch           uint64
	epochVersion    uint64 // version of the epoch key
	leaseID         uint64
	leaseValidUntil time.Duration // no other node can lead before this time
	renewalSentAt   time.Duration // when the last successful renewal, or CreateLease, was sent

	// Pending calls, at most one of each kind.
	sequence     uint64 // of the last request
	readCall     *pendingCall
	watchCall    *pendingCall
	electionCall *pendingCall // CreateLease, then ClaimLeadership
	renewalCall  *pendingCall

	// Earliest times of the next attempts.
	nextReadAt    time.Duration
	nextAttemptAt time.Duration // to stand for election, or to renew the lease

	serviceAnsweredAt time.Duration // when the state service last answered
	history           leaderHistory
}

// pendingCall is a request whose result is awaited.
type pendingCall struct {
	sequence uint64
	sentAt   time.Duration
}

// matches reports whether a result belongs to the call; a nil call matches no result.
func (p *pendingCall) matches(sequence uint64) bool { return p != nil && p.sequence == sequence }

// NewElector returns the elector of a node; leaseTTL is the time to live of the leases that it creates.
func NewElector(node string, leaseTTL time.Duration) *Elector {
	return &Elector{node: node, leaseTTL: leaseTTL}
}

// Role returns the node's role. The lease of a leader may have expired, see LeaseValid.
func (e *Elector) Role() Role { return e.role }

// Epoch returns the epoch of the node's current or last term; 0 means that it has never led.
func (e *Elector) Epoch() uint64 { return e.epoch }

// EpochVersion returns the version of the epoch key on which the term's writes are conditional.
func (e *Elector) EpochVersion() uint64 { return e.epochVersion }

// HighestEpoch returns the highest epoch that the node has led with or observed.
func (e *Elector) HighestEpoch() uint64 { return max(e.epoch, e.view.Epoch) }

// LeaderName returns the name of the current leader as far as this node has observed one in the keys or
// in heartbeats, or an empty string.
func (e *Elector) LeaderName() string {
	if e.role == Leader {
		return e.node
	}
	if e.view.Holder != nil && e.view.Holder.Node != e.node {
		return e.view.Holder.Node
	}
	return ""
}

// Watching reports whether a change of the keys would be noticed at once: they were read and a watch
// is open.
func (e *Elector) Watching() bool { return e.viewKnown && e.watchCall != nil }

// newRequest returns a request with the next sequence number.
func (e *Elector) newRequest(action Action) Request {
	e.sequence++
	return Request{
		Action:   action,
		Sequence: e.sequence,
		LeaseID:  e.leaseID,
		View:     e.view,
		Revision: e.view.Revision,
	}
}

// call returns a request and records it in pending, where its result is awaited.
func (e *Elector) call(sentAt time.Duration, action Action, pending **pendingCall) Request {
	request := e.newRequest(action)
	*pending = &pendingCall{sequence: request.Sequence, sentAt: sentAt}
	return request
}

// finish clears the pending call to which a result belongs and returns when it was sent; ok is false
// if the result belongs to another call or to none.
func finish(pending **pendingCall, sequence uint64) (sentAt time.Duration, ok bool) {
	call := *pending
	if !call.matches(sequence) {
		return 0, false
	}
	*pending = nil
	return call.sentAt, true
}
