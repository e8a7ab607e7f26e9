package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"cmp"
	"slices"
)

// reserveFor keeps the room of machines for a job that fits nowhere now: of those
// that would fit it the ones with most room already, as many as its waiting
// tasks fill and its team may use. For a job bound to one zone they are of
// one zone; for a gang nothing is held unless all of it would fit, for then
// waiting would bring nothing.
func (p *Scheduler) reserveFor(w *Snapshot, j *jobs.Job) bool {
	var fit []*workers.Machine
	slots := map[int32]int{}
	total := 0
	for _, m := range w.Inventory.All() {
		if m.Usable(w.Now, w.SuspectAfter) && w.couldHost(j, m) {
			fit = append(fit, m)
			n := TasksThatFit(j.Need, m.Cap)
			slots[m.Zone] += n
			total += n
		}
	}
	slices.SortFunc(fit, func(a, b *workers.Machine) int { return cmp.Compare(b.Free.CPU, a.Free.CPU) })
	if j.Record.OneZone && len(fit) > 0 {
		zone := fit[0].Zone
		for _, m := range fit {
			if slots[m.Zone] > slots[zone] {
				zone = m.Zone
			}
		}
		total = slots[zone]
		fit = slices.DeleteFunc(fit, func(m *workers.Machine) bool { return m.Zone != zone })
	}
	want := 0
	for n := j.Waiting; want < n && p.Within(j.Team, j.Need.Times(want+1), w.unresolvedUseOf(j.Team)); want++ {
	}
	if j.Record.Kind == jobs.Gang && (want < j.Waiting || total < j.Waiting) {
		return false
	}
	held := false
	for _, m := range fit {
		if want <= 0 {
			break
		}
		m.Reserved, held = true, true
		want -= TasksThatFit(j.Need, m.Cap)
	}
	return held
}
