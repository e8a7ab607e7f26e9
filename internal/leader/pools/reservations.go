package pools

import (
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
)

// BeginCycle begins a scheduling cycle. list has the jobs that could start a task if they had
// units and room, in their order. The next units of a pool are reserved for the first of
// them that needs some: others may get ahead of it only where they leave so many. Jobs
// that hold something as a whole come first, so that they get on and give it back.
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

// setCandidates puts the jobs that hold something as a whole before the others.
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

// reserve reserves the next units of a pool, and of its team's share, for a job if they
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

// fitsTeamShare reports whether a job wants more units and its team's share lets it have
// them.
func (d *Component) fitsTeamShare(h *holder, r requirement) bool {
	p := d.pools[r.pool]
	t := p.teams[h.job.Team]
	return h.wantsMore(r) && (t == nil || t.inUse+h.nextUnits(r) <= p.shares[h.job.Team])
}

// refreshReservations settles again for whom the next units of a pool and of a team's
// share of it are reserved: the job that had them reserved may have got all that it could
// have in this cycle.
func (d *Component) refreshReservations(r requirement, team int32) {
	p := d.pools[r.pool]
	if !stillEntitled(p.reservedFor, r.pool, d.fitsTeamShare) {
		p.reservedFor = d.firstEntitled(r.pool, d.fitsTeamShare)
	}
	ofTeam := func(h *holder, r requirement) bool { return h.job.Team == team && h.wantsMore(r) }
	if t := p.teams[team]; t != nil && !stillEntitled(t.reservedFor, r.pool, ofTeam) {
		t.reservedFor = d.firstEntitled(r.pool, ofTeam)
	}
}

// stillEntitled reports whether a job is entitled to a reservation by one of its
// requirements of the pool. Nobody (nil) is: a reservation begins with the cycle only.
func stillEntitled(h *holder, pool int32, entitled func(*holder, requirement) bool) bool {
	return h == nil || slices.ContainsFunc(h.requirements, func(r requirement) bool {
		return r.pool == pool && entitled(h, r)
	})
}

// firstEntitled is the first candidate that is entitled to a reservation; nil: none.
func (d *Component) firstEntitled(pool int32, entitled func(*holder, requirement) bool) *holder {
	for _, h := range d.candidates {
		if stillEntitled(h, pool, entitled) {
			return h
		}
	}
	return nil
}
