package node

import (
	"slices"
	"time"

	"bitternmoor/internal/amounts"
	"bitternmoor/internal/blocks"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/wire"
)

// What users ask of the leader.

// submit takes a submission.
func (t *Term) submit(now time.Duration, to Asker, s wire.Submission) {
	if j := t.table.Find(s.ID); j != nil && j.Phase == jobs.Accepting {
		t.accepting[s.ID] = append(t.accepting[s.ID], to)
		return
	}
	if a, ok := t.state(s.ID); ok {
		t.emit(Reply{to, a})
		return
	}
	if s.Job == nil {
		t.emit(Reply{to, Answer{Status: 400, Why: s.Bad}})
		return
	}
	if len(t.types) == 0 {
		t.emit(Reply{to, unavailable("the machine types are not known yet")})
		return
	}
	if why := t.never(s.Job); why != "" {
		t.emit(Reply{to, Answer{Status: 422, Why: why}})
		return
	}
	if why, known := t.unfollowable(s.Job); !known {
		t.emit(Reply{to, unavailable(why)})
		return
	} else if why != "" {
		t.emit(Reply{to, Answer{Status: 422, Why: why}})
		return
	}
	s.Job.AtMS = t.zero + now.Milliseconds()
	if rec, _ := t.stored(*s.Job); !t.log.Fits(ledger.Entry{Job: &rec}) {
		t.emit(Reply{to, Answer{Status: 400, Why: "breeds and other names: too long to be stored"}})
		return
	}
	if t.log.Pending() > 2000 {
		t.emit(Reply{to, Answer{Status: 429, Why: "too much is waiting to be written", RetryAfter: 2}})
		return
	}
	j := t.enter(*s.Job, now)
	t.suit(j)
	t.accepting[s.ID] = append(t.accepting[s.ID], to)
	t.appendJob(j, tagAccept(s.ID))
}

// never says why a job can never run, or nothing.
func (t *Term) never(j *ledger.Job) string {
	team, ok := t.teams.Find(j.Team)
	if !ok || int(team) >= len(t.cfg.Deployment.Teams) {
		return "keeper: no such team"
	}
	need := amounts.Need(j.CPUs, j.GPUs, j.MemoryGB)
	fits := slices.ContainsFunc(t.types, func(ty ledger.Type) bool {
		return need.Fits(amounts.Room(ty.CPUs, ty.GPUs, ty.MemoryGB)) &&
			(j.Types == nil || slices.Contains(j.Types, ty.Name)) && (j.Zone == "" || slices.Contains(ty.Zones, j.Zone))
	})
	if !fits {
		return "a task fits no allowed machine type"
	}
	all := need
	if j.Kind != jobs.Array {
		all = need.Times(j.Tasks)
	}
	l := t.plan.Limits[team]
	if (l.CPU > 0 && all.CPU > l.CPU) || (l.GPU > 0 && all.GPU > l.GPU) {
		return "more than the team's limit"
	}
	return ""
}

// share is how many processors of a machine a task takes up, counting those
// that its memory or accelerators leave unusable, on the type that suits it
// best.
func (t *Term) share(j *jobs.Job) float64 {
	best := j.Rec.CPUs
	found := false
	for i, ty := range t.types {
		if n := blocks.Slots(j.Need, amounts.Room(ty.CPUs, ty.GPUs, ty.MemoryGB)); n > 0 && (j.Types == nil || (i < len(j.Types) && j.Types[i])) {
			if s := ty.CPUs / float64(n); !found || s < best {
				best, found = s, true
			}
		}
	}
	return max(best, j.Rec.CPUs)
}

// state is what users may be told of a job.
func (t *Term) state(id uint64) (Answer, bool) {
	if p, ok := t.table.Final(id); ok {
		s := wire.Done
		if p == jobs.Cancelled {
			s = wire.Cancelled
		}
		return Answer{Status: 200, ID: id, State: s}, true
	}
	j := t.table.Find(id)
	if j == nil || j.Phase == jobs.Accepting {
		return Answer{}, false
	}
	s := wire.Queued
	if j.Running > 0 {
		s = wire.Running
	}
	return Answer{Status: 200, ID: id, State: s, Counts: true, Done: j.NotedN, Running: j.Running}, true
}

func (t *Term) query(to Asker, id uint64) {
	if a, ok := t.state(id); ok {
		t.emit(Reply{to, a})
		return
	}
	if t.table.Find(id) != nil {
		t.emit(Reply{to, unavailable("being accepted")})
		return
	}
	t.emit(Reply{to, Answer{Status: 404, Why: "no such job"}})
}

func (t *Term) abort(to Asker, id uint64) {
	if _, over := t.table.Final(id); over {
		a, _ := t.state(id)
		t.emit(Reply{to, a})
		return
	}
	j := t.table.Find(id)
	if j == nil {
		t.emit(Reply{to, Answer{Status: 404, Why: "no such job"}})
		return
	}
	t.ending[id] = append(t.ending[id], to)
	if j.Phase == jobs.Cancelling || j.Finished == len(j.Tasks) {
		return // answered with what becomes durable first
	}
	if j.Phase == jobs.Open || j.Phase == jobs.Held {
		j.Phase = jobs.Cancelling
	}
	t.log.Append(ledger.Entry{Cancel: &id}, tagCancel(id))
}

func (t *Term) tell(sure bool, to Asker, a Answer) {
	if !sure {
		a = unavailable("leadership is in doubt")
	}
	t.emit(Reply{to, a})
}

func (t *Term) tellEnd(sure bool, id uint64) {
	a, _ := t.state(id)
	for _, to := range t.ending[id] {
		t.tell(sure, to, a)
	}
	delete(t.ending, id)
}
