package leadership

import "time"

// LeaderRecord is what a node knows of one leader.
type LeaderRecord struct {
	Known        bool           // there was such a leader at all
	Since, Until time.Duration  // when it was first and last heard of
	Fleet        FleetKnowledge // what it last said of its fleet
}

// leaderHistory is what a node knows of the leaders so far, and of the time without one.
type leaderHistory struct {
	seenAt          time.Duration // when a leader was last heard of; 0: never
	seenEpoch       uint64        // the epoch of that leader
	last            LeaderRecord  // the leader of that epoch
	prior           LeaderRecord  // the leader before that one
	leaderlessSince time.Duration // since when nobody has led, as far as this node saw
	leaderless      bool          // the last read of the keys showed no leader
}

// recordLeader notes that a node leads with an epoch, or led with it until now.
func (h *leaderHistory) recordLeader(now time.Duration, epoch uint64) {
	if epoch != h.seenEpoch {
		h.prior = h.last
		h.last = LeaderRecord{Known: true, Since: now}
		h.seenEpoch = epoch
	}
	h.seenAt, h.leaderless = now, false
	h.last.Until = now
}

// recordNoLeader notes that a read of the keys showed no leader.
func (h *leaderHistory) recordNoLeader(now time.Duration) {
	if !h.leaderless {
		h.leaderlessSince, h.leaderless = now, true
	}
}

// LeaderlessTimes gives when this node last heard of a leader, 0 if it never did, and since when it
// has seen that nobody leads. A new leader asks for it.
func (e *Elector) LeaderlessTimes() (lastSeen, leaderlessSince time.Duration) {
	return e.history.seenAt, e.history.leaderlessSince
}

// PreviousLeader is what this node knows of the last leader of an epoch before the given one.
func (e *Elector) PreviousLeader(epoch uint64) LeaderRecord {
	if e.history.seenEpoch >= epoch {
		return e.history.prior
	}
	return e.history.last
}

// serviceSilenceLimit is how long the state service must not have answered a node that asks it to
// count as not answering.
const serviceSilenceLimit = 3 * time.Second

// StateServiceAnswers says whether the state service has answered lately. It means something only
// where nothing was heard of a leader for SilenceLimit: until then the node merely watches.
func (e *Elector) StateServiceAnswers(now time.Duration) bool {
	return now-e.serviceAnsweredAt < serviceSilenceLimit
}

// StateServiceAnsweredAt is when the state service last answered.
func (e *Elector) StateServiceAnsweredAt() time.Duration { return e.serviceAnsweredAt }

// leaderSilent says whether a follower should read the keys instead of waiting for its watch:
// neither the leader nor the state service was heard of for a while.
func (e *Elector) leaderSilent(now time.Duration) bool {
	return e.SilenceLimit > 0 && e.role == Follower && e.history.seenAt > 0 &&
		now-e.history.seenAt >= e.SilenceLimit &&
		now-e.serviceAnsweredAt >= serviceSilenceLimit/2
}

// HeartbeatReceived takes a leader's own word that it leads: a node that the state service does
// not serve learns from it where to send users and workers. It is a hint for routing; nothing
// else depends on it.
func (e *Elector) HeartbeatReceived(now time.Duration, node string, epoch uint64, fleet FleetKnowledge) {
	if epoch < e.HighestEpoch() || node == e.node {
		return
	}
	if e.role == Leader {
		if epoch == e.epoch {
			return
		}
		e.stepDown(now)
	}
	if e.role == Follower {
		e.history.recordLeader(now, epoch)
		e.history.last.Fleet = fleet
		e.view.Epoch = epoch
		e.view.Holder = &LeaseHolder{Node: node, Epoch: epoch}
	}
}
