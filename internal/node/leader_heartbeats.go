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
	peerSilenceLimit  = 4 * time.Second  // a peer that answered longer ago counts as silent
	resignDuration    = 10 * time.Second // no new candidacy, so that another node takes over
	// failoverReportIntervals is the number of report intervals within which a machine that lost
	// its controller reports to another one.
	failoverReportIntervals = 1.25
)

// sendHeartbeats sends a heartbeat to each peer once per heartbeatInterval.
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

// resignIfIsolated gives up leadership if no peer answers and most machines are silent: then the
// leader itself is most likely disconnected. A connected node can take over, and this one does not
// delete machines that it merely cannot reach.
func (c *Core) resignIfIsolated(now time.Duration) {
	if c.inContact(now) {
		c.lastContactAt = now
		return
	}
	reportInterval := settings.Seconds(failoverReportIntervals * c.settings.Deployment.Workers.ReportS)
	if now-c.lastContactAt < c.leaderSilenceLimit()+reportInterval+peerTimeout {
		return // machines whose controllers cannot reach this leader may still switch to it
	}
	c.emitLog(effects.Warn, "isolated from peers and workers, resigning leadership")
	c.emitLeadership(c.elector.Resign(now, resignDuration))
}

// inContact reports whether the leader hears from a peer or from enough of its machines. It also
// returns true if the leader has no peers, has no valid lease or has just begun its term, because
// silence then proves nothing.
func (c *Core) inContact(now time.Duration) bool {
	return len(c.settings.Peers) == 0 ||
		!c.elector.LeaseValid(now) ||
		now-c.term.TermBegan < peerSilenceLimit ||
		c.peerAnsweredRecently(now) ||
		!c.term.MostMachinesSilent(now)
}

// peerAnsweredRecently reports whether any peer answered a heartbeat within peerSilenceLimit.
func (c *Core) peerAnsweredRecently(now time.Duration) bool {
	for _, at := range c.peerAnsweredAt {
		if now-at < peerSilenceLimit {
			return true
		}
	}
	return false
}

// leaderSilenceLimit returns how long contact must have been lost before this node acts on it. The
// lease of a stopped leader has expired by then.
func (c *Core) leaderSilenceLimit() time.Duration { return leaseExpiryDelay(c.settings) }

// leaseExpiryDelay returns a duration after which the lease of a leader that stopped has expired.
func leaseExpiryDelay(cfg *settings.Settings) time.Duration {
	return settings.Seconds(cfg.Tunables.LeaderLeaseS) + heartbeatInterval/2
}

// HeartbeatAnswered handles a peer's answer to a heartbeat.
func (c *Core) HeartbeatAnswered(now time.Duration, peer string) {
	c.peerAnsweredAt[peer] = now
	if c.term != nil {
		c.term.PeerHeard(now, peer, now-c.lastHeartbeatAt)
	}
}

// HeartbeatReceived handles a heartbeat from the leader.
func (c *Core) HeartbeatReceived(now time.Duration, node string, epoch uint64, fleet leadership.FleetKnowledge) {
	c.elector.HeartbeatReceived(now, node, epoch, fleet)
	c.advanceTerm(now)
}

// PreviousLeader returns this node's record of the last leader of an epoch before the given one.
func (c *Core) PreviousLeader(epoch uint64) leadership.LeaderRecord {
	return c.elector.PreviousLeader(epoch)
}

// PreviousLeaderReported handles a peer's answer to AskPreviousLeader, with its times converted to
// this node's clock. known is false if there was no answer.
func (c *Core) PreviousLeaderReported(
	now time.Duration, epoch uint64, peer string, previous leadership.LeaderRecord, known bool,
) {
	if c.inTerm(epoch) {
		c.term.PreviousLeaderReported(now, peer, previous, known)
	}
	c.advanceTerm(now)
}

// ApplyConfig applies configuration changes that came with a heartbeat, and returns the revision
// that is then in force on this node. It ignores the changes if this node leads, or if the sender
// is not the leader.
func (c *Core) ApplyConfig(now time.Duration, node string, update config.Update) uint64 {
	if c.term == nil && node == c.elector.LeaderName() {
		c.config.Apply(now, update)
	}
	return c.config.Revision()
}

// ConfigAcknowledged handles a peer's report of the configuration revision in force on it.
func (c *Core) ConfigAcknowledged(now time.Duration, epoch uint64, peer string, revision uint64) {
	if c.inTerm(epoch) {
		c.term.ConfigAcknowledged(now, peer, revision)
	}
}
