// Package cluster is what a leader knows during its term: jobs, machines, the
// tasks that count as being on them, and the order in which they get room. All
// duties of a leader look at it; each keeps what is its own business to itself.
// It has no clock and does nothing by itself.
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

// TermStart is what a term begins with.
type TermStart struct {
	Cfg         *settings.Settings
	ClockZeroMS int64 // time of day at time 0, in milliseconds
	Epoch       uint64
	// LastLed is when this node last heard of a leader, 0 if it never did; Noticed
	// when it found that nobody led, Began when it was elected.
	LastLeaderHeard, LeaderMissedAt, TermBegan time.Duration
	PreviousLeader                             leadership.LeaderRecord // the leader before, as this node heard it
	// Counts, Measures and Config outlive the term.
	Counts  *Counts
	Metrics *Metrics
	Config  *config.Replica // nil: nothing may be changed while controllers run
}

// State is what all duties of a term share.
type State struct {
	TermStart
	Token             uint64 // of machines that have not changed their block
	EventLog          *eventlog.Log
	Jobs              *jobs.Table
	Inventory         *workers.Inventory
	Estimator         *sizing.Estimator
	Scheduler         *scheduler.Scheduler
	NeedsCycle        bool // something has changed that a pass should look at
	LastMachineNumber int  // last one given to a machine
	Teams             intern.Names
	Zones             intern.Names
	Images            intern.Names
	Types             []eventlog.MachineType // by index of TypeNames
	Placements        map[workers.Ref]*workers.Placement
	Pools             scheduler.Pools      // nil: there are no pools
	Gate              Gate                 // nil: nothing is held back
	StartPacer        StartPacer           // nil: starts are not paced
	Rebalancer        Rebalancer           // nil: machines stay where they report
	DispatchQueue     []*workers.Placement // planned tasks that may be sent straight to their workers
	lastAttempt       uint64
	issuedTokens      uint64

	Reconciled *reconcile.Tally // differences between what was stored and reports, in this term

	TypeNames         intern.Names
	MachinesWithPlans []*workers.Machine // all on which tasks may be planned

	configuredTeams []bool // of the configuration, by index: they may submit

	unresolvedMachines, unresolvedUnnumbered int                 // machines, and those without a number among them
	unresolvedUse                            []resources.Amounts // what they may be using, by team

	subscribers    []Subscriber
	pendingEffects []effects.Effect
}

// ErrNoView is what a duty answers that is asked for a view it does not have.
var ErrUnknownView = errors.New("no such view")

// New makes the state of a term that knows nothing yet.
func New(start TermStart) *State {
	if start.Cfg.Tunables.ConfigHistory > 0 {
		own := *start.Cfg // tunables may change during the term
		start.Cfg = &own
	}
	cfg := start.Cfg
	if start.Metrics == nil {
		start.Metrics = &Metrics{}
	}
	s := &State{
		TermStart: start, Token: start.Epoch << TokenBits, lastAttempt: start.Epoch << attemptBits,
		Jobs: jobs.NewTable(), Inventory: workers.NewInventory(),
		Estimator: sizing.New(sizing.Params{Train: cfg.Tunables.TrainingTasks,
			Xi: cfg.Tunables.Eagerness, Delta: cfg.Tunables.TrainingLimitS, First: cfg.Tunables.FirstSizeS}),
		Placements: map[workers.Ref]*workers.Placement{}, Reconciled: &reconcile.Tally{},
	}
	s.Scheduler = scheduler.New(nil, cfg.Tunables.TrainingAtOnce)
	for _, team := range cfg.Deployment.Teams {
		s.SetTeam(team)
	}
	s.Scheduler.Locality = settings.Seconds(cfg.Tunables.LocalityS)
	s.Scheduler.Affinity = cfg.Tunables.ZoneAffinityS
	s.Scheduler.BeginWithin = settings.Seconds(cfg.Tunables.BeginWithinS)
	s.Scheduler.UrgentFirst = cfg.Tunables.UrgentFirst == 1
	return s
}
