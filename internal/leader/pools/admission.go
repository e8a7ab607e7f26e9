package pools

import (
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
)

// Pass begins a pass of the planner. list has the jobs that could start a task if
// they had units and room, in their order. The first of them that needs a pool has
// its next units kept for it: others may pass it only where they leave so much.
// Jobs that hold something as a whole come first, so that they get on and give it
// back.
func (d *Component) Pass(now time.Duration, list []*jobs.Job) {
	d.recount(now)
	for _, p := range d.pools {
		p.reservedFor = nil
		for _, t := range p.teams {
			t.reservedFor = nil
		}
	}
	d.candidates = d.candidates[:0]
	for _, first := range []bool{true, false} {
		for _, j := range list {
			if h := d.byJob[j.Index]; h != nil && (h.needsJobUnits && h.holdsJobUnits) == first {
				d.candidates = append(d.candidates, h)
			}
		}
	}
	for _, h := range d.candidates {
		for _, n := range h.requirements {
			p := d.pools[n.pool]
			if t := p.teams[h.job.Team]; t != nil && t.reservedFor == nil && h.wantsMore(n) {
				t.reservedFor = h
			}
			if p.reservedFor == nil && d.fitsTeamShare(h, n) {
				p.reservedFor = h
			}
		}
	}
}

// wantsMore says whether a job still needs units of a pool to start a task.
func (h *holder) wantsMore(n requirement) bool { return h.job.Waiting > 0 && h.nextUnits(n) > 0 }

// fitsTeamShare says whether it wants some and its team's share lets it have them.
func (d *Component) fitsTeamShare(h *holder, n requirement) bool {
	p := d.pools[n.pool]
	t := p.teams[h.job.Team]
	return h.wantsMore(n) && (t == nil || t.inUse+h.nextUnits(n) <= p.shares[h.job.Team])
}

// refreshReservations settles again who is first for a pool: who was may have got all that it
// could have in this pass.
func (d *Component) refreshReservations(n requirement, team int32) {
	p := d.pools[n.pool]
	still := func(h *holder, could func(*holder, requirement) bool) bool {
		return h == nil || slices.ContainsFunc(h.requirements, func(x requirement) bool { return x.pool == n.pool && could(h, x) })
	}
	find := func(could func(*holder, requirement) bool) *holder {
		for _, h := range d.candidates {
			if still(h, could) {
				return h
			}
		}
		return nil
	}
	if !still(p.reservedFor, d.fitsTeamShare) {
		p.reservedFor = find(d.fitsTeamShare)
	}
	ofTeam := func(h *holder, x requirement) bool { return h.job.Team == team && h.wantsMore(x) }
	if t := p.teams[team]; t != nil && !still(t.reservedFor, ofTeam) {
		t.reservedFor = find(ofTeam)
	}
}

// nextUnits is what a job needs of a pool to start the next of its tasks.
func (h *holder) nextUnits(n requirement) int64 {
	switch {
	case !n.perJob && h.job.Record.Kind == jobs.Gang:
		return n.units * int64(h.job.Waiting)
	case n.perJob && h.holdsJobUnits:
		return 0
	}
	return n.units
}

// limitFor is how many units of a pool may be out for a job to start.
func (p *pool) limitFor(j *jobs.Job) int64 {
	if j.Priority >= urgentPriority {
		return p.size
	}
	return p.size - int64(p.conf.Reserve)
}

// Allows says whether so many more tasks of a job may start.
func (d *Component) Allows(j *jobs.Job, n int) bool {
	_, ok := d.blockingRequirement(j, int64(n))
	return ok
}

// blockingRequirement finds the need that keeps a job from starting tasks.
func (d *Component) blockingRequirement(j *jobs.Job, n int64) (requirement, bool) {
	h := d.byJob[j.Index]
	if h == nil || h.unknownPool != "" || !d.store.loaded || d.allocationBlocked {
		return requirement{pool: -1}, false
	}
	for _, x := range h.requirements {
		if n, ok := x, d.allowsRequirement(h, x, n); !ok {
			return n, false
		}
	}
	return requirement{}, true
}

func (d *Component) allowsRequirement(h *holder, x requirement, n int64) bool {
	p, j := d.pools[x.pool], h.job
	units := x.units
	switch {
	case !x.perJob:
		units *= n
	case h.holdsJobUnits:
		return true
	}
	if p.drained || (p.conf.HoldAfterLossS > 0 && d.lossesNotDurable()) {
		return false
	}
	d.refreshReservations(x, j.Team)
	if !p.usage.admits(h, x, units, p.limitFor(j)) {
		return false
	}
	t := p.teams[j.Team]
	return t == nil || t.admits(h, x, units, p.shares[j.Team])
}

// admits says whether units may go out to a job.
func (t *usage) admits(h *holder, x requirement, units, most int64) bool {
	kept, held, task := int64(0), t.heldByJobs, t.largestTask
	if c := t.reservedFor; c != nil && c != h {
		for _, n := range c.requirements {
			if n.pool != x.pool {
				continue
			}
			kept += c.nextUnits(n)
			if n.perJob && !c.holdsJobUnits {
				held += n.units
			} else if !n.perJob && c.needsJobUnits {
				task = max(task, n.units*startedTogether(c.job))
			}
		}
		if h.needsJobUnits && h.holdsJobUnits && (!c.needsJobUnits || !c.holdsJobUnits) {
			kept, held = 0, t.heldByJobs // it must get on for the others to get anything
		}
	}
	if t.inUse+units+kept > most {
		return false
	}
	if !h.needsJobUnits || h.holdsJobUnits {
		return true
	}
	// A job that will hold units as a whole may begin only if, with those that all
	// such jobs hold, the largest start of any of them can still come about: then
	// none of them ever waits for what another one keeps.
	for _, n := range h.requirements {
		if n.pool != x.pool {
			continue
		}
		if n.perJob {
			held += n.units
		} else {
			task = max(task, n.units*startedTogether(h.job))
		}
	}
	return held+task <= most
}

// TaskPlaced counts a task that was given room.
func (d *Component) TaskPlaced(j *jobs.Job) { d.adjustInUse(j, 1) }

// TaskRemoved takes that back.
func (d *Component) TaskRemoved(j *jobs.Job) { d.adjustInUse(j, -1) }

func (d *Component) adjustInUse(j *jobs.Job, by int64) {
	h := d.byJob[j.Index]
	if h == nil {
		return
	}
	begins := by > 0 && !h.holdsJobUnits
	ends := by < 0 && j.Placed == 0 && !h.started && j.Finished == 0
	for _, n := range h.requirements {
		p := d.pools[n.pool]
		switch {
		case !n.perJob:
			p.addInUse(j.Team, by*n.units)
			if begins && h.needsJobUnits {
				p.raiseLargestTask(j.Team, n.units*startedTogether(j))
			}
		case begins, ends:
			p.addInUse(j.Team, by*n.units)
			p.addHeldByJob(j.Team, by*n.units)
		}
	}
	h.holdsJobUnits = (h.holdsJobUnits || begins) && !ends
}

// Most is how many more tasks of a job the units that are left would let start:
// machines for more would stand idle.
func (d *Component) Most(j *jobs.Job) int {
	h := d.byJob[j.Index]
	if h == nil || h.unknownPool != "" || !d.store.loaded {
		return 0
	}
	most := j.Waiting
	for _, n := range h.requirements {
		p := d.pools[n.pool]
		if p.drained {
			return 0
		}
		left := p.limitFor(j) - p.inUse
		if t := p.teams[j.Team]; t != nil {
			left = min(left, p.shares[j.Team]-t.inUse)
		}
		switch {
		case !n.perJob:
			most = min(most, int(max(0, left)/n.units))
		case !h.holdsJobUnits && left < n.units:
			return 0
		}
	}
	return most
}

// Never says why a job could never have the units that it asks for, or nothing.
func (d *Component) Never(rec *eventlog.Job) string {
	type sum struct{ task, job int64 }
	sums := map[int32]*sum{}
	team, _ := d.Teams.Lookup(rec.Team)
	each := int64(1)
	if rec.Kind == jobs.Gang {
		each = int64(rec.Tasks)
	}
	for _, c := range rec.Counted {
		i, ok := d.byName[c.Pool]
		if !ok || !d.pools[i].known {
			return fmt.Sprintf("counted: no such pool: %s", c.Pool)
		}
		s := sums[i]
		if s == nil {
			s = &sum{}
			sums[i] = s
		}
		if c.PerJob {
			s.job += int64(c.Units)
		} else {
			s.task += int64(c.Units) * each
		}
	}
	for _, i := range sortedKeys(sums) {
		p, s := d.pools[i], sums[i]
		most, what := max(p.size, p.pendingSize), "it has"
		if rec.Priority < urgentPriority {
			most -= int64(p.conf.Reserve)
			what = "others than urgent jobs may have of it"
		}
		if share, ok := p.shares[team]; ok && share < most {
			most, what = share, "its team may have of it"
		}
		if s.task+s.job > most {
			return fmt.Sprintf("counted: %d units of %s are needed at once, more than the %d that %s", s.task+s.job, p.name, max(0, most), what)
		}
	}
	return ""
}

func sortedKeys[V any](m map[int32]V) []int32 {
	out := make([]int32, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
