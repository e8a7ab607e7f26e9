package scheduler

import (
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
)

// refusal is a need that found no machine in this cycle. Free room only shrinks
// during a cycle, so a task that needs as much of the same machines, or of
// fewer, finds none either.
type refusal struct {
	need  resources.Amounts
	spot  bool   // spot instances were tried too
	types []bool // types of machines that were tried; nil: all
	zone  string // the zone that was tried; empty: all
}

// covers reports whether a job that may use spot instances or not can find no machine
// since the refused need found none.
func (r *refusal) covers(job *jobs.Job, spot bool) bool {
	return r.need.Fits(job.Need) &&
		(r.spot || !spot) &&
		(r.types == nil || slices.Equal(r.types, job.AllowedTypes)) &&
		(r.zone == "" || r.zone == job.Record.Zone)
}

// refused reports whether a job's need has found no machine in this cycle already.
func (s *Scheduler) refused(job *jobs.Job) bool {
	for i := range s.refusals {
		if s.refusals[i].covers(job, job.UseSpot) {
			return true
		}
	}
	return false
}
