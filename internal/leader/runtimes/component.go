package runtimes

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"bitternmoor/internal/core/calendar"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Name is that of the duty, and of its entries.
const Name = "run-times"

const (
	bytesPerNight         = 80  // rough sizes of a night in a value,
	bytesPerRecord        = 160 // and of a fact in the log
	minTasksForSpeed      = 4   // tasks of which a machine is known to be slow
	slowRatio             = 1.7 // from which on it is
	countedRunDays        = 2   // for how long ids of facts are remembered
	maxKindsClosedPerTick = 16  // kinds whose night is closed in one tick
)

// Component learns in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	calendar   *calendar.Calendar
	model      *Model
	demand     demand
	lateMargin float64

	runs            map[uint64]*jobRun // open jobs of which something was seen, by id
	taskPlacedAt    map[workers.Ref]time.Duration
	machineSpeeds   map[string]*machineSpeed // by machine
	countedRuns     map[uint64]int32         // jobs whose fact is counted, and its night
	today           calendar.Night
	loggedRecords   int          // entries of facts that may have to be kept
	deferredRecords []*RunRecord // until the history is read
	closingKinds    []Kind       // whose night is over and not closed yet

	history       cluster.ValueReader
	store         *valueStore
	pending       *pendingWrite
	durableNights map[Kind]int32 // the last night of each kind that is written
	lastWriteAt   time.Duration
	writeInterval time.Duration // between values

	lateJobs    map[uint64]*Late
	lastCheckAt time.Duration
	leadTimes   *cluster.Histogram
}

// jobRun is what is known of an open job's tasks.
type jobRun struct {
	kind        Kind
	est         Estimate
	task, fetch *ddsketch.DDSketch
	n           int
	disturbed   map[int]bool // tasks that were started more than once, or moved
}

// machineSpeed is how slow a machine's tasks are, as a mean of logarithms.
type machineSpeed struct {
	n   int
	log float64
}

// New makes the duty of a term. How many kinds of work it knows, by which calendar
// it counts nights and what it takes for late is in the operators' settings.
func New(s *cluster.State) *Component {
	x := s.Cfg.Tunables
	cal, err := x.NewCalendar()
	if err != nil {
		panic(err) // settings are checked when they are read
	}
	// Each value costs a change for itself and one for the entry that goes along.
	pace := settings.Seconds(2 / max(.01, writeShare*s.Cfg.WriteLimits().WriteRPS))
	return &Component{State: s, calendar: cal, lateMargin: x.LateMargin, model: NewModel(x.RunTimesKinds), store: newShelf(0), writeInterval: pace, demand: demand{durableDay: math.MinInt32}, runs: map[uint64]*jobRun{}, taskPlacedAt: map[workers.Ref]time.Duration{},
		machineSpeeds: map[string]*machineSpeed{}, countedRuns: map[uint64]int32{}, durableNights: map[Kind]int32{}, lateJobs: map[uint64]*Late{},
		leadTimes: s.Metrics.Histogram("bitternmoor_late_job_lead_seconds", "How long before its learned deadline a job was warned of, by why it is late.", "why", []float64{0, 5, 15, 30, 60, 120, 300, 900, 3600})}
}

// entry is one of the duty's own in the log: what a job has shown, that a value was
// written, or that a kind was forgotten.
type entry struct {
	Record    *storedRecord    `json:"f,omitempty"`
	Stored    *int             `json:"w,omitempty"`
	Forgotten *storedForgotten `json:"x,omitempty"`
}

type storedForgotten struct {
	Kind    [4]string `json:"k"`
	Holiday bool      `json:"h,omitempty"`
	At      int64     `json:"a"` // facts up to then count no more
}

type storedRecord struct {
	ID       uint64     `json:"i"`
	At       int64      `json:"a"`
	Day      int32      `json:"d"`
	Kind     [4]string  `json:"k"`
	Holiday  bool       `json:"h,omitempty"`
	N        int        `json:"n"`
	Task     [5]float64 `json:"t"`
	Fetch    float64    `json:"x,omitempty"`
	Job      float64    `json:"j"`
	Estimate float64    `json:"e,omitempty"`
	Work     float64    `json:"w,omitempty"`
}

type storedKind struct {
	Kind    [4]string     `json:"k"`
	Holiday bool          `json:"h,omitempty"`
	At      int64         `json:"a"`
	Nights  [][11]float64 `json:"n"` // the fields of Night, in their order
}

// roundDigits keeps three digits: no estimate is better than that.
func roundDigits(v float64) float64 {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return 0
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

func kindFields(k Kind) [4]string { return [4]string{k.Class, k.Team, k.Image, k.Shape} }

func kindOf(n [4]string, holiday bool) Kind { return Kind{n[0], n[1], n[2], n[3], holiday} }

func (f *storedRecord) runRecord() *RunRecord {
	return &RunRecord{ID: f.ID, At: f.At, Day: f.Day, Kind: kindOf(f.Kind, f.Holiday), N: f.N, Task: f.Task, Fetch: f.Fetch, Job: f.Job, Estimate: f.Estimate, Work: f.Work}
}

func (n Night) numbers() [11]float64 {
	return [11]float64{float64(n.Day), float64(n.Jobs), float64(n.N), roundDigits(n.P50), roundDigits(n.P90), roundDigits(n.Fetch), roundDigits(n.JobP50), roundDigits(n.JobP90), roundDigits(n.RatioP10), roundDigits(n.RatioP50), roundDigits(n.RP90)}
}

func nightOf(x [11]float64) Night {
	return Night{int32(x[0]), int(x[1]), int(x[2]), x[3], x[4], x[5], x[6], x[7], x[8], x[9], x[10]}
}

func (d *Component) decode(e eventlog.Entry) (out entry, ok bool) {
	if e.Component == nil {
		return out, false
	}
	if err := json.Unmarshal(e.Component.Data, &out); err != nil {
		d.LogMessage(effects.Warn, "an entry of learned run times cannot be read: it is left out, and learning goes on", "error", err)
		return out, false
	}
	return out, true
}

func (d *Component) appendEntry(e entry) bool {
	own := eventlog.NewComponentEntry(Name, e) // round leaves no number that cannot be written
	if !d.EventLog.Fits(own) {
		return false
	}
	d.EventLog.Append(own)
	return true
}

// Replay takes an entry of its own. A fact counts for a kind only if its night is
// later than those that the kind's value holds, and once for each job: so nothing
// is counted twice.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	x, ok := d.decode(e)
	switch {
	case !ok:
	case x.Record != nil:
		d.loggedRecords++
		d.deferRecord(x.Record.runRecord())
	case x.Forgotten != nil:
		k := kindOf(x.Forgotten.Kind, x.Forgotten.Holiday)
		d.model.forgottenAt[k] = max(d.model.forgottenAt[k], x.Forgotten.At)
	}
}

// deferRecord keeps a fact until the history is read.
func (d *Component) deferRecord(f *RunRecord) {
	if len(d.deferredRecords) < maxDeferredRecords {
		d.deferredRecords = append(d.deferredRecords, f)
	}
}

// nightDurable says whether a kind's summary up to a night is written.
func (d *Component) nightDurable(k Kind, day int32) bool {
	last, ok := d.durableNights[k]
	return ok && last >= day
}

func (d *Component) countRecord(f *RunRecord) {
	if _, seen := d.countedRuns[f.ID]; seen {
		return
	}
	if !d.history.Done {
		d.deferRecord(f)
		return
	}
	d.countedRuns[f.ID] = f.Day
	for _, k := range d.model.AddRun(f) {
		d.store.push(d.store.place(k))
	}
	d.removeFromStore(d.model.takeEvicted())
	accepted := f.accepted()
	night := d.calendar.At(accepted)
	d.demand.addWork(night.Day, night.Holiday, d.calendar.Slot(accepted), f.Work)
}

// removeFromStore has kinds that are in the book no more written nowhere.
func (d *Component) removeFromStore(list []Kind) {
	for _, k := range list {
		delete(d.durableNights, k)
		d.store.remove(k)
	}
}

// historyLoaded counts the facts that waited for the history, in the order of their nights:
// cleaning may have left an older one behind a newer one. What they close, and what
// the last leader has closed and not written, is written.
func (d *Component) historyLoaded(now time.Duration) {
	d.model.evict()
	d.removeFromStore(d.model.takeEvicted())
	held := d.deferredRecords
	d.deferredRecords = nil
	slices.SortStableFunc(held, func(a, b *RunRecord) int { return cmp.Or(cmp.Compare(a.Day, b.Day), cmp.Compare(a.At, b.At)) })
	for _, f := range held {
		d.countRecord(f)
	}
	d.today = calendar.Night{}
	d.startNight(now)
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Open {
			d.seedEstimator(now, j)
		}
	}
}

// wallClock is the time of day.
func (d *Component) wallClock(now time.Duration) time.Time {
	return time.UnixMilli(d.ClockZeroMS + now.Milliseconds())
}

// startNight notes which night it is. Those before it are closed for all kinds.
func (d *Component) startNight(now time.Duration) {
	today := d.calendar.At(d.wallClock(now))
	if today == d.today {
		return
	}
	d.today = today
	for id, day := range d.countedRuns {
		if day < today.Day-countedRunDays {
			delete(d.countedRuns, id)
		}
	}
	d.closingKinds = append(d.closingKinds, d.model.kindsEndedBefore(today.Day)...)
	for _, n := range d.demand.closeNights(today.Day) {
		d.store.push(n)
	}
	for name := range d.machineSpeeds {
		if d.Inventory.Find(name) == nil {
			delete(d.machineSpeeds, name)
		}
	}
}

// closeNights closes the night of some of the kinds for which it is over.
func (d *Component) closeNights() {
	n := min(maxKindsClosedPerTick, len(d.closingKinds))
	for _, k := range d.closingKinds[:n] {
		if m := d.model.histories[k]; m != nil && m.open != nil && m.open.day < d.today.Day {
			m.closeNight()
			d.store.push(d.store.place(k))
		}
	}
	d.closingKinds = d.closingKinds[n:]
}

func (d *Component) kindOfJob(j *jobs.Job) Kind {
	return Kind{Class: j.Record.Class, Team: j.Record.Team, Image: j.Record.Image, Shape: shape(len(j.Tasks), j.Need.CPU), Holiday: d.today.Holiday}
}

// estimateJob is what is expected of a job.
func (d *Component) estimateJob(now time.Duration, j *jobs.Job) Estimate {
	return d.model.Estimate(d.kindOfJob(j), j.Record.EstimateS, d.wallClock(now).Unix())
}

func (d *Component) runOf(now time.Duration, j *jobs.Job) *jobRun {
	r := d.runs[j.Record.ID]
	if r == nil {
		r = &jobRun{kind: d.kindOfJob(j), est: d.estimateJob(now, j), task: newSketch(), fetch: newSketch(), disturbed: map[int]bool{}}
		d.runs[j.Record.ID] = r
	}
	return r
}

// HandleEvent learns. Only tasks that this leader has started, that ran from their start
// to their end in one go, and not on a machine known to be slow, tell how long
// their kind takes.
func (d *Component) HandleEvent(e cluster.Event) {
	switch e.Kind {
	case cluster.JobOrdered:
		d.seedEstimator(e.At, e.Job)
	case cluster.TaskPlaced:
		d.taskPlacedAt[workers.Ref{Job: e.Job.Index, Task: int32(e.Task)}] = e.At
	case cluster.TaskBegan:
		ref := workers.Ref{Job: e.Job.Index, Task: int32(e.Task)}
		if at, ok := d.taskPlacedAt[ref]; ok {
			delete(d.taskPlacedAt, ref)
			addToSketch(d.runOf(e.At, e.Job).fetch, (e.At - at).Seconds(), 1)
		}
	case cluster.TaskGone:
		delete(d.taskPlacedAt, workers.Ref{Job: e.Job.Index, Task: int32(e.Task)})
		if e.Job.Record.Kind == jobs.Array {
			d.runOf(e.At, e.Job).disturbed[e.Task] = true
		}
	case cluster.TaskDone:
		delete(d.taskPlacedAt, workers.Ref{Job: e.Job.Index, Task: int32(e.Task)})
		d.taskDone(e)
	case cluster.JobDone:
		d.jobDone(e.At, e.Job)
	case cluster.JobRemoved:
		delete(d.runs, e.Job.Record.ID)
		d.clearWarning(e.Job.Record.ID, "over")
	}
}

// seedEstimator has a job's size start from what its kind has shown (learned_sizes).
func (d *Component) seedEstimator(now time.Duration, j *jobs.Job) {
	if d.Cfg.Tunables.LearnedSizes == 0 || !d.history.Done {
		return
	}
	if e := d.estimateJob(now, j); e.Tasks > 0 {
		d.Estimator.Expect(j.Index, e.Mean())
	}
}

func (d *Component) taskDone(e cluster.Event) {
	if e.RunSeconds <= 0 || !e.FromThisTerm || e.Job.Record.Kind != jobs.Array {
		return
	}
	r := d.runOf(e.At, e.Job)
	if r.disturbed[e.Task] || e.Job.Saved[int32(e.Task)] > 0 {
		return
	}
	if d.observeSpeed(r, e) {
		return
	}
	addToSketch(r.task, e.RunSeconds, 1)
	r.n++
}

// observeSpeed notes how a machine's task went against what was expected, and says
// whether the machine is known to be slow.
func (d *Component) observeSpeed(r *jobRun, e cluster.Event) bool {
	if r.est.Tasks == 0 || r.est.P50 <= 0 {
		return false
	}
	s := d.machineSpeeds[e.Machine.Name]
	if s == nil {
		s = &machineSpeed{}
		d.machineSpeeds[e.Machine.Name] = s
	}
	s.n++
	s.log += (math.Log(e.RunSeconds/r.est.P50) - s.log) / float64(min(s.n, 2*minTasksForSpeed))
	return d.isSlow(e.Machine.Name)
}

// isSlow says whether a machine is far slower than the others: not when all of
// them are.
func (d *Component) isSlow(machine string) bool {
	s := d.machineSpeeds[machine]
	if s == nil || s.n < minTasksForSpeed || s.log < math.Log(slowRatio) {
		return false
	}
	slow, known := 0, 0
	for _, o := range d.machineSpeeds {
		if o.n >= minTasksForSpeed {
			known++
			if o.log >= math.Log(slowRatio) {
				slow++
			}
		}
	}
	return slow*4 <= known
}

// jobDone makes a fact of a job that is durably done.
func (d *Component) jobDone(now time.Duration, j *jobs.Job) {
	r := d.runs[j.Record.ID]
	delete(d.runs, j.Record.ID)
	d.clearWarning(j.Record.ID, "done")
	if r == nil || r.n == 0 {
		return
	}
	d.startNight(now)
	s := storedRecord{ID: j.Record.ID, At: d.wallClock(now).Unix(), Day: d.today.Day, Kind: kindFields(r.kind), Holiday: d.today.Holiday, N: r.n,
		Fetch: roundDigits(quantile(r.fetch, .5)), Job: roundDigits((now - j.AcceptedAt).Seconds()), Estimate: roundDigits(j.Record.EstimateS)}
	for i, q := range recordQuantiles {
		s.Task[i] = roundDigits(quantile(r.task, q))
	}
	s.Work = roundDigits(mean(s.Task) * float64(len(j.Tasks)) * j.Need.CPUs())
	if d.appendEntry(entry{Record: &s}) {
		d.countRecord(s.runRecord())
		d.loggedRecords++
	}
}

// Tick reads the history after a takeover, writes what nights have shown, and looks
// after jobs that run late.
func (d *Component) Tick(now time.Duration, sure bool) {
	if !sure {
		return
	}
	if !d.history.Done {
		d.history.RequestNext(d.State, now, Name)
		return
	}
	if now-d.lastCheckAt >= max(lateCheckInterval, time.Duration(d.Estimator.Len())*lateCheckPerJob) {
		d.lastCheckAt = now
		d.startNight(now)
		d.checkLateJobs(now)
	}
	d.closeNights()
	d.writeNext(now)
}

// LiveBytes is roughly how many bytes Keep would write for the whole log.
func (d *Component) LiveBytes() int { return d.loggedRecords * bytesPerRecord }

// Compact writes anew a fact that is in no value yet, and for some days that a kind was
// forgotten.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	x, ok := d.decode(e)
	switch {
	case !ok:
	case x.Record != nil:
		if !d.history.Done || d.recordNeeded(x.Record.runRecord()) {
			d.EventLog.Append(e)
			return
		}
		d.loggedRecords = max(0, d.loggedRecords-1)
	case x.Forgotten != nil:
		k := kindOf(x.Forgotten.Kind, x.Forgotten.Holiday)
		at := time.Unix(x.Forgotten.At, 0)
		if n, ok := d.store.home[k]; !d.history.Done || d.calendar.At(at).Day >= d.today.Day-keepForgottenDays || (ok && d.store.queued[n]) {
			d.EventLog.Append(e)
		}
	}
}

// recordNeeded says whether a fact is not in the values of all that it counts for.
func (d *Component) recordNeeded(f *RunRecord) bool {
	for _, k := range f.Kind.levels() {
		if m := d.model.histories[k]; m != nil && !d.nightDurable(k, f.Day) {
			return true
		}
	}
	return f.Work > 0 && d.demand.notDurable(d.calendar.At(f.accepted()).Day)
}
