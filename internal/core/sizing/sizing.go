// Package sizing is the size estimator of HFSP, the Hadoop Fair Sojourn Protocol: it
// estimates the size of each job from a few training tasks, ages the sizes in a virtual
// cluster shared max-min fairly, and orders jobs by what is left of them there.
//
// It belongs to the core: a pure state machine without clock, socket or goroutine.
// Times come in as seconds, an order comes out.
//
// The comments name the symbols of the paper and of the design document:
//
//	n    tasks of a job
//	t    training tasks of a job, the first t of its n (Params.Train)
//	T    training tasks that run at once in the cluster (scheduler.Scheduler.MaxTraining)
//	ξ    1 or more: how much larger a job counts until it is trained (Params.Xi)
//	Δ    run time in seconds after which a training task need not end (Params.Delta)
//	p_k  progress of training task k at that time, from 0 to 1
//	s̄    mean run time of a task: of finished jobs for S_i, of training tasks for S_f
//	s_0  S_i while no job has finished (Params.First)
//	S_i  initial size, n·ξ·s̄
//	S_f  final size, s̄·[(n−t) + Σ(1−p_k)]
//
// Sizes are in seconds of task run time: a job of n tasks, each of s seconds, has size n·s.
package sizing

import (
	"cmp"
	"slices"
)

// Params are the parameters of the design document.
type Params struct {
	TrainingTasks int     // t
	Xi            float64 // ξ
	Delta         float64 // Δ in seconds
	InitialSize   float64 // s_0 in seconds
}

// minCPUs stands in for the processors of a task that needs none, as the virtual cluster
// divides by them.
const minCPUs = 0.001

// jobEstimate is what HFSP knows of one job.
type jobEstimate struct {
	team      int32
	arrival   uint64  // orders jobs of the same virtual size
	tasks     int     // n
	tasksLeft int     // tasks not completed
	cpus      float64 // processors of each task

	size        float64 // S_i, then S_f
	final       bool    // size is S_f
	virtualWork float64 // seconds of size that the virtual cluster has worked off

	untrained bool     // a gang: it keeps S_i
	samples   []sample // one a training task
}

// remaining is the virtual size: what is left of a job in the virtual cluster.
func (e *jobEstimate) remaining() float64 { return max(0, e.size-e.virtualWork) }

// Estimator holds the sizes of all unfinished jobs, by dense job index.
type Estimator struct {
	params Params
	// Limits has the processors that each team may use at once, by team index; 0 or
	// missing: no limit.
	Limits []float64

	jobs        []*jobEstimate // by job index; nil where there is none
	lastArrival uint64
	order       []int32 // indices of the jobs
	sorted      bool    // order is as Order returns it: no virtual size has changed since

	// For s̄ of finished jobs.

	finishedSeconds float64 // run time of their tasks
	finishedTasks   float64

	agedAt float64 // seconds at which the virtual cluster worked last
}

// New makes an estimator without jobs.
func New(params Params) *Estimator { return &Estimator{params: params} }

// job returns the job with an index, or nil.
func (e *Estimator) job(index int32) *jobEstimate {
	if int(index) >= len(e.jobs) {
		return nil
	}
	return e.jobs[index]
}

// JobCount is the number of unfinished jobs.
func (e *Estimator) JobCount() int { return len(e.order) }

// MeanTaskTime is s̄, the mean run time in seconds of the tasks of finished jobs, and whether
// there is one.
func (e *Estimator) MeanTaskTime() (float64, bool) {
	if e.finishedTasks == 0 {
		return 0, false
	}
	return e.finishedSeconds / e.finishedTasks, true
}

// Add enters a team's job of n tasks, each taking cpus processors, with the initial size
// S_i. A job under t tasks is tiny and gets size zero, which is final; a gang has no
// training and keeps S_i.
func (e *Estimator) Add(index, team int32, tasks int, cpus float64, gang bool) {
	e.lastArrival++
	job := &jobEstimate{team: team, tasks: tasks, tasksLeft: tasks, cpus: max(cpus, minCPUs), arrival: e.lastArrival}
	if tasks < e.params.TrainingTasks && !gang {
		job.final = true
	} else {
		job.size = e.initialSize(tasks)
		job.untrained = gang
		job.samples = newSamples(min(tasks, e.params.TrainingTasks))
	}
	for int(index) >= len(e.jobs) {
		e.jobs = append(e.jobs, nil)
	}
	e.jobs[index] = job
	e.order = append(e.order, index)
	e.sorted = false
}

// initialSize is S_i = n·ξ·s̄, or Params.First while there is no s̄.
func (e *Estimator) initialSize(tasks int) float64 {
	if mean, ok := e.MeanTaskTime(); ok {
		return float64(tasks) * e.params.Xi * mean
	}
	return e.params.InitialSize
}

// SetExpectedMean has a job that is not trained yet start from the mean run time in seconds that its
// kind of work has shown: n·ξ·mean in place of n·ξ·s̄.
func (e *Estimator) SetExpectedMean(index int32, mean float64) {
	if job := e.job(index); job != nil && !job.final {
		job.size = float64(job.tasks) * e.params.Xi * mean
		e.sorted = false
	}
}

// Restore puts back a size and a virtual size, in seconds, that an earlier term wrote down.
func (e *Estimator) Restore(index int32, final bool, size, virtual float64) {
	if job := e.job(index); job != nil {
		e.sorted = false
		job.final = job.final || final
		job.size = size
		job.virtualWork = max(0, size-virtual)
	}
}

// RestoreHistory counts into s̄ the tasks of a job that finished, and the seconds that they
// ran together.
func (e *Estimator) RestoreHistory(seconds float64, tasks int) {
	e.finishedSeconds += seconds
	e.finishedTasks += float64(tasks)
}

// Remove takes out a job; seconds and tasks are what its completed tasks
// took, counted into s̄ when it finished rather than being cancelled.
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

// VirtualSize is the virtual size in seconds: what is left of a job in the virtual cluster.
func (e *Estimator) VirtualSize(index int32) float64 {
	job := e.job(index)
	if job == nil {
		return 0
	}
	return job.remaining()
}

// Size is the job's present estimate in seconds, and whether it is S_f.
func (e *Estimator) Size(index int32) (float64, bool) {
	job := e.job(index)
	if job == nil {
		return 0, false
	}
	return job.size, job.final
}

// Order lists the jobs, smallest virtual size first, then by arrival. The
// slice is valid until the next call.
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
