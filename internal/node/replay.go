package node

import (
	"slices"
	"time"

	"bitternmoor/internal/amounts"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/leadership"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/workers"
)

// What a new leader reads back, and how jobs and machines come into its books.

// load replays the whole log.
func (t *Term) load(now time.Duration, mark uint64, log Durable) {
	finals := map[uint64]float64{}
	registry := map[string]ledger.Machine{}
	booting := map[string]ledger.Machine{}
	asked := map[string]ledger.Rental{}
	grants := map[uint64]map[int]bool{}
	parts := map[uint64][]ledger.After{}
	doneAt := map[uint64]int64{}
	for _, e := range log.Entries {
		switch {
		case e.Types != nil:
			t.setTypes(e.Types)
		case e.Over != nil:
			for _, id := range e.Over.Done {
				t.over(id, jobs.Done)
			}
			for _, id := range e.Over.Cancelled {
				t.over(id, jobs.Cancelled)
			}
		case e.Job != nil:
			if _, over := t.table.Final(e.Job.ID); !over && t.table.Find(e.Job.ID) == nil {
				t.enter(*e.Job, now)
			}
		case e.Cancel != nil:
			if j := t.table.Find(*e.Cancel); j != nil {
				t.over(j.Rec.ID, jobs.Cancelled)
			}
		case e.Tasks != nil:
			if e.Tasks.AtMS != 0 {
				doneAt[e.Tasks.ID] = max(doneAt[e.Tasks.ID], e.Tasks.AtMS)
			}
			j := t.table.Find(e.Tasks.ID)
			if j == nil {
				continue
			}
			for _, r := range e.Tasks.Ranges {
				for k := r[0]; k < r[1] && k < len(j.Tasks); k++ {
					j.Note(k)
				}
			}
			j.SumS += e.Tasks.Seconds
			j.SumN += e.Tasks.Known
			if j.NotedN == len(j.Tasks) {
				t.book.RestoreHistory(j.SumS, j.SumN)
				t.over(j.Rec.ID, jobs.Done)
			}
		case e.After != nil:
			parts[e.After.ID] = append(parts[e.After.ID], *e.After)
		case e.Size != nil:
			finals[e.Size.ID] = e.Size.Size
		case e.Machine != nil:
			registry[e.Machine.Name] = *e.Machine
			delete(booting, e.Machine.Name)
		case e.Grant != nil:
			g := grants[e.Grant.Job]
			if g == nil {
				g = map[int]bool{}
				grants[e.Grant.Job] = g
			}
			for _, n := range e.Grant.Machines {
				g[n] = !e.Grant.Back
			}
		case e.Gone != nil:
			for _, n := range e.Gone {
				t.yard.Remove(n)
				delete(registry, n)
				delete(booting, n)
			}
		case e.Rental != nil:
			asked[e.Rental.Name] = *e.Rental
		case e.Answered != nil:
			r := asked[e.Answered.Name]
			delete(asked, e.Answered.Name)
			for _, n := range e.Answered.Machines {
				if _, up := registry[n]; !up && !t.yard.Gone(n) {
					booting[n] = ledger.Machine{Name: n, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
				}
			}
		}
	}
	t.restoreLinks(now, parts, doneAt)
	for _, j := range t.table.All() {
		if j == nil {
			continue
		}
		t.suit(j)
		if j.Rec.Kind == jobs.Service || j.Phase == jobs.Held {
			continue
		}
		t.book.Add(j.Index, j.Team, len(j.Tasks), j.Rec.CPUs, j.Rec.Kind == jobs.Gang)
		took := -1.0
		if j.SumN > 0 {
			took = j.SumS / float64(j.SumN)
		}
		for k, s := range j.Tasks {
			if s == jobs.Noted {
				t.book.Completed(j.Index, k, took)
			}
		}
		if s, ok := finals[j.Rec.ID]; ok {
			t.book.Restore(j.Index, true, s, s)
		}
	}
	for _, v := range log.Sizes {
		if j := t.table.Find(v.ID); j != nil {
			_, final := t.book.Size(j.Index)
			t.book.Restore(j.Index, final, v.Size, v.Virtual)
		}
	}
	byNumber := map[int]*workers.Machine{}
	for _, m := range registry {
		if x := t.addMachine(now, m); x != nil {
			x.Durable, x.Number = true, m.Number
			byNumber[m.Number] = x
			t.numbers = max(t.numbers, m.Number)
		}
	}
	for id, list := range grants {
		j := t.table.Find(id)
		for n, open := range list {
			t.numbers = max(t.numbers, n)
			if m := byNumber[n]; open && j != nil && m != nil && n != 0 {
				m.Grants[id] = true
				t.granted[id] = append(t.granted[id], m)
				j.Unsettled++
			}
		}
	}
	for _, m := range booting {
		if x := t.addMachine(now, m); x != nil {
			x.Resolved = true // never registered: nothing was ever started on it
		}
	}
	for _, r := range asked {
		t.buyer.Restore(r)
		t.rentals[r.Name] = r
	}
	w := t.cfg.Writes()
	t.log = ledger.NewLog(ledger.Limits{WriteRPS: w.WriteRPS, ValueBytes: int(w.ValueKB * 1024), TxnOps: w.TxnOps}, leadership.EpochKey, mark, log.Last, log.Pieces)
	t.first = max(log.First, 1)
	t.loaded = true
	t.book.Age(now.Seconds(), 0)
	t.dirty = true
	t.note(Info, "term begun", "epoch", t.epoch, "jobs", t.book.Len(), "machines", len(registry), "booting", len(booting), "segments", log.Last-log.First+1)
}

// over notes a final state while replaying, whatever stood before it.
func (t *Term) over(id uint64, p jobs.Phase) {
	t.table.Finish(id, p)
	if j := t.table.Find(id); j != nil {
		t.table.Leave(j)
	}
}

func (t *Term) enter(rec ledger.Job, now time.Duration) *jobs.Job {
	j := t.table.Add(rec)
	j.Team = t.teams.Index(rec.Team)
	for int(j.Team) >= len(t.plan.Limits) {
		// A team of an earlier configuration: its jobs stay accepted.
		t.plan.AddTeam()
	}
	j.Image = t.images.Index(rec.Image)
	j.Spot = rec.Spot && (rec.Checkpoint > 0 || rec.EstimateS <= t.cfg.Tunables.SpotTaskS)
	t.schedule(j, t.timeOf(rec.AtMS, now))
	return j
}

// timeOf is a time of day on this node's clock; none is later than now.
func (t *Term) timeOf(ms int64, now time.Duration) time.Duration {
	return min(now, time.Duration(ms-t.zero)*time.Millisecond)
}

// schedule settles the times that count from a job's arrival, or from its
// release.
func (t *Term) schedule(j *jobs.Job, at time.Duration) {
	j.AcceptedAt = at
	j.Ahead, j.LastAim, j.LostUntil = nil, 0, 0
	j.BehindUntil = at + t.patience(j)
	for _, o := range t.cfg.Deployment.Objectives {
		if o.Class != j.Rec.Class {
			continue
		}
		if o.Kind == settings.AimFinished {
			t.startBy(j, at, o.WithinS)
			j.LastAim = max(j.LastAim, at+settings.Seconds(o.WithinS))
			j.LostUntil = max(j.LostUntil, at+settings.Seconds(o.WithinS*t.cfg.Tunables.LostBehind))
		}
		if o.Kind == settings.AimWait && t.cfg.Tunables.WaitLeadS > 0 {
			t.goAhead(j, at, o.WithinS)
		}
	}
}

// startBy has a best-effort job, which goes behind the order at first, go
// ahead of it in time for an aim for its end, and at once where that cannot be
// made: such jobs set the end of the day.
func (t *Term) startBy(j *jobs.Job, at time.Duration, within float64) {
	if j.Priority > 0 || t.cfg.Tunables.WaitLeadS == 0 {
		return
	}
	latest := within - longRun*j.Rec.EstimateS - placing
	if latest <= 0 {
		j.Ahead = append(j.Ahead, [2]time.Duration{at, at + settings.Seconds(within)})
		j.BehindUntil = 0
		return
	}
	j.BehindUntil = min(j.BehindUntil, t.goAhead(j, at, latest))
}

// goAhead has a job's waiting tasks go ahead of the order for a while before
// the latest time at which they should start, and says from when on.
func (t *Term) goAhead(j *jobs.Job, at time.Duration, latest float64) time.Duration {
	from := at + settings.Seconds(latest-min(t.cfg.Tunables.WaitLeadS, mostLead*latest))
	j.Ahead = append(j.Ahead, [2]time.Duration{from, at + settings.Seconds(latest)})
	return from
}

// What startBy leaves for tasks that run longer than estimated, and for
// placing all of a job.
const (
	longRun = 1.2
	placing = 10

	mostLead = 0.7 // of an aim that is short: not all of its class goes ahead from the start
)

// suit settles which machine types a job may use and what a task takes up on
// them. It is called once the types are known: while the log is replayed they
// may come after the job.
func (t *Term) suit(j *jobs.Job) {
	if j.Rec.Types != nil {
		j.Types = make([]bool, max(t.typeNames.Len(), 1))
		for _, n := range j.Rec.Types {
			if i, ok := t.typeNames.Find(n); ok {
				j.Types[i] = true
			}
		}
	}
	j.Share = t.share(j)
}

// patience is how long a job goes behind the order: best-effort work until
// some time before its class's tightest aim, so that small jobs of it do not
// jump the queue of those that are in more of a hurry.
func (t *Term) patience(j *jobs.Job) time.Duration {
	if j.Priority > 0 {
		return 0
	}
	tightest := 0.0
	for _, o := range t.cfg.Deployment.Objectives {
		if o.Class == j.Rec.Class && o.WithinS > 0 && (tightest == 0 || o.WithinS < tightest) {
			tightest = o.WithinS
		}
	}
	if t.cfg.Tunables.LowLeadS == 0 {
		return 0
	}
	return settings.Seconds(max(0, tightest-t.cfg.Tunables.LowLeadS))
}

func (t *Term) setTypes(list []ledger.Type) {
	for _, ty := range list {
		i := t.typeNames.Index(ty.Name)
		switch {
		case int(i) == len(t.types):
			t.types = append(t.types, ty)
		case ty.More:
			t.types[i].Zones = append(slices.Clone(t.types[i].Zones), ty.Zones...)
		default:
			t.types[i] = ty
		}
	}
}

func (t *Term) addMachine(now time.Duration, m ledger.Machine) *workers.Machine {
	if t.yard.Gone(m.Name) || t.yard.Find(m.Name) != nil {
		return nil
	}
	i, ok := t.typeNames.Find(m.Type)
	if !ok {
		return nil
	}
	ty := t.types[i]
	return t.yard.Add(&workers.Machine{Name: m.Name, Address: m.Address, Type: i, Zone: t.zones.Index(m.Zone), Spot: m.Spot,
		Cap: amounts.Room(ty.CPUs, ty.GPUs, ty.MemoryGB), CacheGB: ty.CacheGB, FetchGBPS: max(ty.FetchGBPS, 0.001), Token: t.token, RentedAt: now, Heard: now})
}
