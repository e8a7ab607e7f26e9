package runtimes

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/cluster"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/workers"
)

// world is a state service that holds a log, over the lives of several leaders.
type world struct {
	values map[string]json.RawMessage
	epoch  uint64
	now    time.Duration
	bytes  int // of a value
}

// lead begins a term that reads the log as it is.
func (w *world) lead(t *testing.T, kinds int) *Duty {
	t.Helper()
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Tunables.RunTimesKinds = kinds
	cfg.Tunables.WebhookURL = "http://127.0.0.1:9"
	cfg.Deployment.Workers.ReportS = 1
	w.epoch++
	s := cluster.New(cluster.Start{Cfg: cfg, Epoch: w.epoch, Began: w.now, Counts: &cluster.Counts{}})
	last := 0
	d := New(s)
	for _, k := range slices.Sorted(maps.Keys(w.values)) {
		list, err := ledger.Decode(w.values[k])
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list {
			d.Replay(w.now, e)
		}
		last, _ = ledger.Number(k)
	}
	s.Log = ledger.NewLog(ledger.Limits{WriteRPS: 1e6, ValueBytes: w.bytes, TxnOps: 9}, "lead/epoch", 1, last, 0)
	d.Begin(w.now)
	return d
}

// write makes at most so many commits durable.
func (w *world) write(d *Duty, most int) {
	for range most {
		w.now += time.Second
		txn := d.Log.Next(w.now)
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
		d.Log.Result(w.now, txn.Seq, ledger.Applied, uint64(w.now), nil)
	}
}

// job has a job of a class run and end, each of its tasks taking so long.
func (w *world) job(d *Duty, id uint64, class string, took float64) {
	j := d.Jobs.Add(ledger.Job{ID: id, Class: class, Team: "t", Image: "i", Tasks: 8, CPUs: 1, EstimateS: 10})
	j.Phase, j.AcceptedAt = jobs.Open, w.now
	m := &workers.Machine{Name: fmt.Sprint("m", id%7)}
	for k := range j.Tasks {
		at := w.now + time.Duration(k)*time.Millisecond
		d.Hear(cluster.Event{Kind: cluster.TaskPlaced, At: at, Job: j, Task: k, Machine: m})
		d.Hear(cluster.Event{Kind: cluster.TaskBegan, At: at + 2*time.Second, Job: j, Task: k, Machine: m})
		d.Hear(cluster.Event{Kind: cluster.TaskDone, At: at + 20*time.Second, Job: j, Task: k, Took: took, Mine: true, Machine: m})
	}
	d.Hear(cluster.Event{Kind: cluster.JobDone, At: w.now + 20*time.Second, Job: j})
	d.Jobs.Leave(j)
}

// counted is how many jobs the class has shown.
func counted(d *Duty, class string) int {
	m := d.book.models[Kind{Class: class}]
	if m == nil {
		return 0
	}
	n, _ := m.count()
	return n
}

// durable lists the jobs whose facts were ever written.
func (w *world) durable(t *testing.T, into map[uint64]bool) {
	for _, v := range w.values {
		list, err := ledger.Decode(v)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list {
			var x entry
			if e.Own != nil && json.Unmarshal(e.Own.Data, &x) == nil && x.Fact != nil {
				into[x.Fact.ID] = true
			}
		}
	}
}

// Leaders are killed at any moment, with facts, summaries and cleanings half
// written; nights end in between. Whatever was durable counts once, whatever was
// not counts for nobody.
func TestKilledAtAnyMoment(t *testing.T) {
	facts, lives := 0, 0
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := &world{values: map[string]json.RawMessage{}, bytes: 2048}
		ever := map[uint64]bool{}
		id := uint64(0)
		for range 6 {
			d := w.lead(t, 100)
			lives++
			if got := counted(d, "c"); got != len(ever) {
				t.Fatalf("seed %d: %d jobs are counted, %d were written", seed, got, len(ever))
			}
			for range 4 + r.IntN(12) {
				switch r.IntN(7) {
				case 0, 1, 2:
					id++
					w.job(d, id, "c", 10+r.Float64())
				case 3:
					w.now += time.Duration(r.IntN(9)) * time.Hour
					d.Tick(w.now, true)
				case 4:
					for range 1 + r.IntN(9) {
						w.now += writeEvery
						d.Tick(w.now, true)
						if r.IntN(2) == 0 {
							w.write(d, 1)
						}
					}
				case 5:
					w.write(d, r.IntN(3))
				default:
					w.clean(t, d, r)
				}
				w.durable(t, ever)
			}
		}
		facts += len(ever)
	}
	if facts < 2000 || lives < 900 {
		t.Errorf("only %d facts in %d lives", facts, lives)
	}
}

// clean writes anew what is live of the oldest segments, and removes them once that
// is durable, unless the leader is killed before.
func (w *world) clean(t *testing.T, d *Duty, r *rand.Rand) {
	keys := slices.Sorted(maps.Keys(w.values))
	if len(keys) < 2 {
		return
	}
	keys = keys[:1+r.IntN(len(keys)-1)]
	w.write(d, 100)
	for _, k := range keys {
		list, err := ledger.Decode(w.values[k])
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list {
			d.Keep(w.now, e)
		}
	}
	d.Kept()
	if r.IntN(3) == 0 {
		w.write(d, r.IntN(2)) // killed in the middle
		return
	}
	w.write(d, 100)
	for _, k := range keys {
		delete(w.values, k)
	}
}

// Tasks that were retried, moved, stopped, adopted from an earlier leader or ran on
// a slow machine tell nothing of their kind.
func TestWhatDoesNotCount(t *testing.T) {
	w := &world{values: map[string]json.RawMessage{}, bytes: 8192}
	d := w.lead(t, 100)
	for id := range uint64(10) {
		w.job(d, id+1, "c", 10)
	}
	m, slow := &workers.Machine{Name: "m1"}, &workers.Machine{Name: "slow"}
	j := d.Jobs.Add(ledger.Job{ID: 99, Class: "c", Team: "t", Image: "i", Tasks: 40, CPUs: 1, EstimateS: 10})
	j.Phase = jobs.Open
	done := func(k int, took float64, mine bool, m *workers.Machine) {
		d.Hear(cluster.Event{Kind: cluster.TaskDone, Job: j, Task: k, Took: took, Mine: mine, Machine: m})
	}
	d.Hear(cluster.Event{Kind: cluster.TaskGone, Job: j, Task: 0, Machine: m})
	done(0, 50, true, m)
	j.Saved = map[int32]time.Duration{1: time.Second}
	done(1, 50, true, m)
	done(2, 50, false, m)
	done(3, -1, true, m)
	for k := 4; k < 20; k++ {
		done(k, 30, true, slow) // the first few tell that it is slow
	}
	if n := d.runs[99].n; n > slowAfter {
		t.Errorf("%d tasks count", n)
	}
	for k := 20; k < 40; k++ {
		done(k, 10, true, m)
	}
	d.Hear(cluster.Event{Kind: cluster.JobDone, At: time.Minute, Job: j})
	if e := d.book.Estimate(Kind{Class: "c"}, 0, 0); e.P50 > 10.5 {
		t.Errorf("the class is estimated at %+v", e)
	}
	// All machines slow together are no slow machines: then the work takes longer.
	d = w.lead(t, 100)
	for id := range uint64(30) {
		w.job(d, 200+id, "c", 10)
	}
	for id := range uint64(30) {
		w.job(d, 300+id, "c", 30)
	}
	if e := d.book.Estimate(Kind{Class: "c"}, 0, 0); e.P90 < 25 {
		t.Errorf("half of the night was three times slower, the class is estimated at %+v", e)
	}
}

// A job that will not make its learned deadline is warned of once, before that
// passes, with why; the warning is kept up to date and cleared at its end.
func TestLateJobs(t *testing.T) {
	w := &world{values: map[string]json.RawMessage{}, bytes: 8192}
	d := w.lead(t, 100)
	for id := range uint64(12) {
		w.job(d, id+1, "c", 18)
	}
	late := d.Jobs.Add(ledger.Job{ID: 50, Class: "c", Team: "t", Image: "i", Tasks: 8, CPUs: 1, EstimateS: 18})
	d.Plan.AddTeam()
	late.Phase, late.AcceptedAt, late.Share = jobs.Open, w.now, 1
	d.Book.Add(late.Index, 0, 8, 1, false)
	learned := d.learned(d.estimate(w.now, late))
	if learned < 20*time.Second || learned > 60*time.Second {
		t.Fatalf("the learned deadline is %v", learned)
	}
	var told []string
	notes := func() (out []string) {
		for _, e := range d.Take() {
			switch e := e.(type) {
			case effects.Note:
				out = append(out, e.Text)
			case effects.Notify:
				told = append(told, e.ID)
			}
		}
		return out
	}
	raised := time.Duration(-1)
	begin := w.now
	for ; w.now < begin+2*learned; w.now += time.Second {
		d.Tick(w.now, true)
		for _, n := range notes() {
			if n == "a job runs late" {
				if raised >= 0 {
					t.Fatal("warned of twice")
				}
				raised = w.now - begin
			}
		}
	}
	if raised < 0 || raised > learned {
		t.Errorf("warned of after %v, its learned deadline was %v", raised, learned)
	}
	raw, err := d.Show(w.now, "late")
	if err != nil || !strings.Contains(string(raw), "more work than room") {
		t.Errorf("shown is %s %v", raw, err)
	}
	if raw, err := d.Show(w.now, "forecast"); err != nil || !strings.Contains(string(raw), "its learned deadline") {
		t.Errorf("the forecast is %s %v", raw, err)
	}
	d.Hear(cluster.Event{Kind: cluster.JobDone, At: w.now, Job: late})
	if raw, _ := d.Show(w.now, "late"); string(raw) != "[]" || !slices.Contains(notes(), "a late job is over") {
		t.Errorf("after its end: %s", raw)
	}
	if !slices.Equal(told, []string{"late/j-000050/raised", "late/j-000050/done"}) {
		t.Errorf("the webhook is told %v", told)
	}
	if _, err := d.Show(w.now, "nothing"); err == nil {
		t.Error("a view that does not exist is shown")
	}
}

// An entry that cannot be read is said and left out, and learning goes on.
func TestDamagedEntry(t *testing.T) {
	w := &world{values: map[string]json.RawMessage{"log/00000001": json.RawMessage(`{"e":[{"o":{"d":"run-times","v":{"s":7}}},{"o":{"d":"run-times","v":{"s":{"k":["c","","",""],"n":[]}}}}]}`)}, bytes: 8192}
	d := w.lead(t, 100)
	said := 0
	for _, e := range d.Take() {
		if _, ok := e.(effects.Note); ok {
			said++
		}
	}
	w.job(d, 1, "c", 10)
	if said != 1 || counted(d, "c") != 1 {
		t.Errorf("%d lines, %d jobs counted", said, counted(d, "c"))
	}
}

// Summaries of many kinds at the end of a night are written one at a time and only
// when nothing else waits; each fits into a small value.
func TestWritingIsBounded(t *testing.T) {
	w := &world{values: map[string]json.RawMessage{}, bytes: 700}
	d := w.lead(t, 1000)
	for day := range 12 {
		for id := range uint64(20) {
			w.job(d, uint64(day)*100+id+1, fmt.Sprint("class", id), 10)
		}
		w.write(d, 1000)
		w.now += 24 * time.Hour
		for range 200 {
			w.now += writeEvery / 5
			before := d.Log.Pending()
			d.Tick(w.now, true)
			if after := d.Log.Pending(); after > before+1 || (before > 0 && after > before) {
				t.Fatalf("%d entries at once, with %d waiting", after-before, before)
			}
			w.write(d, 1)
		}
	}
	next := w.lead(t, 1000)
	if a, b := counted(d, "class7"), counted(next, "class7"); a != b || a < 9 {
		t.Errorf("%d jobs are counted, the next leader counts %d", a, b)
	}
}

// What a takeover costs with a full book: ten thousand kinds of nine nights.
func BenchmarkReplayTenThousandKinds(b *testing.B) {
	var list []ledger.Entry
	size := 0
	for k := range 10000 {
		s := storedKind{Kind: [4]string{fmt.Sprint("class", k%20), "team", fmt.Sprint("image", k), "7x10"}, At: 1}
		for n := range keepNights {
			s.Nights = append(s.Nights, Night{Day: int32(n), Jobs: 3, N: 120, P50: 20.4, P90: 31.2, Fetch: 3.2, JobP50: 60.2, JobP90: 88.5, RatioP10: .5, RatioP50: 1.1, RP90: 1.8}.numbers())
		}
		raw, err := json.Marshal(entry{Kind: &s})
		if err != nil {
			b.Fatal(err)
		}
		size += len(raw)
		list = append(list, ledger.Entry{Own: &ledger.Own{Duty: Name, Data: raw}})
	}
	b.ReportMetric(float64(size)/10000, "bytes/kind")
	b.ReportAllocs()
	for b.Loop() {
		w := &world{values: map[string]json.RawMessage{}, bytes: 16384}
		cfg := &settings.Settings{Tunables: settings.Defaults()}
		cfg.Tunables.RunTimesKinds = 10000
		d := New(cluster.New(cluster.Start{Cfg: cfg, Epoch: 2, Counts: &cluster.Counts{}}))
		for _, e := range list {
			d.Replay(w.now, e)
		}
		d.Begin(w.now)
	}
}
