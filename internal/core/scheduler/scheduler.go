// Package scheduler decides which waiting task runs on which machine.
//
// It belongs to the core: a pure state machine without clock, socket or goroutine. The leader calls
// RunCycle, Preempt and PlanMigrations with a Snapshot of its state and carries out what they
// return. Services get room first, then jobs that an exception puts ahead of the size order, then
// training tasks, then the other jobs by HFSP's size order (package sizing): the job with the
// smallest aged virtual size whose team is under its limit goes first. JobOrder applies the
// exceptions. Room is reserved for the first job that does not fit.
//
// The controllers that do not lead use a ShardHolder: each answers the workers of a shard of the
// machines under a lease from the leader.
package scheduler

import (
	"time"

	"bitternmoor/internal/core/resources"
)

// Scheduler places waiting tasks on machines. It keeps each team's use and the state that a
// scheduling cycle needs for itself or for the next one.
type Scheduler struct {
	// Limits holds, by team index, what each team may use at once.
	Limits []Limit
	// MaxTraining is the largest number of training tasks that run at once (T in the HFSP paper).
	MaxTraining int

	// Exceptions to the size order.

	// UrgentFirst puts urgent and critical jobs ahead of the size order; jobs of the same priority
	// stay in size order.
	UrgentFirst bool
	// BeginWithin puts jobs that have not begun within this time ahead of all but urgent ones; 0
	// disables this exception.
	BeginWithin time.Duration
	// Guarantees holds each team's guarantee, by team index. Jobs that fit into it together with
	// the team's earlier unfinished jobs go ahead of the size order; nil disables this exception.
	Guarantees []Limit

	// Choice of machines.

	// ZoneAffinity is the cost, in seconds of fetching an image, of a machine outside the zone in
	// which a job's first task was placed. It keeps a job in one zone where that costs little.
	ZoneAffinity float64
	// Locality is how long a job waits for machines that have its image.
	Locality time.Duration

	// ReportInterval is the time between two reports of a worker, with which starts that are not sent directly wait.
	ReportInterval time.Duration

	// State that is kept from one cycle to the next.

	teamUse             []resources.Amounts // by team index, the sum of the needs of its placed tasks
	starvationCheckedAt time.Duration       // when starved jobs were last looked for
	acceleratedNeed     resources.Amounts   // the last result of LargestAcceleratedNeed
	acceleratedNeedAt   time.Duration       // when there was last a job that needs accelerators

	// State of one cycle or call.

	ranks            []int8 // by job index, as of the last call of JobOrder
	orderBuffer      []int32
	refusals         []refusal // needs that found no machine in this cycle
	placementDelayed bool      // the last placeTask skipped a machine that the task may use later

	exhaustive bool // disables the shortcuts; tests compare the results with and without them
}

// New returns a scheduler for teams with these limits, by team index, that runs at most maxTraining
// training tasks at once.
func New(limits []Limit, maxTraining int) *Scheduler {
	return &Scheduler{Limits: limits, teamUse: make([]resources.Amounts, len(limits)), MaxTraining: maxTraining}
}
