package registry

import (
	"math"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
)

// lapseLimitLeases is the number of leases after which a lapse is given up.
const lapseLimitLeases = 2

// lapses reports whether a report of a machine is left without a renewal, so that its worker's lease expires (see
// Machine.CanLapse). No lapse begins while work has waited for longer than a lease: it may need the machine. At most LapseShare of the machines lapse at a
// time, rounded up.
func (c *Component) lapses(now time.Duration, leaseValid bool, m *workers.Machine) bool {
	if m.Lapsing {
		return true
	}
	allowed := int(math.Ceil(c.Cfg.Tunables.LapseShare * float64(len(c.Inventory.All()))))
	if !leaseValid || c.workWaits || c.lapsing >= allowed || !c.Cfg.AnyNeedsDispatch() || c.Cfg.Tunables.MaxPushDispatches == 0 || !m.CanLapse() {
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

// checkLapses gives up lapses that take too long and counts the others, and determines whether new ones may begin.
func (c *Component) checkLapses(now time.Duration) {
	lease := settings.Seconds(c.Cfg.Deployment.Workers.LeaseS)
	c.workWaits = slices.ContainsFunc(c.Jobs.All(), func(j *jobs.Job) bool {
		return j != nil && j.Phase == jobs.Open && j.Waiting > 0 && now-max(j.AcceptedAt, c.TermBegan) > lease
	})
	limit := lapseLimitLeases * lease
	c.lapsing = 0
	for _, m := range c.Inventory.All() {
		m.EndLapseAfter(now, limit)
		if m.Lapsing {
			c.lapsing++
		}
	}
}
