package node

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bitternmoor/internal/amounts"
	"bitternmoor/internal/blocks"
	"bitternmoor/internal/fleet"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
	"bitternmoor/internal/workers"
)

const (
	listEvery  = 12 * time.Second
	typesEvery = 60 * time.Second
	bootSlack  = 20 * time.Second
	avoidFor   = 45 * time.Second // a zone whose machines were silent together
	fewSilent  = 4                // fewer of them are no sign of anything but themselves
)

// leave decides, for good, that a machine is to be deleted.
func (t *Term) leave(m *workers.Machine, why string) {
	if m.Leaving {
		return
	}
	m.Leaving, m.Why = true, why
	t.takeBackAll(m)
	t.dirty = true
	if len(m.Tasks) > 0 {
		t.counts.MachinesLost++
	}
	t.note(Info, "machine returned", "machine", m.Name, "why", why, "tasks", len(m.Tasks))
}

// takeBackAll takes back all that is planned on a machine.
func (t *Term) takeBackAll(m *workers.Machine) {
	for _, p := range m.Tasks {
		if p.Planned {
			t.takeBack(p)
		}
	}
}

// heard counts the machines that should be heard, and those of them that are
// silent, by zone.
func (t *Term) heard(now time.Duration) (up, silent []int) {
	up, silent = make([]int, t.zones.Len()), make([]int, t.zones.Len())
	for _, m := range t.yard.All() {
		if m.Up || m.Durable {
			up[m.Zone]++
			if now-max(m.Heard, t.began) > t.quiet() {
				silent[m.Zone]++
			}
		}
	}
	return up, silent
}

// most says whether so many of so many machines are silent that the fault is
// not theirs.
func most(silent, up int) bool { return silent >= fewSilent && silent*2 > up }

// deaf says whether most machines are silent at once.
func (t *Term) deaf(now time.Duration) bool {
	up, silent := 0, 0
	byZone, silentIn := t.heard(now)
	for z := range byZone {
		up += byZone[z]
		silent += silentIn[z]
	}
	return most(silent, up)
}

// avoidSilentZones has nothing rented for a while where most machines are
// silent while others are heard.
func (t *Term) avoidSilentZones(now time.Duration) {
	up, silent := t.heard(now)
	for z, n := range silent {
		if most(n, up[z]) {
			name := t.zones.Name(int32(z))
			if !t.buyer.Avoided(now, name) {
				t.note(Warn, "most machines of a zone are silent: nothing is rented there for now", "zone", name, "silent", n, "of", up[z])
			}
			t.buyer.Avoid(name, now+avoidFor)
		}
	}
}

// watch looks after every machine: silent ones, boots that take too long,
// spot notices, tasks that were to be stopped and are still there.
func (t *Term) watch(now time.Duration, sure bool) {
	w := t.cfg.Deployment.Workers
	limit := t.silence()
	if t.deaf(now) {
		// Most of them at once: the fault is more likely on our side.
		limit = max(limit, settings.Seconds(1.2*w.LeaseS))
	} else {
		t.avoidSilentZones(now)
	}
	overdue := settings.Seconds(0.5 * w.CancelS)
	for _, m := range slices.Clone(t.yard.All()) {
		if m.Leaving {
			continue
		}
		heard := max(m.Heard, t.began)
		if now-heard > t.quiet() {
			t.takeBackAll(m)
		}
		switch {
		case sure && (m.Up || m.Durable) && now-heard > limit:
			t.leave(m, "silent")
		case sure && !m.Up && !m.Durable && now-m.RentedAt > settings.Seconds(t.cfg.Tunables.BootGiveUpTimes*t.types[m.Type].BootS)+bootSlack:
			t.leave(m, "never came up")
		case m.Notice && now > m.TakenAt:
			t.leave(m, "taken by the cloud")
		case m.Notice && len(m.Tasks) == 0:
			t.leave(m, "to be taken by the cloud")
		case m.Strays > 0 && now-m.StraysSince > overdue:
			t.leave(m, "tasks that do not stop")
		}
		for _, p := range m.Tasks {
			j := t.table.At(p.Ref.Job)
			if j.Phase == jobs.Cancelled && now-j.CancelledAt > overdue {
				// Its task is not proved gone: the deletion will prove it.
				t.leave(m, "a cancelled job's task not proved gone")
				break
			}
			if p.Planned || p.Stopping {
				continue
			}
			left := m.TakenAt - now
			switch {
			case j.Rec.Kind == jobs.Service && (m.Notice || m.Draining):
				p.Stopping, p.GraceS = true, j.Rec.SaveS // replaced elsewhere once it is gone
			case m.Notice && j.Rec.Checkpoint > 0 && p.State == workers.Running && left < settings.Seconds(j.Rec.SaveS+2+1.5*w.ReportS+t.peerTime(j)):
				t.saveAndStop(now, j, p)
			}
		}
	}
}

// peerTime is how long it may take until all tasks of a gang are told.
func (t *Term) peerTime(j *jobs.Job) float64 {
	if j.Rec.Kind != jobs.Gang {
		return 0
	}
	return t.cfg.Deployment.Workers.GangPeerS
}

// saveAndStop stops a task with time to save; a gang is stopped as a whole,
// for its progress is safe only when all of it is told in time.
func (t *Term) saveAndStop(now time.Duration, j *jobs.Job, p *workers.Placement) {
	grace := j.Rec.SaveS + 5 + t.peerTime(j)
	if j.Rec.Kind != jobs.Gang {
		p.Stopping, p.GraceS = true, grace
		if j.Rec.Checkpoint > 0 && p.Runs() {
			if j.Saved == nil {
				j.Saved = map[int32]time.Duration{}
			}
			j.Saved[p.Ref.Task] += now - p.RanAt
		}
		return
	}
	for k := range j.Tasks {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		if q := t.where[ref]; q != nil && !q.Planned && !q.Stopping {
			q.Stopping, q.GraceS = true, grace
		}
	}
}

// rent covers the work that is there with machines, and returns what was not
// wanted for a while: machines are drained first, the dearest and emptiest
// ones before the others, and deleted once empty.
func (t *Term) rent(now time.Duration) {
	if len(t.types) == 0 {
		return
	}
	var open []*jobs.Job
	for _, j := range t.table.All() {
		if j != nil && j.Phase == jobs.Open && j.Finished < len(j.Tasks) {
			open = append(open, j)
		}
	}
	cheap := t.demand(open, t.cfg.Tunables.DrainBacklogS, true)
	dear := t.demand(open, 0, false)
	t.dearPeak.add(now, settings.Seconds(t.cfg.Tunables.IdleReturnS), cheap)
	t.spotPeak.add(now, settings.Seconds(t.cfg.Tunables.SpotReturnS), cheap)
	var have, up, ordinary float64
	for _, m := range t.yard.All() {
		if !m.Leaving && !m.Notice && !m.Draining && (m.Up || !t.buyer.Avoided(now, t.zones.Name(m.Zone))) {
			have += m.Cap.CPUs()
			if m.Up {
				up += m.Cap.CPUs()
			}
			if !m.Spot {
				ordinary += m.Cap.CPUs()
			}
		}
	}
	have += t.buyer.Asked(func(typ string) float64 {
		if i, ok := t.typeNames.Find(typ); ok {
			return t.types[i].CPUs
		}
		return 0
	})
	for _, m := range t.yard.All() {
		if cheap > have && m.Draining && !m.Leaving {
			m.Draining = false
			have += m.Cap.CPUs()
			up += m.Cap.CPUs()
			t.dirty = true
		}
	}
	bound := slices.DeleteFunc(slices.Clone(open), func(j *jobs.Job) bool { return j.Spot })
	var requests []ledger.Rental
	if len(bound) < len(open) && cheap > have {
		requests = t.buyer.Rent(now, t.types, t.wanted(cheap-have, true, open))
	}
	// Ordinary machines: what spot ones could not bring, and jobs that may
	// not use spot machines at all, however much room there is on those.
	need := t.demand(bound, t.cfg.Tunables.DrainBacklogS, true)
	for _, m := range t.yard.All() {
		if need > ordinary && m.Draining && !m.Leaving && !m.Spot {
			m.Draining = false
			ordinary += m.Cap.CPUs()
			t.dirty = true
		}
	}
	t.boundPeak.add(now, settings.Seconds(t.cfg.Tunables.IdleReturnS), need)
	if len(requests) == 0 && dear > have {
		requests = t.buyer.Rent(now, t.types, t.wanted(dear-have, false, open))
	}
	if len(requests) == 0 && need > ordinary {
		requests = t.buyer.Rent(now, t.types, t.wanted(need-ordinary, false, bound))
	}
	t.request("renting", requests)
	picky := t.picky()
	t.keepFor(picky)
	stuck := slices.DeleteFunc(slices.Clone(open), func(j *jobs.Job) bool { return j.Waiting == 0 || t.couldRun(j) })
	if len(requests) == 0 && len(stuck) > 0 {
		// Jobs that would not fit if all machines were free.
		var cpus float64
		for _, j := range stuck {
			cpus += float64(j.Waiting) * j.Share
		}
		spotless := slices.ContainsFunc(stuck, func(j *jobs.Job) bool { return !j.Spot })
		requests = t.buyer.Rent(now, t.types, t.wanted(cpus, !spotless, stuck))
		if len(requests) == 0 {
			requests = t.buyer.Rent(now, t.types, t.wanted(cpus, false, stuck))
		}
		t.request("renting for jobs that fit nowhere", requests)
	}
	if cheap <= have && len(stuck) == 0 {
		// Against what is up: what is only asked for or boots may never come,
		// while the cloud is out for instance.
		t.shrink(now, up, ordinary, picky)
	}
}

// picky lists the unfinished jobs that may not use every machine, those about
// to be released among them: room that is enough on the whole may be none for
// them.
func (t *Term) picky() []*jobs.Job {
	var out []*jobs.Job
	for _, j := range t.table.All() {
		if j != nil && j.Waiting > 0 && (!j.Spot || j.Types != nil || j.Rec.Zone != "") && (j.Phase == jobs.Open || t.soon(j)) {
			out = append(out, j)
		}
	}
	return out
}

// soon says whether a held job will be released before long: all tasks that it
// waits for have their place and run for no longer than a machine is usually
// kept. Nothing is kept for one that waits for hours.
func (t *Term) soon(j *jobs.Job) bool {
	return j.Phase == jobs.Held && len(j.After) > 0 && !slices.ContainsFunc(j.After, func(i int32) bool {
		b := t.table.At(i)
		return b.Phase != jobs.Open || b.Waiting > 0 || b.Mean() > t.cfg.Tunables.UsualStayS
	})
}

// places is how many machines that stay may take tasks of a job.
func (t *Term) places(j *jobs.Job) int {
	n := 0
	for _, m := range t.yard.All() {
		if !m.Draining && t.hasPlace(j, m) {
			n++
		}
	}
	return n
}

// keepFor takes back the return of machines that are the only ones for a
// waiting job. Found on a day with pipelines: the last ordinary machine was
// being returned for minutes, since spot ones had room enough, and jobs that may
// not use those waited until it was gone.
func (t *Term) keepFor(picky []*jobs.Job) {
	for _, j := range picky {
		if j.Phase != jobs.Open || t.places(j) > 0 {
			continue
		}
		for _, m := range t.yard.All() {
			if m.Draining && t.hasPlace(j, m) {
				m.Draining = false
				t.dirty = true
				break
			}
		}
	}
}

// request notes rentals durably; they are sent once that is done.
func (t *Term) request(text string, requests []ledger.Rental) {
	for _, r := range requests {
		t.log.Append(ledger.Entry{Rental: &r}, tagRental(r))
		t.note(Info, text, "request", r.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count)
	}
}

// couldRun says whether the machines there are or are coming have a place
// for a job: for one task, or for all of a gang.
func (t *Term) couldRun(j *jobs.Job) bool {
	if len(t.rentals) > 0 {
		return true // more may be on the way
	}
	if j.Rec.Kind == jobs.Array {
		return t.places(j) > 0
	}
	need := len(j.Tasks) - j.Finished
	zones := t.slots(j)
	total := 0
	for _, n := range zones {
		total += n
	}
	if j.Rec.OneZone {
		total = 0
		for _, n := range zones {
			total = max(total, n)
		}
	}
	if j.Rec.Spread {
		total = 0
		for _, n := range zones {
			total += min(n, j.MostInZone())
		}
	}
	return total >= need
}

// mayTake says whether a machine may have tasks of a job.
func (t *Term) mayTake(j *jobs.Job, m *workers.Machine) bool {
	return !m.Leaving && !m.Notice && blocks.Allowed(j, m, t.zones.Index) && (!j.Rec.OneZone || j.ZoneAllows(m.Zone))
}

// hasPlace says whether a machine could take a task of a job if it were free.
func (t *Term) hasPlace(j *jobs.Job, m *workers.Machine) bool {
	return t.mayTake(j, m) && j.Need.Fits(m.Cap)
}

// slots is how many tasks of a job each zone's machines could take if they
// were free.
func (t *Term) slots(j *jobs.Job) map[int32]int {
	zones := map[int32]int{}
	for _, m := range t.yard.All() {
		if t.mayTake(j, m) {
			zones[m.Zone] += blocks.Slots(j.Need, m.Cap)
		}
	}
	return zones
}

// demand is how many processors would have the open jobs' work done within
// the horizon, team limits considered. With keep, what runs now counts full,
// so that machines stay as long as they are in use; without, it counts the
// half that is left of it on average.
func (t *Term) demand(open []*jobs.Job, horizon float64, keep bool) float64 {
	perTeam := make([]float64, len(t.plan.Limits))
	for _, j := range open {
		left := float64(len(j.Tasks) - j.Finished)
		tasks := left
		switch {
		case j.Rec.Kind != jobs.Array:
		case keep:
			tasks = max(float64(j.Placed), min(left, math.Ceil(left*j.Mean()/horizon)))
		default:
			tasks = min(left, (left-float64(j.Placed)/2)*j.Mean()/t.horizon(j))
		}
		perTeam[j.Team] += tasks * j.Share
	}
	var sum float64
	for team, cpus := range perTeam {
		if l := t.plan.Limits[team].CPU; l > 0 {
			cpus = min(cpus, float64(l)/1000)
		}
		sum += cpus
	}
	return sum
}

// horizon is the time in which a job's work should be done if need be by
// ordinary machines: a share of what its class's aims leave it.
func (t *Term) horizon(j *jobs.Job) float64 {
	best := 0.0
	for _, o := range t.cfg.Deployment.Objectives {
		if o.Class != j.Rec.Class {
			continue
		}
		var h float64
		switch o.Kind {
		case settings.AimWait:
			h = o.WithinS
		case settings.AimFinished:
			h = o.WithinS - j.Mean()
		case settings.AimDeadline:
			h = j.Rec.DeadlineS - j.Mean()
		}
		if h > 0 && (best == 0 || h < best) {
			best = h
		}
	}
	if best == 0 {
		return t.cfg.Tunables.DearBacklogS
	}
	return max(t.cfg.Tunables.AimShare*best, t.cfg.Tunables.DrainBacklogS)
}

// peak is the highest demand of the last while: a sample is kept as long as
// no later one is as high.
type peak struct {
	at     []time.Duration
	demand []float64
}

func (p *peak) add(now, window time.Duration, demand float64) {
	n := len(p.demand)
	for n > 0 && p.demand[n-1] <= demand {
		n--
	}
	p.at, p.demand = append(p.at[:n], now), append(p.demand[:n], demand)
	for now-p.at[0] > window {
		p.at, p.demand = p.at[1:], p.demand[1:]
	}
}

func (p *peak) value() float64 {
	if len(p.demand) == 0 {
		return 0
	}
	return p.demand[0]
}

func (t *Term) shrink(now time.Duration, have, ordinary float64, picky []*jobs.Job) {
	places := make([]int, len(picky))
	for i, j := range picky {
		places[i] = t.places(j)
	}
	// last says whether a picky job would have no place without a machine.
	last := func(m *workers.Machine) bool {
		for i, j := range picky {
			if places[i] == 1 && t.hasPlace(j, m) {
				return true
			}
		}
		return false
	}
	list := slices.DeleteFunc(slices.Clone(t.yard.All()), func(m *workers.Machine) bool {
		return m.Leaving || !m.Up || m.Notice || m.Draining || now-m.UpSince < settings.Seconds(t.cfg.Tunables.IdleReturnS)
	})
	ends := map[*workers.Machine]time.Duration{}
	for _, m := range list {
		ends[m] = t.busyUntil(now, m)
	}
	slices.SortFunc(list, func(a, b *workers.Machine) int {
		if a.Spot != b.Spot {
			if b.Spot {
				return -1
			}
			return 1
		}
		// The one that is empty first: until then the room it has left is paid
		// for and of no use.
		if c := cmp.Compare(ends[a], ends[b]); c != 0 {
			return c
		}
		if c := cmp.Compare(t.pricePerCPU(b), t.pricePerCPU(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	for _, m := range list {
		wanted := t.dearPeak.value()
		if m.Spot {
			wanted = t.spotPeak.value()
		}
		if have-m.Cap.CPUs() >= wanted && !last(m) && (m.Spot || ordinary-m.Cap.CPUs() >= t.boundPeak.value()) {
			have -= m.Cap.CPUs()
			if !m.Spot {
				ordinary -= m.Cap.CPUs()
			}
			m.Draining = true
			for i, j := range picky {
				if t.hasPlace(j, m) {
					places[i]--
				}
			}
			t.takeBackAll(m)
		}
	}
	for _, m := range t.yard.All() {
		if m.Draining && len(m.Tasks) == 0 && m.Strays == 0 {
			t.leave(m, "not needed")
		}
	}
	if t.cfg.Tunables.MoveSaved == 1 {
		t.stopAll(now, t.plan.Moves(t.world(now)), "task moved off a machine that is returned")
	}
}

// busyUntil is when the last of a machine's tasks will probably have ended.
func (t *Term) busyUntil(now time.Duration, m *workers.Machine) time.Duration {
	end := now
	for _, p := range m.Tasks {
		if p.Planned {
			continue // it can still go elsewhere
		}
		end = max(end, now+blocks.Left(now, t.table.At(p.Ref.Job), p))
	}
	return end.Round(time.Second)
}

func (t *Term) wanted(cpus float64, spot bool, open []*jobs.Job) (w fleet.Want) {
	w.Zones = map[string]float64{}
	for _, m := range t.yard.All() {
		w.Zones[t.zones.Name(m.Zone)] += m.Cap.CPUs()
	}
	w.CPUs, w.Spot, w.Stay = cpus, spot, t.cfg.Tunables.UsualStayS
	w.Fits = func(ty ledger.Type, zone string, spot bool) bool {
		i, ok := t.typeNames.Find(ty.Name)
		if !ok {
			return false
		}
		m := &workers.Machine{Type: i, Zone: t.zones.Index(zone), Spot: spot, Cap: amounts.Room(ty.CPUs, ty.GPUs, ty.MemoryGB)}
		return slices.ContainsFunc(open, func(j *jobs.Job) bool {
			if !j.Need.Fits(m.Cap) || !blocks.Allowed(j, m, t.zones.Index) {
				return false
			}
			// A zone that has its share of a spread job's tasks brings it no further.
			return !j.ZoneRule() || (j.ZoneAllows(m.Zone) && (!j.Rec.Spread || t.slots(j)[m.Zone] < j.MostInZone()))
		})
	}
	return w
}

func (t *Term) pricePerCPU(m *workers.Machine) float64 {
	ty := t.types[m.Type]
	if m.Spot {
		return ty.SpotPrice / ty.CPUs
	}
	return ty.Price / ty.CPUs
}

// callCloud sends what is due to the cloud, within its rate. When unsure of
// the term it still deletes: that can lose work but break nothing.
func (t *Term) callCloud(now time.Duration, sure bool) {
	rate := t.cfg.Deployment.Cloud.RPS * 0.8
	t.cloudRoom = min(max(1, rate), t.cloudRoom+(now-t.cloudAt).Seconds()*rate)
	t.cloudAt = now
	spend := func() bool {
		if t.cloudRoom < 1 {
			return false
		}
		t.cloudRoom--
		return true
	}
	if !t.deleteBusy {
		var list []string
		for _, m := range t.yard.All() {
			if m.Leaving && len(list) < 100 {
				list = append(list, m.Name)
			}
		}
		if len(list) > 0 && spend() {
			t.deleteBusy = true
			t.emit(Delete{list})
		}
	}
	if !sure {
		return
	}
	if !t.typesAsked && (len(t.types) == 0 || t.typesAt == 0 || now-t.typesAt > typesEvery) && spend() {
		t.typesAsked = true
		t.emit(Types{})
	}
	for name, r := range t.rentals {
		if now >= t.rentDue[name] && spend() {
			t.rentDue[name] = now + 20*time.Second
			t.emit(Rent{r})
		}
	}
	if !t.listBusy && now-t.listAt > listEvery && spend() {
		t.listBusy, t.listAt = true, now
		t.emit(List{})
	}
}

func (t *Term) deleted(now time.Duration, list []string, ok bool) {
	t.deleteBusy = false
	if !ok {
		return // asked again at the next tick
	}
	for _, name := range list {
		m := t.yard.Find(name)
		if m == nil {
			continue
		}
		for _, p := range m.CloseOffers() {
			t.event(now, m, workers.Event{Kind: workers.EvOfferOver, Ref: p.Ref, JobID: p.JobID, Attempt: p.Attempt, Placement: p})
		}
		for ref, p := range m.Tasks {
			if p.Planned && p.Rehome() {
				t.list(p.Home)
				p.Withdrawn = true // it may yet turn out to be on a machine it was offered to
				continue
			}
			ev := workers.Event{Kind: workers.EvGone, Ref: ref, JobID: p.JobID, Attempt: p.Attempt, Reason: workers.Vanished, Ran: -1, Running: p.Runs()}
			m.Take(ref)
			t.event(now, m, ev)
		}
		t.yard.Remove(name)
		if m.Durable && !m.Resolved {
			t.resolved(now, m)
		}
	}
	t.appendGone(list)
	t.dirty = true
}

func (t *Term) rented(now time.Duration, name string, machines []string, res wire.RentResult) {
	r, ok := t.rentals[name]
	if !ok {
		return
	}
	if res == wire.NoAnswer {
		t.rentDue[name] = now + time.Second // the same name again: it may have been executed
		return
	}
	delete(t.rentals, name)
	delete(t.rentDue, name)
	t.buyer.Answered(now, name, len(machines))
	for _, n := range machines {
		if m := t.addMachine(now, ledger.Machine{Name: n, Type: r.Type, Zone: r.Zone, Spot: r.Spot}); m != nil {
			m.Resolved = true
		}
	}
	t.appendAnswered(r, machines)
	if len(machines) == 0 {
		t.counts.RentalsRefused++
	}
	t.note(Info, "rental answered", "request", name, "asked", r.Count, "got", len(machines))
}

func (t *Term) gotTypes(now time.Duration, list []ledger.Type) {
	t.typesAsked = false
	if len(list) == 0 {
		return
	}
	t.typesAt = now
	changed := false
	for _, ty := range list {
		i, ok := t.typeNames.Find(ty.Name)
		if !ok {
			changed = true
			continue
		}
		old := t.types[i]
		changed = changed || old.CPUs != ty.CPUs || old.GPUs != ty.GPUs || old.MemoryGB != ty.MemoryGB || !slices.Equal(old.Zones, ty.Zones)
	}
	t.setTypes(list)
	if changed {
		t.appendTypes(list)
	}
}

func (t *Term) listed(now time.Duration, list []wire.Listed, ok bool) {
	t.listBusy = false
	if !ok {
		return
	}
	for _, l := range list {
		m := t.yard.Find(l.Machine.Name)
		if m == nil && len(t.rentals) == 0 {
			// Rented by a request whose answer was lost for good, or there from the start.
			if m = t.addMachine(now, l.Machine); m != nil {
				m.Resolved = true
				m.RentedAt = now - settings.Seconds(l.HeldS)
			}
		}
		if m != nil && l.Failed {
			t.leave(m, "failed")
		}
	}
}
