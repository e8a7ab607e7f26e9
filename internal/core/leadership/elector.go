package leadership

import "time"

// Elector is the state machine of one node.
type Elector struct {
	// SilenceLimit is how long a follower may hear nothing of a leader before it asks the state
	// service besides its watch, which says nothing while it is cut off. 0: it never asks.
	SilenceLimit time.Duration

	node     string
	leaseTTL time.Duration

	role      Role
	view      View // the keys as last read
	viewKnown bool // the view was read since the role last changed to follower

	// The own term, or the last one.
	epoch           uint64
	epochVersion    uint64 // version of the epoch key
	leaseID         uint64
	leaseValidUntil time.Duration // until when no other node can lead
	renewalSentAt   time.Duration // of the last renewal that succeeded

	// Calls whose results are awaited, at most one of a kind.
	sequence     uint64 // of the last request
	readCall     *pendingCall
	watchCall    *pendingCall
	electionCall *pendingCall // CreateLease, then ClaimLeadership
	renewalCall  *pendingCall

	// Times before which nothing is tried.
	nextReadAt    time.Duration
	nextAttemptAt time.Duration // to be elected, or to renew the lease

	serviceAnsweredAt time.Duration // when the state service last answered
	history           leaderHistory
}

// pendingCall is a request whose result is awaited.
type pendingCall struct {
	sequence uint64
	sentAt   time.Duration
}

// matches says whether a result belongs to the call; nil awaits none.
func (p *pendingCall) matches(sequence uint64) bool { return p != nil && p.sequence == sequence }

// NewElector makes a node's elector; leaseTTL is the time to live of the leases that it creates.
func NewElector(node string, leaseTTL time.Duration) *Elector {
	return &Elector{node: node, leaseTTL: leaseTTL}
}

// Role is the node's role; a leader's lease need not be valid, see LeaseValid.
func (e *Elector) Role() Role { return e.role }

// Epoch is the epoch of the node's term, or of its last one; 0: it never led.
func (e *Elector) Epoch() uint64 { return e.epoch }

// EpochVersion is the version of the epoch key on which the term's writes are conditional.
func (e *Elector) EpochVersion() uint64 { return e.epochVersion }

// HighestEpoch is the highest epoch that the node knows of.
func (e *Elector) HighestEpoch() uint64 { return max(e.epoch, e.view.Epoch) }

// LeaderName is the node that holds the key as last seen, or empty.
func (e *Elector) LeaderName() string {
	if e.role == Leader {
		return e.node
	}
	if e.view.Holder != nil && e.view.Holder.Node != e.node {
		return e.view.Holder.Node
	}
	return ""
}

// Watching says whether a change of the keys would be noticed at once: they were read, and a watch
// has been open since.
func (e *Elector) Watching() bool { return e.viewKnown && e.watchCall != nil }

// newRequest makes a request with the next sequence number.
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

// call makes a request whose result is awaited as the given call.
func (e *Elector) call(sentAt time.Duration, action Action, pending **pendingCall) Request {
	request := e.newRequest(action)
	*pending = &pendingCall{sequence: request.Sequence, sentAt: sentAt}
	return request
}

// finish ends the call to which a result belongs and gives when it was sent; ok is false where the
// result belongs to another call, or to none.
func finish(pending **pendingCall, sequence uint64) (sentAt time.Duration, ok bool) {
	call := *pending
	if !call.matches(sequence) {
		return 0, false
	}
	*pending = nil
	return call.sentAt, true
}
