// Package term composes what a leader does from its election to its end. A term
// is a list of duties, each with its own state and entries; the term routes
// inputs to them, replays the log through them, and writes what they say.
package term

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/autoscaler"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/coldstart"
	"bitternmoor/internal/leader/dispatch"
	"bitternmoor/internal/leader/failover"
	"bitternmoor/internal/leader/fairshare"
	"bitternmoor/internal/leader/lifecycle"
	"bitternmoor/internal/leader/placement"
	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/leader/probe"
	"bitternmoor/internal/leader/rebalance"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/leader/registry"
	"bitternmoor/internal/leader/runtimes"
	"bitternmoor/internal/leader/slo"
	"bitternmoor/internal/wire"
)

// Component is one thing that a leader does. It keeps what it knows to itself and
// is the only one to encode, replay and keep the entries that it writes; every
// duty is offered every entry and takes its own. cluster.Plain has a method that
// does nothing for each of these.
type Component interface {
	// Replay takes an entry of the log, in its order, before the term begins;
	// Begin follows the last one.
	Replay(now time.Duration, e eventlog.Entry)
	Begin(now time.Duration)
	// Durable tells of an entry of this term that was appended as a fact.
	EntryDurable(now time.Duration, sure bool, e eventlog.Entry)
	// Hear tells what happens, while it happens.
	HandleEvent(e cluster.Event)
	// Tick does what is due by time, before a pass; Send what is due after it.
	// Without being sure of the term nothing may be started or told of jobs.
	Tick(now time.Duration, sure bool)
	AfterCycle(now time.Duration, sure bool)
	// Write hands what has gathered to the log, when the next commit may begin.
	AppendEntries(now time.Duration)
	// Live is roughly how many bytes of the log are live. Keep writes anew what
	// is live of an entry whose segment is about to be removed; Kept follows the
	// last entry of a cleaning.
	LiveBytes() int
	Compact(now time.Duration, e eventlog.Entry)
	CompactionDone()
}

// LoadedLog is what a new leader reads back: the log's entries in order, with the
// numbers of its first and last segment, and the virtual sizes, oldest first,
// with how many pieces of them there may be.
type LoadedLog struct {
	First, Last int
	Entries     []eventlog.Entry
	Sizes       []eventlog.VirtualSize
	Pieces      int
}

// Term is what a leader knows and does from its election to its end. It has no
// clock and does nothing by itself.
type Term struct {
	*cluster.State
	Users            *lifecycle.Component // what users ask goes to it directly
	fairShare        *fairshare.Component
	registry         *registry.Component
	placement        *placement.Component
	autoscaler       *autoscaler.Component
	coldStart        *coldstart.Component // nil: switched off
	probe            *probe.Component     // nil: switched off, or no aim asks for it
	reconfig         *reconfig.Component  // nil: switched off
	dispatch         *dispatch.Component  // nil: switched off, or no aim asks for it
	components       []Component          // in the order in which they begin and tick
	componentsByName map[string]Component // of entries of their own, by name
	loaded           bool

	firstSegment       int // number of the log's oldest segment
	compacting         bool
	compactionBegan    time.Duration
	compactionEnd      int // the first segment that stays after the cleaning under way; 0: nothing is written yet
	compactionPosition int // how many entries must be durable before the others go
	unknownEntryLogged bool
}

// New begins a term; it does little until Load.
func New(start cluster.TermStart) *Term {
	s := cluster.New(start)
	t := &Term{State: s, Users: lifecycle.New(s), fairShare: fairshare.New(s), registry: registry.New(s), placement: placement.New(s), autoscaler: autoscaler.New(s),
		componentsByName: map[string]Component{}}
	t.add("", t.Users)
	t.add("", t.fairShare)
	t.add(registry.Name, t.registry)
	t.add(placement.Name, t.placement)
	t.add("", t.autoscaler)
	if keep := start.Cfg.Tunables.TakeoversKept; keep > 0 {
		t.add(failover.Name, failover.New(s, keep))
	}
	if s.Cfg.Tunables.ConfigHistory > 0 {
		t.reconfig = reconfig.New(s)
		t.add(reconfig.Name, t.reconfig)
	}
	if start.Cfg.Tunables.ColdListen == 1 || start.Cfg.Tunables.ColdKept > 0 {
		t.coldStart = coldstart.New(s)
		t.add(coldstart.Name, t.coldStart)
	}
	if start.Cfg.Tunables.DirectStarts > 0 && start.Cfg.AnyNeedsDispatch() {
		t.dispatch = dispatch.New(s)
		t.add(dispatch.Name, t.dispatch)
	}
	if start.Cfg.Tunables.AskSilent > 0 && start.Cfg.AnyNeedsDispatch() {
		t.probe = probe.New(s)
		t.add("", t.probe)
	}
	if start.Cfg.Tunables.SpreadMoves > 0 {
		t.add(rebalance.Name, rebalance.New(s))
	}
	if start.Cfg.Tunables.ServedWindowS > 0 {
		t.add(slo.Name, slo.New(s))
	}
	if len(start.Cfg.Tunables.Pools) > 0 {
		t.add(pools.Name, pools.New(s))
	}
	if start.Cfg.Tunables.RunTimesKinds > 0 {
		t.add(runtimes.Name, runtimes.New(s))
	}
	return t
}

// add composes a duty into the term. name is that of its own entries; those of
// the first version have their own fields and need none.
func (t *Term) add(name string, d Component) {
	t.components = append(t.components, d)
	t.Subscribe(d)
	if name != "" {
		t.componentsByName[name] = d
	}
}

// routeEntry hands an entry to the duties that may know it: one that a duty owns to
// that duty alone. It is false for an entry that none of them knows.
func (t *Term) routeEntry(e eventlog.Entry, f func(Component)) bool {
	if e.Component != nil {
		if d := t.componentsByName[e.Component.Duty]; d != nil {
			f(d)
			return true
		}
		return false
	}
	if e.Unknown != nil {
		return false
	}
	for _, d := range t.components {
		f(d)
	}
	return true
}

// viewer is a duty that operators may look into: it gives a JSON value.
type viewer interface {
	Show(now time.Duration, view string) (json.RawMessage, error)
}

// Show gives what operators may see: NAME of a duty, or NAME/VIEW where it has
// several. It is false where there is no such thing, or it is switched off.
func (t *Term) Show(now time.Duration, what string) (raw json.RawMessage, ok bool, err error) {
	name, view, _ := strings.Cut(what, "/")
	s, ok := t.componentsByName[name].(viewer)
	if !ok {
		return nil, false, nil
	}
	raw, err = s.Show(now, view)
	if errors.Is(err, cluster.ErrUnknownView) {
		return nil, false, nil
	}
	return raw, true, err
}

// gauger is a duty that has numbers of its own for metrics.
type gauger interface {
	Gauges(now time.Duration) []cluster.Gauge
}

// Gauges gives the numbers of all duties.
func (t *Term) Gauges(now time.Duration) (out []cluster.Gauge) {
	for _, d := range t.components {
		if g, ok := d.(gauger); ok {
			out = append(out, g.Gauges(now)...)
		}
	}
	return out
}

// configurable is a duty that operators may ask to change something.
type configurable interface {
	Change(now time.Duration, body json.RawMessage) (json.RawMessage, error)
}

// auditedConfigurable is one that remembers who has asked.
type auditedConfigurable interface {
	ChangeBy(now time.Duration, by string, body json.RawMessage) (json.RawMessage, error)
}

// Change has the duty with a name change something that somebody asks for. It is false where
// there is no such duty, it is switched off, or there is nothing that could be changed.
func (t *Term) Change(now time.Duration, name, by string, body json.RawMessage) (raw json.RawMessage, ok bool, err error) {
	switch c := t.componentsByName[name].(type) {
	case configurable:
		raw, err = c.Change(now, body)
	case auditedConfigurable:
		raw, err = c.ChangeBy(now, by, body)
	default:
		return nil, false, nil
	}
	return raw, true, err
}

// ConfigFor is what another controller is to be told of the configuration; nil: nothing.
func (t *Term) ConfigFor(peer string) *config.Update {
	if t.reconfig == nil || !t.loaded {
		return nil
	}
	return t.reconfig.UpdateFor(peer)
}

// ConfigAcknowledged takes another controller's word on the revision that it has in force.
func (t *Term) ConfigAcknowledged(now time.Duration, peer string, revision uint64) {
	if t.reconfig != nil && t.loaded {
		t.reconfig.Acknowledged(now, peer, revision)
	}
}

// Loaded says whether the log has been read: before, nothing is known of jobs.
func (t *Term) Loaded() bool { return t.loaded }

// Load replays the whole log.
func (t *Term) Load(now time.Duration, mark uint64, log LoadedLog) {
	w := t.Cfg.WriteLimits()
	t.EventLog = eventlog.NewLog(eventlog.Limits{WriteRPS: w.WriteRPS, ValueBytes: int(w.ValueKB * 1024), TxnOps: w.TxnOps}, leadership.EpochKey, mark, log.Last, log.Pieces)
	t.firstSegment = max(log.First, 1)
	for _, e := range log.Entries {
		if !t.routeEntry(e, func(d Component) { d.Replay(now, e) }) {
			t.logUnknownEntry(e)
		}
	}
	for _, d := range t.components {
		d.Begin(now)
	}
	t.fairShare.Restore(now, log.Sizes)
	t.loaded = true
	t.NeedsCycle = true
	registered, booting := 0, 0
	for _, m := range t.Inventory.All() {
		if m.Durable {
			registered++
		} else {
			booting++
		}
	}
	t.LogMessage(effects.Info, "term begun", "epoch", t.Epoch, "jobs", t.Estimator.Len(), "machines", registered, "booting", booting, "segments", log.Last-log.First+1)
}

// logUnknownEntry says once in a term that the log has entries of a duty that this
// program does not know, or that is switched off.
func (t *Term) logUnknownEntry(e eventlog.Entry) {
	if t.unknownEntryLogged {
		return
	}
	t.unknownEntryLogged = true
	if e.Component != nil {
		t.LogMessage(effects.Warn, "the log has entries of a duty that is not known or is switched off: they are kept as they are", "duty", e.Component.Duty)
		return
	}
	t.LogMessage(effects.Warn, "the log has entries that this version does not know: they are kept as they are", "first", string(e.Unknown[:min(len(e.Unknown), 80)]))
}

// valueReceiver is a duty that reads values of its own, after its term has begun.
type valueReceiver interface {
	// ValuesRead takes a page of them, in the order of their keys; ok is false for
	// one that could not be read.
	ValuesRead(now time.Duration, list []eventlog.Value, more, ok bool)
}

// ValuesRead takes a page of a duty's own values.
func (t *Term) ValuesRead(now time.Duration, duty string, list []eventlog.Value, more, ok bool) {
	if r, known := t.componentsByName[duty].(valueReceiver); known {
		r.ValuesRead(now, list, more, ok)
	}
}

// PreviousLeaderReported takes another controller's word on when it last heard a leader before this one.
func (t *Term) PreviousLeaderReported(now time.Duration, peer string, led leadership.LeaderRecord, known bool) {
	if t.coldStart != nil && t.loaded {
		t.coldStart.PeerLed(now, peer, led, known)
	}
}

// FleetKnowledge is what this leader tells the others of whether it knows what its machines do.
func (t *Term) FleetKnowledge() leadership.FleetKnowledge {
	switch {
	case t.coldStart == nil:
		return leadership.FleetUnsaid
	case !t.loaded:
		return leadership.FleetListening
	}
	return t.coldStart.Fleet()
}

// peerListener is a duty that hears when other controllers answer heartbeats.
type peerListener interface {
	PeerHeard(now time.Duration, peer string, took time.Duration)
}

// PeerHeard notes that another controller has answered a heartbeat, after so long.
func (t *Term) PeerHeard(now time.Duration, peer string, took time.Duration) {
	for _, d := range t.components {
		if h, ok := d.(peerListener); ok {
			h.PeerHeard(now, peer, took)
		}
	}
}

// Flush hands what has gathered to the log and sends what the log allows.
func (t *Term) Flush(now time.Duration) {
	if !t.loaded {
		return
	}
	if t.EventLog.Idle() {
		// Not before: so the entries of a job between two commits become one.
		// The last duties go first: grants, for which starts wait, before
		// completions.
		for i := len(t.components) - 1; i >= 0; i-- {
			t.components[i].AppendEntries(now)
		}
	}
	if txn := t.EventLog.NextTransaction(now); txn != nil {
		t.Emit(effects.Commit{Txn: *txn})
	}
}

// Committed takes the outcome of a commit.
func (t *Term) Committed(now time.Duration, sure bool, seq uint64, out eventlog.Outcome, mark uint64, failed []string) eventlog.CommitStep {
	facts, step := t.EventLog.CommitResult(now, seq, out, mark, failed)
	switch {
	case out == eventlog.Invalid && step == eventlog.Lost:
		t.LogMessage(effects.Error, "the state service refuses a transaction as malformed: the term ends", "epoch", t.Epoch, "pending", t.EventLog.Pending())
	case out == eventlog.Invalid:
		t.LogMessage(effects.Error, "the state service refuses a transaction as malformed: smaller values are tried", "epoch", t.Epoch, "pending", t.EventLog.Pending())
	}
	t.entriesDurable(now, sure, facts)
	if step == eventlog.Reread {
		t.Emit(effects.ReadBack{Key: t.EventLog.OpenSegmentKey()})
	}
	if sure {
		t.placement.RequestCycle(now)
	}
	t.registry.AnswerHeartbeats(now, sure)
	if t.dispatch != nil {
		t.dispatch.AfterCycle(now, sure)
	}
	return step
}

// ReadBack takes the value that settles a commit without an answer.
func (t *Term) ReadBack(now time.Duration, sure, read bool, mark uint64, value json.RawMessage) {
	t.entriesDurable(now, sure, t.EventLog.ReadBack(now, read, mark, value))
}

func (t *Term) entriesDurable(now time.Duration, sure bool, facts []eventlog.Entry) {
	for _, e := range facts {
		t.routeEntry(e, func(d Component) { d.EntryDurable(now, sure, e) })
	}
	t.dropCompactedSegments()
}

// Tick does what is due by time.
func (t *Term) Tick(now time.Duration, sure bool) {
	if !t.loaded {
		return
	}
	for _, d := range t.components {
		d.Tick(now, sure)
	}
	t.fairShare.Settle(now)
	if sure {
		t.placement.RunCycle(now)
		t.requestCompaction(now)
	}
	for _, d := range t.components {
		d.AfterCycle(now, sure)
	}
	t.registry.AnswerHeartbeats(now, sure)
}

// End answers everybody who still waits.
func (t *Term) End() {
	t.Users.End()
	t.registry.End()
}

// HandleHeartbeat takes in a worker's report, received by a controller.
func (t *Term) HandleHeartbeat(now time.Duration, sure bool, to effects.RequestID, in effects.RelayedHeartbeat) {
	if !t.loaded {
		t.Emit(effects.ReplyHeartbeat{To: to, Answer: effects.HeartbeatAnswer{Status: 200, Token: t.Token}})
		return
	}
	t.registry.HandleHeartbeat(now, sure, to, in)
}

// OffersStarted notes offers that the leader's own block has taken up.
func (t *Term) OffersStarted(now time.Duration, machine string, offers []workers.Offer) {
	t.registry.OffersStarted(now, machine, offers)
}

// WorkerProbed takes whether a silent worker has answered.
func (t *Term) WorkerProbed(machine string, ok bool) {
	if t.probe != nil && t.loaded {
		t.probe.WorkerProbed(machine, ok)
	}
}

// Dispatched takes a worker's report after starts sent straight to it, or none.
func (t *Term) Dispatched(now time.Duration, sure bool, machine string, token uint64, starts []workers.Command, r *workers.Report) {
	if t.dispatch != nil && t.loaded {
		t.dispatch.Dispatched(now, machine, token, starts, r)
		t.dispatch.AfterCycle(now, sure)
	}
}

// MachinesDeleted takes the result of a deletion.
func (t *Term) MachinesDeleted(now time.Duration, list []string, ok bool) {
	t.autoscaler.MachinesDeleted(now, ok)
	if ok {
		t.registry.MachinesDeleted(now, list)
	}
}

// RentalAnswered takes the result of a rental request.
func (t *Term) RentalAnswered(now time.Duration, name string, machines []string, res wire.RentResult) {
	t.autoscaler.RentalAnswered(now, name, machines, res)
}

// MachineTypesListed takes the machine types; an empty list is a failure.
func (t *Term) MachineTypesListed(now time.Duration, list []eventlog.MachineType) {
	if t.loaded {
		t.autoscaler.MachineTypesListed(now, list)
	}
}

// MachinesListed takes the cloud's list of machines.
func (t *Term) MachinesListed(now time.Duration, list []wire.ListedMachine, ok bool) {
	t.autoscaler.MachinesListed(now, list, ok)
}
