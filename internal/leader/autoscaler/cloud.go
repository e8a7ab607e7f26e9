package autoscaler

import (
	"encoding/json"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/ratelimit"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// What is asked of the cloud, and what it answers.

const (
	listInterval  = 12 * time.Second
	typesInterval = 60 * time.Second
)

// newCallBudget is the budget of calls: less than the cloud's rate, and nothing at first,
// since the leader before may have used up what had gathered.
func newCallBudget(s *cluster.State) ratelimit.Adaptive {
	rate := s.Cfg.Deployment.Cloud.RPS * 0.8
	a := ratelimit.NewAdaptive(s.TermBegan, rate, max(1, rate))
	a.Take(s.TermBegan, a.Burst)
	return a
}

// recordCallResult has the rate of calls follow what the cloud makes of them.
func (d *Component) recordCallResult(now time.Duration, ok bool) {
	switch {
	case d.Cfg.Tunables.AdaptCalls == 0:
	case ok:
		d.callBudget.Success(now)
	default:
		d.callBudget.Failure(now)
	}
}

// MachinesDeleted notes that a deletion has had its answer, or none; the machines that
// are still there are asked for again at the next tick.
func (d *Component) MachinesDeleted(now time.Duration, ok bool) {
	d.deleteInFlight = false
	d.recordCallResult(now, ok)
}

// callCloud sends what is due to the cloud, within its rate. When unsure of
// the term it still deletes: that can lose work but break nothing.
func (d *Component) callCloud(now time.Duration, leaseValid bool) {
	spend := func() bool { return d.callBudget.Take(now, 1) }
	if !d.deleteInFlight {
		var list []string
		for _, m := range d.Inventory.All() {
			if m.Deleting && !m.ReturnUnrecorded && len(list) < 100 {
				list = append(list, m.Name)
			}
		}
		if len(list) > 0 && spend() {
			d.deleteInFlight = true
			d.Emit(effects.DeleteMachines{Machines: list})
		}
	}
	if !leaseValid {
		return
	}
	if !d.typesRequested && (len(d.Types) == 0 || d.typesListedAt == 0 || now-d.typesListedAt > typesInterval) && spend() {
		d.typesRequested = true
		d.Emit(effects.ListMachineTypes{})
	}
	for name, r := range d.pendingRentals {
		if now >= d.rentalDueAt[name] && spend() {
			d.rentalDueAt[name] = now + 20*time.Second
			d.Emit(effects.RentMachines{Rental: r})
		}
	}
	if !d.listInFlight && now-d.listedAt > listInterval && spend() {
		d.listInFlight, d.listedAt = true, now
		d.Emit(effects.ListMachines{})
	}
}

// RentalAnswered takes the answer to a rental request.
func (d *Component) RentalAnswered(now time.Duration, name string, machines []string, res wire.RentResult) {
	d.recordCallResult(now, res != wire.NoAnswer)
	r, ok := d.pendingRentals[name]
	if !ok {
		return
	}
	if res == wire.NoAnswer {
		d.rentalDueAt[name] = now + time.Second // the same name again: it may have been executed
		return
	}
	delete(d.pendingRentals, name)
	delete(d.rentalDueAt, name)
	d.provisioner.RequestAnswered(now, name, len(machines))
	for _, n := range machines {
		if m := d.AddMachine(now, eventlog.Machine{Name: n, Type: r.Type, Zone: r.Zone, Spot: r.Spot}); m != nil {
			m.Resolved = true
			d.Publish(cluster.Event{Kind: cluster.MachineRented, At: now, Machine: m})
		}
	}
	d.appendAnswered(r, machines)
	if len(machines) == 0 {
		d.Counts.RentalsRefused++
	}
	d.LogMessage(effects.Info, "rental answered", "request", name, "asked", r.Count, "got", len(machines))
}

// MachineTypesListed takes the machine types; an empty list is a failure.
func (d *Component) MachineTypesListed(now time.Duration, list []eventlog.MachineType) {
	d.typesRequested = false
	d.recordCallResult(now, len(list) > 0)
	if len(list) == 0 {
		return
	}
	d.typesListedAt = now
	changed := false
	for _, ty := range list {
		i, ok := d.TypeNames.Lookup(ty.Name)
		if !ok {
			changed = true
			continue
		}
		old := d.Types[i]
		changed = changed || old.CPUs != ty.CPUs || old.GPUs != ty.GPUs || old.MemoryGB != ty.MemoryGB || !slices.Equal(old.Zones, ty.Zones)
	}
	d.setTypes(list)
	if changed {
		d.appendTypes(list)
	}
}

// MachinesListed takes the cloud's list of machines.
func (d *Component) MachinesListed(now time.Duration, list []wire.ListedMachine, ok bool) {
	d.listInFlight = false
	d.recordCallResult(now, ok)
	if !ok {
		return
	}
	for _, l := range list {
		m := d.Inventory.Find(l.Machine.Name)
		if m == nil && len(d.pendingRentals) == 0 {
			// Rented by a request whose answer was lost for good, or there from the start.
			if m = d.AddMachine(now, l.Machine); m != nil {
				m.Resolved = true
				m.RentedAt = now - settings.Seconds(l.HeldS)
			}
		}
		if m != nil && l.Failed {
			d.Decommission(now, m, cluster.Delete, "failed")
		}
	}
	if d.Cfg.Tunables.ListFirst == 1 {
		d.decommissionMissing(now, list)
	}
}

// decommissionMissing gives up silent machines that the cloud's list lacks. The list describes
// one moment, in the order in which machines were created, and one that was listed stays
// until it is gone. So where a later machine is listed, an earlier one that is not has
// been taken or deleted, however old the list is. What proves that nothing runs there is
// still the answer to its deletion. Found on days with crashes of all controllers: what
// the cloud took meanwhile held back most jobs until it had been silent for long enough.
func (d *Component) decommissionMissing(now time.Duration, list []wire.ListedMachine) {
	if len(list) == 0 {
		return
	}
	there := make(map[string]bool, len(list))
	last := ""
	for _, l := range list {
		there[l.Machine.Name] = true
		last = max(last, l.Machine.Name)
	}
	n := 0
	for _, m := range d.Inventory.All() {
		if m.Durable && !m.Deleting && m.Name < last && !there[m.Name] && (!m.Up || now-m.LastHeartbeat > d.SuspectAfter()) {
			d.Decommission(now, m, cluster.Delete, "not in the cloud's list any more")
			n++
		}
	}
	if n > 0 {
		d.LogMessage(effects.Info, "silent machines are not in the cloud's list any more: they are not waited for", "machines", n)
	}
}

func (d *Component) setTypes(list []eventlog.MachineType) {
	for _, ty := range list {
		i := d.TypeNames.Index(ty.Name)
		switch {
		case int(i) == len(d.Types):
			d.Types = append(d.Types, ty)
		case ty.More:
			d.Types[i].Zones = append(slices.Clone(d.Types[i].Zones), ty.Zones...)
		default:
			d.Types[i] = ty
		}
	}
}

// appendTypes appends machine types; further entries have the zones that do
// not fit into the first of a type.
func (d *Component) appendTypes(list []eventlog.MachineType) {
	for _, ty := range list {
		all := ty.Zones
		ty.Zones = nil
		raw, err := json.Marshal(ty)
		if err != nil {
			continue // all amounts were checked when they came
		}
		for i, zones := range eventlog.SplitNames(all, d.EventLog.MaxEntryBytes()-len(raw)-eventlog.EntryBytes) {
			part := ty
			part.Zones, part.More = zones, i > 0
			d.EventLog.Append(eventlog.Entry{MachineTypes: []eventlog.MachineType{part}})
		}
	}
}

// appendAnswered appends the answer to a rental request. Where its machines
// need several entries, the request is noted anew before each further one: a
// leader that finds only the first ones sends it again and learns the rest.
func (d *Component) appendAnswered(r eventlog.Rental, machines []string) {
	for i, names := range eventlog.SplitNames(machines, d.EventLog.MaxEntryBytes()-len(r.Name)-eventlog.EntryBytes) {
		if i > 0 {
			d.EventLog.Append(eventlog.Entry{Rental: &r})
		}
		d.EventLog.Append(eventlog.Entry{RentalAnswer: &eventlog.RentalAnswer{Name: r.Name, Machines: names}})
	}
}
