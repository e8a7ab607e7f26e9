package scheduler

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

// A draining machine is emptied if its task saves its progress, has run long enough and will run
// long enough, was not moved before, fits elsewhere, and its team has no waiting tasks.
func TestPlanMigrationsConditions(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(job *jobs.Job, task *workers.Placement, other *workers.Machine)
		moves  int
	}{
		{"all conditions hold", func(*jobs.Job, *workers.Placement, *workers.Machine) {}, 1},
		{"it does not save its progress", func(j *jobs.Job, _ *workers.Placement, _ *workers.Machine) { j.Record.Checkpoint = 0 }, 0},
		{"it has just begun", func(_ *jobs.Job, p *workers.Placement, _ *workers.Machine) { p.RunningSince = 90 * time.Second }, 0},
		{"it was moved before", func(j *jobs.Job, _ *workers.Placement, _ *workers.Machine) {
			j.SavedRunTime = map[int32]time.Duration{0: time.Second}
		}, 0},
		{"no room elsewhere", func(_ *jobs.Job, _ *workers.Placement, m *workers.Machine) { m.Free.CPU = 1000 }, 0},
		{"its team has waiting tasks", func(j *jobs.Job, _ *workers.Placement, _ *workers.Machine) { j.Waiting = 1 }, 0},
		{"it is nearly done", func(j *jobs.Job, _ *workers.Placement, _ *workers.Machine) { j.Record.EstimateS = 65 }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			snap := emptySnapshot(100*time.Second, time.Hour, 0)
			from, other := addLargeMachine(&snap, "from"), addLargeMachine(&snap, "other")
			from.Draining = true
			job := snap.Jobs.Add(eventlog.Job{
				ID:         1,
				Tasks:      1,
				CPUs:       4,
				MemoryGB:   4,
				Checkpoint: 15,
				SaveS:      4,
				EstimateS:  300,
			})
			job.Phase = jobs.Open
			snap.Estimator.Add(job.Index, 0, 1, 4, false)
			job.Place(0)
			task := &workers.Placement{Ref: workers.TaskRef{Job: job.Index}, JobID: 1, Need: job.Need}
			from.Plan(task)
			setRunning(task, 40*time.Second)
			c.change(job, task, other)
			if got := New([]Limit{{}}, 10).PlanMigrations(snap); len(got) != c.moves {
				t.Errorf("%d moves, want %d", len(got), c.moves)
			}
		})
	}
}

func addLargeMachine(snap *Snapshot, name string) *workers.Machine {
	return snap.Inventory.Add(&workers.Machine{
		Name:          name,
		Capacity:      resources.Room(32, 0, 64),
		Durable:       true,
		Up:            true,
		Resolved:      true,
		LastHeartbeat: snap.Now,
		CacheGB:       1,
		FetchGBPS:     1,
	})
}
