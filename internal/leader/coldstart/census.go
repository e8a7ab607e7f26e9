package coldstart

import "time"

// Census counts which of the registered machines have been heard since a term began, and
// determines when the fleet's state is settled, that is known well enough to act on. It is a
// pure state machine; the caller passes the time in.
//
// A machine counts as heard once its state is known: it has reported at this term's token,
// or is proved gone. A zone is settled once Params.Share of its machines are heard. If half
// of the fleet is heard, a zone is also settled once no further machine of it has been heard
// for longer than a late heartbeat takes: the missing ones are then dead, hung or cut off.
// The fleet is settled once all zones are, and in any case after SilenceAllowance.
type Census struct {
	params          Params
	began           time.Duration
	zones           []zone
	peersChangedAt  time.Duration // when allPeersReached last changed
	allPeersReached bool          // whether all other controllers can be reached
	settled         bool
	settledAt       time.Duration // when the fleet became settled
}

// Params are the parameters of a census.
type Params struct {
	Share    float64       // share of a zone's machines that must be heard, 0 to 1
	Interval time.Duration // time between a worker's heartbeats
	Peers    int           // number of other controllers
}

// zone counts the machines of one zone.
type zone struct {
	registered, heard int
	lastHeardAt       time.Duration // when a machine was last heard for the first time
}

// Timing of the platform's workers: a heartbeat is sent up to a quarter of its interval late;
// a worker gives up a heartbeat without an answer after four seconds, and tries the next
// controller one second later.
const (
	lateHeartbeatFactor = 1.25
	delayPerLostPeer    = 5 * time.Second
	heartbeatGrace      = time.Second // added to either delay
)

// NewCensus starts a census. registered is the number of machines to be heard, by zone index.
func NewCensus(now time.Duration, p Params, registered []int) *Census {
	c := &Census{params: p, began: now, allPeersReached: p.Peers == 0, peersChangedAt: now}
	for _, n := range registered {
		c.zones = append(c.zones, zone{registered: n, lastHeardAt: now})
	}
	c.Settled(now)
	return c
}

// MachineHeard records that a machine in the zone with the given index has been heard.
func (c *Census) MachineHeard(now time.Duration, zone int32) {
	if int(zone) < len(c.zones) {
		c.zones[zone].heard++
		c.zones[zone].lastHeardAt = now
	}
}

// SetUnreachablePeers records how many of the other controllers cannot be reached. A worker that
// tries one of them takes longer to reach this controller, even if it tried just before the
// other one came back.
func (c *Census) SetUnreachablePeers(now time.Duration, count int) {
	if all := count == 0; all != c.allPeersReached {
		c.allPeersReached, c.peersChangedAt = all, now
	}
}

// Counts returns how many machines are to be heard, and how many of them have been.
func (c *Census) Counts() (registered, heard int) {
	for _, z := range c.zones {
		registered += z.registered
		heard += z.heard
	}
	return registered, heard
}

// SilenceAllowance returns how long after the start of the term the first heartbeat of a live
// worker that can reach any controller may arrive.
func (c *Census) SilenceAllowance() time.Duration {
	longest := c.MaxSilenceAllowance()
	if !c.allPeersReached {
		return longest
	}
	return min(longest, c.peersChangedAt-c.began+c.nextAttemptDelay()+heartbeatGrace)
}

// nextAttemptDelay returns the longest time until a worker's next attempt: the worker is either
// between two heartbeats, or waiting for an answer from a controller that was lost.
func (c *Census) nextAttemptDelay() time.Duration {
	return max(c.lateHeartbeat(), delayPerLostPeer)
}

// lateHeartbeat returns the longest time between two heartbeats of a worker that gets answers.
func (c *Census) lateHeartbeat() time.Duration {
	return time.Duration(lateHeartbeatFactor * float64(c.params.Interval))
}

// MaxSilenceAllowance returns the upper bound of SilenceAllowance, whichever peers are lost.
// After that time every kind of action is permitted.
func (c *Census) MaxSilenceAllowance() time.Duration {
	return c.nextAttemptDelay() + time.Duration(c.params.Peers)*delayPerLostPeer + heartbeatGrace
}

// Settled reports whether the fleet's state is settled. Once settled, it stays settled.
func (c *Census) Settled(now time.Duration) bool {
	if c.settled {
		return true
	}
	if c.allZonesSettled(now) || now-c.began >= c.SilenceAllowance() {
		c.settled, c.settledAt = true, now
	}
	return c.settled
}

// allZonesSettled reports whether every zone is settled: enough of its machines are heard, or
// half of the fleet is heard and no further machine of the zone for a while.
func (c *Census) allZonesSettled(now time.Duration) bool {
	quiet := c.lateHeartbeat() + heartbeatGrace
	registered, heard := c.Counts()
	halfHeard := heard*2 >= registered
	for _, z := range c.zones {
		enough := float64(z.heard) >= c.params.Share*float64(z.registered)
		noneComing := now-z.lastHeardAt >= quiet && halfHeard
		if !enough && !noneComing {
			return false
		}
	}
	return true
}
