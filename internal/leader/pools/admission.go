package pools

import (
	"fmt"
	"maps"
	"slices"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
)

// Allows reports whether so many more tasks of a job may start.
func (d *Component) Allows(j *jobs.Job, n int) bool {
	_, ok := d.blockingRequirement(j, int64(n))
	return ok
}

// noPool is the pool of a requirement that stands for none.
const noPool = -1

// blockingRequirement returns the first requirement that keeps a job from starting so
// many tasks, and false; or true: nothing does. It is of no pool where no unit of any is
// allocated.
func (d *Component) blockingRequirement(j *jobs.Job, tasks int64) (requirement, bool) {
	h := d.byJob[j.Index]
	if h == nil || h.unknownPool != "" || !d.store.loaded || d.allocationBlocked {
		return requirement{pool: noPool}, false
	}
	for _, r := range h.requirements {
		if !d.allowsRequirement(h, r, tasks) {
			return r, false
		}
	}
	return requirement{}, true
}

func (d *Component) allowsRequirement(h *holder, r requirement, tasks int64) bool {
	p, j := d.pools[r.pool], h.job
	units := r.units
	switch {
	case !r.perJob:
		units *= tasks
	case h.holdsJobUnits:
		return true
	}
	if p.drained || (p.conf.HoldAfterLossS > 0 && d.lossesNotDurable()) {
		return false
	}
	d.refreshReservations(r, j.Team)
	if !p.admits(h, r, units, p.limitFor(j)) {
		return false
	}
	t := p.teams[j.Team]
	return t == nil || t.admits(h, r, units, p.shares[j.Team])
}

// admits reports whether units may be allocated to a job, with at most so many in use.
func (u *usage) admits(h *holder, r requirement, units, limit int64) bool {
	reserved := u.reservationBefore(h, r.pool)
	if u.inUse+units+reserved.next > limit {
		return false
	}
	if !h.needsJobUnits || h.holdsJobUnits {
		return true
	}
	// A job that will hold units as a whole may begin only if, with those that all such
	// jobs hold, the largest start of any of them can still come about: then none of them
	// ever waits for what another one keeps.
	heldByJobs, largestTask := reserved.heldByJobs, reserved.largestTask
	for _, own := range h.requirements {
		if own.pool != r.pool {
			continue
		}
		if own.perJob {
			heldByJobs += own.units
		} else {
			largestTask = max(largestTask, own.units*startedTogether(h.job))
		}
	}
	return heldByJobs+largestTask <= limit
}

// reservation is what another job's reservation asks for.
type reservation struct {
	next        int64 // units that its next start needs
	heldByJobs  int64 // as in usage, once it has them
	largestTask int64 // as in usage, once it has them
}

// reservationBefore is what must be left of a pool for the job that has the next units
// reserved, if that is another one.
func (u *usage) reservationBefore(h *holder, pool int32) reservation {
	out := reservation{heldByJobs: u.heldByJobs, largestTask: u.largestTask}
	first := u.reservedFor
	if first == nil || first == h {
		return out
	}
	for _, r := range first.requirements {
		if r.pool != pool {
			continue
		}
		out.next += first.nextUnits(r)
		if r.perJob && !first.holdsJobUnits {
			out.heldByJobs += r.units
		} else if !r.perJob && first.needsJobUnits {
			out.largestTask = max(out.largestTask, r.units*startedTogether(first.job))
		}
	}
	if h.needsJobUnits && h.holdsJobUnits && (!first.needsJobUnits || !first.holdsJobUnits) {
		// It must get on for the others to get anything.
		out.next, out.heldByJobs = 0, u.heldByJobs
	}
	return out
}

// TaskPlaced counts a task that was given room on a machine.
func (d *Component) TaskPlaced(j *jobs.Job) { d.adjustInUse(j, 1) }

// TaskRemoved takes TaskPlaced back.
func (d *Component) TaskRemoved(j *jobs.Job) { d.adjustInUse(j, -1) }

// adjustInUse counts a task more (1) or less (-1).
func (d *Component) adjustInUse(j *jobs.Job, by int64) {
	h := d.byJob[j.Index]
	if h == nil {
		return
	}
	begins := by > 0 && !h.holdsJobUnits
	ends := by < 0 && j.Placed == 0 && !h.started && j.Finished == 0
	for _, r := range h.requirements {
		p := d.pools[r.pool]
		switch {
		case !r.perJob:
			p.addInUse(j.Team, by*r.units)
			if begins && h.needsJobUnits {
				p.raiseLargestTask(j.Team, r.units*startedTogether(j))
			}
		case begins, ends:
			p.addInUse(j.Team, by*r.units)
			p.addHeldByJob(j.Team, by*r.units)
		}
	}
	h.holdsJobUnits = (h.holdsJobUnits || begins) && !ends
}

// StartableTasks is how many more tasks of a job the units that are left would let start: machines
// for more would stand idle.
func (d *Component) StartableTasks(j *jobs.Job) int {
	h := d.byJob[j.Index]
	if h == nil || h.unknownPool != "" || !d.store.loaded {
		return 0
	}
	most := j.Waiting
	for _, r := range h.requirements {
		p := d.pools[r.pool]
		if p.drained {
			return 0
		}
		left := p.limitFor(j) - p.inUse
		if t := p.teams[j.Team]; t != nil {
			left = min(left, p.shares[j.Team]-t.inUse)
		}
		switch {
		case !r.perJob:
			most = min(most, int(max(0, left)/r.units))
		case !h.holdsJobUnits && left < r.units:
			return 0
		}
	}
	return most
}

// Unsatisfiable says why a job could never have the units that it asks for, or nothing.
func (d *Component) Unsatisfiable(record *eventlog.Job) string {
	needed, unknownPool := d.neededAtOnce(record)
	if unknownPool != "" {
		return fmt.Sprintf("counted: no such pool: %s", unknownPool)
	}
	team, _ := d.Teams.Lookup(record.Team)
	for _, i := range slices.Sorted(maps.Keys(needed)) {
		p := d.pools[i]
		limit, whose := max(p.size, p.pendingSize), "it has"
		if record.Priority < urgentPriority {
			limit -= int64(p.conf.Reserve)
			whose = "others than urgent jobs may have of it"
		}
		if share, ok := p.shares[team]; ok && share < limit {
			limit, whose = share, "its team may have of it"
		}
		if needed[i] > limit {
			return fmt.Sprintf("counted: %d units of %s are needed at once, more than the %d that %s",
				needed[i], p.name, max(0, limit), whose)
		}
	}
	return ""
}

// neededAtOnce is what a job needs of each pool for one start, and as a whole; or the
// first pool that there is not.
func (d *Component) neededAtOnce(record *eventlog.Job) (needed map[int32]int64, unknownPool string) {
	needed = map[int32]int64{}
	together := int64(1)
	if record.Kind == jobs.Gang {
		together = int64(record.Tasks)
	}
	for _, c := range record.Counted {
		i, ok := d.byName[c.Pool]
		if !ok || !d.pools[i].known {
			return nil, c.Pool
		}
		units := int64(c.Units)
		if !c.PerJob {
			units *= together
		}
		needed[i] += units
	}
	return needed, ""
}
