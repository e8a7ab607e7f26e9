package registry

import (
	"math"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
)

// lapseLimitLeases is the number of leases after which a lapse is given up.
const lapseLimitLeases = 2

// lapses reports whether a report of a machine is left without a renewal, so that its worker's lease expires (see
// Machine.CanLapse). At most LapseShare of the machines lapse at a
// time, rounded up.
func (c *Component) lapses(now time.Duration, leaseValid bool, m *workers.Machine) bool {
	if m.Lapsing {
		return true
	}
	allowed := int(math.Ceil(c.Cfg.Tunables.LapseShare * float64(len(c.Inventory.All()))))
	if !leaseValid || c.lapsing >= allowed || !c.Cfg.AnyNeedsDispatch() || c.Cfg.Tunables.MaxPushDispatches == 0 || !m.CanLapse() {
		return false
	}
	m.BeginLapse(now)
	c.lapsing++
	return true
}

// replyWithoutRenewal answers a heartbeat without a token: the worker drops the answer and stays with its controller.
func (c *Component) replyWithoutRenewal(request effects.RequestID) {
	c.Emit(effects.ReplyHeartbeat{To: request, Answer: effects.HeartbeatAnswer{Status: statusOK}})
}

// checkLapses gives up lapses that take too long, and counts the others.
func (c *Component) checkLapses(now time.Duration) {
	limit := settings.Seconds(lapseLimitLeases * c.Cfg.Deployment.Workers.LeaseS)
	c.lapsing = 0
	for _, m := range c.Inventory.All() {
		m.EndLapseAfter(now, limit)
		if m.Lapsing {
			c.lapsing++
		}
	}
}
