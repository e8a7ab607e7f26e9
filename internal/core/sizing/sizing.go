// Package sizing is the size estimator of HFSP, the Hadoop Fair Sojourn Protocol: it
// estimates the size of each job from a few training tasks, ages the sizes in a virtual
// cluster shared max-min fairly, and orders jobs by what is left of them there.
//
// It belongs to the core: a pure state machine without clock, socket or goroutine.
// Times are passed in as seconds.
//
// The comments name the symbols of the paper and of the design document:
//
//	n    tasks of a job
//	t    training tasks of a job, the first t of its n (Params.TrainingTasks)
//	T    training tasks that run at once in the cluster (scheduler.Scheduler.MaxTraining)
//	ξ    1 or more: factor on the size of a job until it is trained (Params.Xi)
//	Δ    run time in seconds after which a training task need not end (Params.Delta)
//	p_k  progress of training task k at that time, from 0 to 1
//	s̄    mean run time of a task: of finished jobs for S_i, of training tasks for S_f
//	s_0  S_i while no job has finished (Params.InitialSize)
//	S_i  initial size, n·ξ·s̄
//	S_f  final size, s̄·[(n−t) + Σ(1−p_k)]
//
// Sizes are in seconds of task run time: a job of n tasks that run for s seconds each has size n·s.
package sizing

import (
	"cmp"
	"slices"
)

// Params holds the parameters of the estimator; the package comment explains the symbols.
type Params struct {
	TrainingTasks int     // t
	Xi            float64 // ξ
	Delta         float64 // Δ in seconds
	InitialSize   float64 // s_0 in seconds
}

// minCPUs replaces the number of processors of a task that needs none, since the virtual cluster
// divides by that number.
const minCPUs = 0.001

// jobEstimate is the state of one job in the estimator.
type jobEstimate struct {
	team      int32
	arrival   uint64  // number that orders jobs of the same virtual size by arrival
	tasks     int     // n
	tasksLeft int     // tasks not completed
	cpus      float64 // processors of each task

	size        float64 // S_i, then S_f
	final       bool    // size is S_f
	virtualWork float64 // seconds of the size that the virtual cluster has completed

	keepsInitialSize bool     // the job is a gang and keeps S_i
	samples          []sample // one for each training task
}

// remaining returns the virtual size: what is left of a job in the virtual cluster.
func (e *jobEstimate) remaining() float64 { return max(0, e.size-e.virtualWork) }

// Estimator holds the sizes of all unfinished jobs, by dense job index.
type Estimator struct {
	params Params
	// Limits holds the number of processors that each team may use at once, by team index; 0 or
	// missing: no limit.
	Limits []float64

	jobs        []*jobEstimate // by job index; nil where there is none
	lastArrival uint64
	order       []int32 // indices of the jobs
	sorted      bool    // order is sorted: no virtual size has changed since the last call of Order

	// Sums over finished jobs, for s̄.

	finishedSeconds float64 // run time of their tasks
	finishedTasks   float64 // number of their tasks

	agedAt float64 // time of the last call of Age, in seconds
}

// New returns an estimator without jobs.
func New(params Params) *Estimator { return &Estimator{params: params} }

// job returns the job with an index, or nil.
func (e *Estimator) job(index int32) *jobEstimate {
	if int(index) >= len(e.jobs) {
		return nil
	}
	return e.jobs[index]
}

// JobCount returns the number of unfinished jobs.
func (e *Estimator) JobCount() int { return len(e.order) }

// MeanTaskTime returns s̄, the mean run time in seconds of the tasks of finished jobs, and whether
// there are any such tasks.
func (e *Estimator) MeanTaskTime() (float64, bool) {
	if e.finishedTasks == 0 {
		return 0, false
	}
	return e.finishedSeconds / e.finishedTasks, true
}

// Add adds a team's job of n tasks, each of which takes cpus processors, with the initial size S_i.
// A job with fewer than t tasks is tiny and gets the final size 0. A gang has no training tasks and
// keeps S_i.
func (e *Estimator) Add(index, team int32, tasks int, cpus float64, gang bool) {
	e.lastArrival++
	job := &jobEstimate{team: team, tasks: tasks, tasksLeft: tasks, cpus: max(cpus, minCPUs), arrival: e.lastArrival}
	if tasks < e.params.TrainingTasks && !gang {
		job.final = true
	} else {
		job.size = e.initialSize(tasks)
		job.keepsInitialSize = gang
		job.samples = newSamples(min(tasks, e.params.TrainingTasks))
	}
	for int(index) >= len(e.jobs) {
		e.jobs = append(e.jobs, nil)
	}
	e.jobs[index] = job
	e.order = append(e.order, index)
	e.sorted = false
}

// initialSize returns S_i = n·ξ·s̄, or Params.InitialSize while there is no s̄.
func (e *Estimator) initialSize(tasks int) float64 {
	if mean, ok := e.MeanTaskTime(); ok {
		return float64(tasks) * e.params.Xi * mean
	}
	return e.params.InitialSize
}

// SetExpectedMean sets the size of a job whose size is not final to n·ξ·mean instead of n·ξ·s̄. mean
// is the mean run time of the job's kind of work, in seconds.
func (e *Estimator) SetExpectedMean(index int32, mean float64) {
	if job := e.job(index); job != nil && !job.final {
		job.size = float64(job.tasks) * e.params.Xi * mean
		e.sorted = false
	}
}

// Restore sets the size and the virtual size, in seconds, that an earlier term stored.
func (e *Estimator) Restore(index int32, final bool, size, virtual float64) {
	if job := e.job(index); job != nil {
		e.sorted = false
		job.final = job.final || final
		job.size = size
		job.virtualWork = max(0, size-virtual)
	}
}

// RestoreHistory adds to s̄ the number of tasks of a finished job and the sum of their run times in
// seconds.
func (e *Estimator) RestoreHistory(seconds float64, tasks int) {
	e.finishedSeconds += seconds
	e.finishedTasks += float64(tasks)
}

// Remove removes a job. seconds is the sum of the run times of its completed tasks and tasks their
// number; both count into s̄ if the job finished, and not if it was cancelled.
func (e *Estimator) Remove(index int32, finished bool, seconds float64, tasks int) {
	if e.job(index) == nil {
		return
	}
	if finished {
		e.RestoreHistory(seconds, tasks)
	}
	e.jobs[index] = nil
	e.order = slices.DeleteFunc(e.order, func(other int32) bool { return other == index })
}

// VirtualSize returns the virtual size in seconds: what is left of a job in the virtual cluster.
func (e *Estimator) VirtualSize(index int32) float64 {
	job := e.job(index)
	if job == nil {
		return 0
	}
	return job.remaining()
}

// Size returns the current size estimate of a job in seconds, and whether it is S_f.
func (e *Estimator) Size(index int32) (float64, bool) {
	job := e.job(index)
	if job == nil {
		return 0, false
	}
	return job.size, job.final
}

// Order returns the jobs, smallest virtual size first, then by arrival. The slice is valid until
// the next call.
func (e *Estimator) Order() []int32 {
	if e.sorted {
		return e.order
	}
	e.sorted = true
	slices.SortFunc(e.order, func(a, b int32) int {
		jobA, jobB := e.jobs[a], e.jobs[b]
		if c := cmp.Compare(jobA.remaining(), jobB.remaining()); c != 0 {
			return c
		}
		return cmp.Compare(jobA.arrival, jobB.arrival)
	})
	return e.order
}
