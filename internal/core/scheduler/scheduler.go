// Package scheduler hands the room of machines to jobs: training tasks ahead of
// the others, then the smallest aged virtual size whose team is under its
// limit, and room held for a first job that does not fit.
package scheduler

import (
	"bitternmoor/internal/core/resources"
	"time"
)

// Scheduler gives waiting tasks to machines.
type Scheduler struct {
	Limits  []Limit // by team
	teamUse []resources.Amounts
	AtOnce  int // T
	// UrgentFirst is an exception to the size order: urgent and critical jobs
	// go ahead of it, in size order among themselves.
	UrgentFirst bool
	// BeginWithin puts jobs that have not begun after this time ahead of all but urgent
	// ones; 0 switches this exception off.
	BeginWithin time.Duration
	// Guarantees, by team, put jobs that fit into their team's guarantee
	// together with its earlier unfinished jobs ahead of the order; empty
	// switches this exception off.
	Guarantees []Limit
	// Affinity, in seconds of fetching, is what a place outside the zone in which a job's
	// first task was placed is dearer: jobs stay together by zone, where that costs little.
	Affinity float64
	Locality time.Duration // for how long a job waits for machines with its image

	starvationCheckedAt time.Duration // when it was last looked for jobs that are left waiting
	ranks               []int8        // by job index, as of the last call of Order
	orderBuffer         []int32
	refusals            []refusal // of this pass
	placementDelayed    bool      // a place was left out in the last try of give, since starts are paced
	acceleratedNeed     resources.Amounts
	acceleratedNeedAt   time.Duration
	exhaustive          bool // tests hold the quick path against one that remembers nothing
}

// New makes a planner for the teams with these limits.
func New(limits []Limit, atOnce int) *Scheduler {
	return &Scheduler{Limits: limits, teamUse: make([]resources.Amounts, len(limits)), AtOnce: atOnce}
}
