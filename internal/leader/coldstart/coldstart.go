// Package coldstart is the component that begins a leader's term after a time in which nobody
// led. The leader then listens before it acts: a census of the registered machines says when
// enough of the fleet's state is known for which kind of action; starts are rate-limited
// while it catches up; and one account is kept of the whole, with the actions that turned
// out to be needless. docs/cold-start.md is its design note and the operators' page.
//
// What proves anything stays as it is (package reconcile, grants and intents): the census
// only ever holds back actions that are allowed, and none for longer than a bounded time.
package coldstart

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/ratelimit"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Name is the key of the component, and of its entries.
const Name = "cold-start"

// startKind says what sort of a beginning this is.
type startKind uint8

const (
	undecided     startKind = iota // the peers have not said yet whether they heard a leader
	coldStart                      // nobody led before it
	failoverStart                  // a failover from a leader, or the very first start
)

const (
	// peerAnswerTimeout is how long the peers have to answer. One that does not proves
	// nothing: it is down, cut off, or of a version that does not know the question.
	peerAnswerTimeout = 1500 * time.Millisecond

	// maxPacingTime ends the rate limit of starts; needless actions are looked for until
	// accountTime, both from the term's beginning.
	maxPacingTime = time.Minute
	accountTime   = 2 * time.Minute

	// peerLostAfter is how long after its last answer to a heartbeat a peer counts as lost.
	peerLostAfter = 3 * time.Second

	// announceWithin is how long after its election a leader has announced itself to peers.
	announceWithin = 2 * time.Second
)

// Component begins a term. It is the term's cluster.Gate and cluster.StartPacer.
type Component struct {
	cluster.NopComponent
	*cluster.State
	kind         startKind
	census       *Census
	startLimiter *ratelimit.StartLimiter
	account      account

	// Peers, by node name.
	peersAsked   map[string]bool // those whose answer is waited for
	peersAskedAt time.Duration
	peerHeardAt  map[string]time.Duration // when they last answered

	newestEntryMS int64 // time of day of the newest entry that has one, in milliseconds
}

// New makes the component of a term.
func New(s *cluster.State) *Component {
	d := &Component{State: s, peersAsked: map[string]bool{}, peerHeardAt: map[string]time.Duration{}}
	d.account.initialize(s)
	if s.Cfg.Tunables.ColdListen == 1 {
		s.Gate, s.StartPacer = d, d
	}
	return d
}

// Replay looks for the last durable sign of the leaders before, and keeps their accounts.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.Job != nil:
		d.newestEntryMS = max(d.newestEntryMS, e.Job.AtMS)
	case e.CompletedTasks != nil:
		d.newestEntryMS = max(d.newestEntryMS, e.CompletedTasks.AtMS)
	case e.Component != nil:
		d.account.replay(d.State, e)
	}
}

// Begin decides what sort of a beginning this is, as far as it can be told from here: what is
// stored says whether there is anything to find out, and this process whether it has heard a
// leader lately. Otherwise the peers are asked.
func (d *Component) Begin(now time.Duration) {
	tunables := &d.Cfg.Tunables
	unresolvedByZone := make([]int, d.Zones.Len())
	unresolved := 0
	for _, m := range d.Inventory.All() {
		if m.Unresolved() {
			unresolvedByZone[m.Zone]++
			unresolved++
		}
	}
	params := Params{
		Share:    tunables.ColdSettled,
		Interval: settings.Seconds(d.Cfg.Deployment.Workers.ReportS),
		Peers:    len(d.Cfg.Peers),
	}
	d.census = NewCensus(now, params, unresolvedByZone)
	d.startLimiter = ratelimit.NewStartLimiter(ratelimit.StartLimits{ZoneStartsPerSecond: tunables.ColdStarts, MaxImageFetches: tunables.ColdImages})
	switch {
	case unresolved == 0 && d.Jobs.Len() == 0:
		d.setKind(now, failoverStart) // there is nothing to find out
	case d.isFailoverFrom(d.LeaderMissedAt, d.PreviousLeader):
		d.setKind(now, failoverStart)
	case len(d.Cfg.Peers) == 0:
		d.setKind(now, coldStart)
	default:
		d.askPeers(now)
	}
}

// askPeers asks all peers when they last heard a leader.
func (d *Component) askPeers(now time.Duration) {
	d.peersAskedAt = now
	for _, p := range d.Cfg.Peers {
		d.peersAsked[p.Node] = true
		d.Emit(effects.AskPreviousLeader{Peer: p.Node, Epoch: d.Epoch})
	}
}

// isFailoverFrom says whether a leader that was heard before knew what the fleet does: it led
// until lately, and said so. One that says nothing of its fleet, being of an older version
// or set otherwise, is taken for one that did, unless it was gone before it could have
// said anything. Found by a random day on which the first leader after a cold start fell
// in the middle of its census: the next one took over as from any other, and deleted
// machines that were on their way.
func (d *Component) isFailoverFrom(now time.Duration, led leadership.LeaderRecord) bool {
	if !led.Known || now-led.Until >= settings.Seconds(d.Cfg.Tunables.ColdAfterS) {
		return false
	}
	switch led.Fleet {
	case leadership.FleetKnown:
		return true
	case leadership.FleetUnspecified:
		return led.Until-led.Since >= announceWithin
	}
	return false
}

// Fleet is what this leader announces: whether it knows the fleet's state.
func (d *Component) Fleet() leadership.FleetKnowledge {
	if d.kind == failoverStart || (d.census != nil && d.census.settled) {
		return leadership.FleetKnown
	}
	return leadership.FleetReconciling
}

// PreviousLeaderReported applies a peer's answer on the last leader before this one. known is false where
// there was no answer.
func (d *Component) PreviousLeaderReported(now time.Duration, peer string, led leadership.LeaderRecord, known bool) {
	if known {
		d.peerHeardAt[peer] = now
	}
	if !d.peersAsked[peer] {
		return
	}
	delete(d.peersAsked, peer)
	if d.kind != undecided {
		return
	}
	if known && d.isFailoverFrom(now, led) {
		d.setKind(now, failoverStart)
	} else if len(d.peersAsked) == 0 {
		d.setKind(now, coldStart)
	}
}

// PeerHeard notes that a peer has answered a heartbeat.
func (d *Component) PeerHeard(now time.Duration, peer string, _ time.Duration) {
	d.peerHeardAt[peer] = now
}

// setKind decides what sort of a beginning this is; a cold start begins its account.
func (d *Component) setKind(now time.Duration, k startKind) {
	d.kind = k
	d.NeedsCycle = true
	if k != coldStart {
		d.account.closed = true
		return
	}
	d.account.begin(d, now)
	registered, _ := d.census.Counts()
	d.LogMessage(effects.Info, "cold start detected, taking census of workers",
		"epoch", d.Epoch, "machines", registered, "jobs", d.Jobs.Len(),
		"down_at_least", d.account.current.minDowntime().String(),
		"down_at_most", d.account.current.maxDowntime().String(),
		"at_longest", d.census.MaxSilenceAllowance().String())
}

// Tick follows the peers, the census and the account.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if d.kind == undecided && now-d.peersAskedAt >= peerAnswerTimeout {
		d.setKind(now, coldStart)
	}
	if d.kind == failoverStart {
		return
	}
	d.census.PeersUnreached(now, d.lostPeers(now))
	if before := d.census.settled; d.census.Settled(now) && !before {
		registered, heard := d.census.Counts()
		d.NeedsCycle = true
		after := (now - d.TermBegan).Round(10 * time.Millisecond)
		d.LogMessage(effects.Info, "cold start census settled",
			"epoch", d.Epoch, "heard", heard, "of", registered, "after", after.String())
	}
	d.account.tick(d, now, leaseValid)
}

// lostPeers counts the peers that have not answered lately.
func (d *Component) lostPeers(now time.Duration) int {
	lost := 0
	for _, p := range d.Cfg.Peers {
		if at, heard := d.peerHeardAt[p.Node]; !heard || now-at > peerLostAfter {
			lost++
		}
	}
	return lost
}

// Permits says whether actions of a kind may be taken now. Starts always may: what proves
// that a task may be started proves it here as well. Machines are rented and returned, and
// tasks preempted or moved, only once the fleet's state is settled.
func (d *Component) Permits(now time.Duration, action cluster.Action) bool {
	if d.kind == failoverStart {
		return true
	}
	switch action {
	case cluster.StartNew, cluster.StartAgain, cluster.Delete:
		return true
	}
	return d.census.Settled(now)
}

// SilenceAllowance is how long after the beginning a machine that has not been heard in this
// term may yet be one that lives.
func (d *Component) SilenceAllowance() time.Duration {
	if d.kind == failoverStart {
		return 0
	}
	return d.census.SilenceAllowance()
}

// Allows says whether a task of a job may be placed on a machine now. While the leader
// catches up, starts are rate-limited by zone, and bounded by images being fetched.
func (d *Component) Allows(now time.Duration, j *jobs.Job, m *workers.Machine) bool {
	return !d.pacesStarts(now) || d.startLimiter.Allows(now, m.Zone, m.HasImage(j.Image), m.ImagesToFetch())
}

// TaskStarted counts a start.
func (d *Component) TaskStarted(now time.Duration, m *workers.Machine) {
	if d.pacesStarts(now) {
		d.startLimiter.Spend(now, m.Zone)
	}
}

// pacesStarts says whether starts are rate-limited: after a cold start, until the work that
// was under way is recovered.
func (d *Component) pacesStarts(now time.Duration) bool {
	return d.kind == coldStart && !d.account.allRecovered() && now-d.TermBegan < maxPacingTime
}

// HandleEvent follows the census and keeps account.
func (d *Component) HandleEvent(e cluster.Event) {
	if d.kind == failoverStart {
		return
	}
	if e.Kind == cluster.MachineResolved && d.census != nil {
		d.census.MachineHeard(e.At, e.Machine.Zone)
	}
	d.account.handleEvent(d, e)
}
