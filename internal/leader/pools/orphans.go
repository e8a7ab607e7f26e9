package pools

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// orphanedUnits are the units of a machine's orphans: tasks that it reports and that no
// placement stands for.
type orphanedUnits struct {
	requirements []requirement
	unknown      bool // what one of them needs is not known
}

// noteOrphans notes the tasks that a heartbeat reports beside those that count as being
// on the machine.
func (d *Component) noteOrphans(m *workers.Machine, r *workers.Report) {
	if len(d.holders) == 0 && len(d.cancelledNeeds) == 0 && d.orphans[m] == nil {
		return
	}
	found := d.findOrphans(m, r)
	hasOrphans := len(found.requirements) > 0 || found.unknown
	if d.orphans[m] == nil && !hasOrphans {
		return
	}
	d.NeedsCycle = true
	if hasOrphans {
		d.orphans[m] = &found
	} else {
		delete(d.orphans, m)
	}
}

func (d *Component) findOrphans(m *workers.Machine, r *workers.Report) (found orphanedUnits) {
	for _, t := range r.Tasks {
		if t.State == workers.Ended {
			continue
		}
		j := d.Jobs.ByID(t.Job)
		if j == nil {
			requirements, known := d.cancelledNeeds[t.Job]
			found.requirements = append(found.requirements, requirements...)
			found.unknown = found.unknown || (!known && d.mayHaveNeeded(t.Job))
			continue
		}
		h := d.byJob[j.Index]
		if h == nil {
			continue
		}
		if !m.IsCurrentAttempt(workers.TaskRef{Job: j.Index, Task: int32(t.Task)}, t.Attempt) {
			found.requirements = append(found.requirements, h.requirements...)
		}
	}
	return found
}

// mayHaveNeeded reports whether a job that is in no table may have needed units: its
// entry may have been compacted away.
func (d *Component) mayHaveNeeded(id uint64) bool {
	phase, over := d.Jobs.FinalPhase(id)
	return !over || phase == jobs.Cancelled
}
