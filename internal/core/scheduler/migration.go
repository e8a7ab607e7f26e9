package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

const (
	minRuntimeToMigrate = 35 * time.Second // a task that ran for less is not moved: its start would be wasted
	migrationTime       = 12 * time.Second // covers saving, waiting for the next report and fetching the image
	maxMachinesEmptied  = 16               // machines emptied by one call of PlanMigrations, at most
)

// RemainingTime returns the expected remaining run time of a placed task, which is never negative.
func RemainingTime(now time.Duration, job *jobs.Job, task *workers.Placement) time.Duration {
	left := time.Duration(job.MeanRunSeconds()*float64(time.Second)) - job.SavedRunTime[task.Ref.Task]
	if task.IsRunning() {
		left -= now - task.RunningSince
	}
	return max(left, 0)
}

// PlanMigrations returns the tasks to be stopped, with time to save their progress, so that
// draining machines can be returned: a large machine with one long task left costs as much as a
// full one. A machine is emptied only as a whole, and only if moving its tasks costs no more than
// its unused room would until the last of them ends. Each task must save its progress, must not have
// been moved before (it could move back and forth forever) and must fit elsewhere, and its team
// must have no waiting tasks.
func (s *Scheduler) PlanMigrations(snap Snapshot) []*workers.Placement {
	plan := migrationPlan{snap: &snap, teamWaits: s.teamsWithWaitingTasks(&snap)}
	draining := plan.listMachines()
	if len(draining) == 0 || len(plan.hosts) == 0 {
		return nil
	}
	slices.SortStableFunc(plan.hosts, func(a, b hostRoom) int { return cmp.Compare(a.free.CPU, b.free.CPU) })
	plan.placeStopping(draining)
	var moved []*workers.Placement
	emptied := 0
	for _, machine := range draining {
		if emptied == maxMachinesEmptied {
			break
		}
		hostsBefore := slices.Clone(plan.hosts)
		tasks, longest, all := plan.placeTasksOf(machine)
		if !all || !worthEmptying(machine, longest) {
			copy(plan.hosts, hostsBefore)
			continue
		}
		emptied++
		moved = append(moved, tasks...)
	}
	return moved
}

// teamsWithWaitingTasks returns, by team index, whether a job of the team has waiting tasks.
func (s *Scheduler) teamsWithWaitingTasks(snap *Snapshot) []bool {
	waits := make([]bool, len(s.Limits))
	for _, i := range snap.Estimator.Order() {
		if job := snap.Jobs.ByIndex(i); job.Waiting > 0 {
			waits[job.Team] = true
		}
	}
	return waits
}

// migrationPlan is the state of one call of PlanMigrations.
type migrationPlan struct {
	snap      *Snapshot
	teamWaits []bool     // by team, whether it has waiting tasks
	hosts     []hostRoom // what is still free after the moves planned so far
}

// hostRoom is the room that is still free on a machine to which tasks may move.
type hostRoom struct {
	machine *workers.Machine
	free    resources.Amounts
}

// listMachines returns the draining machines with tasks, and fills hosts with the machines to
// which tasks may move.
func (plan *migrationPlan) listMachines() (draining []*workers.Machine) {
	for _, machine := range plan.snap.Inventory.All() {
		switch {
		case machine.Draining && !machine.Deleting && machine.Up && !machine.PreemptionNotice && len(machine.Tasks) > 0:
			draining = append(draining, machine)
		case !machine.Reserved && machine.Free.CPU > 0 && machine.AcceptsPlans(plan.snap.Now, plan.snap.SuspectAfter):
			plan.hosts = append(plan.hosts, hostRoom{machine: machine, free: machine.Free})
		}
	}
	return draining
}

// placeStopping reserves room for the tasks that are already being moved, since they are placed
// first.
func (plan *migrationPlan) placeStopping(draining []*workers.Machine) {
	for _, machine := range draining {
		for _, task := range machine.Tasks {
			if task.Stopping {
				plan.place(plan.snap.Jobs.ByIndex(task.Ref.Job))
			}
		}
	}
}

// place subtracts the need of one task of a job from the first room that it fits into, and reports
// whether there was one.
func (plan *migrationPlan) place(job *jobs.Job) bool {
	for i := range plan.hosts {
		room := &plan.hosts[i]
		if job.Need.Fits(room.free) && Allowed(job, room.machine, plan.snap.Zone) && job.ZoneAllows(room.machine.Zone) {
			room.free = room.free.Minus(job.Need)
			return true
		}
	}
	return false
}

// placeTasksOf finds room elsewhere for the tasks of a machine. It returns the tasks, the longest
// expected remaining run time among them, and whether all of them can move.
func (plan *migrationPlan) placeTasksOf(
	machine *workers.Machine,
) (tasks []*workers.Placement, longest time.Duration, all bool) {
	for _, task := range machine.Tasks {
		job := plan.snap.Jobs.ByIndex(task.Ref.Job)
		left := RemainingTime(plan.snap.Now, job, task)
		if !plan.mayMove(job, task, left) || !plan.place(job) {
			return tasks, longest, false
		}
		longest = max(longest, left)
		tasks = append(tasks, task)
	}
	return tasks, longest, true
}

// mayMove reports whether a task with the expected remaining run time left may be moved at all.
func (plan *migrationPlan) mayMove(job *jobs.Job, task *workers.Placement, left time.Duration) bool {
	return restartable(job, task) &&
		!job.HasZoneRule() &&
		job.Record.Checkpoint > 0 &&
		job.SavedRunTime[task.Ref.Task] <= 0 &&
		plan.snap.Now-task.RunningSince >= minRuntimeToMigrate &&
		left >= migrationTime &&
		!plan.teamWaits[job.Team]
}

// worthEmptying reports whether the unused room of a machine would cost at least as much until the
// last of its tasks ends as moving the tasks does.
func worthEmptying(machine *workers.Machine, longest time.Duration) bool {
	used := machine.Capacity.CPU - machine.Free.CPU
	saved := float64(machine.Free.CPU) * (longest - migrationTime).Seconds()
	lost := float64(used) * 2 * migrationTime.Seconds()
	return saved >= lost
}
