package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/amounts"
	"bitternmoor/internal/blocks"
	"bitternmoor/internal/fleet"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/leadership"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/names"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/sizing"
	"bitternmoor/internal/wire"
	"bitternmoor/internal/workers"
)

// Bits of a token and of an attempt that count within a term.
const (
	tokenBits   = 20
	attemptBits = 24
)

// Upper bounds for what one item takes in an entry of the log.
const (
	rangeBytes = 16
	idBytes    = 21

	numberBytes = 10
)

const (
	passPause    = 20 * time.Millisecond // between a pass and one that a commit asks for
	preemptEvery = 500 * time.Millisecond
)

// Term is what a leader knows and does from its election to its end. It
// composes the slices; it has no clock and does nothing by itself.
type Term struct {
	cfg      *settings.Settings
	zero     int64
	epoch    uint64
	token    uint64
	attempts uint64
	began    time.Duration
	loaded   bool

	log   *ledger.Log
	table *jobs.Table
	yard  *workers.Yard
	book  *sizing.Book
	plan  *blocks.Planner
	buyer *fleet.Buyer

	teams, zones, images names.Table
	typeNames            names.Table
	types                []ledger.Type // by index of typeNames
	typesAt              time.Duration
	typesAsked           bool

	where           map[workers.Ref]*workers.Placement // what counts as being somewhere
	lives           map[string]int64                   // of the controllers that hold blocks
	seen            map[string]time.Duration           // when they were last heard
	grants, serials uint64
	numbers         int                           // last one given to a machine
	granting        map[uint64][]*workers.Machine // grants to be noted, by job id
	granted         map[uint64][]*workers.Machine // grants noted or being noted
	planned         []*workers.Placement          // by the pass under way
	plannedOn       []*workers.Machine            // all on which tasks may be planned
	waiting         []waitingReport               // reports not answered yet
	passAt          time.Duration
	preemptAt       time.Duration
	// tasks completed but not yet handed to the log, by job id
	completed map[uint64]*ledger.Tasks

	accepting map[uint64][]Asker
	ending    map[uint64][]Asker // askers of a cancellation

	dirty      bool
	rentals    map[string]ledger.Rental // sent or to be sent
	rentDue    map[string]time.Duration
	deleteBusy bool
	listBusy   bool
	listAt     time.Duration
	fleetAt    time.Duration
	sizesAt    time.Duration
	dearPeak   peak
	spotPeak   peak
	cloudRoom  float64
	cloudAt    time.Duration

	first    int // number of the log's oldest segment
	cleaning bool
	cleanAt  time.Duration

	counts *Counts
	out    []Effect
}

type (
	tagAccept  uint64
	tagCancel  uint64
	tagTasks   ledger.Tasks
	tagMachine string
	tagRental  ledger.Rental
	tagGrant   struct {
		job      uint64
		machines []*workers.Machine
	}
)

// waitingReport is a report taken in whose answer waits for a pass, or for
// what must be durable before the machine may start its tasks.
type waitingReport struct {
	to    Asker
	m     *workers.Machine
	cmds  []workers.Command
	since time.Duration
}

// grantWait is how long an answer waits at most: the machine's next report
// gets what this one did not.
const grantWait = 500 * time.Millisecond

func newTerm(cfg *settings.Settings, zero int64, epoch uint64, now time.Duration) *Term {
	t := &Term{
		cfg: cfg, zero: zero, epoch: epoch, token: epoch << tokenBits, attempts: epoch << attemptBits, began: now,
		table: jobs.NewTable(), yard: workers.NewYard(),
		book: sizing.New(sizing.Params{Train: cfg.Tunables.TrainingTasks,
			Xi: cfg.Tunables.Eagerness, Delta: cfg.Tunables.TrainingLimitS, First: cfg.Tunables.FirstSizeS}),
		buyer: fleet.New(fmt.Sprintf("r-%d", epoch)),
		where: map[workers.Ref]*workers.Placement{}, lives: map[string]int64{}, seen: map[string]time.Duration{}, completed: map[uint64]*ledger.Tasks{},
		granting: map[uint64][]*workers.Machine{}, granted: map[uint64][]*workers.Machine{},
		accepting: map[uint64][]Asker{}, ending: map[uint64][]Asker{},
		rentals: map[string]ledger.Rental{}, rentDue: map[string]time.Duration{},
		cloudAt: now, listAt: now, sizesAt: now,
	}
	var limits []blocks.Limit
	for _, team := range cfg.Deployment.Teams {
		t.teams.Index(team.Name)
		l := amounts.Room(team.CPUsMax, team.GPUsMax, 0)
		t.book.Limits = append(t.book.Limits, team.CPUsMax)
		limits = append(limits, blocks.Limit{CPU: l.CPU, GPU: l.GPU})
	}
	t.plan = blocks.New(limits, cfg.Tunables.TrainingAtOnce)
	if cfg.Tunables.GuaranteeFirst == 1 {
		for _, team := range cfg.Deployment.Teams {
			g := amounts.Room(team.CPUs, team.GPUs, 0)
			t.plan.Guarantees = append(t.plan.Guarantees, blocks.Limit{CPU: g.CPU, GPU: g.GPU})
		}
	}
	t.plan.Locality = settings.Seconds(cfg.Tunables.LocalityS)
	t.plan.UrgentFirst = cfg.Tunables.UrgentFirst == 1
	return t
}

func (t *Term) emit(e Effect) { t.out = append(t.out, e) }

func (t *Term) note(l Level, text string, args ...any) { t.emit(Note{l, text, args}) }

// load replays the whole log, whose segments are numbered first to last.
func (t *Term) load(now time.Duration, mark uint64, first, last int, entries []ledger.Entry, sizes []ledger.VirtualSize) {
	finals := map[uint64]float64{}
	registry := map[string]ledger.Machine{}
	booting := map[string]ledger.Machine{}
	asked := map[string]ledger.Rental{}
	grants := map[uint64][]int{}
	for _, e := range entries {
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
				t.table.Finish(j.Rec.ID, jobs.Cancelled)
				t.table.Leave(j)
			}
		case e.Tasks != nil:
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
				t.table.Finish(j.Rec.ID, jobs.Done)
				t.table.Leave(j)
			}
		case e.Size != nil:
			finals[e.Size.ID] = e.Size.Size
		case e.Machine != nil:
			registry[e.Machine.Name] = *e.Machine
			delete(booting, e.Machine.Name)
		case e.Grant != nil:
			grants[e.Grant.Job] = append(grants[e.Grant.Job], e.Grant.Machines...)
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
	for _, j := range t.table.All() {
		if j == nil {
			continue
		}
		j.Phase, j.Earlier = jobs.Open, true
		t.suit(j)
		if j.Rec.Kind == jobs.Service {
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
	for _, v := range sizes {
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
		for _, n := range list {
			t.numbers = max(t.numbers, n)
			if m := byNumber[n]; j != nil && m != nil && n != 0 && !m.Grants[id] {
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
	t.log = ledger.NewLog(ledger.Limits{WriteRPS: t.cfg.Deployment.State.WriteRPS, ValueBytes: int(t.cfg.Deployment.State.ValueKB * 1024),
		TxnOps: t.cfg.Deployment.State.TxnOps}, leadership.EpochKey, mark, last)
	t.first = max(first, 1)
	t.loaded = true
	t.book.Age(now.Seconds(), 0)
	t.dirty = true
	t.note(Info, "term begun", "epoch", t.epoch, "jobs", len(t.book.Order()), "machines", len(registry), "booting", len(booting), "segments", last)
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
	at := min(now, time.Duration(rec.AtMS-t.zero)*time.Millisecond)
	j.AcceptedAt = at
	j.Team = t.teams.Index(rec.Team)
	for int(j.Team) >= len(t.plan.Limits) {
		// A team of an earlier configuration: its jobs stay accepted.
		t.plan.AddTeam()
	}
	j.Image = t.images.Index(rec.Image)
	j.Spot = rec.Spot && (rec.Checkpoint > 0 || rec.EstimateS <= t.cfg.Tunables.SpotTaskS)
	j.BehindUntil = at + t.patience(rec)
	for _, o := range t.cfg.Deployment.Objectives {
		if o.Class != rec.Class {
			continue
		}
		if o.Kind == settings.AimFinished {
			t.startBy(j, at, o.WithinS)
			j.LastAim = max(j.LastAim, at+settings.Seconds(o.WithinS))
			j.LostUntil = max(j.LostUntil, at+settings.Seconds(o.WithinS*t.cfg.Tunables.LostBehind))
		}
		if o.Kind == settings.AimWait {
			within := settings.Seconds(o.WithinS)
			if lead := t.cfg.Tunables.WaitLeadS; lead > 0 {
				j.Ahead = append(j.Ahead, [2]time.Duration{at + settings.Seconds(o.WithinS-min(lead, mostLead*o.WithinS)), at + within})
			}
		}
	}
	return j
}

// startBy has a best-effort job, which goes behind the order at first, go
// ahead of it in time for an aim for its end: tasks that run long must begin
// earlier than a share of the aim alone tells.
func (t *Term) startBy(j *jobs.Job, at time.Duration, within float64) {
	if j.Rec.Priority > 0 || t.cfg.Tunables.WaitLeadS == 0 {
		return
	}
	latest := within - longRun*j.Rec.EstimateS - placing
	if latest <= 0 {
		j.Ahead = append(j.Ahead, [2]time.Duration{at, at + settings.Seconds(within)})
		j.BehindUntil = 0
		return
	}
	from := at + settings.Seconds(latest-min(t.cfg.Tunables.WaitLeadS, mostLead*latest))
	j.Ahead = append(j.Ahead, [2]time.Duration{from, at + settings.Seconds(latest)})
	j.BehindUntil = min(j.BehindUntil, from)
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
// some time before its class's tightest aim, so that small jobs of it do not jump the
// queue of those that are in more of a hurry.
func (t *Term) patience(rec ledger.Job) time.Duration {
	if rec.Priority > 0 {
		return 0
	}
	tightest := 0.0
	for _, o := range t.cfg.Deployment.Objectives {
		if o.Class == rec.Class && o.WithinS > 0 && (tightest == 0 || o.WithinS < tightest) {
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
		if int(i) == len(t.types) {
			t.types = append(t.types, ty)
		} else {
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
	if !t.log.Fits(ledger.Entry{Job: s.Job}) {
		t.emit(Reply{to, Answer{Status: 400, Why: "breeds: too many names"}})
		return
	}
	if t.log.Pending() > 2000 {
		t.emit(Reply{to, Answer{Status: 429, Why: "too much is waiting to be written", RetryAfter: 2}})
		return
	}
	s.Job.AtMS = t.zero + now.Milliseconds()
	t.suit(t.enter(*s.Job, now))
	t.accepting[s.ID] = append(t.accepting[s.ID], to)
	t.log.Append(ledger.Entry{Job: s.Job}, tagAccept(s.ID))
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
	if j.Phase == jobs.Open {
		j.Phase = jobs.Cancelling
	}
	t.log.Append(ledger.Entry{Cancel: &id}, tagCancel(id))
}

// durable acts on an entry that has become durable.
func (t *Term) durable(now time.Duration, sure bool, tag any) {
	switch tag := tag.(type) {
	case tagAccept:
		id := uint64(tag)
		j := t.table.Find(id)
		j.Phase = jobs.Open
		if len(t.ending[id]) > 0 {
			j.Phase = jobs.Cancelling
		}
		t.book.Age(now.Seconds(), t.cpus())
		if j.Rec.Kind != jobs.Service {
			t.book.Add(j.Index, j.Team, len(j.Tasks), j.Rec.CPUs, j.Rec.Kind == jobs.Gang)
		}
		t.dirty = true
		for i, to := range t.accepting[id] {
			a := Answer{Status: 201, ID: id, State: wire.Queued}
			if i > 0 {
				a.Status = 200
			}
			t.tell(sure, to, a)
		}
		delete(t.accepting, id)
	case tagCancel:
		id := uint64(tag)
		if j := t.table.Find(id); j != nil && j.Phase != jobs.Done {
			j.Phase, j.CancelledAt = jobs.Cancelled, now
			t.table.Finish(id, jobs.Cancelled)
			t.book.Remove(j.Index, false, 0, 0)
			on := map[*workers.Machine]bool{}
			for k, s := range j.Tasks {
				ref := workers.Ref{Job: j.Index, Task: int32(k)}
				if p := t.where[ref]; s == jobs.Placed && p != nil {
					if p.Planned {
						t.takeBack(p)
					} else {
						p.Stopping, p.GraceS = true, 0
						on[p.Home] = true
					}
				}
			}
			for m := range on {
				t.stopNow(m)
			}
			t.leaveIfEmpty(j)
			t.dirty = true
		}
		t.tellEnd(sure, id)
	case tagTasks:
		j := t.table.Find(tag.ID)
		if j == nil || j.Phase == jobs.Cancelled {
			return
		}
		for _, r := range tag.Ranges {
			for k := r[0]; k < r[1]; k++ {
				j.Note(k)
			}
		}
		if j.NotedN == len(j.Tasks) {
			j.Phase = jobs.Done
			t.table.Finish(tag.ID, jobs.Done)
			t.book.Remove(j.Index, true, j.SumS, j.SumN)
			t.note(Debug, "job done", "job", j.Rec.ID, "class", j.Rec.Class, "tasks", len(j.Tasks), "mean", j.Mean(), "estimate", j.Rec.EstimateS,
				"first_start", (j.FirstAt - j.AcceptedAt).Round(100*time.Millisecond), "last_start", (j.LastAt - j.AcceptedAt).Round(100*time.Millisecond), "after", (now - j.AcceptedAt).Round(100*time.Millisecond))
			t.leaveIfEmpty(j)
			t.tellEnd(sure, tag.ID)
		}
	case tagGrant:
		if t.table.Find(tag.job) != nil {
			for _, m := range tag.machines {
				m.Grants[tag.job] = true
			}
		}
	case tagMachine:
		if m := t.yard.Find(string(tag)); m != nil {
			m.Durable = true
			t.dirty = true
		}
	case tagClean:
		t.log.Drop(int(tag))
		t.first = int(tag) + 1
		t.cleaning = false
	case tagRental:
		r := ledger.Rental(tag)
		t.rentals[r.Name] = r
		t.rentDue[r.Name] = now
	}
}

// stopNow sends a machine's stops without waiting for its next report.
func (t *Term) stopNow(m *workers.Machine) {
	if m.Address != "" && m.Up && !m.Leaving {
		t.emit(Direct{m.Address, m.Token, m.Session, m.Stops()})
	}
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

func (t *Term) leaveIfEmpty(j *jobs.Job) {
	if j.Placed == 0 && (j.Phase == jobs.Cancelled || j.Phase == jobs.Done) {
		t.forget(j)
	}
}

// forget takes a job out of the table, and out of what machines may have.
func (t *Term) forget(j *jobs.Job) {
	t.table.Leave(j)
	for _, m := range t.granted[j.Rec.ID] {
		delete(m.Grants, j.Rec.ID)
	}
	delete(t.granted, j.Rec.ID)
	delete(t.granting, j.Rec.ID)
}

// takeBack takes back a plan. One that is on offer may have been taken up
// already: it counts until no offer is open.
func (t *Term) takeBack(p *workers.Placement) {
	if len(p.Offered) > 0 {
		p.Withdrawn = true
		return
	}
	p.Home.Take(p.Ref)
	t.lift(p.Ref)
}

// lift takes a task off its machine in the books of jobs, teams and sizes.
func (t *Term) lift(ref workers.Ref) {
	p := t.where[ref]
	if p == nil {
		return
	}
	delete(t.where, ref)
	j := t.table.At(ref.Job)
	j.MoveZone(p.Home.Zone, -1)
	t.plan.Refund(j.Team, j.Need)
	j.Release(int(ref.Task))
	t.gangEnds(j)
	t.book.Lost(ref.Job, int(ref.Task))
	t.leaveIfEmpty(j)
	t.dirty = true
}

func (t *Term) cpus() float64 {
	var sum float64
	for _, m := range t.yard.All() {
		if m.Up && !m.Leaving {
			sum += m.Cap.CPUs()
		}
	}
	return sum
}

func (t *Term) unresolved() amounts.Amounts {
	var sum amounts.Amounts
	for _, m := range t.yard.All() {
		if m.Durable && !m.Resolved {
			sum = sum.Plus(m.Cap)
		}
	}
	return sum
}

// blind says whether a machine that is not resolved may have tasks of any
// job, since no grants were noted for it.
func (t *Term) blind() bool {
	return slices.ContainsFunc(t.yard.All(), func(m *workers.Machine) bool { return m.Durable && !m.Resolved && m.Number == 0 })
}

// resolved notes that what an earlier term left on a machine is known.
func (t *Term) resolved(now time.Duration, m *workers.Machine) {
	t.dirty = true
	for id := range m.Grants {
		if j := t.table.Find(id); j != nil && j.Unsettled > 0 {
			j.Unsettled--
		}
	}
	if t.unresolved() == (amounts.Amounts{}) {
		t.note(Info, "all machines resolved", "epoch", t.epoch, "after", (now - t.began).Round(10*time.Millisecond))
	}
}

// quiet is how long a worker may be silent before it gets no new tasks, and
// silence how long before its machine is given up.
func (t *Term) quiet() time.Duration {
	return settings.Seconds(2.5 * t.cfg.Deployment.Workers.ReportS)
}

func (t *Term) silence() time.Duration {
	w := t.cfg.Deployment.Workers
	return settings.Seconds(max(4*w.ReportS+2, 0.6*w.LeaseS))
}

// moveAfter is how long a machine's own controller must not have heard it
// before another one gets it.
const moveAfter = 2 * time.Second

// hold settles in whose block the machine is that has reported by way of a
// controller. It returns the holder to which the worker must go instead.
func (t *Term) hold(now time.Duration, m *workers.Machine, in Relayed) string {
	if life, ok := t.lives[in.Via]; ok && life != in.Life {
		// The controller began anew and has forgotten what it took up: what is
		// on offer by way of it must be settled before it is offered again.
		for _, o := range t.yard.All() {
			if o.Holder == in.Via {
				t.freeze(o)
			}
		}
	}
	t.lives[in.Via] = in.Life
	t.seen[in.Via] = now
	switch {
	case m.Holder == in.Via:
		return ""
	case m.Holder != "" && now-m.Heard < moveAfter && now-t.seen[m.Holder] < moveAfter:
		return m.Holder
	case m.Holder != "":
		t.freeze(m)
		t.grants++
		m.Token = t.token + t.grants // the worker turns the former holder away
	}
	m.Holder = in.Via
	return ""
}

// freeze keeps the tasks planned on a machine from being offered anew while
// an offer of them is open.
func (t *Term) freeze(m *workers.Machine) {
	for _, p := range m.Tasks {
		if p.Planned && len(p.Offered) > 0 {
			p.Frozen = true
		}
	}
}

// report takes in a worker's report, received by a controller. The answer,
// which says how that controller may answer the worker, comes at once or with
// the pass that follows.
func (t *Term) report(now time.Duration, sure bool, to Asker, in Relayed) {
	r := &in.Report
	answer := ReportAnswer{Status: 200, Token: t.token}
	if !t.loaded {
		t.emit(ReplyReport{to, answer})
		return
	}
	m := t.yard.Find(r.Machine)
	if m == nil {
		m = t.addMachine(now, ledger.Machine{Name: r.Machine, Type: r.Type, Zone: r.Zone, Spot: r.Spot})
		if m == nil {
			t.emit(ReplyReport{to, answer})
			return
		}
		t.note(Info, "machine appeared unasked", "machine", r.Machine)
	}
	m.Address = r.Address
	if !m.Durable && !m.Leaving {
		m.Resolved = true // no task is ever started on a machine before it is registered
		if m.QueueRegistry() {
			t.numbers++
			m.Number = t.numbers
			t.log.Append(ledger.Entry{Machine: &ledger.Machine{Name: r.Machine, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Number: m.Number}}, tagMachine(r.Machine))
		}
	}
	if !m.Fresh(r) {
		answer.Token = m.Token
		t.emit(ReplyReport{to, answer}) // a late report: its answer goes nowhere
		return
	}
	for i, w := range t.waiting {
		if w.m == m {
			// The worker has given that one up: nothing may be started by it.
			t.emit(ReplyReport{w.to, ReportAnswer{Status: 200, Token: m.Token}})
			t.waiting = slices.Delete(t.waiting, i, i+1)
			break
		}
	}
	elsewhere := t.hold(now, m, in)
	if !m.Up {
		m.UpSince = now
		t.dirty = true
	}
	before := m.Resolved
	events, cmds := m.Absorb(now, r, m.Token, func(job uint64, task int, here bool) (workers.Known, bool) {
		return t.known(m, job, task, here)
	})
	if m.Resolved != before {
		t.resolved(now, m)
	}
	for _, e := range events {
		t.event(now, m, e)
	}
	if elsewhere != "" {
		t.emit(ReplyReport{to, ReportAnswer{Status: 421, Node: elsewhere}})
		return
	}
	w := waitingReport{to, m, cmds, now}
	if sure && !m.Leaving && !m.Notice && (t.dirty || m.Awaits()) {
		t.waiting = append(t.waiting, w)
		return
	}
	t.reply(sure, w)
}

// reply answers a report: with what follows from it, the stops that are due
// and the offers.
func (t *Term) reply(sure bool, w waitingReport) {
	m := w.m
	answer := ReportAnswer{Status: 200, Token: m.Token, LeaseS: t.cfg.Tunables.BlockLeaseS, Commands: append(w.cmds, m.Stops()...)}
	if sure && m.Durable && m.Resolved && !m.Leaving && !m.Notice {
		answer.Offers = m.Offer(t.plannedOn, func() uint64 { t.serials++; return t.token + t.serials }, t.attempt)
		answer.Room = m.Free
	}
	t.emit(ReplyReport{w.to, answer})
}

// release answers the reports that wait for nothing any more.
func (t *Term) release(now time.Duration, sure bool) {
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		if sure && w.m.Awaits() && now-w.since < grantWait && !w.m.Leaving {
			kept = append(kept, w)
			continue
		}
		t.reply(sure, w)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
}

// started notes offers that the leader's own block has taken up.
func (t *Term) started(machine string, offers []workers.Offer) {
	m := t.yard.Find(machine)
	for _, o := range offers {
		if j := t.table.Find(o.Start.Job); j != nil && m != nil {
			m.Started(workers.Ref{Job: j.Index, Task: int32(o.Start.Task)})
		}
	}
}

// known tells what the leader knows of a task that a report shows. When it is
// really there, a mere plan for it gives way.
func (t *Term) known(m *workers.Machine, id uint64, task int, here bool) (workers.Known, bool) {
	j := t.table.Find(id)
	if j == nil || task >= len(j.Tasks) || j.Phase == jobs.Accepting {
		return workers.Known{}, false
	}
	ref := workers.Ref{Job: j.Index, Task: int32(task)}
	if p := t.where[ref]; here && p != nil && p.Planned && len(p.Offered) == 0 && j.Phase != jobs.Cancelled {
		t.takeBack(p)
	}
	p := t.where[ref]
	elsewhere := p != nil && (p.Home != m || p.Planned)
	s := j.Tasks[task]
	return workers.Known{Ref: ref, Need: j.Need, Image: j.Image, ImageGB: j.Rec.ImageGB,
		Open:  (j.Phase == jobs.Open || j.Phase == jobs.Cancelling) && s != jobs.Finished && s != jobs.Noted && !elsewhere,
		Noted: s == jobs.Noted || j.Phase == jobs.Cancelled, Elsewhere: elsewhere}, true
}

func (t *Term) attempt() uint64 {
	t.attempts++
	return t.attempts
}

func (t *Term) event(now time.Duration, m *workers.Machine, e workers.Event) {
	j := t.table.At(e.Ref.Job)
	k := int(e.Ref.Task)
	switch e.Kind {
	case workers.EvAdopted:
		j.Place(k)
		t.plan.Charge(j.Team, j.Need)
		j.MoveZone(m.Zone, 1)
		t.where[e.Ref] = e.Placement
		if j.Rec.Kind == jobs.Gang {
			if j.Launch == 0 {
				j.Launch = e.Attempt
			}
			j.Began = true // or so it must be taken: it is not known whether it ran
			if j.Launch != e.Attempt {
				t.breakGang(j)
			}
		}
	case workers.EvPlaced:
		p := e.Placement
		p.Withdrawn = false
		if j.Phase == jobs.Cancelled || (j.Rec.Kind == jobs.Gang && (j.Broken || j.Launch != p.Attempt)) {
			p.Stopping, p.GraceS = true, 0
		}
	case workers.EvOfferOver:
		p := e.Placement
		if p.Frozen = false; p.Withdrawn {
			p.Withdrawn = false
			t.takeBack(p)
		}
	case workers.EvBegan:
		j.Running++
		if j.FirstAt == 0 {
			j.FirstAt = now
		}
		j.LastAt = now
		j.Began = j.Began || j.Rec.Kind == jobs.Gang
		t.book.Began(e.Ref.Job, k, now.Seconds())
	case workers.EvCompleted:
		if e.Running {
			j.Running--
		}
		took := -1.0
		if e.Ran >= 0 {
			took = e.Ran.Seconds()
			j.SumS += took
			j.SumN++
		}
		if t.where[e.Ref] != nil {
			delete(t.where, e.Ref)
			t.plan.Refund(j.Team, j.Need)
			j.MoveZone(m.Zone, -1)
		}
		t.counts.TasksDone++
		j.Complete(k)
		t.gangEnds(j)
		j.Errors, m.Errors = 0, 0
		t.book.Completed(e.Ref.Job, k, took)
		t.complete(e.JobID, k, took)
		t.dirty = true
	case workers.EvGone:
		if e.Running {
			j.Running--
		}
		if j.Phase == jobs.Open && e.Reason != workers.Stopped {
			t.counts.TasksRerun++
			t.note(Debug, "task to run again", "job", e.JobID, "task", k, "machine", m.Name, "why", e.Reason.String())
		}
		t.lift(e.Ref)
		if j.Rec.Kind == jobs.Gang && (j.Began || e.Reason == workers.Alone || e.Reason == workers.PeersLost || e.Reason == workers.Failed || e.Reason == workers.Stopped) {
			t.breakGang(j)
		}
		t.gangEnds(j)
		switch e.Reason {
		case workers.Failed:
			m.Errors++
			j.Errors++
			if m.Errors >= 3 {
				// Few failures without a success between them: the machine is faulty.
				m.ShunUntil = now + time.Minute
			}
			if j.Errors >= 3 {
				// It fails wherever it goes: tried ever more slowly, so that others get on.
				j.NotBefore = now + time.Second<<min(j.Errors-3, 6)
			}
			t.note(Debug, "task failed", "job", e.JobID, "task", k, "machine", m.Name)
		case workers.NoRoom, workers.Busy:
			m.ShunUntil = now + 2*time.Second // our count of its room is wrong for the moment
		case workers.UnknownTask:
			j.NotBefore = now + 2*time.Second
		}
	}
}

// breakGang gives up a gang's launch: what was not sent is taken back, the
// others are stopped, and the next launch waits until all are proved gone.
func (t *Term) breakGang(j *jobs.Job) {
	if j.Broken || j.Finished > 0 {
		return // one that is done has all of them done
	}
	j.Broken = true
	for k, s := range j.Tasks {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		p := t.where[ref]
		if s != jobs.Placed || p == nil {
			continue
		}
		switch {
		case p.Planned:
			t.takeBack(p)
		case !p.Stopping:
			p.Stopping, p.GraceS = true, 0
		}
	}
	t.gangEnds(j)
}

// gangEnds makes a gang ready for its next launch once nothing of the last
// one is left anywhere.
func (t *Term) gangEnds(j *jobs.Job) {
	if j.Rec.Kind == jobs.Gang && j.Placed == 0 {
		j.Launch, j.Broken, j.Began = 0, false, false
	}
}

// complete collects finished tasks for one entry of the log.
func (t *Term) complete(id uint64, k int, took float64) {
	b := t.completed[id]
	if b == nil {
		b = &ledger.Tasks{ID: id}
		t.completed[id] = b
	}
	if n := len(b.Ranges); n > 0 && b.Ranges[n-1][1] == k {
		b.Ranges[n-1][1] = k + 1
	} else {
		b.Ranges = append(b.Ranges, [2]int{k, k + 1})
	}
	if took >= 0 {
		b.Seconds = float64(int64((b.Seconds+took)*100)) / 100
		b.Known++
	}
}

// settle sets final sizes that are due; each is written once.
func (t *Term) settle(now time.Duration) {
	for _, i := range t.book.Order() {
		if s, ok := t.book.Settle(i, now.Seconds()); ok {
			t.log.Append(ledger.Entry{Size: &ledger.Size{ID: t.table.At(i).Rec.ID, Size: s}}, nil)
			t.dirty = true
		}
	}
}

func (t *Term) pass(now time.Duration) {
	t.dirty = false
	t.passAt = now
	t.planned = t.planned[:0]
	w := t.world(now)
	w.Place = func(j *jobs.Job, k int, m *workers.Machine) {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		j.Place(k)
		j.MoveZone(m.Zone, 1)
		p := &workers.Placement{Ref: ref, JobID: j.Rec.ID, Image: j.Image, Need: j.Need, Once: j.Rec.Kind == jobs.Gang || j.ZoneRule()}
		t.where[ref] = p
		if j.Rec.Kind == jobs.Gang {
			if j.Launch == 0 {
				j.Launch = t.attempt()
			}
			p.Attempt = j.Launch
		}
		m.Plan(p)
		t.planned = append(t.planned, p)
		m.UseImage(j.Image, j.Rec.ImageGB, now)
	}
	w.Unplace = func(j *jobs.Job, k int) {
		t.takeBack(t.where[workers.Ref{Job: j.Index, Task: int32(k)}])
	}
	t.plan.Pass(w)
	t.plannedOn = slices.DeleteFunc(t.plannedOn, func(m *workers.Machine) bool {
		m.Listed = m.Plans()
		return !m.Listed
	})
	for _, p := range t.planned {
		if m := p.Home; t.where[p.Ref] == p {
			t.list(m)
			if _, noted := m.Grants[p.JobID]; !noted {
				m.Grants[p.JobID] = false
				t.granting[p.JobID] = append(t.granting[p.JobID], m)
				t.granted[p.JobID] = append(t.granted[p.JobID], m)
			}
		}
	}
}

// list keeps a machine among those whose plans are offered.
func (t *Term) list(m *workers.Machine) {
	if !m.Listed {
		m.Listed = true
		t.plannedOn = append(t.plannedOn, m)
	}
}

// grant hands new grants to the log.
func (t *Term) grant() {
	for _, id := range slices.Sorted(maps.Keys(t.granting)) {
		for part := range slices.Chunk(t.granting[id], max(1, t.log.Room()/numberBytes-4)) {
			g := ledger.Grant{Job: id}
			for _, m := range part {
				g.Machines = append(g.Machines, m.Number)
			}
			t.log.Append(ledger.Entry{Grant: &g}, tagGrant{id, part})
		}
	}
	clear(t.granting)
}

// stopAll stops tasks with time to save, and says why.
func (t *Term) stopAll(now time.Duration, list []*workers.Placement, why string) {
	on := map[*workers.Machine]bool{}
	for _, p := range list {
		t.saveAndStop(now, t.table.At(p.Ref.Job), p)
		on[p.Home] = true
		t.note(Debug, why, "job", p.JobID, "task", p.Ref.Task, "machine", p.Home.Name)
	}
	for m := range on {
		t.stopNow(m)
	}
}

// pump hands what has gathered to the log and sends what the log allows.
func (t *Term) pump(now time.Duration) {
	if !t.loaded {
		return
	}
	if t.log.Idle() {
		// Not before: so the entries of a job between two commits become one.
		t.grant()
		for _, id := range slices.Sorted(maps.Keys(t.completed)) {
			t.appendTasks(*t.completed[id])
		}
		clear(t.completed)
	}
	if txn := t.log.Next(now); txn != nil {
		t.emit(Commit{*txn})
	}
}

// appendTasks appends completed tasks, in as many entries as they need.
func (t *Term) appendTasks(b ledger.Tasks) {
	most := max(1, t.log.Room()/rangeBytes-4)
	for len(b.Ranges) > most {
		part := ledger.Tasks{ID: b.ID, Ranges: b.Ranges[:most]}
		t.log.Append(ledger.Entry{Tasks: &part}, tagTasks(part))
		b.Ranges = b.Ranges[most:]
	}
	t.log.Append(ledger.Entry{Tasks: &b}, tagTasks(b))
}

func (t *Term) committed(now time.Duration, sure bool, seq uint64, out ledger.Outcome, mark uint64, failed []string) ledger.Step {
	tags, step := t.log.Result(now, seq, out, mark, failed)
	for _, tag := range tags {
		t.durable(now, sure, tag)
	}
	if step == ledger.Reread {
		t.emit(Recheck{t.log.Open()})
	}
	if sure && t.dirty && now-t.passAt >= passPause {
		t.pass(now)
	}
	t.release(now, sure)
	return step
}

func (t *Term) rechecked(now time.Duration, sure, read bool, mark uint64, value json.RawMessage) {
	for _, tag := range t.log.ReadBack(now, read, mark, value) {
		t.durable(now, sure, tag)
	}
}

// end answers everybody who still waits; the next leader knows more.
func (t *Term) end() {
	for _, waiting := range []map[uint64][]Asker{t.accepting, t.ending} {
		for _, list := range waiting {
			for _, to := range list {
				t.emit(Reply{to, unavailable("leadership has changed")})
			}
		}
	}
	t.accepting, t.ending = nil, nil
	for _, w := range t.waiting {
		t.emit(ReplyReport{w.to, ReportAnswer{Status: 503}})
	}
	t.waiting = nil
}

// tick does what is due by time.
func (t *Term) tick(now time.Duration, sure bool) {
	if !t.loaded {
		return
	}
	if now-t.fleetAt >= 500*time.Millisecond {
		t.fleetAt = now
		t.book.Age(now.Seconds(), t.cpus())
		t.watch(now, sure)
		if sure {
			t.rent(now)
		}
		t.dirty = true
	}
	t.settle(now)
	if sure && t.dirty {
		t.pass(now)
		if t.cfg.Tunables.Preempt == 1 && now-t.preemptAt >= preemptEvery {
			t.preemptAt = now
			t.stopAll(now, t.plan.Preempt(t.world(now)), "task stopped for another job")
		}
	}
	if sure && now-t.sizesAt >= settings.Seconds(t.cfg.Tunables.SizesEveryS) {
		t.sizesAt = now
		t.writeSizes()
	}
	if sure {
		t.clean(now)
	}
	t.callCloud(now, sure)
	t.release(now, sure)
}

func (t *Term) writeSizes() {
	var list []ledger.VirtualSize
	for _, i := range t.book.Order() {
		if v := t.book.Virtual(i); v > 0 {
			s, _ := t.book.Size(i)
			list = append(list, ledger.VirtualSize{ID: t.table.At(i).Rec.ID, Size: float64(int64(s*10)) / 10, Virtual: float64(int64(v*10)) / 10})
		}
	}
	t.log.SetSizes(list)
}
