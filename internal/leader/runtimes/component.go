// Package runtimes is the leader component that learns from past runs how long each kind of
// work usually takes. From that it forecasts when open jobs begin and end, and warns of
// jobs that will be late. It does no I/O: it takes run records and times, and produces
// estimates, warnings and event log entries. docs/run-times.md describes its design and
// its use by operators.
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

// Name is the name of the component, of its log entries and of its stored values.
const Name = "run-times"

// bytesPerRecord is the approximate size of a run record in the log.
const bytesPerRecord = 160

// leadTimeBounds are the histogram buckets, in seconds, for how long before its learned deadline
// a late job was reported.
var leadTimeBounds = []float64{0, 5, 15, 30, 60, 120, 300, 900, 3600}

// Component learns run times during one leader term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	// The learned state.
	calendar   *calendar.Calendar
	model      *Model
	demand     demand
	lateMargin float64 // factor on the learned job time, from the settings

	// Observations that are still being collected.
	runs            map[uint64]*jobRun // open jobs with observed tasks, by job id
	taskPlacedAt    map[workers.TaskRef]time.Duration
	machineSpeeds   map[string]*machineSpeed // by machine
	countedRuns     map[uint64]int32         // night of each job whose record is counted, by job id
	today           calendar.Night
	loggedRecords   int          // record entries that compaction may have to keep
	deferredRecords []*RunRecord // records to count once the history is loaded
	closingKinds    []Kind       // kinds whose night is over but not closed yet

	// The history in stored values.
	historyReader cluster.ValueReader
	store         *valueStore
	writes        valuestore.Writer[valueWrite]
	durableNights map[Kind]int32 // the last durable night of each kind
	lastWriteAt   time.Duration
	writeInterval time.Duration // minimum time between two value writes

	// Jobs that run late.
	lateJobs    map[uint64]*LateJob // by job id
	lastCheckAt time.Duration
	leadTimes   *cluster.Histogram
}

// New returns the component for a term. The settings give the maximum number of kinds, the
// calendar that defines nights, and the margin after which a job is late.
func New(s *cluster.State) *Component {
	tunables := s.Cfg.Tunables
	cal, err := tunables.NewCalendar()
	if err != nil {
		panic(err) // the settings were validated when they were read
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
		lateJobs:      map[uint64]*LateJob{},
		leadTimes: s.Metrics.Histogram("bitternmoor_late_job_lead_seconds",
			"Time from a job's late warning to its learned deadline, by the reason for the delay.", "why", leadTimeBounds),
	}
}

// Replay applies one of the component's log entries. To avoid counting anything twice, a record
// counts for a kind only if its night is later than the nights in the kind's stored value,
// and only once per job.
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

// HandleEvent learns from a cluster event. A task's run time counts for its kind only if
// this leader started the task, the task ran without interruption, and its machine is not
// known to be slow.
func (d *Component) HandleEvent(e cluster.Event) {
	switch e.Kind {
	case cluster.JobEnqueued:
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

// Tick reads the history after a takeover. Later it closes nights, writes their summaries
// and checks for late jobs. It does nothing while the leader's lease is not valid.
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

// LiveBytes returns approximately how many bytes Compact would write for the whole log.
func (d *Component) LiveBytes() int { return d.loggedRecords * bytesPerRecord }

// Compact appends an entry again if it is still needed: a record until the durable values of all
// kinds and of the demand that it counts for contain it, and the entry of a forgotten kind for
// at least keepForgottenDays.
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
