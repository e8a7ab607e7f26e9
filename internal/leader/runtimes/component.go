// Package runtimes is the component of a leader's term that learns how long each kind of
// work usually takes, from its own history, and says with it when open jobs should begin
// and end and which of them will be late. It is pure: run records and times come in;
// estimates, warnings and entries of the log come out. docs/run-times.md has the design
// and the operators' page.
package runtimes

import (
	"math"
	"time"

	"bitternmoor/internal/core/calendar"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/valuestore"
)

// Name is that of the component, of its entries and of its values.
const Name = "run-times"

// bytesPerRecord is roughly what a run record takes in the log.
const bytesPerRecord = 160

// leadTimeBounds are the buckets, in seconds, of how long ahead a late job was warned of.
var leadTimeBounds = []float64{0, 5, 15, 30, 60, 120, 300, 900, 3600}

// Component learns in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	// What has been learned.
	calendar   *calendar.Calendar
	model      *Model
	demand     demand
	lateMargin float64 // the operators' setting, as a factor

	// What is being learned.
	runs            map[uint64]*jobRun // of open jobs of which something was seen, by job id
	taskPlacedAt    map[workers.TaskRef]time.Duration
	machineSpeeds   map[string]*machineSpeed // by machine
	countedRuns     map[uint64]int32         // night of the jobs whose record is counted, by job id
	today           calendar.Night
	loggedRecords   int          // entries that compaction may have to keep
	deferredRecords []*RunRecord // until the history is loaded
	closingKinds    []Kind       // whose night is over and not closed yet

	// The history in values.
	historyReader cluster.ValueReader
	store         *valueStore
	writes        valuestore.Writer[valueWrite]
	durableNights map[Kind]int32 // the last night of each kind that is durable
	lastWriteAt   time.Duration
	writeInterval time.Duration // between values

	// Jobs that run late.
	lateJobs    map[uint64]*Late // by job id
	lastCheckAt time.Duration
	leadTimes   *cluster.Histogram
}

// New makes the component of a term. How many kinds of work it knows, by which calendar
// it counts nights and what it takes for late is in the operators' settings.
func New(s *cluster.State) *Component {
	tunables := s.Cfg.Tunables
	cal, err := tunables.NewCalendar()
	if err != nil {
		panic(err) // settings are checked when they are read
	}
	return &Component{
		State:         s,
		calendar:      cal,
		model:         NewModel(tunables.RunTimesKinds),
		demand:        demand{durableDay: math.MinInt32},
		lateMargin:    tunables.LateMargin,
		runs:          map[uint64]*jobRun{},
		taskPlacedAt:  map[workers.TaskRef]time.Duration{},
		machineSpeeds: map[string]*machineSpeed{},
		countedRuns:   map[uint64]int32{},
		store:         newValueStore(0),
		writes:        valuestore.Writer[valueWrite]{Component: Name},
		durableNights: map[Kind]int32{},
		writeInterval: writeInterval(s.Cfg.WriteLimits().WriteRPS),
		lateJobs:      map[uint64]*Late{},
		leadTimes: s.Metrics.Histogram("bitternmoor_late_job_lead_seconds",
			"How long before its learned deadline a job was warned of, by why it is late.", "why", leadTimeBounds),
	}
}

// Replay applies an entry of the component's own. A record counts for a kind only if its
// night is later than those that the kind's value holds, and once for each job: so
// nothing is counted twice.
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
// to their end in one go, and not on a machine known to be slow, show how long their kind
// takes.
func (d *Component) HandleEvent(e cluster.Event) {
	switch e.Kind {
	case cluster.JobOrdered:
		d.seedEstimator(e.At, e.Job)
	case cluster.TaskPlaced:
		d.taskPlacedAt[taskOf(e)] = e.At
	case cluster.TaskBegan:
		d.taskBegan(e)
	case cluster.TaskGone:
		d.taskGone(e)
	case cluster.TaskDone:
		d.taskDone(e)
	case cluster.JobDone:
		d.jobDone(e.At, e.Job)
	case cluster.JobRemoved:
		delete(d.runs, e.Job.Record.ID)
		d.clearWarning(e.Job.Record.ID, endedByRemoval)
	}
}

// Tick reads the history after a takeover, writes what nights have shown, and checks for
// jobs that run late.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if !leaseValid {
		return
	}
	if !d.historyReader.Done {
		d.historyReader.RequestNext(d.State, now, Name)
		return
	}
	if now-d.lastCheckAt >= max(lateCheckInterval, time.Duration(d.Estimator.JobCount())*lateCheckPerJob) {
		d.lastCheckAt = now
		d.startNight(now)
		d.checkLateJobs(now)
	}
	d.closeNights()
	d.writeNext(now)
}

// LiveBytes is roughly how many bytes Compact would write for the whole log.
func (d *Component) LiveBytes() int { return d.loggedRecords * bytesPerRecord }

// Compact writes anew a record that is in no value yet, and for some days that a kind was
// forgotten.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	x, ok := d.decode(e)
	switch {
	case !ok:
	case x.Record != nil:
		if !d.historyReader.Done || d.recordNeeded(x.Record.runRecord()) {
			d.EventLog.Append(e)
			return
		}
		d.loggedRecords = max(0, d.loggedRecords-1)
	case x.Forgotten != nil:
		if d.forgottenNeeded(x.Forgotten) {
			d.EventLog.Append(e)
		}
	}
}
