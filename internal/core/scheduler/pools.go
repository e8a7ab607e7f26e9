package scheduler

import (
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"time"
)

// Pools are counted things that some tasks need besides room. Whoever counts them
// says what may start; the planner tells what it gives out.
type Pools interface {
	// Pass begins a pass: list has the jobs that could start a task now but for
	// units and room, in their order.
	Pass(now time.Duration, list []*jobs.Job)
	// Allows says whether so many more tasks of a job may start.
	Allows(j *jobs.Job, tasks int) bool
	// TaskPlaced and TaskRemoved count a task that was given room, and one whose room was taken
	// back in the same pass.
	TaskPlaced(j *jobs.Job)
	TaskRemoved(j *jobs.Job)
	// Most is how many more tasks the units that are left let start.
	Most(j *jobs.Job) int
	// Why says in words what a job waits for, Never why one could never have what
	// it asks for; empty: nothing.
	Why(j *jobs.Job) string
	Never(rec *eventlog.Job) string
}

// beginUnitCycle begins a pass for whoever counts units.
func (p *Scheduler) beginUnitCycle(w *Snapshot, order []int32) {
	var list []*jobs.Job
	add := func(j *jobs.Job) {
		if len(j.Record.Counted) > 0 && j.Waiting > 0 && p.ready(w, j) && w.nextTask(j) >= 0 && p.Within(j.Team, j.Need, w.unresolvedUseOf(j.Team)) {
			list = append(list, j)
		}
	}
	for _, j := range w.Jobs.All() {
		if j != nil && j.Record.Kind == jobs.Service {
			add(j)
		}
	}
	for _, i := range order {
		add(w.Jobs.At(i))
	}
	w.Pools.Pass(w.Now, list)
}
