package coldstart

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// Record describes one cold start and how the fleet recovered from it.
type Record struct {
	Epoch         uint64 `json:"epoch"`
	Node          string `json:"node"`
	AtMS          int64  `json:"at_ms"`            // wall-clock time when the leader was elected
	DownAtLeastMS int64  `json:"down_at_least_ms"` // time without a leader that this node observed
	DownAtMostMS  int64  `json:"down_at_most_ms"`  // time since the newest log entry with a time; -1: there is none
	// Registered machines, open jobs of earlier terms, and those of their tasks that may have
	// been assigned to a machine and were not durably finished.
	Machines int `json:"machines"`
	Jobs     int `json:"jobs"`
	Tasks    int `json:"tasks"`
	// Milliseconds from the start of the term until each step; -1: not reached.
	SettledMS    int64 `json:"settled_ms"`
	WorkHalfMS   int64 `json:"work_half_ms"` // half of those tasks were found, have ended or are placed again
	WorkNinetyMS int64 `json:"work_ninety_ms"`
	WorkAllMS    int64 `json:"work_all_ms"`
	// Numbers of differences between stored and reported state, of actions taken, and of
	// actions that turned out to be needless, each by name.
	Differences map[string]uint64 `json:"differences"`
	Orders      map[string]uint64 `json:"orders"`
	Needless    map[string]uint64 `json:"needless"`
}

func (r *Record) minDowntime() time.Duration {
	return time.Duration(r.DownAtLeastMS) * time.Millisecond
}

func (r *Record) maxDowntime() time.Duration { return time.Duration(r.DownAtMostMS) * time.Millisecond }

// Kinds of needless actions: the keys of Record.Needless.
const (
	RentedUnused = "rented_unused"     // a machine was rented and returned without having been given a task
	DeletedAlive = "deleted_alive"     // a machine was deleted as silent and sent a heartbeat afterwards
	StartedDone  = "started_done"      // a task whose result existed already was started again and ended at once
	StoppedSoon  = "stopped_soon"      // a task was preempted or moved within needlessWindow of its start
	ReturnedSoon = "returned_and_rent" // a machine of the same kind was rented within needlessWindow of a return
)

const (
	needlessWindow     = 10 * time.Second
	instantRunSeconds  = 1.5 // a task that ran for less already had its result
	minEstimateSeconds = 5   // shorter tasks may complete between two heartbeats anyway
	recordBytes        = 512 // approximate size of a record in the log
)

// stepSecondsBuckets are the upper bounds, in seconds, of the buckets of the step histogram.
var stepSecondsBuckets = []float64{.5, 1, 2, 3, 5, 7.5, 10, 15, 20, 30, 60, 120}

// recorder records the current cold start and keeps the records of earlier ones.
type recorder struct {
	finished    bool          // the record is complete, or this term needs none
	lastEventAt time.Duration // time of the newest event that has one
	current     Record
	earlier     []Record           // sorted by epoch
	stepSeconds *cluster.Histogram // nil if no records are kept

	unrecoveredTasks map[workers.TaskRef]struct{} // tasks that may have been running and are not recovered yet

	// State for detecting needless actions.
	unusedRentals map[*workers.Machine]bool         // rented in this term and not given a task yet
	startedAt     map[workers.TaskRef]time.Duration // tasks that this leader placed, by the time of placement
	returnedAt    map[string]time.Duration          // time of the last return, by machineKind
	deletedSilent map[*workers.Machine]bool         // deleted as silent and not heard since
}

// notReached is the value in a Record of a step that was not reached.
const notReached = -1

func (rec *recorder) initialize(s *cluster.State) {
	rec.current = Record{
		Epoch:        s.Epoch,
		Node:         s.Cfg.Node,
		SettledMS:    notReached,
		WorkHalfMS:   notReached,
		WorkNinetyMS: notReached,
		WorkAllMS:    notReached,
		Orders:       map[string]uint64{},
		Needless:     map[string]uint64{},
	}
	rec.unrecoveredTasks = map[workers.TaskRef]struct{}{}
	rec.unusedRentals = map[*workers.Machine]bool{}
	rec.startedAt = map[workers.TaskRef]time.Duration{}
	rec.returnedAt = map[string]time.Duration{}
	rec.deletedSilent = map[*workers.Machine]bool{}
	if s.Cfg.Tunables.ColdRecordsKept > 0 {
		rec.stepSeconds = s.Metrics.Histogram("bitternmoor_cold_start_seconds",
			"Time from the start of a term with a cold start to each recovery step.", "step", stepSecondsBuckets)
	}
}

// replay keeps the record that an earlier term stored in an entry.
func (rec *recorder) replay(s *cluster.State, e eventlog.Entry) {
	var r Record
	if err := json.Unmarshal(e.Component.Data, &r); err != nil {
		s.LogMessage(effects.Warn, "cold start record cannot be read: skipped", "error", err)
		return
	}
	rec.addRecord(r, s.Cfg.Tunables.ColdRecordsKept)
}

// addRecord inserts a record by its epoch and drops the oldest records beyond maxRecords.
func (rec *recorder) addRecord(r Record, maxRecords int) {
	i, found := slices.BinarySearchFunc(rec.earlier, r, func(x, y Record) int { return cmp.Compare(x.Epoch, y.Epoch) })
	if !found {
		rec.earlier = slices.Insert(rec.earlier, i, r)
	}
	if excess := len(rec.earlier) - maxRecords; excess > 0 {
		rec.earlier = slices.Delete(rec.earlier, 0, excess)
	}
}

// begin starts the record with the work that may have been running: tasks that earlier
// terms may have started and that are not known to have ended. Tasks that were reported
// while the peers were being asked count as recovered already.
func (rec *recorder) begin(d *Component, now time.Duration) {
	rec.current.AtMS = d.ClockOriginUnixMS + d.TermBegan.Milliseconds()
	if d.LastLeaderHeartbeatAt > 0 {
		rec.current.DownAtLeastMS = (d.LeaderLossDetectedAt - d.LastLeaderHeartbeatAt).Milliseconds()
	}
	rec.current.DownAtMostMS = -1
	if d.newestEntryMS > 0 {
		rec.current.DownAtMostMS = max(0, d.ClockOriginUnixMS+now.Milliseconds()-d.newestEntryMS)
	}
	rec.current.Machines, _ = d.census.Counts()
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Open && j.FromEarlierTerm {
			rec.addJob(j)
		}
	}
	rec.current.Tasks = max(rec.current.Tasks, len(rec.unrecoveredTasks))
	rec.recordRecoveredShare(d, now)
}

// addJob counts a job of an earlier term and those of its tasks that may have been running.
func (rec *recorder) addJob(j *jobs.Job) {
	rec.current.Jobs++
	for task, state := range j.Tasks {
		if state == jobs.Waiting && (task < j.UnassignedFrom || j.Record.Kind == jobs.Gang) {
			rec.unrecoveredTasks[workers.TaskRef{Job: j.Index, Task: int32(task)}] = struct{}{}
		}
		if state != jobs.FinishedDurably && task < j.UnassignedFrom {
			rec.current.Tasks++
		}
	}
}

// allRecovered reports whether all the work that may have been running is recovered.
func (rec *recorder) allRecovered() bool { return rec.finished || len(rec.unrecoveredTasks) == 0 }

// taskRecovered records that a task was found on a machine, has ended or was started again.
func (rec *recorder) taskRecovered(d *Component, now time.Duration, j *jobs.Job, task int) {
	ref := workers.TaskRef{Job: j.Index, Task: int32(task)}
	if _, open := rec.unrecoveredTasks[ref]; open {
		delete(rec.unrecoveredTasks, ref)
		rec.recordRecoveredShare(d, now)
	}
}

// recordRecoveredShare records the steps that the share of recovered tasks has reached.
func (rec *recorder) recordRecoveredShare(d *Component, now time.Duration) {
	recovered := rec.current.Tasks - len(rec.unrecoveredTasks)
	steps := []struct {
		name    string
		afterMS *int64
		percent int
	}{
		{"work_half", &rec.current.WorkHalfMS, 50},
		{"work_ninety", &rec.current.WorkNinetyMS, 90},
		{"work_all", &rec.current.WorkAllMS, 100},
	}
	for _, s := range steps {
		if *s.afterMS < 0 && recovered*100 >= rec.current.Tasks*s.percent {
			rec.recordStep(d, now, s.name, s.afterMS)
		}
	}
}

// recordStep records when a step was reached, in milliseconds since the start of the term.
func (rec *recorder) recordStep(d *Component, now time.Duration, step string, afterMS *int64) {
	*afterMS = max(0, (now - d.TermBegan).Milliseconds())
	rec.observeStep(step, *afterMS)
}

// observeStep adds a step to the histogram.
func (rec *recorder) observeStep(step string, afterMS int64) {
	if rec.stepSeconds != nil {
		rec.stepSeconds.Observe(step, float64(afterMS)/1000)
	}
}

// machineKind returns a map key made of a machine's type and whether it is a spot machine.
func machineKind(m *workers.Machine) string { return fmt.Sprint(m.Type, m.Spot) }

// handleEvent counts actions and detects those that were needless.
func (rec *recorder) handleEvent(d *Component, e cluster.Event) {
	if rec.finished {
		return
	}
	rec.lastEventAt = max(rec.lastEventAt, e.At)
	switch e.Kind {
	case cluster.TaskAdopted:
		rec.taskRecovered(d, e.At, e.Job, e.Task)
	case cluster.TaskPlaced:
		rec.taskPlaced(d, e)
	case cluster.TaskDone:
		rec.taskDone(d, e)
	case cluster.TaskStopped:
		rec.taskStopped(e)
	case cluster.MachineRented:
		rec.machineRented(e)
	case cluster.MachineDecommissioned:
		rec.machineDecommissioned(e)
	case cluster.HeartbeatApplied:
		if rec.deletedSilent[e.Machine] {
			delete(rec.deletedSilent, e.Machine)
			rec.current.Needless[DeletedAlive]++
		}
	case cluster.JobRemoved:
		rec.jobRemoved(d, e.Job)
	}
}

// taskOf returns the task that an event refers to.
func taskOf(e cluster.Event) workers.TaskRef {
	return workers.TaskRef{Job: e.Job.Index, Task: int32(e.Task)}
}

// mayHaveRun reports whether an earlier term may have started the task that an event refers to.
func mayHaveRun(e cluster.Event) bool { return e.Job.FromEarlierTerm && e.Task < e.Job.UnassignedFrom }

func (rec *recorder) taskPlaced(d *Component, e cluster.Event) {
	action := cluster.StartNew
	if mayHaveRun(e) {
		action = cluster.StartAgain
	}
	rec.current.Orders[action.String()]++
	rec.startedAt[taskOf(e)] = e.At
	delete(rec.unusedRentals, e.Machine)
	rec.taskRecovered(d, e.At, e.Job, e.Task)
}

func (rec *recorder) taskDone(d *Component, e cluster.Event) {
	rec.taskRecovered(d, e.At, e.Job, e.Task)
	_, startedHere := rec.startedAt[taskOf(e)]
	tooQuick := e.RunSeconds < instantRunSeconds && e.Job.Record.EstimateS > minEstimateSeconds
	if startedHere && tooQuick && mayHaveRun(e) {
		rec.current.Needless[StartedDone]++
	}
	delete(rec.startedAt, taskOf(e))
}

func (rec *recorder) taskStopped(e cluster.Event) {
	rec.current.Orders[e.Action.String()]++
	if at, startedHere := rec.startedAt[taskOf(e)]; startedHere && e.At-at < needlessWindow {
		rec.current.Needless[StoppedSoon]++
	}
}

func (rec *recorder) machineRented(e cluster.Event) {
	rec.current.Orders[cluster.Rent.String()]++
	rec.unusedRentals[e.Machine] = true
	if at, returned := rec.returnedAt[machineKind(e.Machine)]; returned && e.At-at < needlessWindow {
		rec.current.Needless[ReturnedSoon]++
	}
}

func (rec *recorder) machineDecommissioned(e cluster.Event) {
	rec.current.Orders[e.Action.String()]++
	switch e.Action {
	case cluster.Return:
		rec.returnedAt[machineKind(e.Machine)] = e.At
		if rec.unusedRentals[e.Machine] {
			rec.current.Needless[RentedUnused]++
		}
	case cluster.Delete:
		rec.deletedSilent[e.Machine] = true
	}
}

// jobRemoved counts a removed job's tasks as recovered. The event carries no time, so the time
// of the newest event is used.
func (rec *recorder) jobRemoved(d *Component, j *jobs.Job) {
	now := max(rec.lastEventAt, d.TermBegan)
	for task := range j.Tasks {
		rec.taskRecovered(d, now, j, task)
		delete(rec.startedAt, workers.TaskRef{Job: j.Index, Task: int32(task)})
	}
}

// tick records when the census settled, and completes the record after recordingTime.
func (rec *recorder) tick(d *Component, now time.Duration, leaseValid bool) {
	if d.kind != coldStart || rec.finished || !leaseValid {
		return
	}
	if d.census.settled && rec.current.SettledMS < 0 {
		rec.current.SettledMS = (d.census.settledAt - d.TermBegan).Milliseconds()
		rec.observeStep("settled", rec.current.SettledMS)
	}
	if now-d.TermBegan < recordingTime {
		return
	}
	rec.finished = true
	rec.copyDifferences(d)
	rec.log(d)
	rec.unrecoveredTasks, rec.unusedRentals, rec.startedAt, rec.returnedAt, rec.deletedSilent = nil, nil, nil, nil, nil
	if d.Cfg.Tunables.ColdRecordsKept > 0 {
		rec.addRecord(rec.current, d.Cfg.Tunables.ColdRecordsKept)
		rec.store(d)
	}
}

// log writes the completed record to the log output.
func (rec *recorder) log(d *Component) {
	r := &rec.current
	d.LogMessage(effects.Info, "cold start",
		"epoch", r.Epoch, "machines", r.Machines, "jobs", r.Jobs, "tasks", r.Tasks,
		"settled_ms", r.SettledMS, "work_half_ms", r.WorkHalfMS, "work_ninety_ms", r.WorkNinetyMS, "work_all_ms", r.WorkAllMS,
		"differences", jsonText(r.Differences), "orders", jsonText(r.Orders), "needless", jsonText(r.Needless))
}

// store appends the completed record to the event log.
func (rec *recorder) store(d *Component) {
	e := eventlog.NewComponentEntry(Name, rec.current)
	if !d.EventLog.Fits(e) { // the differences are its longest and least important part
		short := rec.current
		short.Differences = nil
		e = eventlog.NewComponentEntry(Name, short)
	}
	if !d.EventLog.Fits(e) {
		d.LogMessage(effects.Error, "cold start record too large to store", "bytes", len(e.Component.Data))
		return
	}
	d.EventLog.Append(e)
}

// copyDifferences copies the counts of the differences that reconciliation has found so far and
// did not resolve as Keep.
func (rec *recorder) copyDifferences(d *Component) {
	rec.current.Differences = map[string]uint64{}
	d.Reconciled.Each(func(x reconcile.Diff, n uint64) {
		if s := x.Resolution(); s != reconcile.Keep {
			rec.current.Differences[x.String()] = n
		}
	})
}

// jsonText returns a map of counts as JSON, for a log message.
func jsonText(m map[string]uint64) string {
	raw, err := json.Marshal(m)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// LiveBytes returns approximately how many bytes Compact would write for the whole log.
func (d *Component) LiveBytes() int { return len(d.recorder.earlier) * recordBytes }

// Compact appends an entry again if its record is still kept.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	var r Record
	if e.Component == nil || json.Unmarshal(e.Component.Data, &r) != nil {
		return
	}
	if slices.ContainsFunc(d.recorder.earlier, func(x Record) bool { return x.Epoch == r.Epoch }) {
		d.EventLog.Append(e)
	}
}

// Show returns the records of cold starts, the newest first, as a JSON list of Record. A cold
// start that is still being recorded comes first.
func (d *Component) Show(_ time.Duration, view string) (json.RawMessage, error) {
	if view != "" {
		return nil, cluster.ErrUnknownView
	}
	records := []Record{}
	if d.kind == coldStart && !d.recorder.finished {
		d.recorder.copyDifferences(d)
		records = append(records, d.recorder.current)
	}
	for _, r := range slices.Backward(d.recorder.earlier) {
		records = append(records, r)
	}
	raw, err := json.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("cold starts: %w", err)
	}
	return raw, nil
}

// Gauges returns the counts of this term's cold start.
func (d *Component) Gauges(time.Duration) []cluster.Gauge {
	if d.kind != coldStart {
		return nil
	}
	if !d.recorder.finished {
		d.recorder.copyDifferences(d)
	}
	r := &d.recorder.current
	return []cluster.Gauge{
		{
			Name:   "bitternmoor_cold_start_differences",
			Help:   "Differences between stored state and worker reports since the last cold start.",
			Label:  "difference",
			Values: gaugeValues(r.Differences),
		},
		{
			Name:   "bitternmoor_cold_start_orders",
			Help:   "Actions taken since the last cold start.",
			Label:  "order",
			Values: gaugeValues(r.Orders),
		},
		{
			Name:   "bitternmoor_cold_start_needless",
			Help:   "Actions since the last cold start that turned out to be needless.",
			Label:  "why",
			Values: gaugeValues(r.Needless),
		},
	}
}

// gaugeValues converts counts by label to the values of a gauge.
func gaugeValues(counts map[string]uint64) map[string]float64 {
	values := map[string]float64{}
	for label, n := range counts {
		values[label] = float64(n)
	}
	return values
}
