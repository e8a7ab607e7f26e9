// Package cluster holds the shared state of a leader's term: jobs, machines, the tasks
// placed on them, and the order in which jobs get resources, with the operations that
// several components need. All components of a leader read it; each keeps its private
// state to itself.
//
// The package has no clock, socket or goroutine. Times are durations since an origin that
// the node chooses; side effects are emitted as values of package effects.
package cluster

import (
	"errors"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/intern"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/sizing"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
)

// ErrUnknownView is returned by a component that does not have the requested view.
var ErrUnknownView = errors.New("no such view")

// TermStart holds the parameters of a new term.
type TermStart struct {
	Cfg               *settings.Settings
	ClockOriginUnixMS int64 // time of day at the origin of the clock, in Unix milliseconds
	Epoch             uint64

	LastLeaderHeartbeatAt time.Duration           // when this node last heard from a leader; 0 if never
	LeaderLossDetectedAt  time.Duration           // when this node detected that there was no leader
	TermBegan             time.Duration           // when this node was elected
	PreviousLeader        leadership.LeaderRecord // the preceding leader, as observed by this node

	// The following are kept beyond the end of the term.
	Counts  *Counts
	Metrics *Metrics
	Config  *config.Replica // nil if the configuration cannot change at run time
}

// State is the state that all components of a term share. Its fields are grouped by the
// component that writes them; every component may read them.
type State struct {
	TermStart

	// Set when the term begins and constant afterwards.
	Token    uint64        // fencing token of machines that have not moved between shards
	EventLog *eventlog.Log // set when the term replays the log; all components append to it

	// Jobs and their order. lifecycle adds, finishes and removes jobs; registry and
	// placement place and release their tasks. lifecycle, registry and fairshare update the
	// sizes, and runtimes the expected run times; placement charges the scheduler's teams.
	Jobs      *jobs.Table
	Estimator *sizing.Estimator
	Scheduler *scheduler.Scheduler

	// Machines and the tasks on them. registry adds machines, applies their heartbeats and
	// adopts tasks; placement plans tasks. A planned task is assigned to a machine, but
	// is not known to have been started.
	Inventory       *workers.Inventory
	Placements      map[workers.TaskRef]*workers.Placement
	AwaitingRestart map[workers.TaskRef]*workers.Placement // see ReleaseOrRestart
	SentTo          map[workers.TaskRef]*workers.Machine   // machine to which a start was sent directly; written by dispatch
	// FirstSessionStarts holds, by job index, the machines to which starts of the job's tasks were sent directly in
	// their workers' first session, until the machines are deleted; written by dispatch.
	FirstSessionStarts map[int32]map[*workers.Machine]bool
	MachinesWithPlans  []*workers.Machine // machines that may have plans; placement removes the others
	LastMachineNumber  int                // highest number assigned to a machine by registry or placement
	Reconciled         *reconcile.Tally   // stored state compared with this term's heartbeats, by registry

	// NeedsCycle is set when a change requires a scheduling cycle. Every component may set
	// it; placement resets it.
	NeedsCycle bool

	// DispatchQueue holds the planned tasks that may be pushed to their workers: placement
	// appends to it, dispatch removes from it.
	DispatchQueue []*workers.Placement

	// Names and their indices. Entries are only added. The comment names the writer.
	Teams     intern.Names // methods of State, together with the scheduler's limits
	Zones     intern.Names
	Images    intern.Names           // lifecycle
	TypeNames intern.Names           // autoscaler
	Types     []eventlog.MachineType // by index of TypeNames: autoscaler

	// Hooks that one component provides to the others. Each is set by that component if it
	// is enabled.
	Pools      scheduler.Pools // pools; nil if there are no pools
	Gate       Gate            // coldstart; nil if no action is delayed
	StartPacer StartPacer      // coldstart; nil if starts are not rate-limited
	Rebalancer Rebalancer      // rebalance; nil if machines are not moved between shards

	// Maintained by the methods of State.
	lastAttempt             uint64
	issuedTokens            uint64              // number of tokens issued in addition to Token
	configuredTeams         []bool              // by team index: whether the team is configured and may submit
	unresolvedMachines      int                 // number of unresolved machines, see unresolved.go
	unresolvedWithoutNumber int                 // number of unresolved machines without a registry number
	unresolvedUse           []resources.Amounts // by team index: what unresolved machines may be using
	subscribers             []Subscriber
	pendingEffects          []effects.Effect
}

// New returns the state of a term before its log has been replayed.
func New(start TermStart) *State {
	if start.Cfg.Tunables.ConfigHistory > 0 {
		copied := *start.Cfg // private copy: tunables may change during the term
		start.Cfg = &copied
	}
	if start.Metrics == nil {
		start.Metrics = &Metrics{}
	}
	tunables := &start.Cfg.Tunables
	s := &State{
		TermStart:   start,
		Token:       start.Epoch << TokenBits,
		lastAttempt: start.Epoch << attemptBits,
		Jobs:        jobs.NewTable(),
		Inventory:   workers.NewInventory(),
		Estimator: sizing.New(sizing.Params{
			TrainingTasks: tunables.TrainingTasks,
			Xi:            tunables.Eagerness,
			Delta:         tunables.TrainingLimitS,
			InitialSize:   tunables.FirstSizeS,
		}),
		Placements:         map[workers.TaskRef]*workers.Placement{},
		SentTo:             map[workers.TaskRef]*workers.Machine{},
		FirstSessionStarts: map[int32]map[*workers.Machine]bool{},
		AwaitingRestart:    map[workers.TaskRef]*workers.Placement{},
		Reconciled:         &reconcile.Tally{},
	}
	s.Scheduler = scheduler.New(nil, tunables.TrainingAtOnce)
	for _, team := range start.Cfg.Deployment.Teams {
		s.SetTeam(team)
	}
	s.Scheduler.ReportInterval = settings.Seconds(start.Cfg.Deployment.Workers.ReportS)
	s.Scheduler.Locality = settings.Seconds(tunables.LocalityS)
	s.Scheduler.ZoneAffinity = tunables.ZoneAffinityS
	s.Scheduler.BeginWithin = settings.Seconds(tunables.BeginWithinS)
	s.Scheduler.UrgentFirst = tunables.UrgentFirst == 1
	return s
}
