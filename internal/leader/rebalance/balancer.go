package rebalance

import (
	"time"

	"bitternmoor/internal/core/ratelimit"
)

// Balancer decides which machines report to another controller from now on. It is pure;
// the time comes in.
//
// A controller's load is its machines divided by its weight. Once one has MaxLoad times the
// mean load it gives machines away, a few a second, until it has hardly more than the mean;
// each goes to the controller with the least load, and only if that has no more after it
// than the giver had before. So the largest load never rises by a move, and moves end. A
// machine that was moved stays for a while, and one that did not arrive where it was sent
// is left alone for longer: it may not reach that controller.
type Balancer struct {
	params     Params
	budget     ratelimit.Bucket
	nodes      []Node
	overloaded map[string]bool // by controller
	moves      map[string]move // by machine
	meanLoad   float64         // 0: no controller is ready
}

// Params of a balance.
type Params struct {
	MaxLoad        float64 // load over the mean that is tolerated
	MovesPerSecond float64
}

// Node is a controller.
type Node struct {
	Name     string
	Machines int
	Weight   float64 // of its share, over 0
	Ready    bool    // reached for a while now: machines may be sent to it
}

// move is the last move of a machine.
type move struct {
	at     time.Duration
	to     string
	failed bool // it did not arrive
}

const (
	balancedLoad   = 1.05             // over the mean: a controller stops giving machines away
	moveCooldown   = time.Minute      // of a machine that was moved
	failedCooldown = 10 * time.Minute // of a machine that did not arrive
	moveRetention  = failedCooldown   // of what is known of a move
	minMachines    = 8                // in all: fewer are not worth a move
)

// NewBalancer makes a balancer.
func NewBalancer(now time.Duration, p Params) *Balancer {
	return &Balancer{
		params:     p,
		budget:     ratelimit.NewBucket(now, p.MovesPerSecond, max(1, p.MovesPerSecond)),
		overloaded: map[string]bool{},
		moves:      map[string]move{},
	}
}

// loadWith is a controller's load with so many machines more.
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
		switch load := n.loadWith(0); {
		case machines < minMachines, b.meanLoad == 0, load <= balancedLoad*b.meanLoad:
			delete(b.overloaded, n.Name)
		case load > b.params.MaxLoad*b.meanLoad:
			b.overloaded[n.Name] = true
		}
	}
	for machine, last := range b.moves {
		if now-last.at > moveRetention {
			delete(b.moves, machine)
		}
	}
}

// IsEven reports whether no controller is overloaded.
func (b *Balancer) IsEven() bool { return len(b.overloaded) == 0 }

// Move says to which controller a machine that has just reported by way of another one
// should go instead; empty: it stays.
func (b *Balancer) Move(now time.Duration, machine, current string) string {
	if b.coolingDown(now, machine, current) || !b.overloaded[current] {
		return ""
	}
	from, to := b.giverAndTaker(current)
	if from == nil || to == nil || to.loadWith(1) > from.loadWith(0) {
		return ""
	}
	if from.loadWith(0) <= balancedLoad*b.meanLoad || !b.budget.Take(now, 1) {
		return ""
	}
	from.Machines--
	to.Machines++
	b.moves[machine] = move{at: now, to: to.Name}
	return to.Name
}

// coolingDown reports whether a machine was moved not long ago, and notes whether it has
// arrived.
func (b *Balancer) coolingDown(now time.Duration, machine, current string) bool {
	last, moved := b.moves[machine]
	if !moved {
		return false
	}
	if last.to != current && !last.failed {
		last.failed = true
		b.moves[machine] = last
	}
	since := now - last.at
	return since < moveCooldown || (last.failed && since < failedCooldown)
}

// giverAndTaker is the controller of that name, and of the others the one with the least
// load that is ready; nil: there is none.
func (b *Balancer) giverAndTaker(giver string) (from, to *Node) {
	for i := range b.nodes {
		n := &b.nodes[i]
		if n.Name == giver {
			from = n
		} else if n.Ready && (to == nil || n.loadWith(1) < to.loadWith(1)) {
			to = n
		}
	}
	return from, to
}
