package scenario

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/leader/runtimes"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// TestRandomDays simulates random jobs with overlapping faults. Every invariant must hold, and once the
// faults have ended every job must end. SCENARIO_DAYS sets the number of runs. A case found by a seed is
// added to testdata as a scenario.
func TestRandomDays(t *testing.T) {
	days := 60
	if v, err := strconv.Atoi(os.Getenv("SCENARIO_DAYS")); err == nil {
		days = v
	}
	var injected [numFaultKinds]atomic.Int64
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(days) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				simulateRandomFaults(t, seed, &injected)
			})
		}
	})
	for kind, name := range faultNames {
		t.Logf("%s: %d times", name, injected[kind].Load())
	}
}

// simulateRandomFaults simulates one run of TestRandomDays. The seed also determines which features are in
// use. It counts the injected faults by kind.
func simulateRandomFaults(t *testing.T, seed uint64, injected *[numFaultKinds]atomic.Int64) {
	r := rand.New(rand.NewPCG(seed, 99))
	c := baseSettings()
	c.Deployment.Teams[0].CPUsMax = float64(8 + r.IntN(40))
	if seed%3 == 0 {
		c.Deployment.State.ValueKB = 0.8 // so that the log is compacted all the time
	}
	if seed%2 == 0 {
		kb, ops := 0.7, 4
		c.Deployment.State.Next = &settings.NextLimits{ValueKB: &kb, TxnOps: &ops}
	}
	upgrade := seed%4 < 2
	learnsRunTimes := seed%5 == 3
	began := time.Duration(0)
	if learnsRunTimes {
		c.Tunables.RunTimesKinds, c.Tunables.TakeoversKept = 100, 5
		began = 12*time.Hour - 90*time.Second // the night ends during the run
	}
	rebalances := seed%3 == 1 // machines are rebalanced, zones are partitioned and waited for, shares are guaranteed
	if rebalances {
		c.Tunables.RebalanceMoves, c.Tunables.ZonePatienceS, c.Tunables.ServedFloor, c.Tunables.ServedWindowS = 4, 20, 0.6, 120
		c.Tunables.ColdStartCensus, c.Tunables.DecommissionUnlisted = 1, 1
	}
	if seed%3 == 2 || seed%6 == 1 { // starts are sent directly to workers
		c.Tunables.MaxPushDispatches, c.Tunables.MaxUnansweredProbes = 4, int(seed%2)
		c.Tunables.LapseShare = []float64{0, 0.3, 1, 1}[seed/6%4]
		c.Deployment.Objectives = append(c.Deployment.Objectives, settings.Objective{Kind: settings.ObjectiveWait, Class: "class", WithinS: 0.5})
	}
	usesPools := seed%4 == 1 || seed%4 == 2 // half of these runs start on the version in production
	if usesPools {
		configureRandomPools(&c, r, upgrade)
	}
	changesConfig := !upgrade && seed%5 < 3 // teams and tunables are changed throughout the run
	if changesConfig {
		c.Tunables.ConfigHistory = 3
	}
	count := 3
	if seed%7 == 5 {
		count = 7
	}
	s := newSimAt(began, c, seed, count, upgrade)
	if usesPools {
		s.poolUnits = map[string]int{}
		for i, p := range c.Tunables.Pools {
			s.poolUnits[p.Name] = p.Units
			for n := range 2 {
				units := 2 + r.IntN(p.Units)
				s.after(time.Duration(20+r.IntN(100))*time.Second, func() { s.resize(fmt.Sprint("resize", i, n), p.Name, units) })
			}
			s.after(140*time.Second, func() { s.resize(fmt.Sprint("back", i), p.Name, p.Units) })
		}
	}
	if learnsRunTimes {
		s.state.durableFacts = map[uint64]bool{}
	}
	if changesConfig {
		scheduleConfigChanges(s, seed)
	}
	upgraded := time.Duration(0) // before this time, no feature is used that the old version lacks
	if upgrade {
		for i, n := range s.nodes {
			at := time.Duration(10000+15000*i+r.IntN(12000)) * time.Millisecond
			upgraded = at + 9*time.Second
			s.upgrade(n, at)
		}
	}
	// Downgrade to the version in production for a while and upgrade again, with pools and no other feature
	// that the old version lacks.
	downgrades := usesPools && upgrade && !learnsRunTimes && seed%8 == 1
	if downgrades {
		for i, n := range s.nodes {
			for k, old := range []bool{true, false} {
				at := upgraded + time.Duration(10+35*k+9*i+r.IntN(8))*time.Second
				s.after(at, func() {
					n.crash()
					s.after(8*time.Second, func() {
						n.crash() // it may have restarted after another fault
						n.start(old)
					})
				})
			}
		}
	}
	s.after(upgraded+time.Duration(r.IntN(60))*time.Second, func() { s.state.limitsLowered = true })
	var log []string
	logFault := func(f string, a ...any) {
		log = append(log, fmt.Sprintf("%v ", s.now.Round(time.Millisecond))+fmt.Sprintf(f, a...))
	}
	sometime := func() time.Duration { return time.Duration(r.IntN(120000)) * time.Millisecond }
	for i := range uint64(12 + r.IntN(15)) {
		id := i + 1
		run := time.Duration(2000+r.IntN(25000)) * time.Millisecond
		job := &eventlog.Job{ID: id, Class: "class", Team: "team", Priority: uint8(r.IntN(4)), Tasks: 1 + r.IntN(12), CPUs: float64(1 + r.IntN(2)), MemoryGB: 1,
			Image: fmt.Sprint(r.IntN(3)), ImageGB: 0.3, Spot: r.IntN(4) > 0, EstimateS: run.Seconds(), OneZone: r.IntN(6) == 0, Spread: r.IntN(6) == 0}
		if job.OneZone {
			job.Spread = false
		}
		if r.IntN(4) == 0 {
			job.Kind, job.Tasks, job.CPUs = jobs.Gang, 1+r.IntN(6), 1
		}
		service := count == 7 && r.IntN(4) == 0
		if service {
			job.Kind, job.Spot, job.CPUs = jobs.Service, false, 1
		}
		if usesPools {
			addPoolUnits(r, job)
		}
		j := &userJob{id: id, runTime: run, spec: wire.Submission{ID: id, HasID: true, Job: job}}
		s.jobs[id] = j
		at := sometime()
		follows := r.IntN(5) < 2 && !downgrades
		s.after(at, func() {
			if follows && s.now >= upgraded {
				// The dependencies are accepted jobs in any state.
				for _, f := range rand.New(rand.NewPCG(seed, id)).Perm(int(id))[:min(3, id)] {
					if b := s.jobs[uint64(f)]; b != nil && b != j && b.accepted {
						job.Follows = append(job.Follows, b.id)
					}
				}
			}
			s.submit(j, r.IntN(3), func() bool { return s.now < at+60*time.Second })
		})
		if r.IntN(5) == 0 || service {
			var end func()
			end = func() {
				switch {
				case j.accepted:
					s.cancel(j, r.IntN(3))
				case service: // services run until they are cancelled
					s.after(5*time.Second, end)
				}
			}
			s.after(at+time.Duration(r.IntN(40))*time.Second, end)
		}
		if r.IntN(3) == 0 {
			s.after(at+sometime(), func() {
				if j.accepted {
					s.submit(j, r.IntN(3), func() bool { return false })
				}
			})
		}
	}
	faults := &faultInjector{sim: s, random: r, zonePartitions: rebalances, logf: logFault}
	for range 3 + r.IntN(8) {
		at, duration, nodeIndex := sometime(), time.Duration(1+r.IntN(30))*time.Second, r.IntN(count)
		kinds := [][]faultKind{mildFaults, harshFaults, specialFaults}[r.IntN(3)]
		kind := kinds[r.IntN(len(kinds))]
		s.after(at, func() {
			injected[kind].Add(1)
			faults.inject(kind, duration, nodeIndex)
		})
	}
	var poll func()
	poll = func() {
		for id := range uint64(len(s.jobs)) {
			if j := s.jobs[id+1]; j.accepted {
				s.poll(j, r.IntN(3))
			}
		}
		s.after(2*time.Second, poll)
	}
	s.after(0, poll)
	s.run(160 * time.Second)
	s.check.faultsEndedAt = s.now
	limit := 900 * time.Second
	if usesPools {
		limit = 40 * time.Minute // few units cause long queues
	}
	s.awaitQuiescence(t, limit)
	if t.Failed() {
		t.Log(strings.Join(log, "\n"))
	}
	if s.check.starts == 0 {
		t.Error("no task ran")
	}
	if changesConfig {
		s.checkConfigEverywhere(t)
	}
	if learnsRunTimes {
		checkLearnedRunTimes(t, s)
	}
}

// checkLearnedRunTimes checks that the last leader has counted each durable run-time fact exactly once,
// whichever controllers crashed and when.
func checkLearnedRunTimes(t *testing.T, s *sim) {
	s.run(10 * time.Second)
	if !s.runUntil(30*time.Second, func() bool { return s.leader() != nil }) {
		t.Fatal("no leader at the end")
	}
	leader := s.leader()
	raw, known, err := leader.core.Show(leader.clock(), runtimes.Name)
	if err != nil || !known {
		t.Fatalf("the learned run times are not shown: %v", err)
	}
	var kinds []struct {
		Name     string
		Estimate runtimes.Estimate
	}
	if err := json.Unmarshal(raw, &kinds); err != nil {
		t.Fatal(err)
	}
	counted := 0
	for _, k := range kinds {
		if k.Name == "class///" {
			counted = k.Estimate.Jobs
		}
	}
	if counted != len(s.state.durableFacts) {
		t.Errorf("%d jobs are counted, %d facts were durable", counted, len(s.state.durableFacts))
	}
}
