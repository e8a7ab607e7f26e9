package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/sizing"
	"bitternmoor/internal/core/workers"
)

// acceleratedCluster has so many machines with two accelerators and twelve processors, and as many
// with eight processors and none.
func acceleratedCluster(n int) (*Scheduler, Snapshot, map[*workers.Machine]int) {
	p := New([]Limit{{}}, 10)
	w := Snapshot{Now: time.Second, SuspectAfter: time.Minute, Jobs: jobs.NewTable(), Inventory: workers.NewInventory(), Estimator: sizing.New(sizing.Params{Train: 5, Xi: 1, Delta: 60, First: 30}), Zone: func(string) int32 { return 0 }}
	for i := range n {
		for _, room := range []resources.Amounts{resources.Room(12, 2, 48), resources.Room(8, 0, 64)} {
			w.Inventory.Add(&workers.Machine{Name: fmt.Sprint(i, room.GPU), Cap: room, Durable: true, Up: true, Resolved: true, FetchGBPS: 1})
		}
	}
	plain := map[*workers.Machine]int{} // tasks without accelerators, by machine that has some
	w.Place = func(j *jobs.Job, k int, m *workers.Machine) {
		j.Place(k)
		m.Plan(&workers.Placement{Ref: workers.Ref{Job: j.Index, Task: int32(k)}, Need: j.Need})
		if j.Need.GPU == 0 && m.Cap.GPU > 0 {
			plain[m]++
		}
	}
	w.Unplace = func(j *jobs.Job, k int) {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		for _, m := range w.Inventory.All() {
			m.RemovePlacement(ref)
		}
		j.Release(k)
	}
	return p, w, plain
}

func (snap *Snapshot) add(id uint64, kind uint8, tasks int, cpus, gpus float64, mean float64) *jobs.Job {
	j := snap.Jobs.Add(eventlog.Job{ID: id, Kind: kind, Tasks: tasks, CPUs: cpus, GPUs: gpus, MemoryGB: 1, EstimateS: mean, Spot: true})
	j.Phase, j.FitsWithoutGPU = jobs.Open, gpus == 0
	if kind != jobs.Service {
		snap.Estimator.Add(j.Index, 0, tasks, cpus, kind == jobs.Gang)
	}
	return j
}

// Work without need of accelerators takes no place from work that needs them, but for
// short tasks where more are free than are waited for; a service never does.
func TestAcceleratorsAreKept(t *testing.T) {
	for _, c := range []struct {
		name           string
		kind           uint8
		tasks, gang    int
		mean           float64
		plain, allowed int
	}{
		{"replicas only where a gang's task fits beside them", jobs.Service, 1000, 1, 0, 20, 2},
		{"long tasks likewise", jobs.Array, 1000, 1, 500, 20, 2},
		{"short ones have what is free beyond a reserve", jobs.Array, 1000, 1, 30, 20, 12},
		{"and nothing while gangs wait for all of it", jobs.Array, 1000, 25, 30, 20, 2},
	} {
		p, w, plain := acceleratedCluster(c.plain)
		w.add(1, jobs.Gang, c.gang, 10, 2, 60)
		j := w.add(2, c.kind, c.tasks, 1, 0, c.mean)
		w.AcceleratedNeed = p.Accelerated(w.Now, w.Jobs)
		p.RunCycle(w)
		broken := 0
		for _, n := range plain {
			if n > c.allowed {
				t.Errorf("%s: %d tasks on a machine with accelerators", c.name, n)
			}
			if n > 2 {
				broken++
			}
		}
		if c.allowed > 2 && (broken == 0 || broken > c.plain-minUnlentPlaces) {
			t.Errorf("%s: %d of %d places lent", c.name, broken, c.plain)
		}
		if got := len(j.Tasks) - j.Waiting; got < 8*c.plain+2*(c.plain-c.gang) {
			t.Errorf("%s: only %d tasks have room", c.name, got)
		}
	}
}

// Without work that needs accelerators, machines that have some are as any.
func TestIdleAcceleratorsAreOpenToAll(t *testing.T) {
	p, w, _ := acceleratedCluster(3)
	j := w.add(2, jobs.Array, 60, 1, 0, 500)
	w.AcceleratedNeed = p.Accelerated(w.Now, w.Jobs)
	p.RunCycle(w)
	if j.Waiting > 0 {
		t.Errorf("%d tasks wait beside idle machines", j.Waiting)
	}
}

// BenchmarkCycleAtScale is a pass over 850 machines of four types with 10,000 waiting tasks,
// replicas and gangs among them, on a cluster with room on one machine in ten.
func BenchmarkCycleAtScale(b *testing.B) {
	p, w, _ := acceleratedCluster(1)
	for i := range 850 {
		room := []resources.Amounts{resources.Room(8, 0, 64), resources.Room(32, 0, 128), resources.Room(64, 0, 128), resources.Room(12, 2, 48)}[i%4]
		m := w.Inventory.Add(&workers.Machine{Name: fmt.Sprint("m", i), Cap: room, Durable: true, Up: true, Resolved: true, FetchGBPS: 1})
		if i%10 > 0 {
			m.Plan(&workers.Placement{Ref: workers.Ref{Job: 1 << 20, Task: int32(i)}, Need: room})
		}
	}
	for id := range uint64(60) {
		w.add(id+1, jobs.Array, 150, 1, 0, 40)
		w.add(id+1000, jobs.Gang, 4, 10, 2, 100)
		w.add(id+2000, jobs.Service, 9, 1, 0, 0)
	}
	var placed []func()
	place := w.Place
	w.Place = func(j *jobs.Job, k int, m *workers.Machine) {
		place(j, k, m)
		placed = append(placed, func() {
			m.RemovePlacement(workers.Ref{Job: j.Index, Task: int32(k)})
			j.Release(k)
			p.Refund(0, j.Need)
		})
	}
	for b.Loop() {
		w.AcceleratedNeed = p.Accelerated(w.Now, w.Jobs)
		p.RunCycle(w)
		for _, f := range placed {
			f()
		}
		placed = placed[:0]
	}
}
