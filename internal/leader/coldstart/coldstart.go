// Package coldstart is the component that starts a leader's term after a period without a
// leader. The leader then waits for heartbeats before it acts: a census of the registered
// machines determines when enough of the fleet's state is known for each kind of action, task
// starts are rate-limited while the leader catches up, and the recovery is recorded together
// with the actions that turned out to be needless. docs/cold-start.md is its design note and
// the operators' page.
//
// The rules by which the leader proves what may be running do not change (see package reconcile,
// grants and intents): the census only delays actions that are otherwise allowed, each for a
// bounded time.
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

// Name is the key of the component and of its log entries.
const Name = "cold-start"

// startKind is the way in which a term started.
type startKind uint8

const (
	undecided     startKind = iota // the peers have not answered yet whether they heard from a leader
	coldStart                      // no recent leader with a known fleet state preceded the term
	failoverStart                  // a failover from a recent leader, or the first start of an installation
)

const (
	// peerAnswerTimeout is how long the peers have to answer. A peer that does not answer
	// proves nothing: it is down, cut off, or of a version without this request.
	peerAnswerTimeout = 1500 * time.Millisecond

	// maxPacingTime is when the rate limit of task starts ends at the latest, and
	// recordingTime is how long needless actions are recorded. Both count from the start of the
	// term.
	maxPacingTime = time.Minute
	recordingTime = 2 * time.Minute

	// peerLostAfter is how long after its last answer a peer counts as lost.
	peerLostAfter = 3 * time.Second

	// maxAnnounceDelay is the time after its election in which a leader announces itself to peers.
	maxAnnounceDelay = 2 * time.Second
)

// Component handles the start of a term. It is the term's cluster.Gate and cluster.StartPacer.
type Component struct {
	cluster.NopComponent
	*cluster.State
	kind         startKind
	census       *Census
	startLimiter *ratelimit.StartLimiter
	recorder     recorder

	// Peers, by node name.
	peersAsked   map[string]bool // peers whose answer is still awaited
	peersAskedAt time.Duration
	peerHeardAt  map[string]time.Duration // when they last answered

	newestEntryMS int64 // wall-clock time of the newest entry that has one, in milliseconds
}

// New creates the component for a term.
func New(s *cluster.State) *Component {
	d := &Component{State: s, peersAsked: map[string]bool{}, peerHeardAt: map[string]time.Duration{}}
	d.recorder.initialize(s)
	if s.Cfg.Tunables.ColdStartCensus == 1 {
		s.Gate, s.StartPacer = d, d
	}
	return d
}

// Replay finds the newest wall-clock time in the log, and keeps the records of earlier cold starts.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.Job != nil:
		d.newestEntryMS = max(d.newestEntryMS, e.Job.AtMS)
	case e.CompletedTasks != nil:
		d.newestEntryMS = max(d.newestEntryMS, e.CompletedTasks.AtMS)
	case e.Component != nil:
		d.recorder.replay(d.State, e)
	}
}

// Begin starts the census and determines the kind of start, if this node can do so alone: from
// the stored state, which shows whether there is anything to recover, and from whether this
// process has heard from a leader recently. Otherwise it asks the peers.
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
		Share:    tunables.ColdSettledShare,
		Interval: settings.Seconds(d.Cfg.Deployment.Workers.ReportS),
		Peers:    len(d.Cfg.Peers),
	}
	d.census = NewCensus(now, params, unresolvedByZone)
	d.startLimiter = ratelimit.NewStartLimiter(ratelimit.StartLimits{ZoneStartsPerSecond: tunables.ColdStartsPerSecond, MaxImageFetches: tunables.ColdMaxImageFetches})
	switch {
	case unresolved == 0 && d.Jobs.Len() == 0:
		d.setKind(now, failoverStart) // there is nothing to recover
	case d.isFailoverFrom(d.LeaderLossDetectedAt, d.PreviousLeader):
		d.setKind(now, failoverStart)
	case len(d.Cfg.Peers) == 0:
		d.setKind(now, coldStart)
	default:
		d.askPeers(now)
	}
}

// askPeers asks all peers when they last heard from a leader.
func (d *Component) askPeers(now time.Duration) {
	d.peersAskedAt = now
	for _, p := range d.Cfg.Peers {
		d.peersAsked[p.Node] = true
		d.Emit(effects.AskPreviousLeader{Peer: p.Node, Epoch: d.Epoch})
	}
}

// isFailoverFrom reports whether the given leader led until recently and had announced that the
// fleet's state was known to it. A leader that announced nothing, because of an older version or
// its settings, is treated as if it had announced that, unless it was gone before it could
// announce anything.
//
// The announcement matters when the first leader after a cold start fails during its census: in
// a randomized test the next leader then treated this as a failover, and deleted machines that
// were about to report.
func (d *Component) isFailoverFrom(now time.Duration, previous leadership.LeaderRecord) bool {
	if !previous.Known || now-previous.Until >= settings.Seconds(d.Cfg.Tunables.ColdAfterS) {
		return false
	}
	switch previous.Fleet {
	case leadership.FleetKnown:
		return true
	case leadership.FleetUnspecified:
		return previous.Until-previous.Since >= maxAnnounceDelay
	}
	return false
}

// FleetKnowledge returns what this leader announces to its peers: whether the fleet's state is known.
func (d *Component) FleetKnowledge() leadership.FleetKnowledge {
	if d.kind == failoverStart || (d.census != nil && d.census.settled) {
		return leadership.FleetKnown
	}
	return leadership.FleetReconciling
}

// PreviousLeaderReported applies a peer's answer about the leader before this one. known is
// false if the peer did not answer.
func (d *Component) PreviousLeaderReported(now time.Duration, peer string, previous leadership.LeaderRecord, known bool) {
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
	if known && d.isFailoverFrom(now, previous) {
		d.setKind(now, failoverStart)
	} else if len(d.peersAsked) == 0 {
		d.setKind(now, coldStart)
	}
}

// PeerHeard records that a peer has answered a heartbeat.
func (d *Component) PeerHeard(now time.Duration, peer string, _ time.Duration) {
	d.peerHeardAt[peer] = now
}

// setKind sets the kind of start, and begins the record of a cold start.
func (d *Component) setKind(now time.Duration, k startKind) {
	d.kind = k
	d.NeedsCycle = true
	if k != coldStart {
		d.recorder.finished = true
		return
	}
	d.recorder.begin(d, now)
	registered, _ := d.census.Counts()
	d.LogMessage(effects.Info, "cold start detected, taking census of workers",
		"epoch", d.Epoch, "machines", registered, "jobs", d.Jobs.Len(),
		"down_at_least", d.recorder.current.minDowntime().String(),
		"down_at_most", d.recorder.current.maxDowntime().String(),
		"at_longest", d.census.MaxSilenceAllowance().String())
}

// Tick updates the census and the record, and stops waiting for peers after peerAnswerTimeout.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if d.kind == undecided && now-d.peersAskedAt >= peerAnswerTimeout {
		d.setKind(now, coldStart)
	}
	if d.kind == failoverStart {
		return
	}
	d.census.SetUnreachablePeers(now, d.lostPeers(now))
	if before := d.census.settled; d.census.Settled(now) && !before {
		registered, heard := d.census.Counts()
		d.NeedsCycle = true
		after := (now - d.TermBegan).Round(10 * time.Millisecond)
		d.LogMessage(effects.Info, "cold start census settled",
			"epoch", d.Epoch, "heard", heard, "of", registered, "after", after.String())
	}
	d.recorder.tick(d, now, leaseValid)
}

// lostPeers counts the peers that have not answered within peerLostAfter.
func (d *Component) lostPeers(now time.Duration) int {
	lost := 0
	for _, p := range d.Cfg.Peers {
		if at, heard := d.peerHeardAt[p.Node]; !heard || now-at > peerLostAfter {
			lost++
		}
	}
	return lost
}

// Permits reports whether actions of a kind may be taken now. Starts are always permitted: the
// proof that they require is just as valid after a cold start. So are deletions of silent
// machines, because they wait for SilenceAllowance in any case. Renting and returning machines,
// and preempting and moving tasks, are permitted once the fleet's state is settled.
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

// SilenceAllowance returns how long after the start of the term a machine that has not been
// heard since then may still be alive.
func (d *Component) SilenceAllowance() time.Duration {
	if d.kind == failoverStart {
		return 0
	}
	return d.census.SilenceAllowance()
}

// Allows reports whether a task of a job may be placed on a machine now. While the leader
// catches up, starts are rate-limited per zone. A machine without the job's image is also refused
// while it is fetching too many images.
func (d *Component) Allows(now time.Duration, j *jobs.Job, m *workers.Machine) bool {
	return !d.pacesStarts(now) || d.startLimiter.Allows(now, m.Zone, m.HasImage(j.Image), m.ImagesToFetch())
}

// TaskStarted charges a task start to the rate limit of the machine's zone.
func (d *Component) TaskStarted(now time.Duration, m *workers.Machine) {
	if d.pacesStarts(now) {
		d.startLimiter.Spend(now, m.Zone)
	}
}

// pacesStarts reports whether starts are rate-limited: after a cold start, until the work that
// may have been running is recovered, and for maxPacingTime at most.
func (d *Component) pacesStarts(now time.Duration) bool {
	return d.kind == coldStart && !d.recorder.allRecovered() && now-d.TermBegan < maxPacingTime
}

// HandleEvent updates the census and the record.
func (d *Component) HandleEvent(e cluster.Event) {
	if d.kind == failoverStart {
		return
	}
	if e.Kind == cluster.MachineResolved && d.census != nil {
		d.census.MachineHeard(e.At, e.Machine.Zone)
	}
	d.recorder.handleEvent(d, e)
}
