// Package rebalance is the component of a leader's term that spreads reports over
// controllers: after one of them returns, slows down, is cut off or healed, machines go
// from those that have many to those that have few. docs/spread.md has the design and the
// operators' page.
package rebalance

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// Name is that of the component. It writes nothing.
const Name = "spread"

const (
	checkInterval = 500 * time.Millisecond
	readyAfter    = 10 * time.Second // of answers without a gap machines are sent to a controller
	lostAfter     = 3 * time.Second  // without an answer to a heartbeat
	minWeight     = 0.25             // of a slow controller
	smoothing     = 0.2              // of the newest answer's time in the mean
	slowResponse  = 20 * time.Millisecond
)

// peer is what is known of another controller.
type peer struct {
	answeringSince time.Duration // without a gap
	lastAnswerAt   time.Duration
	latency        time.Duration // of its answers, smoothed
}

// Component spreads reports in a term. It is the term's cluster.Rebalancer.
type Component struct {
	cluster.NopComponent
	*cluster.State
	balancer     *Balancer
	peers        map[string]*peer // by controller
	lastCheckAt  time.Duration
	moves        uint64
	unevenSince  time.Duration // since when some controller is overloaded; 0: none is
	lastDuration time.Duration // that it took to even out last
}

// New makes the component of a term.
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

// PeerHeard notes that a controller has answered a heartbeat, after so long.
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

// weight of a controller: one that answers slowly, next to the quickest, gets less.
func (d *Component) weight(p *peer) float64 {
	quickest := p.latency
	for _, other := range d.peers {
		quickest = min(quickest, other.latency)
	}
	ratio := float64(max(quickest, slowResponse)) / float64(max(p.latency, slowResponse))
	return max(minWeight, min(1, ratio))
}

// Tick observes how machines are spread.
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

// nodes are the controllers by name, with the machines that report to each.
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

// machinesByController counts the machines that report.
func (d *Component) machinesByController(now time.Duration) map[string]int {
	count := map[string]int{}
	for _, m := range d.Inventory.All() {
		if m.Shard != "" && m.Up && !m.Deleting && now-m.LastHeartbeat <= d.SuspectAfter() {
			count[m.Shard]++
		}
	}
	return count
}

// RedirectTo says to which controller a machine that has just reported should go; empty:
// it stays. Nothing may be on its way to it.
func (d *Component) RedirectTo(now time.Duration, m *workers.Machine) string {
	to := d.balancer.Move(now, m.Name, m.Shard)
	if to != "" {
		d.moves++
	}
	return to
}
