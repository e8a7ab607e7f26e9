// Package failover is the component of a leader's term that measures failovers: how long each
// step took, from the moment when a controller found that there was no leader until the last
// blocked job could start tasks again. It stores one small log entry per failover, so that
// later leaders can show earlier failovers.
package failover

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// Name is the key of the component and of its log entries.
const Name = "takeovers"

const (
	// maxRecordingTime is how long after the start of the term the record is completed at the
	// latest, even if some steps were not reached.
	// firstStartTimeout is how long to wait for the first task start once all other steps are
	// reached: there may be no task to start.
	maxRecordingTime  = 3 * time.Minute
	firstStartTimeout = 10 * time.Second

	recordBytes = 220 // approximate size of an entry
)

// Step is a step of a failover.
type Step uint8

// The steps, in their usual order.
const (
	Elected        Step = iota // this controller holds the leader's lease and the epoch
	LogRead                    // the whole event log is read and replayed
	FirstHeartbeat             // a registered machine has sent a heartbeat with its current token
	HalfResolved               // half of the registered machines are resolved: it is known what runs on them
	NinetyResolved             // 90 % of them are
	AllResolved                // all of them are
	FirstStart                 // this leader has placed a task on a machine
	JobsUnblocked              // no job is blocked any longer because unresolved machines may run its tasks
	stepCount
)

var stepNames = [stepCount]string{
	Elected:        "elected",
	LogRead:        "log_read",
	FirstHeartbeat: "first_report",
	HalfResolved:   "half_resolved",
	NinetyResolved: "ninety_resolved",
	AllResolved:    "all_resolved",
	FirstStart:     "first_start",
	JobsUnblocked:  "all_jobs_free",
}

func (s Step) String() string { return stepNames[s] }

// Heading returns the step's column heading in a table.
func (s Step) Heading() string { return strings.ToUpper(strings.ReplaceAll(s.String(), "_", " ")) }

// Steps returns all steps in order.
func Steps() []Step {
	out := make([]Step, stepCount)
	for i := range out {
		out[i] = Step(i)
	}
	return out
}

// Record describes one failover.
type Record struct {
	Epoch    uint64 `json:"epoch"`
	Node     string `json:"node"`
	SilentMS int64  `json:"leader_silent_ms"` // time from last hearing the former leader to AtMS; -1: unknown
	AtMS     int64  `json:"at_ms"`            // wall-clock time when this node found no leader, by its clock
	Machines int    `json:"machines"`
	Jobs     int    `json:"jobs"`
	HeldBack int    `json:"jobs_held_back"` // jobs blocked by unresolved machines when the log was read
	// After is the time in milliseconds from AtMS to each step, by the step's name. A step
	// that was not reached is missing.
	After map[string]int64 `json:"after_ms"`
}

// storedRecord is a record as stored in the log: steps are indexed by number, -1: not reached.
type storedRecord struct {
	Epoch    uint64           `json:"e"`
	Node     string           `json:"n"`
	AtMS     int64            `json:"a"`
	SilentMS int64            `json:"l"`
	Machines int              `json:"m"`
	Jobs     int              `json:"j"`
	HeldBack int              `json:"h,omitempty"`
	After    [stepCount]int64 `json:"s"`
}

// stepSecondsBuckets are the upper bounds, in seconds, of the buckets of the step histogram.
var stepSecondsBuckets = []float64{.1, .25, .5, 1, 2, 3, 5, 7.5, 10, 15, 20, 30, 60, 120}

// Component measures this term's failover and keeps the records of the most recent ones.
type Component struct {
	cluster.NopComponent
	*cluster.State
	maxRecords  int            // number of records kept
	earlier     []storedRecord // sorted by epoch
	stepSeconds *cluster.Histogram

	// This term's failover.
	current           storedRecord
	finished          bool // the record is complete
	unresolvedAtStart int  // registered machines that were unresolved when the log was read
	unresolvedNow     int  // those of them that still are
}

// New creates the component for a term. It keeps up to maxRecords records.
func New(s *cluster.State, maxRecords int) *Component {
	d := &Component{State: s, maxRecords: maxRecords}
	d.stepSeconds = s.Metrics.Histogram("bitternmoor_takeover_seconds",
		"Time from finding that there is no leader to each step of the failover.", "step", stepSecondsBuckets)
	d.current = storedRecord{
		Epoch:    s.Epoch,
		Node:     s.Cfg.Node,
		AtMS:     s.ClockOriginUnixMS + s.LeaderLossDetectedAt.Milliseconds(),
		SilentMS: -1,
	}
	if s.LastLeaderHeartbeatAt > 0 {
		d.current.SilentMS = (s.LeaderLossDetectedAt - s.LastLeaderHeartbeatAt).Milliseconds()
	}
	for i := range d.current.After {
		d.current.After[i] = -1
	}
	return d
}

// Replay applies an entry of the component. A record may occur twice, because of an unfinished
// compaction.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	if r, ok := d.decode(e); ok {
		d.addRecord(r)
	}
}

// decode returns the record in an entry; false: the entry has none or it cannot be decoded.
func (d *Component) decode(e eventlog.Entry) (storedRecord, bool) {
	var r storedRecord
	if e.Component == nil {
		return r, false
	}
	if err := json.Unmarshal(e.Component.Data, &r); err != nil {
		d.LogMessage(effects.Warn, "failover record cannot be read: skipped", "error", err)
		return r, false
	}
	return r, true
}

// addRecord inserts a record by its epoch and drops the oldest records beyond maxRecords.
func (d *Component) addRecord(r storedRecord) {
	i, found := slices.BinarySearchFunc(d.earlier, r, func(a, b storedRecord) int { return cmp.Compare(a.Epoch, b.Epoch) })
	if found {
		return
	}
	d.earlier = slices.Insert(d.earlier, i, r)
	if excess := len(d.earlier) - d.maxRecords; excess > 0 {
		d.earlier = slices.Delete(d.earlier, 0, excess)
	}
}

// Begin records that the log is read. A term that finds neither unresolved machines nor jobs
// has nothing to take over and is not recorded.
func (d *Component) Begin(now time.Duration) {
	for _, m := range d.Inventory.All() {
		if m.Unresolved() {
			d.unresolvedAtStart++
		}
	}
	d.unresolvedNow = d.unresolvedAtStart
	d.current.Machines, d.current.Jobs, d.current.HeldBack = d.unresolvedAtStart, d.Jobs.Len(), d.blockedJobs()
	if d.unresolvedAtStart == 0 && d.current.Jobs == 0 {
		d.finished = true
		return
	}
	d.recordStep(Elected, d.TermBegan)
	d.recordStep(LogRead, now)
	d.recordResolvedShare(now)
}

// blockedJobs counts the jobs that may not start tasks, because an unresolved machine may be
// running them.
func (d *Component) blockedJobs() int {
	n := 0
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Open && d.MayRunUnreported(j) {
			n++
		}
	}
	return n
}

// recordStep records the time of a step when it is first reached.
func (d *Component) recordStep(s Step, now time.Duration) {
	if d.current.After[s] < 0 {
		d.current.After[s] = max(0, (now - d.LeaderLossDetectedAt).Milliseconds())
		d.stepSeconds.Observe(s.String(), float64(d.current.After[s])/1000)
	}
}

// recordResolvedShare records the steps that the share of resolved machines has reached.
func (d *Component) recordResolvedShare(now time.Duration) {
	resolved := d.unresolvedAtStart - d.unresolvedNow
	if resolved*2 >= d.unresolvedAtStart {
		d.recordStep(HalfResolved, now)
	}
	if resolved*10 >= d.unresolvedAtStart*9 {
		d.recordStep(NinetyResolved, now)
	}
	if d.unresolvedNow == 0 {
		d.recordStep(AllResolved, now)
	}
}

// HandleEvent records the steps that events indicate.
func (d *Component) HandleEvent(e cluster.Event) {
	if d.finished {
		return
	}
	switch e.Kind {
	case cluster.HeartbeatApplied:
		if e.Machine.Durable && e.Report.Token == e.Machine.Token {
			d.recordStep(FirstHeartbeat, e.At)
		}
	case cluster.MachineResolved:
		d.unresolvedNow--
		d.recordResolvedShare(e.At)
	case cluster.TaskPlaced:
		d.recordStep(FirstStart, e.At)
	}
}

// Tick completes the record once every step is reached or the remaining ones have timed out.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if d.finished || !leaseValid {
		return
	}
	if d.current.After[JobsUnblocked] < 0 && d.blockedJobs() == 0 {
		d.recordStep(JobsUnblocked, now)
	}
	if !d.allStepsReached(now) && now-d.TermBegan < maxRecordingTime {
		return
	}
	d.finished = true
	d.addRecord(d.current)
	d.logSteps()
	d.storeRecord()
}

// logSteps writes the completed record to the log output.
func (d *Component) logSteps() {
	r := &d.current
	args := []any{"epoch", r.Epoch, "machines", r.Machines, "jobs", r.Jobs, "held_back", r.HeldBack}
	for _, s := range Steps() {
		if ms := r.After[s]; ms >= 0 {
			args = append(args, s.String(), (time.Duration(ms) * time.Millisecond).String())
		}
	}
	d.LogMessage(effects.Info, "takeover", args...)
}

// storeRecord appends the completed record to the event log.
func (d *Component) storeRecord() {
	e := eventlog.NewComponentEntry(Name, d.current)
	if !d.EventLog.Fits(e) {
		d.LogMessage(effects.Error, "failover record too large to store", "bytes", len(e.Component.Data))
		return
	}
	d.EventLog.Append(e)
}

// allStepsReached reports whether every step was reached. The first start counts as reached
// after firstStartTimeout, since there may be no task to start.
func (d *Component) allStepsReached(now time.Duration) bool {
	last := int64(0)
	for _, s := range Steps() {
		if d.current.After[s] < 0 && s != FirstStart {
			return false
		}
		last = max(last, d.current.After[s])
	}
	if d.current.After[FirstStart] >= 0 {
		return true
	}
	return now-d.LeaderLossDetectedAt >= time.Duration(last)*time.Millisecond+firstStartTimeout
}

// LiveBytes returns approximately how many bytes Compact would write for the whole log.
func (d *Component) LiveBytes() int { return len(d.earlier) * recordBytes }

// Compact appends an entry again if its record is still kept.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	r, ok := d.decode(e)
	if !ok {
		return
	}
	if slices.ContainsFunc(d.earlier, func(kept storedRecord) bool { return kept.Epoch == r.Epoch }) {
		d.EventLog.Append(e)
	}
}

// Show returns the records of failovers, the newest first, as a JSON list of Record. A failover
// that is still being recorded comes first.
func (d *Component) Show(_ time.Duration, view string) (json.RawMessage, error) {
	if view != "" {
		return nil, cluster.ErrUnknownView
	}
	records := []Record{}
	if !d.finished {
		records = append(records, d.current.toRecord())
	}
	for _, r := range slices.Backward(d.earlier) {
		records = append(records, r.toRecord())
	}
	raw, err := json.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("takeovers: %w", err)
	}
	return raw, nil
}

// toRecord converts r to the form that is shown to operators.
func (r storedRecord) toRecord() Record {
	out := Record{
		Epoch:    r.Epoch,
		Node:     r.Node,
		SilentMS: r.SilentMS,
		AtMS:     r.AtMS,
		Machines: r.Machines,
		Jobs:     r.Jobs,
		HeldBack: r.HeldBack,
		After:    map[string]int64{},
	}
	for _, s := range Steps() {
		if ms := r.After[s]; ms >= 0 {
			out.After[s.String()] = ms
		}
	}
	return out
}
