// Package autoscaler is the component of a leader's term that scales the fleet out and in:
// it rents machines for the work there is, and returns those that are not needed. Its
// Provisioner decides which to rent: the offers of machine type, zone and kind (spot or
// on-demand) that cover what is missing at the least price, leaving out for a while those
// that were refused. It alone writes the log's entries of machine types, of rental requests
// and of their answers.
//
// What is needed is worked out in demand.go and hosting.go, acted on in scale_out.go and
// scale_in.go; cloud.go has the calls to the cloud and their answers.
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
	zoneAvoidance = 45 * time.Second // after the machines of a zone were silent together
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

	// While the log is replayed.
	booting    map[string]eventlog.Machine // rented machines that are not registered
	registered map[string]bool

	typesCompacted bool // by the compaction under way
}

// New makes the component of a term.
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
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.MachineTypes != nil:
		d.setTypes(e.MachineTypes)
	case e.Machine != nil:
		d.registered[e.Machine.Name] = true
		delete(d.booting, e.Machine.Name)
	case e.DeletedMachines != nil:
		for _, name := range e.DeletedMachines {
			delete(d.registered, name)
			delete(d.booting, name)
		}
	case e.Rental != nil:
		d.pendingRentals[e.Rental.Name] = *e.Rental
	case e.RentalAnswer != nil:
		d.replayRentalAnswer(e.RentalAnswer)
	}
}

// replayRentalAnswer enters the machines of a rental that have not registered.
func (d *Component) replayRentalAnswer(answer *eventlog.RentalAnswer) {
	rental := d.pendingRentals[answer.Name]
	delete(d.pendingRentals, answer.Name)
	for _, name := range answer.Machines {
		if !d.registered[name] && !d.Inventory.WasDeleted(name) {
			d.booting[name] = rentedMachine(name, rental)
		}
	}
}

// rentedMachine describes a machine as it was requested.
func rentedMachine(name string, rental eventlog.Rental) eventlog.Machine {
	return eventlog.Machine{Name: name, Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot}
}

// Begin enters the machines that have not reported yet: nothing was ever started on them.
// Requests without an answer will be sent again.
func (d *Component) Begin(now time.Duration) {
	for _, entry := range d.booting {
		if m := d.AddMachine(now, entry); m != nil {
			m.Resolved = true
		}
	}
	for _, rental := range d.pendingRentals {
		d.provisioner.Restore(rental)
	}
	if d.Cfg.Tunables.ListFirst == 1 && len(d.registered) > 0 {
		d.listedAt = d.TermBegan - listInterval // what the cloud has taken meanwhile need not be waited for
	}
	d.booting, d.registered = nil, nil
}

// EntryDurable has a rental sent whose request is durable.
func (d *Component) EntryDurable(now time.Duration, _ bool, e eventlog.Entry) {
	if e.Rental != nil {
		d.pendingRentals[e.Rental.Name] = *e.Rental
		d.rentalDueAt[e.Rental.Name] = now
	}
}

// Tick scales the fleet at its interval.
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
		if rental, open := d.pendingRentals[e.Rental.Name]; open {
			d.EventLog.Append(eventlog.Entry{Rental: &rental})
		}
	}
}

// CompactionDone ends a compaction.
func (d *Component) CompactionDone() { d.typesCompacted = false }

// avoidSilentZones keeps anything from being rented for a while in zones where most machines
// are silent while others are heard.
func (d *Component) avoidSilentZones(now time.Duration) {
	up, silent := d.SilentByZone(now)
	for zone, n := range silent {
		if !cluster.MostSilent(n, up[zone]) {
			continue
		}
		name := d.Zones.Name(int32(zone))
		if !d.provisioner.ZoneAvoided(now, name) {
			d.LogMessage(effects.Warn, "most machines of zone silent, scale out paused there",
				"zone", name, "silent", n, "of", up[zone])
		}
		d.provisioner.AvoidZone(name, now+zoneAvoidance)
	}
}

// scale covers the work that there is with machines, and returns what was not needed for a
// while. Machines with accelerators are a group of their own where there are others too.
func (d *Component) scale(now time.Duration) {
	if len(d.Types) == 0 {
		return
	}
	accelerated := slices.ContainsFunc(d.Types, func(t eventlog.MachineType) bool { return t.GPUs > 0 })
	plain := slices.ContainsFunc(d.Types, func(t eventlog.MachineType) bool { return t.GPUs == 0 })
	if !accelerated || !plain {
		d.groups[0].single = true
		d.scaleGroup(now, &d.groups[0])
		return
	}
	d.groups[0].single, d.groups[1].accelerated = false, true
	for i := range d.groups {
		d.scaleGroup(now, &d.groups[i])
	}
}
