// Package rebalance is the component of a leader's term that balances the machines' heartbeats
// across controllers: after a controller returns, slows down, is partitioned or rejoins,
// machines move from controllers with a high load to those with a low one. docs/spread.md has
// the design and the operators' page.
package rebalance

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// Name is the key of the component. It writes no log entries.
const Name = "spread"

const (
	checkInterval = 500 * time.Millisecond
	readyAfter    = 10 * time.Second      // time of uninterrupted answers before machines are sent to a controller
	lostAfter     = 3 * time.Second       // time without an answer before a controller counts as lost
	minWeight     = 0.25                  // lowest weight, however slow a controller is
	smoothing     = 0.2                   // weight of the newest latency in the moving average
	latencyFloor  = 20 * time.Millisecond // latencies below it count as equal
)

// peer holds what this leader has observed of another controller.
type peer struct {
	answeringSince time.Duration // start of the uninterrupted answers
	lastAnswerAt   time.Duration
	latency        time.Duration // moving average of its answer times
}

// Component balances heartbeats in a term. It is the term's cluster.Rebalancer.
type Component struct {
	cluster.NopComponent
	*cluster.State
	balancer     *Balancer
	peers        map[string]*peer // by node name
	lastCheckAt  time.Duration
	moves        uint64
	unevenSince  time.Duration // since when a controller has been overloaded; 0: none is
	lastDuration time.Duration // how long the last imbalance lasted
}

// New creates the component for a term and sets it as the Rebalancer.
func New(s *cluster.State) *Component {
	t := &s.Cfg.Tunables
	d := &Component{
		State:    s,
		balancer: NewBalancer(s.TermBegan, Params{MaxLoad: t.RebalanceMaxLoad, MovesPerSecond: t.RebalanceMoves}),
		peers:    map[string]*peer{},
	}
	s.Rebalancer = d
	return d
}

// PeerHeard records that a controller has answered a heartbeat, and with what latency.
func (d *Component) PeerHeard(now time.Duration, name string, latency time.Duration) {
	p := d.peers[name]
	if p == nil {
		p = &peer{answeringSince: now, latency: latency}
		d.peers[name] = p
	}
	if now-p.lastAnswerAt > lostAfter {
		p.answeringSince = now
	}
	p.lastAnswerAt = now
	p.latency += time.Duration(smoothing * float64(latency-p.latency))
}

// weight returns the weight of a controller: the slower it is than the fastest one, the lower.
func (d *Component) weight(p *peer) float64 {
	quickest := p.latency
	for _, other := range d.peers {
		quickest = min(quickest, other.latency)
	}
	ratio := float64(max(quickest, latencyFloor)) / float64(max(p.latency, latencyFloor))
	return max(minWeight, min(1, ratio))
}

// Tick passes the current distribution of machines to the balancer, and logs when it is even again.
func (d *Component) Tick(now time.Duration, _ bool) {
	if now-d.lastCheckAt < checkInterval {
		return
	}
	d.lastCheckAt = now
	d.balancer.Observe(now, d.nodes(now))
	switch even := d.balancer.IsEven(); {
	case !even && d.unevenSince == 0:
		d.unevenSince = now
	case even && d.unevenSince > 0:
		d.lastDuration, d.unevenSince = now-d.unevenSince, 0
		d.LogMessage(effects.Info, "heartbeats balanced again",
			"after", d.lastDuration.Round(100*time.Millisecond).String(), "moves", d.moves)
	}
}

// nodes returns the controllers sorted by name, with the number of machines that report to each.
func (d *Component) nodes(now time.Duration) []Node {
	machines := d.machinesByController(now)
	self := d.Cfg.Node
	nodes := []Node{{Name: self, Machines: machines[self], Weight: d.Cfg.Tunables.RebalanceLeaderWeight, Ready: true}}
	for _, c := range d.Cfg.Peers {
		n := Node{Name: c.Node, Machines: machines[c.Node], Weight: 1}
		if p := d.peers[c.Node]; p != nil {
			n.Weight = d.weight(p)
			n.Ready = now-p.lastAnswerAt <= lostAfter && now-p.answeringSince >= readyAfter
		}
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return nodes
}

// machinesByController counts the machines that currently report to each controller.
func (d *Component) machinesByController(now time.Duration) map[string]int {
	count := map[string]int{}
	for _, m := range d.Inventory.All() {
		if m.Shard != "" && m.Up && !m.Deleting && now-m.LastHeartbeat <= d.SuspectAfter() {
			count[m.Shard]++
		}
	}
	return count
}

// RedirectTo returns the controller to which a machine that has just reported should move; empty:
// it stays. The caller ensures that no command is in transit to the machine.
func (d *Component) RedirectTo(now time.Duration, m *workers.Machine) string {
	to := d.balancer.Move(now, m.Name, m.Shard)
	if to != "" {
		d.moves++
	}
	return to
}
