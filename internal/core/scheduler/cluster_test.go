package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/sizing"
	"bitternmoor/internal/core/workers"
)

// testParams are the parameters of the HFSP paper for the estimator.
var testParams = sizing.Params{TrainingTasks: 5, Xi: 1, Delta: 60, InitialSize: 30}

// emptySnapshot returns a snapshot without jobs or machines, taken at the time now. All zone
// names map to the index zone.
func emptySnapshot(now, suspectAfter time.Duration, zone int32) Snapshot {
	return Snapshot{
		Now:          now,
		SuspectAfter: suspectAfter,
		Jobs:         jobs.NewTable(),
		Inventory:    workers.NewInventory(),
		Estimator:    sizing.New(testParams),
		Zone:         func(string) int32 { return zone },
	}
}

// randomCluster returns a cluster with count random jobs and the given number of random machines,
// many of them full. A line is appended to the returned list for each task that is placed or whose
// plan is withdrawn.
func randomCluster(r *rand.Rand, machines, count int) (Snapshot, *[]string, *Scheduler) {
	decisions := new([]string)
	scheduler := New([]Limit{{CPU: int64(1+r.IntN(machines)) * 4000}, {}}, 1+r.IntN(20))
	scheduler.UrgentFirst = true
	scheduler.Locality = 2 * time.Second
	snap := emptySnapshot(time.Minute, time.Hour, 1)
	for i := range machines {
		addRandomMachine(r, &snap, i)
	}
	for i := range count {
		addRandomJob(r, &snap, uint64(i+1))
	}
	snap.Place = func(job *jobs.Job, k int, machine *workers.Machine) {
		*decisions = append(*decisions, fmt.Sprintf("%d/%d on %s", job.Record.ID, k, machine.Name))
		job.Place(k)
		job.CountInZone(machine.Zone, 1)
		ref := workers.TaskRef{Job: job.Index, Task: int32(k)}
		machine.Plan(&workers.Placement{Ref: ref, JobID: job.Record.ID, Image: job.Image, Need: job.Need})
		machine.UseImage(job.Image, 1, snap.Now)
	}
	snap.Unplace = func(job *jobs.Job, k int) {
		ref := workers.TaskRef{Job: job.Index, Task: int32(k)}
		for _, machine := range snap.Inventory.All() {
			if machine.Tasks[ref] != nil {
				machine.RemovePlacement(ref)
				job.CountInZone(machine.Zone, -1)
			}
		}
		scheduler.Refund(job.Team, job.Need)
		job.Release(k)
		*decisions = append(*decisions, fmt.Sprintf("%d/%d withdrawn", job.Record.ID, k))
	}
	return snap, decisions, scheduler
}

func addRandomMachine(r *rand.Rand, snap *Snapshot, number int) {
	size := []float64{4, 16}[r.IntN(2)]
	machine := snap.Inventory.Add(&workers.Machine{
		Name:          fmt.Sprint("m", number),
		Type:          int32(r.IntN(2)),
		Zone:          int32(r.IntN(3)),
		Spot:          r.IntN(2) == 0,
		Capacity:      resources.Room(size, 0, 2*size),
		CacheGB:       40,
		FetchGBPS:     0.5,
		Durable:       true,
		Up:            true,
		Resolved:      true,
		LastHeartbeat: snap.Now,
		Draining:      r.IntN(20) == 0,
	})
	machine.Free.CPU = int64(r.IntN(int(size)+1)) * 1000
	machine.Free.Mem = int64(r.IntN(int(2*size)+1)) * 1000
	for range r.IntN(4) {
		machine.UseImage(int32(r.IntN(6)), 1, snap.Now)
	}
}

func addRandomJob(r *rand.Rand, snap *Snapshot, id uint64) {
	record := eventlog.Job{
		ID:        id,
		Kind:      uint8(r.IntN(12) / 10),
		Priority:  uint8(r.IntN(4)),
		Tasks:     1 + r.IntN(30),
		CPUs:      float64(1 + r.IntN(4)),
		MemoryGB:  float64(1 + r.IntN(6)),
		ImageGB:   1,
		Spot:      r.IntN(4) > 0,
		EstimateS: 10,
		OneZone:   r.IntN(8) == 0,
		Spread:    r.IntN(16) == 0,
	}
	if r.IntN(6) == 0 {
		record.Zone = "only"
	}
	job := snap.Jobs.Add(record)
	job.Phase, job.UseSpot = jobs.Open, record.Spot
	job.Image, job.Team = int32(r.IntN(6)), int32(r.IntN(2))
	if r.IntN(6) == 0 {
		job.AllowedTypes = []bool{true, false}
	}
	if r.IntN(2) == 0 {
		job.DelayedSince = snap.Now - 3*time.Second
	}
	snap.Estimator.Add(job.Index, job.Team, record.Tasks, record.CPUs, record.Kind == jobs.Gang)
}
