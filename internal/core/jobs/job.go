// Package jobs is the leader's table of jobs: the open jobs, the state of each of their tasks, the
// dependencies between them, and the final phase of those that are over.
//
// It is part of the core: a pure state machine without clock, socket or goroutine. Times are durations on
// the leader's clock. The fields of Job are written by the scheduler and the components of the leader's
// term.
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

// TaskState is the state of a task as known to the leader.
type TaskState uint8

// States of a task. A task goes from Waiting to Placed, and back if it is proved to be gone from its machine
// without a result. It can become Finished from either state.
const (
	Waiting         TaskState = iota // not placed anywhere, as far as the leader knows
	Placed                           // planned on a machine, or placed there
	Finished                         // done, and its completion is not durable yet
	FinishedDurably                  // done, and its completion is durable
)

// Phase is a job's phase in its life cycle.
type Phase uint8

// Phases of a job.
const (
	Accepting  Phase = iota // its acceptance is not durable yet
	Held                    // not all jobs that it depends on are durably done
	Open                    // its tasks may be started
	Cancelling              // cancel requested; written to the event log once no machine can have its tasks
	Cancelled               // its cancellation is durable
	Done                    // all its tasks are done
)

// Boost is how far a job is moved ahead in the scheduling order, so that its class or its team gets enough
// service.
type Boost uint8

// Boosts.
const (
	NoBoost           Boost = iota
	BoostBehindUrgent       // before all jobs except urgent ones
	BoostFirst              // before all other jobs, urgent ones included
)

// Job is an unfinished job, or a finished one whose tasks are not all gone from their machines yet.
type Job struct {
	// The request.
	Index          int32             // dense index in the table, reused after the job's removal
	Record         eventlog.Job      // the request as it is stored in the event log
	Team           int32             // index of its team
	Image          int32             // index of its image
	Need           resources.Amounts // resources of each of its tasks
	AllowedTypes   []bool            // by machine type index: whether the job may use it; nil: all types
	UseSpot        bool              // it may use spot instances, and should
	FitsWithoutGPU bool              // its tasks fit on machines without accelerators

	// CPUShare is the number of processors of a machine that a task occupies, including those that it makes
	// unusable for other tasks.
	CPUShare float64

	// Life cycle.
	Phase             Phase
	AcceptedAt        time.Duration // acceptance, or release if it had dependencies; its times count from then
	CancelRequestedAt time.Duration // when its user requested its cancellation
	CancelPending     bool          // its cancellation is being written to the event log

	// Tasks that earlier terms may have started, and that may run although no report has shown them.
	FromEarlierTerm bool // it was accepted in an earlier term
	// UnresolvedMachines is the number of unresolved machines that may have tasks of the job from an earlier
	// term. Until it is 0, tasks that were not reported may run there.
	UnresolvedMachines int
	// UnassignedFrom is the lowest task number from which on no earlier term has handed out tasks. These
	// tasks cannot run without having been reported.
	UnassignedFrom int

	// Dependencies, between open jobs only.
	Dependencies []int32 // indexes of the jobs that it waits for
	Dependents   []int32 // indexes of the jobs that wait for it
	Priority     uint8   // highest of its own priority and those of its direct and transitive dependents

	// Tasks, and the number of them in each state.
	Tasks            []TaskState
	Waiting          int
	Placed           int
	Running          int // number of placed tasks that run
	Finished         int // including those whose completion is durable
	DurableCount     int // tasks whose completion is durable
	waitingCursor    int // no task below this number is waiting
	unassignedCursor int // no task below this number that no earlier term has handed out is waiting

	// State of a gang. GangAttempt is the attempt that all its tasks share, 0 while there is none.
	GangAttempt uint64
	GangFailed  bool // the attempt cannot succeed; the next one begins once all tasks are proved to be gone
	GangStarted bool // its tasks have run together in this attempt, or may have

	// Run times and failures.
	RunSeconds     float64                 // sum of the measured run times of completed tasks
	RunCount       int                     // number of tasks in RunSeconds
	SavedRunTime   map[int32]time.Duration // by task: run time before it was stopped with time to save its progress
	FailuresInARow int                     // failed tasks since the last one that completed
	NotBefore      time.Duration           // none of its tasks is started before this time
	FirstRunAt     time.Duration           // when its first task was reported running in this term; 0: none yet
	LastRunAt      time.Duration           // when its latest task was reported running in this term

	// Service-level objectives of its class, and its place in the scheduling order.
	LowRankUntil          time.Duration      // until then it is sorted after jobs of normal rank
	PriorityWindows       [][2]time.Duration // periods (start, end) in which it is sorted before them
	Deadline              time.Duration      // latest time at which it should end; 0: no objective sets one
	LowRankAfterMissUntil time.Duration      // until then it is sorted after them if it would miss Deadline
	PushDispatch          bool               // start its tasks directly, without waiting for a report
	Boost                 Boost
	Guaranteed            bool // it fits its team's guaranteed quota together with earlier jobs

	// Placement and waiting times.
	PlacedByZone map[int32]int // number of placed tasks by zone, if the job has a zone rule
	HomeZone     int32         // 1 + index of the zone of its first task placed in this term; 0: none yet
	StarvedSince time.Duration // since when a task has waited although usable resources are free; 0: none
	DelayedSince time.Duration // since when it has passed over machines that lack its image; 0: it has not
	PreemptedAt  time.Duration // when tasks of other jobs were last preempted for it
}

// MayPushTo reports whether a start of one of the job's tasks may be pushed to a worker in its first session, or in
// a later one. A machine to which a start was pushed in the first session must be deleted before the job's user is
// told that the job is cancelled. Services end by being cancelled, so their starts are pushed in later sessions only.
func (j *Job) MayPushTo(firstSession bool) bool {
	return j.PushDispatch && (!firstSession || j.Record.Kind != Service)
}

// HasStarted reports whether a task of the job is placed, has run or is done, as far as the leader knows. For a
// gang, tasks that are placed and have not run do not count.
func (j *Job) HasStarted() bool {
	placed := j.Record.Kind != Gang && j.Placed > 0
	return placed || j.Finished > 0 || j.FirstRunAt > 0 || j.GangStarted
}

// MayRunUnreported reports whether tasks of the job that were not reported may run on unresolved machines,
// where an earlier term may have left them. anyJobPossible is true if one of these machines may have tasks
// of any job.
func (j *Job) MayRunUnreported(anyJobPossible bool) bool {
	return j.FromEarlierTerm && (j.UnresolvedMachines > 0 || anyJobPossible)
}

// GangSize returns the number of the job's waiting tasks that start together: all of a gang's, otherwise 1;
// it is at least 1.
func (j *Job) GangSize() int {
	if j.Record.Kind == Gang {
		return max(1, j.Waiting)
	}
	return 1
}

// MeanRunSeconds returns the mean measured run time of the job's completed tasks, in seconds. Without any,
// it returns the owner's estimate, but at least 1.
func (j *Job) MeanRunSeconds() float64 {
	if j.RunCount > 0 {
		return j.RunSeconds / float64(j.RunCount)
	}
	return max(j.Record.EstimateS, 1)
}
