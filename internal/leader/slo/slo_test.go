package slo

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

func newComponent(floor float64) *Component {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Tunables.ServedFloor, cfg.Tunables.ServedWindowS, cfg.Tunables.ServedDefaultDueS = floor, 300, 200
	cfg.Deployment.Objectives = []settings.Objective{
		{Kind: settings.ObjectiveFinished, Class: "a", WithinS: 60}, {Kind: settings.ObjectiveFinished, Class: "a", WithinS: 100},
		{Kind: settings.ObjectiveDeadline, Class: "b", Times: 1.5},
	}
	s := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: 1, Counts: &cluster.Counts{}})
	m := s.Inventory.Add(&workers.Machine{Name: "m", Up: true})
	m.Capacity.CPU = 1_000_000
	return New(s)
}

func (d *Component) submit(now time.Duration, id uint64, class string) *jobs.Job {
	j := d.Jobs.Add(eventlog.Job{ID: id, Class: class, Team: "t", Tasks: 4, CPUs: 1, EstimateS: 20, DeadlineS: 80})
	j.Phase, j.AcceptedAt, j.CPUShare = jobs.Open, now, 1
	d.HandleEvent(cluster.Event{Kind: cluster.JobEnqueued, At: now, Job: j})
	return j
}

func (d *Component) viewOf(name string) View {
	for _, v := range d.views() {
		if v.Name == name {
			return v
		}
	}
	return View{}
}

// A job is due after the longest time of its class's objectives for the end, after its deadline
// times the factor of the class's deadline objective or, without either, after the default time.
func TestDueTime(t *testing.T) {
	d := newComponent(0)
	for class, want := range map[string]time.Duration{"a": 100 * time.Second, "b": 120 * time.Second, "c": 200 * time.Second} {
		j := d.submit(10*time.Second, uint64(len(class))+uint64(class[0]), class)
		if got := d.dueTime(j); got != 10*time.Second+want {
			t.Errorf("job of class %s is due at %v", class, got)
		}
	}
}

// Of jobs that would all be missed, only as many are boosted as the floor requires, and not
// before their last chance. A job that can no longer be in time is never boosted, and no job
// stays boosted after its due time.
func TestFloorBoostsNoMoreThanNeeded(t *testing.T) {
	for _, floor := range []float64{0, 0.5, 0.6, 1} {
		d := newComponent(floor)
		var list []*jobs.Job
		for i := range uint64(20) {
			list = append(list, d.submit(0, i+1, "a"))
		}
		late := d.submit(0, 99, "a")
		late.Record.EstimateS = 90 // it needs 112 s and is due after 100 s
		countBoosted := func() (n int) {
			for _, j := range list {
				if j.Boost != jobs.NoBoost {
					n++
				}
			}
			return n
		}
		d.Tick(30*time.Second, true)
		if countBoosted() != 0 {
			t.Errorf("floor %v: %d jobs are boosted although there is enough time", floor, countBoosted())
		}
		d.Tick(58*time.Second, true)
		d.Tick(59*time.Second, true)
		want := int(floor*20 + 0.999)
		if n := countBoosted(); n < want-1 || n > want+1 {
			t.Errorf("floor %v: %d of 20 jobs are boosted", floor, n)
		}
		if late.Boost != jobs.NoBoost {
			t.Errorf("floor %v: a job that cannot be in time is boosted", floor)
		}
		d.Tick(101*time.Second, true)
		if countBoosted() != 0 || len(d.open) != 0 || d.viewOf("a").Missed != 21 || d.viewOf("t").Boosted != 0 {
			t.Errorf("floor %v: after the due time %d jobs are boosted, view is %+v", floor, countBoosted(), d.viewOf("a"))
		}
	}
}

// The view always equals a plain count of the jobs due in the window, at every step of random
// workloads; outcomes older than the window are not counted.
func TestAttainmentMatchesPlainCount(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 5))
		d := newComponent(0.6)
		type past struct {
			class string
			at    time.Duration
			met   bool
		}
		var all []past
		open := map[*jobs.Job]time.Duration{}
		id := uint64(0)
		for now := time.Duration(0); now < 900*time.Second; now += 500 * time.Millisecond {
			if r.IntN(6) == 0 {
				id++
				j := d.submit(now, id, []string{"a", "b"}[r.IntN(2)])
				open[j] = d.dueTime(j)
			}
			for j, due := range open {
				switch {
				case due < now:
					all = append(all, past{j.Record.Class, now, false})
					delete(open, j)
				case r.IntN(250) == 0:
					all = append(all, past{j.Record.Class, now, true})
					delete(open, j)
					d.HandleEvent(cluster.Event{Kind: cluster.JobDone, At: now, Job: j})
				case r.IntN(900) == 0:
					delete(open, j)
					d.HandleEvent(cluster.Event{Kind: cluster.JobRemoved, Job: j})
				}
			}
			d.Tick(now, true)
			for _, class := range []string{"a", "b"} {
				due, met, openJobs := 0, 0, 0
				for _, p := range all {
					if p.class == class && now-p.at <= 300*time.Second {
						due++
						if p.met {
							met++
						}
					}
				}
				for j := range open {
					if j.Record.Class == class {
						openJobs++
					}
				}
				if v := d.viewOf(class); due+openJobs > 0 && (v.Due != due || v.Met != met || v.Open != openJobs) {
					t.Fatalf("seed %d at %v: view of class %s is %+v, want %d due, %d met, %d open", seed, now, class, v, due, met, openJobs)
				}
			}
		}
	}
}

func TestShow(t *testing.T) {
	d := newComponent(0.5)
	d.submit(0, 1, "a")
	raw, err := d.Show(0, "")
	var list []View
	if err != nil || json.Unmarshal(raw, &list) != nil || len(list) != 2 || list[0].Team || !list[1].Team || list[0].Share != 1 {
		t.Errorf("unexpected views: %s %v", raw, err)
	}
	if _, err := d.Show(0, "x"); err == nil {
		t.Error("Show accepted an unknown view")
	}
	if g := d.Gauges(0); g[0].Values["a"] != 1 || g[1].Values["t"] != 1 {
		t.Errorf("%+v", g)
	}
}

// The largest of the jobs due are the 10 % with the most work and the one with the most tasks.
// The view has the longest time that one of them waited to begin.
func TestLargestOutcomes(t *testing.T) {
	d := newComponent(0)
	for i := range uint64(20) {
		j := d.submit(0, i+1, "a")
		j.FirstRunAt = time.Second
		switch i {
		case 3:
			j.Record.EstimateS, j.FirstRunAt = 500, 90*time.Second // the most work, and begins late
		case 7:
			j.Record.EstimateS = 400
		case 9:
			j.Tasks = make([]jobs.TaskState, 40) // the most tasks, but little work
			j.Record.EstimateS = 1
		}
		if i != 3 {
			d.HandleEvent(cluster.Event{Kind: cluster.JobDone, At: 50 * time.Second, Job: j})
		}
	}
	d.Tick(101*time.Second, true)
	if v := d.viewOf("a"); v.Due != 20 || v.Largest != 3 || v.LargestMet != 2 || v.LargestWait != 90 {
		t.Errorf("%+v", v)
	}
}
