package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/wire"
)

// TestRebalancing guards against tasks that run twice because their machine moves to another controller.
// With settings far more aggressive than in production, machines are rebalanced all the time, while many
// short tasks are on offer to whole blocks and controllers crash. A machine may move only while no
// command or offer for it is in flight.
func TestRebalancing(t *testing.T) {
	days := 12
	if v, err := strconv.Atoi(os.Getenv("SCENARIO_DAYS")); err == nil {
		days = v
	}
	moves := make([]int, days)
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(days) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				moves[seed] = simulateRebalancing(t, seed)
			})
		}
	})
	sum := 0
	for _, n := range moves {
		sum += n
	}
	t.Logf("%d moves", sum)
	if sum < 20*days {
		t.Errorf("only %d moves in %d runs", sum, days)
	}
}

// simulateRebalancing simulates one run and returns how many reports were redirected to another controller.
func simulateRebalancing(t *testing.T, seed uint64) int {
	r := rand.New(rand.NewPCG(seed, 41))
	c := baseSettings()
	c.Deployment.State.WriteRPS = 60
	c.Tunables.RebalanceMoves, c.Tunables.RebalanceMaxLoad = 30, 1.06
	s := newSim(c, seed, 3, false)
	s.cloud.capacity = 40
	s.loadStats = &loadStats{effects: map[string]int{}, coreTime: map[string]time.Duration{}}
	for i := range uint64(110) {
		id := i + 1
		run := time.Duration(700+r.IntN(3000)) * time.Millisecond
		job := &eventlog.Job{
			ID: id, Class: "class", Team: "team", Priority: uint8(r.IntN(3)), Tasks: 10 + r.IntN(40), CPUs: 1,
			MemoryGB: 1, Image: fmt.Sprint(id % 2), ImageGB: 0.3, Spot: true, EstimateS: 3,
		}
		j := &userJob{id: id, runTime: run, spec: wire.Submission{ID: id, HasID: true, Job: job}}
		s.jobs[id] = j
		s.after(time.Duration(r.IntN(90000))*time.Millisecond, func() { s.submit(j, r.IntN(3), func() bool { return true }) })
	}
	for at := 15 * time.Second; at < 90*time.Second; at += 12 * time.Second {
		n := s.nodes[r.IntN(3)]
		s.after(at, n.crash)
		s.after(at+4*time.Second, func() {
			if !n.up {
				n.start(false)
			}
		})
	}
	var poll func()
	poll = func() {
		for id, j := range s.jobs {
			if j.accepted && !j.reportedDone {
				s.poll(j, int(id))
			}
		}
		s.after(2*time.Second, poll)
	}
	s.after(0, poll)
	s.run(100 * time.Second)
	ended := s.runUntil(400*time.Second, func() bool {
		for _, j := range s.jobs {
			if !j.reportedDone {
				return false
			}
		}
		return true
	})
	if len(s.check.violations) > 0 || !ended {
		t.Errorf("all jobs done: %v, violated invariants: %v", ended, s.check.violations)
	}
	return s.loadStats.redirectedReports
}
