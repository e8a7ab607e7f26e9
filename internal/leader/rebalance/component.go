// Package rebalance is the duty that spreads reports over controllers: after one of them
// returns, slows down, is cut off or healed, machines go from those that have many to
// those that have few. docs/spread.md is its design note and the operators' page.
package rebalance

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// Name is that of the duty. It writes nothing.
const Name = "spread"

const (
	checkInterval = 500 * time.Millisecond
	readyAfter    = 10 * time.Second // without a gap, before machines are sent to a controller
	lostAfter     = 3 * time.Second  // without an answer to a heartbeat
	minWeight     = 0.25             // of a slow controller's weight
	smoothing     = 0.2              // of the newest answer's time in the mean
	slowResponse  = 20 * time.Millisecond
)

type peer struct {
	answeringSince, lastAnswerAt time.Duration // answered from then on, and last
	latency                      time.Duration // smoothed time of its answers
}

// Component spreads reports in a term. It is the term's spreader (cluster.Spreader).
type Component struct {
	cluster.NopComponent
	*cluster.State
	balancer     *Balancer
	peers        map[string]*peer
	lastCheckAt  time.Duration
	moves        uint64
	unevenSince  time.Duration // since when some controller has had too many; 0: none
	lastDuration time.Duration // the last time that it took to even out
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	t := &s.Cfg.Tunables
	d := &Component{State: s, balancer: NewBalancer(s.TermBegan, Params{MaxLoad: t.SpreadMost, MovesPerSecond: t.SpreadMoves}), peers: map[string]*peer{}}
	s.Rebalancer = d
	return d
}

// PeerHeard notes that a controller has answered a heartbeat, after so long.
func (d *Component) PeerHeard(now time.Duration, name string, took time.Duration) {
	p := d.peers[name]
	if p == nil {
		p = &peer{answeringSince: now, latency: took}
		d.peers[name] = p
	}
	if now-p.lastAnswerAt > lostAfter {
		p.answeringSince = now
	}
	p.lastAnswerAt = now
	p.latency += time.Duration(smoothing * float64(took-p.latency))
}

// weight of a controller: one that answers slowly, next to the quickest, gets less.
func (d *Component) weight(p *peer) float64 {
	quickest := p.latency
	for _, o := range d.peers {
		quickest = min(quickest, o.latency)
	}
	return max(minWeight, min(1, float64(max(quickest, slowResponse))/float64(max(p.latency, slowResponse))))
}

// Tick looks how machines are spread.
func (d *Component) Tick(now time.Duration, _ bool) {
	if now-d.lastCheckAt < checkInterval {
		return
	}
	d.lastCheckAt = now
	count := map[string]int{}
	for _, m := range d.Inventory.All() {
		if m.Shard != "" && m.Up && !m.Deleting && now-m.LastHeartbeat <= d.SuspectAfter() {
			count[m.Shard]++
		}
	}
	nodes := []Node{{Name: d.Cfg.Node, Machines: count[d.Cfg.Node], Weight: d.Cfg.Tunables.SpreadLeader, Ready: true}}
	for _, c := range d.Cfg.Peers {
		n := Node{Name: c.Node, Machines: count[c.Node], Weight: 1}
		if p := d.peers[c.Node]; p != nil {
			n.Weight = d.weight(p)
			n.Ready = now-p.lastAnswerAt <= lostAfter && now-p.answeringSince >= readyAfter
		}
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	d.balancer.Observe(now, nodes)
	switch even := d.balancer.IsEven(); {
	case !even && d.unevenSince == 0:
		d.unevenSince = now
	case even && d.unevenSince > 0:
		d.lastDuration, d.unevenSince = now-d.unevenSince, 0
		d.LogMessage(effects.Info, "reports are spread evenly again", "after", d.lastDuration.Round(100*time.Millisecond).String(), "moves", d.moves)
	}
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

// View is what operators see of a controller.
type View struct {
	Node     string  `json:"node"`
	Machines int     `json:"machines"`
	Weight   float64 `json:"weight"`
	Load     float64 `json:"load"` // next to the mean
	Ready    bool    `json:"ready"`
}

// Show gives how reports are spread, as a JSON list of View.
func (d *Component) Show(_ time.Duration, view string) (json.RawMessage, error) {
	if view != "" {
		return nil, cluster.ErrUnknownView
	}
	out := []View{}
	for _, n := range d.balancer.nodes {
		v := View{Node: n.Name, Machines: n.Machines, Weight: n.Weight, Ready: n.Ready}
		if d.balancer.meanLoad > 0 {
			v.Load = n.loadWith(0) / d.balancer.meanLoad
		}
		out = append(out, v)
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("spread: %w", err)
	}
	return raw, nil
}

// Gauges gives each controller's load.
func (d *Component) Gauges(now time.Duration) []cluster.Gauge {
	g := cluster.Gauge{Name: "bitternmoor_report_load", Help: "A controller's machines next to its even share.", Label: "holder", Values: map[string]float64{}}
	for _, n := range d.balancer.nodes {
		if d.balancer.meanLoad > 0 {
			g.Values[n.Name] = n.loadWith(0) / d.balancer.meanLoad
		}
	}
	return []cluster.Gauge{g}
}
