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

// Record is the account of one cold start.
type Record struct {
	Epoch   uint64 `json:"epoch"`
	Node    string `json:"node"`
	AtMS    int64  `json:"at_ms"`            // time of day when the log was read
	LeastMS int64  `json:"down_at_least_ms"` // for how long nobody led, as this node knows
	MostMS  int64  `json:"down_at_most_ms"`  // since the last durable sign of a leader; -1: there is none
	// Machines that were registered, jobs that were open, and their tasks that may have
	// been handed out and had not ended.
	Machines int `json:"machines"`
	Jobs     int `json:"jobs"`
	Tasks    int `json:"tasks"`
	// After the beginning of the term, in milliseconds; -1: not reached.
	SettledMS int64 `json:"settled_ms"`
	HalfMS    int64 `json:"work_half_ms"` // half of those tasks are seen, done, or given a machine again
	NinetyMS  int64 `json:"work_ninety_ms"`
	BackMS    int64 `json:"work_all_ms"`
	// Differences, orders, and orders found needless afterwards, by name.
	Differences map[string]uint64 `json:"differences"`
	Orders      map[string]uint64 `json:"orders"`
	Needless    map[string]uint64 `json:"needless"`
}

func (r *Record) minDowntime() time.Duration { return time.Duration(r.LeastMS) * time.Millisecond }

func (r *Record) maxDowntime() time.Duration { return time.Duration(r.MostMS) * time.Millisecond }

// Needless kinds of orders.
const (
	RentedUnused       = "rented_unused"     // rented, and returned without having had a task
	DeletedAlive       = "deleted_alive"     // given up as silent, and heard again before it was gone
	StartedDone        = "started_done"      // started, and at once over with a result that was there already
	StoppedSoon        = "stopped_soon"      // started, and stopped for another job or moved within seconds
	ReturnedSoon       = "returned_and_rent" // returned, and a machine of its type and kind rented within seconds
	soonAfter          = 10 * time.Second
	instantRunSeconds  = 1.5 // seconds
	minEstimateSeconds = 5   // seconds: shorter tasks end between two reports by themselves
	recordBytes        = 512 // bytes left beside the maps
)

type account struct {
	closed        bool          // closed, or there is nothing to keep
	lastEventAt   time.Duration // of the last event that has a time
	current       Record
	earlier       []Record
	stepSeconds   *cluster.Histogram
	missingTasks  map[workers.Ref]struct{} // that are not back yet
	unusedRentals map[*workers.Machine]bool
	startedAt     map[workers.Ref]time.Duration
	returnedAt    map[string]time.Duration // when machines of a type and kind were last returned
	deletedSilent map[*workers.Machine]bool
}

func (a *account) initialize(s *cluster.State) {
	a.current = Record{Epoch: s.Epoch, Node: s.Cfg.Node, SettledMS: -1, HalfMS: -1, NinetyMS: -1, BackMS: -1, Orders: map[string]uint64{}, Needless: map[string]uint64{}}
	a.missingTasks, a.unusedRentals, a.startedAt = map[workers.Ref]struct{}{}, map[*workers.Machine]bool{}, map[workers.Ref]time.Duration{}
	a.returnedAt, a.deletedSilent = map[string]time.Duration{}, map[*workers.Machine]bool{}
	if s.Cfg.Tunables.ColdKept > 0 {
		a.stepSeconds = s.Metrics.Histogram("bitternmoor_cold_start_seconds", "Time from the beginning of a term in which nobody led before to each step.", "step",
			[]float64{.5, 1, 2, 3, 5, 7.5, 10, 15, 20, 30, 60, 120})
	}
}

func (a *account) replay(s *cluster.State, e eventlog.Entry) {
	var r Record
	if err := json.Unmarshal(e.Component.Data, &r); err != nil {
		s.LogMessage(effects.Warn, "the account of a cold start cannot be read: it is left out", "error", err)
		return
	}
	a.remember(r, s.Cfg.Tunables.ColdKept)
}

func (a *account) remember(r Record, keep int) {
	i, found := slices.BinarySearchFunc(a.earlier, r, func(x, y Record) int { return cmp.Compare(x.Epoch, y.Epoch) })
	if !found {
		a.earlier = slices.Insert(a.earlier, i, r)
	}
	if more := len(a.earlier) - keep; more > 0 {
		a.earlier = slices.Delete(a.earlier, 0, more)
	}
}

// begin notes the work that may have been under way: what earlier terms may have
// handed out and is not known to have ended. What was reported while the others were
// asked is back already.
func (a *account) begin(d *Component, now time.Duration) {
	a.current.AtMS = d.ClockZeroMS + d.TermBegan.Milliseconds()
	if d.LastLeaderHeard > 0 {
		a.current.LeastMS = (d.LeaderMissedAt - d.LastLeaderHeard).Milliseconds()
	}
	a.current.MostMS = -1
	if d.newestEntryMS > 0 {
		a.current.MostMS = max(0, d.ClockZeroMS+now.Milliseconds()-d.newestEntryMS)
	}
	a.current.Machines, _ = d.census.Counts()
	for _, j := range d.Jobs.All() {
		if j == nil || j.Phase != jobs.Open || !j.Earlier {
			continue
		}
		a.current.Jobs++
		for k, s := range j.Tasks {
			if s == jobs.Waiting && (k < j.FreshFrom || j.Record.Kind == jobs.Gang) {
				a.missingTasks[workers.Ref{Job: j.Index, Task: int32(k)}] = struct{}{}
			}
			if s != jobs.DoneDurably && k < j.FreshFrom {
				a.current.Tasks++
			}
		}
	}
	a.current.Tasks = max(a.current.Tasks, len(a.missingTasks))
	a.recordRecoveredShare(d, now)
}

// allRecovered says whether all the work that may have been under way is.
func (a *account) allRecovered() bool { return a.closed || len(a.missingTasks) == 0 }

func (a *account) taskRecovered(d *Component, now time.Duration, j *jobs.Job, k int) {
	ref := workers.Ref{Job: j.Index, Task: int32(k)}
	if _, open := a.missingTasks[ref]; open {
		delete(a.missingTasks, ref)
		a.recordRecoveredShare(d, now)
	}
}

// recordRecoveredShare notes the steps that are reached.
func (a *account) recordRecoveredShare(d *Component, now time.Duration) {
	done := a.current.Tasks - len(a.missingTasks)
	for _, s := range []struct {
		name  string
		at    *int64
		share int
	}{{"work_half", &a.current.HalfMS, 50}, {"work_ninety", &a.current.NinetyMS, 90}, {"work_all", &a.current.BackMS, 100}} {
		if *s.at < 0 && done*100 >= a.current.Tasks*s.share {
			a.recordStep(d, now, s.name, s.at)
		}
	}
}

func (a *account) recordStep(d *Component, now time.Duration, step string, at *int64) {
	*at = max(0, (now - d.TermBegan).Milliseconds())
	if a.stepSeconds != nil {
		a.stepSeconds.Observe(step, float64(*at)/1000)
	}
}

func machineKind(m *workers.Machine) string { return fmt.Sprint(m.Type, m.Spot) }

// handleEvent counts orders, and finds out which were needless.
func (a *account) handleEvent(d *Component, e cluster.Event) {
	if a.closed {
		return
	}
	a.lastEventAt = max(a.lastEventAt, e.At)
	switch e.Kind {
	case cluster.TaskAdopted:
		a.taskRecovered(d, e.At, e.Job, e.Task)
	case cluster.TaskPlaced:
		o := cluster.StartNew
		if e.Job.Earlier && e.Task < e.Job.FreshFrom {
			o = cluster.StartAgain
		}
		a.current.Orders[o.String()]++
		a.startedAt[workers.Ref{Job: e.Job.Index, Task: int32(e.Task)}] = e.At
		delete(a.unusedRentals, e.Machine)
		a.taskRecovered(d, e.At, e.Job, e.Task)
	case cluster.TaskDone:
		a.taskRecovered(d, e.At, e.Job, e.Task)
		ref := workers.Ref{Job: e.Job.Index, Task: int32(e.Task)}
		if _, here := a.startedAt[ref]; here && e.RunSeconds < instantRunSeconds && e.Job.Record.EstimateS > minEstimateSeconds && e.Job.Earlier && e.Task < e.Job.FreshFrom {
			a.current.Needless[StartedDone]++
		}
		delete(a.startedAt, ref)
	case cluster.TaskStopped:
		a.current.Orders[e.Action.String()]++
		ref := workers.Ref{Job: e.Job.Index, Task: int32(e.Task)}
		if at, here := a.startedAt[ref]; here && e.At-at < soonAfter {
			a.current.Needless[StoppedSoon]++
		}
	case cluster.MachineRented:
		a.current.Orders[cluster.Rent.String()]++
		a.unusedRentals[e.Machine] = true
		if at, ok := a.returnedAt[machineKind(e.Machine)]; ok && e.At-at < soonAfter {
			a.current.Needless[ReturnedSoon]++
		}
	case cluster.MachineDecommissioned:
		a.current.Orders[e.Action.String()]++
		if e.Action == cluster.Return {
			a.returnedAt[machineKind(e.Machine)] = e.At
			if a.unusedRentals[e.Machine] {
				a.current.Needless[RentedUnused]++
			}
		} else if e.Action == cluster.Delete {
			a.deletedSilent[e.Machine] = true
		}
	case cluster.HeartbeatApplied:
		if a.deletedSilent[e.Machine] {
			delete(a.deletedSilent, e.Machine)
			a.current.Needless[DeletedAlive]++
		}
	case cluster.JobRemoved:
		for k := range e.Job.Tasks {
			a.taskRecovered(d, max(a.lastEventAt, d.TermBegan), e.Job, k)
			delete(a.startedAt, workers.Ref{Job: e.Job.Index, Task: int32(k)})
		}
	}
}

// tick closes the account.
func (a *account) tick(d *Component, now time.Duration, leaseValid bool) {
	if d.kind != coldStart || a.closed || !leaseValid {
		return
	}
	if d.census.settled && a.current.SettledMS < 0 {
		a.current.SettledMS = (d.census.settledAt - d.TermBegan).Milliseconds()
		if a.stepSeconds != nil {
			a.stepSeconds.Observe("settled", float64(a.current.SettledMS)/1000)
		}
	}
	if now-d.TermBegan < accountTime {
		return
	}
	a.closed = true
	a.copyDifferences(d)
	keep := d.Cfg.Tunables.ColdKept
	d.LogMessage(effects.Info, "cold start", "epoch", a.current.Epoch, "machines", a.current.Machines, "jobs", a.current.Jobs, "tasks", a.current.Tasks, "settled_ms", a.current.SettledMS,
		"work_half_ms", a.current.HalfMS, "work_ninety_ms", a.current.NinetyMS, "work_all_ms", a.current.BackMS, "differences", jsonText(a.current.Differences), "orders", jsonText(a.current.Orders), "needless", jsonText(a.current.Needless))
	a.missingTasks, a.unusedRentals, a.startedAt, a.returnedAt, a.deletedSilent = nil, nil, nil, nil, nil
	if keep == 0 {
		return
	}
	a.remember(a.current, keep)
	e := eventlog.NewComponentEntry(Name, a.current)
	if !d.EventLog.Fits(e) { // its differences are the longest part, and the least needed
		short := a.current
		short.Differences = nil
		e = eventlog.NewComponentEntry(Name, short)
	}
	if !d.EventLog.Fits(e) {
		d.LogMessage(effects.Error, "the account of a cold start is too large to be stored", "bytes", len(e.Component.Data))
		return
	}
	d.EventLog.Append(e)
}

// copyDifferences takes over what was found different so far.
func (a *account) copyDifferences(d *Component) {
	a.current.Differences = map[string]uint64{}
	d.Reconciled.Each(func(x reconcile.Diff, n uint64) {
		if s := x.Resolution(); s != reconcile.Keep {
			a.current.Differences[x.String()] = n
		}
	})
}

func jsonText(m map[string]uint64) string {
	raw, err := json.Marshal(m)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// LiveBytes is roughly how many bytes Keep would write for the whole log.
func (d *Component) LiveBytes() int { return len(d.account.earlier) * recordBytes }

// Compact writes an account anew that is remembered still.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	var r Record
	if e.Component == nil || json.Unmarshal(e.Component.Data, &r) != nil {
		return
	}
	if slices.ContainsFunc(d.account.earlier, func(x Record) bool { return x.Epoch == r.Epoch }) {
		d.EventLog.Append(e)
	}
}

// Show gives the cold starts that are remembered, the newest first, as a JSON list of
// Record. The one under way is the first as long as it is.
func (d *Component) Show(_ time.Duration, view string) (json.RawMessage, error) {
	if view != "" {
		return nil, cluster.ErrUnknownView
	}
	out := []Record{}
	if d.kind == coldStart && !d.account.closed {
		d.account.copyDifferences(d)
		out = append(out, d.account.current)
	}
	for _, r := range slices.Backward(d.account.earlier) {
		out = append(out, r)
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("cold starts: %w", err)
	}
	return raw, nil
}

// Gauges gives the numbers of the last cold start of this term.
func (d *Component) Gauges(time.Duration) []cluster.Gauge {
	if d.kind != coldStart {
		return nil
	}
	if !d.account.closed {
		d.account.copyDifferences(d)
	}
	all := func(m map[string]uint64) map[string]float64 {
		out := map[string]float64{}
		for k, n := range m {
			out[k] = float64(n)
		}
		return out
	}
	a := &d.account.current
	return []cluster.Gauge{
		{Name: "bitternmoor_cold_start_differences", Help: "Differences between what was stored and what workers reported, since the last cold start.", Label: "difference", Values: all(a.Differences)},
		{Name: "bitternmoor_cold_start_orders", Help: "Orders given since the last cold start.", Label: "order", Values: all(a.Orders)},
		{Name: "bitternmoor_cold_start_needless", Help: "Orders since the last cold start that turned out to be needless.", Label: "why", Values: all(a.Needless)},
	}
}
