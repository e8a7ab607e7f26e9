// Package probe is the component of a leader's term that sends liveness probes to silent
// machines. An answer shows that a machine is alive; a missing answer proves nothing. But a
// machine that sends no heartbeats and answers no probes, while its zone is reachable, is more
// likely dead than not. If some class of jobs should start within a heartbeat interval, such a
// machine is decommissioned earlier than other silent ones. Only the answer to its deletion
// proves that nothing runs there.
package probe

import (
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

const (
	probeInterval = 250 * time.Millisecond
	maxInFlight   = 16

	// A machine is probed once its heartbeat is overdue by a quarter of the interval and
	// heartbeatGrace.
	lateHeartbeatFactor = 1.25
	heartbeatGrace      = 500 * time.Millisecond

	// extraProbesAfterAnswer is the number of additional probes for a machine that has answered
	// one.
	extraProbesAfterAnswer = 4
)

// Component probes the silent machines of a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	inFlight  map[string]time.Duration // probes in flight, by machine: value of lastHeard when each was sent
	lastRunAt time.Duration
}

// New returns the component of a term.
func New(s *cluster.State) *Component {
	return &Component{State: s, inFlight: map[string]time.Duration{}}
}

// Tick probes machines whose heartbeat is overdue.
func (c *Component) Tick(now time.Duration, leaseValid bool) {
	if !leaseValid || now-c.lastRunAt < probeInterval {
		return
	}
	c.lastRunAt = now
	lateAfter := settings.Seconds(lateHeartbeatFactor*c.Cfg.Deployment.Workers.ReportS) + heartbeatGrace
	for _, m := range c.Inventory.All() {
		if len(c.inFlight) >= maxInFlight {
			return
		}
		if c.mayProbe(m) && now-c.lastHeard(m) > lateAfter {
			c.probe(m)
		}
	}
}

// lastHeard returns when the machine last reported in this term, or else when the term began.
func (c *Component) lastHeard(m *workers.Machine) time.Duration {
	return max(m.LastHeartbeat, c.TermBegan)
}

// mayProbe reports whether a machine can be probed: it is registered and not being deleted, its
// address is known, and no probe of it is in flight.
func (c *Component) mayProbe(m *workers.Machine) bool {
	_, inFlight := c.inFlight[m.Name]
	return !inFlight && m.Durable && !m.Deleting && m.Address != ""
}

// probe sends a probe unless enough probes went unanswered since the machine last reported.
func (c *Component) probe(m *workers.Machine) {
	heard := c.lastHeard(m)
	if m.UnansweredSince < heard {
		m.UnansweredProbes, m.UnansweredSince = 0, heard
	}
	if m.UnansweredProbes < c.Cfg.Tunables.MaxUnansweredProbes {
		c.inFlight[m.Name] = heard
		c.Emit(effects.ProbeWorker{Machine: m.Name, Address: m.Address})
	}
}

// WorkerProbed records whether a machine answered a probe.
func (c *Component) WorkerProbed(machine string, answered bool) {
	m := c.Inventory.Find(machine)
	heard, inFlight := c.inFlight[machine]
	delete(c.inFlight, machine)
	if m == nil || !inFlight || c.lastHeard(m) != heard {
		return // deleted, or has reported in the meantime
	}
	m.UnansweredProbes++
	if answered {
		m.UnansweredProbes = -extraProbesAfterAnswer
	}
}
