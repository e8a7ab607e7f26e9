package node

import (
	"encoding/json"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/leader/term"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// Core is a controller as a state machine: inputs go in with the time, and
// Take gives what is to be sent, written and answered. It has no clock,
// socket or goroutine.
type Core struct {
	settings    *settings.Settings
	clockZeroMS int64 // time of day at time 0, in milliseconds; off by a known bound
	elector     *leadership.Elector
	term        *term.Term
	shards      *scheduler.ShardHolder
	outbox      []effects.Effect

	counts          cluster.Counts
	measures        cluster.Metrics
	config          config.Replica // what this node has of the configuration that may change
	lastHeartbeatAt time.Duration
	lastContactAt   time.Duration                        // when this leader last heard of a peer or most of its machines
	peerAnsweredAt  map[string]time.Duration             // when a peer last answered a heartbeat
	openHeartbeats  map[effects.RequestID]*openHeartbeat // reports of this node's workers without an answer yet

	// The leader that the last call did not reach, or empty; since when none has,
	// when it was last probed, and when machines were sent to it themselves.
	unreachedLeader string
	unreachedSince  time.Duration
	lastProbeAt     time.Duration
	lastReturnAt    time.Duration // when one of them came back
	leaseValidAt    time.Duration // when this node was last sure to lead
	redirectedAt    map[string]time.Duration
}

// NewCore makes the core of a controller whose time 0 is at this time of
// day, in milliseconds. The time of day orders nothing: it only tells a
// successor how long a job has been waiting.
func NewCore(cfg *settings.Settings, zero int64) *Core {
	lead := leadership.NewElector(cfg.Node, settings.Seconds(cfg.Tunables.LeaderHoldS))
	if cfg.Tunables.ZonePatienceS > 0 || cfg.Tunables.ColdListen == 1 {
		// To tell a leader that merely does not reach this node from one that is gone.
		lead.SilenceLimit = settings.Seconds(cfg.Tunables.LeaderHoldS) + heartbeatInterval/2
	}
	return &Core{settings: cfg, clockZeroMS: zero, shards: scheduler.NewShardHolder(), openHeartbeats: map[effects.RequestID]*openHeartbeat{}, peerAnsweredAt: map[string]time.Duration{}, redirectedAt: map[string]time.Duration{}, elector: lead}
}

// TakeEffects returns the effects since the last call.
func (c *Core) TakeEffects() []effects.Effect {
	out := c.outbox
	for _, e := range out {
		if r, ok := e.(effects.Reply); ok {
			if r.Answer.Status == 429 || r.Answer.Status >= 500 {
				c.counts.Refused++
			} else {
				c.counts.Answered++
			}
		}
	}
	c.outbox = nil
	return out
}

func (c *Core) emitLeadership(list []leadership.Request) {
	for _, o := range list {
		c.outbox = append(c.outbox, effects.LeadershipRequest{Request: o})
	}
}

// advanceTerm follows every input: it starts and ends terms and gathers effects.
func (c *Core) advanceTerm(now time.Duration) {
	leading := c.elector.Role() == leadership.Leader
	if c.term != nil && (!leading || c.term.Epoch != c.elector.Epoch()) {
		c.term.End()
		c.collectTermEffects(now)
		c.outbox = append(c.outbox, effects.LogMessage{Level: effects.Info, Message: "term ended", Args: []any{"epoch", c.term.Epoch}})
		c.term = nil
	}
	if c.term == nil && leading {
		c.counts.Terms++
		led, vacant := c.elector.WithoutLeader()
		c.term = term.New(cluster.TermStart{Cfg: c.settings, ClockZeroMS: c.clockZeroMS, Epoch: c.elector.Epoch(), LastLeaderHeard: led, PreviousLeader: c.elector.PreviousLeader(c.elector.Epoch()), LeaderMissedAt: vacant, TermBegan: now, Counts: &c.counts, Metrics: &c.measures, Config: &c.config})
		c.outbox = append(c.outbox, effects.LogMessage{Level: effects.Info, Message: "leading", Args: []any{"epoch", c.term.Epoch}}, effects.LoadLog{Epoch: c.term.Epoch})
	}
	if c.term != nil {
		c.term.Flush(now)
		c.collectTermEffects(now)
	}
}

// collectTermEffects takes the term's effects. Answers to reports of this node's own
// block get what the block takes up.
func (c *Core) collectTermEffects(now time.Duration) {
	for _, e := range c.term.TakeEffects() {
		if a, ok := e.(effects.ReplyHeartbeat); ok {
			if o := c.openHeartbeats[a.To]; o != nil {
				delete(c.openHeartbeats, a.To)
				e = effects.ReplyHeartbeat{To: a.To, Answer: c.completeAnswer(now, o.report, a.Answer)}
			}
		}
		c.outbox = append(c.outbox, e)
	}
}

// Leading says whether this node leads, and otherwise who does, if known.
func (c *Core) Leading() (bool, string) {
	return c.term != nil, c.elector.LeaderName()
}

// canServe says whether jobs can be spoken of.
func (c *Core) canServe(now time.Duration) bool {
	return c.term != nil && c.term.Loaded() && c.elector.LeaseValid(now)
}

// Tick is called several times a second.
func (c *Core) Tick(now time.Duration) {
	c.emitLeadership(c.elector.Tick(now))
	c.shards.Tick(now)
	for m, at := range c.redirectedAt {
		if now-at > redirectInterval {
			delete(c.redirectedAt, m)
		}
	}
	c.probeUnreachedLeader(now)
	if c.elector.LeaseValid(now) {
		c.leaseValidAt = now
	}
	if c.term != nil {
		c.term.Tick(now, c.elector.LeaseValid(now))
		c.sendHeartbeats(now)
		if c.term.TokensExhausted() {
			// After hundreds of thousands of machines that changed their block, or direct starts
			// that had to be reaped: the next term has its own.
			c.outbox = append(c.outbox, effects.LogMessage{Level: effects.Info, Message: "the tokens of this term are used up: leadership given up", Args: []any{"epoch", c.term.Epoch}})
			c.emitLeadership(c.elector.Resign(now, time.Second))
		}
	}
	c.advanceTerm(now)
}

const (
	heartbeatInterval = time.Second
	peerSilenceLimit  = 4 * time.Second  // without a peer's answer
	resignDuration    = 10 * time.Second // for others to take over
)

// sendHeartbeats tells the peers who leads. A leader that no peer answers and that
// hears few of its machines is cut off itself: it makes room for one that is
// not, rather than delete machines that it merely cannot hear.
func (c *Core) sendHeartbeats(now time.Duration) {
	if now-c.lastHeartbeatAt >= heartbeatInterval {
		c.lastHeartbeatAt = now
		for _, p := range c.settings.Peers {
			c.outbox = append(c.outbox, effects.Heartbeat{Peer: p.Node, Epoch: c.term.Epoch, Fleet: c.term.FleetKnowledge(), Config: c.term.ConfigFor(p.Node)})
		}
	}
	if len(c.settings.Peers) == 0 || !c.elector.LeaseValid(now) || now-c.term.TermBegan < peerSilenceLimit || c.peerAnsweredLately(now) || !c.term.MostMachinesSilent(now) {
		c.lastContactAt = now
		return
	}
	if now-c.lastContactAt < c.unreachableLimit()+settings.Seconds(1.25*c.settings.Deployment.Workers.ReportS)+peerTimeout {
		return // machines that its peers cannot answer for are on their way here
	}
	c.outbox = append(c.outbox, effects.LogMessage{Level: effects.Warn, Message: "cut off from peers and machines: leadership given up", Args: nil})
	c.emitLeadership(c.elector.Resign(now, resignDuration))
}

// peerAnsweredLately says whether a peer has answered this leader lately.
func (c *Core) peerAnsweredLately(now time.Duration) bool {
	for _, at := range c.peerAnsweredAt {
		if now-at < peerSilenceLimit {
			return true
		}
	}
	return false
}

// unreachableLimit is how long a leader that this node does not reach must not have been
// reached: for longer than the hold of a dead one lasts.
func (c *Core) unreachableLimit() time.Duration {
	return settings.Seconds(c.settings.Tunables.LeaderHoldS) + heartbeatInterval/2
}

// HeartbeatAnswered takes a peer's answer to a heartbeat.
func (c *Core) HeartbeatAnswered(now time.Duration, peer string) {
	c.peerAnsweredAt[peer] = now
	if c.term != nil {
		c.term.PeerHeard(now, peer, now-c.lastHeartbeatAt)
	}
}

// PreviousLeader is what this node knows of the last leader of an epoch before the given one.
func (c *Core) PreviousLeader(epoch uint64) leadership.LeaderRecord {
	return c.elector.PreviousLeader(epoch)
}

// PreviousLeaderReported takes a peer's answer to AskLed, with its times on this node's clock; known is
// false where there was none.
func (c *Core) PreviousLeaderReported(now time.Duration, epoch uint64, peer string, led leadership.LeaderRecord, known bool) {
	if c.term != nil && c.term.Epoch == epoch {
		c.term.PreviousLeaderReported(now, peer, led, known)
	}
	c.advanceTerm(now)
}

// HeartbeatReceived takes a heartbeat of the leader.
func (c *Core) HeartbeatReceived(now time.Duration, node string, epoch uint64, fleet leadership.FleetKnowledge) {
	c.elector.HeartbeatReceived(now, node, epoch, fleet)
	c.advanceTerm(now)
}

// ApplyConfig takes what the leader that has just sent a heartbeat tells of the configuration, and gives the
// revision that this node has in force then.
func (c *Core) ApplyConfig(now time.Duration, node string, u config.Update) uint64 {
	if c.term == nil && node == c.elector.LeaderName() {
		c.config.Apply(now, u)
	}
	return c.config.Revision()
}

// ConfigAcknowledged takes a peer's word on the revision that it has in force.
func (c *Core) ConfigAcknowledged(now time.Duration, epoch uint64, peer string, revision uint64) {
	if c.term != nil && c.term.Epoch == epoch {
		c.term.ConfigAcknowledged(now, peer, revision)
	}
}

// LocalConfig is what this node has of the configuration, and since when.
func (c *Core) LocalConfig(now time.Duration) reconfig.LocalView {
	leading, leader := c.Leading()
	h := reconfig.LocalView{Node: c.settings.Node, Leads: leading, Leader: leader, Revision: c.config.Revision(), SinceS: (now - c.config.Since()).Seconds(), AgeS: -1, Sets: c.config.All()}
	switch heard := c.config.UpdatedAt(); {
	case c.canServe(now):
		h.AgeS = 0
	case heard > 0:
		h.AgeS = (now - heard).Seconds()
	}
	return h
}

// Submit takes a submission.
func (c *Core) Submit(now time.Duration, to effects.RequestID, s wire.Submission) {
	if !c.canServe(now) {
		c.outbox = append(c.outbox, effects.Reply{To: to, Answer: effects.Unavailable("no leader at present")})
		return
	}
	c.term.Users.Submit(now, to, s)
	c.advanceTerm(now)
}

// Query answers for a job's state.
func (c *Core) Query(now time.Duration, to effects.RequestID, id uint64) {
	if !c.canServe(now) {
		c.outbox = append(c.outbox, effects.Reply{To: to, Answer: effects.Unavailable("no leader at present")})
		return
	}
	c.term.Users.Query(to, id)
	c.advanceTerm(now)
}

// Cancel cancels a job.
func (c *Core) Cancel(now time.Duration, to effects.RequestID, id uint64) {
	if !c.canServe(now) {
		c.outbox = append(c.outbox, effects.Reply{To: to, Answer: effects.Unavailable("no leader at present")})
		return
	}
	c.term.Users.Cancel(now, to, id)
	c.advanceTerm(now)
}

// Show gives what operators may see of a duty; known is false on a node that
// cannot tell, and the answer nil where there is no such duty.
func (c *Core) Show(now time.Duration, duty string) (raw json.RawMessage, known bool, err error) {
	if duty == reconfig.Name+"/"+reconfig.ViewHere && c.settings.Tunables.ConfigHistory > 0 {
		raw, err = json.Marshal(c.LocalConfig(now)) // of this node, whoever leads
		return raw, true, err
	}
	if c.term == nil || !c.term.Loaded() {
		return nil, false, nil
	}
	raw, _, err = c.term.Show(now, duty)
	return raw, true, err
}

// Change has a duty change something that an operator asked for; known is false on
// a node that is not sure to lead, and the answer nil where there is no such duty.
func (c *Core) Change(now time.Duration, duty, by string, body json.RawMessage) (raw json.RawMessage, known bool, err error) {
	if !c.canServe(now) {
		return nil, false, nil
	}
	raw, _, err = c.term.Change(now, duty, by, body)
	c.advanceTerm(now)
	return raw, true, err
}

// Histograms gives what the duties have measured since the process began.
func (c *Core) Histograms() []cluster.Histogram { return c.measures.All() }

// Gauges gives the numbers of the duties, on the leader.
func (c *Core) Gauges(now time.Duration) []cluster.Gauge {
	if c.term == nil || !c.term.Loaded() {
		return nil
	}
	return c.term.Gauges(now)
}

// Epoch is the epoch of this node's last term.
func (c *Core) Epoch() uint64 { return c.elector.Epoch() }

// Stop gives up leadership, so that the next leader need not wait for the
// hold to end. Nothing depends on it.
func (c *Core) Stop(now time.Duration) {
	c.emitLeadership(c.elector.Resign(now, resignDuration))
	c.advanceTerm(now)
}
