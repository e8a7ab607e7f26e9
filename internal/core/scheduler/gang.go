package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"slices"
)

// placeGang places all waiting tasks of a gang or none. While the gang still
// gathers, lost tasks are replaced under the attempt it has.
func (p *Scheduler) placeGang(w *Snapshot, j *jobs.Job, machines []*workers.Machine) bool {
	if j.GangFailed || (j.GangBegan && j.Placed > 0) || !p.Within(j.Team, j.Need.Times(j.Waiting), w.unresolvedUseOf(j.Team)) || !w.unitsAllow(j, j.Waiting) {
		return false
	}
	if j.Record.OneZone && j.Placed == 0 {
		// The zone is open yet: the one of the machine that suits best need not
		// be one where all tasks fit.
		var tried []int32
		for _, m := range machines {
			if slices.Contains(tried, m.Zone) {
				continue
			}
			tried = append(tried, m.Zone)
			zone := m.Zone
			if p.placeAllOrNone(w, j, slices.DeleteFunc(slices.Clone(machines), func(m *workers.Machine) bool { return m.Zone != zone })) {
				return true
			}
			p.refusals = p.refusals[:0] // that was about one zone
		}
		return false
	}
	return p.placeAllOrNone(w, j, machines)
}

// placeAllOrNone places all waiting tasks of a job or none.
func (p *Scheduler) placeAllOrNone(w *Snapshot, j *jobs.Job, machines []*workers.Machine) bool {
	var placed []int
	for {
		k := w.nextTask(j)
		if k < 0 {
			return true
		}
		if !p.placeTask(w, j, k, machines) {
			break
		}
		placed = append(placed, k)
	}
	for _, k := range placed {
		w.Unplace(j, k)
		p.refusals = p.refusals[:0] // there is more room again
	}
	return false
}
