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

// This file makes the calls to the cloud and applies their answers.

const (
	listInterval     = 12 * time.Second
	typesInterval    = 60 * time.Second
	rentalRetryAfter = 20 * time.Second // a request without a result is sent again after this time
	noAnswerRetry    = time.Second
	maxDeletions     = 100 // machines per call
	callRateShare    = 0.8 // of the cloud's rate limit
)

// newCallBudget returns the rate limiter of calls to the cloud. Its rate is below the cloud's
// limit, and it starts empty because the previous leader may have used up what had accumulated.
func newCallBudget(s *cluster.State) ratelimit.Adaptive {
	rate := s.Cfg.Deployment.Cloud.RPS * callRateShare
	budget := ratelimit.NewAdaptive(s.TermBegan, rate, max(1, rate))
	budget.Take(s.TermBegan, budget.Burst)
	return budget
}

// recordCallResult adapts the rate of calls to their success or failure.
func (c *Component) recordCallResult(now time.Duration, ok bool) {
	switch {
	case c.Cfg.Tunables.AdaptCalls == 0:
	case ok:
		c.callBudget.RecordSuccess(now)
	default:
		c.callBudget.RecordFailure(now)
	}
}

// takeCall takes one call from the budget and reports whether one was available.
func (c *Component) takeCall(now time.Duration) bool { return c.callBudget.Take(now, 1) }

// makeDueCalls makes the calls that are due, within the rate limit. Deletions are sent even without
// a valid lease: they can lose work but not violate correctness.
func (c *Component) makeDueCalls(now time.Duration, leaseValid bool) {
	c.requestDeletions(now)
	if !leaseValid {
		return
	}
	c.requestMachineTypes(now)
	for name, rental := range c.pendingRentals {
		if now >= c.rentalDueAt[name] && c.takeCall(now) {
			c.rentalDueAt[name] = now + rentalRetryAfter
			c.Emit(effects.RentMachines{Rental: rental})
		}
	}
	if !c.listInFlight && now-c.listedAt > listInterval && c.takeCall(now) {
		c.listInFlight, c.listedAt = true, now
		c.Emit(effects.ListMachines{})
	}
}

// requestDeletions requests the deletion of decommissioned machines, one call at a time.
func (c *Component) requestDeletions(now time.Duration) {
	if c.deleteInFlight {
		return
	}
	var names []string
	for _, m := range c.Inventory.All() {
		if m.Deleting && !m.AwaitsReturnRecord && len(names) < maxDeletions {
			names = append(names, m.Name)
		}
	}
	if len(names) > 0 && c.takeCall(now) {
		c.deleteInFlight = true
		c.Emit(effects.DeleteMachines{Machines: names})
	}
}

// requestMachineTypes requests the machine types if they are unknown or were not listed recently.
func (c *Component) requestMachineTypes(now time.Duration) {
	due := len(c.Types) == 0 || c.typesListedAt == 0 || now-c.typesListedAt > typesInterval
	if !c.typesRequested && due && c.takeCall(now) {
		c.typesRequested = true
		c.Emit(effects.ListMachineTypes{})
	}
}

// MachinesDeleted records that a deletion was answered or has failed. Machines that are still in
// the inventory are included in the next deletion.
func (c *Component) MachinesDeleted(now time.Duration, ok bool) {
	c.deleteInFlight = false
	c.recordCallResult(now, ok)
}

// RentalAnswered applies the answer to a rental request.
func (c *Component) RentalAnswered(now time.Duration, name string, machines []string, result wire.RentResult) {
	c.recordCallResult(now, result != wire.NoAnswer)
	rental, ok := c.pendingRentals[name]
	if !ok {
		return
	}
	if result == wire.NoAnswer {
		c.rentalDueAt[name] = now + noAnswerRetry // with the same name, since it may have been executed
		return
	}
	delete(c.pendingRentals, name)
	delete(c.rentalDueAt, name)
	c.provisioner.RequestAnswered(now, name, len(machines))
	for _, machine := range machines {
		if m := c.AddMachine(now, rentedMachine(machine, rental)); m != nil {
			m.Resolved = true
			c.Publish(cluster.Event{Kind: cluster.MachineRented, At: now, Machine: m})
		}
	}
	c.appendRentalAnswer(rental, machines)
	if len(machines) == 0 {
		c.Counts.RentalsRefused++
	}
	c.LogMessage(effects.Info, "rental answered", "request", name, "asked", rental.Count, "got", len(machines))
}

// MachineTypesListed applies the list of machine types; an empty list counts as a failure.
func (c *Component) MachineTypesListed(now time.Duration, list []eventlog.MachineType) {
	c.typesRequested = false
	c.recordCallResult(now, len(list) > 0)
	if len(list) == 0 {
		return
	}
	c.typesListedAt = now
	changed := false
	for _, t := range list {
		i, known := c.TypeNames.Lookup(t.Name)
		changed = changed || !known || typeChanged(c.Types[i], t)
	}
	c.setTypes(list)
	if changed {
		c.appendTypes(list)
	}
}

// typeChanged reports whether a machine type differs in its amounts or zones. Other changes,
// such as prices, are not written to the log.
func typeChanged(before, after eventlog.MachineType) bool {
	return before.CPUs != after.CPUs ||
		before.GPUs != after.GPUs ||
		before.MemoryGB != after.MemoryGB ||
		!slices.Equal(before.Zones, after.Zones)
}

// MachinesListed applies the cloud's list of machines.
func (c *Component) MachinesListed(now time.Duration, list []wire.ListedMachine, ok bool) {
	c.listInFlight = false
	c.recordCallResult(now, ok)
	if !ok {
		return
	}
	for _, l := range list {
		m := c.Inventory.Find(l.Machine.Name)
		if m == nil && len(c.pendingRentals) == 0 {
			// The machine was rented by a request whose answer was lost for good, or existed
			// from the start.
			if m = c.AddMachine(now, l.Machine); m != nil {
				m.Resolved = true
				m.RentedAt = now - settings.Seconds(l.RentedForS)
			}
		}
		if m != nil && l.Failed {
			c.Decommission(now, m, cluster.Delete, "failed")
		}
	}
	if c.Cfg.Tunables.DecommissionUnlisted == 1 {
		c.decommissionMissing(now, list)
	}
}

// decommissionMissing decommissions silent machines that are missing from the cloud's list. The
// list describes one moment, ordered by creation of the machines, and a listed machine stays
// listed until it is gone. So if a machine that was created later is listed, a missing earlier
// one has been preempted or deleted, however old the list is. Still, only the answer to its
// deletion proves that nothing runs there. On days with crashes of all controllers, machines
// preempted in the meantime held back most jobs until they had been silent for long enough.
func (c *Component) decommissionMissing(now time.Duration, list []wire.ListedMachine) {
	if len(list) == 0 {
		return
	}
	listed := make(map[string]bool, len(list))
	lastCreated := ""
	for _, l := range list {
		listed[l.Machine.Name] = true
		lastCreated = max(lastCreated, l.Machine.Name)
	}
	missing := 0
	for _, m := range c.Inventory.All() {
		silent := !m.Up || now-m.LastHeartbeat > c.SuspectAfter()
		if m.Durable && !m.Deleting && silent && m.Name < lastCreated && !listed[m.Name] {
			c.Decommission(now, m, cluster.Delete, "not in the cloud's list any more")
			missing++
		}
	}
	if missing > 0 {
		c.LogMessage(effects.Info, "silent machines missing from the cloud's list",
			"machines", missing)
	}
}

// setTypes adds or replaces machine types; an entry with FurtherZones adds zones to a type.
func (c *Component) setTypes(list []eventlog.MachineType) {
	for _, t := range list {
		i := c.TypeNames.Index(t.Name)
		switch {
		case int(i) == len(c.Types):
			c.Types = append(c.Types, t)
		case t.FurtherZones:
			c.Types[i].Zones = append(slices.Clone(c.Types[i].Zones), t.Zones...)
		default:
			c.Types[i] = t
		}
	}
}

// appendTypes appends machine types to the log. Zones that do not fit into the first entry of a
// type go into further entries.
func (c *Component) appendTypes(list []eventlog.MachineType) {
	for _, t := range list {
		allZones := t.Zones
		t.Zones = nil
		withoutZones, err := json.Marshal(t)
		if err != nil {
			continue // cannot happen: all amounts were checked when they were received
		}
		room := c.EventLog.MaxEntryBytes() - len(withoutZones) - eventlog.EntryOverheadBytes
		for i, zones := range eventlog.SplitNames(allZones, room) {
			part := t
			part.Zones, part.FurtherZones = zones, i > 0
			c.EventLog.Append(eventlog.Entry{MachineTypes: []eventlog.MachineType{part}})
		}
	}
}

// appendRentalAnswer appends the answer to a rental request to the log. If its machines need
// several entries, the request is recorded again before each further one: a leader that finds
// only the first entries sends the request again and receives the remaining machines.
func (c *Component) appendRentalAnswer(r eventlog.Rental, machines []string) {
	room := c.EventLog.MaxEntryBytes() - len(r.Name) - eventlog.EntryOverheadBytes
	for i, names := range eventlog.SplitNames(machines, room) {
		if i > 0 {
			c.EventLog.Append(eventlog.Entry{Rental: &r})
		}
		c.EventLog.Append(eventlog.Entry{RentalAnswer: &eventlog.RentalAnswer{Name: r.Name, Machines: names}})
	}
}
