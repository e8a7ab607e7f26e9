package jobs

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
)

// The index of a job that is removed twice must be reused only once. In a simulation of gangs, a job that
// was removed twice had its index given to two other jobs, and the tasks of these two were mixed up.
func TestIndexIsFreedOnce(t *testing.T) {
	table := NewTable()
	j := table.Add(eventlog.Job{ID: 1, Tasks: 1})
	table.Remove(j)
	table.Remove(j)
	second, third := table.Add(eventlog.Job{ID: 2, Tasks: 3}), table.Add(eventlog.Job{ID: 3, Tasks: 11})
	if second.Index == third.Index {
		t.Fatalf("jobs 2 and 3 share index %d", second.Index)
	}
	table.Remove(j)
	if table.ByID(2) != second || table.ByIndex(second.Index) != second {
		t.Error("removing a job again removed another job")
	}
}

func TestTaskStates(t *testing.T) {
	j := NewTable().Add(eventlog.Job{ID: 1, Tasks: 4})
	for _, task := range []int{0, 1, 2} {
		if got := j.NextWaiting(4); got != task {
			t.Fatalf("the next waiting task is %d, want %d", got, task)
		}
		j.Place(task)
	}
	j.Release(1)
	if got := j.NextWaiting(4); got != 1 {
		t.Errorf("the next waiting task is %d, want the released task 1", got)
	}
	if !j.Complete(0) || j.Complete(0) {
		t.Error("Complete must return true the first time and false after that")
	}
	j.Release(0) // a late release of a finished task must change nothing
	j.MarkDurable(0)
	j.MarkDurable(0)
	if j.Waiting != 2 || j.Placed != 1 || j.Finished != 1 || j.DurableCount != 1 {
		t.Errorf("%d waiting, %d placed, %d finished, %d durable", j.Waiting, j.Placed, j.Finished, j.DurableCount)
	}
}

func TestZoneRules(t *testing.T) {
	oneZoneJob := NewTable().Add(eventlog.Job{Tasks: 3, OneZone: true})
	oneZoneJob.CountInZone(0, 1)
	if oneZoneJob.ZoneAllows(1) || !oneZoneJob.ZoneAllows(0) {
		t.Error("one zone: the first task must decide the zone")
	}
	oneZoneJob.CountInZone(0, -1)
	if !oneZoneJob.ZoneAllows(1) {
		t.Error("one zone: any zone must be allowed again once the first task is gone")
	}
	spreadJob := NewTable().Add(eventlog.Job{Tasks: 9, Spread: true})
	spreadJob.CountInZone(0, 4)
	if !spreadJob.ZoneAllows(0) {
		t.Error("spread: the fifth of nine tasks must be allowed in the zone")
	}
	spreadJob.CountInZone(0, 1)
	if spreadJob.ZoneAllows(0) {
		t.Error("spread: at most five of nine tasks may be in one zone")
	}
}

// A job without waiting tasks is not starved. If a task waits again later, its time must count from then.
// Found in a code review: the scheduler, which updates StarvedSince, does not run its check while no task
// waits.
func TestStarvedSinceClearedWhenNothingWaits(t *testing.T) {
	j := NewTable().Add(eventlog.Job{ID: 1, Tasks: 2})
	j.StarvedSince = time.Second
	j.Place(0)
	if j.StarvedSince == 0 {
		t.Error("StarvedSince is 0 although one of the tasks still waits")
	}
	j.Place(1)
	if j.StarvedSince != 0 {
		t.Error("StarvedSince is set although none of the tasks waits")
	}
}
