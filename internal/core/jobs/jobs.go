// Package jobs keeps the life of every job: which are open, what each of
// their tasks is doing, and the final state of those that are over.
package jobs

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/resources"
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

// Table holds all jobs by dense index, and the final states by id.
type Table struct {
	byID        map[uint64]int32
	jobs        []*Job
	freeIndexes []int32
	finalPhases map[uint64]Phase
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{byID: map[uint64]int32{}, finalPhases: map[uint64]Phase{}}
}

// Add enters a job.
func (t *Table) Add(rec eventlog.Job) *Job {
	j := &Job{Record: rec, Need: resources.Need(rec.CPUs, rec.GPUs, rec.MemoryGB), Priority: rec.Priority, Tasks: make([]TaskState, rec.Tasks), Waiting: rec.Tasks}
	if n := len(t.freeIndexes); n > 0 {
		j.Index = t.freeIndexes[n-1]
		t.freeIndexes = t.freeIndexes[:n-1]
		t.jobs[j.Index] = j
	} else {
		j.Index = int32(len(t.jobs))
		t.jobs = append(t.jobs, j)
	}
	t.byID[rec.ID] = j.Index
	return j
}

// Find returns the job with an id, if it is in the table.
func (t *Table) Find(id uint64) *Job {
	if i, ok := t.byID[id]; ok {
		return t.jobs[i]
	}
	return nil
}

// At returns the job with an index; nil when it has left.
func (t *Table) At(i int32) *Job { return t.jobs[i] }

// All returns the table's jobs; some may be nil.
func (t *Table) All() []*Job { return t.jobs }

// Final returns the final state of a job that is over.
func (t *Table) Final(id uint64) (Phase, bool) {
	p, ok := t.finalPhases[id]
	return p, ok
}

// Finish notes a job's final state; it stays so.
func (t *Table) Finish(id uint64, p Phase) {
	if _, ok := t.finalPhases[id]; !ok {
		t.finalPhases[id] = p
	}
}

// Finals is the number of jobs that are over.
func (t *Table) Finals() int { return len(t.finalPhases) }

// Len is the number of jobs in the table.
func (t *Table) Len() int { return len(t.byID) }

// Remove takes a job out of the table; its index will be used again. A job
// that has left already stays as it is: freeing its index twice would give
// it to two jobs at once.
func (t *Table) Remove(j *Job) {
	if t.jobs[j.Index] != j {
		return
	}
	delete(t.byID, j.Record.ID)
	t.jobs[j.Index] = nil
	t.freeIndexes = append(t.freeIndexes, j.Index)
}

// NextWaiting returns the waiting task of the lowest number below limit, or -1.
func (j *Job) NextWaiting(limit int) int {
	for j.waitingCursor < len(j.Tasks) && j.Tasks[j.waitingCursor] != Waiting {
		j.waitingCursor++
	}
	if j.waitingCursor < min(limit, len(j.Tasks)) {
		return j.waitingCursor
	}
	return -1
}

// NextFresh returns the waiting task of the lowest number that no earlier term
// can have started, or -1.
func (j *Job) NextFresh() int {
	for j.freshCursor = max(j.freshCursor, j.FreshFrom); j.freshCursor < len(j.Tasks); j.freshCursor++ {
		if j.Tasks[j.freshCursor] == Waiting {
			return j.freshCursor
		}
	}
	return -1
}

// Place notes that a task was given to a machine.
func (j *Job) Place(k int) {
	j.Tasks[k] = Placed
	j.Waiting--
	j.Placed++
	if j.Waiting == 0 {
		j.StarvedSince = 0
	}
}

// Release notes that a task is proved gone from its machine, uncompleted.
func (j *Job) Release(k int) {
	if j.Tasks[k] != Placed {
		return
	}
	j.Tasks[k] = Waiting
	j.Waiting++
	j.Placed--
	j.waitingCursor, j.freshCursor = min(j.waitingCursor, k), min(j.freshCursor, k)
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

// ZoneRule says whether the job restricts where its tasks may be together.
func (j *Job) ZoneRule() bool { return j.Record.OneZone || j.Record.Spread }

// MostInZone is how many tasks of a spread job may be in one zone.
func (j *Job) MostInZone() int { return (len(j.Tasks) + 1) / 2 }

// ZoneAllows says whether one more task may be in a zone, given where the
// placed ones are.
func (j *Job) ZoneAllows(zone int32) bool {
	if j.Record.OneZone {
		for z, n := range j.Zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Record.Spread || j.Zones[zone] < j.MostInZone()
}

// CountInZone counts a task in or out of a zone.
func (j *Job) CountInZone(zone int32, n int) {
	if !j.ZoneRule() {
		return
	}
	if j.Zones == nil {
		j.Zones = map[int32]int{}
	}
	j.Zones[zone] += n
}

// Complete notes that a task is done; false when it was already.
func (j *Job) Complete(k int) bool {
	switch j.Tasks[k] {
	case Finished, DoneDurably:
		return false
	case Placed:
		j.Placed--
	case Waiting:
		j.Waiting--
	}
	j.Tasks[k] = Finished
	j.Finished++
	return true
}

// MarkDurable notes that a task's completion is durable.
func (j *Job) MarkDurable(k int) {
	j.Complete(k)
	if j.Tasks[k] != DoneDurably {
		j.Tasks[k] = DoneDurably
		j.DurableCount++
	}
}

// Mean is the mean run time of the job's completed tasks, or the owner's
// estimate while there are none.
func (j *Job) Mean() float64 {
	if j.RunCount > 0 {
		return j.RunSeconds / float64(j.RunCount)
	}
	return max(j.Record.EstimateS, 1)
}
