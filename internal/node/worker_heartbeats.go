package node

import (
	"time"

	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// HandleHeartbeat takes a worker's report. The leader answers for its own block; any
// other node hands the report to the leader and answers as that says.
func (c *Core) HandleHeartbeat(now time.Duration, to effects.RequestID, r *workers.Report) {
	c.counts.Reports++
	c.checkWorkerEpoch(now, r)
	c.answerOrRelay(now, to, &openHeartbeat{report: r})
}

// openHeartbeat is a report of this node's worker that has no answer yet.
type openHeartbeat struct {
	report    *workers.Report
	relayedTo string // to which it was handed; empty: to none
	relays    int
}

// answerOrRelay has a report answered by this node's term, or hands it to the leader.
func (c *Core) answerOrRelay(now time.Duration, to effects.RequestID, o *openHeartbeat) {
	in := effects.RelayedHeartbeat{Via: c.settings.Node, Life: c.clockZeroMS, Report: *o.report}
	leader := c.elector.LeaderName()
	switch {
	case c.term != nil && c.isolatedLeader(now) && c.turnAway(now, to, o.report):
	case c.term != nil:
		c.openHeartbeats[to] = o
		c.term.HandleHeartbeat(now, c.elector.LeaseValid(now), to, in)
		c.advanceTerm(now)
	case leader != "":
		o.relayedTo = leader
		o.relays++
		c.openHeartbeats[to] = o
		c.outbox = append(c.outbox, effects.RelayHeartbeat{To: to, Leader: leader, Report: in})
	default:
		c.outbox = append(c.outbox, effects.ReplyHeartbeat{To: to, Answer: c.keepAliveAnswer(now, o.report)})
	}
}

// checkWorkerEpoch ends the term when a worker has seen a token of a later one.
func (c *Core) checkWorkerEpoch(now time.Duration, r *workers.Report) {
	epoch := r.Token >> cluster.TokenBits
	if c.term != nil && reconcile.Report(reconcile.Machine{Epoch: c.elector.Epoch(), ReportEpoch: epoch}).Resolution() == reconcile.StepDown {
		c.elector.Superseded(now, epoch)
		c.advanceTerm(now)
	}
}

// startOffers has the node's block take up what it is offered for the machine.
func (c *Core) startOffers(now time.Duration, r *workers.Report, a effects.HeartbeatAnswer) []workers.Command {
	c.shards.Renew(r.Machine, a.Token, now+settings.Seconds(a.LeaseS))
	picked := c.shards.Pick(now, a.Offers, a.Room)
	if c.term != nil {
		c.term.OffersStarted(now, r.Machine, picked)
	}
	var starts []workers.Command
	for _, o := range picked {
		starts = append(starts, o.Start)
	}
	return starts
}

// keepAliveAnswer answers a worker while the leader cannot be asked: with the last
// token, so that tasks outlive the leader and outages, and with no command.
func (c *Core) keepAliveAnswer(now time.Duration, r *workers.Report) effects.HeartbeatAnswer {
	if token, ok := c.shards.KeepAlive(now, r); ok {
		return effects.HeartbeatAnswer{Status: 200, Token: token}
	}
	if r.Token > 0 && c.zoneCutOff(now) {
		return effects.HeartbeatAnswer{Status: 200, Token: r.Token}
	}
	return effects.HeartbeatAnswer{Status: 503}
}

// zoneCutOff says whether this node seems to be cut off with its zone: no leader has sent it a heartbeat
// for longer than a dead one's hold lasts, nor does the state service answer. Then it
// keeps alive whoever comes to it, for as long as the leader waits for a zone: with the
// highest token that the worker has seen, and with nothing to do. Such a worker has tried
// the others before, and would be the same at another node that is cut off too.
func (c *Core) zoneCutOff(now time.Duration) bool {
	heard, _ := c.elector.WithoutLeader()
	silent := now - heard
	return heard > 0 && silent > c.unreachableLimit()+peerTimeout && silent < settings.Seconds(c.settings.Tunables.ZonePatienceS) && !c.elector.StateServiceAnswers(now)
}

// completeAnswer makes of the leader's word on a report what its worker is told: with
// what the block takes up, or without the leader.
func (c *Core) completeAnswer(now time.Duration, r *workers.Report, a effects.HeartbeatAnswer) effects.HeartbeatAnswer {
	switch a.Status {
	case 200:
		a.Commands = append(a.Commands, c.startOffers(now, r, a)...)
	case 421:
		c.shards.Release(r.Machine)
	case 503:
		a = c.keepAliveAnswer(now, r)
	}
	return a
}

// RelayAnswered takes the leader's word on a report that was handed to it.
func (c *Core) RelayAnswered(now time.Duration, to effects.RequestID, a effects.HeartbeatAnswer, ok bool) {
	o := c.openHeartbeats[to]
	delete(c.openHeartbeats, to)
	if o == nil {
		return
	}
	r := o.report
	c.PeerReached(now, o.relayedTo, ok)
	if leader := c.elector.LeaderName(); !ok && o.relays < maxRelays && leader != "" && leader != o.relayedTo {
		c.answerOrRelay(now, to, o) // somebody else leads by now, this node perhaps
		return
	}
	if !ok && (c.redirectToLeader(now, to, r) || (c.isolatedFollower(now) && c.turnAway(now, to, r))) {
		return
	}
	switch {
	case !ok, a.Status == 421 && (a.Node == c.settings.Node || a.Node == ""):
		a = effects.HeartbeatAnswer{Status: 503}
	case a.Status == 421:
		c.shards.Release(r.Machine)
	}
	c.outbox = append(c.outbox, effects.ReplyHeartbeat{To: to, Answer: c.completeAnswer(now, r, a)})
	c.advanceTerm(now)
}

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

// Partitioned says whether somebody leads, as the state service shows, whom this node
// has not reached for longer than a dead leader's hold lasts: it can take neither
// users' requests nor reports.
func (c *Core) Partitioned(now time.Duration) bool {
	leader := c.elector.LeaderName()
	return leader != "" && leader == c.unreachedLeader && now-c.unreachedSince >= c.unreachableLimit() && c.elector.Watching()
}

// probeUnreachedLeader asks now and then whether a leader that was not reached can be: there may
// be no report or request any more by which that would show.
func (c *Core) probeUnreachedLeader(now time.Duration) {
	if c.unreachedLeader != c.elector.LeaderName() {
		c.unreachedLeader = ""
	}
	if c.unreachedLeader != "" && now-c.lastProbeAt >= heartbeatInterval {
		c.lastProbeAt = now
		c.outbox = append(c.outbox, effects.ProbePeer{Peer: c.unreachedLeader})
	}
}

// handOns is how often one report is handed on: within twice a peer's deadline its
// worker still waits for the answer.
const maxRelays = 2

// sendAgain is for how long machines are not sent to a leader that this node does
// not reach, once one that was sent has come back within that time.
const redirectInterval = 15 * time.Second

// redirectToLeader sends a machine to the leader itself when this node has not reached that
// for longer than the hold of a dead one lasts, while the state service still
// shows it to lead. Found on days when controllers refused one another: each
// kept its workers alive for a block's lease, the leader heard most of them no
// more, gave up leading, and the next one likewise. A machine that comes back
// has not reached the leader either: then all are kept alive as before.
func (c *Core) redirectToLeader(now time.Duration, to effects.RequestID, r *workers.Report) bool {
	if _, back := c.redirectedAt[r.Machine]; back {
		c.lastReturnAt = now
	}
	if (c.lastReturnAt > 0 && now-c.lastReturnAt < redirectInterval) || !c.Partitioned(now) {
		return false
	}
	if _, ours := c.shards.KeepAlive(now, r); !ours {
		return false // it goes from node to node by itself, and may have come from there
	}
	leader := c.elector.LeaderName()
	c.redirectedAt[r.Machine] = now
	c.shards.Release(r.Machine)
	c.outbox = append(c.outbox, effects.ReplyHeartbeat{To: to, Answer: effects.HeartbeatAnswer{Status: 421, Node: leader}})
	return true
}

// isolatedLeader says whether this leader has lost the state service and all other controllers,
// and both at once: then the fault is most likely on its side, and somebody else leads by
// now or will. Others that were gone before are not cut off from it: found on a day on which
// the state service went out while they were not back yet from a crash; their leader sent
// its machines to controllers that were not there.
func (c *Core) isolatedLeader(now time.Duration) bool {
	var last time.Duration
	for _, at := range c.peerAnsweredAt {
		last = max(last, at)
	}
	served := c.leaseValidAt - settings.Seconds(c.settings.Tunables.LeaderHoldS)
	return last > 0 && now-c.leaseValidAt > c.unreachableLimit() && now-last >= peerSilenceLimit && last > served-simultaneousWindow
}

// isolatedFollower says the same of a node that does not lead: for longer than a dead leader's hold
// lasts and a call takes it has reached neither the leader nor the state service.
func (c *Core) isolatedFollower(now time.Duration) bool {
	return c.unreachedLeader != "" && now-c.unreachedSince >= c.unreachableLimit()+peerTimeout && !c.elector.StateServiceAnswers(now) && c.unreachedSince < c.elector.StateServiceAnsweredAt()+simultaneousWindow
}

// together: what is lost within this time of one another is lost at once.
const simultaneousWindow = 4 * time.Second

// turnAway has a machine try the other controllers, once: the leader gives it up when it
// does not come there in time. Those that come back have found nobody else, as in a zone
// that is cut off as a whole: then all are kept alive as before. One that was never in this
// node's block is always sent away. Found in a scenario in which the leader lost the state
// service and its peers but not its workers: new machines came to it first, were kept alive
// there, and the next leader never heard them.
func (c *Core) turnAway(now time.Duration, to effects.RequestID, r *workers.Report) bool {
	if c.zoneCutOff(now) {
		return false
	}
	if _, ours := c.shards.KeepAlive(now, r); ours {
		if _, back := c.redirectedAt[r.Machine]; back {
			c.lastReturnAt = now
		}
		if c.lastReturnAt > 0 && now-c.lastReturnAt < redirectInterval {
			return false
		}
		c.redirectedAt[r.Machine] = now
	}
	c.outbox = append(c.outbox, effects.ReplyHeartbeat{To: to, Answer: effects.HeartbeatAnswer{Status: 503}})
	return true
}

// HandleRelayedHeartbeat serves a report that another controller handed on. It goes no
// further.
func (c *Core) HandleRelayedHeartbeat(now time.Duration, to effects.RequestID, in effects.RelayedHeartbeat) {
	c.checkWorkerEpoch(now, &in.Report)
	if c.term == nil {
		c.outbox = append(c.outbox, effects.ReplyHeartbeat{To: to, Answer: effects.HeartbeatAnswer{Status: 503}})
		return
	}
	c.term.HandleHeartbeat(now, c.elector.LeaseValid(now), to, in)
	c.advanceTerm(now)
}
