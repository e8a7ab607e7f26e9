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
	"bitternmoor/internal/core/workers"
)

// setRunning turns a planned task into one that has been running since the given time.
func setRunning(task *workers.Placement, since time.Duration) {
	task.Planned, task.Reported = false, true
	task.State, task.RunningSince = workers.Running, since
}

func compareRefs(a, b workers.TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
}

// Preempt lists the tasks only if it needs them. On random clusters it must stop the same tasks as
// an exhaustive one, which always lists them.
func TestPreemptDecidesLikeExhaustiveOne(t *testing.T) {
	total := 0
	for seed := range uint64(200) {
		var got [2][]string
		for i, exhaustive := range []bool{true, false} {
			r := rand.New(rand.NewPCG(seed, 2))
			snap, _, scheduler := randomCluster(r, 30, 40)
			scheduler.exhaustive = exhaustive
			scheduler.RunCycle(snap)
			snap.Now += 3 * time.Second
			for _, m := range snap.Inventory.All() {
				for _, ref := range slices.SortedFunc(maps.Keys(m.Tasks), compareRefs) {
					task := m.Tasks[ref]
					setRunning(task, snap.Now-time.Duration(r.IntN(9))*time.Second)
					task.Attempt = uint64(len(got[i])) + uint64(ref.Job)<<16 + uint64(ref.Task)
				}
			}
			// The jobs added last get random priorities, some of them urgent, on machines that
			// are taken.
			for _, j := range snap.Jobs.All()[20:] {
				j.Priority = uint8(r.IntN(4))
			}
			for _, v := range scheduler.Preempt(snap) {
				got[i] = append(got[i], fmt.Sprintf("%d/%d on %s", v.JobID, v.Ref.Task, v.Machine.Name))
			}
		}
		if !slices.Equal(got[0], got[1]) {
			t.Fatalf("seed %d: the exhaustive Preempt stops %v, the ordinary one %v", seed, got[0], got[1])
		}
		total += len(got[0])
	}
	if total < 200 {
		t.Errorf("only %d tasks were stopped: too few to show a difference between the two", total)
	}
}

// Two urgent jobs arrive at a machine full of tasks that save their progress. Preempt must return
// each victim once and spare tasks that were stopped before. Without that, one long job was stopped
// five times and was the last job of its day to end.
func TestPreemptSparesTasksStoppedBefore(t *testing.T) {
	snap := emptySnapshot(100*time.Second, time.Hour, 0)
	machine := snap.Inventory.Add(&workers.Machine{
		Name:          "m",
		Capacity:      resources.Room(8, 0, 64),
		Durable:       true,
		Up:            true,
		Resolved:      true,
		LastHeartbeat: snap.Now,
		CacheGB:       1,
		FetchGBPS:     1,
	})
	add := func(id uint64, tasks int, cpus float64, priority uint8) *jobs.Job {
		j := snap.Jobs.Add(eventlog.Job{
			ID:         id,
			Tasks:      tasks,
			CPUs:       cpus,
			MemoryGB:   1,
			Priority:   priority,
			Checkpoint: 15,
			SaveS:      4,
			EstimateS:  300,
		})
		j.Phase = jobs.Open
		snap.Estimator.Add(j.Index, 0, tasks, cpus, false)
		return j
	}
	long := add(1, 4, 2, 0)
	for k := range 4 {
		long.Place(k)
		task := &workers.Placement{Ref: workers.TaskRef{Job: long.Index, Task: int32(k)}, JobID: 1, Need: long.Need}
		machine.Plan(task)
		setRunning(task, 40*time.Second)
	}
	long.SavedRunTime = map[int32]time.Duration{0: time.Second, 2: time.Second}
	add(2, 1, 1, 2)
	add(3, 1, 1, 2)
	scheduler := New([]Limit{{}}, 10)
	scheduler.UrgentFirst = true
	got := scheduler.Preempt(snap)
	if len(got) != 1 || long.SavedRunTime[got[0].Ref.Task] > 0 {
		t.Errorf("%d tasks are stopped, want one that was not stopped before: %+v", len(got), got)
	}
}
