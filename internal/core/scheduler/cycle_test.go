package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/sizing"
	"bitternmoor/internal/core/workers"
)

// randomCluster makes jobs of all kinds and machines of which many are full.
func randomCluster(r *rand.Rand, machines, count int) (Snapshot, *[]string, *Scheduler) {
	given := new([]string)
	p := New([]Limit{{CPU: int64(1+r.IntN(machines)) * 4000}, {}}, 1+r.IntN(20))
	p.UrgentFirst = true
	p.Locality = 2 * time.Second
	w := Snapshot{Now: time.Minute, SuspectAfter: time.Hour, Jobs: jobs.NewTable(), Inventory: workers.NewInventory(),
		Estimator: sizing.New(sizing.Params{Train: 5, Xi: 1, Delta: 60, First: 30}), Zone: func(string) int32 { return 1 }}
	for i := range machines {
		size := []float64{4, 16}[r.IntN(2)]
		m := w.Inventory.Add(&workers.Machine{Name: fmt.Sprint("m", i), Type: int32(r.IntN(2)), Zone: int32(r.IntN(3)), Spot: r.IntN(2) == 0,
			Cap: resources.Room(size, 0, 2*size), CacheGB: 40, FetchGBPS: 0.5, Durable: true, Up: true, Resolved: true, LastHeartbeat: w.Now, Draining: r.IntN(20) == 0})
		m.Free.CPU = int64(r.IntN(int(size)+1)) * 1000
		m.Free.Mem = int64(r.IntN(int(2*size)+1)) * 1000
		for range r.IntN(4) {
			m.UseImage(int32(r.IntN(6)), 1, w.Now)
		}
	}
	for i := range count {
		rec := eventlog.Job{ID: uint64(i + 1), Kind: uint8(r.IntN(12) / 10), Priority: uint8(r.IntN(4)), Tasks: 1 + r.IntN(30),
			CPUs: float64(1 + r.IntN(4)), MemoryGB: float64(1 + r.IntN(6)), ImageGB: 1, Spot: r.IntN(4) > 0, EstimateS: 10,
			OneZone: r.IntN(8) == 0, Spread: r.IntN(16) == 0}
		if r.IntN(6) == 0 {
			rec.Zone = "only"
		}
		j := w.Jobs.Add(rec)
		j.Phase, j.Spot, j.Image, j.Team = jobs.Open, rec.Spot, int32(r.IntN(6)), int32(r.IntN(2))
		if r.IntN(6) == 0 {
			j.Types = []bool{true, false}
		}
		if r.IntN(2) == 0 {
			j.DelayedSince = w.Now - 3*time.Second
		}
		w.Estimator.Add(j.Index, j.Team, rec.Tasks, rec.CPUs, rec.Kind == jobs.Gang)
	}
	w.Place = func(j *jobs.Job, k int, m *workers.Machine) {
		*given = append(*given, fmt.Sprintf("%d/%d on %s", j.Record.ID, k, m.Name))
		j.Place(k)
		j.CountInZone(m.Zone, 1)
		m.Plan(&workers.Placement{Ref: workers.Ref{Job: j.Index, Task: int32(k)}, JobID: j.Record.ID, Image: j.Image, Need: j.Need})
		m.UseImage(j.Image, 1, w.Now)
	}
	w.Unplace = func(j *jobs.Job, k int) {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		for _, m := range w.Inventory.All() {
			if m.Tasks[ref] != nil {
				m.RemovePlacement(ref)
				j.CountInZone(m.Zone, -1)
			}
		}
		p.Refund(j.Team, j.Need)
		j.Release(k)
		*given = append(*given, fmt.Sprintf("%d/%d taken back", j.Record.ID, k))
	}
	return w, given, p
}

// The quick pass remembers refusals and leaves out machines without room for
// any waiting task. What it gives must be what a pass without both gives.
func TestShortcutsDecideLikeExhaustiveCycle(t *testing.T) {
	total := 0
	for seed := range uint64(300) {
		var got [2][]string
		for i, plain := range []bool{true, false} {
			w, given, p := randomCluster(rand.New(rand.NewPCG(seed, 1)), 40, 25)
			p.exhaustive = plain
			p.RunCycle(w)
			w.Now += time.Second
			p.RunCycle(w)
			got[i] = *given
		}
		if !slices.Equal(got[0], got[1]) {
			t.Fatalf("seed %d: plain gives %d: %v\nquick gives %d: %v", seed, len(got[0]), got[0], len(got[1]), got[1])
		}
		total += len(got[0])
	}
	if total < 3000 {
		t.Errorf("only %d tasks were given: the worlds are too full to tell the two apart", total)
	}
}

// Preemption looks through the tasks only when it must. Held against a way that
// always does, on random states, it stops the same tasks.
func TestPreemptDecidesLikeExhaustiveOne(t *testing.T) {
	total := 0
	for seed := range uint64(200) {
		var got [2][]string
		for i, plain := range []bool{true, false} {
			r := rand.New(rand.NewPCG(seed, 2))
			w, _, p := randomCluster(r, 30, 40)
			p.exhaustive = plain
			p.RunCycle(w)
			w.Now += 3 * time.Second
			for _, m := range w.Inventory.All() {
				for _, ref := range slices.SortedFunc(maps.Keys(m.Tasks), func(a, b workers.Ref) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task)) }) {
					v := m.Tasks[ref]
					v.Planned, v.Seen, v.State, v.RanAt = false, true, workers.Running, w.Now-time.Duration(r.IntN(9))*time.Second
					v.Attempt = uint64(len(got[i])) + uint64(ref.Job)<<16 + uint64(ref.Task)
				}
			}
			// Those that came last are urgent now, and find the machines taken.
			for _, j := range w.Jobs.All()[20:] {
				j.Priority = uint8(r.IntN(4))
			}
			for _, v := range p.Preempt(w) {
				got[i] = append(got[i], fmt.Sprintf("%d/%d on %s", v.JobID, v.Ref.Task, v.Machine.Name))
			}
		}
		if !slices.Equal(got[0], got[1]) {
			t.Fatalf("seed %d: plain stops %v, quick %v", seed, got[0], got[1])
		}
		total += len(got[0])
	}
	if total < 200 {
		t.Errorf("only %d tasks were stopped: the worlds do not tell the two apart", total)
	}
}

// A pass at full size: a thousand machines, of which most are full, and a
// hundred jobs with thousands of waiting tasks.
func BenchmarkCycle(b *testing.B) {
	w, _, p := randomCluster(rand.New(rand.NewPCG(1, 1)), 1000, 100)
	p.RunCycle(w)
	b.ReportAllocs()
	for b.Loop() {
		p.RunCycle(w)
	}
}

// Looked at is what a full cluster costs: refusals are found once a need, not
// once a job, and machines without room are not looked at for each.
func TestFullClusterRefusesOnceANeed(t *testing.T) {
	w, _, p := randomCluster(rand.New(rand.NewPCG(2, 1)), 200, 100)
	p.Locality = 0
	p.RunCycle(w)
	p.RunCycle(w)
	if n := len(p.refusals); n == 0 || n > 40 {
		t.Errorf("%d refusals were found for 100 jobs", n)
	}
}

// A draining machine is emptied when all its tasks save, have run for a while,
// were not moved before, and fit elsewhere; not while their team waits.
func TestPlanMigrationsConditions(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(j *jobs.Job, task *workers.Placement, other *workers.Machine)
		moves  int
	}{
		{"all is well", func(*jobs.Job, *workers.Placement, *workers.Machine) {}, 1},
		{"it does not save", func(j *jobs.Job, _ *workers.Placement, _ *workers.Machine) { j.Record.Checkpoint = 0 }, 0},
		{"it has just begun", func(_ *jobs.Job, p *workers.Placement, _ *workers.Machine) { p.RanAt = 90 * time.Second }, 0},
		{"it was moved before", func(j *jobs.Job, _ *workers.Placement, _ *workers.Machine) {
			j.Saved = map[int32]time.Duration{0: time.Second}
		}, 0},
		{"no room elsewhere", func(_ *jobs.Job, _ *workers.Placement, m *workers.Machine) { m.Free.CPU = 1000 }, 0},
		{"its team waits", func(j *jobs.Job, _ *workers.Placement, _ *workers.Machine) { j.Waiting = 1 }, 0},
		{"it is nearly done", func(j *jobs.Job, _ *workers.Placement, _ *workers.Machine) { j.Record.EstimateS = 65 }, 0},
	} {
		w := Snapshot{Now: 100 * time.Second, SuspectAfter: time.Hour, Jobs: jobs.NewTable(), Inventory: workers.NewInventory(),
			Estimator: sizing.New(sizing.Params{Train: 5, Xi: 1, Delta: 60, First: 30}), Zone: func(string) int32 { return 0 }}
		add := func(name string, draining bool) *workers.Machine {
			return w.Inventory.Add(&workers.Machine{Name: name, Cap: resources.Room(32, 0, 64), Durable: true, Up: true, Resolved: true, LastHeartbeat: w.Now, Draining: draining, CacheGB: 1, FetchGBPS: 1})
		}
		from, other := add("from", true), add("other", false)
		j := w.Jobs.Add(eventlog.Job{ID: 1, Tasks: 1, CPUs: 4, MemoryGB: 4, Checkpoint: 15, SaveS: 4, EstimateS: 300})
		j.Phase = jobs.Open
		w.Estimator.Add(j.Index, 0, 1, 4, false)
		j.Place(0)
		task := &workers.Placement{Ref: workers.Ref{Job: j.Index}, JobID: 1, Need: j.Need}
		from.Plan(task)
		task.Planned, task.Seen, task.State, task.RanAt = false, true, workers.Running, 40*time.Second
		c.change(j, task, other)
		if got := New([]Limit{{}}, 10).PlanMigrations(w); len(got) != c.moves {
			t.Errorf("%s: %d moves, want %d", c.name, len(got), c.moves)
		}
	}
}

// Two urgent jobs find the cluster full of tasks that save. Each victim is
// named once, and a task that was stopped before is left alone: found on a day
// where one long job was stopped five times over and set the end of the day.
func TestPreemptSparesTasksStoppedBefore(t *testing.T) {
	w := Snapshot{Now: 100 * time.Second, SuspectAfter: time.Hour, Jobs: jobs.NewTable(), Inventory: workers.NewInventory(),
		Estimator: sizing.New(sizing.Params{Train: 5, Xi: 1, Delta: 60, First: 30}), Zone: func(string) int32 { return 0 }}
	m := w.Inventory.Add(&workers.Machine{Name: "m", Cap: resources.Room(8, 0, 64), Durable: true, Up: true, Resolved: true, LastHeartbeat: w.Now, CacheGB: 1, FetchGBPS: 1})
	add := func(id uint64, tasks int, cpus float64, priority uint8) *jobs.Job {
		j := w.Jobs.Add(eventlog.Job{ID: id, Tasks: tasks, CPUs: cpus, MemoryGB: 1, Priority: priority, Checkpoint: 15, SaveS: 4, EstimateS: 300})
		j.Phase = jobs.Open
		w.Estimator.Add(j.Index, 0, tasks, cpus, false)
		return j
	}
	long := add(1, 4, 2, 0)
	for k := range 4 {
		long.Place(k)
		p := &workers.Placement{Ref: workers.Ref{Job: long.Index, Task: int32(k)}, JobID: 1, Need: long.Need}
		m.Plan(p)
		p.Planned, p.Seen, p.State, p.RanAt = false, true, workers.Running, 40*time.Second
	}
	long.Saved = map[int32]time.Duration{0: time.Second, 2: time.Second}
	add(2, 1, 1, 2)
	add(3, 1, 1, 2)
	p := New([]Limit{{}}, 10)
	p.UrgentFirst = true
	got := p.Preempt(w)
	if len(got) != 1 || long.Saved[got[0].Ref.Task] > 0 {
		t.Errorf("%d tasks are stopped: %+v", len(got), got)
	}
}
