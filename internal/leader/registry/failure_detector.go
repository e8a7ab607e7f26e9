package registry

import (
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

const (
	checkInterval = 500 * time.Millisecond

	// bootGracePeriod is added to the allowed boot time of a machine before it is
	// decommissioned.
	bootGracePeriod = 20 * time.Second

	// lostLeaseFactor times the workers' lease is the time after which a worker that has
	// received no answer has certainly lost its lease.
	lostLeaseFactor = 1.2

	// overdueStopShare is the share of the allowed cancellation time after which tasks that were
	// ordered to stop and are still present are overdue.
	overdueStopShare = 0.5

	// A checkpointed task on a spot machine with a preemption notice is saved and stopped before
	// the preemption. Besides the time it takes to save, the reserve for this is a fixed number
	// of seconds and a number of heartbeat intervals.
	saveReserveSeconds   = 2
	saveReserveIntervals = 1.5
)

// failureCheck holds the values that all machines share in one run of the failure detector.
type failureCheck struct {
	now               time.Duration
	leaseValid        bool
	mostSilent        bool          // most machines of the fleet are silent
	silenceLimit      time.Duration // a machine silent for longer is decommissioned
	overdueStop       time.Duration // a stop that takes longer is overdue
	lateCancellations []*jobs.Job   // cancelled jobs whose tasks should have stopped by now
	cancellations     []*jobs.Job   // cancelled jobs that wait for the deletion of machines
}

// verdict is the failure detector's decision on a machine; without a reason the machine stays.
type verdict struct {
	action cluster.Action
	reason string
}

// detectFailures checks every machine for silence, for a boot that takes too long, for a
// preemption notice and for tasks that have not stopped as ordered. It decommissions failed
// machines and evacuates those that will be preempted or returned.
func (c *Component) detectFailures(now time.Duration, leaseValid bool) {
	check := c.newFailureCheck(now, leaseValid)
	c.checkLapses(now)
	for _, m := range slices.Clone(c.Inventory.All()) {
		if m.Deleting {
			continue
		}
		if now-c.lastHeard(m) > c.SuspectAfter() {
			c.CancelPlans(m)
		}
		if c.awaitedByCancellation(check.cancellations, m) {
			m.Draining = true
		}
		if v := c.evaluate(check, m); v.reason != "" {
			c.Decommission(now, m, v.action, v.reason)
		}
		if m.PreemptionNotice || m.Draining {
			c.evacuate(now, m)
		}
	}
}

// newFailureCheck computes the values that all machines share, and updates the records of zone
// outages and of reachable zones.
func (c *Component) newFailureCheck(now time.Duration, leaseValid bool) failureCheck {
	w := c.Cfg.Deployment.Workers
	check := failureCheck{
		now:          now,
		leaseValid:   leaseValid,
		silenceLimit: c.LostAfter(),
		mostSilent:   c.MostMachinesSilent(now),
		overdueStop:  settings.Seconds(overdueStopShare * w.CancelS),
	}
	if check.mostSilent {
		// When most machines are silent at once, the fault is more likely on the leader's side.
		check.silenceLimit = max(check.silenceLimit, settings.Seconds(lostLeaseFactor*w.LeaseS))
	}
	c.trackZoneOutages(now, check.mostSilent)
	c.zoneReachable = c.reachableZones(now)
	for _, j := range c.Jobs.All() {
		if j == nil || j.Phase != jobs.Cancelling {
			continue
		}
		if now-j.CancelRequestedAt > check.overdueStop {
			check.lateCancellations = append(check.lateCancellations, j)
		}
		if len(c.FirstSessionStarts[j.Index]) > 0 {
			check.cancellations = append(check.cancellations, j)
		}
	}
	return check
}

// lastHeard returns when the machine last reported in this term, or else when the term began.
func (c *Component) lastHeard(m *workers.Machine) time.Duration {
	return max(m.LastHeartbeat, c.TermBegan)
}

// evaluate decides whether a machine is decommissioned. The rules apply in this order; the
// first that matches decides.
func (c *Component) evaluate(check failureCheck, m *workers.Machine) verdict {
	if check.leaseValid {
		if v := c.evaluateCancellation(check, m); v.reason != "" {
			return v
		}
		if v, decided := c.evaluateSilence(check, m); decided {
			return v
		}
		if v := c.evaluateDelivery(check.now, m); v.reason != "" {
			return v
		}
	}
	switch {
	case m.PreemptionNotice && check.now > m.PreemptedAt:
		return verdict{cluster.Return, "taken by the cloud"}
	case m.PreemptionNotice && len(m.Tasks) == 0:
		return verdict{cluster.Return, "to be taken by the cloud"}
	case len(m.Orphans) > 0 && check.now-m.OrphansSince > check.overdueStop:
		return verdict{cluster.Delete, "tasks that do not stop"}
	}
	return verdict{}
}

// evaluateSilence decides to delete a machine that was silent for too long or never booted. If
// decided is true with an empty verdict, the machine is waited for and no later rule applies.
func (c *Component) evaluateSilence(check failureCheck, m *workers.Machine) (v verdict, decided bool) {
	now, heard := check.now, c.lastHeard(m)
	overLimit := (m.Up || m.Durable) && now-heard > check.silenceLimit
	switch {
	case !m.Up && m.Durable && now-c.TermBegan <= c.SilenceAllowance():
		return verdict{}, true // its worker may be alive and may still report to this leader
	case overLimit && c.toleratesSilence(now, m):
		return verdict{}, true // its whole zone is silent and is waited for
	case m.Durable && c.probesUnanswered(m, heard):
		return verdict{cluster.Delete, "does not answer"}, true
	case overLimit:
		return verdict{cluster.Delete, "silent"}, true
	case !m.Up && !m.Durable && now-m.RentedAt > c.bootLimit(m):
		return verdict{cluster.Delete, "never came up"}, true
	}
	return verdict{}, false
}

// bootLimit returns how long after its rental a machine may take to send its first report.
func (c *Component) bootLimit(m *workers.Machine) time.Duration {
	return settings.Seconds(c.Cfg.Tunables.BootTimeoutFactor*c.Types[m.Type].BootS) + bootGracePeriod
}

// evaluateDelivery decides to delete a machine to which commands may be delivered too late or not
// at all.
func (c *Component) evaluateDelivery(now time.Duration, m *workers.Machine) verdict {
	if m.Unreachable(now, settings.Seconds(lostLeaseFactor*c.Cfg.Deployment.Workers.LeaseS)) {
		return verdict{cluster.Delete, "does not hear"}
	}
	return verdict{}
}

// evacuate stops tasks of a machine that will be preempted or returned where an early stop
// helps: services, which are replaced elsewhere, and checkpointed tasks shortly before the
// preemption.
func (c *Component) evacuate(now time.Duration, m *workers.Machine) {
	w := c.Cfg.Deployment.Workers
	for _, p := range m.Tasks {
		if p.Planned || p.Stopping {
			continue
		}
		j := c.Jobs.ByIndex(p.Ref.Job)
		switch {
		case j.Record.Kind == jobs.Service && c.mayStopReplica(m, p):
			p.Stopping, p.GraceSeconds = true, j.Record.SaveS // replaced elsewhere once this one is gone
		case m.PreemptionNotice && j.Record.Checkpoint > 0 && p.State == workers.Running:
			saveTime := settings.Seconds(j.Record.SaveS + saveReserveSeconds + saveReserveIntervals*w.ReportS + c.GangNotifySeconds(j))
			if m.PreemptedAt-now < saveTime {
				c.SaveAndStop(now, j, p)
			}
		}
	}
}

// mayStopReplica reports whether a replica on a machine that will be preempted or returned may be stopped.
// One that can be replaced elsewhere only once the machine is deleted continues until nothing else keeps a
// draining machine.
func (c *Component) mayStopReplica(m *workers.Machine, p *workers.Placement) bool {
	if m.PreemptionNotice || !m.MayStartLate(p.Ref) {
		return true
	}
	for _, other := range m.Tasks {
		if c.Jobs.ByIndex(other.Ref.Job).Record.Kind != jobs.Service {
			return false
		}
	}
	return true
}

// probesUnanswered reports whether enough liveness probes of a silent machine went unanswered
// while its zone is reachable. Such a machine is decommissioned earlier than other silent ones.
func (c *Component) probesUnanswered(m *workers.Machine, heard time.Duration) bool {
	limit := c.Cfg.Tunables.MaxUnansweredProbes
	if limit <= 0 || m.UnansweredProbes < limit || m.UnansweredSince < heard {
		return false
	}
	return int(m.Zone) < len(c.zoneReachable) && c.zoneReachable[m.Zone]
}
