package rebalance

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// layout is a set of controllers and, for each machine, the index of the one it reports to.
type layout struct {
	nodes        []Node
	controllerOf []int
}

func randomLayout(r *rand.Rand) *layout {
	p := &layout{}
	for i := range 1 + r.IntN(5) {
		p.nodes = append(p.nodes, Node{Name: fmt.Sprint("n", i), Weight: 0.25 + 0.75*r.Float64(), Ready: i == 0 || r.IntN(5) > 0})
	}
	preferred := r.IntN(len(p.nodes))
	for range r.IntN(5000) {
		h := preferred
		if r.IntN(3) == 0 {
			h = r.IntN(len(p.nodes))
		}
		p.controllerOf = append(p.controllerOf, h)
		p.nodes[h].Machines++
	}
	return p
}

func (p *layout) maxLoad() (load float64) {
	for i := range p.nodes {
		load = max(load, p.nodes[i].loadWith(0))
	}
	return load
}

// On random distributions of up to 5,000 machines, no move raises the largest load, no machine
// is moved twice or to a controller that is not ready, and the moves per second stay within the
// limit. With constant weights the moves end, within a time proportional to their number, and leave
// no controller overloaded.
func TestMovesEndWithBalancedLoad(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 6))
		p := randomLayout(r)
		const rate = 20
		b := NewBalancer(0, Params{MaxLoad: 1.25, MovesPerSecond: rate})
		moved := map[int]bool{}
		moves, lastMoveAt := 0, time.Duration(0)
		interval := 5 * time.Second
		end := time.Duration(len(p.controllerOf)/rate+60) * time.Second
		for now := time.Duration(0); now < end; now += 500 * time.Millisecond {
			b.Observe(now, append([]Node(nil), p.nodes...))
			stepMoves := 0
			for m := range p.controllerOf {
				if (now+time.Duration(m)*time.Millisecond)%interval >= 500*time.Millisecond {
					continue // it does not report in this step
				}
				h := p.controllerOf[m]
				to := b.Move(now, fmt.Sprint(m), p.nodes[h].Name)
				if to == "" {
					continue
				}
				before := p.maxLoad()
				var n int
				if _, err := fmt.Sscanf(to, "n%d", &n); err != nil {
					t.Fatalf("seed %d: machine %d is sent to %q: %v", seed, m, to, err)
				}
				if !p.nodes[n].Ready || n == h || moved[m] {
					t.Fatalf("seed %d: machine %d must not move from %d to %s", seed, m, h, to)
				}
				moved[m] = true
				p.controllerOf[m] = n
				p.nodes[h].Machines--
				p.nodes[n].Machines++
				if p.maxLoad() > before {
					t.Fatalf("seed %d: the largest load rose from %v to %v", seed, before, p.maxLoad())
				}
				moves++
				stepMoves++
				lastMoveAt = now
			}
			if stepMoves > rate {
				t.Fatalf("seed %d: %d moves in one step", seed, stepMoves)
			}
		}
		if !b.IsEven() {
			t.Errorf("seed %d: still uneven after %v: %+v", seed, end, p.nodes)
		}
		// In the worst case all machines report at the same time, and the budget holds one second's moves.
		if lastMoveAt > time.Duration(5*moves/rate+20)*time.Second {
			t.Errorf("seed %d: %d moves took too long, the last was after %v", seed, moves, lastMoveAt)
		}
	}
}

// With a controller that alternates between fast and slow every half minute, each machine is
// moved at most once per minute, because of moveCooldown.
func TestMachinesDoNotOscillate(t *testing.T) {
	b := NewBalancer(0, Params{MaxLoad: 1.25, MovesPerSecond: 10})
	p := &layout{nodes: []Node{{Name: "n0", Weight: 1, Ready: true}, {Name: "n1", Weight: 1, Ready: true}}}
	for m := range 400 {
		p.controllerOf = append(p.controllerOf, m%2)
		p.nodes[m%2].Machines++
	}
	moves := 0
	for now := time.Duration(0); now < 20*time.Minute; now += 500 * time.Millisecond {
		p.nodes[1].Weight = []float64{1, 0.25}[int(now/(30*time.Second))%2]
		b.Observe(now, append([]Node(nil), p.nodes...))
		for m := range p.controllerOf {
			if to := b.Move(now, fmt.Sprint(m), p.nodes[p.controllerOf[m]].Name); to != "" {
				p.nodes[p.controllerOf[m]].Machines--
				p.controllerOf[m] = 1 - p.controllerOf[m]
				p.nodes[p.controllerOf[m]].Machines++
				moves++
			}
		}
	}
	if moves > 400*20 || moves == 0 {
		t.Errorf("%d moves of 400 machines in 20 minutes, want between 1 and one per machine and minute", moves)
	}
}

// A machine that does not arrive at its target is not moved again during failedCooldown.
func TestMachineThatDidNotArriveIsLeftAlone(t *testing.T) {
	b := NewBalancer(0, Params{MaxLoad: 1.25, MovesPerSecond: 100})
	sent := map[string]int{}
	for now := time.Duration(0); now < 9*time.Minute; now += time.Second {
		b.Observe(now, []Node{{Name: "a", Machines: 40, Weight: 1, Ready: true}, {Name: "b", Weight: 1, Ready: true}})
		for m := range 40 {
			if b.Move(now, fmt.Sprint(m), "a") != "" {
				sent[fmt.Sprint(m)]++
			}
		}
	}
	for m, n := range sent {
		if n > 1 {
			t.Errorf("machine %s was sent %d times to a controller that it does not reach, want once", m, n)
		}
	}
	if len(sent) == 0 {
		t.Error("no machine was sent")
	}
}

// The leader and a slow controller have a lower weight, a controller that has just come back is
// not ready, and silent machines are not counted.
func TestNodesFollowWeightAndReadiness(t *testing.T) {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Node, cfg.Peers = "a", []settings.Peer{{Node: "b"}, {Node: "c"}}
	cfg.Tunables.RebalanceMoves = 4
	cfg.Deployment.Workers.ReportS = 1
	s := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: 1, Counts: &cluster.Counts{}})
	d := New(s)
	for i := range 30 {
		m := s.Inventory.Add(&workers.Machine{Name: fmt.Sprint(i), Up: true, LastHeartbeat: 30 * time.Second, Shard: "b"})
		if i < 5 {
			m.LastHeartbeat = 0
		}
	}
	for at := time.Duration(0); at <= 30*time.Second; at += time.Second {
		d.PeerHeard(at, "b", 5*time.Millisecond)
		if at > 25*time.Second {
			d.PeerHeard(at, "c", 80*time.Millisecond)
		}
	}
	d.Tick(30*time.Second, true)
	raw, err := d.Show(0, "")
	var list []View
	if err != nil || json.Unmarshal(raw, &list) != nil {
		t.Fatalf("unexpected views %s: %v", raw, err)
	}
	if list[0].Weight != 0.7 || !list[0].Ready || list[1].Weight != 1 || !list[1].Ready || list[1].Machines != 25 || list[2].Weight != 0.25 || list[2].Ready {
		t.Errorf("%+v", list)
	}
	if to := d.RedirectTo(31*time.Second, s.Inventory.Find("7")); to != "a" {
		t.Errorf("machine is redirected to %q, want a", to)
	}
}
