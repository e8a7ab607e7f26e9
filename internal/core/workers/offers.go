package workers

import (
	"cmp"
	"slices"

	"bitternmoor/internal/core/resources"
)

// Offer is a planned task that a controller may start on the machine whose report it answers.
type Offer struct {
	Start  Command
	Serial uint64 // number of the offer; a controller starts each serial at most once
	Need   resources.Amounts
	Here   bool // the task is planned on that same machine, which keeps room for it
}

// maxForeignOffers is the highest number of offers in one answer for tasks planned on other machines.
const maxForeignOffers = 8

// Offer returns the offers for the answer to the machine's last report, in the order of their serials: the
// tasks planned on it, and those planned on interchangeable machines (of the same shard, type, zone and
// purchase kind) that fit into its free resources and whose image it has. planned lists the machines whose
// plans are offered. serial returns numbers for new offers, attempt for tasks without an attempt number.
func (m *Machine) Offer(planned []*Machine, serial, attempt func() uint64) []Offer {
	b := offerBuilder{machine: m, nextSerial: serial, nextAttempt: attempt}
	b.addOwn()
	b.addForeign(planned)
	slices.SortFunc(b.offers, func(a, b Offer) int { return cmp.Compare(a.Serial, b.Serial) })
	return b.offers
}

// offerBuilder collects the offers of one answer.
type offerBuilder struct {
	machine     *Machine
	nextSerial  func() uint64
	nextAttempt func() uint64
	offers      []Offer
}

// addOwn offers the tasks planned on the machine itself.
func (b *offerBuilder) addOwn() {
	for _, p := range b.machine.Tasks {
		if p.Planned {
			b.add(p, true)
		}
	}
}

// addForeign offers tasks planned on other machines, up to maxForeignOffers of them. A machine that is being
// drained gets none, since it is to become empty, and neither does a reserved one.
func (b *offerBuilder) addForeign(planned []*Machine) {
	m := b.machine
	if m.Draining || m.Reserved {
		return
	}
	own := len(b.offers)
	for _, other := range planned {
		if !m.interchangeable(other) {
			continue
		}
		for _, p := range other.Tasks {
			if len(b.offers)-own >= maxForeignOffers {
				return
			}
			if m.acceptsForeign(p) {
				b.add(p, false)
			}
		}
	}
}

// interchangeable reports whether a task planned on another machine may be started on this one instead: both
// have the same shard, type and zone, and both or neither are spot instances.
func (m *Machine) interchangeable(other *Machine) bool {
	return other != m &&
		other.Shard == m.Shard &&
		other.Type == m.Type &&
		other.Zone == m.Zone &&
		other.Spot == m.Spot
}

// acceptsForeign reports whether a task planned on an interchangeable machine fits here and its image is
// here. The number of tasks without accelerators on a machine with accelerators is limited when they are
// planned, so such tasks stay on the machine on which they are planned.
func (m *Machine) acceptsForeign(p *Placement) bool {
	if m.Capacity.GPU > 0 && p.Need.GPU == 0 {
		return false
	}
	return p.Planned && !p.BoundToMachine && p.Need.Fits(m.Free) && m.HasImage(p.Image)
}

// add offers a planned task if it may be offered now. here is true if it is planned on this machine.
func (b *offerBuilder) add(p *Placement, here bool) {
	m := b.machine
	if !p.offerable(m) {
		return
	}
	if len(p.Offered) == 0 {
		p.Serial = b.nextSerial()
		p.offeredUnderSerial = map[*Machine]bool{}
		p.Offered = map[*Machine]bool{}
		if p.Attempt == 0 {
			p.Attempt = b.nextAttempt()
		}
	}
	p.Offered[m], p.offeredUnderSerial[m] = true, true
	if m.OpenOffers == nil {
		m.OpenOffers = map[TaskRef]*Placement{}
	}
	m.OpenOffers[p.Ref] = p
	b.offers = append(b.offers, Offer{
		Start:  Command{Op: Start, Job: p.JobID, Task: int(p.Ref.Task), Attempt: p.Attempt},
		Serial: p.Serial,
		Need:   p.Need,
		Here:   here,
	})
}

// offerable reports whether a planned task may be offered to a machine now. The job's grant on the machine
// and the intent to start the task must be durable first, so that the next leader can read them. Under one
// serial a task is offered to a machine only once.
func (p *Placement) offerable(m *Machine) bool {
	if !m.Grants[p.JobID] || !p.IntentDurable {
		return false
	}
	if p.NoNewOffers || p.Withdrawn {
		return false
	}
	return len(p.Offered) == 0 || !p.offeredUnderSerial[m]
}

// TaskStarted records that a controller started an offered task with its answer to the machine's last
// report. It returns false if the task is not offered to the machine, or is no longer planned.
func (m *Machine) TaskStarted(ref TaskRef) bool {
	p := m.OpenOffers[ref]
	if p == nil || !p.Planned {
		return false
	}
	delete(m.OpenOffers, ref)
	delete(p.Offered, m)
	m.placePlanned(p)
	p.lastReportSeq = m.Seq
	return true
}

// resolveOffers closes the machine's open offers on a newer report: a task that the report lists was started
// here, and one that it lacks was not.
func (m *Machine) resolveOffers(r *Report) []Event {
	var events []Event
	for ref, p := range m.OpenOffers {
		delete(m.OpenOffers, ref)
		delete(p.Offered, m)
		if !p.Planned {
			continue
		}
		event := Event{Ref: ref, JobID: p.JobID, Attempt: p.Attempt, Placement: p}
		switch {
		case r.lists(p):
			m.placePlanned(p)
			event.Kind = EventPlaced
			events = append(events, event)
		case len(p.Offered) == 0:
			event.Kind = EventOfferClosed
			events = append(events, event)
		}
	}
	return events
}

// CloseOffers closes the open offers to a machine that is deleted, and returns those of their tasks that are
// still planned and not offered to any other machine.
func (m *Machine) CloseOffers() []*Placement {
	var withoutOffer []*Placement
	for ref, p := range m.OpenOffers {
		delete(m.OpenOffers, ref)
		delete(p.Offered, m)
		if p.Planned && len(p.Offered) == 0 {
			withoutOffer = append(withoutOffer, p)
		}
	}
	return withoutOffer
}

// MoveToOfferedMachine moves a planned task from a machine that is deleted to one to which it is offered. It returns
// false if there is no such machine.
func (p *Placement) MoveToOfferedMachine() bool {
	for m := range p.Offered {
		p.Machine.RemovePlacement(p.Ref)
		p.Machine = m
		m.addPlacement(p)
		return true
	}
	return false
}
