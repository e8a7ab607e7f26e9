// Package jobs keeps the life of every job: which are open, what each of
// their tasks is doing, and the final state of those that are over.
package jobs

import (
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/resources"
	"time"
)

// Kinds of jobs.
const (
	Array uint8 = iota
	Gang
	Service
)

// TaskState is what the leader knows of a task.
type TaskState uint8

// States of a task. Finished tasks become Noted once that is durable.
const (
	Waiting TaskState = iota
	Placed
	Finished
	DoneDurably
)

// Phase is a job's place in its life.
type Phase uint8

// Phases. A job is Accepting until its acceptance is durable, Held until all
// jobs that it follows are durably done, and Cancelling from when its user asked for that
// until its cancellation is durable, which is written once nothing of it is anywhere.
const (
	Accepting Phase = iota
	Held
	Open
	Cancelling
	Cancelled
	Done
)

// Boost says how far a job goes ahead of others for its class's or its team's sake.
type Boost uint8

// Not at all, of all but urgent jobs, or of everything.
const (
	NoBoost Boost = iota
	BoostBehindUrgent
	BoostFirst
)

// Job is an unfinished job, or a done one whose tasks are not all gone.
type Job struct {
	Index   int32
	Record  eventlog.Job
	Team    int32
	Image   int32
	Need    resources.Amounts
	Phase   Phase
	Earlier bool // accepted in an earlier term: unseen tasks may be running
	// Unsettled counts the machines that may have tasks of an earlier term and
	// are not resolved yet: until there are none, what is unseen may run there.
	UnresolvedMachines int
	// FreshFrom: no earlier term has handed out the tasks from this number on, so
	// none of them can run unseen.
	FreshFrom      int
	Types          []bool
	Spot           bool // may and should use spot machines
	FitsWithoutGPU bool // its tasks fit machines without accelerators

	Dependencies []int32 // open jobs that it waits for
	Dependents   []int32 // open jobs that wait for it
	// Priority is the highest of its own and those of the jobs that need it,
	// directly or not.
	Priority uint8

	Tasks         []TaskState
	Waiting       int
	Placed        int
	Running       int
	Finished      int // including the noted ones
	DurableCount  int
	waitingCursor int
	freshCursor   int // the same from FreshFrom on

	Zones map[int32]int // placed tasks by zone, where the job has a say in that
	// Launch is the attempt that all tasks of a gang share; 0 while none is
	// under way. Broken says that it cannot succeed any more: the next one
	// begins once every task is proved gone.
	GangAttempt uint64
	GangFailed  bool
	GangBegan   bool    // the gang has run in this launch
	Share       float64 // processors of a machine that a task takes up, counting what it makes unusable

	Saved map[int32]time.Duration // by task: how long it ran before it was stopped with time to save

	RunSeconds float64 // run time of completed tasks
	RunCount   int

	CancelAskedAt   time.Duration // when its user asked to cancel it
	CancelPending   bool          // its cancellation is on its way to the log
	Errors          int
	NotBefore       time.Duration
	AcceptedAt      time.Duration      // or released, if it waited for others: its times count from then
	FirstAt         time.Duration      // when its first task was seen running in this term
	LastAt          time.Duration      // and the last to begin so far
	BehindUntil     time.Duration      // best-effort work goes behind the order until then
	LastAim         time.Duration      // by when the job should have ended at the latest; 0: no such aim
	LostUntil       time.Duration      // having missed it, it goes behind the order until then
	PreemptedAt     time.Duration      // when others were last stopped for it
	HomeZone        int32              // the zone in which its first task was placed in this term, and one more; 0: none yet
	Prompt          bool               // its tasks should start sooner than an idle worker reports
	Boost           Boost              // whether it goes ahead so that its class or team is not served too little
	Guaranteed      bool               // fits into its team's guarantee with its earlier jobs
	StarvedSince    time.Duration      // since when a task has waited beside room that it may have; 0: none does
	DelayedSince    time.Duration      // since when it has left room to jobs with their image there; 0: not
	PriorityWindows [][2]time.Duration // spans in which waiting tasks go ahead of the order
}

// HasBegun says whether a task of the job has its place or had one, as far as is known; a
// gang has begun once all of them ran.
func (j *Job) HasBegun() bool {
	return j.Finished > 0 || j.FirstAt > 0 || (j.Record.Kind != Gang && j.Placed > 0) || j.GangBegan
}

// MayRunUnseen says whether tasks of the job that are not seen may run on machines of which
// it is not known what an earlier term left on them; blind says that one of those may have
// tasks of any job.
func (j *Job) MayRunUnseen(blind bool) bool { return j.Earlier && (j.UnresolvedMachines > 0 || blind) }

// GangSize is how many of the job's waiting tasks start together.
func (j *Job) GangSize() int {
	if j.Record.Kind == Gang {
		return max(1, j.Waiting)
	}
	return 1
}

// Mean is the mean run time of the job's completed tasks, or the owner's
// estimate while there are none.
func (j *Job) Mean() float64 {
	if j.RunCount > 0 {
		return j.RunSeconds / float64(j.RunCount)
	}
	return max(j.Record.EstimateS, 1)
}
