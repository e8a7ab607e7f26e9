package rebalance

import (
	"time"

	"bitternmoor/internal/core/ratelimit"
)

// Balancer decides which machines report to another controller from now on. It is pure;
// the time comes in.
//
// A controller's load is its machines divided by its weight. Once one has Most times the
// mean load it gives machines away, a few a second, until it has hardly more than the
// mean; each goes to the controller with the least load, and only if that has no more
// after it than the giver had before. So the largest load never rises by a move, and moves
// end. A machine that was moved stays for a while, and one that did not arrive where it
// was sent is left alone for longer: it may not reach that controller.
type Balancer struct {
	params     Params
	budget     ratelimit.Bucket
	nodes      []Node
	overloaded map[string]bool
	moves      map[string]move
	meanLoad   float64
}

// Params of a balance.
type Params struct {
	MaxLoad        float64 // load over the mean that is borne
	MovesPerSecond float64 // moves
}

// Node is a controller.
type Node struct {
	Name     string
	Machines int
	Weight   float64 // of its share, over 0
	Ready    bool    // reached for a while now: machines may be sent to it
}

type move struct {
	at     time.Duration
	to     string
	failed bool
}

const (
	balancedLoad   = 1.05             // a giver stops at so much over the mean
	moveCooldown   = time.Minute      // a machine that was moved
	failedCooldown = 10 * time.Minute // one that did not arrive
	minMachines    = 8                // machines: fewer are not worth a move
	moveRetention  = failedCooldown
)

// NewBalancer begins one.
func NewBalancer(now time.Duration, p Params) *Balancer {
	return &Balancer{params: p, budget: ratelimit.NewBucket(now, p.MovesPerSecond, max(1, p.MovesPerSecond)), overloaded: map[string]bool{}, moves: map[string]move{}}
}

func (n *Node) loadWith(more int) float64 { return float64(n.Machines+more) / n.Weight }

// Observe takes in how the machines are spread now.
func (b *Balancer) Observe(now time.Duration, nodes []Node) {
	b.nodes = nodes
	machines, weight := 0, 0.0
	for _, n := range nodes {
		machines += n.Machines
		if n.Ready {
			weight += n.Weight
		}
	}
	b.meanLoad = 0
	if weight > 0 {
		b.meanLoad = float64(machines) / weight
	}
	for i := range nodes {
		n := &nodes[i]
		switch over := n.loadWith(0); {
		case machines < minMachines, b.meanLoad == 0, over <= balancedLoad*b.meanLoad:
			delete(b.overloaded, n.Name)
		case over > b.params.MaxLoad*b.meanLoad:
			b.overloaded[n.Name] = true
		}
	}
	for m, x := range b.moves {
		if now-x.at > moveRetention {
			delete(b.moves, m)
		}
	}
}

// IsEven says whether nobody has more than is borne.
func (b *Balancer) IsEven() bool { return len(b.overloaded) == 0 }

// Move says where a machine that has just reported by way of its controller should go
// instead; empty: nowhere.
func (b *Balancer) Move(now time.Duration, machine, holder string) string {
	if x, was := b.moves[machine]; was {
		if x.to != holder && !x.failed {
			x.failed = true // it did not arrive
			b.moves[machine] = x
		}
		if now-x.at < moveCooldown || (x.failed && now-x.at < failedCooldown) {
			return ""
		}
	}
	if !b.overloaded[holder] {
		return ""
	}
	var from, to *Node
	for i := range b.nodes {
		n := &b.nodes[i]
		if n.Name == holder {
			from = n
		} else if n.Ready && (to == nil || n.loadWith(1) < to.loadWith(1)) {
			to = n
		}
	}
	if from == nil || to == nil || to.loadWith(1) > from.loadWith(0) || from.loadWith(0) <= balancedLoad*b.meanLoad || !b.budget.Take(now, 1) {
		return ""
	}
	from.Machines--
	to.Machines++
	b.moves[machine] = move{at: now, to: to.Name}
	return to.Name
}
