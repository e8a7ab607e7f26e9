// Package jobs is the leader's table of jobs: which are open, the state of each of their tasks, the
// dependencies between them, and the final phase of those that are over.
//
// It is part of the core: a pure state machine without clock, socket or goroutine. Times are durations on the
// leader's clock. The fields of Job are written by the scheduler and the components of the leader's term.
package jobs

import (
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/resources"
	"time"
)

// Kinds of jobs, as in eventlog.Job.
const (
	Array   uint8 = iota // tasks that run independently of one another
	Gang                 // tasks that start and run together
	Service              // replicas of a long-running service
)

// TaskState is what the leader knows of a task.
type TaskState uint8

// States of a task. It goes from Waiting to Placed, back where it is proved gone from its machine without a
// result, and to Finished from either.
const (
	Waiting         TaskState = iota // not placed anywhere, as far as is known
	Placed                           // planned on a machine, or placed there
	Finished                         // done, and its completion is not durable yet
	FinishedDurably                  // done, and its completion is durable
)

// Phase is a job's place in its life.
type Phase uint8

// Phases of a job.
const (
	Accepting  Phase = iota // its acceptance is not durable yet
	Held                    // jobs that it depends on are not durably done yet
	Open                    // its tasks may be started
	Cancelling              // its user has asked to cancel it; that is written once nothing of it is anywhere
	Cancelled               // its cancellation is durable
	Done                    // all its tasks are done
)

// Boost says how far a job goes ahead of the scheduling order so that its class or its team is not served too
// little.
type Boost uint8

// Boosts.
const (
	NoBoost           Boost = iota
	BoostBehindUrgent       // ahead of all but urgent jobs
	BoostFirst              // ahead of everything
)

// Job is a job that is not finished, or one that is done and whose tasks are not all gone from their machines.
type Job struct {
	// The request.
	Index          int32             // its dense index in the table, used again once it has left
	Record         eventlog.Job      // the request as it is stored in the event log
	Team           int32             // index of its team
	Image          int32             // index of its image
	Need           resources.Amounts // what each of its tasks takes
	AllowedTypes   []bool            // by machine type: whether it may use it; nil: it may use all
	UseSpot        bool              // it may and should use spot instances
	FitsWithoutGPU bool              // its tasks fit machines without accelerators

	// CPUShare is the number of processors of a machine that a task takes up, counting those that it makes
	// unusable for others.
	CPUShare float64

	// Life.
	Phase         Phase
	AcceptedAt    time.Duration // or when it was released, if it depended on others: its times count from then
	CancelAskedAt time.Duration // when its user asked to cancel it
	CancelPending bool          // its cancellation is on its way to the event log

	// What earlier terms of a leader may have started. Tasks that are not seen may be running then.
	FromEarlierTerm bool // it was accepted in an earlier term
	// UnresolvedMachines counts the machines that may have tasks of it from an earlier term and are not
	// resolved yet. Until there are none, what is not seen may run there.
	UnresolvedMachines int
	// No earlier term has handed out the tasks from this number on, so none of them can run unseen.
	UnassignedFrom int

	// Dependencies, between open jobs only.
	Dependencies []int32 // indexes of the jobs that it waits for
	Dependents   []int32 // indexes of the jobs that wait for it
	Priority     uint8   // the highest of its own and of those of the jobs that need it, directly or not

	// Tasks, and how many of them are in which state.
	Tasks            []TaskState
	Waiting          int
	Placed           int
	Running          int // of the placed ones
	Finished         int // including those whose completion is durable
	DurableCount     int // tasks whose completion is durable
	waitingCursor    int // no task below this number is waiting
	unassignedCursor int // no task below this number that no earlier term has handed out is waiting

	// A gang. GangAttempt is the attempt that all its tasks share; 0 while none is under way.
	GangAttempt uint64
	GangFailed  bool // the attempt cannot succeed any more: the next one begins once every task is proved gone
	GangBegan   bool // all its tasks have run in this attempt

	// Run times and failures.
	RunSeconds     float64                 // sum of the run times of the completed tasks that were measured
	RunCount       int                     // number of these tasks
	SavedRunTime   map[int32]time.Duration // by task: how long it ran before it was stopped with time to save its progress
	FailuresInARow int                     // failed tasks since one completed
	NotBefore      time.Duration           // none of its tasks is started before
	FirstRunAt     time.Duration           // when its first task was seen running in this term; 0: none was yet
	LastRunAt      time.Duration           // when the last of its tasks so far was

	// Service-level objectives of its class, and its place in the scheduling order.
	LowRankUntil          time.Duration      // best-effort work goes behind the order until then
	PriorityWindows       [][2]time.Duration // spans, from and to, in which waiting tasks go ahead of the order
	Deadline              time.Duration      // by when it should have ended at the latest; 0: no objective says so
	LowRankAfterMissUntil time.Duration      // if it cannot end in time any more, it goes behind the order until then
	StartDirectly         bool               // its tasks should start sooner than an idle worker reports: directly
	Boost                 Boost
	Guaranteed            bool // it fits into its team's guaranteed quota, together with the team's earlier jobs

	// Where it is placed.
	PlacedByZone map[int32]int // number of placed tasks by zone, where the job has a rule on zones
	HomeZone     int32         // index of the zone in which its first task of this term was placed, plus 1; 0: none yet
	StarvedSince time.Duration // since when a task waits beside room that it may have; 0: none does
	DelayedSince time.Duration // since when it has left room to jobs whose image is there; 0: it has not
	PreemptedAt  time.Duration // when others were last preempted for it
}

// HasBegun says whether a task of the job is or was placed, as far as is known. A gang has begun once all of
// its tasks have run.
func (j *Job) HasBegun() bool {
	placed := j.Record.Kind != Gang && j.Placed > 0
	return placed || j.Finished > 0 || j.FirstRunAt > 0 || j.GangBegan
}

// MayRunUnseen says whether tasks of the job that are not seen may run on machines of which it is not known
// what an earlier term left on them. blind says that one of those may have tasks of any job.
func (j *Job) MayRunUnseen(blind bool) bool {
	return j.FromEarlierTerm && (j.UnresolvedMachines > 0 || blind)
}

// GangSize is the number of the job's waiting tasks that start together: all of a gang, at least 1.
func (j *Job) GangSize() int {
	if j.Record.Kind == Gang {
		return max(1, j.Waiting)
	}
	return 1
}

// MeanRunSeconds is the mean run time, in seconds, of the job's completed tasks. While there are none, it is the owner's
// estimate, and at least 1.
func (j *Job) MeanRunSeconds() float64 {
	if j.RunCount > 0 {
		return j.RunSeconds / float64(j.RunCount)
	}
	return max(j.Record.EstimateS, 1)
}
