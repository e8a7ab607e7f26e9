package runtimes

import (
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// fixture simulates a state service that stores the log and values of successive leaders.
type fixture struct {
	values map[string]json.RawMessage
	epoch  uint64
	now    time.Duration
	bytes  int // maximum size of a value

	effects []effects.Effect // those that the last leader emitted while it read its history
}

// startTerm starts a new leader's term, which replays the log and reads the stored values.
func (w *fixture) startTerm(t *testing.T, kinds int) *Component {
	t.Helper()
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Tunables.RunTimesKinds = kinds
	cfg.Tunables.WebhookURL = "http://127.0.0.1:9"
	cfg.Deployment.Workers.ReportS = 1
	cfg.Deployment.State.WriteRPS = 80
	w.epoch++
	s := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: w.epoch, TermBegan: w.now, Counts: &cluster.Counts{}})
	last := 0
	d := New(s)
	keys := slices.Sorted(maps.Keys(w.values))
	logged := slices.IndexFunc(keys, func(k string) bool { return strings.HasPrefix(k, eventlog.ComponentValuesPrefix) })
	own := []string{}
	if logged >= 0 {
		keys, own = keys[:logged], keys[logged:]
	}
	for _, k := range keys {
		list, err := eventlog.Decode(w.values[k])
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list {
			d.Replay(w.now, e)
		}
		last, _ = eventlog.SegmentNumber(k)
	}
	s.EventLog = eventlog.NewLog(eventlog.Limits{WriteRPS: 1e6, ValueBytes: w.bytes, TxnOps: 9}, "lead/epoch", 1, last, 0)
	d.Begin(w.now)
	w.loadHistory(d, own)
	return d
}

// loadHistory lets a leader read its values in small pages; in some terms the first reads fail.
func (w *fixture) loadHistory(d *Component, keys []string) {
	w.effects = nil
	for asked := 0; !d.historyReader.Done; asked++ {
		w.now += time.Second
		d.Tick(w.now, true)
		since := ""
		for _, e := range d.DrainEffects() {
			if v, ok := e.(effects.ReadValues); ok {
				since = v.AfterKey
			}
			w.effects = append(w.effects, e)
		}
		var page []eventlog.ComponentValue
		for _, k := range keys {
			if k > since && len(page) < 3 {
				page = append(page, eventlog.ComponentValue{Key: k, Data: w.values[k]})
			}
		}
		more := len(page) > 0 && page[len(page)-1].Key != keys[len(keys)-1]
		d.ValuesRead(w.now, page, more, w.epoch%3 > 0 || asked > 1)
	}
	w.effects = append(w.effects, d.DrainEffects()...)
}

// commit makes up to the given number of transactions durable.
func (w *fixture) commit(d *Component, most int) {
	for range most {
		w.now += time.Second
		txn := d.EventLog.NextTransaction(w.now)
		if txn == nil {
			return
		}
		for _, op := range txn.Writes {
			if op.Remove {
				delete(w.values, op.Key)
			} else {
				w.values[op.Key] = op.Value
			}
		}
		d.EventLog.CommitResult(w.now, txn.Sequence, eventlog.Applied, uint64(w.now), nil)
	}
}

// runJob runs a job of a class to its end, with the given run time for each task.
func (w *fixture) runJob(d *Component, id uint64, class string, took float64) {
	j := d.Jobs.Add(eventlog.Job{ID: id, Class: class, Team: "t", Image: "i", Tasks: 8, CPUs: 1, EstimateS: 10})
	j.Phase, j.AcceptedAt = jobs.Open, w.now
	m := &workers.Machine{Name: fmt.Sprint("m", id%7)}
	for k := range j.Tasks {
		at := w.now + time.Duration(k)*time.Millisecond
		d.HandleEvent(cluster.Event{Kind: cluster.TaskPlaced, At: at, Job: j, Task: k, Machine: m})
		d.HandleEvent(cluster.Event{Kind: cluster.TaskBegan, At: at + 2*time.Second, Job: j, Task: k, Machine: m})
		d.HandleEvent(cluster.Event{Kind: cluster.TaskDone, At: at + 20*time.Second, Job: j, Task: k, RunSeconds: took, FromThisTerm: true, Machine: m})
	}
	d.HandleEvent(cluster.Event{Kind: cluster.JobDone, At: w.now + 20*time.Second, Job: j})
	d.Jobs.Remove(j)
}

// countedJobs returns the number of jobs that are counted for a class.
func countedJobs(d *Component, class string) int {
	m := d.model.histories[Kind{Class: class}]
	if m == nil {
		return 0
	}
	return m.summarize().estimate.Jobs
}

// countedWork returns the total counted work.
func countedWork(d *Component) float64 {
	total := 0.0
	for _, n := range slices.Concat(d.demand.nights, d.demand.open) {
		total += sum(slices.Values(n.work[:]))
	}
	return total
}

func sum(seq iter.Seq[float64]) (total float64) {
	for v := range seq {
		total += v
	}
	return total
}

// collectDurable adds the jobs whose records are in the stored log, with their work, to a map.
func (w *fixture) collectDurable(t *testing.T, into map[uint64]float64) {
	for k, v := range w.values {
		if strings.HasPrefix(k, eventlog.ComponentValuesPrefix) {
			continue
		}
		list, err := eventlog.Decode(v)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list {
			var x entry
			if e.Component != nil && json.Unmarshal(e.Component.Data, &x) == nil && x.Record != nil {
				into[x.Record.ID] = x.Record.Work
			}
		}
	}
}

// Leaders are killed at random moments, also in the middle of writing records, summaries or a
// compaction, while nights end. The next leader must count each durable record exactly
// once, and no others.
func TestRecordsCountOnceAcrossCrashes(t *testing.T) {
	records, terms := 0, 0
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := &fixture{values: map[string]json.RawMessage{}, bytes: 2048}
		durableRecords := map[uint64]float64{}
		id := uint64(0)
		for range 6 {
			d := w.startTerm(t, 100)
			terms++
			if got := countedJobs(d, "c"); got != len(durableRecords) {
				t.Fatalf("seed %d: %d jobs are counted, but %d records were durable", seed, got, len(durableRecords))
			}
			if got, want := countedWork(d), sum(maps.Values(durableRecords)); math.Abs(got-want) > .01*want {
				t.Fatalf("seed %d: %.0f s of work are counted, but %.0f s were durable", seed, got, want)
			}
			for range 4 + r.IntN(12) {
				switch r.IntN(7) {
				case 0, 1, 2:
					id++
					w.runJob(d, id, "c", 10+r.Float64())
				case 3:
					w.now += time.Duration(r.IntN(9)) * time.Hour
					d.Tick(w.now, true)
				case 4:
					for range 1 + r.IntN(9) {
						w.now += d.writeInterval
						d.Tick(w.now, true)
						if r.IntN(2) == 0 {
							w.commit(d, 1)
						}
					}
				case 5:
					w.commit(d, r.IntN(3))
				default:
					w.compact(t, d, r)
				}
				w.collectDurable(t, durableRecords)
			}
		}
		records += len(durableRecords)
	}
	if records < 2000 || terms < 900 {
		t.Errorf("only %d records in %d terms", records, terms)
	}
}

// compact appends the live entries of the oldest segments again, and removes the segments once these
// entries are durable. Sometimes it stops in between, as if the leader were killed.
func (w *fixture) compact(t *testing.T, d *Component, r *rand.Rand) {
	keys := slices.DeleteFunc(slices.Sorted(maps.Keys(w.values)), func(k string) bool { return strings.HasPrefix(k, eventlog.ComponentValuesPrefix) })
	if len(keys) < 2 {
		return
	}
	keys = keys[:1+r.IntN(len(keys)-1)]
	w.commit(d, 100)
	for _, k := range keys {
		list, err := eventlog.Decode(w.values[k])
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list {
			d.Compact(w.now, e)
		}
	}
	d.CompactionDone()
	if r.IntN(3) == 0 {
		w.commit(d, r.IntN(2)) // the leader is killed during the compaction
		return
	}
	w.commit(d, 100)
	for _, k := range keys {
		delete(w.values, k)
	}
}

// The run times of tasks that were retried, moved, stopped, adopted from an earlier leader or run on
// a slow machine must not count for their kind.
func TestInterruptedTasksDoNotCount(t *testing.T) {
	w := &fixture{values: map[string]json.RawMessage{}, bytes: 8192}
	d := w.startTerm(t, 100)
	for id := range uint64(10) {
		w.runJob(d, id+1, "c", 10)
	}
	m, slow := &workers.Machine{Name: "m1"}, &workers.Machine{Name: "slow"}
	j := d.Jobs.Add(eventlog.Job{ID: 99, Class: "c", Team: "t", Image: "i", Tasks: 40, CPUs: 1, EstimateS: 10})
	j.Phase = jobs.Open
	done := func(k int, took float64, fromThisTerm bool, m *workers.Machine) {
		d.HandleEvent(cluster.Event{Kind: cluster.TaskDone, Job: j, Task: k, RunSeconds: took, FromThisTerm: fromThisTerm, Machine: m})
	}
	d.HandleEvent(cluster.Event{Kind: cluster.TaskGone, Job: j, Task: 0, Machine: m})
	done(0, 50, true, m)
	j.SavedRunTime = map[int32]time.Duration{1: time.Second}
	done(1, 50, true, m)
	done(2, 50, false, m)
	done(3, -1, true, m)
	for k := 4; k < 20; k++ {
		done(k, 30, true, slow) // the first tasks reveal that the machine is slow
	}
	if n := d.runs[99].countedTasks; n > minTasksForSpeed {
		t.Errorf("%d tasks count, want at most those before the machine is known to be slow", n)
	}
	for k := 20; k < 40; k++ {
		done(k, 10, true, m)
	}
	d.HandleEvent(cluster.Event{Kind: cluster.JobDone, At: time.Minute, Job: j})
	if e := d.model.Estimate(Kind{Class: "c"}, 0, 0); e.P50 > 10.5 {
		t.Errorf("the class is estimated at %+v", e)
	}
	// If all machines become slower together, none counts as slow: the work takes longer.
	d = w.startTerm(t, 100)
	for id := range uint64(30) {
		w.runJob(d, 200+id, "c", 10)
	}
	for id := range uint64(30) {
		w.runJob(d, 300+id, "c", 30)
	}
	if e := d.model.Estimate(Kind{Class: "c"}, 0, 0); e.P90 < 25 {
		t.Errorf("half of the jobs were three times slower, but the class is estimated at %+v", e)
	}
}

// A job that will miss its learned deadline is reported once, before the deadline, with the
// reason. The warning is updated meanwhile and removed when the job ends.
func TestLateJobIsReportedOnce(t *testing.T) {
	w := &fixture{values: map[string]json.RawMessage{}, bytes: 8192}
	d := w.startTerm(t, 100)
	for id := range uint64(12) {
		w.runJob(d, id+1, "c", 18)
	}
	late := d.Jobs.Add(eventlog.Job{ID: 50, Class: "c", Team: "t", Image: "i", Tasks: 8, CPUs: 1, EstimateS: 18})
	d.Scheduler.AddTeam()
	late.Phase, late.AcceptedAt, late.CPUShare = jobs.Open, w.now, 1
	d.Estimator.Add(late.Index, 0, 8, 1, false)
	learned := d.learnedDeadline(d.estimateJob(w.now, late))
	if learned < 20*time.Second || learned > 60*time.Second {
		t.Fatalf("the learned deadline is %v", learned)
	}
	var notified []string
	drainMessages := func() (out []string) {
		for _, e := range d.DrainEffects() {
			switch e := e.(type) {
			case effects.LogMessage:
				out = append(out, e.Message)
			case effects.Notify:
				notified = append(notified, e.ID)
			}
		}
		return out
	}
	raised := time.Duration(-1)
	begin := w.now
	for ; w.now < begin+2*learned; w.now += time.Second {
		d.Tick(w.now, true)
		for _, n := range drainMessages() {
			if n == "job runs late" {
				if raised >= 0 {
					t.Fatal("the job was reported twice")
				}
				raised = w.now - begin
			}
		}
	}
	if raised < 0 || raised > learned {
		t.Errorf("reported after %v, its learned deadline was %v", raised, learned)
	}
	raw, err := d.Show(w.now, "late")
	if err != nil || !strings.Contains(string(raw), "more work than room") {
		t.Errorf("the view of late jobs is %s, error %v", raw, err)
	}
	if raw, err := d.Show(w.now, "forecast"); err != nil || !strings.Contains(string(raw), "its learned deadline") {
		t.Errorf("the forecast is %s, error %v", raw, err)
	}
	d.HandleEvent(cluster.Event{Kind: cluster.JobDone, At: w.now, Job: late})
	if raw, _ := d.Show(w.now, "late"); string(raw) != "[]" || !slices.Contains(drainMessages(), "late job ended") {
		t.Errorf("late jobs after the job's end: %s", raw)
	}
	if !slices.Equal(notified, []string{"late/j-000050/raised", "late/j-000050/done"}) {
		t.Errorf("the webhook messages are %v", notified)
	}
	if _, err := d.Show(w.now, "nothing"); err == nil {
		t.Error("an unknown view was accepted")
	}
}

// An entry or value that cannot be decoded, or that another version wrote, is logged and left
// unchanged, and learning continues.
func TestUnreadableEntriesAndValuesAreLeftAlone(t *testing.T) {
	w := &fixture{values: map[string]json.RawMessage{"log/00000001": json.RawMessage(`{"e":[{"o":{"d":"run-times","v":{"f":7}}}]}`),
		"own/run-times/000009": json.RawMessage(`{"v":1,"k":7}`), "own/run-times/000010": json.RawMessage(`{"v":99}`), "own/run-times/x": json.RawMessage(`{}`)}, bytes: 8192}
	d := w.startTerm(t, 100)
	logMessages := 0
	for _, e := range w.effects {
		if _, ok := e.(effects.LogMessage); ok {
			logMessages++
		}
	}
	w.runJob(d, 1, "c", 10)
	w.now += 30 * time.Hour
	for range 20 {
		w.now += d.writeInterval
		d.Tick(w.now, true)
		w.commit(d, 1)
	}
	if logMessages != 4 || countedJobs(d, "c") != 1 {
		t.Errorf("%d log messages, %d jobs counted", logMessages, countedJobs(d, "c"))
	}
	if string(w.values["own/run-times/000009"]) != `{"v":1,"k":7}` || w.values["own/run-times/000011"] == nil {
		t.Errorf("an unreadable value was overwritten, or none written: %v", slices.Sorted(maps.Keys(w.values)))
	}
}

// A forgotten kind stays forgotten across takeovers and compactions, although its records are
// still in the log. Later records count again.
func TestForgottenKindStaysForgotten(t *testing.T) {
	w := &fixture{values: map[string]json.RawMessage{}, bytes: 8192}
	d := w.startTerm(t, 100)
	for id := range uint64(6) {
		w.runJob(d, id+1, "c", 10)
		w.commit(d, 9)
		w.now += 9 * time.Hour
		for range 12 {
			w.now += d.writeInterval
			d.Tick(w.now, true)
			w.commit(d, 1)
		}
	}
	if _, err := d.Change(w.now, json.RawMessage(`{"forget":["c///","none"]}`)); err == nil || !strings.Contains(err.Error(), "forget[1]") || countedJobs(d, "c") != 6 {
		t.Errorf("forgetting an unknown kind: %v, %d jobs counted", err, countedJobs(d, "c"))
	}
	if raw, err := d.Change(w.now, json.RawMessage(`{"forget":["c///"]}`)); err != nil || !strings.Contains(string(raw), `"forgotten":1`) {
		t.Errorf("forgetting a kind: %s, error %v", raw, err)
	}
	w.commit(d, 9)
	for term := range 5 {
		d = w.startTerm(t, 100)
		if got := countedJobs(d, "c"); got != term {
			t.Errorf("term %d: %d jobs are counted", term, got)
		}
		if m := d.model.histories[Kind{Class: "c", Team: "t"}]; m == nil || m.summarize().estimate.Jobs != 6+term {
			t.Errorf("term %d: the kind of the class and team lost its history", term)
		}
		w.now += time.Minute
		w.runJob(d, uint64(50+term), "c", 10)
		w.commit(d, 9)
		w.compact(t, d, rand.New(rand.NewPCG(uint64(term), 2)))
		w.now += time.Duration(term) * 9 * time.Hour
		for range 12 {
			w.now += d.writeInterval
			d.Tick(w.now, true)
			w.commit(d, 1)
		}
	}
}

// When the size limit of values is lowered, their kinds are spread over more values. No kind is
// lost, whenever a leader is killed during this.
func TestLoweredValueSizeLosesNoKind(t *testing.T) {
	for ticksBeforeKill := range 60 {
		w := &fixture{values: map[string]json.RawMessage{}, bytes: 8192}
		d := w.startTerm(t, 100)
		for id := range uint64(12) {
			w.runJob(d, id+1, fmt.Sprint("class", id), 10)
		}
		w.now += 30 * time.Hour
		for range 40 {
			w.now += d.writeInterval
			d.Tick(w.now, true)
			w.commit(d, 1)
		}
		w.bytes = 1500
		d = w.startTerm(t, 100)
		for id := range uint64(12) {
			w.runJob(d, id+100, fmt.Sprint("class", id), 10)
		}
		w.commit(d, 99)
		w.now += 24 * time.Hour
		for range ticksBeforeKill {
			w.now += d.writeInterval
			d.Tick(w.now, true)
			w.commit(d, 1)
		}
		for range 2 { // the second leader reads what the first wrote for kinds that are in two values
			d = w.startTerm(t, 100)
			for id := range 12 {
				if n := countedJobs(d, fmt.Sprint("class", id)); n != 2 {
					t.Fatalf("killed after %d ticks: %d jobs of class%d are counted", ticksBeforeKill, n, id)
				}
			}
			for range 9 {
				w.now += d.writeInterval
				d.Tick(w.now, true)
				w.commit(d, 1)
			}
		}
	}
}

// A value that the state service refuses is written again in smaller values. Until then its
// content is still in the log.
func TestRefusedValueIsRetried(t *testing.T) {
	w := &fixture{values: map[string]json.RawMessage{}, bytes: 8192}
	d := w.startTerm(t, 100)
	for id := range uint64(9) {
		w.runJob(d, id+1, fmt.Sprint("class", id), 10)
	}
	w.commit(d, 99)
	w.now += 30 * time.Hour
	refused := 0
	for range 400 {
		w.now += d.writeInterval
		d.Tick(w.now, true)
		if txn := d.EventLog.NextTransaction(w.now); txn != nil {
			large := slices.ContainsFunc(txn.Writes, func(o eventlog.Write) bool { return len(o.Value) > 2000 })
			if large {
				refused++
				d.EventLog.CommitResult(w.now, txn.Sequence, eventlog.Invalid, 0, nil)
				continue
			}
			for _, op := range txn.Writes {
				w.values[op.Key] = op.Value
			}
			for _, e := range applyTransaction(d, w, txn.Sequence) {
				d.EntryDurable(w.now, true, e)
			}
		}
	}
	if refused == 0 {
		t.Fatal("no value was refused")
	}
	if d.writes.Len() > 0 || len(d.store.dirty) > 0 {
		t.Errorf("%d values are still not written", len(d.store.dirty))
	}
	next := w.startTerm(t, 100)
	for id := range 9 {
		if n := countedJobs(next, fmt.Sprint("class", id)); n != 1 {
			t.Errorf("%d jobs of class%d are counted", n, id)
		}
	}
}

func applyTransaction(d *Component, w *fixture, seq uint64) []eventlog.Entry {
	durable, _ := d.EventLog.CommitResult(w.now, seq, eventlog.Applied, uint64(w.now), nil)
	return durable
}

// Work is expected at the local time at which it arrived on previous nights; holidays are learned
// separately. An outlier night changes only the maximum. A new leader expects the same.
func TestExpectedDemandFollowsNights(t *testing.T) {
	w := &fixture{values: map[string]json.RawMessage{}, bytes: 8192}
	d := w.startTerm(t, 100)
	id := uint64(0)
	for day := range 14 {
		w.now = time.Duration(day)*24*time.Hour + 22*time.Hour // the peak
		for range 3 {
			id++
			w.runJob(d, id, "c", 100)
		}
		if day == 9 { // an outlier night
			for range 30 {
				id++
				w.runJob(d, id, "c", 100)
			}
		}
		w.commit(d, 99)
		w.now += 6 * time.Hour
		for range 30 {
			w.now += d.writeInterval
			d.Tick(w.now, true)
			w.commit(d, 1)
		}
	}
	for i, x := range []*Component{d, w.startTerm(t, 100)} {
		x.startNight(w.now)
		at := 14*24*time.Hour + 20*time.Hour
		var peak *ExpectedDemand
		total := 0.0
		for _, e := range x.expectedDemand(at) {
			total += e.Work
			if e.At == "22:00" {
				peak = &e
			}
		}
		if peak == nil || math.Abs(peak.Work/2400-1) > .03 || math.Abs(peak.Most/(33*800)-1) > .03 || peak.Nights < 7 || math.Abs(peak.InS-7200) > 1 || math.Abs(total-peak.Work) > 1 {
			t.Errorf("leader %d expects %+v at the peak, %.0f s of work in total", i, peak, total)
		}
	}
}

// With learned_sizes a job's initial size comes from the history of its kind. Without it, or for a
// new kind, it is the default.
func TestLearnedSizesSeedTheEstimator(t *testing.T) {
	w := &fixture{values: map[string]json.RawMessage{}, bytes: 8192}
	d := w.startTerm(t, 100)
	for id := range uint64(12) {
		w.runJob(d, id+1, "c", 18)
	}
	for i, c := range []struct {
		on    int
		class string
		want  float64
	}{{0, "c", 30}, {1, "new", 30}, {1, "c", 8 * 18}} {
		d.Cfg.Tunables.LearnedSizes = c.on
		j := d.Jobs.Add(eventlog.Job{ID: uint64(50 + i), Class: c.class, Team: "t", Image: c.class, Tasks: 8, CPUs: 1})
		j.Phase = jobs.Open
		d.Estimator.Add(j.Index, 0, 8, 1, false)
		d.HandleEvent(cluster.Event{Kind: cluster.JobEnqueued, Job: j})
		if got, _ := d.Estimator.Size(j.Index); math.Abs(got/c.want-1) > .2 {
			t.Errorf("%+v: the initial size is %v", c, got)
		}
	}
}

// At the end of a night the summaries of many kinds are written one value at a time, and only when
// no other entry is pending. Each fits into a small value.
func TestWriteRateIsBounded(t *testing.T) {
	w := &fixture{values: map[string]json.RawMessage{}, bytes: 700}
	d := w.startTerm(t, 1000)
	for day := range 12 {
		for id := range uint64(20) {
			w.runJob(d, uint64(day)*100+id+1, fmt.Sprint("class", id), 10)
		}
		w.commit(d, 1000)
		w.now += 24 * time.Hour
		for range 200 {
			w.now += d.writeInterval / 5
			before := d.EventLog.PendingCount()
			d.Tick(w.now, true)
			if after := d.EventLog.PendingCount(); after > before+1 || (before > 0 && after > before) {
				t.Fatalf("%d entries appended in one tick, with %d pending", after-before, before)
			}
			w.commit(d, 1)
		}
	}
	next := w.startTerm(t, 1000)
	if a, b := countedJobs(d, "class7"), countedJobs(next, "class7"); a != b || a < 9 {
		t.Errorf("%d jobs are counted, the next leader counts %d", a, b)
	}
}
