package node

import (
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
)

const (
	heartbeatInterval = time.Second
	peerSilenceLimit  = 4 * time.Second  // without a peer's answer
	resignDuration    = 10 * time.Second // for others to take over
	// reportIntervals is within how many of their intervals machines report to another
	// controller.
	reportIntervals = 1.25
)

// sendHeartbeats tells the peers who leads, at each heartbeatInterval.
func (c *Core) sendHeartbeats(now time.Duration) {
	if now-c.lastHeartbeatAt < heartbeatInterval {
		return
	}
	c.lastHeartbeatAt = now
	for _, p := range c.settings.Peers {
		c.emit(effects.Heartbeat{
			Peer:   p.Node,
			Epoch:  c.term.Epoch,
			Fleet:  c.term.FleetKnowledge(),
			Config: c.term.ConfigFor(p.Node),
		})
	}
}

// resignIfIsolated gives up leadership where no peer answers and few machines are heard: such a
// leader is cut off itself. It makes room for one that is not, rather than delete machines that
// it merely cannot hear.
func (c *Core) resignIfIsolated(now time.Duration) {
	if c.inContact(now) {
		c.lastContactAt = now
		return
	}
	reportInterval := settings.Seconds(reportIntervals * c.settings.Deployment.Workers.ReportS)
	if now-c.lastContactAt < c.unreachableLimit()+reportInterval+peerTimeout {
		return // machines that its peers cannot answer for are on their way here
	}
	c.emitLog(effects.Warn, "isolated from peers and workers, resigning leadership")
	c.emitLeadership(c.elector.Resign(now, resignDuration))
}

// inContact says whether a leader hears of peers or machines, or has no reason to expect that:
// no peers, no valid lease, or a term that has just begun.
func (c *Core) inContact(now time.Duration) bool {
	return len(c.settings.Peers) == 0 ||
		!c.elector.LeaseValid(now) ||
		now-c.term.TermBegan < peerSilenceLimit ||
		c.peerAnsweredLately(now) ||
		!c.term.MostMachinesSilent(now)
}

// peerAnsweredLately says whether a peer has answered this leader's heartbeats lately.
func (c *Core) peerAnsweredLately(now time.Duration) bool {
	for _, at := range c.peerAnsweredAt {
		if now-at < peerSilenceLimit {
			return true
		}
	}
	return false
}

// unreachableLimit is how long this node must not have reached a leader to conclude anything
// from it.
func (c *Core) unreachableLimit() time.Duration { return leaseOutlasted(c.settings) }

// leaseOutlasted is longer than a dead leader's lease lasts.
func leaseOutlasted(cfg *settings.Settings) time.Duration {
	return settings.Seconds(cfg.Tunables.LeaderLeaseS) + heartbeatInterval/2
}

// HeartbeatAnswered takes a peer's answer to a heartbeat.
func (c *Core) HeartbeatAnswered(now time.Duration, peer string) {
	c.peerAnsweredAt[peer] = now
	if c.term != nil {
		c.term.PeerHeard(now, peer, now-c.lastHeartbeatAt)
	}
}

// HeartbeatReceived takes a heartbeat of the leader.
func (c *Core) HeartbeatReceived(now time.Duration, node string, epoch uint64, fleet leadership.FleetKnowledge) {
	c.elector.HeartbeatReceived(now, node, epoch, fleet)
	c.advanceTerm(now)
}

// PreviousLeader is what this node knows of the last leader of an epoch before the given one.
func (c *Core) PreviousLeader(epoch uint64) leadership.LeaderRecord {
	return c.elector.PreviousLeader(epoch)
}

// PreviousLeaderReported takes a peer's answer to AskPreviousLeader, with its times on this
// node's clock; known is false where there was no answer.
func (c *Core) PreviousLeaderReported(
	now time.Duration, epoch uint64, peer string, previous leadership.LeaderRecord, known bool,
) {
	if c.inTerm(epoch) {
		c.term.PreviousLeaderReported(now, peer, previous, known)
	}
	c.advanceTerm(now)
}

// ApplyConfig takes changes of the configuration from the leader that has just sent a
// heartbeat, and returns the revision that this node then has in force.
func (c *Core) ApplyConfig(now time.Duration, node string, update config.Update) uint64 {
	if c.term == nil && node == c.elector.LeaderName() {
		c.config.Apply(now, update)
	}
	return c.config.Revision()
}

// ConfigAcknowledged takes a peer's word on the revision that it has in force.
func (c *Core) ConfigAcknowledged(now time.Duration, epoch uint64, peer string, revision uint64) {
	if c.inTerm(epoch) {
		c.term.ConfigAcknowledged(now, peer, revision)
	}
}
