package pools

import (
	"math"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
)

// recount recomputes the units in use of all pools.
func (d *Component) recount(now time.Duration) {
	d.resetUsage()
	unresolved := d.listUnresolved()
	d.countJobs(unresolved)
	d.countOrphans()
	d.countLosses(now)
}

// resetUsage clears the counts and keeps the reservations.
func (d *Component) resetUsage() {
	for _, p := range d.pools {
		p.usage = usage{reservedFor: p.reservedFor}
		p.uncertain, p.lost, p.waiting = 0, 0, 0
		for _, t := range p.teams {
			*t = usage{reservedFor: t.reservedFor}
		}
	}
}

// listUnresolved returns the unresolved machines, and sets allocationBlocked if one of them blocks all
// allocation. An unresolved machine may have tasks of an earlier term that the leader does not know of.
func (d *Component) listUnresolved() (unresolved []*workers.Machine) {
	d.allocationBlocked = false
	count, _ := d.Unresolved()
	if count == 0 {
		return nil
	}
	for _, m := range d.Inventory.All() {
		if !m.Unresolved() {
			continue
		}
		unresolved = append(unresolved, m)
		// The machine may have tasks of a cancelled job whose requirements are not known any
		// more, or no grants are recorded for it.
		d.allocationBlocked = d.allocationBlocked || m.ClaimedByAnyTeam || m.Number == 0
	}
	return unresolved
}

// countJobs counts the units that jobs have in use, or may have on machines that have not reported
// in this term.
func (d *Component) countJobs(unresolved []*workers.Machine) {
	var uncertain []*holder
	for _, h := range d.holders {
		if d.countJob(h, unresolved) > 0 {
			uncertain = append(uncertain, h)
		}
	}
	if len(uncertain) > 1 {
		d.capUncertain(uncertain, unresolved)
	}
}

func (d *Component) countOrphans() {
	for _, s := range d.orphans {
		for _, r := range s.requirements {
			d.pools[r.pool].addInUse(noTeam, r.units)
		}
		d.allocationBlocked = d.allocationBlocked || s.unknownRequirements
	}
}

func (d *Component) countLosses(now time.Duration) {
	at := d.wallClockMS(now)
	for _, l := range d.losses {
		if l.Until <= at {
			continue
		}
		team, ok := d.Teams.Lookup(l.Team)
		if !ok {
			team = noTeam
		}
		p := d.pool(l.Pool)
		p.addInUse(team, l.Units)
		p.lost += l.Units
	}
}

// capUncertain limits the uncertain units to what all machines that have not reported can hold
// together, since each job was counted as if it had all of them to itself. The tasks on a machine
// fit its processors, so they hold no more units than if all processors were used by the job that
// needs the most units per processor.
func (d *Component) capUncertain(uncertain []*holder, unresolved []*workers.Machine) {
	most := map[int32]float64{}
	for _, m := range unresolved {
		for pool, units := range maxUnitsOn(m, uncertain) {
			most[pool] += units
		}
	}
	perJob := map[int32]int64{} // per-job units, which are not limited
	for _, h := range uncertain {
		for _, r := range h.requirements {
			if r.perJob && !h.holdsJobUnits {
				perJob[r.pool] += r.units
			}
		}
	}
	for i, p := range d.pools {
		excess := p.uncertain - perJob[int32(i)] - int64(math.Ceil(most[int32(i)]))
		if excess > 0 {
			p.uncertain -= excess
			p.inUse -= excess
		}
	}
}

// maxUnitsOn returns, for each pool, the most units that tasks of any one of the jobs can hold on a
// machine.
func maxUnitsOn(m *workers.Machine, holders []*holder) map[int32]float64 {
	most := map[int32]float64{}
	for _, h := range holders {
		if !m.MayHaveTasksOf(h.job.Record.ID) {
			continue
		}
		for _, r := range h.requirements {
			if r.perJob {
				continue
			}
			units := float64(r.units * int64(scheduler.TasksThatFit(h.job.Need, m.Capacity)))
			if h.job.Need.CPU > 0 {
				units = float64(r.units) * float64(m.Capacity.CPU) / float64(h.job.Need.CPU)
			}
			most[r.pool] = max(most[r.pool], units)
		}
	}
	return most
}

// countJob counts the units of a job, and returns how many tasks of it may run on machines that have
// not reported in this term.
func (d *Component) countJob(h *holder, unresolved []*workers.Machine) int64 {
	j := h.job
	unreported := int64(d.unreportedTasks(j, unresolved))
	h.holdsJobUnits = j.Placed > 0 || ((h.started || j.Finished > 0) && j.Finished < len(j.Tasks))
	for _, r := range h.requirements {
		p := d.pools[r.pool]
		switch {
		case !r.perJob:
			p.addInUse(j.Team, r.units*(int64(j.Placed)+unreported))
			p.uncertain += r.units * unreported
			if j.Phase == jobs.Open {
				p.waiting += r.units * int64(j.Waiting)
			}
		case h.holdsJobUnits:
			p.addInUse(j.Team, r.units)
			p.addHeldByJob(j.Team, r.units)
		case unreported > 0:
			p.addInUse(j.Team, r.units)
			p.uncertain += r.units
		case j.Phase == jobs.Open && j.Waiting > 0:
			p.waiting += r.units
		}
		if !r.perJob && h.needsJobUnits && h.holdsJobUnits {
			p.raiseLargestStart(j.Team, r.units*tasksPerStart(j))
		}
	}
	return unreported
}

// unreportedTasks returns the maximum number of tasks of a job that may run on machines that have not
// reported in this term.
func (d *Component) unreportedTasks(j *jobs.Job, unresolved []*workers.Machine) int {
	if len(unresolved) == 0 || !d.MayRunUnreported(j) {
		return 0
	}
	tasks, room := countPossiblyRunning(j), 0
	for _, m := range unresolved {
		if room >= tasks {
			break
		}
		if m.MayHaveTasksOf(j.Record.ID) {
			room += scheduler.TasksThatFit(j.Need, m.Capacity)
		}
	}
	return min(tasks, room)
}

// countPossiblyRunning returns how many tasks of a job have no placement and may have been started in an
// earlier term.
func countPossiblyRunning(j *jobs.Job) int {
	list := j.Tasks
	if j.Record.Kind != jobs.Gang && !j.HasZoneRule() {
		list = list[:min(j.UnassignedFrom, len(list))]
	}
	n := 0
	for _, s := range list {
		if s == jobs.Waiting {
			n++
		}
	}
	return n
}
