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

// Core is a controller as a state machine: inputs go in with the time, and TakeEffects returns
// what is to be sent, written and answered. It has no clock, socket or goroutine. Times are
// durations since the controller started.
type Core struct {
	settings    *settings.Settings
	clockZeroMS int64 // time of day at time 0, in milliseconds; off by a known bound
	elector     *leadership.Elector
	term        *term.Term             // nil while this node does not lead
	shards      *scheduler.ShardHolder // the part of the machines whose offers this node starts
	config      config.Replica         // what this node has of the configuration that may change

	// What goes out: effects not yet taken, and what is counted and measured.
	outbox   []effects.Effect
	counts   cluster.Counts
	measures cluster.Metrics

	// A leader's contact with the others.
	lastHeartbeatAt time.Duration
	lastContactAt   time.Duration            // when it last heard of a peer or of most of its machines
	leaseValidAt    time.Duration            // when its lease was last valid
	peerAnsweredAt  map[string]time.Duration // when a peer last answered a heartbeat

	// Heartbeats of this node's workers without an answer yet.
	openHeartbeats map[effects.RequestID]*openHeartbeat

	// A leader that is not reached from here.
	unreachedLeader string        // the one that the last call did not reach, or empty
	unreachedSince  time.Duration // since when no call has reached it
	lastProbeAt     time.Duration

	// Machines that were redirected to other controllers.
	redirectedAt map[string]time.Duration
	lastReturnAt time.Duration // when one of them came back
}

// NewCore makes the core of a controller whose time 0 is at this time of day, in milliseconds
// since 1970. The time of day orders nothing: it only tells a successor how long a job has been
// waiting.
func NewCore(cfg *settings.Settings, clockZeroMS int64) *Core {
	elector := leadership.NewElector(cfg.Node, settings.Seconds(cfg.Tunables.LeaderLeaseS))
	if cfg.Tunables.ZonePatienceS > 0 || cfg.Tunables.ColdListen == 1 {
		// To tell a leader that merely does not reach this node from one that is gone.
		elector.SilenceLimit = leaseOutlasted(cfg)
	}
	return &Core{
		settings:       cfg,
		clockZeroMS:    clockZeroMS,
		elector:        elector,
		shards:         scheduler.NewShardHolder(),
		peerAnsweredAt: map[string]time.Duration{},
		openHeartbeats: map[effects.RequestID]*openHeartbeat{},
		redirectedAt:   map[string]time.Duration{},
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

// advanceTerm follows every input: it ends and begins terms as the elector says, and collects
// the term's effects.
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
		Cfg:             c.settings,
		ClockZeroMS:     c.clockZeroMS,
		Epoch:           c.elector.Epoch(),
		LastLeaderHeard: lastHeard,
		PreviousLeader:  c.elector.PreviousLeader(c.elector.Epoch()),
		LeaderMissedAt:  missedAt,
		TermBegan:       now,
		Counts:          &c.counts,
		Metrics:         &c.measures,
		Config:          &c.config,
	})
	c.emitLog(effects.Info, "elected leader", "epoch", c.term.Epoch)
	c.emit(effects.LoadLog{Epoch: c.term.Epoch})
}

// collectTermEffects takes the term's effects. Answers to heartbeats of this node's own workers
// are completed with the offers that its shard starts.
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

// Leading says whether this node leads, and otherwise who does, if known.
func (c *Core) Leading() (leading bool, leader string) {
	return c.term != nil, c.elector.LeaderName()
}

// canServe says whether users can be served: this node leads, has read the log, and its lease
// is valid.
func (c *Core) canServe(now time.Duration) bool {
	return c.term != nil && c.term.Loaded() && c.elector.LeaseValid(now)
}

// Tick is called several times a second.
func (c *Core) Tick(now time.Duration) {
	c.emitLeadership(c.elector.Tick(now))
	c.shards.Tick(now)
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

// tokensResignDuration is for how long a leader that is out of tokens does not lead again.
const tokensResignDuration = time.Second

func (c *Core) tickTerm(now time.Duration) {
	c.term.Tick(now, c.elector.LeaseValid(now))
	c.sendHeartbeats(now)
	c.resignIfIsolated(now)
	if !c.term.TokensExhausted() {
		return
	}
	// After hundreds of thousands of machines that changed their shard, or direct starts that
	// had to be reaped: the next term has tokens of its own.
	c.emitLog(effects.Info, "fencing tokens exhausted, resigning leadership", "epoch", c.term.Epoch)
	c.emitLeadership(c.elector.Resign(now, tokensResignDuration))
}

// Epoch is the epoch of this node's last term.
func (c *Core) Epoch() uint64 { return c.elector.Epoch() }

// Stop gives up leadership, so that the next leader need not wait for the lease to expire.
// Nothing depends on it.
func (c *Core) Stop(now time.Duration) {
	c.emitLeadership(c.elector.Resign(now, resignDuration))
	c.advanceTerm(now)
}
