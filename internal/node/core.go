package node

import (
	"encoding/json"
	"time"

	"bitternmoor/internal/blocks"
	"bitternmoor/internal/cluster"
	"bitternmoor/internal/config"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leadership"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/reconfig"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/squaring"
	"bitternmoor/internal/term"
	"bitternmoor/internal/wire"
	"bitternmoor/internal/workers"
)

// Core is a controller as a state machine: inputs go in with the time, and
// Take gives what is to be sent, written and answered. It has no clock,
// socket or goroutine.
type Core struct {
	cfg  *settings.Settings
	zero int64 // time of day at time 0, in milliseconds; off by a known bound
	lead *leadership.Core
	term *term.Term
	hold *blocks.Holder
	out  []effects.Effect

	counts   cluster.Counts
	measures cluster.Measures
	config   config.Replica // what this node has of the configuration that may change
	hailAt   time.Duration
	deafAt   time.Duration                 // when this leader last heard of a peer or most of its machines
	peerAt   map[string]time.Duration      // when a peer last answered a hail
	open     map[effects.Asker]*openReport // reports of this node's workers without an answer yet

	// The leader that the last call did not reach, or empty; since when none has,
	// when it was last probed, and when machines were sent to it themselves.
	apartFrom string
	lostAt    time.Duration
	probeAt   time.Duration
	backAt    time.Duration // when one of them came back
	sureAt    time.Duration // when this node was last sure to lead
	sentTo    map[string]time.Duration
}

// NewCore makes the core of a controller whose time 0 is at this time of
// day, in milliseconds. The time of day orders nothing: it only tells a
// successor how long a job has been waiting.
func NewCore(cfg *settings.Settings, zero int64) *Core {
	lead := leadership.New(cfg.Node, settings.Seconds(cfg.Tunables.LeaderHoldS))
	if cfg.Tunables.ZonePatienceS > 0 || cfg.Tunables.ColdListen == 1 {
		// To tell a leader that merely does not reach this node from one that is gone.
		lead.Doubt = settings.Seconds(cfg.Tunables.LeaderHoldS) + hailEvery/2
	}
	return &Core{cfg: cfg, zero: zero, hold: blocks.NewHolder(), open: map[effects.Asker]*openReport{}, peerAt: map[string]time.Duration{}, sentTo: map[string]time.Duration{}, lead: lead}
}

// Take returns the effects since the last call.
func (c *Core) Take() []effects.Effect {
	out := c.out
	for _, e := range out {
		if r, ok := e.(effects.Reply); ok {
			if r.Answer.Status == 429 || r.Answer.Status >= 500 {
				c.counts.Refused++
			} else {
				c.counts.Answered++
			}
		}
	}
	c.out = nil
	return out
}

func (c *Core) orders(list []leadership.Order) {
	for _, o := range list {
		c.out = append(c.out, effects.Lead{Order: o})
	}
}

// after follows every input: it starts and ends terms and gathers effects.
func (c *Core) after(now time.Duration) {
	leading := c.lead.Role() == leadership.Leader
	if c.term != nil && (!leading || c.term.Epoch != c.lead.Epoch()) {
		c.term.End()
		c.gather(now)
		c.out = append(c.out, effects.Note{Level: effects.Info, Text: "term ended", Args: []any{"epoch", c.term.Epoch}})
		c.term = nil
	}
	if c.term == nil && leading {
		c.counts.Terms++
		led, vacant := c.lead.Vacancy()
		c.term = term.New(cluster.Start{Cfg: c.cfg, Zero: c.zero, Epoch: c.lead.Epoch(), LastLed: led, Before: c.lead.LedBefore(c.lead.Epoch()), Noticed: vacant, Began: now, Counts: &c.counts, Measures: &c.measures, Config: &c.config})
		c.out = append(c.out, effects.Note{Level: effects.Info, Text: "leading", Args: []any{"epoch", c.term.Epoch}}, effects.Load{Epoch: c.term.Epoch})
	}
	if c.term != nil {
		c.term.Pump(now)
		c.gather(now)
	}
}

// gather takes the term's effects. Answers to reports of this node's own
// block get what the block takes up.
func (c *Core) gather(now time.Duration) {
	for _, e := range c.term.Take() {
		if a, ok := e.(effects.ReplyReport); ok {
			if o := c.open[a.To]; o != nil {
				delete(c.open, a.To)
				e = effects.ReplyReport{To: a.To, Answer: c.finish(now, o.report, a.Answer)}
			}
		}
		c.out = append(c.out, e)
	}
}

// Leading says whether this node leads, and otherwise who does, if known.
func (c *Core) Leading() (bool, string) {
	return c.term != nil, c.lead.LeaderName()
}

// ready says whether jobs can be spoken of.
func (c *Core) ready(now time.Duration) bool {
	return c.term != nil && c.term.Loaded() && c.lead.Sure(now)
}

// Tick is called several times a second.
func (c *Core) Tick(now time.Duration) {
	c.orders(c.lead.Tick(now))
	c.hold.Tick(now)
	for m, at := range c.sentTo {
		if now-at > sendAgain {
			delete(c.sentTo, m)
		}
	}
	c.probe(now)
	if c.lead.Sure(now) {
		c.sureAt = now
	}
	if c.term != nil {
		c.term.Tick(now, c.lead.Sure(now))
		c.hail(now)
		if c.term.Spent() {
			// After hundreds of thousands of machines that changed their block, or direct starts
			// that had to be reaped: the next term has its own.
			c.out = append(c.out, effects.Note{Level: effects.Info, Text: "the tokens of this term are used up: leadership given up", Args: []any{"epoch", c.term.Epoch}})
			c.orders(c.lead.Resign(now, time.Second))
		}
	}
	c.after(now)
}

const (
	hailEvery   = time.Second
	cutOffAfter = 4 * time.Second  // without a peer's answer
	resignFor   = 10 * time.Second // for others to take over
)

// hail tells the peers who leads. A leader that no peer answers and that
// hears few of its machines is cut off itself: it makes room for one that is
// not, rather than delete machines that it merely cannot hear.
func (c *Core) hail(now time.Duration) {
	if now-c.hailAt >= hailEvery {
		c.hailAt = now
		for _, p := range c.cfg.Peers {
			c.out = append(c.out, effects.Hail{Peer: p.Node, Epoch: c.term.Epoch, Fleet: c.term.Fleet(), Config: c.term.ConfigFor(p.Node)})
		}
	}
	if len(c.cfg.Peers) == 0 || !c.lead.Sure(now) || now-c.term.Began < cutOffAfter || c.heardOf(now) || !c.term.Deaf(now) {
		c.deafAt = now
		return
	}
	if now-c.deafAt < c.tooFar()+settings.Seconds(1.25*c.cfg.Deployment.Workers.ReportS)+peerTimeout {
		return // machines that its peers cannot answer for are on their way here
	}
	c.out = append(c.out, effects.Note{Level: effects.Warn, Text: "cut off from peers and machines: leadership given up", Args: nil})
	c.orders(c.lead.Resign(now, resignFor))
}

// heardOf says whether a peer has answered this leader lately.
func (c *Core) heardOf(now time.Duration) bool {
	for _, at := range c.peerAt {
		if now-at < cutOffAfter {
			return true
		}
	}
	return false
}

// tooFar is how long a leader that this node does not reach must not have been
// reached: for longer than the hold of a dead one lasts.
func (c *Core) tooFar() time.Duration {
	return settings.Seconds(c.cfg.Tunables.LeaderHoldS) + hailEvery/2
}

// HailAnswered takes a peer's answer to a hail.
func (c *Core) HailAnswered(now time.Duration, peer string) {
	c.peerAt[peer] = now
	if c.term != nil {
		c.term.PeerHeard(now, peer, now-c.hailAt)
	}
}

// LedBefore is what this node knows of the last leader of an epoch before the given one.
func (c *Core) LedBefore(epoch uint64) leadership.Led { return c.lead.LedBefore(epoch) }

// PeerLed takes a peer's answer to AskLed, with its times on this node's clock; known is
// false where there was none.
func (c *Core) PeerLed(now time.Duration, epoch uint64, peer string, led leadership.Led, known bool) {
	if c.term != nil && c.term.Epoch == epoch {
		c.term.PeerLed(now, peer, led, known)
	}
	c.after(now)
}

// Hailed takes a hail of the leader.
func (c *Core) Hailed(now time.Duration, node string, epoch uint64, fleet leadership.Fleet) {
	c.lead.Hailed(now, node, epoch, fleet)
	c.after(now)
}

// ConfigTold takes what the leader that has just hailed tells of the configuration, and gives the
// revision that this node has in force then.
func (c *Core) ConfigTold(now time.Duration, node string, u config.Update) uint64 {
	if c.term == nil && node == c.lead.LeaderName() {
		c.config.Hear(now, u)
	}
	return c.config.Revision()
}

// ConfigHeld takes a peer's word on the revision that it has in force.
func (c *Core) ConfigHeld(now time.Duration, epoch uint64, peer string, revision uint64) {
	if c.term != nil && c.term.Epoch == epoch {
		c.term.ConfigHeld(now, peer, revision)
	}
}

// ConfigHere is what this node has of the configuration, and since when.
func (c *Core) ConfigHere(now time.Duration) reconfig.Here {
	leading, leader := c.Leading()
	h := reconfig.Here{Node: c.cfg.Node, Leads: leading, Leader: leader, Revision: c.config.Revision(), SinceS: (now - c.config.Since()).Seconds(), AgeS: -1, Sets: c.config.All()}
	switch heard := c.config.Heard(); {
	case c.ready(now):
		h.AgeS = 0
	case heard > 0:
		h.AgeS = (now - heard).Seconds()
	}
	return h
}

// Submit takes a submission.
func (c *Core) Submit(now time.Duration, to effects.Asker, s wire.Submission) {
	if !c.ready(now) {
		c.out = append(c.out, effects.Reply{To: to, Answer: effects.Unavailable("no leader at present")})
		return
	}
	c.term.Users.Submit(now, to, s)
	c.after(now)
}

// Query answers for a job's state.
func (c *Core) Query(now time.Duration, to effects.Asker, id uint64) {
	if !c.ready(now) {
		c.out = append(c.out, effects.Reply{To: to, Answer: effects.Unavailable("no leader at present")})
		return
	}
	c.term.Users.Query(to, id)
	c.after(now)
}

// Abort cancels a job.
func (c *Core) Abort(now time.Duration, to effects.Asker, id uint64) {
	if !c.ready(now) {
		c.out = append(c.out, effects.Reply{To: to, Answer: effects.Unavailable("no leader at present")})
		return
	}
	c.term.Users.Abort(now, to, id)
	c.after(now)
}

// Report takes a worker's report. The leader answers for its own block; any
// other node hands the report to the leader and answers as that says.
func (c *Core) Report(now time.Duration, to effects.Asker, r *workers.Report) {
	c.counts.Reports++
	c.met(now, r)
	c.take(now, to, &openReport{report: r})
}

// openReport is a report of this node's worker that has no answer yet.
type openReport struct {
	report *workers.Report
	leader string // to which it was handed; empty: to none
	tries  int
}

// take has a report answered by this node's term, or hands it to the leader.
func (c *Core) take(now time.Duration, to effects.Asker, o *openReport) {
	in := effects.Relayed{Via: c.cfg.Node, Life: c.zero, Report: *o.report}
	leader := c.lead.LeaderName()
	switch {
	case c.term != nil && c.lonely(now) && c.sendAway(now, to, o.report):
	case c.term != nil:
		c.open[to] = o
		c.term.Report(now, c.lead.Sure(now), to, in)
		c.after(now)
	case leader != "":
		o.leader = leader
		o.tries++
		c.open[to] = o
		c.out = append(c.out, effects.Relay{To: to, Leader: leader, Report: in})
	default:
		c.out = append(c.out, effects.ReplyReport{To: to, Answer: c.alone(now, o.report)})
	}
}

// met ends the term when a worker has seen a token of a later one.
func (c *Core) met(now time.Duration, r *workers.Report) {
	epoch := r.Token >> cluster.TokenBits
	if c.term != nil && squaring.Report(squaring.Machine{Epoch: c.lead.Epoch(), ReportEpoch: epoch}).Settlement() == squaring.StepDown {
		c.lead.Superseded(now, epoch)
		c.after(now)
	}
}

// pick has the node's block take up what it is offered for the machine.
func (c *Core) pick(now time.Duration, r *workers.Report, a effects.ReportAnswer) []workers.Command {
	c.hold.Renew(r.Machine, a.Token, now+settings.Seconds(a.LeaseS))
	picked := c.hold.Pick(now, a.Offers, a.Room)
	if c.term != nil {
		c.term.Started(now, r.Machine, picked)
	}
	var starts []workers.Command
	for _, o := range picked {
		starts = append(starts, o.Start)
	}
	return starts
}

// alone answers a worker while the leader cannot be asked: with the last
// token, so that tasks outlive the leader and outages, and with no command.
func (c *Core) alone(now time.Duration, r *workers.Report) effects.ReportAnswer {
	if token, ok := c.hold.KeepAlive(now, r); ok {
		return effects.ReportAnswer{Status: 200, Token: token}
	}
	if r.Token > 0 && c.cutOff(now) {
		return effects.ReportAnswer{Status: 200, Token: r.Token}
	}
	return effects.ReportAnswer{Status: 503}
}

// cutOff says whether this node seems to be cut off with its zone: no leader has hailed it
// for longer than a dead one's hold lasts, nor does the state service answer. Then it
// keeps alive whoever comes to it, for as long as the leader waits for a zone: with the
// highest token that the worker has seen, and with nothing to do. Such a worker has tried
// the others before, and would be the same at another node that is cut off too.
func (c *Core) cutOff(now time.Duration) bool {
	heard, _ := c.lead.Vacancy()
	silent := now - heard
	return heard > 0 && silent > c.tooFar()+peerTimeout && silent < settings.Seconds(c.cfg.Tunables.ZonePatienceS) && !c.lead.Served(now)
}

// finish makes of the leader's word on a report what its worker is told: with
// what the block takes up, or without the leader.
func (c *Core) finish(now time.Duration, r *workers.Report, a effects.ReportAnswer) effects.ReportAnswer {
	switch a.Status {
	case 200:
		a.Commands = append(a.Commands, c.pick(now, r, a)...)
	case 421:
		c.hold.Release(r.Machine)
	case 503:
		a = c.alone(now, r)
	}
	return a
}

// RelayAnswered takes the leader's word on a report that was handed to it.
func (c *Core) RelayAnswered(now time.Duration, to effects.Asker, a effects.ReportAnswer, ok bool) {
	o := c.open[to]
	delete(c.open, to)
	if o == nil {
		return
	}
	r := o.report
	c.Reached(now, o.leader, ok)
	if leader := c.lead.LeaderName(); !ok && o.tries < handOns && leader != "" && leader != o.leader {
		c.take(now, to, o) // somebody else leads by now, this node perhaps
		return
	}
	if !ok && (c.send(now, to, r) || (c.leftOut(now) && c.sendAway(now, to, r))) {
		return
	}
	switch {
	case !ok, a.Status == 421 && (a.Node == c.cfg.Node || a.Node == ""):
		a = effects.ReportAnswer{Status: 503}
	case a.Status == 421:
		c.hold.Release(r.Machine)
	}
	c.out = append(c.out, effects.ReplyReport{To: to, Answer: c.finish(now, r, a)})
	c.after(now)
}

// Reached notes whether a call reached the leader of that name, or a probe of it.
func (c *Core) Reached(now time.Duration, leader string, ok bool) {
	switch {
	case leader != c.lead.LeaderName():
	case ok:
		c.apartFrom = ""
	case c.apartFrom != leader:
		c.apartFrom, c.lostAt, c.probeAt = leader, now, now
	}
}

// Apart says whether somebody leads, as the state service shows, whom this node
// has not reached for longer than a dead leader's hold lasts: it can take neither
// users' requests nor reports.
func (c *Core) Apart(now time.Duration) bool {
	leader := c.lead.LeaderName()
	return leader != "" && leader == c.apartFrom && now-c.lostAt >= c.tooFar() && c.lead.Watches()
}

// probe asks now and then whether a leader that was not reached can be: there may
// be no report or request any more by which that would show.
func (c *Core) probe(now time.Duration) {
	if c.apartFrom != c.lead.LeaderName() {
		c.apartFrom = ""
	}
	if c.apartFrom != "" && now-c.probeAt >= hailEvery {
		c.probeAt = now
		c.out = append(c.out, effects.Probe{Peer: c.apartFrom})
	}
}

// handOns is how often one report is handed on: within twice a peer's deadline its
// worker still waits for the answer.
const handOns = 2

// sendAgain is for how long machines are not sent to a leader that this node does
// not reach, once one that was sent has come back within that time.
const sendAgain = 15 * time.Second

// send sends a machine to the leader itself when this node has not reached that
// for longer than the hold of a dead one lasts, while the state service still
// shows it to lead. Found on days when controllers refused one another: each
// kept its workers alive for a block's lease, the leader heard most of them no
// more, gave up leading, and the next one likewise. A machine that comes back
// has not reached the leader either: then all are kept alive as before.
func (c *Core) send(now time.Duration, to effects.Asker, r *workers.Report) bool {
	if _, back := c.sentTo[r.Machine]; back {
		c.backAt = now
	}
	if (c.backAt > 0 && now-c.backAt < sendAgain) || !c.Apart(now) {
		return false
	}
	if _, ours := c.hold.KeepAlive(now, r); !ours {
		return false // it goes from node to node by itself, and may have come from there
	}
	leader := c.lead.LeaderName()
	c.sentTo[r.Machine] = now
	c.hold.Release(r.Machine)
	c.out = append(c.out, effects.ReplyReport{To: to, Answer: effects.ReportAnswer{Status: 421, Node: leader}})
	return true
}

// lonely says whether this leader has lost the state service and all other controllers,
// and both at once: then the fault is most likely on its side, and somebody else leads by
// now or will. Others that were gone before are not cut off from it: found on a day on which
// the state service went out while they were not back yet from a crash; their leader sent
// its machines to controllers that were not there.
func (c *Core) lonely(now time.Duration) bool {
	var last time.Duration
	for _, at := range c.peerAt {
		last = max(last, at)
	}
	served := c.sureAt - settings.Seconds(c.cfg.Tunables.LeaderHoldS)
	return last > 0 && now-c.sureAt > c.tooFar() && now-last >= cutOffAfter && last > served-together
}

// leftOut says the same of a node that does not lead: for longer than a dead leader's hold
// lasts and a call takes it has reached neither the leader nor the state service.
func (c *Core) leftOut(now time.Duration) bool {
	return c.apartFrom != "" && now-c.lostAt >= c.tooFar()+peerTimeout && !c.lead.Served(now) && c.lostAt < c.lead.LastServed()+together
}

// together: what is lost within this time of one another is lost at once.
const together = 4 * time.Second

// sendAway has a machine try the other controllers, once: the leader gives it up when it
// does not come there in time. Those that come back have found nobody else, as in a zone
// that is cut off as a whole: then all are kept alive as before. One that was never in this
// node's block is always sent away. Found in a scenario in which the leader lost the state
// service and its peers but not its workers: new machines came to it first, were kept alive
// there, and the next leader never heard them.
func (c *Core) sendAway(now time.Duration, to effects.Asker, r *workers.Report) bool {
	if c.cutOff(now) {
		return false
	}
	if _, ours := c.hold.KeepAlive(now, r); ours {
		if _, back := c.sentTo[r.Machine]; back {
			c.backAt = now
		}
		if c.backAt > 0 && now-c.backAt < sendAgain {
			return false
		}
		c.sentTo[r.Machine] = now
	}
	c.out = append(c.out, effects.ReplyReport{To: to, Answer: effects.ReportAnswer{Status: 503}})
	return true
}

// Relayed serves a report that another controller handed on. It goes no
// further.
func (c *Core) Relayed(now time.Duration, to effects.Asker, in effects.Relayed) {
	c.met(now, &in.Report)
	if c.term == nil {
		c.out = append(c.out, effects.ReplyReport{To: to, Answer: effects.ReportAnswer{Status: 503}})
		return
	}
	c.term.Report(now, c.lead.Sure(now), to, in)
	c.after(now)
}

// Seen takes the result of leadership's Read.
func (c *Core) Seen(now time.Duration, seq uint64, ok bool, v leadership.View) {
	c.orders(c.lead.Seen(now, seq, ok, v))
	c.after(now)
}

// Changed takes the result of leadership's Watch.
func (c *Core) Changed(now time.Duration, seq uint64, ok bool) {
	c.orders(c.lead.Changed(now, seq, ok))
	c.after(now)
}

// Held takes the result of leadership's Hold.
func (c *Core) Held(now time.Duration, seq uint64, ok bool, hold uint64) {
	c.orders(c.lead.Held(now, seq, ok, hold))
	c.after(now)
}

// Claimed takes the result of leadership's Claim.
func (c *Core) Claimed(now time.Duration, seq uint64, ok bool, mark uint64) {
	c.orders(c.lead.Claimed(now, seq, ok, mark))
	c.after(now)
}

// Renewed takes the result of leadership's Renew.
func (c *Core) Renewed(now time.Duration, seq uint64, ok, gone bool) {
	c.orders(c.lead.Renewed(now, seq, ok, gone))
	c.after(now)
}

// Loaded takes the whole log, read after the term began.
func (c *Core) Loaded(now time.Duration, epoch uint64, log term.Durable) {
	if c.term != nil && c.term.Epoch == epoch && !c.term.Loaded() {
		c.term.Load(now, c.lead.Mark(), log)
	}
	c.after(now)
}

// Committed takes the outcome of a commit of the term.
func (c *Core) Committed(now time.Duration, epoch, seq uint64, out ledger.Outcome, mark uint64, failed []string) {
	if c.term != nil && c.term.Epoch == epoch {
		if c.term.Committed(now, c.lead.Sure(now), seq, out, mark, failed) == ledger.Lost {
			c.lead.Superseded(now, c.lead.Epoch()+1)
		}
	}
	c.after(now)
}

// Rechecked takes the value that settles a commit without an answer.
func (c *Core) Rechecked(now time.Duration, epoch uint64, read bool, mark uint64, value json.RawMessage) {
	if c.term != nil && c.term.Epoch == epoch {
		c.term.Rechecked(now, c.lead.Sure(now), read, mark, value)
	}
	c.after(now)
}

// Cleaned takes the log's oldest segments, read back: from the first one on,
// those numbered below end.
func (c *Core) Cleaned(now time.Duration, epoch uint64, first, end int, read bool, entries []ledger.Entry) {
	if c.term != nil && c.term.Epoch == epoch && c.term.Loaded() {
		c.term.Cleaned(now, first, end, read, entries)
	}
	c.after(now)
}

// GotValues takes a page of a duty's own values.
func (c *Core) GotValues(now time.Duration, epoch uint64, duty string, list []ledger.Value, more, ok bool) {
	if c.term != nil && c.term.Epoch == epoch && c.term.Loaded() {
		c.term.GotValues(now, duty, list, more, ok)
	}
	c.after(now)
}

// Deleted takes the result of a deletion.
func (c *Core) Deleted(now time.Duration, epoch uint64, list []string, ok bool) {
	if c.term != nil && c.term.Epoch == epoch {
		c.term.Deleted(now, list, ok)
	}
	c.after(now)
}

// Asked takes whether a silent worker that was asked has answered.
func (c *Core) Asked(now time.Duration, epoch uint64, machine string, ok bool) {
	if c.term != nil && c.term.Epoch == epoch {
		c.term.Asked(machine, ok)
	}
	c.after(now)
}

// Launched takes a worker's report after starts that were sent straight to it; nil: it is
// not known what became of them.
func (c *Core) Launched(now time.Duration, epoch uint64, machine string, token uint64, starts []workers.Command, r *workers.Report) {
	if c.term != nil && c.term.Epoch == epoch {
		c.term.Launched(now, c.lead.Sure(now), machine, token, starts, r)
	}
	c.after(now)
}

// Rented takes the result of a rental request.
func (c *Core) Rented(now time.Duration, epoch uint64, name string, machines []string, res wire.RentResult) {
	if c.term != nil && c.term.Epoch == epoch {
		c.term.Rented(now, name, machines, res)
	}
	c.after(now)
}

// GotTypes takes the machine types; an empty list is a failure.
func (c *Core) GotTypes(now time.Duration, epoch uint64, list []ledger.Type) {
	if c.term != nil && c.term.Epoch == epoch && c.term.Loaded() {
		c.term.GotTypes(now, list)
	}
	c.after(now)
}

// Listed takes the cloud's list of machines.
func (c *Core) Listed(now time.Duration, epoch uint64, list []wire.Listed, ok bool) {
	if c.term != nil && c.term.Epoch == epoch {
		c.term.Listed(now, list, ok)
	}
	c.after(now)
}

// Show gives what operators may see of a duty; known is false on a node that
// cannot tell, and the answer nil where there is no such duty.
func (c *Core) Show(now time.Duration, duty string) (raw json.RawMessage, known bool, err error) {
	if duty == reconfig.Name+"/"+reconfig.ViewHere && c.cfg.Tunables.ConfigHistory > 0 {
		raw, err = json.Marshal(c.ConfigHere(now)) // of this node, whoever leads
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
	if !c.ready(now) {
		return nil, false, nil
	}
	raw, _, err = c.term.Change(now, duty, by, body)
	c.after(now)
	return raw, true, err
}

// Measures gives what the duties have measured since the process began.
func (c *Core) Measures() []cluster.Histogram { return c.measures.All() }

// Gauges gives the numbers of the duties, on the leader.
func (c *Core) Gauges(now time.Duration) []cluster.Gauge {
	if c.term == nil || !c.term.Loaded() {
		return nil
	}
	return c.term.Gauges(now)
}

// Epoch is the epoch of this node's last term.
func (c *Core) Epoch() uint64 { return c.lead.Epoch() }

// Stop gives up leadership, so that the next leader need not wait for the
// hold to end. Nothing depends on it.
func (c *Core) Stop(now time.Duration) {
	c.orders(c.lead.Resign(now, resignFor))
	c.after(now)
}
