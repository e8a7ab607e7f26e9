package rebalance

import (
	"time"

	"bitternmoor/internal/core/ratelimit"
)

// Balancer decides which machines should report to another controller from now on. It has no
// side effects; the caller passes the time in.
//
// A controller's load is its number of machines divided by its weight. A controller with more
// than MaxLoad times the mean load gives machines away, a few per second, until its load is at
// most balancedLoad times the mean. Each machine goes to the ready controller whose load would be
// the least after the move, if that does not exceed the source's load before the move. So no move
// raises the largest load, and moves end. A machine that was moved is not moved again during
// moveCooldown, or during failedCooldown if it did not arrive: it may be unable to reach the target.
type Balancer struct {
	params     Params
	budget     ratelimit.Bucket
	nodes      []Node
	overloaded map[string]bool // by controller
	moves      map[string]move // by machine
	meanLoad   float64         // 0: no controller is ready
}

// Params are the parameters of a Balancer.
type Params struct {
	MaxLoad        float64 // largest tolerated load, as a multiple of the mean load
	MovesPerSecond float64
}

// Node is a controller as the balancer sees it.
type Node struct {
	Name     string
	Machines int
	Weight   float64 // relative capacity, above 0
	Ready    bool    // it has been reachable for a while, so machines may be sent to it
}

// move is the last move of a machine.
type move struct {
	at     time.Duration
	to     string
	failed bool // the machine did not arrive at the target
}

const (
	balancedLoad   = 1.05             // multiple of the mean load down to which machines are moved
	moveCooldown   = time.Minute      // time before a machine is moved again
	failedCooldown = 10 * time.Minute // the same for a machine that did not arrive
	moveRetention  = failedCooldown   // how long the last move of a machine is remembered
	minMachines    = 8                // in total: with fewer machines nothing is moved
)

// NewBalancer creates a Balancer.
func NewBalancer(now time.Duration, p Params) *Balancer {
	return &Balancer{
		params:     p,
		budget:     ratelimit.NewBucket(now, p.MovesPerSecond, max(1, p.MovesPerSecond)),
		overloaded: map[string]bool{},
		moves:      map[string]move{},
	}
}

// loadWith returns the controller's load if it had the given number of additional machines.
func (n *Node) loadWith(more int) float64 { return float64(n.Machines+more) / n.Weight }

// Observe updates the current distribution of machines and determines which nodes are overloaded.
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

// Move returns the controller to which a machine that has just reported to the controller
// current should report instead; empty: it stays.
func (b *Balancer) Move(now time.Duration, machine, current string) string {
	if b.coolingDown(now, machine, current) || !b.overloaded[current] {
		return ""
	}
	from, to := b.sourceAndTarget(current)
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

// coolingDown reports whether a machine was moved too recently to be moved again. It also
// records the move as failed if the machine reports to a controller other than its target.
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

// sourceAndTarget returns the controller with the given name and, of the other ready ones, the one
// with the least load after a move; nil: there is none.
func (b *Balancer) sourceAndTarget(source string) (from, to *Node) {
	for i := range b.nodes {
		n := &b.nodes[i]
		if n.Name == source {
			from = n
		} else if n.Ready && (to == nil || n.loadWith(1) < to.loadWith(1)) {
			to = n
		}
	}
	return from, to
}
