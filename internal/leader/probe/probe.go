// Package probe is the component of a leader's term that sends liveness probes to silent
// machines. An answer shows that a machine lives; none proves nothing. But a machine that is
// silent by itself and to probes, while its zone is reachable, is more likely dead than not,
// and is given up earlier where work waits that should start within a heartbeat interval:
// what proves that nothing runs there is still the answer to its deletion.
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

	// A machine is probed once its heartbeat is late by a quarter of the interval and this
	// much more.
	lateHeartbeatFactor = 1.25
	heartbeatGrace      = 500 * time.Millisecond

	// extraProbesAfterAnswer is how many more times a machine is probed that has answered.
	extraProbesAfterAnswer = 4
)

// Component probes silent machines in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	inFlight  map[string]time.Duration // probes in flight, by machine: when it was last heard before
	lastRunAt time.Duration
}

// New makes the component of a term.
func New(s *cluster.State) *Component {
	return &Component{State: s, inFlight: map[string]time.Duration{}}
}

// Tick probes machines that have been silent for longer than between two heartbeats.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if !leaseValid || now-d.lastRunAt < probeInterval {
		return
	}
	d.lastRunAt = now
	lateAfter := settings.Seconds(lateHeartbeatFactor*d.Cfg.Deployment.Workers.ReportS) + heartbeatGrace
	for _, m := range d.Inventory.All() {
		if len(d.inFlight) >= maxInFlight {
			return
		}
		if d.mayProbe(m) && now-d.lastHeard(m) > lateAfter {
			d.probe(m)
		}
	}
}

// lastHeard is when the machine was last heard in this term, or the term's beginning.
func (d *Component) lastHeard(m *workers.Machine) time.Duration {
	return max(m.LastHeartbeat, d.TermBegan)
}

// mayProbe says whether a machine can be probed: it is registered and not given up, and no
// probe of it is in flight.
func (d *Component) mayProbe(m *workers.Machine) bool {
	_, inFlight := d.inFlight[m.Name]
	return !inFlight && m.Durable && !m.Deleting && m.Address != ""
}

// probe sends a probe unless enough went unanswered since the machine was last heard.
func (d *Component) probe(m *workers.Machine) {
	heard := d.lastHeard(m)
	if m.UnansweredSince < heard {
		m.UnansweredProbes, m.UnansweredSince = 0, heard
	}
	if m.UnansweredProbes < d.Cfg.Tunables.ProbeSilent {
		d.inFlight[m.Name] = heard
		d.Emit(effects.ProbeWorker{Machine: m.Name, Address: m.Address})
	}
}

// WorkerProbed applies whether a machine answered a probe.
func (d *Component) WorkerProbed(machine string, answered bool) {
	m := d.Inventory.Find(machine)
	heard, inFlight := d.inFlight[machine]
	delete(d.inFlight, machine)
	if m == nil || !inFlight || d.lastHeard(m) != heard {
		return // deleted, or heard meanwhile
	}
	m.UnansweredProbes++
	if answered {
		m.UnansweredProbes = -extraProbesAfterAnswer
	}
}
