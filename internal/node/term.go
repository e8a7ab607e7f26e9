package node

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/amounts"
	"bitternmoor/internal/blocks"
	"bitternmoor/internal/fleet"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/names"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/sizing"
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
	grantIdle    = 8 * time.Second // a job with nothing on a machine for so long has its grant taken back
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
	withdrawn       map[uint64][]int              // grants to be taken back, by job id: numbers of machines
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
	boundPeak  peak // of jobs that may not use spot machines
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

func newTerm(cfg *settings.Settings, zero int64, epoch uint64, now time.Duration) *Term {
	t := &Term{
		cfg: cfg, zero: zero, epoch: epoch, token: epoch << tokenBits, attempts: epoch << attemptBits, began: now,
		table: jobs.NewTable(), yard: workers.NewYard(),
		book: sizing.New(sizing.Params{Train: cfg.Tunables.TrainingTasks,
			Xi: cfg.Tunables.Eagerness, Delta: cfg.Tunables.TrainingLimitS, First: cfg.Tunables.FirstSizeS}),
		buyer: fleet.New(fmt.Sprintf("r-%d", epoch)),
		where: map[workers.Ref]*workers.Placement{}, lives: map[string]int64{}, seen: map[string]time.Duration{}, completed: map[uint64]*ledger.Tasks{},
		granting: map[uint64][]*workers.Machine{}, granted: map[uint64][]*workers.Machine{}, withdrawn: map[uint64][]int{},
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
		switch linked := t.link(j); {
		case !linked:
			t.cancelled(now, sure, j)
			t.counts.CancelSpread++
			t.note(Info, "job cancelled on arrival: it follows a cancelled one", "job", id)
		case len(j.After) == 0:
			t.order(now, j)
		case j.Phase == jobs.Open:
			j.Phase = jobs.Held
		}
		a, _ := t.state(id)
		a.Status, a.Counts = 201, false
		for _, to := range t.accepting[id] {
			t.tell(sure, to, a)
			a.Status = 200
		}
		delete(t.accepting, id)
		if j.Phase == jobs.Cancelled {
			t.tellEnd(sure, id)
		}
	case tagCancel:
		id := uint64(tag)
		if j := t.table.Find(id); j != nil && j.Phase != jobs.Done && j.Phase != jobs.Cancelled {
			t.cancelled(now, sure, j)
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
			for _, f := range t.table.Unlink(j) {
				if len(f.After) == 0 && f.Phase == jobs.Held {
					t.letGo(now, f)
				}
			}
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
		for ; t.first < int(tag); t.first++ {
			t.log.Drop(t.first)
		}
		t.cleaning = false
	case tagRental:
		r := ledger.Rental(tag)
		t.rentals[r.Name] = r
		t.rentDue[r.Name] = now
	}
}

// stopTasks stops all tasks of a job that is cancelled.
func (t *Term) stopTasks(j *jobs.Job) {
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
		m.Withdraw(j.Rec.ID)
	}
	delete(t.withdrawn, j.Rec.ID)
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

// unresolved sums up the machines of which it is not known what an earlier
// term left on them, and says whether one of them may have tasks of any job,
// since no grants were noted for it.
func (t *Term) unresolved() (room amounts.Amounts, blind bool) {
	for _, m := range t.yard.All() {
		if m.Durable && !m.Resolved {
			room = room.Plus(m.Cap)
			blind = blind || m.Number == 0
		}
	}
	return room, blind
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
	most := max(1, t.log.Room()/numberBytes-6)
	// First what is taken back: the same machine may have been granted anew.
	for _, id := range slices.Sorted(maps.Keys(t.withdrawn)) {
		for part := range slices.Chunk(t.withdrawn[id], most) {
			t.log.Append(ledger.Entry{Grant: &ledger.Grant{Job: id, Machines: part, Back: true}}, nil)
		}
	}
	clear(t.withdrawn)
	for _, id := range slices.Sorted(maps.Keys(t.granting)) {
		for part := range slices.Chunk(t.granting[id], most) {
			g := ledger.Grant{Job: id}
			for _, m := range part {
				g.Machines = append(g.Machines, m.Number)
			}
			t.log.Append(ledger.Entry{Grant: &g}, tagGrant{id, part})
		}
	}
	clear(t.granting)
}

// withdraw takes back the grants of jobs that have had nothing on a machine for
// a while, so that a successor that cannot hear it holds back only those that
// have.
func (t *Term) withdraw(now time.Duration, m *workers.Machine, r *workers.Report) {
	for _, id := range m.Unused(now, grantIdle, r) {
		m.Withdraw(id)
		t.granted[id] = slices.DeleteFunc(t.granted[id], func(o *workers.Machine) bool { return o == m })
		t.withdrawn[id] = append(t.withdrawn[id], m.Number)
	}
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
			t.appendTasks(now, *t.completed[id])
		}
		clear(t.completed)
	}
	if txn := t.log.Next(now); txn != nil {
		t.emit(Commit{*txn})
	}
}

// appendTasks appends completed tasks, in as many entries as they need, with
// the time of day for a job that others wait for.
func (t *Term) appendTasks(now time.Duration, b ledger.Tasks) {
	if j := t.table.Find(b.ID); j != nil && len(j.Followers) > 0 {
		b.AtMS = t.zero + now.Milliseconds()
	}
	most := max(1, t.log.Room()/rangeBytes-4)
	for len(b.Ranges) > most {
		part := ledger.Tasks{ID: b.ID, Ranges: b.Ranges[:most], AtMS: b.AtMS}
		t.log.Append(ledger.Entry{Tasks: &part}, tagTasks(part))
		b.Ranges = b.Ranges[most:]
	}
	t.log.Append(ledger.Entry{Tasks: &b}, tagTasks(b))
}

func (t *Term) committed(now time.Duration, sure bool, seq uint64, out ledger.Outcome, mark uint64, failed []string) ledger.Step {
	tags, step := t.log.Result(now, seq, out, mark, failed)
	switch {
	case out == ledger.Invalid && step == ledger.Lost:
		t.note(Error, "the state service refuses a transaction as malformed: the term ends", "epoch", t.epoch, "pending", t.log.Pending())
	case out == ledger.Invalid:
		t.note(Error, "the state service refuses a transaction as malformed: smaller values are tried", "epoch", t.epoch, "pending", t.log.Pending())
	}
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
	slices.SortFunc(list, func(a, b ledger.VirtualSize) int { return cmp.Compare(a.ID, b.ID) })
	t.log.SetSizes(list)
}
