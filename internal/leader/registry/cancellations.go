package registry

import (
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
)

// evaluateCancellation decides to delete a machine that delays the end of a cancellation: its
// deletion proves that the tasks are gone. This requires a valid lease, without which the leader
// could not report the end to the user.
func (c *Component) evaluateCancellation(check failureCheck, m *workers.Machine) verdict {
	mayHaveTask := func(j *jobs.Job) bool { return c.mayHaveTaskOn(j, m) }
	mayRepeatStart := func(j *jobs.Job) bool { return c.FirstSessionStarts[j.Index][m] }
	silent := check.now-c.lastHeard(m) > c.SuspectAfter()
	switch {
	case slices.ContainsFunc(check.lateCancellations, mayHaveTask):
		return verdict{cluster.Delete, "a cancelled job's task not proved gone"}
	case slices.ContainsFunc(check.lateCancellations, mayRepeatStart),
		c.awaitedByCancellation(check.cancellations, m) && c.hasNoOtherTasks(m):
		return verdict{cluster.Delete, "a cancelled job's start may be repeated"}
	case !check.mostSilent && silent && c.hasOnlyCancelledTasks(m):
		return verdict{cluster.Delete, "silent, with nothing but cancelled jobs' tasks"}
	}
	return verdict{}
}

// awaitedByCancellation reports whether one of these jobs, which are being cancelled, waits for the deletion of a
// machine: a start of it was sent there directly in the worker's first session, so that a late copy of the start
// would be carried out after a restart of the machine.
func (c *Component) awaitedByCancellation(cancelled []*jobs.Job, m *workers.Machine) bool {
	return slices.ContainsFunc(cancelled, func(j *jobs.Job) bool { return c.FirstSessionStarts[j.Index][m] })
}

// mayHaveTaskOn reports whether a job may have a task on a machine, that is, whether the
// opposite is not proved.
func (c *Component) mayHaveTaskOn(j *jobs.Job, m *workers.Machine) bool {
	if m.Unresolved() {
		return c.MayRunUnreported(j) && m.MayHaveTasksOf(j.Record.ID)
	}
	for _, p := range m.Tasks {
		if p.Ref.Job == j.Index && !p.Planned {
			return true
		}
	}
	return slices.ContainsFunc(c.RestartsOn(m), func(p *workers.Placement) bool { return p.Ref.Job == j.Index })
}

// hasOnlyCancelledTasks reports whether all tasks that count as being on a machine belong to
// jobs that are being cancelled. Deleting such a machine loses no work, and users wait for the
// end of the cancellations.
func (c *Component) hasOnlyCancelledTasks(m *workers.Machine) bool {
	return len(m.Tasks) > 0 && c.hasNoOtherTasks(m)
}

// hasNoOtherTasks reports whether no tasks but those of jobs that are being cancelled count as being on a machine,
// or may be on it.
func (c *Component) hasNoOtherTasks(m *workers.Machine) bool {
	if m.Unresolved() {
		return false
	}
	for _, p := range m.Tasks {
		if c.Jobs.ByIndex(p.Ref.Job).Phase != jobs.Cancelling {
			return false
		}
	}
	return true
}
