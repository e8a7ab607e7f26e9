package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"slices"
	"time"
)

// leftAfter is how long a task waits beside room that its job may have before it gets it,
// and leftEvery how often that is looked for.
const (
	starvationLimit         = 60 * time.Second
	starvationCheckInterval = time.Second
)

// placeStarved is the exception of that name: a job of which a task has waited for a minute
// while machines on which its user lets it be had room for it all the time, or for all of a
// gang, and its team was under its limit, gets that room, whatever it was held or kept for,
// whether we would rather have its tasks elsewhere, and whether the machine was to be
// returned. Room held for a first job that does not fit has no limit in time otherwise: found
// in a test with services on all machines, an urgent gang that fits none of them, and gangs
// that waited beside them for as long as the day was. least is what the smallest task that
// waits needs.
func (p *Scheduler) placeStarved(w *Snapshot, least int64) (given int) {
	if w.Now-p.starvationCheckedAt < starvationCheckInterval {
		return 0
	}
	p.starvationCheckedAt = w.Now
	var room []*workers.Machine
	for _, m := range w.Inventory.All() {
		if m.Free.CPU >= least && (m.Free.CPU > 0 || m.Free.GPU > 0) && m.Serves(w.Now, w.SuspectAfter) {
			room = append(room, m)
		}
	}
	var none []refusal // needs that found no room
	w.starvedOnly = true
	for _, j := range w.Jobs.All() {
		if j == nil || j.Waiting == 0 || !p.ready(w, j) || w.nextTask(j) < 0 || !p.Within(j.Team, j.Need.Times(j.GangSize()), w.unresolvedUseOf(j.Team)) || !w.unitsAllow(j, j.GangSize()) ||
			slices.ContainsFunc(none, func(r refusal) bool { return r.covers(j, j.Record.Spot) }) {
			if j != nil {
				j.StarvedSince = 0
			}
			continue
		}
		switch {
		case !w.hasRoom(j, room):
			j.StarvedSince = 0
			if j.Record.Kind != jobs.Gang && !j.ZoneRule() {
				none = append(none, refusal{j.Need, j.Record.Spot, j.Types, j.Record.Zone})
			}
		case j.StarvedSince == 0:
			j.StarvedSince = w.Now
		case w.Now-j.StarvedSince >= starvationLimit:
			if p.placeStarvedJob(w, j, room) {
				given++
			}
		}
	}
	w.starvedOnly = false
	return given
}

// placeStarvedJob gives a job that was left waiting what room there is for it, and says whether
// that was any.
func (p *Scheduler) placeStarvedJob(w *Snapshot, j *jobs.Job, room []*workers.Machine) bool {
	before := j.Placed
	if j.Record.Kind == jobs.Gang {
		p.placeGang(w, j, room)
	} else {
		for k := w.nextTask(j); k >= 0 && p.placeTask(w, j, k, room); k = w.nextTask(j) {
		}
	}
	if j.Placed == before {
		return false
	}
	j.StarvedSince = 0
	for _, m := range room {
		if m.Draining && m.HasPlans() {
			m.Draining, m.KeptUntil = false, w.Now+starvationLimit // the plan would be taken back else
		}
	}
	return true
}

// hasRoom says whether machines that a job may use have room for one more of its tasks, or
// for all of a gang.
func (w *Snapshot) hasRoom(j *jobs.Job, room []*workers.Machine) bool {
	need := j.GangSize()
	places := map[int32]int{}
	for _, m := range room {
		if !j.Need.Fits(m.Free) || !j.ZoneAllows(m.Zone) || !permittedByUser(j, m, w.Zone) {
			continue
		}
		if need == 1 {
			return true
		}
		places[m.Zone] += TasksThatFit(j.Need, m.Free)
	}
	all, most := 0, 0
	for z, n := range places {
		if j.Record.Spread {
			n = min(n, j.MostInZone()-j.Zones[z])
		}
		all, most = all+n, max(most, n)
	}
	if j.Record.OneZone {
		all = most
	}
	return all >= need && !j.GangFailed && (!j.GangBegan || j.Placed == 0)
}
