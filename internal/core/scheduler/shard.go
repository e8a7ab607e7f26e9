package scheduler

import (
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"time"
)

// ShardHolder is a controller's side of its block: the machines whose workers it
// answers, under a lease from the leader, and the offers it has taken up.
//
// The leader hands the block (task, attempt) as offers with its answer to
// each report; the holder picks the machine: it starts them on the machine
// whose report it answers, or leaves them for another. A start travels only
// in the answer to the very report for which the leader made the offer, and
// one offer is started once.
type ShardHolder struct {
	leases   map[string]machineLease
	accepted map[uint64]time.Duration
}

type machineLease struct {
	token uint64
	until time.Duration
}

// takenFor is how long a taken offer is remembered: far longer than the
// leader keeps offering it.
const acceptedRetention = 30 * time.Minute

// NewShardHolder makes a holder of an empty block.
func NewShardHolder() *ShardHolder {
	return &ShardHolder{leases: map[string]machineLease{}, accepted: map[uint64]time.Duration{}}
}

// Renew notes that the leader answered a report of a machine: it is ours
// until then, under this token.
func (h *ShardHolder) Renew(machine string, token uint64, until time.Duration) {
	h.leases[machine] = machineLease{token, until}
}

// Release notes that a machine is in another block.
func (h *ShardHolder) Release(machine string) { delete(h.leases, machine) }

// KeepAlive is the token with which a worker may be answered while the
// leader cannot be asked, so that its tasks outlive the leader. A worker that
// has seen a higher token belongs to somebody else. One that has seen none has no tasks:
// it is new, or has begun anew, which the next leader must be able to tell. Found in a
// random day on which the leader stood still, a machine began anew under its name and was
// given its old token here: the next leader took the units of what it had lost for free.
func (h *ShardHolder) KeepAlive(now time.Duration, r *workers.Report) (uint64, bool) {
	l, ok := h.leases[r.Machine]
	return l.token, ok && now < l.until && r.Token > 0 && r.Token <= l.token
}

// Pick takes up offers for the machine whose report is answered: those with
// room kept there, then such that fit into the room left.
func (h *ShardHolder) Pick(now time.Duration, offers []workers.Offer, room resources.Amounts) []workers.Offer {
	var out []workers.Offer
	for _, here := range []bool{true, false} {
		for _, o := range offers {
			if o.Here != here {
				continue
			}
			if _, taken := h.accepted[o.Serial]; taken {
				continue
			}
			if !here {
				if !o.Need.Fits(room) {
					continue
				}
				room = room.Minus(o.Need)
			}
			h.accepted[o.Serial] = now
			out = append(out, o)
		}
	}
	return out
}

// Tick forgets what is long over.
func (h *ShardHolder) Tick(now time.Duration) {
	for s, at := range h.accepted {
		if now-at > acceptedRetention {
			delete(h.accepted, s)
		}
	}
	for m, l := range h.leases {
		if now > l.until {
			delete(h.leases, m)
		}
	}
}
