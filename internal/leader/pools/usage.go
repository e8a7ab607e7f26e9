package pools

import (
	"math"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
)

// orphanedUnits are tasks that a machine shows and that no placement stands for.
type orphanedUnits struct {
	requirements []requirement
	unknown      bool // what one of them needs is not known
}

// noteOrphans notes the tasks that a report shows beside those that count as being there.
func (d *Component) noteOrphans(m *workers.Machine, r *workers.Report) {
	if len(d.holders) == 0 && len(d.cancelledNeeds) == 0 && d.orphans[m] == nil {
		return
	}
	var s orphanedUnits
	for _, t := range r.Tasks {
		if t.State == workers.Ended {
			continue
		}
		j := d.Jobs.Find(t.Job)
		if j == nil {
			list, known := d.cancelledNeeds[t.Job]
			s.requirements = append(s.requirements, list...)
			s.unknown = s.unknown || (!known && d.mayHaveNeeded(t.Job))
			continue
		}
		h := d.byJob[j.Index]
		if h == nil {
			continue
		}
		if !m.IsCurrentAttempt(workers.Ref{Job: j.Index, Task: int32(t.Task)}, t.Attempt) {
			s.requirements = append(s.requirements, h.requirements...)
		}
	}
	if before := d.orphans[m] != nil; before || len(s.requirements) > 0 || s.unknown {
		d.NeedsCycle = true
		if len(s.requirements) == 0 && !s.unknown {
			delete(d.orphans, m)
		} else {
			d.orphans[m] = &s
		}
	}
}

// mayHaveNeeded says whether a job that is in no table may have needed units: its entry
// may have been cleaned away.
func (d *Component) mayHaveNeeded(id uint64) bool {
	p, over := d.Jobs.Final(id)
	return !over || p == jobs.Cancelled
}

// recount finds out what is out.
func (d *Component) recount(now time.Duration) {
	for _, p := range d.pools {
		p.usage, p.uncertain, p.lost, p.waiting = usage{reservedFor: p.reservedFor}, 0, 0, 0
		for _, t := range p.teams {
			*t = usage{reservedFor: t.reservedFor}
		}
	}
	unresolved, _ := d.Unresolved()
	d.allocationBlocked = false
	var unheard []*workers.Machine
	if unresolved > 0 {
		for _, m := range d.Inventory.All() {
			if m.Unresolved() {
				unheard = append(unheard, m)
				// A cancelled job whose needs are not known any more may be there, or
				// no grants were noted at all.
				d.allocationBlocked = d.allocationBlocked || m.ClaimedByAnyTeam || m.Number == 0
			}
		}
	}
	var perhaps []*holder // with tasks that may be on those
	for _, h := range d.holders {
		if d.countJob(h, unheard) > 0 {
			perhaps = append(perhaps, h)
		}
	}
	if len(perhaps) > 1 {
		d.capUncertain(perhaps, unheard)
	}
	for _, s := range d.orphans {
		for _, n := range s.requirements {
			d.pools[n.pool].addInUse(-1, n.units)
		}
		d.allocationBlocked = d.allocationBlocked || s.unknown
	}
	at := d.wallClockMS(now)
	for _, l := range d.losses {
		if l.Until > at {
			team, ok := d.Teams.Lookup(l.Team)
			if !ok {
				team = -1
			}
			p := d.pool(l.Pool)
			p.addInUse(team, l.Units)
			p.lost += l.Units
		}
	}
}

// addInUse counts units as out; team -1 is nobody's.
func (p *pool) addInUse(team int32, units int64) {
	p.inUse += units
	if t := p.teams[team]; t != nil {
		t.inUse += units
	}
}

// addHeldByJob counts units as held by a job as a whole, which are out too.
func (p *pool) addHeldByJob(team int32, units int64) {
	p.heldByJobs += units
	if t := p.teams[team]; t != nil {
		t.heldByJobs += units
	}
}

// raiseLargestTask counts what a task needs of a job that holds units as a whole.
func (p *pool) raiseLargestTask(team int32, units int64) {
	p.largestTask = max(p.largestTask, units)
	if t := p.teams[team]; t != nil {
		t.largestTask = max(t.largestTask, units)
	}
}

// capUncertain takes back what counts as out perhaps beyond what the machines that were
// not heard could hold all together: each job was counted as if it had them for itself.
// What runs on a machine fits its processors, so it holds no more units than if all of
// them went to the job that needs most units for a processor.
func (d *Component) capUncertain(perhaps []*holder, unheard []*workers.Machine) {
	most := map[int32]float64{}
	for _, m := range unheard {
		here := map[int32]float64{}
		for _, h := range perhaps {
			if !m.MayHaveTasksOf(h.job.Record.ID) {
				continue
			}
			for _, n := range h.requirements {
				if n.perJob {
					continue
				}
				units := float64(n.units * int64(scheduler.TasksThatFit(h.job.Need, m.Cap)))
				if h.job.Need.CPU > 0 {
					units = float64(n.units) * float64(m.Cap.CPU) / float64(h.job.Need.CPU)
				}
				here[n.pool] = max(here[n.pool], units)
			}
		}
		for pool, units := range here {
			most[pool] += units
		}
	}
	whole := map[int32]int64{} // for jobs as a whole: these stay
	for _, h := range perhaps {
		for _, n := range h.requirements {
			if n.perJob && !h.holdsJobUnits {
				whole[n.pool] += n.units
			}
		}
	}
	for i, p := range d.pools {
		if over := p.uncertain - whole[int32(i)] - int64(math.Ceil(most[int32(i)])); over > 0 {
			p.uncertain -= over
			p.inUse -= over
		}
	}
}

// countJob counts a job, and says how many tasks of it run perhaps unseen.
func (d *Component) countJob(h *holder, unheard []*workers.Machine) int64 {
	j := h.job
	unseen := int64(d.unseenTasks(j, unheard))
	h.holdsJobUnits = j.Placed > 0 || ((h.started || j.Finished > 0) && j.Finished < len(j.Tasks))
	for _, n := range h.requirements {
		p := d.pools[n.pool]
		switch {
		case !n.perJob:
			p.addInUse(j.Team, n.units*(int64(j.Placed)+unseen))
			p.uncertain += n.units * unseen
			if j.Phase == jobs.Open {
				p.waiting += n.units * int64(j.Waiting)
			}
		case h.holdsJobUnits:
			p.addInUse(j.Team, n.units)
			p.addHeldByJob(j.Team, n.units)
		case unseen > 0:
			p.addInUse(j.Team, n.units)
			p.uncertain += n.units
		case j.Phase == jobs.Open && j.Waiting > 0:
			p.waiting += n.units
		}
		if !n.perJob && h.needsJobUnits && h.holdsJobUnits {
			p.raiseLargestTask(j.Team, n.units*startedTogether(j))
		}
	}
	return unseen
}

// startedTogether is how many of a job's tasks start together.
func startedTogether(j *jobs.Job) int64 {
	if j.Record.Kind == jobs.Gang {
		return int64(len(j.Tasks))
	}
	return 1
}

// unseenTasks is how many tasks of a job at most run on machines that have not reported
// in this term.
func (d *Component) unseenTasks(j *jobs.Job, unheard []*workers.Machine) int {
	if len(unheard) == 0 || !d.MayRunUnseen(j) {
		return 0
	}
	n, room := mayBeRunning(j), 0
	for _, m := range unheard {
		if room >= n {
			break
		}
		if m.MayHaveTasksOf(j.Record.ID) {
			room += scheduler.TasksThatFit(j.Need, m.Cap)
		}
	}
	return min(n, room)
}

// mayBeRunning is how many tasks of a job have no place and may have been started by an
// earlier term.
func mayBeRunning(j *jobs.Job) int {
	list := j.Tasks
	if j.Record.Kind != jobs.Gang && !j.ZoneRule() {
		list = list[:min(j.FreshFrom, len(list))]
	}
	n := 0
	for _, s := range list {
		if s == jobs.Waiting {
			n++
		}
	}
	return n
}
