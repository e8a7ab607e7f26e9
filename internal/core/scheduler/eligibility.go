package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// Allowed reports whether a job's tasks may, and should, be on a machine: its user
// permits the machine, and the leader prefers it for the job. zones gives the index
// of a zone by its name.
func Allowed(job *jobs.Job, machine *workers.Machine, zones func(string) int32) bool {
	return (!machine.Spot || job.UseSpot) && permittedByUser(job, machine, zones)
}

// permittedByUser reports whether a job's tasks may be on a machine by what its user
// has asked for: type of machine, spot instance or not, zone.
func permittedByUser(job *jobs.Job, machine *workers.Machine, zones func(string) int32) bool {
	if job.AllowedTypes != nil && (int(machine.Type) >= len(job.AllowedTypes) || !job.AllowedTypes[machine.Type]) {
		return false
	}
	if machine.Spot && !job.Record.Spot {
		return false
	}
	return job.Record.Zone == "" || zones(job.Record.Zone) == machine.Zone
}

// couldHost reports whether one more task of a job could be on a machine if that
// were empty.
func (snap *Snapshot) couldHost(job *jobs.Job, machine *workers.Machine) bool {
	return !snap.keptForAccelerators(job, machine) &&
		job.Need.Fits(machine.Capacity) &&
		Allowed(job, machine, snap.Zone) &&
		job.ZoneAllows(machine.Zone)
}

// mayUse reports whether the free room of a machine is open to a job: not where it is
// reserved for another, or kept for tasks that need the machine's accelerators. A starved
// job may use whatever its user permits.
func (snap *Snapshot) mayUse(job *jobs.Job, machine *workers.Machine) bool {
	if snap.starvedOnly {
		return permittedByUser(job, machine, snap.Zone)
	}
	return !machine.Reserved &&
		Allowed(job, machine, snap.Zone) &&
		(!snap.keptForAccelerators(job, machine) || snap.mayLend(job, machine))
}

// ready reports whether a job's tasks may start at all now: it is open, and the pause
// after failed tries is over.
func (s *Scheduler) ready(snap *Snapshot, job *jobs.Job) bool {
	return job.Phase == jobs.Open && snap.Now >= job.NotBefore
}

// withinLimit reports whether a job's team may use what that many more of the job's
// tasks need.
func (s *Scheduler) withinLimit(snap *Snapshot, job *jobs.Job, tasks int) bool {
	return s.TeamMayUse(job.Team, job.Need.Times(tasks), snap.unresolvedUseOf(job.Team))
}
