package blocks

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/amounts"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/workers"
)

const (
	preemptAfter = time.Second     // a job waits at least this long before others are stopped for it
	preemptPause = 5 * time.Second // between two rounds for one job: stopping takes time
	littleLost   = 5 * time.Second // a task without checkpoints that has run for less may be stopped
	victimsMost  = 8               // at once for one job
)

// Preempt returns the tasks to be stopped so that jobs get room which the
// rules let them have at others' cost: a job of higher priority, and one
// within its team's guarantee at the cost of teams beyond theirs. Only tasks
// that save their progress, or have hardly begun, are stopped; gangs and
// services never are.
func (p *Planner) Preempt(w World) []*workers.Placement {
	var out []*workers.Placement
	for _, i := range p.Order(w) {
		j := w.Jobs.At(i)
		if j.Waiting == 0 || j.Rec.Kind == jobs.Gang || !p.ready(w, j) || !p.Within(j.Team, j.Need, w.Unresolved) ||
			w.Now-j.AcceptedAt < preemptAfter || (j.PreemptedAt > 0 && w.Now-j.PreemptedAt < preemptPause) {
			continue
		}
		if victims := p.victims(w, j); len(victims) > 0 {
			j.PreemptedAt = w.Now
			out = append(out, victims...)
		}
	}
	return out
}

func (p *Planner) victims(w World, j *jobs.Job) []*workers.Placement {
	var list []*workers.Placement
	for _, m := range w.Yard.All() {
		if !m.Usable(w.Now, w.Quiet) || !Allowed(j, m, w.Zone) || !j.ZoneAllows(m.Zone) || !j.Need.Fits(m.Cap) {
			continue
		}
		if j.Need.Fits(m.Free) {
			return nil // there is room: it only has to be given
		}
		for _, v := range m.Tasks {
			if p.mayStop(w, j, v) {
				list = append(list, v)
			}
		}
	}
	loss := func(v *workers.Placement) time.Duration {
		if w.Jobs.At(v.Ref.Job).Rec.Checkpoint > 0 {
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
	freed := map[*workers.Machine]amounts.Amounts{}
	chosen := map[*workers.Machine][]*workers.Placement{}
	var out []*workers.Placement
	got := 0
	for _, v := range list {
		m := v.Home
		freed[m] = freed[m].Plus(v.Need)
		chosen[m] = append(chosen[m], v)
		if n := Slots(j.Need, m.Free.Plus(freed[m])); n > 0 {
			got += n
			out = append(out, chosen[m]...)
			chosen[m], freed[m] = nil, amounts.Amounts{}.Minus(m.Free) // counted: the rest adds from nothing
		}
		if got >= j.Waiting || len(out) >= victimsMost {
			break
		}
	}
	return out
}

// mayStop says whether a task may be stopped to make room for a job.
func (p *Planner) mayStop(w World, j *jobs.Job, v *workers.Placement) bool {
	if v.Planned || v.Stopping || !v.Seen || v.State != workers.Running {
		return false
	}
	o := w.Jobs.At(v.Ref.Job)
	if o.Rec.Kind != jobs.Array || o.Phase != jobs.Open {
		return false
	}
	if o.Rec.Checkpoint == 0 && w.Now-v.RanAt > littleLost {
		return false
	}
	if p.rank(w, j.Index) <= p.rank(w, o.Index) {
		return false // the room would go back to the task that was stopped
	}
	if o.Rec.Priority < j.Rec.Priority && !o.Guaranteed {
		return true
	}
	if !j.Guaranteed || o.Team == j.Team || int(o.Team) >= len(p.Guarantees) {
		return false
	}
	g, u := p.Guarantees[o.Team], p.use[o.Team].Minus(o.Need)
	return u.CPU >= g.CPU && u.GPU >= g.GPU
}
