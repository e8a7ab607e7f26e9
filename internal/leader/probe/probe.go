// Package probe is the duty that asks silent machines directly whether they live. An
// answer shows that a machine lives; none proves nothing. But a machine that says nothing
// by itself, nor when it is asked, while its zone is heard well, is more likely dead than
// not, and is given up earlier where work waits that should start within a report interval:
// what proves that nothing runs there is still the answer to its deletion.
package probe

import (
	"time"

	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

const (
	probeInterval  = 250 * time.Millisecond
	maxInFlight    = 16 // calls under way
	heartbeatGrace = 500 * time.Millisecond
)

// Component asks silent machines in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	inFlight  map[string]time.Duration // calls under way, by machine: when it was last heard before
	lastRunAt time.Duration
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	return &Component{State: s, inFlight: map[string]time.Duration{}}
}

// Tick asks machines that have been silent for longer than between two reports.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if !leaseValid || now-d.lastRunAt < probeInterval {
		return
	}
	d.lastRunAt = now
	from := settings.Seconds(1.25*d.Cfg.Deployment.Workers.ReportS) + heartbeatGrace
	for _, m := range d.Inventory.All() {
		heard := max(m.LastHeartbeat, d.TermBegan)
		if len(d.inFlight) >= maxInFlight {
			return
		}
		if _, under := d.inFlight[m.Name]; under || !m.Durable || m.Deleting || m.Address == "" || now-heard <= from {
			continue
		}
		if m.UnansweredAt < heard {
			m.Unanswered, m.UnansweredAt = 0, heard
		}
		if m.Unanswered < d.Cfg.Tunables.AskSilent {
			d.inFlight[m.Name] = heard
			d.Emit(effects.ProbeWorker{Machine: m.Name, Address: m.Address})
		}
	}
}

// WorkerProbed takes whether a machine answered.
func (d *Component) WorkerProbed(machine string, ok bool) {
	m := d.Inventory.Find(machine)
	heard, under := d.inFlight[machine]
	delete(d.inFlight, machine)
	if m == nil || !under || max(m.LastHeartbeat, d.TermBegan) != heard {
		return // deleted, or heard meanwhile
	}
	if m.Unanswered++; ok {
		m.Unanswered = -extraProbesAfterAnswer
	}
}

// lives is how many more times a machine is asked that has answered.
const extraProbesAfterAnswer = 4
