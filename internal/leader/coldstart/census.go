package coldstart

import "time"

// Census follows which of the registered machines have been heard since a leader began,
// and says when the picture is settled. It is pure; the time comes in.
//
// A machine counts as heard once what it has is known: it has reported at this term's
// token, or is proved gone. A zone is settled once so large a share of its machines is
// heard, or, where half of the fleet is, once nobody new has come from it for so long
// that those who are missing do not merely come late: they are dead, hung or cut off. The
// picture is settled once all zones are, and in any case after Patience.
type Census struct {
	params          Params
	began           time.Duration
	zones           []zone
	allPeersSince   time.Duration // since when all other controllers are reached
	allPeersReached bool          // they are
	settled         bool
	settledAt       time.Duration // when it was settled
}

// Params of a census.
type Params struct {
	Share    float64       // of a zone's machines, 0 to 1, that must be heard
	Interval time.Duration // between a worker's reports
	Peers    int           // other controllers
}

type zone struct {
	registered, heard int
	lastHeardAt       time.Duration // when the last one was heard
}

// What the platform's workers do: a report comes up to a quarter later than its
// interval; one without an answer is given up after four seconds, and the next
// controller is tried a second later.
const (
	lateHeartbeatFactor = 1.25
	delayPerLostPeer    = 5 * time.Second
	slack               = time.Second
)

// NewCensus begins one. registered counts the machines that are to be heard, by zone.
func NewCensus(now time.Duration, p Params, registered []int) *Census {
	c := &Census{params: p, began: now, allPeersReached: p.Peers == 0, allPeersSince: now}
	for _, n := range registered {
		c.zones = append(c.zones, zone{registered: n, lastHeardAt: now})
	}
	c.Settled(now)
	return c
}

// MachineHeard notes that a machine of a zone is known.
func (c *Census) MachineHeard(now time.Duration, z int32) {
	if int(z) < len(c.zones) {
		c.zones[z].heard++
		c.zones[z].lastHeardAt = now
	}
}

// PeersUnreached says how many of the other controllers are not reached. A worker that tries one of
// those takes so much longer to find its way here; and one that tried it just before it
// was back does so still.
func (c *Census) PeersUnreached(now time.Duration, n int) {
	if all := n == 0; all != c.allPeersReached {
		c.allPeersReached, c.allPeersSince = all, now
	}
}

// Counts gives the machines that are to be heard, and those that are.
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
	return min(longest, c.allPeersSince-c.began+c.nextAttemptDelay()+slack)
}

// nextAttemptDelay is how long a worker takes to its next try: it is between two reports, or waits
// at a controller that was away when it came.
func (c *Census) nextAttemptDelay() time.Duration {
	return max(time.Duration(lateHeartbeatFactor*float64(c.params.Interval)), delayPerLostPeer)
}

// MaxSilenceAllowance is what Patience is at most, whoever is away: after it every kind of order is
// allowed.
func (c *Census) MaxSilenceAllowance() time.Duration {
	return c.nextAttemptDelay() + time.Duration(c.params.Peers)*delayPerLostPeer + slack
}

// Settled says whether the picture is settled. Once it is, it stays so.
func (c *Census) Settled(now time.Duration) bool {
	if c.settled {
		return true
	}
	quiet := time.Duration(lateHeartbeatFactor*float64(c.params.Interval)) + slack
	registered, heard := c.Counts()
	all := true
	for _, z := range c.zones {
		if float64(z.heard) < c.params.Share*float64(z.registered) && (now-z.lastHeardAt < quiet || heard*2 < registered) {
			all = false
		}
	}
	if all || now-c.began >= c.SilenceAllowance() {
		c.settled, c.settledAt = true, now
	}
	return c.settled
}
