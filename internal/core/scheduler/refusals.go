package scheduler

import (
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
)

// refusal is a need for which no machine was found in this cycle. Free room only shrinks during a
// cycle, so a task that needs at least as much and may use the same machines or fewer finds none
// either.
type refusal struct {
	need  resources.Amounts
	spot  bool   // spot instances were tried too
	types []bool // the machine types that were tried; nil: all
	zone  string // the zone that was tried; empty: all
}

// covers reports whether the refusal implies that there is no machine for a job either. spot
// reports whether the job may use spot instances.
func (r *refusal) covers(job *jobs.Job, spot bool) bool {
	return r.need.Fits(job.Need) &&
		(r.spot || !spot) &&
		(r.types == nil || slices.Equal(r.types, job.AllowedTypes)) &&
		(r.zone == "" || r.zone == job.Record.Zone)
}

// refused reports whether a refusal in this cycle implies that there is no machine for a job.
func (s *Scheduler) refused(job *jobs.Job) bool {
	for i := range s.refusals {
		if s.refusals[i].covers(job, job.UseSpot) {
			return true
		}
	}
	return false
}
