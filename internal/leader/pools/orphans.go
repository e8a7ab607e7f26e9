package pools

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// orphanedUnits are the units of a machine's orphans: task attempts that it reports and that have no
// placement there.
type orphanedUnits struct {
	requirements        []requirement
	unknownRequirements bool // the requirements of an orphan are not known
}

// recordOrphans records the units of the tasks in a heartbeat that have no placement on the machine.
func (d *Component) recordOrphans(m *workers.Machine, r *workers.Report) {
	if len(d.holders) == 0 && len(d.cancelledRequirements) == 0 && d.orphans[m] == nil {
		return
	}
	found := d.findOrphans(m, r)
	hasOrphans := len(found.requirements) > 0 || found.unknownRequirements
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
			requirements, known := d.cancelledRequirements[t.Job]
			found.requirements = append(found.requirements, requirements...)
			found.unknownRequirements = found.unknownRequirements || (!known && d.mayHaveNeededUnits(t.Job))
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

// mayHaveNeededUnits reports whether a job that is not in the job table may have needed units: its log
// entry may have been removed by compaction.
func (d *Component) mayHaveNeededUnits(id uint64) bool {
	phase, over := d.Jobs.FinalPhase(id)
	return !over || phase == jobs.Cancelled
}
