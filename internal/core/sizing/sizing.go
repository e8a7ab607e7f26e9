// Package sizing is HFSP: it estimates the size of each job from a few
// training tasks, ages the sizes in a virtual cluster shared max-min fairly,
// and orders jobs by what is left of them there. It is pure: times come in,
// an order comes out.
package sizing

import (
	"cmp"
	"math"
	"slices"
)

// Params are the letters of the design document.
type Params struct {
	Train int     // t
	Xi    float64 // ξ
	Delta float64 // Δ in seconds
	First float64 // size of a job without any history, in seconds
}

// jobEstimate is what HFSP knows of one job.
type jobEstimate struct {
	team        int32
	tasks       int
	cpus        float64
	tasksLeft   int // tasks not completed
	untrained   bool
	final       bool
	size        float64 // S_i, then S_f
	virtualWork float64 // virtual work done so far
	arrival     uint64
	samples     []sample
}

type sample struct {
	startedAt float64 // when it began to run; negative: not running
	runTime   float64 // negative: not completed
}

// Estimator holds the sizes of all unfinished jobs, by dense job index.
type Estimator struct {
	params          Params
	Limits          []float64      // processors that a team may use at once, by team; 0 or missing: no limit
	jobs            []*jobEstimate // nil where there is none
	order           []int32
	sorted          bool    // order is as it must be: no virtual size has changed since
	finishedSeconds float64 // run time of the tasks of finished jobs
	finishedTasks   float64
	lastArrival     uint64
	agedAt          float64
}

// New makes an empty book.
func New(p Params) *Estimator { return &Estimator{params: p} }

// job returns the job with an index, or nil.
func (b *Estimator) job(j int32) *jobEstimate {
	if int(j) >= len(b.jobs) {
		return nil
	}
	return b.jobs[j]
}

// Len is the number of unfinished jobs.
func (b *Estimator) Len() int { return len(b.order) }

// Mean is s̄, the mean task time of finished jobs, and whether there is one.
func (b *Estimator) Mean() (float64, bool) {
	if b.finishedTasks == 0 {
		return 0, false
	}
	return b.finishedSeconds / b.finishedTasks, true
}

// Add enters a team's job of n tasks, each taking cpus. A job under t tasks is tiny
// and gets size zero; a gang has no training and keeps its initial size.
func (b *Estimator) Add(j, team int32, n int, cpus float64, gang bool) {
	b.lastArrival++
	job := &jobEstimate{team: team, tasks: n, tasksLeft: n, cpus: max(cpus, 0.001), arrival: b.lastArrival}
	switch {
	case n < b.params.Train && !gang:
		job.final = true
	default:
		if mean, ok := b.Mean(); ok {
			job.size = float64(n) * b.params.Xi * mean
		} else {
			job.size = b.params.First
		}
		job.untrained = gang
		job.samples = make([]sample, min(n, b.params.Train))
		for k := range job.samples {
			job.samples[k] = sample{-1, -1}
		}
	}
	for int(j) >= len(b.jobs) {
		b.jobs = append(b.jobs, nil)
	}
	b.jobs[j] = job
	b.order = append(b.order, j)
	b.sorted = false
}

// Expect has a job that is not trained yet start from what its kind of work has
// shown: n·ξ·mean in place of n·ξ·s̄.
func (b *Estimator) Expect(j int32, mean float64) {
	if job := b.job(j); job != nil && !job.final {
		job.size = float64(job.tasks) * b.params.Xi * mean
		b.sorted = false
	}
}

// Restore puts back what an earlier term had written down.
func (b *Estimator) Restore(j int32, final bool, size, virtual float64) {
	if job := b.job(j); job != nil {
		b.sorted = false
		job.final = job.final || final
		job.size = size
		job.virtualWork = max(0, size-virtual)
	}
}

// RestoreHistory counts the tasks of a job that finished in an earlier term.
func (b *Estimator) RestoreHistory(seconds float64, tasks int) {
	b.finishedSeconds += seconds
	b.finishedTasks += float64(tasks)
}

// Remove takes out a job; seconds and tasks are what its completed tasks
// took, counted into s̄ when it finished rather than being cancelled.
func (b *Estimator) Remove(j int32, finished bool, seconds float64, tasks int) {
	if b.job(j) == nil {
		return
	}
	if finished {
		b.RestoreHistory(seconds, tasks)
	}
	b.jobs[j] = nil
	b.order = slices.DeleteFunc(b.order, func(o int32) bool { return o == j })
}

// Training says whether task k of job j is one that trains its size.
func (b *Estimator) Training(j int32, k int) bool {
	job := b.job(j)
	return job != nil && !job.final && !job.untrained && k < len(job.samples)
}

// InTraining says whether the job's size is still to be set from training.
func (b *Estimator) InTraining(j int32) bool { return b.Training(j, 0) }

// Began notes that a task started to run.
func (b *Estimator) Began(j int32, k int, now float64) {
	if b.Training(j, k) && b.jobs[j].samples[k].startedAt < 0 {
		b.jobs[j].samples[k].startedAt = now
	}
}

// Lost notes that a task no longer runs and did not complete.
func (b *Estimator) Lost(j int32, k int) {
	if b.Training(j, k) {
		b.jobs[j].samples[k].startedAt = -1
	}
}

// Completed notes that a task completed after took seconds of running. A
// negative time is unknown, and the mean of the known ones stands in for it.
func (b *Estimator) Completed(j int32, k int, took float64) {
	job := b.job(j)
	if job == nil {
		return
	}
	job.tasksLeft--
	if b.Training(j, k) {
		if took < 0 {
			if mean, ok := b.Mean(); ok {
				took = mean
			} else {
				took = b.params.First
			}
		}
		job.samples[k].runTime = took
	}
}

// Settle sets the final size of job j when its training is over: all
// training tasks completed, or the ones left have run for Δ and count 2Δ
// (workers report no progress, so p is taken as one half). It returns the
// size and true when it was set by this call; it is set only once.
func (b *Estimator) Settle(j int32, now float64) (float64, bool) {
	job := b.job(j)
	if job == nil || job.final || job.untrained {
		return 0, false
	}
	var sum, open float64
	for _, s := range job.samples {
		switch {
		case s.runTime >= 0:
			sum += s.runTime
		case s.startedAt >= 0 && now-s.startedAt >= b.params.Delta:
			sum += 2 * b.params.Delta
			open += 0.5
		default:
			return 0, false
		}
	}
	mean := sum / float64(len(job.samples))
	job.size = mean * (float64(job.tasks-len(job.samples)) + open)
	job.final = true
	b.sorted = false
	return job.size, true
}

// Virtual is what is left of a job in the virtual cluster.
func (b *Estimator) Virtual(j int32) float64 {
	job := b.job(j)
	if job == nil {
		return 0
	}
	return max(0, job.size-job.virtualWork)
}

// Size is the job's present estimate and whether it is final.
func (b *Estimator) Size(j int32) (float64, bool) {
	job := b.job(j)
	if job == nil {
		return 0, false
	}
	return job.size, job.final
}

// Age lets the virtual cluster of cpus processors work until now. Its
// processors are shared max-min fairly: no job gets more than its tasks can
// use, and what small jobs leave goes to the others. A team gets no more than
// its limit in all, as in the real cluster: otherwise all jobs of a team at its
// limit would be worked off in the virtual cluster long before the real one,
// and would stand in the order of their arrival instead of their size.
func (b *Estimator) Age(now, cpus float64) {
	dt := now - b.agedAt
	b.agedAt = now
	if dt <= 0 || cpus <= 0 {
		return
	}
	claims := make([]claim, 0, len(b.order))
	for _, j := range b.order {
		job := b.job(j)
		if rest := job.size - job.virtualWork; rest > 0 {
			parallel := min(float64(job.tasksLeft), math.Ceil(rest/dt))
			claims = append(claims, claim{job, max(parallel, 1) * job.cpus})
		}
	}
	slices.SortFunc(claims, byDemand)
	b.sorted = b.sorted && len(claims) == 0
	for team, limit := range b.Limits {
		if limit <= 0 {
			continue
		}
		most := maxMinLevel(claims, limit, func(j *jobEstimate) bool { return int(j.team) == team })
		for i, c := range claims {
			if int(c.job.team) == team {
				claims[i].demand = min(c.demand, most)
			}
		}
	}
	slices.SortFunc(claims, byDemand)
	most := maxMinLevel(claims, cpus, func(*jobEstimate) bool { return true })
	for _, c := range claims {
		c.job.virtualWork = min(c.job.size, c.job.virtualWork+min(c.demand, most)/c.job.cpus*dt)
	}
}

// claim is how many processors a job could use in the virtual cluster.
type claim struct {
	job    *jobEstimate
	demand float64
}

func byDemand(a, b claim) int { return cmp.Compare(a.demand, b.demand) }

// maxMinLevel is the most that one of the jobs may get where cpus processors are
// shared max-min fairly among them. The claims come smallest first.
func maxMinLevel(claims []claim, cpus float64, of func(*jobEstimate) bool) float64 {
	n := 0
	for _, c := range claims {
		if of(c.job) {
			n++
		}
	}
	most := 0.0
	for _, c := range claims {
		if of(c.job) {
			share := cpus / float64(n)
			most = max(most, share)
			cpus -= min(c.demand, share)
			n--
		}
	}
	return most
}

// Order lists the jobs, smallest virtual size first, then by arrival. The
// slice is valid until the next call.
func (b *Estimator) Order() []int32 {
	if b.sorted {
		return b.order
	}
	b.sorted = true
	slices.SortFunc(b.order, func(x, y int32) int {
		jx, jy := b.jobs[x], b.jobs[y]
		if c := cmp.Compare(max(0, jx.size-jx.virtualWork), max(0, jy.size-jy.virtualWork)); c != 0 {
			return c
		}
		return cmp.Compare(jx.arrival, jy.arrival)
	})
	return b.order
}
