// Package scheduler decides which waiting task runs on which machine.
//
// It belongs to the core: a pure state machine without clock, socket or
// goroutine. The leader calls RunCycle, Preempt and PlanMigrations with a
// Snapshot of its state and carries out what they return. The order of the jobs
// is HFSP's (package sizing) with the exceptions that JobOrder applies: services
// first, then jobs that an exception puts ahead, then training tasks, then the
// smallest aged virtual size whose team is under its limit. Room is reserved
// for the first job that does not fit.
//
// ShardHolder is the side of the other controllers: each answers the workers of
// a shard of the machines under a lease from the leader.
package scheduler

import (
	"time"

	"bitternmoor/internal/core/resources"
)

// Scheduler places waiting tasks on machines. It keeps the use of every team and
// what one scheduling cycle remembers for itself or for the next.
type Scheduler struct {
	// Limits has what each team may use at once, by team index.
	Limits []Limit
	// MaxTraining is the paper's T: how many training tasks run at once at most.
	MaxTraining int

	// Exceptions to the size order.

	// UrgentFirst puts urgent and critical jobs ahead of the size order, in size
	// order among themselves.
	UrgentFirst bool
	// BeginWithin puts jobs that have not begun after this time ahead of all but urgent
	// ones; 0 switches this exception off.
	BeginWithin time.Duration
	// Guarantees, by team index, put jobs that fit into their team's guarantee
	// together with its earlier unfinished jobs ahead of the order; empty
	// switches this exception off.
	Guarantees []Limit

	// Choice of machines.

	// ZoneAffinity is the cost, in seconds of fetching an image, of a machine outside the zone
	// in which a job's first task was placed: jobs stay together by zone where that costs
	// little.
	ZoneAffinity float64
	// Locality is for how long a job waits for machines that have its image.
	Locality time.Duration

	// State that lasts from one cycle to the next.

	teamUse             []resources.Amounts // by team index, what its placed tasks need
	starvationCheckedAt time.Duration       // when starved jobs were last looked for
	acceleratedNeed     resources.Amounts   // as Accelerated returned it last
	acceleratedNeedAt   time.Duration       // when a job with accelerators was last there

	// State of one cycle or call.

	ranks            []int8 // by job index, as of the last call of JobOrder
	orderBuffer      []int32
	refusals         []refusal // needs that found no machine in this cycle
	placementDelayed bool      // the last placeTask left out a machine that may be used later

	exhaustive bool // tests compare the shortcuts with a cycle that takes none
}

// New makes a scheduler for teams with these limits, by team index, that has at
// most maxTraining (the paper's T) training tasks run at once.
func New(limits []Limit, maxTraining int) *Scheduler {
	return &Scheduler{Limits: limits, teamUse: make([]resources.Amounts, len(limits)), MaxTraining: maxTraining}
}
