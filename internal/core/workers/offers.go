package workers

import (
	"cmp"
	"slices"

	"bitternmoor/internal/core/resources"
)

// Offer is a planned task that a controller may start on the machine whose
// report it answers. Here says that room is kept on that machine.
type Offer struct {
	Start  Command
	Serial uint64
	Need   resources.Amounts
	Here   bool
}

// offersAtOnce bounds the offers for other machines' tasks in one answer.
const maxForeignOffers = 8

// Offer makes the offers for an answer to the machine's last report: the
// tasks planned here, and such planned on machines of the same block, type,
// zone and kind as would fit here with their image at hand. serial gives
// numbers to offers, attempt to tasks that have none.
func (m *Machine) Offer(planned []*Machine, serial, attempt func() uint64) []Offer {
	var out []Offer
	add := func(p *Placement, here bool) {
		if !m.Grants[p.JobID] || !p.IntentDurable {
			return // a successor must be able to know first
		}
		if p.NotOfferedAgain || p.Withdrawn || (len(p.Offered) > 0 && p.offeredUnderSerial[m]) {
			return
		}
		if len(p.Offered) == 0 {
			p.Serial, p.offeredUnderSerial = serial(), map[*Machine]bool{}
			p.Offered = map[*Machine]bool{}
			if p.Attempt == 0 {
				p.Attempt = attempt()
			}
		}
		p.Offered[m], p.offeredUnderSerial[m] = true, true
		if m.OpenOffers == nil {
			m.OpenOffers = map[Ref]*Placement{}
		}
		m.OpenOffers[p.Ref] = p
		out = append(out, Offer{Command{Op: Start, Job: p.JobID, Task: int(p.Ref.Task), Attempt: p.Attempt}, p.Serial, p.Need, here})
	}
	for _, p := range m.Tasks {
		if p.Planned {
			add(p, true)
		}
	}
	here := len(out)
	for _, o := range planned {
		if m.Draining {
			break // it is to become empty
		}
		if o == m || o.Shard != m.Shard || o.Type != m.Type || o.Zone != m.Zone || o.Spot != m.Spot || m.Reserved {
			continue
		}
		for _, p := range o.Tasks {
			if len(out)-here >= maxForeignOffers {
				break
			}
			if m.Cap.GPU > 0 && p.Need.GPU == 0 {
				continue // how much of them it may have was looked at where they are planned
			}
			if p.Planned && !p.BoundToHome && p.Need.Fits(m.Free) && m.HasImage(p.Image) {
				add(p, false)
			}
		}
	}
	slices.SortFunc(out, func(a, b Offer) int { return cmp.Compare(a.Serial, b.Serial) })
	return out
}

// TaskStarted notes that an offered task was sent with the answer to the
// machine's last report.
func (m *Machine) TaskStarted(ref Ref) bool {
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

// resolveOffers closes the machine's open offers by a newer report.
func (m *Machine) resolveOffers(r *Report) []Event {
	var events []Event
	for ref, p := range m.OpenOffers {
		delete(m.OpenOffers, ref)
		delete(p.Offered, m)
		if !p.Planned {
			continue
		}
		shown := slices.ContainsFunc(r.Tasks, func(t TaskReport) bool {
			return t.Job == p.JobID && t.Task == int(ref.Task) && t.Attempt == p.Attempt
		})
		switch {
		case shown:
			m.placePlanned(p)
			events = append(events, Event{Kind: EventPlaced, Ref: ref, JobID: p.JobID, Attempt: p.Attempt, Placement: p})
		case len(p.Offered) == 0:
			events = append(events, Event{Kind: EventOfferClosed, Ref: ref, JobID: p.JobID, Attempt: p.Attempt, Placement: p})
		}
	}
	return events
}

// CloseOffers ends the open offers of a machine that is gone, and returns
// the plans that have no other one.
func (m *Machine) CloseOffers() []*Placement {
	var over []*Placement
	for ref, p := range m.OpenOffers {
		delete(m.OpenOffers, ref)
		delete(p.Offered, m)
		if p.Planned && len(p.Offered) == 0 {
			over = append(over, p)
		}
	}
	return over
}

// Rehome moves a plan from a machine that is gone to one that it is on offer
// to, if there is any.
func (p *Placement) Rehome() bool {
	for m := range p.Offered {
		p.Machine.RemovePlacement(p.Ref)
		p.Machine = m
		m.addPlacement(p)
		return true
	}
	return false
}
