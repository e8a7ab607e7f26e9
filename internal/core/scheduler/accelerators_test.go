package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

// acceleratedCluster returns a cluster of n machines with two accelerators and twelve processors
// and n machines with eight processors and no accelerator. The map counts, for each machine with
// accelerators, the placed tasks that need none.
func acceleratedCluster(n int) (*Scheduler, Snapshot, map[*workers.Machine]int) {
	scheduler := New([]Limit{{}}, 10)
	snap := emptySnapshot(time.Second, time.Minute, 0)
	for i := range n {
		for _, room := range []resources.Amounts{resources.Room(12, 2, 48), resources.Room(8, 0, 64)} {
			addIdleMachine(&snap, fmt.Sprint(i, room.GPU), room)
		}
	}
	plainTasks := map[*workers.Machine]int{}
	snap.Place = func(j *jobs.Job, k int, m *workers.Machine) {
		j.Place(k)
		m.Plan(&workers.Placement{Ref: workers.TaskRef{Job: j.Index, Task: int32(k)}, Need: j.Need})
		if j.Need.GPU == 0 && m.Capacity.GPU > 0 {
			plainTasks[m]++
		}
	}
	snap.Unplace = func(j *jobs.Job, k int) {
		ref := workers.TaskRef{Job: j.Index, Task: int32(k)}
		for _, m := range snap.Inventory.All() {
			m.RemovePlacement(ref)
		}
		j.Release(k)
	}
	return scheduler, snap, plainTasks
}

func addIdleMachine(snap *Snapshot, name string, room resources.Amounts) *workers.Machine {
	return snap.Inventory.Add(&workers.Machine{
		Name:      name,
		Capacity:  room,
		Durable:   true,
		Up:        true,
		Resolved:  true,
		FetchGBPS: 1,
	})
}

func (snap *Snapshot) addOpenJob(id uint64, kind uint8, tasks int, cpus, gpus float64, mean float64) *jobs.Job {
	j := snap.Jobs.Add(eventlog.Job{
		ID:        id,
		Kind:      kind,
		Tasks:     tasks,
		CPUs:      cpus,
		GPUs:      gpus,
		MemoryGB:  1,
		EstimateS: mean,
		Spot:      true,
	})
	j.Phase, j.FitsWithoutGPU = jobs.Open, gpus == 0
	if kind != jobs.Service {
		snap.Estimator.Add(j.Index, 0, tasks, cpus, kind == jobs.Gang)
	}
	return j
}

// Tasks that need no accelerator take no place from tasks that need one. Short tasks may if more
// places are free than accelerated tasks wait for; replicas of services never may.
func TestAcceleratorsAreKept(t *testing.T) {
	for _, c := range []struct {
		name                    string
		kind                    uint8
		tasks, gang             int
		mean                    float64
		machines, maxPlainTasks int
	}{
		{"replicas are placed only where a gang's task still fits", jobs.Service, 1000, 1, 0, 20, 2},
		{"long tasks are placed only where a gang's task still fits", jobs.Array, 1000, 1, 500, 20, 2},
		{"short tasks are lent free places beyond the reserve", jobs.Array, 1000, 1, 30, 20, 12},
		{"short tasks are lent nothing while gangs wait for all places", jobs.Array, 1000, 25, 30, 20, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler, snap, plainTasks := acceleratedCluster(c.machines)
			snap.addOpenJob(1, jobs.Gang, c.gang, 10, 2, 60)
			j := snap.addOpenJob(2, c.kind, c.tasks, 1, 0, c.mean)
			snap.AcceleratedNeed = scheduler.LargestAcceleratedNeed(snap.Now, snap.Jobs)
			scheduler.RunCycle(snap)
			lentMachines := 0
			for _, n := range plainTasks {
				if n > c.maxPlainTasks {
					t.Errorf("%d tasks without accelerators on a machine with accelerators", n)
				}
				if n > 2 {
					lentMachines++
				}
			}
			if c.maxPlainTasks > 2 && (lentMachines == 0 || lentMachines > c.machines-minUnlentPlaces) {
				t.Errorf("places are lent on %d of %d machines", lentMachines, c.machines)
			}
			if got := len(j.Tasks) - j.Waiting; got < 8*c.machines+2*(c.machines-c.gang) {
				t.Errorf("only %d tasks are placed", got)
			}
		})
	}
}

// While no job needs accelerators, machines with accelerators are used like any others.
func TestIdleAcceleratorsAreOpenToAll(t *testing.T) {
	scheduler, snap, _ := acceleratedCluster(3)
	j := snap.addOpenJob(2, jobs.Array, 60, 1, 0, 500)
	snap.AcceleratedNeed = scheduler.LargestAcceleratedNeed(snap.Now, snap.Jobs)
	scheduler.RunCycle(snap)
	if j.Waiting > 0 {
		t.Errorf("%d tasks wait although machines are idle", j.Waiting)
	}
}

// BenchmarkCycleAtScale measures a cycle over 850 machines of four types, one in ten of them with
// room, and 10,000 waiting tasks of arrays, gangs and services.
func BenchmarkCycleAtScale(b *testing.B) {
	scheduler, snap, _ := acceleratedCluster(1)
	types := []resources.Amounts{
		resources.Room(8, 0, 64),
		resources.Room(32, 0, 128),
		resources.Room(64, 0, 128),
		resources.Room(12, 2, 48),
	}
	for i := range 850 {
		room := types[i%len(types)]
		m := addIdleMachine(&snap, fmt.Sprint("m", i), room)
		if i%10 > 0 {
			m.Plan(&workers.Placement{Ref: workers.TaskRef{Job: 1 << 20, Task: int32(i)}, Need: room})
		}
	}
	for id := range uint64(60) {
		snap.addOpenJob(id+1, jobs.Array, 150, 1, 0, 40)
		snap.addOpenJob(id+1000, jobs.Gang, 4, 10, 2, 100)
		snap.addOpenJob(id+2000, jobs.Service, 9, 1, 0, 0)
	}
	var placed []func()
	place := snap.Place
	snap.Place = func(j *jobs.Job, k int, m *workers.Machine) {
		place(j, k, m)
		placed = append(placed, func() {
			m.RemovePlacement(workers.TaskRef{Job: j.Index, Task: int32(k)})
			j.Release(k)
			scheduler.Refund(0, j.Need)
		})
	}
	for b.Loop() {
		snap.AcceleratedNeed = scheduler.LargestAcceleratedNeed(snap.Now, snap.Jobs)
		scheduler.RunCycle(snap)
		for _, f := range placed {
			f()
		}
		placed = placed[:0]
	}
}
