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

// maxRelays limits how often one heartbeat is relayed. Its worker waits for the answer for longer
// than two peerTimeouts.
const maxRelays = 2

// openHeartbeat is a heartbeat of one of this node's workers that has not been answered yet.
type openHeartbeat struct {
	report    *workers.Report
	relayedTo string // the leader; empty: not relayed
	relays    int
}

// HandleHeartbeat handles a worker's heartbeat. The leader answers it itself; any other node relays
// it to the leader and answers with the leader's answer.
func (c *Core) HandleHeartbeat(now time.Duration, to effects.RequestID, report *workers.Report) {
	c.counts.Reports++
	c.checkWorkerEpoch(now, report)
	c.answerOrRelay(now, to, &openHeartbeat{report: report})
}

// HandleRelayedHeartbeat handles a heartbeat that another controller relayed. The leader answers it;
// any other node rejects it, and does not relay it again.
func (c *Core) HandleRelayedHeartbeat(now time.Duration, to effects.RequestID, in effects.RelayedHeartbeat) {
	c.checkWorkerEpoch(now, &in.Report)
	if c.term == nil {
		c.replyHeartbeat(to, effects.HeartbeatAnswer{Status: http.StatusServiceUnavailable})
		return
	}
	c.term.HandleHeartbeat(now, c.elector.LeaseValid(now), to, in)
	c.advanceTerm(now)
}

// RelayAnswered handles the leader's answer to a relayed heartbeat; ok is false if the leader was
// not reached.
func (c *Core) RelayAnswered(now time.Duration, to effects.RequestID, answer effects.HeartbeatAnswer, ok bool) {
	open := c.openHeartbeats[to]
	delete(c.openHeartbeats, to)
	if open == nil {
		return
	}
	c.LeaderContactResult(now, open.relayedTo, ok)
	if !ok && c.canRelayAgain(open) {
		c.answerOrRelay(now, to, open) // another node, perhaps this one, leads by now
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

// redirectFromUnreachedLeader makes a machine whose heartbeat did not reach the leader report
// elsewhere, if that is more likely to succeed. It reports whether the machine was answered.
func (c *Core) redirectFromUnreachedLeader(now time.Duration, to effects.RequestID, report *workers.Report) bool {
	return c.redirectToLeader(now, to, report) ||
		(c.isIsolatedFollower(now) && c.rejectHeartbeat(now, to, report))
}

func (c *Core) replyHeartbeat(to effects.RequestID, answer effects.HeartbeatAnswer) {
	c.emit(effects.ReplyHeartbeat{To: to, Answer: answer})
}

// answerOrRelay answers a heartbeat if this node leads, and otherwise relays it to the leader. If no
// leader is known, it answers with keepAliveAnswer.
func (c *Core) answerOrRelay(now time.Duration, to effects.RequestID, open *openHeartbeat) {
	in := effects.RelayedHeartbeat{Via: c.settings.Node, Life: c.clockOriginUnixMS, Report: *open.report}
	leader := c.elector.LeaderName()
	switch {
	case c.term != nil && c.isIsolatedLeader(now) && c.rejectHeartbeat(now, to, open.report):
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

// checkWorkerEpoch ends the term if the worker has seen a token of a later term.
func (c *Core) checkWorkerEpoch(now time.Duration, report *workers.Report) {
	if c.term == nil {
		return
	}
	reportEpoch := report.Token >> cluster.TokenBits
	state := reconcile.Machine{Epoch: c.elector.Epoch(), ReportEpoch: reportEpoch}
	if reconcile.Report(state).Resolution() == reconcile.StepDown {
		c.elector.EpochObserved(now, reportEpoch)
		c.advanceTerm(now)
	}
}

// completeAnswer turns the leader's answer into the answer for the worker. It adds the start commands
// for the offers that this node's shard accepts, or keeps the worker alive if the leader is
// unavailable.
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

// startOffers renews the machine's lease in this node's shard, lets the shard pick from the offers
// for the machine, and returns the start commands of the picked offers.
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

// keepAliveAnswer returns the answer to a worker while no leader can be asked. For a machine of this
// node's shard, or in an isolated zone, it has the last token and no commands, so that tasks survive
// the loss of the leader and outages. Other workers are rejected.
func (c *Core) keepAliveAnswer(now time.Duration, report *workers.Report) effects.HeartbeatAnswer {
	if token, ok := c.shards.KeepAlive(now, report); ok {
		return effects.HeartbeatAnswer{Status: http.StatusOK, Token: token}
	}
	if report.Token > 0 && c.zoneIsolated(now) {
		return effects.HeartbeatAnswer{Status: http.StatusOK, Token: report.Token}
	}
	return effects.HeartbeatAnswer{Status: http.StatusServiceUnavailable}
}
