package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"slices"
)

// refusal is a need that found no machine in this pass. Room only shrinks
// while a pass goes on, so whatever needs as much of the same machines, or of
// fewer, finds none either.
type refusal struct {
	need  resources.Amounts
	spot  bool
	types []bool
	zone  string
}

func (r *refusal) covers(j *jobs.Job, spot bool) bool {
	return r.need.Fits(j.Need) && (r.spot || !spot) && (r.types == nil || slices.Equal(r.types, j.Types)) && (r.zone == "" || r.zone == j.Record.Zone)
}

// refused says whether a job's need has found no machine already.
func (p *Scheduler) refused(j *jobs.Job) bool {
	for i := range p.refusals {
		if p.refusals[i].covers(j, j.Spot) {
			return true
		}
	}
	return false
}
