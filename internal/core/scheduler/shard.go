package scheduler

import (
	"time"

	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

// ShardHolder is a controller's side of its shard: the machines whose workers it
// answers, under a lease from the leader, and the offers it has accepted.
//
// The leader hands over the shard's work (task, attempt) as offers with its answer to
// each report; the holder chooses among them by machine: it starts them on the machine
// whose report it answers, or leaves them for another. A start travels only
// in the answer to the very report for which the leader made the offer, and
// one offer is started once.
type ShardHolder struct {
	leases   map[string]machineLease  // by name of the machine
	accepted map[uint64]time.Duration // by serial of the offer, when it was accepted
}

// machineLease is the leader's leave to answer a machine's worker.
type machineLease struct {
	token uint64        // fencing token with which the worker is answered
	until time.Duration // when the lease expires
}

// acceptedRetention is how long an accepted offer is remembered: far longer than the
// leader keeps offering it.
const acceptedRetention = 30 * time.Minute

// NewShardHolder makes a holder of an empty shard.
func NewShardHolder() *ShardHolder {
	return &ShardHolder{leases: map[string]machineLease{}, accepted: map[uint64]time.Duration{}}
}

// Renew notes that the leader answered a report of a machine: the machine is in this
// shard until the lease expires, under this fencing token.
func (h *ShardHolder) Renew(machine string, token uint64, until time.Duration) {
	h.leases[machine] = machineLease{token: token, until: until}
}

// Release notes that a machine is in another shard.
func (h *ShardHolder) Release(machine string) { delete(h.leases, machine) }

// KeepAlive returns the fencing token with which a worker may be answered while the
// leader cannot be asked, so that its tasks outlive the leader, and whether it may be. A
// worker that has seen a higher token belongs to another holder. One that has seen none has
// no tasks: it is new, or a new incarnation, which the next leader must be able to tell.
//
// Found in a random day on which the leader stood still: a machine restarted under its name
// and was given its old token here, and the next leader took the units of the tasks that it
// had lost to be free.
func (h *ShardHolder) KeepAlive(now time.Duration, report *workers.Report) (token uint64, ok bool) {
	lease, held := h.leases[report.Machine]
	return lease.token, held && now < lease.until && report.Token > 0 && report.Token <= lease.token
}

// Pick accepts offers for the machine whose report is answered: first those with
// room kept there, then such that fit into the room left.
func (h *ShardHolder) Pick(now time.Duration, offers []workers.Offer, room resources.Amounts) []workers.Offer {
	var picked []workers.Offer
	for _, here := range []bool{true, false} {
		for _, offer := range offers {
			if offer.Here != here {
				continue
			}
			if _, accepted := h.accepted[offer.Serial]; accepted {
				continue
			}
			if !here {
				if !offer.Need.Fits(room) {
					continue
				}
				room = room.Minus(offer.Need)
			}
			h.accepted[offer.Serial] = now
			picked = append(picked, offer)
		}
	}
	return picked
}

// Tick forgets old offers and expired leases.
func (h *ShardHolder) Tick(now time.Duration) {
	for serial, at := range h.accepted {
		if now-at > acceptedRetention {
			delete(h.accepted, serial)
		}
	}
	for machine, lease := range h.leases {
		if now > lease.until {
			delete(h.leases, machine)
		}
	}
}
