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

// maxDeferredRecords bounds the records that wait in memory for the history to be loaded.
const maxDeferredRecords = 20000

// jobRun is what is known of an open job's tasks.
type jobRun struct {
	kind        Kind
	est         Estimate // when the first of them was seen
	task, fetch *ddsketch.DDSketch
	n           int          // tasks whose time counts
	disturbed   map[int]bool // tasks that were started more than once, or moved
}

// RunRecord is what one job has shown, once it is done. Times are in seconds.
type RunRecord struct {
	ID       uint64
	At       int64 // time of day, in seconds
	Day      int32 // of the night it belongs to
	Kind     Kind
	N        int // tasks whose time counts
	Task     [5]float64
	Fetch    float64 // the median of what passed between a task's start and its running; 0: none was seen
	Job      float64 // from its acceptance, or release, to its end
	Estimate float64 // its owner's, of one task
	Work     float64 // of all its tasks, in processor seconds
}

// accepted is when its job was accepted, or released.
func (r *RunRecord) accepted() time.Time {
	return time.Unix(r.At, 0).Add(-time.Duration(r.Job * float64(time.Second)))
}

// Quantiles of a distribution that a record carries; each stands for as many values as lie
// nearest to it.
var (
	recordQuantiles = [5]float64{.05, .25, .5, .75, .95}
	quantileWeights = [5]float64{.15, .225, .25, .225, .15}
)

// mean is the mean of a job's tasks by what is kept of them.
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

// estimateJob is what is expected of a job.
func (d *Component) estimateJob(now time.Duration, j *jobs.Job) Estimate {
	return d.model.Estimate(d.kindOfJob(j), j.Record.EstimateS, d.wallClock(now).Unix())
}

func (d *Component) runOf(now time.Duration, j *jobs.Job) *jobRun {
	r := d.runs[j.Record.ID]
	if r == nil {
		r = &jobRun{
			kind:      d.kindOfJob(j),
			est:       d.estimateJob(now, j),
			task:      newSketch(),
			fetch:     newSketch(),
			disturbed: map[int]bool{},
		}
		d.runs[j.Record.ID] = r
	}
	return r
}

// seedEstimator has the estimate of a job's size start from what its kind has shown
// (learned_sizes).
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
		d.runOf(e.At, e.Job).disturbed[e.Task] = true
	}
}

func (d *Component) taskDone(e cluster.Event) {
	delete(d.taskPlacedAt, taskOf(e))
	if e.RunSeconds <= 0 || !e.FromThisTerm || e.Job.Record.Kind != jobs.Array {
		return
	}
	r := d.runOf(e.At, e.Job)
	if r.disturbed[e.Task] || e.Job.SavedRunTime[int32(e.Task)] > 0 {
		return
	}
	if d.observeSpeed(r, e) {
		return
	}
	addToSketch(r.task, e.RunSeconds, 1)
	r.n++
}

// jobDone makes a record of a job that is durably done.
func (d *Component) jobDone(now time.Duration, j *jobs.Job) {
	r := d.runs[j.Record.ID]
	delete(d.runs, j.Record.ID)
	d.clearWarning(j.Record.ID, endedByCompletion)
	if r == nil || r.n == 0 {
		return
	}
	d.startNight(now)
	s := storedRecord{
		ID:       j.Record.ID,
		At:       d.wallClock(now).Unix(),
		Day:      d.today.Day,
		Kind:     kindFields(r.kind),
		Holiday:  d.today.Holiday,
		N:        r.n,
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

// countRecord counts a record, once for each job.
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
	night := d.calendar.At(accepted)
	d.demand.addWork(night.Day, night.Holiday, d.calendar.Slot(accepted), r.Work)
}

// deferRecord keeps a record until the history is loaded.
func (d *Component) deferRecord(r *RunRecord) {
	if len(d.deferredRecords) < maxDeferredRecords {
		d.deferredRecords = append(d.deferredRecords, r)
	}
}

// historyLoaded counts the records that waited for the history, in the order of their
// nights: compaction may have left an older one behind a newer one. What they close, and
// what the last leader has closed and not written, is written.
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
