package sizing

// assumedProgress is p_k of a training task that has not ended after Δ. Workers report no progress,
// so the task is assumed to be half done.
const assumedProgress = 0.5

// sample is the measurement of one training task.
type sample struct {
	startedAt float64 // when it began to run, in seconds; negative: not running
	runTime   float64 // seconds; negative: not completed
}

// newSamples returns samples of training tasks that have not started.
func newSamples(count int) []sample {
	samples := make([]sample, count)
	for k := range samples {
		samples[k] = sample{startedAt: -1, runTime: -1}
	}
	return samples
}

// Training reports whether task k of a job is a training task: one of the first t while the size
// is not final.
func (e *Estimator) Training(index int32, k int) bool {
	job := e.job(index)
	return job != nil && !job.final && !job.keepsInitialSize && k < len(job.samples)
}

// InTraining reports whether S_f of a job is still to be computed from its training tasks.
func (e *Estimator) InTraining(index int32) bool { return e.Training(index, 0) }

// TaskStarted records that task k of a job started to run at the time now, in seconds.
func (e *Estimator) TaskStarted(index int32, k int, now float64) {
	if e.Training(index, k) && e.jobs[index].samples[k].startedAt < 0 {
		e.jobs[index].samples[k].startedAt = now
	}
}

// TaskLost records that task k of a job stopped running without completing.
func (e *Estimator) TaskLost(index int32, k int) {
	if e.Training(index, k) {
		e.jobs[index].samples[k].startedAt = -1
	}
}

// TaskCompleted records that task k of a job completed after runTime seconds. A negative run time
// means that it is unknown, and is replaced by s̄.
func (e *Estimator) TaskCompleted(index int32, k int, runTime float64) {
	job := e.job(index)
	if job == nil {
		return
	}
	job.tasksLeft--
	if !e.Training(index, k) {
		return
	}
	if runTime < 0 {
		runTime = e.meanOrInitial()
	}
	job.samples[k].runTime = runTime
}

// meanOrInitial returns s̄, or Params.InitialSize while there is none.
func (e *Estimator) meanOrInitial() float64 {
	if mean, ok := e.MeanTaskTime(); ok {
		return mean
	}
	return e.params.InitialSize
}

// FinalizeSize sets the final size S_f of a job once its training is over: each training task has
// completed, or has run for Δ and counts as Δ/p_k, which is 2Δ. It returns S_f in seconds and true
// if this call set it. It is set only once.
func (e *Estimator) FinalizeSize(index int32, now float64) (float64, bool) {
	job := e.job(index)
	if job == nil || job.final || job.keepsInitialSize {
		return 0, false
	}
	var sum, unfinished float64 // the sum of run times, and Σ(1−p_k)
	for _, s := range job.samples {
		switch {
		case s.runTime >= 0:
			sum += s.runTime
		case s.startedAt >= 0 && now-s.startedAt >= e.params.Delta:
			sum += e.params.Delta / assumedProgress
			unfinished += 1 - assumedProgress
		default:
			return 0, false
		}
	}
	mean := sum / float64(len(job.samples))
	job.size = mean * (float64(job.tasks-len(job.samples)) + unfinished)
	job.final = true
	e.sorted = false
	return job.size, true
}
