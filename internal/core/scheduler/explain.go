package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"time"
)

// Explain says in plain words what a job's waiting tasks wait for.
func (p *Scheduler) Explain(w Snapshot, j *jobs.Job) []string {
	if j.Waiting == 0 {
		return nil
	}
	var out []string
	if w.Now < j.NotBefore {
		out = append(out, "its tasks failed wherever they were: the next try is in "+(j.NotBefore-w.Now).Round(time.Second).String())
	}
	if w.mayRunUnseen(j) {
		out = append(out, "a leader before this one may have started its tasks on machines that have not reported yet")
	}
	if !p.Within(j.Team, j.Need, w.unresolvedUseOf(j.Team)) {
		out = append(out, "its team is at its limit")
	}
	if len(j.Record.Counted) > 0 {
		if w.Pools == nil {
			out = append(out, "it needs counted units, and the leader has no pools in its settings")
		} else if why := w.Pools.Why(j); why != "" {
			out = append(out, why)
		}
	}
	fits, free := false, false
	for _, m := range w.Inventory.All() {
		if w.couldHost(j, m) && m.Usable(w.Now, w.SuspectAfter) {
			fits = true
			free = free || j.Need.Fits(m.Free)
		}
	}
	switch {
	case !fits:
		out = append(out, "no machine that it may use is up")
	case !free:
		out = append(out, "no machine that it may use has room; it gets the next that comes free in its order")
	}
	if j.StarvedSince > 0 {
		left := max(0, starvationLimit-(w.Now-j.StarvedSince)).Round(time.Second)
		out = append(out, "room that it may have is held or kept for others: if that lasts, it gets it in "+left.String()+" (exception left_waiting)")
	}
	switch r := p.rank(&w, j.Index); {
	case j.Record.Kind == jobs.Service:
	case p.overdue(&w, j):
		out = append(out, "none of its tasks has begun for long: it goes ahead of all but urgent jobs (exception begin_within)")
	case r == servedFloorRank, r == servedFloorFirstRank:
		out = append(out, "it goes ahead of others: less than the floor of its class or team would be served in time otherwise (exception served_floor)")
	case r > servedFloorRank:
		out = append(out, "it is urgent and goes ahead of the size order (exception urgent_first)")
	case j.Guaranteed:
		out = append(out, "it fits into its team's guarantee and goes ahead of the size order (exception guarantee_first)")
	case r == 1:
		out = append(out, "it has waited for much of its class's aim and goes ahead of the size order (exception wait_lead)")
	case r < 0:
		out = append(out, "it goes behind the size order for now: best-effort work, or all its aims are missed already (exceptions low_lead, lost_behind)")
	}
	return out
}
