package leadership

import "time"

// LeaderRecord is what a node has observed of one leader.
type LeaderRecord struct {
	Known        bool           // a leader was observed; otherwise the record is empty
	Since, Until time.Duration  // when it was first and last observed
	Fleet        FleetKnowledge // what its last heartbeat reported
}

// leaderHistory records the last two leaders that a node has observed, and since when there is none.
type leaderHistory struct {
	seenAt          time.Duration // when a leader was last observed; 0: never
	seenEpoch       uint64        // the epoch of that leader
	last            LeaderRecord  // the leader of that epoch
	previous        LeaderRecord  // the leader before that one
	leaderlessSince time.Duration // when a read of the keys first showed no leader
	leaderless      bool          // the last read of the keys showed no leader
}

// recordLeader records that a node leads with an epoch, or led with it until now.
func (h *leaderHistory) recordLeader(now time.Duration, epoch uint64) {
	if epoch != h.seenEpoch {
		h.previous = h.last
		h.last = LeaderRecord{Known: true, Since: now}
		h.seenEpoch = epoch
	}
	h.seenAt, h.leaderless = now, false
	h.last.Until = now
}

// recordNoLeader records that a read of the keys showed no leader.
func (h *leaderHistory) recordNoLeader(now time.Duration) {
	if !h.leaderless {
		h.leaderlessSince, h.leaderless = now, true
	}
}

// LeaderlessTimes returns when this node last observed a leader (0: never), and when a read of the
// keys first showed that there was none any more. A term that begins on this node receives both.
func (e *Elector) LeaderlessTimes() (lastSeen, leaderlessSince time.Duration) {
	return e.history.seenAt, e.history.leaderlessSince
}

// PreviousLeader returns the record of the last leader whose epoch is below the given one.
func (e *Elector) PreviousLeader(epoch uint64) LeaderRecord {
	if e.history.seenEpoch >= epoch {
		return e.history.previous
	}
	return e.history.last
}

// serviceSilenceLimit is the time without an answer after which a node that sends requests to the state
// service treats it as not answering.
const serviceSilenceLimit = 3 * time.Second

// StateServiceResponsive reports whether the state service has answered within serviceSilenceLimit. The
// result is meaningful only once no leader was observed for SilenceLimit: until then the node only
// watches the keys and sends no other requests.
func (e *Elector) StateServiceResponsive(now time.Duration) bool {
	return now-e.serviceAnsweredAt < serviceSilenceLimit
}

// StateServiceAnsweredAt returns when the state service last answered.
func (e *Elector) StateServiceAnsweredAt() time.Duration { return e.serviceAnsweredAt }

// leaderSilent reports whether a follower should read the keys instead of waiting for its watch: no
// leader was observed for SilenceLimit, and the state service has not answered for a while either.
func (e *Elector) leaderSilent(now time.Duration) bool {
	return e.SilenceLimit > 0 && e.role == Follower && e.history.seenAt > 0 &&
		now-e.history.seenAt >= e.SilenceLimit &&
		now-e.serviceAnsweredAt >= serviceSilenceLimit/2
}

// HeartbeatReceived handles the heartbeat of another node that claims to lead. A node that cannot
// reach the state service learns from it which controller to redirect users and workers to. A leader
// that receives one of a higher epoch steps down.
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
