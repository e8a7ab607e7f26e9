// Package cluster is the shared state of a leader's term: jobs, machines, the tasks that
// count as being on them, and the order in which jobs get resources, with the operations
// that several components need. All components of a leader read it; each keeps what only
// it needs to itself.
//
// It has no clock, socket or goroutine. Times are durations since an origin that the node
// chooses; what is to be done outside is emitted as effects.
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

// ErrUnknownView is what a component answers that is asked for a view it does not have.
var ErrUnknownView = errors.New("no such view")

// TermStart is what a term begins with.
type TermStart struct {
	Cfg         *settings.Settings
	ClockZeroMS int64 // time of day at time 0, in milliseconds
	Epoch       uint64

	LastLeaderHeard time.Duration           // when this node last heard from a leader; 0: it never did
	LeaderMissedAt  time.Duration           // when it found that nobody led
	TermBegan       time.Duration           // when it was elected
	PreviousLeader  leadership.LeaderRecord // the leader before, as this node heard from it

	// These outlive the term.
	Counts  *Counts
	Metrics *Metrics
	Config  *config.Replica // nil: nothing may be changed while controllers run
}

// State is what all components of a term share. Its fields are grouped by who writes them;
// everybody may read them.
type State struct {
	TermStart

	// Set when the term begins, and not after.
	Token    uint64        // fencing token of machines that have not changed their shard
	EventLog *eventlog.Log // set by the term when it replays the log; all components append to it

	// Jobs and their order. lifecycle adds, finishes and removes jobs, registry and
	// placement place and release their tasks. lifecycle, registry and fairshare keep the
	// sizes up, and runtimes its expectations; placement charges the scheduler's teams.
	Jobs      *jobs.Table
	Estimator *sizing.Estimator
	Scheduler *scheduler.Scheduler

	// Machines and the tasks on them. registry enters machines, takes in their heartbeats
	// and adopts tasks; placement plans tasks.
	Inventory         *workers.Inventory
	Placements        map[workers.TaskRef]*workers.Placement
	MachinesWithPlans []*workers.Machine // all on which tasks may be planned: ListMachineWithPlans, placement
	LastMachineNumber int                // last one given to a machine: registry, placement
	Reconciled        *reconcile.Tally   // differences between what was stored and heartbeats, in this term: registry

	// NeedsCycle says that something has changed that a scheduling cycle should look at.
	// Every component may set it; placement resets it.
	NeedsCycle bool

	// DispatchQueue is the planned tasks that may be pushed to their workers: placement
	// appends them, dispatch takes them out.
	DispatchQueue []*workers.Placement

	// Names and their indices, which only grow.
	Teams     intern.Names // SetTeam and others here, with the scheduler's limits
	Zones     intern.Names
	Images    intern.Names           // lifecycle
	TypeNames intern.Names           // autoscaler
	Types     []eventlog.MachineType // by index of TypeNames: autoscaler

	// What a component decides for the others, each set by that component if it is
	// switched on.
	Pools      scheduler.Pools // pools; nil: there are no pools
	Gate       Gate            // coldstart; nil: nothing is held back
	StartPacer StartPacer      // coldstart; nil: starts are not paced
	Rebalancer Rebalancer      // rebalance; nil: machines stay where they report

	// Kept by the methods here.
	lastAttempt          uint64
	issuedTokens         uint64              // beside Token
	configuredTeams      []bool              // teams of the configuration, by index: they may submit
	unresolvedMachines   int                 // machines of which it is not known what an earlier term left on them
	unresolvedUnnumbered int                 // those without a number among them
	unresolvedUse        []resources.Amounts // what they may be using, by team
	subscribers          []Subscriber
	pendingEffects       []effects.Effect
}

// New makes the state of a term that knows nothing yet.
func New(start TermStart) *State {
	if start.Cfg.Tunables.ConfigHistory > 0 {
		own := *start.Cfg // tunables may change during the term
		start.Cfg = &own
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
		Placements: map[workers.TaskRef]*workers.Placement{},
		Reconciled: &reconcile.Tally{},
	}
	s.Scheduler = scheduler.New(nil, tunables.TrainingAtOnce)
	for _, team := range start.Cfg.Deployment.Teams {
		s.SetTeam(team)
	}
	s.Scheduler.Locality = settings.Seconds(tunables.LocalityS)
	s.Scheduler.ZoneAffinity = tunables.ZoneAffinityS
	s.Scheduler.BeginWithin = settings.Seconds(tunables.BeginWithinS)
	s.Scheduler.UrgentFirst = tunables.UrgentFirst == 1
	return s
}
