package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// RunCycle gives out all room that the order lets it give, and says how many jobs got some
// since they were left waiting.
func (p *Scheduler) RunCycle(w Snapshot) (left int) {
	p.refusals = p.refusals[:0]
	if w.AcceleratedNeed.GPU > 0 {
		w.lendablePlaces = w.countLendable()
	}
	order := p.JobOrder(&w)
	least, training := int64(-1), 0
	wants := func(j *jobs.Job) {
		if j.Waiting > 0 && (least < 0 || j.Need.CPU < least) {
			least = j.Need.CPU
		}
	}
	for _, j := range w.Jobs.All() {
		if j != nil && j.Record.Kind == jobs.Service {
			wants(j)
		}
	}
	for _, i := range order {
		j := w.Jobs.At(i)
		wants(j)
		if w.Estimator.InTraining(i) {
			for k := range j.Tasks {
				if !w.Estimator.Training(i, k) {
					break
				}
				if j.Tasks[k] == jobs.Placed {
					training++
				}
			}
		}
	}
	machines := make([]*workers.Machine, 0, 64)
	for _, m := range w.Inventory.All() {
		m.Reserved = false
		if least >= 0 && (p.exhaustive || m.Free.CPU >= least) && (m.Free.CPU > 0 || m.Free.GPU > 0) && m.Usable(w.Now, w.SuspectAfter) {
			machines = append(machines, m)
		}
	}
	if least < 0 {
		return 0
	}
	if w.Pools != nil {
		p.beginUnitCycle(&w, order)
	}
	p.placeServices(&w, machines)
	ahead, behind := 0, len(order)
	for ahead < len(order) && p.ranks[order[ahead]] > 0 {
		ahead++
	}
	for behind > 0 && p.ranks[order[behind-1]] < 0 {
		behind--
	}
	held := p.placeInOrder(&w, order[:ahead], machines, false)
	for _, i := range order[ahead:behind] {
		if training >= p.AtOnce {
			break
		}
		if !w.Estimator.InTraining(i) {
			continue
		}
		j := w.Jobs.At(i)
		for training < p.AtOnce {
			k := w.nextTask(j)
			if k < 0 || !w.Estimator.Training(i, k) || !p.placeTask(&w, j, k, machines) {
				break
			}
			training++
		}
	}
	if p.Locality > 0 {
		w.localityOnly = true
		held = p.placeInOrder(&w, order[ahead:], machines, held)
		w.localityOnly = false
	}
	p.placeInOrder(&w, order[ahead:], machines, held)
	return p.placeStarved(&w, least)
}

// placeServices get room first, outside the order.
func (p *Scheduler) placeServices(w *Snapshot, machines []*workers.Machine) {
	for _, j := range w.Jobs.All() {
		if j == nil || j.Record.Kind != jobs.Service {
			continue
		}
		for {
			k := w.nextTask(j)
			if k < 0 || !p.placeTask(w, j, k, machines) {
				break
			}
		}
	}
}

// placeInOrder gives room to the jobs in their order; room is held for the first
// that does not fit, unless it is held already.
func (p *Scheduler) placeInOrder(w *Snapshot, order []int32, machines []*workers.Machine, held bool) bool {
	for _, i := range order {
		j := w.Jobs.At(i)
		for {
			k := w.nextTask(j)
			if k < 0 {
				break
			}
			if j.Record.Kind == jobs.Gang {
				if p.placeGang(w, j, machines) {
					break
				}
			} else if p.placeTask(w, j, k, machines) {
				continue
			}
			// Room is held only for a job that has its units: what it waits for then is
			// the end of other tasks, and none of them waits for it.
			if !held && !w.localityOnly && !p.placementDelayed && p.ready(w, j) && !w.mayRunUnseen(j) && w.unitsAllow(j, j.GangSize()) && p.Within(j.Team, j.Need, w.unresolvedUseOf(j.Team)) {
				held = p.reserveFor(w, j)
			}
			break
		}
	}
	return held
}
