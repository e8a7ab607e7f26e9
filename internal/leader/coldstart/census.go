package coldstart

import "time"

// Census follows which of the registered machines have been heard since a term began, and
// says when the fleet's state is settled, that is known well enough to act on. It is a pure
// state machine; the time is passed in.
//
// A machine counts as heard once what it has is known: it has reported at this term's
// token, or is proved gone. A zone is settled once so large a share of its machines is
// heard, or, where half of the fleet is, once nobody new has come from it for so long
// that those who are missing do not merely come late: they are dead, hung or cut off. The
// fleet is settled once all zones are, and in any case after SilenceAllowance.
type Census struct {
	params          Params
	began           time.Duration
	zones           []zone
	allPeersSince   time.Duration // since when all other controllers are reached
	allPeersReached bool          // they are
	settled         bool
	settledAt       time.Duration // when it was settled
}

// Params are the parameters of a census.
type Params struct {
	Share    float64       // of a zone's machines, 0 to 1, that must be heard
	Interval time.Duration // between a worker's reports
	Peers    int           // other controllers
}

// zone counts a zone's machines.
type zone struct {
	registered, heard int
	lastHeardAt       time.Duration // when the last one was heard
}

// How the platform's workers behave: a heartbeat comes up to a quarter later than its
// interval; one without an answer is given up after four seconds, and the next controller is
// tried a second later.
const (
	lateHeartbeatFactor = 1.25
	delayPerLostPeer    = 5 * time.Second
	heartbeatGrace      = time.Second // beside either
)

// NewCensus begins a census. registered counts the machines that are to be heard, by zone.
func NewCensus(now time.Duration, p Params, registered []int) *Census {
	c := &Census{params: p, began: now, allPeersReached: p.Peers == 0, allPeersSince: now}
	for _, n := range registered {
		c.zones = append(c.zones, zone{registered: n, lastHeardAt: now})
	}
	c.Settled(now)
	return c
}

// MachineHeard notes that a machine of a zone, by index, is known.
func (c *Census) MachineHeard(now time.Duration, zone int32) {
	if int(zone) < len(c.zones) {
		c.zones[zone].heard++
		c.zones[zone].lastHeardAt = now
	}
}

// PeersUnreached notes how many of the other controllers are not reached. A worker that tries
// one of those takes so much longer to find its way here; and one that tried it just before
// it was back does so still.
func (c *Census) PeersUnreached(now time.Duration, count int) {
	if all := count == 0; all != c.allPeersReached {
		c.allPeersReached, c.allPeersSince = all, now
	}
}

// Counts returns how many machines are to be heard, and how many are.
func (c *Census) Counts() (registered, heard int) {
	for _, z := range c.zones {
		registered += z.registered
		heard += z.heard
	}
	return registered, heard
}

// SilenceAllowance is how long after the beginning a worker that lives and reaches any
// controller may come for the first time.
func (c *Census) SilenceAllowance() time.Duration {
	longest := c.MaxSilenceAllowance()
	if !c.allPeersReached {
		return longest
	}
	return min(longest, c.allPeersSince-c.began+c.nextAttemptDelay()+heartbeatGrace)
}

// nextAttemptDelay is how long a worker takes to its next attempt: it is between two
// heartbeats, or waits for a controller that was lost when it came.
func (c *Census) nextAttemptDelay() time.Duration {
	return max(c.lateHeartbeat(), delayPerLostPeer)
}

// lateHeartbeat is the longest time between two heartbeats of a worker that is answered.
func (c *Census) lateHeartbeat() time.Duration {
	return time.Duration(lateHeartbeatFactor * float64(c.params.Interval))
}

// MaxSilenceAllowance is what SilenceAllowance is at most, whichever peers are lost: after it
// every kind of order is allowed.
func (c *Census) MaxSilenceAllowance() time.Duration {
	return c.nextAttemptDelay() + time.Duration(c.params.Peers)*delayPerLostPeer + heartbeatGrace
}

// Settled says whether the fleet's state is settled. Once it is, it stays so.
func (c *Census) Settled(now time.Duration) bool {
	if c.settled {
		return true
	}
	if c.allZonesSettled(now) || now-c.began >= c.SilenceAllowance() {
		c.settled, c.settledAt = true, now
	}
	return c.settled
}

// allZonesSettled says whether every zone is: enough of its machines are heard, or nobody new
// has come from it for a while and half of the fleet is heard.
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
