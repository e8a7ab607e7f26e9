package pools

import (
	"fmt"
	"maps"
	"slices"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
)

// AllowsStart reports whether the pools have the units to start n more tasks of a job.
func (d *Component) AllowsStart(j *jobs.Job, n int) bool {
	_, ok := d.blockingRequirement(j, int64(n))
	return ok
}

// noPool is the pool index of a requirement that belongs to no pool.
const noPool = -1

// blockingRequirement returns the first requirement that prevents a job from starting the given
// number of tasks, and false, or true if there is none. The pool of the requirement is noPool if
// no unit of any pool can be allocated to the job.
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

// admits reports whether units may be allocated to a job, given the limit on units in use and the
// units that are reserved for another job.
func (u *usage) admits(h *holder, r requirement, units, limit int64) bool {
	reserved := u.reservedForOther(h, r.pool)
	if u.inUse+units+reserved.nextStart > limit {
		return false
	}
	if !h.needsJobUnits || h.holdsJobUnits {
		return true
	}
	// A job that needs per-job units may start only if the limit covers the per-job units of
	// all such jobs plus the largest single start of any of them. Then none of them ever
	// waits for units that another one keeps.
	heldByJobs, largestStart := reserved.heldByJobs, reserved.largestStart
	for _, own := range h.requirements {
		if own.pool != r.pool {
			continue
		}
		if own.perJob {
			heldByJobs += own.units
		} else {
			largestStart = max(largestStart, own.units*tasksPerStart(h.job))
		}
	}
	return heldByJobs+largestStart <= limit
}

// reservation is the part of a pool that has to stay available for the job that has its next units reserved.
type reservation struct {
	nextStart    int64 // units that its next start needs
	heldByJobs   int64 // usage.heldByJobs once that job has its units
	largestStart int64 // usage.largestStart once that job has its units
}

// reservedForOther returns what must be left of a pool for the job that has the next units
// reserved, if that is another job than h.
func (u *usage) reservedForOther(h *holder, pool int32) reservation {
	out := reservation{heldByJobs: u.heldByJobs, largestStart: u.largestStart}
	owner := u.reservedFor
	if owner == nil || owner == h {
		return out
	}
	for _, r := range owner.requirements {
		if r.pool != pool {
			continue
		}
		out.nextStart += owner.nextUnits(r)
		if r.perJob && !owner.holdsJobUnits {
			out.heldByJobs += r.units
		} else if !r.perJob && owner.needsJobUnits {
			out.largestStart = max(out.largestStart, r.units*tasksPerStart(owner.job))
		}
	}
	if h.needsJobUnits && h.holdsJobUnits && (!owner.needsJobUnits || !owner.holdsJobUnits) {
		// h holds per-job units and must be able to continue, so that it releases them to others.
		out.nextStart, out.heldByJobs = 0, u.heldByJobs
	}
	return out
}

// TaskPlaced counts the units of a task that was placed on a machine.
func (d *Component) TaskPlaced(j *jobs.Job) { d.adjustInUse(j, 1) }

// TaskRemoved reverses TaskPlaced for a task whose plan was dropped in the same scheduling cycle.
func (d *Component) TaskRemoved(j *jobs.Job) { d.adjustInUse(j, -1) }

// adjustInUse adds the units of one task of a job (delta is 1) or subtracts them (delta is -1).
func (d *Component) adjustInUse(j *jobs.Job, delta int64) {
	h := d.byJob[j.Index]
	if h == nil {
		return
	}
	begins := delta > 0 && !h.holdsJobUnits
	ends := delta < 0 && j.Placed == 0 && !h.started && j.Finished == 0
	for _, r := range h.requirements {
		p := d.pools[r.pool]
		switch {
		case !r.perJob:
			p.addInUse(j.Team, delta*r.units)
			if begins && h.needsJobUnits {
				p.raiseLargestStart(j.Team, r.units*tasksPerStart(j))
			}
		case begins, ends:
			p.addInUse(j.Team, delta*r.units)
			p.addHeldByJob(j.Team, delta*r.units)
		}
	}
	h.holdsJobUnits = (h.holdsJobUnits || begins) && !ends
}

// StartableTasks returns how many more tasks of a job can start with the units that are left.
// Machines rented for more tasks would be idle.
func (d *Component) StartableTasks(j *jobs.Job) int {
	h := d.byJob[j.Index]
	if h == nil || h.unknownPool != "" || !d.store.loaded {
		return 0
	}
	startable := j.Waiting
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
			startable = min(startable, int(max(0, left)/r.units))
		case !h.holdsJobUnits && left < r.units:
			return 0
		}
	}
	return startable
}

// UnsatisfiableReason returns why a job can never get the units that it needs, or an empty string.
func (d *Component) UnsatisfiableReason(record *eventlog.Job) string {
	needed, unknownPool := d.neededAtOnce(record)
	if unknownPool != "" {
		return fmt.Sprintf("counted: no such pool: %s", unknownPool)
	}
	team, _ := d.Teams.Lookup(record.Team)
	for _, i := range slices.Sorted(maps.Keys(needed)) {
		p := d.pools[i]
		limit, limitSource := max(p.size, p.pendingSize), "it has"
		if record.Priority < urgentPriority {
			limit -= int64(p.conf.Reserve)
			limitSource = "others than urgent jobs may have of it"
		}
		if share, ok := p.shares[team]; ok && share < limit {
			limit, limitSource = share, "its team may have of it"
		}
		if needed[i] > limit {
			return fmt.Sprintf("counted: %d units of %s are needed at once, more than the %d that %s",
				needed[i], p.name, max(0, limit), limitSource)
		}
	}
	return ""
}

// neededAtOnce returns how many units of each pool a job needs for one start, including its
// per-job units, or the name of the first pool that is not in the settings.
func (d *Component) neededAtOnce(record *eventlog.Job) (needed map[int32]int64, unknownPool string) {
	needed = map[int32]int64{}
	tasks := int64(1)
	if record.Kind == jobs.Gang {
		tasks = int64(record.Tasks)
	}
	for _, c := range record.Counted {
		i, ok := d.byName[c.Pool]
		if !ok || !d.pools[i].inSettings {
			return nil, c.Pool
		}
		units := int64(c.Units)
		if !c.PerJob {
			units *= tasks
		}
		needed[i] += units
	}
	return needed, ""
}
