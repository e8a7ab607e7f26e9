package scheduler

import (
	"time"

	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

// ShardHolder is a controller's state for its shard: the machines whose workers it answers under a
// lease from the leader, and the offers that it has accepted.
//
// With its answer to each worker report, the leader passes the shard's tasks to the holder as
// offers. The holder starts an offered task on the machine whose report it answers, or leaves it
// for another machine. It sends a start only in the answer to the report for which the leader made
// the offer, and starts each offer at most once.
type ShardHolder struct {
	leases   map[string]machineLease  // by machine name
	accepted map[uint64]time.Duration // by serial number of the offer, when it was accepted
}

// machineLease is the leader's permission to answer the worker of a machine.
type machineLease struct {
	token uint64        // the fencing token with which the worker is answered
	until time.Duration // when the lease expires
}

// acceptedRetention is how long an accepted offer is remembered, which is far longer than the
// leader repeats it.
const acceptedRetention = 30 * time.Minute

// NewShardHolder returns a holder of an empty shard.
func NewShardHolder() *ShardHolder {
	return &ShardHolder{leases: map[string]machineLease{}, accepted: map[uint64]time.Duration{}}
}

// Renew records that the leader answered a report of a machine: the machine belongs to this shard
// under this fencing token until the lease expires.
func (h *ShardHolder) Renew(machine string, token uint64, until time.Duration) {
	h.leases[machine] = machineLease{token: token, until: until}
}

// Release records that a machine belongs to another shard.
func (h *ShardHolder) Release(machine string) { delete(h.leases, machine) }

// KeepAlive returns the fencing token with which a worker may be answered while the leader cannot
// be reached, and whether it may be answered. The answer keeps the worker's tasks running without a
// leader. A worker that has seen a higher token belongs to another holder. A worker that has seen
// none has no tasks: it is new or restarted, and the next leader must be able to see that.
//
// Without the last rule, in a randomized test in which the leader hung, a machine restarted under its
// name and was given its old token here. The next leader then regarded the counted units of the tasks
// that the machine had lost as free.
func (h *ShardHolder) KeepAlive(now time.Duration, report *workers.Report) (token uint64, ok bool) {
	lease, held := h.leases[report.Machine]
	return lease.token, held && now < lease.until && report.Token > 0 && report.Token <= lease.token
}

// Pick accepts offers for the machine whose report is being answered, and returns them: first those
// for which room is kept on this machine, then others that fit into the given room.
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

// Expire removes accepted offers after acceptedRetention, and expired leases.
func (h *ShardHolder) Expire(now time.Duration) {
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
