package autoscaler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
)

const (
	maxMachinesPerRental = 50
	maxUnanswered        = 4 // rental requests without an answer at a time

	// toleratedShortageCPUs is the shortage up to which nothing is rented.
	toleratedShortageCPUs = 0.5
	// roundingTolerance is the fraction of a machine for which no further machine is requested.
	roundingTolerance = 0.01

	initialBackoff = 10 * time.Second
	maxBackoff     = 80 * time.Second
)

// offerKey identifies what the cloud offers or refuses as a unit.
type offerKey struct {
	typ, zone string
	spot      bool
}

// refusal records that an offer was refused; each further refusal in a row doubles the backoff.
type refusal struct {
	retryAt time.Duration
	backoff time.Duration
}

// Provisioner tracks the state of the cloud's offers, and decides which to rent.
type Provisioner struct {
	namePrefix   string // of request names
	lastNumber   int    // of request names
	refusals     map[offerKey]*refusal
	unanswered   map[string]eventlog.Rental // requests without an answer yet, by name
	avoidedUntil map[string]time.Duration   // by zone that seems cut off
}

// NewProvisioner returns a Provisioner whose request names begin with a prefix used by no other
// term.
func NewProvisioner(prefix string) *Provisioner {
	return &Provisioner{
		namePrefix:   prefix,
		refusals:     map[offerKey]*refusal{},
		unanswered:   map[string]eventlog.Rental{},
		avoidedUntil: map[string]time.Duration{},
	}
}

// AvoidZone excludes a zone whose machines have become silent together: machines rented there
// would boot and cost money, but could not report either.
func (p *Provisioner) AvoidZone(zone string, until time.Duration) { p.avoidedUntil[zone] = until }

// ZoneAvoided reports whether a zone is excluded now.
func (p *Provisioner) ZoneAvoided(now time.Duration, zone string) bool {
	return now < p.avoidedUntil[zone]
}

// Demand describes the missing capacity and which machines may cover it.
type Demand struct {
	CPUs         float64            // processors
	Spot         bool               // spot machines, else on-demand ones
	CPUsByZone   map[string]float64 // existing processors in each zone
	UsualRentalS float64            // seconds that a machine is usually kept; its boot time is paid for too

	// Fits reports whether machines of a type, zone and kind may cover the demand.
	Fits func(t eventlog.MachineType, zone string, spot bool) bool
}

// offer is a number of machines of one type, zone and kind that would cover a demand or a part
// of it.
type offer struct {
	offerKey
	count int     // of machines
	cost  float64 // per missing processor
	cpus  float64 // of one machine
}

// Rent chooses requests that cover a demand as far as there are offers, each time the cheapest
// offer for the capacity that is still missing. Each request counts as unanswered until
// RequestAnswered is called for it.
func (p *Provisioner) Rent(now time.Duration, types []eventlog.MachineType, demand Demand) []eventlog.Rental {
	var requests []eventlog.Rental
	missing := demand.CPUs
	for missing > toleratedShortageCPUs && len(p.unanswered) < maxUnanswered {
		offers := p.offers(now, types, demand, missing)
		if len(offers) == 0 {
			return requests
		}
		best := slices.MinFunc(offers, func(x, y offer) int {
			// At equal cost, prefer the zone with the least capacity, since a zone may be lost.
			return cmp.Or(
				cmp.Compare(x.cost, y.cost),
				cmp.Compare(demand.CPUsByZone[x.zone], demand.CPUsByZone[y.zone]),
			)
		})
		requests = append(requests, p.newRequest(best))
		missing -= float64(best.count) * best.cpus
	}
	return requests
}

// offers returns the offers that may be requested now for this many missing processors.
func (p *Provisioner) offers(now time.Duration, types []eventlog.MachineType, demand Demand, missing float64) []offer {
	var offers []offer
	for _, t := range types {
		for _, zone := range t.Zones {
			k := offerKey{typ: t.Name, zone: zone, spot: demand.Spot}
			if !p.isAvailable(now, k) || !demand.Fits(t, zone, demand.Spot) {
				continue
			}
			price := t.Price
			if demand.Spot {
				price = t.SpotPrice
			}
			price *= 1 + t.BootS/demand.UsualRentalS
			count := max(1, min(maxMachinesPerRental, int(math.Ceil(missing/t.CPUs-roundingTolerance))))
			covered := min(missing, float64(count)*t.CPUs)
			cost := price * float64(count) / covered
			offers = append(offers, offer{offerKey: k, count: count, cost: cost, cpus: t.CPUs})
		}
	}
	return offers
}

// isAvailable reports whether an offer may be requested now: it was not refused recently, its
// zone is not avoided, and no request for it is without an answer.
func (p *Provisioner) isAvailable(now time.Duration, k offerKey) bool {
	if r := p.refusals[k]; r != nil && now < r.retryAt {
		return false
	}
	return !p.ZoneAvoided(now, k.zone) && !p.isOutstanding(k)
}

// newRequest returns a request for an offer under a new name, and records it as unanswered.
func (p *Provisioner) newRequest(o offer) eventlog.Rental {
	p.lastNumber++
	r := eventlog.Rental{
		Name:  fmt.Sprintf("%s-%d", p.namePrefix, p.lastNumber),
		Type:  o.typ,
		Zone:  o.zone,
		Spot:  o.spot,
		Count: o.count,
	}
	p.unanswered[r.Name] = r
	return r
}

// isOutstanding reports whether a request for an offer is without an answer.
func (p *Provisioner) isOutstanding(k offerKey) bool {
	for _, r := range p.unanswered {
		if k == keyOf(r) {
			return true
		}
	}
	return false
}

// Restore adds a request of an earlier term that has no answer yet.
func (p *Provisioner) Restore(r eventlog.Rental) { p.unanswered[r.Name] = r }

// UnansweredCPUs returns the total number of processors of requests without an answer.
func (p *Provisioner) UnansweredCPUs(cpusOf func(typeName string) float64) float64 {
	var sum float64
	for _, r := range p.unanswered {
		sum += cpusOf(r.Type) * float64(r.Count)
	}
	return sum
}

// keyOf returns the key of the offer that a request is for.
func keyOf(r eventlog.Rental) offerKey { return offerKey{typ: r.Type, zone: r.Zone, spot: r.Spot} }

// RequestAnswered records how many machines a request brought. An offer that brought fewer than
// requested is excluded for a backoff. known is false if no such request is unanswered.
func (p *Provisioner) RequestAnswered(now time.Duration, name string, got int) (request eventlog.Rental, known bool) {
	r, ok := p.unanswered[name]
	if !ok {
		return r, false
	}
	delete(p.unanswered, name)
	k := keyOf(r)
	if got >= r.Count {
		delete(p.refusals, k)
		return r, true
	}
	refused := p.refusals[k]
	if refused == nil {
		refused = &refusal{backoff: initialBackoff / 2}
		p.refusals[k] = refused
	}
	refused.backoff = min(2*refused.backoff, maxBackoff)
	if got > 0 {
		refused.backoff = initialBackoff
	}
	refused.retryAt = now + refused.backoff
	return r, true
}
