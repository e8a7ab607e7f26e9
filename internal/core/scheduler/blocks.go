// Package scheduler hands the room of machines to jobs: training tasks ahead of
// the others, then the smallest aged virtual size whose team is under its
// limit, and room held for a first job that does not fit.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

// Limit is what a team may use at any time; 0 means no limit.
type Limit struct{ CPU, GPU int64 }

// Scheduler gives waiting tasks to machines.
type Scheduler struct {
	Limits []Limit // by team
	use    []resources.Amounts
	AtOnce int // T
	// UrgentFirst is an exception to the size order: urgent and critical jobs
	// go ahead of it, in size order among themselves.
	UrgentFirst bool
	// BeginWithin puts jobs that have not begun after this time ahead of all but urgent
	// ones; 0 switches this exception off.
	BeginWithin time.Duration
	// Guarantees, by team, put jobs that fit into their team's guarantee
	// together with its earlier unfinished jobs ahead of the order; empty
	// switches this exception off.
	Guarantees []Limit
	// Affinity, in seconds of fetching, is what a place outside the zone in which a job's
	// first task was placed is dearer: jobs stay together by zone, where that costs little.
	Affinity float64
	Locality time.Duration // for how long a job waits for machines with its image

	leftAt   time.Duration // when it was last looked for jobs that are left waiting
	ranks    []int8        // by job index, as of the last call of Order
	scratch  []int32
	refusals []refusal // of this pass
	paced    bool      // a place was left out in the last try of give, since starts are paced
	accel    resources.Amounts
	accelAt  time.Duration
	plain    bool // tests hold the quick path against one that remembers nothing
}

// refusal is a need that found no machine in this pass. Room only shrinks
// while a pass goes on, so whatever needs as much of the same machines, or of
// fewer, finds none either.
type refusal struct {
	need  resources.Amounts
	spot  bool
	types []bool
	zone  string
}

func (r *refusal) covers(j *jobs.Job, spot bool) bool {
	return r.need.Fits(j.Need) && (r.spot || !spot) && (r.types == nil || slices.Equal(r.types, j.Types)) && (r.zone == "" || r.zone == j.Record.Zone)
}

// refused says whether a job's need has found no machine already.
func (p *Scheduler) refused(j *jobs.Job) bool {
	for i := range p.refusals {
		if p.refusals[i].covers(j, j.Spot) {
			return true
		}
	}
	return false
}

// Covers says whether so much may be used at once.
func (l Limit) Covers(use resources.Amounts) bool {
	return (l.CPU == 0 || use.CPU <= l.CPU) && (l.GPU == 0 || use.GPU <= l.GPU)
}

// New makes a planner for the teams with these limits.
func New(limits []Limit, atOnce int) *Scheduler {
	return &Scheduler{Limits: limits, use: make([]resources.Amounts, len(limits)), AtOnce: atOnce}
}

// AddTeam adds a team without a limit.
func (p *Scheduler) AddTeam() {
	p.Limits = append(p.Limits, Limit{})
	p.use = append(p.use, resources.Amounts{})
}

// Charge counts a task against its team, Refund takes it back.
func (p *Scheduler) Charge(team int32, a resources.Amounts) { p.use[team] = p.use[team].Plus(a) }

// Refund takes back what Charge counted.
func (p *Scheduler) Refund(team int32, a resources.Amounts) { p.use[team] = p.use[team].Minus(a) }

// Use is what a team's tasks count as using.
func (p *Scheduler) Use(team int32) resources.Amounts { return p.use[team] }

// Within says whether a team may use a more, with extra counted besides: an
// unresolved machine counts full against every team.
func (p *Scheduler) Within(team int32, a, extra resources.Amounts) bool {
	return p.Limits[team].Covers(p.use[team].Plus(a).Plus(extra))
}

// Allowed says whether a job's tasks may, and should, be on a machine.
func Allowed(j *jobs.Job, m *workers.Machine, zones func(string) int32) bool {
	return (!m.Spot || j.Spot) && permitted(j, m, zones)
}

// permitted says whether a job's tasks may be on a machine by what its user has said.
func permitted(j *jobs.Job, m *workers.Machine, zones func(string) int32) bool {
	if j.Types != nil && (int(m.Type) >= len(j.Types) || !j.Types[m.Type]) {
		return false
	}
	if m.Spot && !j.Record.Spot {
		return false
	}
	return j.Record.Zone == "" || zones(j.Record.Zone) == m.Zone
}

// Pools are counted things that some tasks need besides room. Whoever counts them
// says what may start; the planner tells what it gives out.
type Pools interface {
	// Pass begins a pass: list has the jobs that could start a task now but for
	// units and room, in their order.
	Pass(now time.Duration, list []*jobs.Job)
	// Allows says whether so many more tasks of a job may start.
	Allows(j *jobs.Job, tasks int) bool
	// TaskPlaced and TaskRemoved count a task that was given room, and one whose room was taken
	// back in the same pass.
	TaskPlaced(j *jobs.Job)
	TaskRemoved(j *jobs.Job)
	// Most is how many more tasks the units that are left let start.
	Most(j *jobs.Job) int
	// Why says in words what a job waits for, Never why one could never have what
	// it asks for; empty: nothing.
	Why(j *jobs.Job) string
	Never(rec *eventlog.Job) string
}

// Accelerated is the largest need of a task with accelerators: of the jobs there are, or of
// the last ones for a while after they have left.
func (p *Scheduler) Accelerated(now time.Duration, t *jobs.Table) resources.Amounts {
	var most resources.Amounts
	for _, j := range t.All() {
		if j != nil && j.Need.GPU > 0 {
			most = resources.Amounts{CPU: max(most.CPU, j.Need.CPU), GPU: max(most.GPU, j.Need.GPU), Mem: max(most.Mem, j.Need.Mem)}
		}
	}
	switch {
	case most.GPU > 0:
		p.accel, p.accelAt = most, now
	case now-p.accelAt > accelKept:
		p.accel = resources.Amounts{}
	}
	return p.accel
}

// accelKept is for how long machines are kept for work that needs their accelerators when
// none is there.
const accelKept = 10 * time.Minute

// RunCycle gives out all room that the order lets it give, and says how many jobs got some
// since they were left waiting.
func (p *Scheduler) RunCycle(w Snapshot) (left int) {
	p.refusals = p.refusals[:0]
	if w.AcceleratedNeed.GPU > 0 {
		w.lend = w.lendable()
	}
	order := p.JobOrder(&w)
	least, training := int64(-1), 0
	wants := func(j *jobs.Job) {
		if j.Waiting > 0 && (least < 0 || j.Need.CPU < least) {
			least = j.Need.CPU
		}
	}
	for _, j := range w.Jobs.All() {
		if j != nil && j.Record.Kind == jobs.Service {
			wants(j)
		}
	}
	for _, i := range order {
		j := w.Jobs.At(i)
		wants(j)
		if w.Estimator.InTraining(i) {
			for k := range j.Tasks {
				if !w.Estimator.Training(i, k) {
					break
				}
				if j.Tasks[k] == jobs.Placed {
					training++
				}
			}
		}
	}
	machines := make([]*workers.Machine, 0, 64)
	for _, m := range w.Inventory.All() {
		m.Reserved = false
		if least >= 0 && (p.plain || m.Free.CPU >= least) && (m.Free.CPU > 0 || m.Free.GPU > 0) && m.Usable(w.Now, w.SuspectAfter) {
			machines = append(machines, m)
		}
	}
	if least < 0 {
		return 0
	}
	if w.Pools != nil {
		p.countUnits(&w, order)
	}
	p.services(&w, machines)
	ahead, behind := 0, len(order)
	for ahead < len(order) && p.ranks[order[ahead]] > 0 {
		ahead++
	}
	for behind > 0 && p.ranks[order[behind-1]] < 0 {
		behind--
	}
	held := p.inOrder(&w, order[:ahead], machines, false)
	for _, i := range order[ahead:behind] {
		if training >= p.AtOnce {
			break
		}
		if !w.Estimator.InTraining(i) {
			continue
		}
		j := w.Jobs.At(i)
		for training < p.AtOnce {
			k := w.next(j)
			if k < 0 || !w.Estimator.Training(i, k) || !p.give(&w, j, k, machines) {
				break
			}
			training++
		}
	}
	if p.Locality > 0 {
		w.local = true
		held = p.inOrder(&w, order[ahead:], machines, held)
		w.local = false
	}
	p.inOrder(&w, order[ahead:], machines, held)
	return p.leftWaiting(&w, least)
}

// countUnits begins a pass for whoever counts units.
func (p *Scheduler) countUnits(w *Snapshot, order []int32) {
	var list []*jobs.Job
	add := func(j *jobs.Job) {
		if len(j.Record.Counted) > 0 && j.Waiting > 0 && p.ready(w, j) && w.next(j) >= 0 && p.Within(j.Team, j.Need, w.missing(j.Team)) {
			list = append(list, j)
		}
	}
	for _, j := range w.Jobs.All() {
		if j != nil && j.Record.Kind == jobs.Service {
			add(j)
		}
	}
	for _, i := range order {
		add(w.Jobs.At(i))
	}
	w.Pools.Pass(w.Now, list)
}

// inOrder gives room to the jobs in their order; room is held for the first
// that does not fit, unless it is held already.
func (p *Scheduler) inOrder(w *Snapshot, order []int32, machines []*workers.Machine, held bool) bool {
	for _, i := range order {
		j := w.Jobs.At(i)
		for {
			k := w.next(j)
			if k < 0 {
				break
			}
			if j.Record.Kind == jobs.Gang {
				if p.launch(w, j, machines) {
					break
				}
			} else if p.give(w, j, k, machines) {
				continue
			}
			// Room is held only for a job that has its units: what it waits for then is
			// the end of other tasks, and none of them waits for it.
			if !held && !w.local && !p.paced && p.ready(w, j) && !w.unsettled(j) && w.units(j, j.GangSize()) && p.Within(j.Team, j.Need, w.missing(j.Team)) {
				held = p.hold(w, j)
			}
			break
		}
	}
	return held
}

// services get room first, outside the order.
func (p *Scheduler) services(w *Snapshot, machines []*workers.Machine) {
	for _, j := range w.Jobs.All() {
		if j == nil || j.Record.Kind != jobs.Service {
			continue
		}
		for {
			k := w.next(j)
			if k < 0 || !p.give(w, j, k, machines) {
				break
			}
		}
	}
}

// launch places all waiting tasks of a gang or none. While the gang still
// gathers, lost tasks are replaced under the attempt it has.
func (p *Scheduler) launch(w *Snapshot, j *jobs.Job, machines []*workers.Machine) bool {
	if j.GangFailed || (j.GangBegan && j.Placed > 0) || !p.Within(j.Team, j.Need.Times(j.Waiting), w.missing(j.Team)) || !w.units(j, j.Waiting) {
		return false
	}
	if j.Record.OneZone && j.Placed == 0 {
		// The zone is open yet: the one of the machine that suits best need not
		// be one where all tasks fit.
		var tried []int32
		for _, m := range machines {
			if slices.Contains(tried, m.Zone) {
				continue
			}
			tried = append(tried, m.Zone)
			zone := m.Zone
			if p.all(w, j, slices.DeleteFunc(slices.Clone(machines), func(m *workers.Machine) bool { return m.Zone != zone })) {
				return true
			}
			p.refusals = p.refusals[:0] // that was about one zone
		}
		return false
	}
	return p.all(w, j, machines)
}

// all places all waiting tasks of a job or none.
func (p *Scheduler) all(w *Snapshot, j *jobs.Job, machines []*workers.Machine) bool {
	var placed []int
	for {
		k := w.next(j)
		if k < 0 {
			return true
		}
		if !p.give(w, j, k, machines) {
			break
		}
		placed = append(placed, k)
	}
	for _, k := range placed {
		w.Unplace(j, k)
		p.refusals = p.refusals[:0] // there is more room again
	}
	return false
}

func (p *Scheduler) ready(w *Snapshot, j *jobs.Job) bool {
	return j.Phase == jobs.Open && w.Now >= j.NotBefore
}

// give places one task on the best machine, if there is one.
func (p *Scheduler) give(w *Snapshot, j *jobs.Job, k int, machines []*workers.Machine) bool {
	p.paced = false
	if !p.ready(w, j) || !p.Within(j.Team, j.Need, w.missing(j.Team)) || (!w.left && p.refused(j)) || !w.units(j, 1) {
		return false
	}
	var best *workers.Machine
	var bestScore int64
	paces := w.MayStart != nil && j.Record.Kind == jobs.Array // gangs start as a whole, services first of all
	for _, m := range machines {
		if !j.Need.Fits(m.Free) || !j.ZoneAllows(m.Zone) || !w.gives(j, m) {
			continue
		}
		if paces && !w.MayStart(j, m) {
			p.paced = true
			continue
		}
		// The earliest start, then the tightest fit: a second of fetching
		// weighs as much as ten processors left over.
		score := m.Free.CPU - j.Need.CPU
		if w.kept(j, m) {
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
		if !w.left && !j.ZoneRule() && !p.plain && !p.paced { // there may be room that is only not given yet
			p.refusals = append(p.refusals, refusal{j.Need, j.Spot, j.Types, j.Record.Zone})
		}
		return false
	}
	if !w.left && j.Prompt && j.Record.Kind == jobs.Service && !best.HasImage(j.Image) && p.waitsForImage(w, j, best) {
		p.paced = true
		return false
	}
	if w.local && j.Record.Kind == jobs.Array && !best.HasImage(j.Image) {
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
	if w.kept(j, best) {
		w.lent(j, best)
	}
	w.Place(j, k, best)
	return true
}

// gives says whether room on a machine is for a job: not where it is held for another, or
// kept for tasks that need its accelerators.
func (w *Snapshot) gives(j *jobs.Job, m *workers.Machine) bool {
	if w.left {
		return permitted(j, m, w.Zone)
	}
	return !m.Reserved && Allowed(j, m, w.Zone) && (!w.kept(j, m) || w.mayLend(j, m))
}

// leftAfter is how long a task waits beside room that its job may have before it gets it,
// and leftEvery how often that is looked for.
const (
	leftAfter = 60 * time.Second
	leftEvery = time.Second
)

// leftWaiting is the exception of that name: a job of which a task has waited for a minute
// while machines on which its user lets it be had room for it all the time, or for all of a
// gang, and its team was under its limit, gets that room, whatever it was held or kept for,
// whether we would rather have its tasks elsewhere, and whether the machine was to be
// returned. Room held for a first job that does not fit has no limit in time otherwise: found
// in a test with services on all machines, an urgent gang that fits none of them, and gangs
// that waited beside them for as long as the day was. least is what the smallest task that
// waits needs.
func (p *Scheduler) leftWaiting(w *Snapshot, least int64) (given int) {
	if w.Now-p.leftAt < leftEvery {
		return 0
	}
	p.leftAt = w.Now
	var room []*workers.Machine
	for _, m := range w.Inventory.All() {
		if m.Free.CPU >= least && (m.Free.CPU > 0 || m.Free.GPU > 0) && m.Serves(w.Now, w.SuspectAfter) {
			room = append(room, m)
		}
	}
	var none []refusal // needs that found no room
	w.left = true
	for _, j := range w.Jobs.All() {
		if j == nil || j.Waiting == 0 || !p.ready(w, j) || w.next(j) < 0 || !p.Within(j.Team, j.Need.Times(j.GangSize()), w.missing(j.Team)) || !w.units(j, j.GangSize()) ||
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
		case w.Now-j.StarvedSince >= leftAfter:
			if p.giveLeft(w, j, room) {
				given++
			}
		}
	}
	w.left = false
	return given
}

// giveLeft gives a job that was left waiting what room there is for it, and says whether
// that was any.
func (p *Scheduler) giveLeft(w *Snapshot, j *jobs.Job, room []*workers.Machine) bool {
	before := j.Placed
	if j.Record.Kind == jobs.Gang {
		p.launch(w, j, room)
	} else {
		for k := w.next(j); k >= 0 && p.give(w, j, k, room); k = w.next(j) {
		}
	}
	if j.Placed == before {
		return false
	}
	j.StarvedSince = 0
	for _, m := range room {
		if m.Draining && m.HasPlans() {
			m.Draining, m.KeptUntil = false, w.Now+leftAfter // the plan would be taken back else
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
		if !j.Need.Fits(m.Free) || !j.ZoneAllows(m.Zone) || !permitted(j, m, w.Zone) {
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

// waitsForImage says whether a replica that should start within a moment leaves room on a
// machine that would have to fetch its image first: for a fraction of the fetch, and not
// for long. On a full cluster the next room comes free sooner, and often where the image is.
func (p *Scheduler) waitsForImage(w *Snapshot, j *jobs.Job, m *workers.Machine) bool {
	if j.DelayedSince == 0 {
		j.DelayedSince = w.Now
	}
	return p.Locality > 0 && w.Now-j.DelayedSince < min(promptPatience, time.Duration(j.Record.ImageGB/m.FetchGBPS/4*float64(time.Second)))
}

// promptPatience is how long it waits at most.
const promptPatience = 400 * time.Millisecond

// hold keeps the room of machines for a job that fits nowhere now: of those
// that would fit it the ones with most room already, as many as its waiting
// tasks fill and its team may use. For a job bound to one zone they are of
// one zone; for a gang nothing is held unless all of it would fit, for then
// waiting would bring nothing.
func (p *Scheduler) hold(w *Snapshot, j *jobs.Job) bool {
	var fit []*workers.Machine
	slots := map[int32]int{}
	total := 0
	for _, m := range w.Inventory.All() {
		if m.Usable(w.Now, w.SuspectAfter) && w.suits(j, m) {
			fit = append(fit, m)
			n := TasksThatFit(j.Need, m.Cap)
			slots[m.Zone] += n
			total += n
		}
	}
	slices.SortFunc(fit, func(a, b *workers.Machine) int { return cmp.Compare(b.Free.CPU, a.Free.CPU) })
	if j.Record.OneZone && len(fit) > 0 {
		zone := fit[0].Zone
		for _, m := range fit {
			if slots[m.Zone] > slots[zone] {
				zone = m.Zone
			}
		}
		total = slots[zone]
		fit = slices.DeleteFunc(fit, func(m *workers.Machine) bool { return m.Zone != zone })
	}
	want := 0
	for n := j.Waiting; want < n && p.Within(j.Team, j.Need.Times(want+1), w.missing(j.Team)); want++ {
	}
	if j.Record.Kind == jobs.Gang && (want < j.Waiting || total < j.Waiting) {
		return false
	}
	held := false
	for _, m := range fit {
		if want <= 0 {
			break
		}
		m.Reserved, held = true, true
		want -= TasksThatFit(j.Need, m.Cap)
	}
	return held
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
