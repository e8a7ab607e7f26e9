package runtimes

import (
	"cmp"
	"slices"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"bitternmoor/internal/core/calendar"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
)

// maxDeferredRecords bounds the records kept in memory until the history is loaded.
const maxDeferredRecords = 20000

// jobRun holds the observations of an open job's tasks.
type jobRun struct {
	kind         Kind
	estimate     Estimate // at the time of the first observation
	task, fetch  *ddsketch.DDSketch
	countedTasks int          // number of tasks whose run time counts
	interrupted  map[int]bool // tasks that left a machine before they completed
}

// RunRecord is the observed run times of a finished job, in seconds.
type RunRecord struct {
	ID            uint64
	At            int64 // Unix time of its end, in seconds
	Day           int32 // night in which it ended
	Kind          Kind
	CountedTasks  int        // number of tasks whose run time counts
	TaskQuantiles [5]float64 // task run times at recordQuantiles
	Fetch         float64    // median time from a task's placement to its start; 0: not observed
	Job           float64    // from its acceptance or release to its end
	Estimate      float64    // the owner's estimate of one task
	Work          float64    // of all its tasks, in CPU seconds
}

// accepted returns when the job was accepted or released.
func (r *RunRecord) accepted() time.Time {
	return time.Unix(r.At, 0).Add(-time.Duration(r.Job * float64(time.Second)))
}

// recordQuantiles are the quantiles of task run times in a record. quantileWeights is the share of
// the values that are nearest to each of them.
var (
	recordQuantiles = [5]float64{.05, .25, .5, .75, .95}
	quantileWeights = [5]float64{.15, .225, .25, .225, .15}
)

// mean returns the approximate mean task time from the quantiles of a record.
func mean(task [5]float64) float64 {
	sum := 0.0
	for i, v := range task {
		sum += quantileWeights[i] * v
	}
	return sum
}

func (d *Component) kindOfJob(j *jobs.Job) Kind {
	return Kind{
		Class:   j.Record.Class,
		Team:    j.Record.Team,
		Image:   j.Record.Image,
		Shape:   shape(len(j.Tasks), j.Need.CPU),
		Holiday: d.today.Holiday,
	}
}

// estimateJob returns the current estimate for a job.
func (d *Component) estimateJob(now time.Duration, j *jobs.Job) Estimate {
	return d.model.Estimate(d.kindOfJob(j), j.Record.EstimateS, d.wallClock(now).Unix())
}

// runOf returns the observations of a job's tasks, creating empty ones if there are none.
func (d *Component) runOf(now time.Duration, j *jobs.Job) *jobRun {
	r := d.runs[j.Record.ID]
	if r == nil {
		r = &jobRun{
			kind:        d.kindOfJob(j),
			estimate:    d.estimateJob(now, j),
			task:        newSketch(),
			fetch:       newSketch(),
			interrupted: map[int]bool{},
		}
		d.runs[j.Record.ID] = r
	}
	return r
}

// seedEstimator sets the initial size estimate of a job from the history of its kind, if
// learned_sizes is enabled.
func (d *Component) seedEstimator(now time.Duration, j *jobs.Job) {
	if d.Cfg.Tunables.LearnedSizes == 0 || !d.historyReader.Done {
		return
	}
	if e := d.estimateJob(now, j); e.Tasks > 0 {
		d.Estimator.SetExpectedMean(j.Index, e.Mean())
	}
}

func taskOf(e cluster.Event) workers.TaskRef {
	return workers.TaskRef{Job: e.Job.Index, Task: int32(e.Task)}
}

func (d *Component) taskBegan(e cluster.Event) {
	if at, ok := d.taskPlacedAt[taskOf(e)]; ok {
		delete(d.taskPlacedAt, taskOf(e))
		addToSketch(d.runOf(e.At, e.Job).fetch, (e.At - at).Seconds(), 1)
	}
}

func (d *Component) taskGone(e cluster.Event) {
	delete(d.taskPlacedAt, taskOf(e))
	if e.Job.Record.Kind == jobs.Array {
		d.runOf(e.At, e.Job).interrupted[e.Task] = true
	}
}

func (d *Component) taskDone(e cluster.Event) {
	delete(d.taskPlacedAt, taskOf(e))
	if e.RunSeconds <= 0 || !e.FromThisTerm || e.Job.Record.Kind != jobs.Array {
		return
	}
	r := d.runOf(e.At, e.Job)
	if r.interrupted[e.Task] || e.Job.SavedRunTime[int32(e.Task)] > 0 {
		return
	}
	if d.observeSpeed(r, e) {
		return
	}
	addToSketch(r.task, e.RunSeconds, 1)
	r.countedTasks++
}

// jobDone logs and counts the run record of a job that is durably done.
func (d *Component) jobDone(now time.Duration, j *jobs.Job) {
	r := d.runs[j.Record.ID]
	delete(d.runs, j.Record.ID)
	d.clearWarning(j.Record.ID, endedByCompletion)
	if r == nil || r.countedTasks == 0 {
		return
	}
	d.startNight(now)
	s := storedRecord{
		ID:       j.Record.ID,
		At:       d.wallClock(now).Unix(),
		Day:      d.today.Day,
		Kind:     kindFields(r.kind),
		Holiday:  d.today.Holiday,
		N:        r.countedTasks,
		Fetch:    roundDigits(quantile(r.fetch, .5)),
		Job:      roundDigits((now - j.AcceptedAt).Seconds()),
		Estimate: roundDigits(j.Record.EstimateS),
	}
	for i, q := range recordQuantiles {
		s.Task[i] = roundDigits(quantile(r.task, q))
	}
	s.Work = roundDigits(mean(s.Task) * float64(len(j.Tasks)) * j.Need.CPUs())
	if d.appendEntry(entry{Record: &s}) {
		d.countRecord(s.runRecord())
		d.loggedRecords++
	}
}

// countRecord adds a record to the model and the demand, once for each job. It defers the record
// while the history is not loaded.
func (d *Component) countRecord(r *RunRecord) {
	if _, counted := d.countedRuns[r.ID]; counted {
		return
	}
	if !d.historyReader.Done {
		d.deferRecord(r)
		return
	}
	d.countedRuns[r.ID] = r.Day
	for _, k := range d.model.AddRun(r) {
		d.store.markDirty(d.store.assign(k))
	}
	d.removeFromStore(d.model.takeEvicted())
	accepted := r.accepted()
	night := d.calendar.NightAt(accepted)
	d.demand.addWork(night.Day, night.Holiday, d.calendar.QuarterHourOfDay(accepted), r.Work)
}

// deferRecord keeps a record until the history is loaded. Records beyond maxDeferredRecords are dropped.
func (d *Component) deferRecord(r *RunRecord) {
	if len(d.deferredRecords) < maxDeferredRecords {
		d.deferredRecords = append(d.deferredRecords, r)
	}
}

// historyLoaded counts the deferred records, sorted by night because compaction may have moved
// an older record behind a newer one. Nights that these records close, including those that
// the previous leader closed but did not write, become due for writing.
func (d *Component) historyLoaded(now time.Duration) {
	d.model.evict()
	d.removeFromStore(d.model.takeEvicted())
	deferred := d.deferredRecords
	d.deferredRecords = nil
	slices.SortStableFunc(deferred, func(a, b *RunRecord) int {
		return cmp.Or(cmp.Compare(a.Day, b.Day), cmp.Compare(a.At, b.At))
	})
	for _, r := range deferred {
		d.countRecord(r)
	}
	d.today = calendar.Night{}
	d.startNight(now)
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Open {
			d.seedEstimator(now, j)
		}
	}
}
