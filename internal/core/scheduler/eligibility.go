package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// Allowed reports whether a machine may be given tasks of a job: its user's request must permit the
// machine, and the machine must not be a spot instance while the leader keeps the job off spot
// instances (UseSpot). zones returns the index of a zone by its name.
func Allowed(job *jobs.Job, machine *workers.Machine, zones func(string) int32) bool {
	return (!machine.Spot || job.UseSpot) && permittedByUser(job, machine, zones)
}

// permittedByUser reports whether a machine meets the request of a job's user: machine type, spot
// instance or not, and zone.
func permittedByUser(job *jobs.Job, machine *workers.Machine, zones func(string) int32) bool {
	if job.AllowedTypes != nil && (int(machine.Type) >= len(job.AllowedTypes) || !job.AllowedTypes[machine.Type]) {
		return false
	}
	if machine.Spot && !job.Record.Spot {
		return false
	}
	return job.Record.Zone == "" || zones(job.Record.Zone) == machine.Zone
}

// couldHost reports whether one more task of a job could be placed on a machine if the machine
// were empty.
func (snap *Snapshot) couldHost(job *jobs.Job, machine *workers.Machine) bool {
	return !snap.keptForAccelerators(job, machine) &&
		job.Need.Fits(machine.Capacity) &&
		Allowed(job, machine, snap.Zone) &&
		job.ZoneAllows(machine.Zone)
}

// mayUse reports whether a job may use the free room of a machine. It may not if the room is
// reserved for another job, or kept for tasks that need the machine's accelerators. A starved job
// may use any machine that its user permits.
func (snap *Snapshot) mayUse(job *jobs.Job, machine *workers.Machine) bool {
	if snap.starvedOnly {
		return permittedByUser(job, machine, snap.Zone)
	}
	return !machine.Reserved &&
		Allowed(job, machine, snap.Zone) &&
		(!snap.keptForAccelerators(job, machine) || snap.mayLendPlace(job, machine))
}

// ready reports whether a job's tasks may start now: the job is open, and the backoff after failed
// attempts is over.
func (s *Scheduler) ready(snap *Snapshot, job *jobs.Job) bool {
	return job.Phase == jobs.Open && snap.Now >= job.NotBefore
}

// withinLimit reports whether a job's team stays within its limit with so many more of the job's
// tasks.
func (s *Scheduler) withinLimit(snap *Snapshot, job *jobs.Job, tasks int) bool {
	return s.TeamMayUse(job.Team, job.Need.Times(tasks), snap.UnresolvedUseOf(job.Team))
}
