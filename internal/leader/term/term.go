// Package term implements a leader's term, from its election to the end of its
// leadership. A term is a list of components, each with its own state and its own
// entries in the event log. The term routes inputs to them, replays the log through
// them, commits what they append, and runs the scheduling cycle.
//
// Like the components it has no clock, socket or goroutine: every method takes the
// current time, as a duration since an origin that the node chooses, and emits effects,
// which the node carries out. It must be called from one goroutine.
package term

import (
	"time"

	"bitternmoor/internal/core/eventlog"
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
)

// Component is one function of a leader. It has private state and is the only one to encode,
// replay and compact the entries that it writes. An entry that names its component is passed
// to that component; every other entry is passed to all, and each handles its own kinds.
// cluster.NopComponent implements all methods as no-ops.
//
// leaseValid reports whether the leader's lease still holds. Without a valid lease no task
// may be started and no request about jobs may be answered with their state.
type Component interface {
	// Replay applies one entry of the log, in the order of the log, before the term begins.
	Replay(now time.Duration, e eventlog.Entry)

	// Begin is called once in a term, after the last entry has been replayed.
	Begin(now time.Duration)

	// EntryDurable is called for each entry of this term that was appended with
	// AppendTracked, once it is durable in the state service.
	EntryDurable(now time.Duration, leaseValid bool, e eventlog.Entry)

	// HandleEvent handles an event of the term as it occurs.
	HandleEvent(e cluster.Event)

	// Tick performs time-driven work, before a scheduling cycle.
	Tick(now time.Duration, leaseValid bool)

	// AfterCycle performs the work that follows a scheduling cycle.
	AfterCycle(now time.Duration, leaseValid bool)

	// AppendEntries appends the entries collected since the last commit to the log. It is
	// called when the next commit may begin.
	AppendEntries(now time.Duration)

	// LiveBytes estimates how many bytes of the log are live entries of this component.
	LiveBytes() int

	// Compact appends again what is still live of an entry whose segment is about to be
	// removed.
	Compact(now time.Duration, e eventlog.Entry)

	// CompactionDone is called after the last entry of a compaction.
	CompactionDone()
}

// Term is the state of a leader's term and the components that act on it.
type Term struct {
	*cluster.State

	// The components that every term has. Lifecycle is exported because user requests are
	// passed to it directly.
	Lifecycle  *lifecycle.Component
	fairShare  *fairshare.Component
	registry   *registry.Component
	placement  *placement.Component
	autoscaler *autoscaler.Component

	// Optional components that are called directly; nil if disabled. probe and dispatch are
	// also nil if no objective requires them.
	coldStart *coldstart.Component
	probe     *probe.Component
	reconfig  *reconfig.Component
	dispatch  *dispatch.Component

	components       []Component          // in the order in which they begin and tick
	componentsByName map[string]Component // those with entries of their own, by the name in the entries

	loaded             bool // the log has been replayed
	unknownEntryLogged bool

	compaction
}

// New creates a term. Most inputs are ignored until Load has replayed the log.
func New(start cluster.TermStart) *Term {
	s := cluster.New(start)
	t := &Term{
		State:            s,
		Lifecycle:        lifecycle.New(s),
		fairShare:        fairshare.New(s),
		registry:         registry.New(s),
		placement:        placement.New(s),
		autoscaler:       autoscaler.New(s),
		componentsByName: map[string]Component{},
	}
	t.add("", t.Lifecycle)
	t.add("", t.fairShare)
	t.add(registry.Name, t.registry)
	t.add(placement.Name, t.placement)
	t.add("", t.autoscaler)
	t.addOperations(start)
	t.addDispatching(start)
	t.addModels(start)
	return t
}

// addOperations adds those of the components for failover, configuration and cold starts that
// are enabled.
func (t *Term) addOperations(start cluster.TermStart) {
	tunables := &start.Cfg.Tunables
	if keep := tunables.TakeoversKept; keep > 0 {
		t.add(failover.Name, failover.New(t.State, keep))
	}
	if tunables.ConfigHistory > 0 {
		t.reconfig = reconfig.New(t.State)
		t.add(reconfig.Name, t.reconfig)
	}
	if tunables.ColdStartCensus == 1 || tunables.ColdRecordsKept > 0 {
		t.coldStart = coldstart.New(t.State)
		t.add(coldstart.Name, t.coldStart)
	}
}

// addDispatching adds, if enabled, the components that contact workers outside of their
// heartbeats, and the one that distributes heartbeats over controllers.
func (t *Term) addDispatching(start cluster.TermStart) {
	tunables := &start.Cfg.Tunables
	if tunables.MaxPushDispatches > 0 && start.Cfg.AnyNeedsDispatch() {
		t.dispatch = dispatch.New(t.State)
		t.add(dispatch.Name, t.dispatch)
	}
	if tunables.MaxUnansweredProbes > 0 && start.Cfg.AnyNeedsDispatch() {
		t.probe = probe.New(t.State)
		t.add("", t.probe)
	}
	if tunables.RebalanceMoves > 0 {
		t.add(rebalance.Name, rebalance.New(t.State))
	}
}

// addModels adds those of the components for objectives, pools and models of run times that
// are enabled.
func (t *Term) addModels(start cluster.TermStart) {
	tunables := &start.Cfg.Tunables
	if tunables.ServedWindowS > 0 {
		t.add(slo.Name, slo.New(t.State))
	}
	if len(tunables.Pools) > 0 {
		t.add(pools.Name, pools.New(t.State))
	}
	if tunables.RunTimesKinds > 0 {
		t.add(runtimes.Name, runtimes.New(t.State))
	}
}

// add adds a component to the term. name identifies it in its log entries. It is empty for a
// component without such entries, or whose entries are separate fields of eventlog.Entry.
func (t *Term) add(name string, c Component) {
	t.components = append(t.components, c)
	t.Subscribe(c)
	if name != "" {
		t.componentsByName[name] = c
	}
}

// Tick performs time-driven work, and runs a scheduling cycle and requests a log compaction
// when they are due.
func (t *Term) Tick(now time.Duration, leaseValid bool) {
	if !t.loaded {
		return
	}
	for _, c := range t.components {
		c.Tick(now, leaseValid)
	}
	t.fairShare.FinalizeSizes(now)
	if leaseValid {
		t.placement.RunCycle(now)
		t.requestCompaction(now)
	}
	for _, c := range t.components {
		c.AfterCycle(now, leaseValid)
	}
	t.registry.AnswerHeartbeats(now, leaseValid)
}

// End answers all requests that are still waiting.
func (t *Term) End() {
	t.Lifecycle.End()
	t.registry.End()
}
