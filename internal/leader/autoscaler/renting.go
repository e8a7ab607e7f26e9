package autoscaler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/ratelimit"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

const (
	scaleInterval = 500 * time.Millisecond
	zoneAvoidance = 45 * time.Second // a zone whose machines were silent together

	urgentPriority = 2 // the priority from which on a job is
)

// Component rents and returns machines in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	provisioner    *Provisioner
	typesListedAt  time.Duration
	typesRequested bool
	pendingRentals map[string]eventlog.Rental // sent or to be sent
	rentalDueAt    map[string]time.Duration
	deleteInFlight bool
	listInFlight   bool
	listedAt       time.Duration
	lastScaledAt   time.Duration
	groups         [2]machineGroup
	callBudget     ratelimit.Adaptive

	// While the log is replayed: rented machines that are not registered, those
	// that are, and requests without an answer.
	booting    map[string]eventlog.Machine
	registered map[string]bool

	typesCompacted bool // by the cleaning under way
}

// machineGroup is a kind of machines that are rented and returned by a demand of their own: those
// with accelerators, where there are others too, and the rest.
type machineGroup struct {
	accel     bool // machines with accelerators
	all       bool // there is but one kind
	dearPeak  peak
	spotPeak  peak
	boundPeak peak // of jobs that may not use spot machines
}

// has says whether machines of a type are of this kind.
func (k *machineGroup) has(gpus float64) bool { return k.all || (gpus > 0) == k.accel }

// wants says whether a job's work is for machines of this kind.
func (k *machineGroup) wants(j *jobs.Job) bool {
	return k.all || (j.Need.GPU > 0 || !j.FitsWithoutGPU) == k.accel
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	return &Component{State: s, provisioner: NewProvisioner(fmt.Sprintf("r-%d", s.Epoch)), pendingRentals: map[string]eventlog.Rental{}, rentalDueAt: map[string]time.Duration{},
		callBudget: newCallBudget(s), listedAt: s.TermBegan, booting: map[string]eventlog.Machine{}, registered: map[string]bool{}}
}

// Replay takes an entry of the log.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.MachineTypes != nil:
		d.setTypes(e.MachineTypes)
	case e.Machine != nil:
		d.registered[e.Machine.Name] = true
		delete(d.booting, e.Machine.Name)
	case e.DeletedMachines != nil:
		for _, n := range e.DeletedMachines {
			delete(d.registered, n)
			delete(d.booting, n)
		}
	case e.Rental != nil:
		d.pendingRentals[e.Rental.Name] = *e.Rental
	case e.RentalAnswer != nil:
		r := d.pendingRentals[e.RentalAnswer.Name]
		delete(d.pendingRentals, e.RentalAnswer.Name)
		for _, n := range e.RentalAnswer.Machines {
			if !d.registered[n] && !d.Inventory.WasDeleted(n) {
				d.booting[n] = eventlog.Machine{Name: n, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
			}
		}
	}
}

// Begin enters the machines that have not reported yet: nothing was ever
// started on them. Requests without an answer will be sent again.
func (d *Component) Begin(now time.Duration) {
	for _, m := range d.booting {
		if x := d.AddMachine(now, m); x != nil {
			x.Resolved = true
		}
	}
	for _, r := range d.pendingRentals {
		d.provisioner.Restore(r)
	}
	if d.Cfg.Tunables.ListFirst == 1 && len(d.registered) > 0 {
		d.listedAt = d.TermBegan - listInterval // what the cloud has taken meanwhile need not be waited for
	}
	d.booting, d.registered = nil, nil
}

// EntryDurable has a request sent whose name is noted.
func (d *Component) EntryDurable(now time.Duration, _ bool, e eventlog.Entry) {
	if e.Rental != nil {
		d.pendingRentals[e.Rental.Name] = *e.Rental
		d.rentalDueAt[e.Rental.Name] = now
	}
}

// Tick rents and returns.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if now-d.lastScaledAt < scaleInterval {
		return
	}
	d.lastScaledAt = now
	if !d.MostMachinesSilent(now) {
		d.avoidSilentZones(now)
	}
	if leaseValid {
		d.scale(now)
	}
	d.NeedsCycle = true
}

// AfterCycle calls the cloud.
func (d *Component) AfterCycle(now time.Duration, leaseValid bool) { d.callCloud(now, leaseValid) }

// Compact writes anew what is live of an entry.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.MachineTypes != nil:
		if !d.typesCompacted {
			d.typesCompacted = true
			d.appendTypes(d.Types)
		}
	case e.Rental != nil:
		if r, open := d.pendingRentals[e.Rental.Name]; open {
			d.EventLog.Append(eventlog.Entry{Rental: &r})
		}
	}
}

// CompactionDone ends a cleaning.
func (d *Component) CompactionDone() { d.typesCompacted = false }

// avoidSilentZones has nothing rented for a while where most machines are
// silent while others are heard.
func (d *Component) avoidSilentZones(now time.Duration) {
	up, silent := d.SilentByZone(now)
	for z, n := range silent {
		if cluster.MostSilent(n, up[z]) {
			name := d.Zones.Name(int32(z))
			if !d.provisioner.ZoneAvoided(now, name) {
				d.LogMessage(effects.Warn, "most machines of a zone are silent: nothing is rented there for now", "zone", name, "silent", n, "of", up[z])
			}
			d.provisioner.AvoidZone(name, now+zoneAvoidance)
		}
	}
}

// scale covers the work that is there with machines, and returns what was not
// wanted for a while: machines are drained first, the dearest and emptiest
// ones before the others, and deleted once empty.
func (d *Component) scale(now time.Duration) {
	if len(d.Types) == 0 {
		return
	}
	accel := slices.ContainsFunc(d.Types, func(ty eventlog.MachineType) bool { return ty.GPUs > 0 })
	if plain := slices.ContainsFunc(d.Types, func(ty eventlog.MachineType) bool { return ty.GPUs == 0 }); !accel || !plain {
		d.groups[0].all = true
		d.scaleGroup(now, &d.groups[0])
		return
	}
	d.groups[0].all, d.groups[1].accel = false, true
	for i := range d.groups {
		d.scaleGroup(now, &d.groups[i])
	}
}

// scaleGroup does so for one kind of machines.
func (d *Component) scaleGroup(now time.Duration, k *machineGroup) {
	var open []*jobs.Job
	yard := slices.Clone(d.Inventory.All())
	if !k.all {
		yard = slices.DeleteFunc(yard, func(m *workers.Machine) bool { return !k.has(d.Types[m.Type].GPUs) })
	}
	// Until it is known what runs, machines are rented only for urgent work that not
	// even the whole fleet could hold: those not heard yet count as there.
	settled := d.Permits(now, cluster.Rent)
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Open && j.Finished < len(j.Tasks) && k.wants(j) && (settled || j.Priority >= urgentPriority) {
			open = append(open, j)
		}
	}
	cheap := d.cpuDemand(open, d.Cfg.Tunables.DrainBacklogS, true)
	dear := d.cpuDemand(open, 0, false)
	k.dearPeak.add(now, d.retentionWindow(d.Cfg.Tunables.IdleReturnS), cheap)
	k.spotPeak.add(now, d.retentionWindow(d.Cfg.Tunables.SpotReturnS), cheap)
	var have, up, ordinary float64
	for _, m := range yard {
		if !m.Deleting && !m.PreemptionNotice && !m.Draining && (m.Up || !d.provisioner.ZoneAvoided(now, d.Zones.Name(m.Zone))) {
			have += m.Cap.CPUs()
			if m.Up {
				up += m.Cap.CPUs()
			}
			if !m.Spot {
				ordinary += m.Cap.CPUs()
			}
		}
	}
	have += d.provisioner.RequestedCPUs(func(typ string) float64 {
		if i, ok := d.TypeNames.Lookup(typ); ok && k.has(d.Types[i].GPUs) {
			return d.Types[i].CPUs
		}
		return 0
	})
	for _, m := range yard {
		if cheap > have && m.Draining && !m.Deleting {
			m.Draining = false
			have += m.Cap.CPUs()
			up += m.Cap.CPUs()
			d.NeedsCycle = true
		}
	}
	bound := slices.DeleteFunc(slices.Clone(open), func(j *jobs.Job) bool { return j.Spot })
	var requests []eventlog.Rental
	if len(bound) < len(open) && cheap > have {
		requests = d.provisioner.Rent(now, d.Types, d.demandFor(k, cheap-have, true, open))
	}
	// Ordinary machines: what spot ones could not bring, and jobs that may
	// not use spot machines at all, however much room there is on those.
	need := d.cpuDemand(bound, d.Cfg.Tunables.DrainBacklogS, true)
	for _, m := range yard {
		if need > ordinary && m.Draining && !m.Deleting && !m.Spot {
			m.Draining = false
			ordinary += m.Cap.CPUs()
			d.NeedsCycle = true
		}
	}
	k.boundPeak.add(now, d.retentionWindow(d.Cfg.Tunables.IdleReturnS), need)
	if len(requests) == 0 && dear > have {
		requests = d.provisioner.Rent(now, d.Types, d.demandFor(k, dear-have, false, open))
	}
	if free := ordinary - d.cpusUsedBySpotJobs(now, yard, bound); len(requests) == 0 && need > free {
		requests = d.provisioner.Rent(now, d.Types, d.demandFor(k, need-free, false, bound))
	}
	d.recordRentals("renting", requests)
	picky := slices.DeleteFunc(d.restrictedJobs(), func(j *jobs.Job) bool { return !k.wants(j) })
	d.undrainOnlyHosts(picky)
	stuck := slices.DeleteFunc(slices.Clone(open), func(j *jobs.Job) bool {
		return j.Waiting == 0 || (len(j.Record.Counted) > 0 && d.availableUnits(j) == 0) || d.fitsFleet(j)
	})
	if len(requests) == 0 && len(stuck) > 0 {
		// Jobs that would not fit if all machines were free.
		var cpus float64
		for _, j := range stuck {
			cpus += float64(j.Waiting) * j.Share
		}
		spotless := slices.ContainsFunc(stuck, func(j *jobs.Job) bool { return !j.Spot })
		requests = d.provisioner.Rent(now, d.Types, d.demandFor(k, cpus, !spotless, stuck))
		if len(requests) == 0 {
			requests = d.provisioner.Rent(now, d.Types, d.demandFor(k, cpus, false, stuck))
		}
		d.recordRentals("renting for jobs that fit nowhere", requests)
	}
	// Jobs that fit nowhere keep the machines that they could use, and no others: found on
	// a day on which ordinary machines were refused as long as idle spot ones were there,
	// and those stayed for a gang that may not use them.
	if cheap <= have && (len(stuck) == 0 || len(requests) == 0) && d.Permits(now, cluster.Return) {
		// Against what is up: what is only asked for or boots may never come,
		// while the cloud is out for instance.
		d.scaleIn(now, k, yard, up, ordinary, picky, stuck)
	}
}

// cpusUsedBySpotJobs is how many processors of ordinary machines are in use by jobs that could use spot
// ones, where one that may not has waited to begin for half as long as the exception
// begin_within lets it: such room counts for it then as not there. Found in a test in which
// a service waited for five minutes: the ordinary machine was full of tasks of arrays, and
// there was room enough for those on spot machines.
func (d *Component) cpusUsedBySpotJobs(now time.Duration, yard []*workers.Machine, bound []*jobs.Job) float64 {
	wait := settings.Seconds(d.Cfg.Tunables.BeginWithinS / 2)
	if wait == 0 || !slices.ContainsFunc(bound, func(j *jobs.Job) bool { return j.Waiting > 0 && !j.HasBegun() && now-j.AcceptedAt > wait }) {
		return 0
	}
	var sum float64
	for _, m := range yard {
		if m.Spot || m.Deleting || m.PreemptionNotice || m.Draining {
			continue
		}
		for _, p := range m.Tasks {
			if j := d.Jobs.At(p.Ref.Job); j.Spot {
				sum += j.Share
			}
		}
	}
	return sum
}

// retentionWindow is for how long room must not have been wanted before it is returned. Where a
// class should start sooner than any machine boots, what is returned now cannot be rented
// in time later. Found on days with services that should start within a second: machines
// were returned between two bursts, and the replicas on them were stopped for it.
func (d *Component) retentionWindow(s float64) time.Duration {
	if d.needsStandbyRoom() {
		s = max(s, d.Cfg.Tunables.ReadyWindowS)
	}
	return settings.Seconds(s)
}

// needsStandbyRoom says whether some class is to start sooner than the quickest machine boots.
func (d *Component) needsStandbyRoom() bool {
	quickest := math.Inf(1)
	for _, ty := range d.Types {
		quickest = min(quickest, ty.BootS)
	}
	return slices.ContainsFunc(d.Cfg.Deployment.Objectives, func(o settings.Objective) bool {
		return o.Kind == settings.AimWait && o.WithinS < quickest
	})
}

// restrictedJobs lists the unfinished jobs that may not use every machine, those about
// to be released among them: room that is enough on the whole may be none for
// them.
func (d *Component) restrictedJobs() []*jobs.Job {
	var out []*jobs.Job
	for _, j := range d.Jobs.All() {
		if j != nil && j.Waiting > 0 && (!j.Spot || j.Types != nil || j.Record.Zone != "") && (j.Phase == jobs.Open || d.releasedSoon(j)) {
			out = append(out, j)
		}
	}
	return out
}

// releasedSoon says whether a held job will be released before long: all tasks that it
// waits for have their place and run for no longer than a machine is usually
// kept. Nothing is kept for one that waits for hours.
func (d *Component) releasedSoon(j *jobs.Job) bool {
	return j.Phase == jobs.Held && len(j.Dependencies) > 0 && !slices.ContainsFunc(j.Dependencies, func(i int32) bool {
		b := d.Jobs.At(i)
		return b.Phase != jobs.Open || b.Waiting > 0 || b.Mean() > d.Cfg.Tunables.UsualStayS
	})
}

// hasPlaceFor says whether a machine that stays may take one more task of a job. Found in a
// test with a spread array of which one zone had its half: nothing was rented in the other,
// and the rest waited until the first half was done.
func (d *Component) hasPlaceFor(j *jobs.Job) bool {
	return slices.ContainsFunc(d.Inventory.All(), func(m *workers.Machine) bool { return !m.Draining && d.canHost(j, m) && j.ZoneAllows(m.Zone) })
}

// countHosts is how many machines that stay may take tasks of a job.
func (d *Component) countHosts(j *jobs.Job) int {
	n := 0
	for _, m := range d.Inventory.All() {
		if !m.Draining && d.canHost(j, m) {
			n++
		}
	}
	return n
}

// undrainOnlyHosts takes back the return of machines that are the only ones for a
// waiting job. Found on a day with pipelines: the last ordinary machine was
// being returned for minutes, since spot ones had room enough, and jobs that may
// not use those waited until it was gone.
func (d *Component) undrainOnlyHosts(picky []*jobs.Job) {
	for _, j := range picky {
		if j.Phase != jobs.Open || d.hasPlaceFor(j) {
			continue
		}
		for _, m := range d.Inventory.All() {
			if m.Draining && d.canHost(j, m) {
				m.Draining = false
				d.NeedsCycle = true
				break
			}
		}
	}
}

// recordRentals notes rentals durably; they are sent once that is done.
func (d *Component) recordRentals(text string, requests []eventlog.Rental) {
	for _, r := range requests {
		d.EventLog.AppendTracked(eventlog.Entry{Rental: &r})
		d.LogMessage(effects.Info, text, "request", r.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count)
	}
}

// fitsFleet says whether the machines there are or are coming have a place
// for a job: for one task, or for all of a gang.
func (d *Component) fitsFleet(j *jobs.Job) bool {
	if len(d.pendingRentals) > 0 {
		return true // more may be on the way
	}
	if j.Record.Kind == jobs.Array {
		return d.hasPlaceFor(j)
	}
	need := len(j.Tasks) - j.Finished
	zones := d.slotsByZone(j)
	total := 0
	for _, n := range zones {
		total += n
	}
	if j.Record.OneZone {
		total = 0
		for _, n := range zones {
			total = max(total, n)
		}
	}
	if j.Record.Spread {
		total = 0
		for _, n := range zones {
			total += min(n, j.MostInZone())
		}
	}
	return total >= need
}

// mayHost says whether a machine may have tasks of a job.
func (d *Component) mayHost(j *jobs.Job, m *workers.Machine) bool {
	return !m.Deleting && !m.PreemptionNotice && scheduler.Allowed(j, m, d.Zones.Index) && (!j.Record.OneZone || j.ZoneAllows(m.Zone))
}

// canHost says whether a machine could take a task of a job if it were free.
func (d *Component) canHost(j *jobs.Job, m *workers.Machine) bool {
	return d.mayHost(j, m) && j.Need.Fits(m.Cap)
}

// slotsByZone is how many tasks of a job each zone's machines could take if they
// were free.
func (d *Component) slotsByZone(j *jobs.Job) map[int32]int {
	zones := map[int32]int{}
	for _, m := range d.Inventory.All() {
		if d.mayHost(j, m) {
			zones[m.Zone] += scheduler.TasksThatFit(j.Need, m.Cap)
		}
	}
	return zones
}

// cpuDemand is how many processors would have the open jobs' work done within
// the horizon, team limits considered. With keep, what runs now counts full,
// so that machines stay as long as they are in use; without, it counts the
// half that is left of it on average.
func (d *Component) cpuDemand(open []*jobs.Job, horizon float64, keep bool) float64 {
	perTeam := make([]float64, len(d.Scheduler.Limits))
	for _, j := range open {
		left := float64(len(j.Tasks) - j.Finished)
		tasks := left
		switch {
		case j.Record.Kind != jobs.Array:
		case keep:
			tasks = max(float64(j.Placed), min(left, math.Ceil(left*j.Mean()/horizon)))
		default:
			tasks = min(left, (left-float64(j.Placed)/2)*j.Mean()/d.backlogHorizon(j))
		}
		if len(j.Record.Counted) > 0 { // machines for tasks without units would stand idle
			tasks = min(tasks, float64(j.Placed+d.availableUnits(j)))
		}
		perTeam[j.Team] += tasks * j.Share
	}
	var sum float64
	for team, cpus := range perTeam {
		if l := d.Scheduler.Limits[team].CPU; l > 0 {
			cpus = min(cpus, float64(l)/1000)
		}
		sum += cpus
	}
	return sum
}

// availableUnits is how many more tasks of a job that needs counted units could have them.
func (d *Component) availableUnits(j *jobs.Job) int {
	if d.Pools == nil {
		return 0
	}
	return d.Pools.Most(j)
}

// backlogHorizon is the time in which a job's work should be done if need be by
// ordinary machines: a share of what its class's aims leave it.
func (d *Component) backlogHorizon(j *jobs.Job) float64 {
	best := 0.0
	for _, o := range d.Cfg.Deployment.Objectives {
		if o.Class != j.Record.Class {
			continue
		}
		var h float64
		switch o.Kind {
		case settings.AimWait:
			h = o.WithinS
		case settings.AimFinished:
			h = o.WithinS - j.Mean()
		case settings.AimDeadline:
			h = j.Record.DeadlineS - j.Mean()
		}
		if h > 0 && (best == 0 || h < best) {
			best = h
		}
	}
	if best == 0 {
		return d.Cfg.Tunables.DearBacklogS
	}
	return max(d.Cfg.Tunables.AimShare*best, d.Cfg.Tunables.DrainBacklogS)
}

// peak is the highest demand of the last while: a sample is kept as long as
// no later one is as high.
type peak struct {
	times   []time.Duration
	samples []float64
}

func (p *peak) add(now, window time.Duration, demand float64) {
	n := len(p.samples)
	for n > 0 && p.samples[n-1] <= demand {
		n--
	}
	p.times, p.samples = append(p.times[:n], now), append(p.samples[:n], demand)
	for now-p.times[0] > window {
		p.times, p.samples = p.times[1:], p.samples[1:]
	}
}

func (p *peak) value() float64 {
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[0]
}

func (d *Component) scaleIn(now time.Duration, k *machineGroup, yard []*workers.Machine, have, ordinary float64, picky, stuck []*jobs.Job) {
	places := make([]int, len(picky))
	for i, j := range picky {
		places[i] = d.countHosts(j)
	}
	// last says whether a picky job would have no place without a machine.
	last := func(m *workers.Machine) bool {
		for i, j := range picky {
			if places[i] == 1 && d.canHost(j, m) {
				return true
			}
		}
		return false
	}
	list := slices.DeleteFunc(slices.Clone(yard), func(m *workers.Machine) bool {
		return m.Deleting || !m.Up || m.PreemptionNotice || m.Draining || now < m.KeptUntil || now-m.UpSince < settings.Seconds(d.Cfg.Tunables.IdleReturnS) ||
			slices.ContainsFunc(stuck, func(j *jobs.Job) bool { return d.mayHost(j, m) })
	})
	ends := map[*workers.Machine]time.Duration{}
	for _, m := range list {
		ends[m] = d.busyUntil(now, m)
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
		if c := cmp.Compare(d.pricePerCPU(b), d.pricePerCPU(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	for _, m := range list {
		wanted := k.dearPeak.value()
		if m.Spot {
			wanted = k.spotPeak.value()
		}
		if have-m.Cap.CPUs() >= wanted && !last(m) && (m.Spot || ordinary-m.Cap.CPUs() >= k.boundPeak.value()) {
			have -= m.Cap.CPUs()
			if !m.Spot {
				ordinary -= m.Cap.CPUs()
			}
			m.Draining = true
			for i, j := range picky {
				if d.canHost(j, m) {
					places[i]--
				}
			}
			d.CancelPlans(m)
		}
	}
	for _, m := range yard {
		if m.Draining && !m.Deleting && len(m.Tasks) == 0 && len(m.OpenOffers) == 0 && len(m.Orphans) == 0 {
			d.Decommission(now, m, cluster.Return, "not needed")
			if m.Resolved { // else only its deletion proves that nothing of an earlier term is there
				d.Publish(cluster.Event{Kind: cluster.MachineReturnable, At: now, Machine: m})
			}
		}
	}
	if d.Cfg.Tunables.MoveSaved == 1 && d.Permits(now, cluster.Move) {
		d.StopAll(now, d.Scheduler.PlanMigrations(d.Snapshot(now)), cluster.Move)
	}
}

// noEnd is later than anything ends.
const unbounded = time.Duration(math.MaxInt64)

// busyUntil is when the last of a machine's tasks will probably have ended.
func (d *Component) busyUntil(now time.Duration, m *workers.Machine) time.Duration {
	end := now
	for _, p := range m.Tasks {
		if p.Planned {
			continue // it can still go elsewhere
		}
		j := d.Jobs.At(p.Ref.Job)
		if j.Record.Kind == jobs.Service {
			return unbounded // by itself: it would have to be stopped
		}
		end = max(end, now+scheduler.RemainingTime(now, j, p))
	}
	return end.Round(time.Second)
}

func (d *Component) demandFor(k *machineGroup, cpus float64, spot bool, open []*jobs.Job) (w Demand) {
	w.CPUsByZone = map[string]float64{}
	for _, m := range d.Inventory.All() {
		w.CPUsByZone[d.Zones.Name(m.Zone)] += m.Cap.CPUs()
	}
	w.CPUs, w.Spot, w.UsualStayS = cpus, spot, d.Cfg.Tunables.UsualStayS
	w.Fits = func(ty eventlog.MachineType, zone string, spot bool) bool {
		i, ok := d.TypeNames.Lookup(ty.Name)
		if !ok || !k.has(ty.GPUs) {
			return false
		}
		m := &workers.Machine{Type: i, Zone: d.Zones.Index(zone), Spot: spot, Cap: resources.Room(ty.CPUs, ty.GPUs, ty.MemoryGB)}
		return slices.ContainsFunc(open, func(j *jobs.Job) bool {
			if !j.Need.Fits(m.Cap) || !scheduler.Allowed(j, m, d.Zones.Index) {
				return false
			}
			// A zone that has its share of a spread job's tasks brings it no further.
			return !j.ZoneRule() || (j.ZoneAllows(m.Zone) && (!j.Record.Spread || d.slotsByZone(j)[m.Zone] < j.MostInZone()))
		})
	}
	return w
}

func (d *Component) pricePerCPU(m *workers.Machine) float64 {
	ty := d.Types[m.Type]
	if m.Spot {
		return ty.SpotPrice / ty.CPUs
	}
	return ty.Price / ty.CPUs
}
