package node

import (
	"net/http"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
)

const (
	// redirectInterval is how long a redirected or rejected machine is remembered. If it comes back
	// within that time, no machine of this node's shard is redirected or rejected for another
	// redirectInterval.
	redirectInterval = 15 * time.Second
	// simultaneousWindow is the time within which two losses count as simultaneous.
	simultaneousWindow = 4 * time.Second
)

// LeaderContactResult records whether a call or a probe reached the leader with the given name.
func (c *Core) LeaderContactResult(now time.Duration, leader string, ok bool) {
	switch {
	case leader != c.elector.LeaderName():
	case ok:
		c.unreachedLeader = ""
	case c.unreachedLeader != leader:
		c.unreachedLeader, c.unreachedSince, c.lastProbeAt = leader, now, now
	}
}

// Partitioned reports whether, according to the state service, another node leads that this one
// has not reached for leaderSilenceLimit. Such a node can serve neither users' requests nor
// heartbeats.
func (c *Core) Partitioned(now time.Duration) bool {
	leader := c.elector.LeaderName()
	return leader != "" && leader == c.unreachedLeader &&
		now-c.unreachedSince >= c.leaderSilenceLimit() &&
		c.elector.Watching()
}

// probeUnreachedLeader periodically probes a leader that was not reached, because there may be no
// heartbeat or request left that would detect that it can be reached again.
func (c *Core) probeUnreachedLeader(now time.Duration) {
	if c.unreachedLeader != c.elector.LeaderName() {
		c.unreachedLeader = ""
	}
	if c.unreachedLeader != "" && now-c.lastProbeAt >= heartbeatInterval {
		c.lastProbeAt = now
		c.emit(effects.ProbePeer{Peer: c.unreachedLeader})
	}
}

// zoneIsolated reports whether this node's zone seems to be disconnected: it has not heard from a
// leader for longer than the lease of a stopped leader lasts, and the state service does not
// answer. The node then answers every worker with the highest token that the worker has seen and
// no commands, for as long as the leader waits for a silent zone. Such a worker has already tried
// the other controllers, and would get the same answer from another disconnected one.
func (c *Core) zoneIsolated(now time.Duration) bool {
	heardAt, _ := c.elector.LeaderlessTimes()
	silent := now - heardAt
	return heardAt > 0 &&
		silent > c.leaderSilenceLimit()+peerTimeout &&
		silent < settings.Seconds(c.settings.Tunables.ZonePatienceS) &&
		!c.elector.StateServiceResponsive(now)
}

// isIsolatedLeader reports whether this leader lost the state service and all other controllers at
// the same time. Then the fault is most likely on its own side, and another node leads or will do
// so soon. The losses must be simultaneous. Without this condition, when the state service failed
// while the other controllers had not yet restarted after a crash, the leader sent its machines to
// controllers that were not running.
func (c *Core) isIsolatedLeader(now time.Duration) bool {
	var lastAnswerAt time.Duration
	for _, at := range c.peerAnsweredAt {
		lastAnswerAt = max(lastAnswerAt, at)
	}
	// A valid lease was renewed at most one lease duration ago, so the state service answered at
	// least until then.
	stateServiceAnsweredAt := c.leaseValidAt - settings.Seconds(c.settings.Tunables.LeaderLeaseS)
	return lastAnswerAt > 0 &&
		now-c.leaseValidAt > c.leaderSilenceLimit() &&
		now-lastAnswerAt >= peerSilenceLimit &&
		lastAnswerAt > stateServiceAnsweredAt-simultaneousWindow
}

// isIsolatedFollower is the counterpart of isIsolatedLeader for a node that does not lead. It
// reports whether the node lost the leader and the state service at about the same time, and has
// not reached the leader for leaderSilenceLimit plus peerTimeout.
func (c *Core) isIsolatedFollower(now time.Duration) bool {
	return c.unreachedLeader != "" &&
		now-c.unreachedSince >= c.leaderSilenceLimit()+peerTimeout &&
		!c.elector.StateServiceResponsive(now) &&
		c.unreachedSince < c.elector.StateServiceAnsweredAt()+simultaneousWindow
}

// redirectToLeader redirects a machine to the leader itself if this node is partitioned from it.
// Without this, when controllers rejected one another's connections, each kept its workers alive
// for a shard lease, the leader no longer heard most of them and resigned, and so did the next one.
// A machine that comes back could not reach the leader either, so all are kept alive for a while.
// It reports whether the machine was answered.
func (c *Core) redirectToLeader(now time.Duration, to effects.RequestID, report *workers.Report) bool {
	c.recordReturn(now, report.Machine)
	if c.returnedRecently(now) || !c.Partitioned(now) {
		return false
	}
	if _, inShard := c.shards.KeepAlive(now, report); !inShard {
		return false // such a machine tries the controllers in turn, and may come from the leader
	}
	leader := c.elector.LeaderName()
	c.redirectedAt[report.Machine] = now
	c.shards.Release(report.Machine)
	c.replyHeartbeat(to, effects.HeartbeatAnswer{Status: http.StatusMisdirectedRequest, Node: leader})
	return true
}

// rejectHeartbeat rejects a machine's heartbeat, so that the machine tries the other controllers
// before the leader treats it as lost. Machines of this node's shard are rejected once: if one
// comes back, no other controller answered, as in a disconnected zone, so all are kept alive for a
// while. Other machines are always rejected: when a leader lost the state service and its peers but
// not its workers, new machines were kept alive there, and the next leader never heard from them.
// It reports whether the machine was answered.
func (c *Core) rejectHeartbeat(now time.Duration, to effects.RequestID, report *workers.Report) bool {
	if c.zoneIsolated(now) {
		return false
	}
	if _, inShard := c.shards.KeepAlive(now, report); inShard {
		c.recordReturn(now, report.Machine)
		if c.returnedRecently(now) {
			return false
		}
		c.redirectedAt[report.Machine] = now
	}
	c.replyHeartbeat(to, effects.HeartbeatAnswer{Status: http.StatusServiceUnavailable})
	return true
}

// recordReturn records the return of a machine that was redirected or rejected.
func (c *Core) recordReturn(now time.Duration, machine string) {
	if _, redirected := c.redirectedAt[machine]; redirected {
		c.lastReturnAt = now
	}
}

func (c *Core) returnedRecently(now time.Duration) bool {
	return c.lastReturnAt > 0 && now-c.lastReturnAt < redirectInterval
}

func (c *Core) expireRedirects(now time.Duration) {
	for machine, at := range c.redirectedAt {
		if now-at > redirectInterval {
			delete(c.redirectedAt, machine)
		}
	}
}
