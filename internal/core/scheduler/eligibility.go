package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// Allowed says whether a job's tasks may, and should, be on a machine.
func Allowed(j *jobs.Job, m *workers.Machine, zones func(string) int32) bool {
	return (!m.Spot || j.Spot) && permittedByUser(j, m, zones)
}

// permittedByUser says whether a job's tasks may be on a machine by what its user has said.
func permittedByUser(j *jobs.Job, m *workers.Machine, zones func(string) int32) bool {
	if j.Types != nil && (int(m.Type) >= len(j.Types) || !j.Types[m.Type]) {
		return false
	}
	if m.Spot && !j.Record.Spot {
		return false
	}
	return j.Record.Zone == "" || zones(j.Record.Zone) == m.Zone
}

// couldHost says whether one more task of a job could be on a machine if that
// were free.
func (w *Snapshot) couldHost(j *jobs.Job, m *workers.Machine) bool {
	return !w.keptForAccelerators(j, m) && j.Need.Fits(m.Cap) && Allowed(j, m, w.Zone) && j.ZoneAllows(m.Zone)
}

// mayUse says whether room on a machine is for a job: not where it is held for another, or
// kept for tasks that need its accelerators.
func (w *Snapshot) mayUse(j *jobs.Job, m *workers.Machine) bool {
	if w.starvedOnly {
		return permittedByUser(j, m, w.Zone)
	}
	return !m.Reserved && Allowed(j, m, w.Zone) && (!w.keptForAccelerators(j, m) || w.mayLend(j, m))
}

func (p *Scheduler) ready(w *Snapshot, j *jobs.Job) bool {
	return j.Phase == jobs.Open && w.Now >= j.NotBefore
}
