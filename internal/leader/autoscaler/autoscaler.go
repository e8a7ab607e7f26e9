// Package autoscaler is the component of a leader's term that scales the fleet out and in: it
// rents machines for the open work, and returns machines that are not needed. Its Provisioner
// decides which to rent: the offers of machine type, zone and kind (spot or on-demand) that
// cover the missing capacity at the lowest price, except those that were refused recently. Only
// this component writes log entries of machine types, of rental requests and of their answers.
//
// demand.go and hosting.go determine what is needed, scale_out.go and scale_in.go act on it, and
// cloud.go makes the calls to the cloud and applies their answers.
package autoscaler

import (
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/ratelimit"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

const (
	scaleInterval = 500 * time.Millisecond
	zoneAvoidance = 45 * time.Second // pause of rentals in a zone whose machines were silent together
)

// Component scales the fleet in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	provisioner  *Provisioner
	groups       [2]machineGroup
	lastScaledAt time.Duration

	// Calls to the cloud.
	callBudget     ratelimit.Adaptive
	typesListedAt  time.Duration
	typesRequested bool
	pendingRentals map[string]eventlog.Rental // durable requests without an answer, by name
	rentalDueAt    map[string]time.Duration   // when each is sent, or sent again
	deleteInFlight bool
	listInFlight   bool
	listedAt       time.Duration

	// Used only while the log is replayed.
	booting    map[string]eventlog.Machine // rented machines that are not registered
	registered map[string]bool

	typesCompacted bool // the compaction under way has written the machine types
}

// New returns the component of a term.
func New(s *cluster.State) *Component {
	return &Component{
		State:          s,
		provisioner:    NewProvisioner(fmt.Sprintf("r-%d", s.Epoch)),
		callBudget:     newCallBudget(s),
		pendingRentals: map[string]eventlog.Rental{},
		rentalDueAt:    map[string]time.Duration{},
		listedAt:       s.TermBegan,
		booting:        map[string]eventlog.Machine{},
		registered:     map[string]bool{},
	}
}

// Replay applies an entry of the log.
func (c *Component) Replay(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.MachineTypes != nil:
		c.setTypes(e.MachineTypes)
	case e.Machine != nil:
		c.registered[e.Machine.Name] = true
		delete(c.booting, e.Machine.Name)
	case e.DeletedMachines != nil:
		for _, name := range e.DeletedMachines {
			delete(c.registered, name)
			delete(c.booting, name)
		}
	case e.Rental != nil:
		c.pendingRentals[e.Rental.Name] = *e.Rental
	case e.RentalAnswer != nil:
		c.replayRentalAnswer(e.RentalAnswer)
	}
}

// replayRentalAnswer records the machines of an answered rental that have not registered.
func (c *Component) replayRentalAnswer(answer *eventlog.RentalAnswer) {
	rental := c.pendingRentals[answer.Name]
	delete(c.pendingRentals, answer.Name)
	for _, name := range answer.Machines {
		if !c.registered[name] && !c.Inventory.WasDeleted(name) {
			c.booting[name] = rentedMachine(name, rental)
		}
	}
}

// rentedMachine returns the entry of a machine as it was requested.
func rentedMachine(name string, rental eventlog.Rental) eventlog.Machine {
	return eventlog.Machine{Name: name, Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot}
}

// Begin adds the rented machines that have not reported yet; nothing was ever started on them.
// Rental requests without an answer are sent again.
func (c *Component) Begin(now time.Duration) {
	for _, entry := range c.booting {
		if m := c.AddMachine(now, entry); m != nil {
			m.Resolved = true
		}
	}
	for _, rental := range c.pendingRentals {
		c.provisioner.Restore(rental)
	}
	if c.Cfg.Tunables.DecommissionUnlisted == 1 && len(c.registered) > 0 {
		// List at once: machines preempted in the meantime need not be waited for.
		c.listedAt = c.TermBegan - listInterval
	}
	c.booting, c.registered = nil, nil
}

// EntryDurable schedules a rental request to be sent once it is durable.
func (c *Component) EntryDurable(now time.Duration, _ bool, e eventlog.Entry) {
	if e.Rental != nil {
		c.pendingRentals[e.Rental.Name] = *e.Rental
		c.rentalDueAt[e.Rental.Name] = now
	}
}

// Tick scales the fleet at its interval.
func (c *Component) Tick(now time.Duration, leaseValid bool) {
	if now-c.lastScaledAt < scaleInterval {
		return
	}
	c.lastScaledAt = now
	if !c.MostMachinesSilent(now) {
		c.avoidSilentZones(now)
	}
	if leaseValid {
		c.scale(now)
	}
	c.NeedsCycle = true
}

// AfterCycle makes the calls to the cloud that are due.
func (c *Component) AfterCycle(now time.Duration, leaseValid bool) { c.makeDueCalls(now, leaseValid) }

// Compact rewrites the part of an entry that is still needed.
func (c *Component) Compact(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.MachineTypes != nil:
		if !c.typesCompacted {
			c.typesCompacted = true
			c.appendTypes(c.Types)
		}
	case e.Rental != nil:
		if rental, open := c.pendingRentals[e.Rental.Name]; open {
			c.EventLog.Append(eventlog.Entry{Rental: &rental})
		}
	}
}

// CompactionDone drops the state of the compaction.
func (c *Component) CompactionDone() { c.typesCompacted = false }

// avoidSilentZones pauses rentals for a while in zones where most machines are silent while
// machines of other zones report.
func (c *Component) avoidSilentZones(now time.Duration) {
	up, silent := c.SilentByZone(now)
	for zone, n := range silent {
		if !cluster.MostSilent(n, up[zone]) {
			continue
		}
		name := c.Zones.Name(int32(zone))
		if !c.provisioner.ZoneAvoided(now, name) {
			c.LogMessage(effects.Warn, "most machines of zone silent, scale out paused there",
				"zone", name, "silent", n, "of", up[zone])
		}
		c.provisioner.AvoidZone(name, now+zoneAvoidance)
	}
}

// scale rents machines for the open work, and returns capacity that was not needed for a while.
// Machines with accelerators form a group of their own if there are other machine types too.
func (c *Component) scale(now time.Duration) {
	if len(c.Types) == 0 {
		return
	}
	accelerated := slices.ContainsFunc(c.Types, func(t eventlog.MachineType) bool { return t.GPUs > 0 })
	plain := slices.ContainsFunc(c.Types, func(t eventlog.MachineType) bool { return t.GPUs == 0 })
	if !accelerated || !plain {
		c.groups[0].onlyGroup = true
		c.scaleGroup(now, &c.groups[0])
		return
	}
	c.groups[0].onlyGroup, c.groups[1].accelerated = false, true
	for i := range c.groups {
		c.scaleGroup(now, &c.groups[i])
	}
}
