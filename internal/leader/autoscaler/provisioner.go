// Package autoscaler is the duty that rents machines for the work there is and
// returns them. Its Buyer decides which to rent: the offers of type, zone and
// kind that cover what is missing at the least price, leaving out for a while
// those that were refused. It alone writes entries of machine types, of rental
// requests and of their answers.
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
	initialBackoff       = 10 * time.Second
	maxBackoff           = 80 * time.Second
)

type offerKey struct {
	typ, zone string
	spot      bool
}

type refusal struct {
	retryAt, backoff time.Duration
}

// Provisioner keeps what is known of the offers.
type Provisioner struct {
	namePrefix   string
	lastNumber   int
	refusals     map[offerKey]*refusal
	unanswered   map[string]eventlog.Rental // requests without an answer yet
	avoidedUntil map[string]time.Duration   // zones that seem cut off, until when
}

// NewProvisioner makes a buyer whose request names begin with a prefix used by no
// other term.
func NewProvisioner(prefix string) *Provisioner {
	return &Provisioner{namePrefix: prefix, refusals: map[offerKey]*refusal{}, unanswered: map[string]eventlog.Rental{}, avoidedUntil: map[string]time.Duration{}}
}

// AvoidZone leaves out a zone whose machines have fallen silent together: what is
// rented there would boot, cost money and not be heard either.
func (b *Provisioner) AvoidZone(zone string, until time.Duration) { b.avoidedUntil[zone] = until }

// ZoneAvoided says whether a zone is left out now.
func (b *Provisioner) ZoneAvoided(now time.Duration, zone string) bool {
	return now < b.avoidedUntil[zone]
}

// Demand is what is missing.
type Demand struct {
	CPUs       float64
	Spot       bool               // spot machines, else ordinary ones
	CPUsByZone map[string]float64 // processors there are in each zone
	UsualStayS float64            // seconds that a machine is usually kept; its boot is paid too
	Fits       func(t eventlog.MachineType, zone string, spot bool) bool
}

// Rent chooses requests that cover what is wanted.
func (b *Provisioner) Rent(now time.Duration, types []eventlog.MachineType, w Demand) []eventlog.Rental {
	var out []eventlog.Rental
	missing := w.CPUs
	for missing > 0.5 && len(b.unanswered) < 4 {
		type offer struct {
			offerKey
			count int
			cost  float64
			cpus  float64
		}
		var offers []offer
		for _, t := range types {
			for _, z := range t.Zones {
				k := offerKey{t.Name, z, w.Spot}
				if r := b.refusals[k]; r != nil && now < r.retryAt {
					continue
				}
				if b.ZoneAvoided(now, z) || b.isOutstanding(k) || !w.Fits(t, z, w.Spot) {
					continue
				}
				price := t.Price
				if w.Spot {
					price = t.SpotPrice
				}
				price *= 1 + t.BootS/w.UsualStayS
				count := max(1, min(maxMachinesPerRental, int(math.Ceil(missing/t.CPUs-0.01))))
				covered := min(missing, float64(count)*t.CPUs)
				offers = append(offers, offer{k, count, price * float64(count) / covered, t.CPUs})
			}
		}
		if len(offers) == 0 {
			return out
		}
		best := slices.MinFunc(offers, func(a, c offer) int {
			// Of offers that cost the same the zone with least: a zone may be lost.
			if o := cmp.Compare(a.cost, c.cost); o != 0 {
				return o
			}
			return cmp.Compare(w.CPUsByZone[a.zone], w.CPUsByZone[c.zone])
		})
		b.lastNumber++
		r := eventlog.Rental{Name: fmt.Sprintf("%s-%d", b.namePrefix, b.lastNumber), Type: best.typ, Zone: best.zone, Spot: best.spot, Count: best.count}
		b.unanswered[r.Name] = r
		out = append(out, r)
		missing -= float64(best.count) * best.cpus
	}
	return out
}

func (b *Provisioner) isOutstanding(k offerKey) bool {
	for _, r := range b.unanswered {
		if k == (offerKey{r.Type, r.Zone, r.Spot}) {
			return true
		}
	}
	return false
}

// Restore takes over a request of an earlier term that has no answer yet.
func (b *Provisioner) Restore(r eventlog.Rental) { b.unanswered[r.Name] = r }

// RequestedCPUs lists the processors of requests without an answer.
func (b *Provisioner) RequestedCPUs(cpus func(typ string) float64) float64 {
	var sum float64
	for _, r := range b.unanswered {
		sum += cpus(r.Type) * float64(r.Count)
	}
	return sum
}

// RequestAnswered notes how many machines a request brought.
func (b *Provisioner) RequestAnswered(now time.Duration, name string, got int) (eventlog.Rental, bool) {
	r, ok := b.unanswered[name]
	if !ok {
		return r, false
	}
	delete(b.unanswered, name)
	k := offerKey{r.Type, r.Zone, r.Spot}
	if got >= r.Count {
		delete(b.refusals, k)
		return r, true
	}
	f := b.refusals[k]
	if f == nil {
		f = &refusal{backoff: initialBackoff / 2}
		b.refusals[k] = f
	}
	f.backoff = min(2*f.backoff, maxBackoff)
	if got > 0 {
		f.backoff = initialBackoff
	}
	f.retryAt = now + f.backoff
	return r, true
}
