package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"time"
)

// placeTask places one task on the best machine, if there is one.
func (p *Scheduler) placeTask(w *Snapshot, j *jobs.Job, k int, machines []*workers.Machine) bool {
	p.placementDelayed = false
	if !p.ready(w, j) || !p.Within(j.Team, j.Need, w.unresolvedUseOf(j.Team)) || (!w.starvedOnly && p.refused(j)) || !w.unitsAllow(j, 1) {
		return false
	}
	var best *workers.Machine
	var bestScore int64
	paces := w.MayStart != nil && j.Record.Kind == jobs.Array // gangs start as a whole, services first of all
	for _, m := range machines {
		if !j.Need.Fits(m.Free) || !j.ZoneAllows(m.Zone) || !w.mayUse(j, m) {
			continue
		}
		if paces && !w.MayStart(j, m) {
			p.placementDelayed = true
			continue
		}
		// The earliest start, then the tightest fit: a second of fetching
		// weighs as much as ten processors left over.
		score := m.Free.CPU - j.Need.CPU
		if w.keptForAccelerators(j, m) {
			score += 1e5 // only where nothing else is
		}
		if !m.HasImage(j.Image) {
			score += int64(1e4 * j.Record.ImageGB / m.FetchGBPS)
		}
		if p.Affinity > 0 && j.HomeZone != 0 && j.HomeZone != m.Zone+1 {
			score += int64(1e4 * p.Affinity)
		}
		if best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	if best == nil {
		if !w.starvedOnly && !j.ZoneRule() && !p.exhaustive && !p.placementDelayed { // there may be room that is only not given yet
			p.refusals = append(p.refusals, refusal{j.Need, j.Spot, j.Types, j.Record.Zone})
		}
		return false
	}
	if !w.starvedOnly && j.Prompt && j.Record.Kind == jobs.Service && !best.HasImage(j.Image) && p.waitsForImage(w, j, best) {
		p.placementDelayed = true
		return false
	}
	if w.localityOnly && j.Record.Kind == jobs.Array && !best.HasImage(j.Image) {
		if j.DelayedSince == 0 {
			j.DelayedSince = w.Now
		}
		if w.Now-j.DelayedSince < p.Locality {
			return false
		}
	} else if best.HasImage(j.Image) {
		j.DelayedSince = 0
	}
	p.Charge(j.Team, j.Need)
	if j.HomeZone == 0 {
		j.HomeZone = best.Zone + 1
	}
	if w.keptForAccelerators(j, best) {
		w.recordLent(j, best)
	}
	w.Place(j, k, best)
	return true
}

// promptPatience is how long it waits at most.
const promptImageWait = 400 * time.Millisecond

// waitsForImage says whether a replica that should start within a moment leaves room on a
// machine that would have to fetch its image first: for a fraction of the fetch, and not
// for long. On a full cluster the next room comes free sooner, and often where the image is.
func (p *Scheduler) waitsForImage(w *Snapshot, j *jobs.Job, m *workers.Machine) bool {
	if j.DelayedSince == 0 {
		j.DelayedSince = w.Now
	}
	return p.Locality > 0 && w.Now-j.DelayedSince < min(promptImageWait, time.Duration(j.Record.ImageGB/m.FetchGBPS/4*float64(time.Second)))
}

// TasksThatFit is how many tasks fit into room.
func TasksThatFit(need, room resources.Amounts) int {
	n := int64(1 << 30)
	for _, d := range [][2]int64{{need.CPU, room.CPU}, {need.GPU, room.GPU}, {need.Mem, room.Mem}} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return int(n)
}
