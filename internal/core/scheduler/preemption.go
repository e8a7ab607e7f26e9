package scheduler

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"cmp"
	"slices"
	"time"
)

const (
	minWaitToPreempt = time.Second     // a job waits at least this long before others are stopped for it
	preemptPause     = 5 * time.Second // between two rounds for one job: stopping takes time
	maxLostRuntime   = 5 * time.Second // a task without checkpoints that has run for less may be stopped
	maxVictims       = 8               // at once for one job
)

// Preempt returns the tasks to be stopped so that jobs get room which the
// rules let them have at others' cost: a job of higher priority, and one
// within its team's guarantee at the cost of teams beyond theirs. Only tasks
// that save their progress, or have hardly begun, are stopped; gangs and
// services never are.
func (p *Scheduler) Preempt(w Snapshot) []*workers.Placement {
	var out []*workers.Placement
	var pool []*workers.Placement
	order := p.JobOrder(&w)
	// The tasks are looked through only once a job is found that may have room at
	// others' cost. Until then the lowest rank of any job with tasks stands in for
	// that of those which may be stopped: it is no higher.
	lowest, pooled := int8(127), false
	for _, i := range order {
		if w.Jobs.At(i).Placed > 0 {
			lowest = min(lowest, p.ranks[i])
		}
	}
	for _, i := range order {
		if p.exhaustive && !pooled {
			pool, lowest = p.preemptible(&w)
			pooled = true
		}
		if p.ranks[i] <= lowest {
			break // nobody ranks below this job or those after it
		}
		j := w.Jobs.At(i)
		if j.Waiting == 0 || j.Record.Kind == jobs.Gang || !p.ready(&w, j) || w.mayRunUnseen(j) || !w.unitsAllow(j, 1) || !p.Within(j.Team, j.Need, w.unresolvedUseOf(j.Team)) ||
			w.Now-j.AcceptedAt < minWaitToPreempt || (j.PreemptedAt > 0 && w.Now-j.PreemptedAt < preemptPause) {
			continue
		}
		if !pooled {
			pool, lowest = p.preemptible(&w)
			if pooled = true; p.ranks[i] <= lowest {
				break
			}
		}
		if victims := p.chooseVictims(&w, j, pool); len(victims) > 0 {
			j.PreemptedAt = w.Now
			for _, v := range victims {
				if !slices.Contains(out, v) {
					out = append(out, v)
				}
			}
		}
	}
	return out
}

// preemptible lists the tasks that may be stopped for somebody, and the lowest rank
// of their jobs.
func (p *Scheduler) preemptible(w *Snapshot) (pool []*workers.Placement, lowest int8) {
	lowest = 127
	for _, m := range w.Inventory.All() {
		if !m.Usable(w.Now, w.SuspectAfter) {
			continue
		}
		for _, v := range m.Tasks {
			o := w.Jobs.At(v.Ref.Job)
			if !restartable(o, v) || o.Saved[v.Ref.Task] > 0 || (o.Record.Checkpoint == 0 && w.Now-v.RanAt > maxLostRuntime) {
				continue
			}
			pool = append(pool, v)
			lowest = min(lowest, p.ranks[v.Ref.Job])
		}
	}
	return pool, lowest
}

// restartable says whether a task runs that may be stopped and run again
// elsewhere: gangs and services never are.
func restartable(j *jobs.Job, t *workers.Placement) bool {
	return !t.Planned && !t.Stopping && t.Runs() && j.Record.Kind == jobs.Array && j.Phase == jobs.Open
}

func (p *Scheduler) chooseVictims(w *Snapshot, j *jobs.Job, pool []*workers.Placement) []*workers.Placement {
	for _, m := range w.Inventory.All() {
		if j.Need.Fits(m.Free) && m.Usable(w.Now, w.SuspectAfter) && w.couldHost(j, m) {
			return nil // there is room: it only has to be given
		}
	}
	var list []*workers.Placement
	for _, v := range pool {
		if !v.Stopping && w.couldHost(j, v.Machine) && p.mayPreempt(w, j, v) {
			list = append(list, v)
		}
	}
	loss := func(v *workers.Placement) time.Duration {
		if w.Jobs.At(v.Ref.Job).Record.Checkpoint > 0 {
			return 0
		}
		return w.Now - v.RanAt
	}
	slices.SortFunc(list, func(a, b *workers.Placement) int {
		if c := cmp.Compare(loss(a), loss(b)); c != 0 {
			return c
		}
		return cmp.Compare(a.Attempt, b.Attempt)
	})
	freed := map[*workers.Machine]resources.Amounts{}
	chosen := map[*workers.Machine][]*workers.Placement{}
	var out []*workers.Placement
	got := 0
	for _, v := range list {
		m := v.Machine
		freed[m] = freed[m].Plus(v.Need)
		chosen[m] = append(chosen[m], v)
		if n := TasksThatFit(j.Need, m.Free.Plus(freed[m])); n > 0 {
			got += n
			out = append(out, chosen[m]...)
			chosen[m], freed[m] = nil, resources.Amounts{}.Minus(m.Free) // counted: the rest adds from nothing
		}
		if got >= j.Waiting || len(out) >= maxVictims {
			break
		}
	}
	return out
}

// mayPreempt says whether a task of the pool may be stopped to make room for a
// job.
func (p *Scheduler) mayPreempt(w *Snapshot, j *jobs.Job, v *workers.Placement) bool {
	o := w.Jobs.At(v.Ref.Job)
	if p.ranks[j.Index] <= p.ranks[o.Index] {
		return false // the room would go back to the task that was stopped
	}
	if o.Priority < j.Priority && !o.Guaranteed {
		return true
	}
	if !j.Guaranteed || o.Team == j.Team || int(o.Team) >= len(p.Guarantees) {
		return false
	}
	g, u := p.Guarantees[o.Team], p.teamUse[o.Team].Minus(o.Need)
	return u.CPU >= g.CPU && u.GPU >= g.GPU
}
