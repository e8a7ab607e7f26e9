package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"cmp"
	"slices"
	"time"
)

const (
	minRuntimeToMigrate = 35 * time.Second // a task that has run for less stays: its start would have been for nothing
	migrationTime       = 12 * time.Second // saving, the next report, fetching the image
	maxMachinesEmptied  = 16               // machines emptied in one round
)

// RemainingTime is how long a placed task will probably still run.
func RemainingTime(now time.Duration, j *jobs.Job, p *workers.Placement) time.Duration {
	left := time.Duration(j.Mean()*float64(time.Second)) - j.Saved[p.Ref.Task]
	if p.Runs() {
		left -= now - p.RanAt
	}
	return max(left, 0)
}

// PlanMigrations returns the tasks to be stopped, with time to save, so that draining
// machines can be returned: a large machine on which one long task is left
// costs as much as a full one. A machine is emptied only as a whole, only when
// all its tasks save their progress, were not
// moved before (they could go back and forth for ever), and have a place elsewhere that nobody
// else of their team waits for, and when what its unused room would cost until
// the end is more than what moving loses.
func (p *Scheduler) PlanMigrations(w Snapshot) []*workers.Placement {
	waits := make([]bool, len(p.Limits))
	for _, i := range w.Estimator.Order() {
		if j := w.Jobs.At(i); j.Waiting > 0 {
			waits[j.Team] = true
		}
	}
	type room struct {
		m    *workers.Machine
		free resources.Amounts
	}
	var rooms []room
	var drain []*workers.Machine
	for _, m := range w.Inventory.All() {
		switch {
		case m.Draining && !m.Deleting && m.Up && !m.PreemptionNotice && len(m.Tasks) > 0:
			drain = append(drain, m)
		case !m.Reserved && m.Free.CPU > 0 && m.Usable(w.Now, w.SuspectAfter):
			rooms = append(rooms, room{m, m.Free})
		}
	}
	if len(drain) == 0 || len(rooms) == 0 {
		return nil
	}
	slices.SortStableFunc(rooms, func(a, b room) int { return cmp.Compare(a.free.CPU, b.free.CPU) })
	place := func(j *jobs.Job) bool {
		for i := range rooms {
			if r := &rooms[i]; j.Need.Fits(r.free) && Allowed(j, r.m, w.Zone) && j.ZoneAllows(r.m.Zone) {
				r.free = r.free.Minus(j.Need)
				return true
			}
		}
		return false
	}
	// What is on its way already needs its room first.
	for _, m := range drain {
		for _, t := range m.Tasks {
			if t.Stopping {
				place(w.Jobs.At(t.Ref.Job))
			}
		}
	}
	var out []*workers.Placement
	emptied := 0
	for _, m := range drain {
		if emptied == maxMachinesEmptied {
			break
		}
		before := slices.Clone(rooms)
		var list []*workers.Placement
		var last time.Duration
		all := true
		for _, t := range m.Tasks {
			j := w.Jobs.At(t.Ref.Job)
			left := RemainingTime(w.Now, j, t)
			if !restartable(j, t) || j.ZoneRule() || j.Record.Checkpoint <= 0 || j.Saved[t.Ref.Task] > 0 || w.Now-t.RanAt < minRuntimeToMigrate || left < migrationTime || waits[j.Team] || !place(j) {
				all = false
				break
			}
			last = max(last, left)
			list = append(list, t)
		}
		used := m.Cap.CPU - m.Free.CPU
		if !all || float64(m.Free.CPU)*(last-migrationTime).Seconds() < float64(used)*2*migrationTime.Seconds() {
			copy(rooms, before)
			continue
		}
		emptied++
		out = append(out, list...)
	}
	return out
}
