// Package leadership decides which controller leads, by a key on a hold of
// the state service. Each term has a higher epoch, kept in a second key, and
// every write of a leader is conditional on that key's version.
package leadership

import "time"

// Keys in the state service.
const (
	Prefix    = "lead/"
	HolderKey = "lead/holder"
	EpochKey  = "lead/epoch"
)

// LeaseHolder is the value of both keys.
type LeaseHolder struct {
	Node  string `json:"n"`
	Epoch uint64 `json:"e"`
}

// View is what a read of both keys showed. Marks are 0 where a key is
// missing; Revision is the store's at the time of the read.
type View struct {
	Holder        *LeaseHolder
	Epoch         uint64
	EpochNode     string
	EpochVersion  uint64
	HolderVersion uint64
	Revision      uint64
}

// Action is what the caller must do; its result comes back as an input.
type Action uint8

// Actions.
const (
	ReadKeys        Action = iota // read both keys: Seen
	WatchKeys                     // wait for a change of the keys after Revision: Changed
	CreateLease                   // make a hold: Held
	ClaimLeadership               // put both keys if unchanged: Claimed
	RenewLease                    // renew the hold: Renewed
	ReleaseLease                  // give the hold back; no result
)

// Request is an action with its arguments.
type Request struct {
	Action   Action
	Sequence uint64
	LeaseID  uint64
	View     View
	Revision uint64
}

// Role is what a node is at present.
type Role uint8

// Roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

const (
	retryDelay      = 300 * time.Millisecond
	maxClockDrift   = 0.001 // twice what two steady clocks may drift apart
	leaseMargin     = 60 * time.Millisecond
	watchRetryDelay = 400 * time.Millisecond // a watcher reads anew this long after a change was missed
)

// Elector is the state machine of one node.
type Elector struct {
	node     string
	leaseTTL time.Duration
	// Doubt: a follower that has heard nothing of a leader for so long asks the state
	// service, besides its watch, which says nothing while it is cut off. 0: never.
	SilenceLimit time.Duration

	role            Role
	view            View
	viewKnown       bool // view has been read at least once
	epoch           uint64
	epochVersion    uint64 // version of the epoch key in our term
	leaseID         uint64
	leaseValidUntil time.Duration // until when nobody else can lead
	renewalSentAt   time.Duration

	sequence      uint64
	readCall      *pendingCall
	watchCall     *pendingCall
	electionCall  *pendingCall
	renewalCall   *pendingCall
	nextReadAt    time.Duration
	nextAttemptAt time.Duration

	serviceAnsweredAt time.Duration // when the state service last answered
	leaderSeenAt      time.Duration // when a leader was last heard of, 0: never
	leaderSeenEpoch   uint64        // its epoch
	lastLeader        LeaderRecord  // the leader of that epoch
	priorLeader       LeaderRecord  // and of the one before it
	leaderlessSince   time.Duration // since when nobody has led, as far as this node saw
	leaderless        bool
}

type pendingCall struct {
	sequence uint64
	sentAt   time.Duration
}

// NewElector makes a node's core; life is that of the hold.
func NewElector(node string, life time.Duration) *Elector {
	return &Elector{node: node, leaseTTL: life}
}

// Role is the node's role; a leader may be unsure, see Sure.
func (c *Elector) Role() Role { return c.role }

// Epoch and its key's version in our term.
func (c *Elector) Epoch() uint64 { return c.epoch }

// EpochVersion is the version of the epoch key that our term's writes demand.
func (c *Elector) EpochVersion() uint64 { return c.epochVersion }

// LeaseValid says whether no other node can be leading. The time is counted from
// when the last renewal that succeeded was sent: a hold never ends early.
func (c *Elector) LeaseValid(now time.Duration) bool {
	return c.role == Leader && now < c.leaseValidUntil
}

// LeaderName is the node that holds the key as last seen, or empty.
func (c *Elector) LeaderName() string {
	if c.role == Leader {
		return c.node
	}
	if c.view.Holder != nil && c.view.Holder.Node != c.node {
		return c.view.Holder.Node
	}
	return ""
}

// Watching says whether a change of the keys would be noticed at once: they were
// read, and a watch is open since.
func (c *Elector) Watching() bool { return c.viewKnown && c.watchCall != nil }

// unserved is for how long the state service must not have answered a node that asks it.
const serviceSilenceLimit = 3 * time.Second

// StateServiceAnswers says whether the state service has answered lately. It means something only
// where nothing was heard of a leader for Doubt: until then the node merely watches.
func (c *Elector) StateServiceAnswers(now time.Duration) bool {
	return now-c.serviceAnsweredAt < serviceSilenceLimit
}

// StateServiceAnsweredAt is when it answered last.
func (c *Elector) StateServiceAnsweredAt() time.Duration { return c.serviceAnsweredAt }

// leaderSilent says whether a follower should ask instead of waiting for its watch: nothing was
// heard of the leader for a while, nor of the state service.
func (c *Elector) leaderSilent(now time.Duration) bool {
	return c.SilenceLimit > 0 && c.role == Follower && c.leaderSeenAt > 0 && now-c.leaderSeenAt >= c.SilenceLimit && now-c.serviceAnsweredAt >= serviceSilenceLimit/2
}

// WithoutLeader is when this node last heard of another leader, 0 if it never did, and
// since when it has seen that nobody leads. A new leader asks for it.
func (c *Elector) WithoutLeader() (led, since time.Duration) {
	return c.leaderSeenAt, c.leaderlessSince
}

// recordLeader notes that somebody leads, or led until now.
func (c *Elector) recordLeader(now time.Duration, epoch uint64) {
	if epoch != c.leaderSeenEpoch {
		c.priorLeader, c.lastLeader, c.leaderSeenEpoch = c.lastLeader, LeaderRecord{Ever: true, Since: now}, epoch
	}
	c.leaderSeenAt, c.leaderless = now, false
	c.lastLeader.Until = now
}

// FleetKnowledge is what a leader says of itself: whether it knows what its machines do.
type FleetKnowledge uint8

// What a leader may say.
const (
	FleetUnsaid    FleetKnowledge = iota // nothing: it is of a version, or has settings, that do not
	FleetListening                       // not yet
	FleetKnown                           // it does
)

// LeaderRecord is what a node knows of a leader: that there ever was one, from when to when it was
// heard, and what it last said of its fleet.
type LeaderRecord struct {
	Ever         bool
	Since, Until time.Duration
	Fleet        FleetKnowledge
}

// PreviousLeader is what this node knows of the last leader of an epoch before the given one.
func (c *Elector) PreviousLeader(epoch uint64) LeaderRecord {
	if c.leaderSeenEpoch >= epoch {
		return c.priorLeader
	}
	return c.lastLeader
}

// HighestEpoch gives the highest epoch known.
func (c *Elector) HighestEpoch() uint64 { return max(c.epoch, c.view.Epoch) }

func (c *Elector) newRequest(a Action) Request {
	c.sequence++
	return Request{Action: a, Sequence: c.sequence, LeaseID: c.leaseID, View: c.view, Revision: c.view.Revision}
}

// Tick returns what is due.
func (c *Elector) Tick(now time.Duration) []Request {
	var out []Request
	if c.role == Leader {
		if c.renewalCall == nil && now-c.renewalSentAt >= c.leaseTTL/5 && now >= c.nextAttemptAt {
			o := c.newRequest(RenewLease)
			c.renewalCall = &pendingCall{o.Sequence, now}
			out = append(out, o)
		}
	}
	if c.readCall == nil && c.electionCall == nil && now >= c.nextReadAt && (c.leaderSilent(now) || !c.viewKnown || (c.watchCall == nil && c.role != Candidate)) {
		if !c.viewKnown || c.role != Leader {
			o := c.newRequest(ReadKeys)
			c.readCall = &pendingCall{o.Sequence, now}
			out = append(out, o)
		}
	}
	if c.role == Leader && c.watchCall == nil && c.viewKnown && now >= c.nextReadAt {
		o := c.newRequest(WatchKeys)
		c.watchCall = &pendingCall{o.Sequence, now}
		out = append(out, o)
	}
	return out
}

// KeysRead takes the result of Read.
func (c *Elector) KeysRead(now time.Duration, seq uint64, ok bool, v View) []Request {
	if c.readCall == nil || c.readCall.sequence != seq {
		return nil
	}
	c.readCall = nil
	if !ok {
		c.nextReadAt = now + retryDelay
		return nil
	}
	c.serviceAnsweredAt = now
	c.viewKnown = true
	c.view = v
	if v.Holder != nil {
		c.recordLeader(now, v.Holder.Epoch)
	} else if !c.leaderless {
		c.leaderlessSince, c.leaderless = now, true
	}
	if c.role == Leader {
		if v.Epoch != c.epoch {
			c.stepDown(now)
		}
		return nil
	}
	if v.Holder == nil && now >= c.nextAttemptAt {
		c.role = Candidate
		o := c.newRequest(CreateLease)
		c.electionCall = &pendingCall{o.Sequence, now}
		return []Request{o}
	}
	if c.watchCall == nil {
		o := c.newRequest(WatchKeys)
		c.watchCall = &pendingCall{o.Sequence, now}
		return []Request{o}
	}
	return nil
}

// WatchEnded takes the result of Watch: something changed, or the time ran out.
func (c *Elector) WatchEnded(now time.Duration, seq uint64, ok bool) []Request {
	if c.watchCall == nil || c.watchCall.sequence != seq {
		return nil
	}
	c.watchCall = nil
	if ok {
		c.serviceAnsweredAt = now
	}
	if !ok {
		c.nextReadAt = now + watchRetryDelay
		return nil
	}
	if c.readCall == nil && c.electionCall == nil {
		o := c.newRequest(ReadKeys)
		c.readCall = &pendingCall{o.Sequence, now}
		return []Request{o}
	}
	return nil
}

// LeaseCreated takes the result of Hold.
func (c *Elector) LeaseCreated(now time.Duration, seq uint64, ok bool, hold uint64) []Request {
	if c.electionCall == nil || c.electionCall.sequence != seq {
		return nil
	}
	sent := c.electionCall.sentAt
	c.electionCall = nil
	if !ok {
		c.abandonElection(now)
		return nil
	}
	c.leaseID = hold
	o := c.newRequest(ClaimLeadership)
	c.electionCall = &pendingCall{o.Sequence, sent} // sureness counts from the hold's making
	return []Request{o}
}

// LeadershipClaimed takes the result of Claim; mark is the revision of the change. An
// unanswered claim counts as failed: should it be applied yet, the hold that
// is given back takes the key along.
func (c *Elector) LeadershipClaimed(now time.Duration, seq uint64, ok bool, mark uint64) []Request {
	if c.electionCall == nil || c.electionCall.sequence != seq {
		return nil
	}
	sent := c.electionCall.sentAt
	c.electionCall = nil
	if !ok {
		o := c.newRequest(ReleaseLease)
		c.abandonElection(now)
		return []Request{o}
	}
	c.role = Leader
	c.epoch = c.view.Epoch + 1
	c.epochVersion = mark
	c.view.Epoch, c.view.EpochVersion, c.view.Revision = c.epoch, mark, mark
	c.view.Holder = &LeaseHolder{c.node, c.epoch}
	c.renewalSentAt = sent
	c.extendLease(sent)
	return nil
}

// LeaseRenewed takes the result of Renew; gone means the hold has ended.
func (c *Elector) LeaseRenewed(now time.Duration, seq uint64, ok, gone bool) []Request {
	if c.renewalCall == nil || c.renewalCall.sequence != seq || c.role != Leader {
		return nil
	}
	sent := c.renewalCall.sentAt
	c.renewalCall = nil
	switch {
	case gone:
		c.stepDown(now)
	case ok:
		c.renewalSentAt = sent
		c.extendLease(sent)
	default:
		c.nextAttemptAt = now + retryDelay/2
	}
	return nil
}

// HeartbeatReceived takes a leader's word, from the leader itself, that it leads: a node
// that the state service does not serve learns so where to send users and
// workers. It is a hint for routing; nothing else depends on it.
func (c *Elector) HeartbeatReceived(now time.Duration, node string, epoch uint64, fleet FleetKnowledge) {
	if epoch < c.HighestEpoch() || node == c.node {
		return
	}
	if c.role == Leader {
		if epoch == c.epoch {
			return
		}
		c.stepDown(now)
	}
	if c.role == Follower {
		c.recordLeader(now, epoch)
		c.lastLeader.Fleet = fleet
		c.view.Epoch = epoch
		c.view.Holder = &LeaseHolder{node, epoch}
	}
}

// Superseded tells the core that a higher epoch was met.
func (c *Elector) Superseded(now time.Duration, epoch uint64) {
	if epoch > c.epoch && c.role == Leader {
		c.stepDown(now)
	}
}

// Resign gives leadership up, for as long at least.
func (c *Elector) Resign(now, pause time.Duration) []Request {
	if c.role != Leader {
		return nil
	}
	o := c.newRequest(ReleaseLease)
	c.stepDown(now)
	c.nextAttemptAt = now + pause // it is for the others to lead
	return []Request{o}
}

func (c *Elector) extendLease(sent time.Duration) {
	until := sent + time.Duration(float64(c.leaseTTL)*(1-maxClockDrift)) - leaseMargin
	c.leaseValidUntil = max(c.leaseValidUntil, until)
}

func (c *Elector) stepDown(now time.Duration) {
	c.role = Follower
	c.recordLeader(now, c.epoch)
	c.leaseID, c.renewalCall = 0, nil
	c.view.Holder = nil
	c.leaseValidUntil = 0
	c.viewKnown = false
	c.nextReadAt, c.nextAttemptAt = now, now
}

func (c *Elector) abandonElection(now time.Duration) {
	c.role = Follower
	c.leaseID = 0
	c.nextReadAt = now + retryDelay/3
	c.nextAttemptAt = now
	c.viewKnown = false
}
