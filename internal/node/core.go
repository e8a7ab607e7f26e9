package node

import (
	"net/http"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/term"
	"bitternmoor/internal/settings"
)

// Core is the controller's state machine. Each input comes with the current time, and TakeEffects
// returns what is to be sent, written and answered. It uses no clock, socket or goroutine. Times
// are durations since the controller started.
type Core struct {
	settings          *settings.Settings
	clockOriginUnixMS int64 // time of day at time 0, in Unix milliseconds; its error is bounded
	elector           *leadership.Elector
	term              *term.Term             // nil while this node does not lead
	shards            *scheduler.ShardHolder // the machines for which this node starts offered tasks
	config            config.Replica         // this node's copy of the run-time configuration

	// Effects not yet taken, and the values for metrics.
	outbox   []effects.Effect
	counts   cluster.Counts
	measures cluster.Metrics

	// When a leader last had contact with peers, its machines and the state service.
	lastHeartbeatAt time.Duration
	lastContactAt   time.Duration            // when inContact was last true
	leaseValidAt    time.Duration            // when its lease was last seen to be valid
	peerAnsweredAt  map[string]time.Duration // when a peer last answered a heartbeat

	// Heartbeats of this node's workers that have not been answered yet.
	openHeartbeats map[effects.RequestID]*openHeartbeat

	// A leader that this node cannot reach.
	unreachedLeader string        // the leader that the last call did not reach, or empty
	unreachedSince  time.Duration // when calls to it began to fail
	lastProbeAt     time.Duration

	// Machines that were redirected to other controllers.
	redirectedAt map[string]time.Duration
	lastReturnAt time.Duration // when one of them last came back
}

// NewCore makes the core of a controller that started at the time of day clockOriginUnixMS, in
// Unix milliseconds. The time of day is never used to order events; it only lets a later leader
// compute how long a job has been waiting.
func NewCore(cfg *settings.Settings, clockOriginUnixMS int64) *Core {
	elector := leadership.NewElector(cfg.Node, settings.Seconds(cfg.Tunables.LeaderLeaseS))
	if cfg.Tunables.ZonePatienceS > 0 || cfg.Tunables.ColdStartCensus == 1 {
		// Distinguishes a leader that merely cannot reach this node from one that has stopped.
		elector.SilenceLimit = leaseExpiryDelay(cfg)
	}
	return &Core{
		settings:          cfg,
		clockOriginUnixMS: clockOriginUnixMS,
		elector:           elector,
		shards:            scheduler.NewShardHolder(),
		peerAnsweredAt:    map[string]time.Duration{},
		openHeartbeats:    map[effects.RequestID]*openHeartbeat{},
		redirectedAt:      map[string]time.Duration{},
	}
}

// TakeEffects returns the effects since the last call, in the order in which they arose.
func (c *Core) TakeEffects() []effects.Effect {
	taken := c.outbox
	for _, e := range taken {
		if reply, ok := e.(effects.Reply); ok {
			c.countReply(reply.Answer.Status)
		}
	}
	c.outbox = nil
	return taken
}

func (c *Core) countReply(status int) {
	if status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		c.counts.Refused++
	} else {
		c.counts.Answered++
	}
}

func (c *Core) emit(list ...effects.Effect) { c.outbox = append(c.outbox, list...) }

func (c *Core) emitLeadership(requests []leadership.Request) {
	for _, request := range requests {
		c.emit(effects.LeadershipRequest{Request: request})
	}
}

func (c *Core) emitLog(level effects.Level, message string, args ...any) {
	c.emit(effects.LogMessage{Level: level, Message: message, Args: args})
}

// advanceTerm is called after every input. It ends and begins terms according to the elector's
// role, and collects the term's effects.
func (c *Core) advanceTerm(now time.Duration) {
	leading := c.elector.Role() == leadership.Leader
	if c.term != nil && (!leading || c.term.Epoch != c.elector.Epoch()) {
		c.endTerm(now)
	}
	if c.term == nil && leading {
		c.beginTerm(now)
	}
	if c.term != nil {
		c.term.Flush(now)
		c.collectTermEffects(now)
	}
}

func (c *Core) endTerm(now time.Duration) {
	c.term.End()
	c.collectTermEffects(now)
	c.emitLog(effects.Info, "term ended", "epoch", c.term.Epoch)
	c.term = nil
}

func (c *Core) beginTerm(now time.Duration) {
	c.counts.Terms++
	lastHeard, missedAt := c.elector.LeaderlessTimes()
	c.term = term.New(cluster.TermStart{
		Cfg:                   c.settings,
		ClockOriginUnixMS:     c.clockOriginUnixMS,
		Epoch:                 c.elector.Epoch(),
		LastLeaderHeartbeatAt: lastHeard,
		PreviousLeader:        c.elector.PreviousLeader(c.elector.Epoch()),
		LeaderLossDetectedAt:  missedAt,
		TermBegan:             now,
		Counts:                &c.counts,
		Metrics:               &c.measures,
		Config:                &c.config,
	})
	c.emitLog(effects.Info, "elected leader", "epoch", c.term.Epoch)
	c.emit(effects.LoadLog{Epoch: c.term.Epoch})
}

// collectTermEffects emits the term's effects. The term's answers to this node's own workers are
// completed first, see completeAnswer.
func (c *Core) collectTermEffects(now time.Duration) {
	for _, e := range c.term.DrainEffects() {
		if reply, ok := e.(effects.ReplyHeartbeat); ok {
			if open := c.openHeartbeats[reply.To]; open != nil {
				delete(c.openHeartbeats, reply.To)
				answer := c.completeAnswer(now, open.report, reply.Answer)
				e = effects.ReplyHeartbeat{To: reply.To, Answer: answer}
			}
		}
		c.emit(e)
	}
}

// Leading reports whether this node leads, and returns the leader's name, if known.
func (c *Core) Leading() (leading bool, leader string) {
	return c.term != nil, c.elector.LeaderName()
}

// canServe reports whether this node can serve users: it leads, has read the log, and its lease is
// valid.
func (c *Core) canServe(now time.Duration) bool {
	return c.term != nil && c.term.Loaded() && c.elector.LeaseValid(now)
}

// Tick advances everything that depends on time. It is called several times a second.
func (c *Core) Tick(now time.Duration) {
	c.emitLeadership(c.elector.Tick(now))
	c.shards.Expire(now)
	c.expireRedirects(now)
	c.probeUnreachedLeader(now)
	if c.elector.LeaseValid(now) {
		c.leaseValidAt = now
	}
	if c.term != nil {
		c.tickTerm(now)
	}
	c.advanceTerm(now)
}

// tokensResignDuration is how long a leader that ran out of tokens does not stand for election.
const tokensResignDuration = time.Second

func (c *Core) tickTerm(now time.Duration) {
	c.term.Tick(now, c.elector.LeaseValid(now))
	c.sendHeartbeats(now)
	c.resignIfIsolated(now)
	if !c.term.TokensExhausted() {
		return
	}
	// A term runs out of tokens only after hundreds of thousands of machines changed their shard, or
	// as many direct starts had to be reaped. The next term has its own range of tokens.
	c.emitLog(effects.Info, "fencing tokens exhausted, resigning leadership", "epoch", c.term.Epoch)
	c.emitLeadership(c.elector.Resign(now, tokensResignDuration))
}

// Epoch returns the epoch of this node's current or last term, or 0 if it never led.
func (c *Core) Epoch() uint64 { return c.elector.Epoch() }

// Stop gives up leadership, so that the next leader need not wait for the lease to expire. It is
// an optimization only: correctness does not depend on it.
func (c *Core) Stop(now time.Duration) {
	c.emitLeadership(c.elector.Resign(now, resignDuration))
	c.advanceTerm(now)
}
