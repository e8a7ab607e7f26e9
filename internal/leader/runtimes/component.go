package runtimes

import (
	"math"
	"time"

	"bitternmoor/internal/core/calendar"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
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
