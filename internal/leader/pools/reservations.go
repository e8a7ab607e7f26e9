package pools

import (
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
)

// BeginCycle begins a scheduling cycle. list has the jobs that could start a task if they had
// units and room, in their order. The next units of a pool are reserved for the first job that
// needs some: others may start before it only if they leave that many. Jobs that hold per-job
// units come first, so that they can continue and release them.
func (d *Component) BeginCycle(now time.Duration, list []*jobs.Job) {
	d.recount(now)
	for _, p := range d.pools {
		p.reservedFor = nil
		for _, t := range p.teams {
			t.reservedFor = nil
		}
	}
	d.setCandidates(list)
	for _, h := range d.candidates {
		for _, r := range h.requirements {
			d.reserve(h, r)
		}
	}
}

// setCandidates sets the candidates, with the jobs that hold per-job units before the others.
func (d *Component) setCandidates(list []*jobs.Job) {
	d.candidates = d.candidates[:0]
	for _, holdsJobUnits := range []bool{true, false} {
		for _, j := range list {
			h := d.byJob[j.Index]
			if h != nil && (h.needsJobUnits && h.holdsJobUnits) == holdsJobUnits {
				d.candidates = append(d.candidates, h)
			}
		}
	}
}

// reserve reserves the next units of a pool, and of the share of the job's team, for a job if they
// are not reserved yet.
func (d *Component) reserve(h *holder, r requirement) {
	p := d.pools[r.pool]
	if t := p.teams[h.job.Team]; t != nil && t.reservedFor == nil && h.wantsMore(r) {
		t.reservedFor = h
	}
	if p.reservedFor == nil && d.fitsTeamShare(h, r) {
		p.reservedFor = h
	}
}

// fitsTeamShare reports whether a job needs more units and they fit into its team's share.
func (d *Component) fitsTeamShare(h *holder, r requirement) bool {
	p := d.pools[r.pool]
	t := p.teams[h.job.Team]
	return h.wantsMore(r) && (t == nil || t.inUse+h.nextUnits(r) <= p.shares[h.job.Team])
}

// refreshReservations reassigns the reservations of a pool and of a team's share of it whose jobs
// are not entitled to them any more: such a job may have got all units that it can have in this
// cycle.
func (d *Component) refreshReservations(r requirement, team int32) {
	p := d.pools[r.pool]
	if !isEntitled(p.reservedFor, r.pool, d.fitsTeamShare) {
		p.reservedFor = d.firstEntitled(r.pool, d.fitsTeamShare)
	}
	ofTeam := func(h *holder, r requirement) bool { return h.job.Team == team && h.wantsMore(r) }
	if t := p.teams[team]; t != nil && !isEntitled(t.reservedFor, r.pool, ofTeam) {
		t.reservedFor = d.firstEntitled(r.pool, ofTeam)
	}
}

// isEntitled reports whether a job is entitled to a reservation by one of its requirements of
// the pool. It is true for nil: a pool that has no reservation when the cycle begins gets none later.
func isEntitled(h *holder, pool int32, entitled func(*holder, requirement) bool) bool {
	return h == nil || slices.ContainsFunc(h.requirements, func(r requirement) bool {
		return r.pool == pool && entitled(h, r)
	})
}

// firstEntitled returns the first candidate that is entitled to a reservation, or nil.
func (d *Component) firstEntitled(pool int32, entitled func(*holder, requirement) bool) *holder {
	for _, h := range d.candidates {
		if isEntitled(h, pool, entitled) {
			return h
		}
	}
	return nil
}
