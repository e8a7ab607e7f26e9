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

// replayRentalAnswer records the machines of an answered rental that have not registered.
func (d *Component) replayRentalAnswer(answer *eventlog.RentalAnswer) {
	rental := d.pendingRentals[answer.Name]
	delete(d.pendingRentals, answer.Name)
	for _, name := range answer.Machines {
		if !d.registered[name] && !d.Inventory.WasDeleted(name) {
			d.booting[name] = rentedMachine(name, rental)
		}
	}
}

// rentedMachine returns the entry of a machine as it was requested.
func rentedMachine(name string, rental eventlog.Rental) eventlog.Machine {
	return eventlog.Machine{Name: name, Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot}
}

// Begin adds the rented machines that have not reported yet; nothing was ever started on them.
// Rental requests without an answer are sent again.
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
		// List at once: machines preempted in the meantime need not be waited for.
		d.listedAt = d.TermBegan - listInterval
	}
	d.booting, d.registered = nil, nil
}

// EntryDurable schedules a rental request to be sent once it is durable.
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

// AfterCycle makes the calls to the cloud that are due.
func (d *Component) AfterCycle(now time.Duration, leaseValid bool) { d.callCloud(now, leaseValid) }

// Compact rewrites the part of an entry that is still needed.
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

// CompactionDone drops the state of the compaction.
func (d *Component) CompactionDone() { d.typesCompacted = false }

// avoidSilentZones pauses rentals for a while in zones where most machines are silent while
// machines of other zones report.
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

// scale rents machines for the open work, and returns capacity that was not needed for a while.
// Machines with accelerators form a group of their own if there are other machine types too.
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
