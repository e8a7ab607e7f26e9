// Package pools is the duty that counts scarce things which tasks need besides
// room, such as licences: pools of so many units, of which never more are out than
// there are, whatever fails. docs/pools.md is its design note, the argument for its
// safety, and the operators' page.
//
// A unit is out from before its task's start leaves the leader until the task is
// proved gone, by the same proofs as for the task itself. So nothing is written
// when units are given or come back: what is out follows from where tasks count as
// being, which grants and reports tell a new leader as well. Only what operators
// change, and units that stay out after a loss, is written, in values of the duty's
// own.
package pools

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"bitternmoor/internal/blocks"
	"bitternmoor/internal/cluster"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/workers"
)

// Name is that of the duty, its entries and its values.
const Name = "pools"

// firstSession is that of a worker that never lost its tasks.
const firstSession = 1

// urgent is the priority from which on the reserve of a pool may be used.
const urgent = 2

// pool is one pool, and what a count has found of it.
type pool struct {
	name     string
	index    int32
	conf     settings.Pool
	known    bool // in the operators' settings
	size     int64
	drained  bool
	shares   map[int32]int64 // most units a team may have out
	pending  int64           // a larger size that is not durable yet; 0: none
	override bool            // the size is not that of the settings
	version  uint64          // of what operators changed; 0: nothing
	durable  uint64          // the version that is durable
	changes  []change        // the last ones, for repeats
	value    int             // that keeps it; 0: none yet

	tally
	teams     map[int32]*tally // of teams with a share
	uncertain int64            // of what is out: on machines that have not reported in this term
	lost      int64            // of what is out: held after a loss
	waiting   int64            // units that waiting tasks need
}

// tally is what is out of a pool, or of a team's share of it.
type tally struct {
	out   int64
	held  int64   // of what is out: for whole jobs
	most  int64   // that a task needs of a job which holds units as a whole
	claim *holder // the first in the order that could start a task but for units
}

// need is what a job needs of a pool.
type need struct {
	pool   int32
	units  int64
	perJob bool
}

// holder is a job that needs units.
type holder struct {
	job     *jobs.Job
	needs   []need
	unknown string // a pool that it needs and that there is not; empty: none
	started bool   // this leader has started a task of it
	begun   bool   // it holds what it needs as a whole
	whole   bool   // it needs something as a whole
}

// Duty counts units in a term.
type Duty struct {
	cluster.Plain
	*cluster.State
	pools  []*pool
	byName map[string]int32

	holders []*holder // in the order in which they came
	order   []*holder // those that could start a task in this pass, the first ones first
	byJob   map[int32]*holder
	over    map[uint64][]need // what cancelled jobs of earlier terms need, by id
	strays  map[*workers.Machine]*strays
	closed  bool // a machine may have units of any pool

	losses   []loss
	anew     map[*workers.Machine]bool // machines that began anew under their names and are not resolved yet
	resolved *workers.Machine          // by the report that is being taken in
	shelf    shelf
	papers   papers
}

// New makes the duty of a term.
func New(s *cluster.State) *Duty {
	d := &Duty{State: s, byName: map[string]int32{}, byJob: map[int32]*holder{}, over: map[uint64][]need{}, strays: map[*workers.Machine]*strays{}, anew: map[*workers.Machine]bool{}}
	d.papers.of = map[uint64]map[paperKey]*paper{}
	for _, c := range s.Cfg.Tunables.Pools {
		p := d.pool(c.Name)
		p.conf, p.known, p.size = c, true, int64(c.Units)
		for _, share := range c.Shares {
			team := s.Teams.Index(share.Team)
			if p.shares == nil {
				p.shares, p.teams = map[int32]int64{}, map[int32]*tally{}
			}
			p.shares[team], p.teams[team] = int64(share.Units), &tally{}
		}
	}
	s.Units = d
	return d
}

// pool gives the pool with a name, which may be in no settings.
func (d *Duty) pool(name string) *pool {
	i, ok := d.byName[name]
	if !ok {
		i = int32(len(d.pools))
		d.byName[name] = i
		d.pools = append(d.pools, &pool{name: name, index: i})
	}
	return d.pools[i]
}

// Replay notes what jobs need that are over by the end of the log: their tasks may
// be somewhere yet.
func (d *Duty) Replay(now time.Duration, e ledger.Entry) {
	switch {
	case e.Own != nil:
		d.replayPaper(e.Own)
	case e.Job != nil:
		rec := *e.Job
		rec.Unguard()
		if len(rec.Counted) > 0 {
			d.over[rec.ID], _ = d.needs(rec.Counted)
		}
	}
}

// Begin enters the open jobs.
func (d *Duty) Begin(time.Duration) {
	for id := range d.over {
		if p, _ := d.Jobs.Final(id); p != jobs.Cancelled {
			delete(d.over, id)
		}
	}
	for _, j := range d.Jobs.All() {
		if j != nil {
			d.enter(j)
		}
	}
}

func (d *Duty) needs(list []ledger.Counted) (out []need, unknown string) {
	for _, c := range list {
		p := d.pool(c.Pool) // it may be in no settings any more, and units of it out
		if !p.known {
			unknown = c.Pool
		}
		out = append(out, need{p.index, int64(c.Units), c.PerJob})
	}
	return out, unknown
}

func (d *Duty) enter(j *jobs.Job) {
	if len(j.Rec.Counted) == 0 || d.byJob[j.Index] != nil {
		return
	}
	h := &holder{job: j}
	h.needs, h.unknown = d.needs(j.Rec.Counted)
	h.whole = slices.ContainsFunc(h.needs, func(n need) bool { return n.perJob })
	d.holders = append(d.holders, h)
	d.byJob[j.Index] = h
}

// Hear follows jobs and what is lost.
func (d *Duty) Hear(e cluster.Event) {
	switch e.Kind {
	case cluster.JobOrdered:
		d.enter(e.Job)
	case cluster.JobLeft:
		if h := d.byJob[e.Job.Index]; h != nil && h.job == e.Job {
			delete(d.byJob, e.Job.Index)
			d.forget(h)
			d.holders = slices.DeleteFunc(d.holders, func(o *holder) bool { return o == h })
		}
		d.dropPapers(e.Job.Rec.ID, -1)
	case cluster.TaskPlaced:
		if h := d.byJob[e.Job.Index]; h != nil {
			h.started = true
		}
	case cluster.TaskDone:
		d.dropPapers(e.Job.Rec.ID, e.Task)
	case cluster.TaskGone:
		d.dropPapers(e.Job.Rec.ID, e.Task)
		if h := d.byJob[e.Job.Index]; h != nil && e.Lost {
			d.lose(e.At, h.job, h.needs, 1)
		}
	case cluster.OfferLost:
		if h := d.byJob[e.Job.Index]; h != nil {
			d.lose(e.At, h.job, h.needs, 1)
		}
	case cluster.ReportTaken:
		d.look(e.Machine, e.Report)
		// A machine that may have tasks of an earlier term has had a token then.
		if e.Report.Token == 0 && e.Machine.Unresolved() {
			d.anew[e.Machine] = true
		}
		if d.resolved == e.Machine && (e.Machine.Session > firstSession || d.anew[e.Machine]) {
			d.loseUnseen(e.At, e.Machine) // a worker of an earlier session, or life, may have died under its tasks
		}
		if !e.Machine.Unresolved() {
			delete(d.anew, e.Machine)
		}
		d.resolved = nil
	case cluster.MachineResolved:
		d.resolved = e.Machine // what its report shows is counted first
		if d.Yard.Find(e.Machine.Name) == nil {
			d.loseUnseen(e.At, e.Machine)
			d.resolved = nil
		}
	case cluster.MachineGone:
		delete(d.anew, e.Machine)
		d.strayLost(e.At, e.Machine)
		// Before it is written that the machine is gone: a new leader would take
		// these units for free.
		d.writeLosses()
	}
}

// forget takes a job that has left out of all that refers to it.
func (d *Duty) forget(h *holder) {
	d.order = slices.DeleteFunc(d.order, func(o *holder) bool { return o == h })
	for _, n := range h.needs {
		p := d.pools[n.pool]
		if p.claim == h {
			p.claim = nil
		}
		if t := p.teams[h.job.Team]; t != nil && t.claim == h {
			t.claim = nil
		}
	}
}

// strays are tasks that a machine shows and that no placement stands for.
type strays struct {
	needs   []need
	unknown bool // what one of them needs is not known
}

// look notes the tasks that a report shows beside those that count as being there.
func (d *Duty) look(m *workers.Machine, r *workers.Report) {
	if len(d.holders) == 0 && len(d.over) == 0 && d.strays[m] == nil {
		return
	}
	var s strays
	for _, t := range r.Tasks {
		if t.State == workers.Ended {
			continue
		}
		j := d.Jobs.Find(t.Job)
		if j == nil {
			list, known := d.over[t.Job]
			s.needs = append(s.needs, list...)
			s.unknown = s.unknown || (!known && d.mayNeed(t.Job))
			continue
		}
		h := d.byJob[j.Index]
		if h == nil {
			continue
		}
		if !m.Stands(workers.Ref{Job: j.Index, Task: int32(t.Task)}, t.Attempt) {
			s.needs = append(s.needs, h.needs...)
		}
	}
	if before := d.strays[m] != nil; before || len(s.needs) > 0 || s.unknown {
		d.Dirty = true
		if len(s.needs) == 0 && !s.unknown {
			delete(d.strays, m)
		} else {
			d.strays[m] = &s
		}
	}
}

// mayNeed says whether a job that is in no table may have needed units: its entry
// may have been cleaned away.
func (d *Duty) mayNeed(id uint64) bool {
	p, over := d.Jobs.Final(id)
	return !over || p == jobs.Cancelled
}

// count finds out what is out.
func (d *Duty) count(now time.Duration) {
	for _, p := range d.pools {
		p.tally, p.uncertain, p.lost, p.waiting = tally{claim: p.claim}, 0, 0, 0
		for _, t := range p.teams {
			*t = tally{claim: t.claim}
		}
	}
	unresolved, _ := d.Unresolved()
	d.closed = false
	var unheard []*workers.Machine
	if unresolved > 0 {
		for _, m := range d.Yard.All() {
			if m.Unresolved() {
				unheard = append(unheard, m)
				// A cancelled job whose needs are not known any more may be there, or
				// no grants were noted at all.
				d.closed = d.closed || m.AnyTeam || m.Number == 0
			}
		}
	}
	var perhaps []*holder // with tasks that may be on those
	for _, h := range d.holders {
		if d.countHolder(h, unheard) > 0 {
			perhaps = append(perhaps, h)
		}
	}
	if len(perhaps) > 1 {
		d.fitUnseen(perhaps, unheard)
	}
	for _, s := range d.strays {
		for _, n := range s.needs {
			d.pools[n.pool].add(-1, n.units)
		}
		d.closed = d.closed || s.unknown
	}
	at := d.timeMS(now)
	for _, l := range d.losses {
		if l.Until > at {
			team, ok := d.Teams.Find(l.Team)
			if !ok {
				team = -1
			}
			p := d.pool(l.Pool)
			p.add(team, l.Units)
			p.lost += l.Units
		}
	}
}

// add counts units as out; team -1 is nobody's.
func (p *pool) add(team int32, units int64) {
	p.out += units
	if t := p.teams[team]; t != nil {
		t.out += units
	}
}

// hold counts units as held by a job as a whole, which are out too.
func (p *pool) hold(team int32, units int64) {
	p.held += units
	if t := p.teams[team]; t != nil {
		t.held += units
	}
}

// raise counts what a task needs of a job that holds units as a whole.
func (p *pool) raise(team int32, units int64) {
	p.most = max(p.most, units)
	if t := p.teams[team]; t != nil {
		t.most = max(t.most, units)
	}
}

// fitUnseen takes back what counts as out perhaps beyond what the machines that were
// not heard could hold all together: each job was counted as if it had them for itself.
// What runs on a machine fits its processors, so it holds no more units than if all of
// them went to the job that needs most units for a processor.
func (d *Duty) fitUnseen(perhaps []*holder, unheard []*workers.Machine) {
	most := map[int32]float64{}
	for _, m := range unheard {
		here := map[int32]float64{}
		for _, h := range perhaps {
			if !m.MayHave(h.job.Rec.ID) {
				continue
			}
			for _, n := range h.needs {
				if n.perJob {
					continue
				}
				units := float64(n.units * int64(blocks.Slots(h.job.Need, m.Cap)))
				if h.job.Need.CPU > 0 {
					units = float64(n.units) * float64(m.Cap.CPU) / float64(h.job.Need.CPU)
				}
				here[n.pool] = max(here[n.pool], units)
			}
		}
		for pool, units := range here {
			most[pool] += units
		}
	}
	whole := map[int32]int64{} // for jobs as a whole: these stay
	for _, h := range perhaps {
		for _, n := range h.needs {
			if n.perJob && !h.begun {
				whole[n.pool] += n.units
			}
		}
	}
	for i, p := range d.pools {
		if over := p.uncertain - whole[int32(i)] - int64(math.Ceil(most[int32(i)])); over > 0 {
			p.uncertain -= over
			p.out -= over
		}
	}
}

// countHolder counts a job, and says how many tasks of it run perhaps unseen.
func (d *Duty) countHolder(h *holder, unheard []*workers.Machine) int64 {
	j := h.job
	unseen := int64(d.unseen(j, unheard))
	h.begun = j.Placed > 0 || ((h.started || j.Finished > 0) && j.Finished < len(j.Tasks))
	for _, n := range h.needs {
		p := d.pools[n.pool]
		switch {
		case !n.perJob:
			p.add(j.Team, n.units*(int64(j.Placed)+unseen))
			p.uncertain += n.units * unseen
			if j.Phase == jobs.Open {
				p.waiting += n.units * int64(j.Waiting)
			}
		case h.begun:
			p.add(j.Team, n.units)
			p.hold(j.Team, n.units)
		case unseen > 0:
			p.add(j.Team, n.units)
			p.uncertain += n.units
		case j.Phase == jobs.Open && j.Waiting > 0:
			p.waiting += n.units
		}
		if !n.perJob && h.whole && h.begun {
			p.raise(j.Team, n.units*together(j))
		}
	}
	return unseen
}

// together is how many of a job's tasks start together.
func together(j *jobs.Job) int64 {
	if j.Rec.Kind == jobs.Gang {
		return int64(len(j.Tasks))
	}
	return 1
}

// unseen is how many tasks of a job at most run on machines that have not reported
// in this term.
func (d *Duty) unseen(j *jobs.Job, unheard []*workers.Machine) int {
	if len(unheard) == 0 || !d.MayRunUnseen(j) {
		return 0
	}
	n, room := mayRun(j), 0
	for _, m := range unheard {
		if room >= n {
			break
		}
		if m.MayHave(j.Rec.ID) {
			room += blocks.Slots(j.Need, m.Cap)
		}
	}
	return min(n, room)
}

// mayRun is how many tasks of a job have no place and may have been started by an
// earlier term.
func mayRun(j *jobs.Job) int {
	list := j.Tasks
	if j.Rec.Kind != jobs.Gang && !j.ZoneRule() {
		list = list[:min(j.FreshFrom, len(list))]
	}
	n := 0
	for _, s := range list {
		if s == jobs.Waiting {
			n++
		}
	}
	return n
}

// Pass begins a pass of the planner. list has the jobs that could start a task if
// they had units and room, in their order. The first of them that needs a pool has
// its next units kept for it: others may pass it only where they leave so much.
// Jobs that hold something as a whole come first, so that they get on and give it
// back.
func (d *Duty) Pass(now time.Duration, list []*jobs.Job) {
	d.count(now)
	for _, p := range d.pools {
		p.claim = nil
		for _, t := range p.teams {
			t.claim = nil
		}
	}
	d.order = d.order[:0]
	for _, first := range []bool{true, false} {
		for _, j := range list {
			if h := d.byJob[j.Index]; h != nil && (h.whole && h.begun) == first {
				d.order = append(d.order, h)
			}
		}
	}
	for _, h := range d.order {
		for _, n := range h.needs {
			p := d.pools[n.pool]
			if t := p.teams[h.job.Team]; t != nil && t.claim == nil && h.wants(n) {
				t.claim = h
			}
			if p.claim == nil && d.couldTake(h, n) {
				p.claim = h
			}
		}
	}
}

// wants says whether a job still needs units of a pool to start a task.
func (h *holder) wants(n need) bool { return h.job.Waiting > 0 && h.next(n) > 0 }

// couldTake says whether it wants some and its team's share lets it have them.
func (d *Duty) couldTake(h *holder, n need) bool {
	p := d.pools[n.pool]
	t := p.teams[h.job.Team]
	return h.wants(n) && (t == nil || t.out+h.next(n) <= p.shares[h.job.Team])
}

// claims settles again who is first for a pool: who was may have got all that it
// could have in this pass.
func (d *Duty) claims(n need, team int32) {
	p := d.pools[n.pool]
	still := func(h *holder, could func(*holder, need) bool) bool {
		return h == nil || slices.ContainsFunc(h.needs, func(x need) bool { return x.pool == n.pool && could(h, x) })
	}
	find := func(could func(*holder, need) bool) *holder {
		for _, h := range d.order {
			if still(h, could) {
				return h
			}
		}
		return nil
	}
	if !still(p.claim, d.couldTake) {
		p.claim = find(d.couldTake)
	}
	ofTeam := func(h *holder, x need) bool { return h.job.Team == team && h.wants(x) }
	if t := p.teams[team]; t != nil && !still(t.claim, ofTeam) {
		t.claim = find(ofTeam)
	}
}

// next is what a job needs of a pool to start the next of its tasks.
func (h *holder) next(n need) int64 {
	switch {
	case !n.perJob && h.job.Rec.Kind == jobs.Gang:
		return n.units * int64(h.job.Waiting)
	case n.perJob && h.begun:
		return 0
	}
	return n.units
}

// cap is how many units of a pool may be out for a job to start.
func (p *pool) cap(j *jobs.Job) int64 {
	if j.Priority >= urgent {
		return p.size
	}
	return p.size - int64(p.conf.Reserve)
}

// Allows says whether so many more tasks of a job may start.
func (d *Duty) Allows(j *jobs.Job, n int) bool {
	_, ok := d.blocked(j, int64(n))
	return ok
}

// blocked finds the need that keeps a job from starting tasks.
func (d *Duty) blocked(j *jobs.Job, n int64) (need, bool) {
	h := d.byJob[j.Index]
	if h == nil || h.unknown != "" || !d.shelf.read || d.closed {
		return need{pool: -1}, false
	}
	for _, x := range h.needs {
		if n, ok := x, d.allows(h, x, n); !ok {
			return n, false
		}
	}
	return need{}, true
}

func (d *Duty) allows(h *holder, x need, n int64) bool {
	p, j := d.pools[x.pool], h.job
	units := x.units
	switch {
	case !x.perJob:
		units *= n
	case h.begun:
		return true
	}
	if p.drained || (p.conf.HoldAfterLossS > 0 && d.lossesOpen()) {
		return false
	}
	d.claims(x, j.Team)
	if !p.tally.allows(h, x, units, p.cap(j)) {
		return false
	}
	t := p.teams[j.Team]
	return t == nil || t.allows(h, x, units, p.shares[j.Team])
}

// allows says whether units may go out to a job.
func (t *tally) allows(h *holder, x need, units, most int64) bool {
	kept, held, task := int64(0), t.held, t.most
	if c := t.claim; c != nil && c != h {
		for _, n := range c.needs {
			if n.pool != x.pool {
				continue
			}
			kept += c.next(n)
			if n.perJob && !c.begun {
				held += n.units
			} else if !n.perJob && c.whole {
				task = max(task, n.units*together(c.job))
			}
		}
		if h.whole && h.begun && (!c.whole || !c.begun) {
			kept, held = 0, t.held // it must get on for the others to get anything
		}
	}
	if t.out+units+kept > most {
		return false
	}
	if !h.whole || h.begun {
		return true
	}
	// A job that will hold units as a whole may begin only if, with those that all
	// such jobs hold, the largest start of any of them can still come about: then
	// none of them ever waits for what another one keeps.
	for _, n := range h.needs {
		if n.pool != x.pool {
			continue
		}
		if n.perJob {
			held += n.units
		} else {
			task = max(task, n.units*together(h.job))
		}
	}
	return held+task <= most
}

// Took counts a task that was given room.
func (d *Duty) Took(j *jobs.Job) { d.took(j, 1) }

// Gave takes that back.
func (d *Duty) Gave(j *jobs.Job) { d.took(j, -1) }

func (d *Duty) took(j *jobs.Job, by int64) {
	h := d.byJob[j.Index]
	if h == nil {
		return
	}
	begins := by > 0 && !h.begun
	ends := by < 0 && j.Placed == 0 && !h.started && j.Finished == 0
	for _, n := range h.needs {
		p := d.pools[n.pool]
		switch {
		case !n.perJob:
			p.add(j.Team, by*n.units)
			if begins && h.whole {
				p.raise(j.Team, n.units*together(j))
			}
		case begins, ends:
			p.add(j.Team, by*n.units)
			p.hold(j.Team, by*n.units)
		}
	}
	h.begun = (h.begun || begins) && !ends
}

// Most is how many more tasks of a job the units that are left would let start:
// machines for more would stand idle.
func (d *Duty) Most(j *jobs.Job) int {
	h := d.byJob[j.Index]
	if h == nil || h.unknown != "" || !d.shelf.read {
		return 0
	}
	most := j.Waiting
	for _, n := range h.needs {
		p := d.pools[n.pool]
		if p.drained {
			return 0
		}
		left := p.cap(j) - p.out
		if t := p.teams[j.Team]; t != nil {
			left = min(left, p.shares[j.Team]-t.out)
		}
		switch {
		case !n.perJob:
			most = min(most, int(max(0, left)/n.units))
		case !h.begun && left < n.units:
			return 0
		}
	}
	return most
}

// Never says why a job could never have the units that it asks for, or nothing.
func (d *Duty) Never(rec *ledger.Job) string {
	type sum struct{ task, job int64 }
	sums := map[int32]*sum{}
	team, _ := d.Teams.Find(rec.Team)
	each := int64(1)
	if rec.Kind == jobs.Gang {
		each = int64(rec.Tasks)
	}
	for _, c := range rec.Counted {
		i, ok := d.byName[c.Pool]
		if !ok || !d.pools[i].known {
			return fmt.Sprintf("counted: no such pool: %s", c.Pool)
		}
		s := sums[i]
		if s == nil {
			s = &sum{}
			sums[i] = s
		}
		if c.PerJob {
			s.job += int64(c.Units)
		} else {
			s.task += int64(c.Units) * each
		}
	}
	for _, i := range sortedKeys(sums) {
		p, s := d.pools[i], sums[i]
		most, what := max(p.size, p.pending), "it has"
		if rec.Priority < urgent {
			most -= int64(p.conf.Reserve)
			what = "others than urgent jobs may have of it"
		}
		if share, ok := p.shares[team]; ok && share < most {
			most, what = share, "its team may have of it"
		}
		if s.task+s.job > most {
			return fmt.Sprintf("counted: %d units of %s are needed at once, more than the %d that %s", s.task+s.job, p.name, max(0, most), what)
		}
	}
	return ""
}

func sortedKeys[V any](m map[int32]V) []int32 {
	out := make([]int32, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Tick reads and writes values, lets losses run out, and has machines deleted early
// that keep units which others wait for.
func (d *Duty) Tick(now time.Duration, sure bool) {
	if !sure {
		return
	}
	d.keep(now)
	at := d.timeMS(now)
	before := len(d.losses)
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool { return l.Until <= at })
	if len(d.losses) < before {
		d.Dirty = true
		d.shelf.lossesDue = true
	}
	if after := d.Cfg.Tunables.UnitsSilentS; after > 0 {
		d.hurry(now, settings.Seconds(after))
	}
}

// hurry gives machines up early that are silent while others wait for units which
// their tasks keep: the setting weighs the machine's price against the wait.
func (d *Duty) hurry(now, after time.Duration) {
	var wanted []bool
	for i, p := range d.pools {
		if h := p.claim; h != nil && h.job.Waiting > 0 {
			if wanted == nil {
				wanted = make([]bool, len(d.pools))
			}
			for _, n := range h.needs {
				wanted[n.pool] = wanted[n.pool] || (int(n.pool) == i && p.out+h.next(n) > p.cap(h.job))
			}
		}
	}
	if wanted == nil || d.Deaf(now) {
		return
	}
	keeps := func(j *jobs.Job) bool {
		h := d.byJob[j.Index]
		return h != nil && slices.ContainsFunc(h.needs, func(n need) bool { return wanted[n.pool] })
	}
	for _, m := range slices.Clone(d.Yard.All()) {
		if m.Leaving || !m.Durable || now-max(m.Heard, d.Began) <= max(after, d.Quiet()) {
			continue
		}
		on := false
		for _, p := range m.Tasks {
			on = on || (!p.Planned && keeps(d.Jobs.At(p.Ref.Job)))
		}
		if !m.Resolved {
			for id := range m.Grants {
				if j := d.Jobs.Find(id); j != nil {
					on = on || keeps(j)
				}
			}
		}
		if on {
			d.Note(effects.Info, "a silent machine is given up early: others wait for counted units there", "machine", m.Name)
			d.Leave(now, m, cluster.Delete, "silent, and others wait for counted units there")
		}
	}
}

// Why says what a job waits for, in plain words; empty: it does not wait for units.
func (d *Duty) Why(j *jobs.Job) string {
	h := d.byJob[j.Index]
	switch {
	case h == nil:
		return ""
	case h.unknown != "":
		return fmt.Sprintf("it needs units of the pool %s, which is not in the leader's settings", h.unknown)
	case !d.shelf.read:
		return "what operators have changed of pools is being read: no units are given out before"
	case d.closed:
		return "a machine that has not reported yet may have units of any pool: none are given out before it is heard or gone"
	}
	x, ok := d.blocked(j, together(j))
	if ok {
		return ""
	}
	p := d.pools[x.pool]
	if p.drained {
		return fmt.Sprintf("it needs %d units of %s, which is drained", h.next(x), p.name)
	}
	if p.conf.HoldAfterLossS > 0 && d.lossesOpen() {
		return fmt.Sprintf("it needs %d units of %s; none go out before it is written which are lost", h.next(x), p.name)
	}
	why := fmt.Sprintf("it waits for units of %s: it needs %d, and %d of %d are out", p.name, h.next(x), p.out, p.size)
	if p.uncertain > 0 {
		why += fmt.Sprintf(", %d of them perhaps, on machines that have not reported yet", p.uncertain)
	}
	if p.lost > 0 {
		why += fmt.Sprintf(", %d of them for a while after the loss of a machine", p.lost)
	}
	if j.Priority < urgent && p.conf.Reserve > 0 {
		why += fmt.Sprintf("; %d are for urgent jobs", p.conf.Reserve)
	}
	if t := p.teams[j.Team]; t != nil {
		why += fmt.Sprintf("; its team has %d of its %d", t.out, p.shares[j.Team])
	}
	for _, c := range []*holder{p.claim, teamClaim(p, j)} {
		if c != nil && c != h {
			return why + fmt.Sprintf("; job %s is before it in the order, and its next units are kept for it", idOf(c.job))
		}
	}
	return why
}

func teamClaim(p *pool, j *jobs.Job) *holder {
	if t := p.teams[j.Team]; t != nil {
		return t.claim
	}
	return nil
}

// Gauges gives the numbers of each pool; those of many pools are summed up, so that
// their labels stay few.
func (d *Duty) Gauges(now time.Duration) []cluster.Gauge {
	d.count(now)
	out := []cluster.Gauge{{Name: "bitternmoor_pool_units", Help: "Units that a pool has."}, {Name: "bitternmoor_pool_units_out", Help: "Units that are out, or may be."},
		{Name: "bitternmoor_pool_units_waiting", Help: "Units that waiting tasks need."}, {Name: "bitternmoor_pool_units_uncertain", Help: "Units that are out only perhaps: on machines that have not reported since the last takeover."}}
	list := slices.SortedFunc(slices.Values(d.pools), func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	for i := range out {
		out[i].Label, out[i].Values = "pool", map[string]float64{}
	}
	for n, p := range list {
		name := p.name
		if n >= labelsMost {
			name = "others"
		}
		for i, v := range []int64{p.size, p.out, p.waiting, p.uncertain} {
			out[i].Values[name] += float64(v)
		}
	}
	return out
}

// labelsMost is how many pools have numbers of their own.
const labelsMost = 100
