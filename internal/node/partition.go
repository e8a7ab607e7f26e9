package node

import (
	"net/http"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
)

const (
	// redirectInterval is for how long no machine is redirected, once one that was redirected
	// within that time has come back.
	redirectInterval = 15 * time.Second
	// simultaneousWindow: what is lost within this time of one another is lost at once.
	simultaneousWindow = 4 * time.Second
)

// PeerReached notes whether a call reached the leader of that name, or a probe of it.
func (c *Core) PeerReached(now time.Duration, leader string, ok bool) {
	switch {
	case leader != c.elector.LeaderName():
	case ok:
		c.unreachedLeader = ""
	case c.unreachedLeader != leader:
		c.unreachedLeader, c.unreachedSince, c.lastProbeAt = leader, now, now
	}
}

// Partitioned says whether somebody leads, as the state service shows, whom this node has not
// reached for longer than a dead leader's lease lasts: it can take neither users' requests nor
// heartbeats.
func (c *Core) Partitioned(now time.Duration) bool {
	leader := c.elector.LeaderName()
	return leader != "" && leader == c.unreachedLeader &&
		now-c.unreachedSince >= c.unreachableLimit() &&
		c.elector.Watching()
}

// probeUnreachedLeader asks now and then whether a leader that was not reached can be: there
// may be no heartbeat or request any more by which that would show.
func (c *Core) probeUnreachedLeader(now time.Duration) {
	if c.unreachedLeader != c.elector.LeaderName() {
		c.unreachedLeader = ""
	}
	if c.unreachedLeader != "" && now-c.lastProbeAt >= heartbeatInterval {
		c.lastProbeAt = now
		c.emit(effects.ProbePeer{Peer: c.unreachedLeader})
	}
}

// zoneCutOff says whether this node seems to be cut off with its zone: no leader has sent it a
// heartbeat for longer than a dead one's lease lasts, nor does the state service answer. Then it
// keeps alive whoever comes to it, for as long as the leader waits for a zone: with the highest
// token that the worker has seen, and with nothing to do. Such a worker has tried the others
// before, and would be the same at another node that is cut off too.
func (c *Core) zoneCutOff(now time.Duration) bool {
	heardAt, _ := c.elector.LeaderlessTimes()
	silent := now - heardAt
	return heardAt > 0 &&
		silent > c.unreachableLimit()+peerTimeout &&
		silent < settings.Seconds(c.settings.Tunables.ZonePatienceS) &&
		!c.elector.StateServiceAnswers(now)
}

// isolatedLeader says whether this leader has lost the state service and all other controllers,
// and both at once: then the fault is most likely on its side, and somebody else leads by now
// or will. Others that were gone before are not cut off from it: found on a day on which the
// state service went out while they were not back yet from a crash; their leader sent its
// machines to controllers that were not there.
func (c *Core) isolatedLeader(now time.Duration) bool {
	var lastAnswerAt time.Duration
	for _, at := range c.peerAnsweredAt {
		lastAnswerAt = max(lastAnswerAt, at)
	}
	// A lease that is valid was renewed within its length: the state service answered until then
	// at least.
	stateServiceAnsweredAt := c.leaseValidAt - settings.Seconds(c.settings.Tunables.LeaderLeaseS)
	return lastAnswerAt > 0 &&
		now-c.leaseValidAt > c.unreachableLimit() &&
		now-lastAnswerAt >= peerSilenceLimit &&
		lastAnswerAt > stateServiceAnsweredAt-simultaneousWindow
}

// isolatedFollower says the same of a node that does not lead: for longer than a dead leader's
// lease lasts and a call takes it has reached neither the leader nor the state service.
func (c *Core) isolatedFollower(now time.Duration) bool {
	return c.unreachedLeader != "" &&
		now-c.unreachedSince >= c.unreachableLimit()+peerTimeout &&
		!c.elector.StateServiceAnswers(now) &&
		c.unreachedSince < c.elector.StateServiceAnsweredAt()+simultaneousWindow
}

// redirectToLeader has a machine report to the leader itself when this node has not reached the
// leader for longer than a dead one's lease lasts, while the state service still shows it to
// lead. Found on days when controllers refused one another: each kept its workers alive for a
// shard's lease, the leader heard most of them no more, gave up leading, and the next one
// likewise. A machine that comes back has not reached the leader either: then all are kept alive
// as before. It says whether the machine was answered.
func (c *Core) redirectToLeader(now time.Duration, to effects.RequestID, report *workers.Report) bool {
	c.noteReturn(now, report.Machine)
	if c.returnedLately(now) || !c.Partitioned(now) {
		return false
	}
	if _, ours := c.shards.KeepAlive(now, report); !ours {
		return false // it goes from node to node by itself, and may have come from there
	}
	leader := c.elector.LeaderName()
	c.redirectedAt[report.Machine] = now
	c.shards.Release(report.Machine)
	c.replyHeartbeat(to, effects.HeartbeatAnswer{Status: http.StatusMisdirectedRequest, Node: leader})
	return true
}

// turnAway has a machine try the other controllers, once: the leader gives it up when it does
// not come there in time. Those that come back have found nobody else, as in a zone that is cut
// off as a whole: then all are kept alive as before. One that was never in this node's shard is
// always turned away. Found in a scenario in which the leader lost the state service and its
// peers but not its workers: new machines came to it first, were kept alive there, and the next
// leader never heard them. It says whether the machine was answered.
func (c *Core) turnAway(now time.Duration, to effects.RequestID, report *workers.Report) bool {
	if c.zoneCutOff(now) {
		return false
	}
	if _, ours := c.shards.KeepAlive(now, report); ours {
		c.noteReturn(now, report.Machine)
		if c.returnedLately(now) {
			return false
		}
		c.redirectedAt[report.Machine] = now
	}
	c.replyHeartbeat(to, effects.HeartbeatAnswer{Status: http.StatusServiceUnavailable})
	return true
}

// noteReturn notes that a machine has come back here, if it was redirected.
func (c *Core) noteReturn(now time.Duration, machine string) {
	if _, redirected := c.redirectedAt[machine]; redirected {
		c.lastReturnAt = now
	}
}

func (c *Core) returnedLately(now time.Duration) bool {
	return c.lastReturnAt > 0 && now-c.lastReturnAt < redirectInterval
}

func (c *Core) expireRedirects(now time.Duration) {
	for machine, at := range c.redirectedAt {
		if now-at > redirectInterval {
			delete(c.redirectedAt, machine)
		}
	}
}
