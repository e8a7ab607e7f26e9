// Package coldstart is the duty that begins a term after a time in which nobody led.
// The leader then listens before it orders: a census of the registered machines says
// when the picture is settled enough for which kind of order; starts are paced while it
// catches up; and one account is kept of the whole, with the orders that turned out to
// be needless. docs/cold-start.md is its design note and the operators' page.
//
// What proves anything stays as it is (package squaring, grants and marks): the census
// only ever holds back orders that are allowed, and none for longer than a bounded time.
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

// Name is that of the duty, and of its entries.
const Name = "cold-start"

// startKind says what sort of a beginning this is.
type startKind uint8

const (
	undecided     startKind = iota // the others have not said yet whether they heard a leader
	coldStart                      // nobody led before it
	failoverStart                  // a takeover from a leader, or the very first start
)

const (
	// askedFor is how long the others have for their word. One that does not answer
	// says nothing: it is down, cut off, or of a version that does not know the question.
	peerAnswerTimeout = 1500 * time.Millisecond
	// catchUp ends pacing, and needless orders are looked for a while longer.
	maxPacingTime = time.Minute
	accountTime   = 2 * time.Minute
	peerLostAfter = 3 * time.Second // without an answer to a heartbeat
	// saysWithin is how long after its election a leader has told the others so.
	announceWithin = 2 * time.Second
)

// Component begins a term. It is the term's gate (cluster.Gate) and pacer (cluster.Pacer).
type Component struct {
	cluster.NopComponent
	*cluster.State
	kind          startKind
	peersAsked    map[string]bool // others whose word is waited for
	peersAskedAt  time.Duration
	peerHeardAt   map[string]time.Duration // when the others last answered
	census        *Census
	startLimiter  *ratelimit.StartLimiter
	newestEntryMS int64 // time of day of the newest entry that has one, in milliseconds
	account       account
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	d := &Component{State: s, peersAsked: map[string]bool{}, peerHeardAt: map[string]time.Duration{}}
	d.account.initialize(s)
	if s.Cfg.Tunables.ColdListen == 1 {
		s.Gate, s.StartPacer = d, d
	}
	return d
}

// Replay looks for the last sign of the leaders before, and takes accounts.
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

// Begin settles what sort of a beginning this is, as far as it can be told from here:
// what is stored says whether there is anything to find out, and this process whether
// it has heard a leader lately. Otherwise the others are asked.
func (d *Component) Begin(now time.Duration) {
	t := &d.Cfg.Tunables
	unheard := make([]int, d.Zones.Len())
	n := 0
	for _, m := range d.Inventory.All() {
		if m.Unresolved() {
			unheard[m.Zone]++
			n++
		}
	}
	d.census = NewCensus(now, Params{Share: t.ColdSettled, Interval: settings.Seconds(d.Cfg.Deployment.Workers.ReportS), Peers: len(d.Cfg.Peers)}, unheard)
	d.startLimiter = ratelimit.NewStartLimiter(ratelimit.Limits{Zone: t.ColdStarts, Images: t.ColdImages})
	switch {
	case n == 0 && d.Jobs.Len() == 0:
		d.setKind(now, failoverStart) // there is nothing to find out
	case d.isFailoverFrom(d.LeaderMissedAt, d.PreviousLeader):
		d.setKind(now, failoverStart)
	case len(d.Cfg.Peers) == 0:
		d.setKind(now, coldStart)
	default:
		d.peersAskedAt = now
		for _, p := range d.Cfg.Peers {
			d.peersAsked[p.Node] = true
			d.Emit(effects.AskPreviousLeader{Peer: p.Node, Epoch: d.Epoch})
		}
	}
}

// isFailoverFrom says whether a leader that was heard before knew what the fleet does: it led
// until lately, and said so. One that says nothing of its fleet, being of an older version
// or set otherwise, is taken for one that did, unless it was gone before it could have
// said anything. Found by a random day on which the first leader after a cold start fell
// in the middle of its census: the next one took over as from any other, and deleted
// machines that were on their way.
func (d *Component) isFailoverFrom(now time.Duration, led leadership.LeaderRecord) bool {
	return led.Ever && now-led.Until < settings.Seconds(d.Cfg.Tunables.ColdAfterS) &&
		(led.Fleet == leadership.FleetKnown || (led.Fleet == leadership.FleetUnsaid && led.Until-led.Since >= announceWithin))
}

// Fleet is what this leader says of itself.
func (d *Component) Fleet() leadership.FleetKnowledge {
	if d.kind == failoverStart || (d.census != nil && d.census.settled) {
		return leadership.FleetKnown
	}
	return leadership.FleetListening
}

// PeerLed takes another controller's word on the last leader before this one. known is
// false where there was no answer.
func (d *Component) PeerLed(now time.Duration, peer string, led leadership.LeaderRecord, known bool) {
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

// PeerHeard notes that another controller has answered a heartbeat.
func (d *Component) PeerHeard(now time.Duration, peer string, _ time.Duration) {
	d.peerHeardAt[peer] = now
}

func (d *Component) setKind(now time.Duration, k startKind) {
	d.kind = k
	d.NeedsCycle = true
	if k != coldStart {
		d.account.closed = true
		return
	}
	d.account.begin(d, now)
	registered, _ := d.census.Counts()
	d.LogMessage(effects.Info, "cold start: nobody led before this term; the fleet is listened to first", "epoch", d.Epoch, "machines", registered,
		"jobs", d.Jobs.Len(), "down_at_least", d.account.current.minDowntime().String(), "down_at_most", d.account.current.maxDowntime().String(), "at_longest", d.census.MaxSilenceAllowance().String())
}

// Tick settles what is due.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if d.kind == undecided && now-d.peersAskedAt >= peerAnswerTimeout {
		d.setKind(now, coldStart)
	}
	if d.kind == failoverStart {
		return
	}
	away := 0
	for _, p := range d.Cfg.Peers {
		if at, ok := d.peerHeardAt[p.Node]; !ok || now-at > peerLostAfter {
			away++
		}
	}
	d.census.PeersUnreached(now, away)
	if before := d.census.settled; d.census.Settled(now) && !before {
		registered, heard := d.census.Counts()
		d.NeedsCycle = true
		d.LogMessage(effects.Info, "cold start: the picture is settled", "epoch", d.Epoch, "heard", heard, "of", registered, "after", (now - d.TermBegan).Round(10*time.Millisecond).String())
	}
	d.account.tick(d, now, leaseValid)
}

// Permits says whether orders of a kind may be given now. Starts always may: what proves
// that a task may be started proves it here as well. Machines are rented and returned,
// and tasks stopped for others or moved, only once the picture is settled.
func (d *Component) Permits(now time.Duration, o cluster.Action) bool {
	if d.kind == failoverStart || o == cluster.StartNew || o == cluster.StartAgain || o == cluster.Delete {
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

// Allows says whether a task of a job may be given a machine now. While the leader
// catches up, starts are bounded by zone and by images under way.
func (d *Component) Allows(now time.Duration, j *jobs.Job, m *workers.Machine) bool {
	return !d.pacesStarts(now) || d.startLimiter.Allows(now, m.Zone, m.HasImage(j.Image), m.Fetching())
}

// TaskStarted counts a start.
func (d *Component) TaskStarted(now time.Duration, m *workers.Machine) {
	if d.pacesStarts(now) {
		d.startLimiter.Spend(now, m.Zone)
	}
}

// pacesStarts says whether starts are paced: after a cold start, until the work is back.
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
