package node

import (
	"net/http"
	"time"

	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// maxRelays is how often one heartbeat is relayed: within twice a peer's deadline its worker
// still waits for the answer.
const maxRelays = 2

// openHeartbeat is a heartbeat of this node's worker that has no answer yet.
type openHeartbeat struct {
	report    *workers.Report
	relayedTo string // the leader; empty: not relayed
	relays    int
}

// HandleHeartbeat takes a worker's heartbeat. The leader answers for its own shard; any other
// node relays the heartbeat to the leader and answers as that says.
func (c *Core) HandleHeartbeat(now time.Duration, to effects.RequestID, report *workers.Report) {
	c.counts.Reports++
	c.checkWorkerEpoch(now, report)
	c.answerOrRelay(now, to, &openHeartbeat{report: report})
}

// HandleRelayedHeartbeat serves a heartbeat that another controller relayed. It goes no further.
func (c *Core) HandleRelayedHeartbeat(now time.Duration, to effects.RequestID, in effects.RelayedHeartbeat) {
	c.checkWorkerEpoch(now, &in.Report)
	if c.term == nil {
		c.replyHeartbeat(to, effects.HeartbeatAnswer{Status: http.StatusServiceUnavailable})
		return
	}
	c.term.HandleHeartbeat(now, c.elector.LeaseValid(now), to, in)
	c.advanceTerm(now)
}

// RelayAnswered takes the leader's answer to a heartbeat that was relayed to it; ok is false
// where the leader was not reached.
func (c *Core) RelayAnswered(now time.Duration, to effects.RequestID, answer effects.HeartbeatAnswer, ok bool) {
	open := c.openHeartbeats[to]
	delete(c.openHeartbeats, to)
	if open == nil {
		return
	}
	c.PeerReached(now, open.relayedTo, ok)
	if !ok && c.canRelayAgain(open) {
		c.answerOrRelay(now, to, open) // somebody else leads by now, this node perhaps
		return
	}
	if !ok && c.redirectFromUnreachedLeader(now, to, open.report) {
		return
	}
	switch {
	case !ok, answer.Status == http.StatusMisdirectedRequest && (answer.Node == c.settings.Node || answer.Node == ""):
		answer = effects.HeartbeatAnswer{Status: http.StatusServiceUnavailable}
	case answer.Status == http.StatusMisdirectedRequest:
		c.shards.Release(open.report.Machine)
	}
	c.replyHeartbeat(to, c.completeAnswer(now, open.report, answer))
	c.advanceTerm(now)
}

func (c *Core) canRelayAgain(open *openHeartbeat) bool {
	leader := c.elector.LeaderName()
	return open.relays < maxRelays && leader != "" && leader != open.relayedTo
}

// redirectFromUnreachedLeader redirects a machine whose heartbeat did not reach the leader, if
// another controller is more likely to; it has answered the machine then.
func (c *Core) redirectFromUnreachedLeader(now time.Duration, to effects.RequestID, report *workers.Report) bool {
	return c.redirectToLeader(now, to, report) ||
		(c.isolatedFollower(now) && c.turnAway(now, to, report))
}

func (c *Core) replyHeartbeat(to effects.RequestID, answer effects.HeartbeatAnswer) {
	c.emit(effects.ReplyHeartbeat{To: to, Answer: answer})
}

// answerOrRelay has a heartbeat answered by this node's term, or relays it to the leader.
func (c *Core) answerOrRelay(now time.Duration, to effects.RequestID, open *openHeartbeat) {
	in := effects.RelayedHeartbeat{Via: c.settings.Node, Life: c.clockZeroMS, Report: *open.report}
	leader := c.elector.LeaderName()
	switch {
	case c.term != nil && c.isolatedLeader(now) && c.turnAway(now, to, open.report):
	case c.term != nil:
		c.openHeartbeats[to] = open
		c.term.HandleHeartbeat(now, c.elector.LeaseValid(now), to, in)
		c.advanceTerm(now)
	case leader != "":
		open.relayedTo = leader
		open.relays++
		c.openHeartbeats[to] = open
		c.emit(effects.RelayHeartbeat{To: to, Leader: leader, Report: in})
	default:
		c.replyHeartbeat(to, c.keepAliveAnswer(now, open.report))
	}
}

// checkWorkerEpoch ends the term when a worker has seen a token of a later one.
func (c *Core) checkWorkerEpoch(now time.Duration, report *workers.Report) {
	if c.term == nil {
		return
	}
	reportEpoch := report.Token >> cluster.TokenBits
	state := reconcile.Machine{Epoch: c.elector.Epoch(), ReportEpoch: reportEpoch}
	if reconcile.Report(state).Resolution() == reconcile.StepDown {
		c.elector.Superseded(now, reportEpoch)
		c.advanceTerm(now)
	}
}

// completeAnswer makes of the leader's answer to a heartbeat what its worker is told: with the
// offers that this node's shard starts, or without the leader.
func (c *Core) completeAnswer(
	now time.Duration, report *workers.Report, answer effects.HeartbeatAnswer,
) effects.HeartbeatAnswer {
	switch answer.Status {
	case http.StatusOK:
		answer.Commands = append(answer.Commands, c.startOffers(now, report, answer)...)
	case http.StatusMisdirectedRequest:
		c.shards.Release(report.Machine)
	case http.StatusServiceUnavailable:
		answer = c.keepAliveAnswer(now, report)
	}
	return answer
}

// startOffers has this node's shard pick among what it is offered for the machine; it returns
// the start commands.
func (c *Core) startOffers(
	now time.Duration, report *workers.Report, answer effects.HeartbeatAnswer,
) []workers.Command {
	c.shards.Renew(report.Machine, answer.Token, now+settings.Seconds(answer.LeaseS))
	picked := c.shards.Pick(now, answer.Offers, answer.Room)
	if c.term != nil {
		c.term.OffersStarted(now, report.Machine, picked)
	}
	var starts []workers.Command
	for _, offer := range picked {
		starts = append(starts, offer.Start)
	}
	return starts
}

// keepAliveAnswer answers a worker while the leader cannot be asked: with the last token, so
// that tasks outlive the leader and outages, and with no command.
func (c *Core) keepAliveAnswer(now time.Duration, report *workers.Report) effects.HeartbeatAnswer {
	if token, ok := c.shards.KeepAlive(now, report); ok {
		return effects.HeartbeatAnswer{Status: http.StatusOK, Token: token}
	}
	if report.Token > 0 && c.zoneCutOff(now) {
		return effects.HeartbeatAnswer{Status: http.StatusOK, Token: report.Token}
	}
	return effects.HeartbeatAnswer{Status: http.StatusServiceUnavailable}
}
