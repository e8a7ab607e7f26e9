package jobs

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
)

// The index of a job that is removed twice is used again once. Found on a day of gangs: a job that left twice
// had its index given to two others, whose tasks were then taken for one another's.
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
		t.Error("removing a job that has left removed another one")
	}
}

func TestTaskStates(t *testing.T) {
	j := NewTable().Add(eventlog.Job{ID: 1, Tasks: 4})
	for _, task := range []int{0, 1, 2} {
		if got := j.NextWaiting(4); got != task {
			t.Fatalf("next waiting is %d, want %d", got, task)
		}
		j.Place(task)
	}
	j.Release(1)
	if got := j.NextWaiting(4); got != 1 {
		t.Errorf("a released task is not next: %d", got)
	}
	if !j.Complete(0) || j.Complete(0) {
		t.Error("a task completes once")
	}
	j.Release(0) // a late release of a finished task changes nothing
	j.MarkDurable(0)
	j.MarkDurable(0)
	if j.Waiting != 2 || j.Placed != 1 || j.Finished != 1 || j.DurableCount != 1 {
		t.Errorf("%d waiting, %d placed, %d finished, %d durable", j.Waiting, j.Placed, j.Finished, j.DurableCount)
	}
}

func TestZoneRules(t *testing.T) {
	one := NewTable().Add(eventlog.Job{Tasks: 3, OneZone: true})
	one.CountInZone(0, 1)
	if one.ZoneAllows(1) || !one.ZoneAllows(0) {
		t.Error("one zone: the first task decides")
	}
	one.CountInZone(0, -1)
	if !one.ZoneAllows(1) {
		t.Error("one zone: free again once the first is gone")
	}
	half := NewTable().Add(eventlog.Job{Tasks: 9, Spread: true})
	half.CountInZone(0, 4)
	if !half.ZoneAllows(0) {
		t.Error("the fifth of nine may be in the zone")
	}
	half.CountInZone(0, 1)
	if half.ZoneAllows(0) {
		t.Error("five of nine are the most")
	}
}

// A job none of whose tasks waits any more is not starved; should a task wait again later, its time counts from
// then. Found by reading the code: the scheduler, which looks for such jobs, does not look at all while nothing
// waits.
func TestStarvedSinceClearedWhenNothingWaits(t *testing.T) {
	j := NewTable().Add(eventlog.Job{ID: 1, Tasks: 2})
	j.StarvedSince = time.Second
	j.Place(0)
	if j.StarvedSince == 0 {
		t.Error("not starved, though one of its tasks still waits")
	}
	j.Place(1)
	if j.StarvedSince != 0 {
		t.Error("starved, though none of its tasks waits")
	}
}
