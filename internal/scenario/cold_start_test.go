package scenario

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// unnecessaryKind is a kind of command that a leader with complete information would not have issued.
type unnecessaryKind uint8

const (
	startedCompleted unnecessaryKind = iota // a completed task was started again
	resultsLost                             // not a command: results that no controller had received were lost with their machine or session
	deletedBusy                             // a machine was deleted that ran tasks, was reachable and had not been reclaimed by the cloud
	rentedUnused                            // a machine booted and was deleted without ever having run a task
	stoppedRunning                          // a running task was stopped although its user had not cancelled its job
)

func (c *checker) countUnnecessary(k unnecessaryKind) {
	if c.unnecessary == nil {
		c.unnecessary = map[unnecessaryKind]int{}
	}
	c.unnecessary[k]++
}

// reachable reports whether a machine is up, not hung, connected and without a reclaim notice, and its
// last hang or partition ended more than 20 seconds ago.
func (s *sim) reachable(w *worker) bool {
	return w.up && !w.hung && w.reclaimAt == 0 && s.partitionBetween(w.name, "cloud") == nil && s.now-w.healthySince > 20*time.Second
}

// machineDeleted counts a deletion as unnecessary if the machine was reachable and had tasks of jobs that
// are not being cancelled, or if it was up and had never been used.
func (c *checker) machineDeleted(w *worker) {
	busy := false
	for t := range w.tasks {
		busy = busy || !c.sim.jobs[t.job].cancelRequested
	}
	if busy && c.sim.reachable(w) {
		c.countUnnecessary(deletedBusy)
	}
	if w.up && !w.everUsed {
		c.countUnnecessary(rentedUnused)
	}
}

// coldSettings returns settings with two teams and, if enabled, with the cold start features.
func coldSettings(enabled bool) settings.Settings {
	c := baseSettings()
	c.Deployment.Teams = []settings.Team{{Name: "team", CPUs: 40, CPUsMax: 160}, {Name: "other", CPUs: 40, CPUsMax: 120}}
	c.Deployment.State.WriteRPS = 40
	if enabled {
		c.Tunables.ColdStartCensus, c.Tunables.ColdRecordsKept, c.Tunables.DecommissionUnlisted, c.Tunables.AdaptCalls = 1, 5, 1, 1
	}
	return c
}

// simulateColdStart simulates a cold start: all controllers go down at once and return one by one, while
// a share of the machines crashes, hangs, is partitioned or is reclaimed by the cloud. The cold start
// features are in use if enabled is true.
func simulateColdStart(t *testing.T, seed uint64, machines int, enabled bool) *sim {
	r := rand.New(rand.NewPCG(seed, 22))
	s := newSim(coldSettings(enabled), seed, 3, false)
	s.cloud.capacity = machines
	s.latency = map[string]time.Duration{}
	var log []string
	logFault := func(f string, a ...any) {
		log = append(log, fmt.Sprintf("%v ", s.now.Round(time.Millisecond))+fmt.Sprintf(f, a...))
	}
	id := uint64(0)
	submit := func(at time.Duration) {
		id++
		i := id
		run := time.Duration(4000+r.IntN(30000)) * time.Millisecond
		job := &eventlog.Job{ID: i, Class: []string{"quick", "usual", "long"}[i%3], Team: []string{"team", "other"}[i%2], Priority: []uint8{2, 1, 0}[i%3], Tasks: 1 + r.IntN(machines*3/4), CPUs: 1, MemoryGB: 1,
			Image: fmt.Sprint(r.IntN(6)), ImageGB: 0.3, Spot: r.IntN(5) > 0, EstimateS: run.Seconds(), Checkpoint: float64(r.IntN(2) * 5), SaveS: 1}
		if r.IntN(10) == 0 {
			job.Kind, job.Tasks = jobs.Gang, 1+r.IntN(12)
		}
		j := &userJob{id: i, runTime: run, spec: wire.Submission{ID: i, HasID: true, Job: job}}
		s.after(at, func() {
			s.jobs[i] = j
			s.submit(j, r.IntN(3), func() bool { return s.now < at+60*time.Second })
		})
		if r.IntN(9) == 0 {
			s.after(at+time.Duration(r.IntN(50))*time.Second, func() {
				if j.accepted {
					s.cancel(j, r.IntN(3))
				}
			})
		}
	}
	for range 14 {
		submit(time.Duration(r.IntN(35000)) * time.Millisecond)
	}
	lease := settingsSeconds(s.cfg.Deployment.Workers.LeaseS)
	downtime := []time.Duration{2 * time.Second, 8 * time.Second, lease - time.Second, lease + 1500*time.Millisecond, time.Minute}[r.IntN(5)]
	switch seed % 40 {
	case 19:
		downtime = 5 * time.Minute
	case 39:
		downtime = time.Hour
	}
	crashAt := 45*time.Second + time.Duration(r.IntN(5000))*time.Millisecond
	for range 8 {
		submit(crashAt + time.Duration(r.IntN(60000))*time.Millisecond)
	}
	oldFirst, isolateOne := seed%6 == 1, seed%7 == 3
	s.after(crashAt, func() {
		isolated := r.IntN(3) // with isolateOne, this controller stays up and reaches only its workers
		for i, n := range s.nodes {
			if !isolateOne || i != isolated {
				n.crash()
				continue
			}
			s.partitions = append(s.partitions, &partition{host: n.name, peer: "state"}, &partition{host: n.name, peer: "cloud"}, &partition{host: n.name, peer: "users"})
			for _, o := range s.nodes {
				if o != n {
					s.partitions = append(s.partitions, &partition{host: n.name, peer: o.name})
				}
			}
			s.after(downtime+12*time.Second, func() { s.heal(n.name) })
			logFault("%s is partitioned from all but its workers", n.name)
		}
		logFault("all controllers are down for %v", downtime)
		names := make([]string, 0, len(s.cloud.machines))
		for n, w := range s.cloud.machines {
			if w.up {
				names = append(names, n)
			}
		}
		slices.Sort(names)
		r.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		affected := names[:len(names)*[]int{0, 3, 20}[r.IntN(3)]/60]
		for i, n := range affected {
			w := s.cloud.machines[n]
			at, duration := time.Duration(r.Int64N(int64(downtime))), time.Duration(2+r.IntN(25))*time.Second
			fault := (i + int(seed)) % 5
			s.after(at, func() {
				switch fault {
				case 0:
					w.terminate()
				case 1:
					w.hung = true
					s.after(duration, func() { w.hung, w.healthySince = false, s.now })
				case 2:
					s.partitions = append(s.partitions, &partition{host: n, holdPackets: r.IntN(2) == 0})
					s.after(duration, func() { s.heal(n); w.healthySince = s.now })
				case 3: // reclaimed by the cloud
					w.terminate()
					delete(s.cloud.machines, n)
				default: // switches to another controller, so that its reports arrive late
					w.controllerIndex = r.IntN(3)
				}
			})
		}
		logFault("%d of %d machines are affected by faults meanwhile", len(affected), len(names))
	})
	returnAt := crashAt + downtime
	switch r.IntN(5) { // a state service outage that ends before, at or after the controllers' return
	case 0:
		s.after(crashAt, func() { s.state.outage = true })
		s.after(returnAt-time.Second, func() { s.state.recover() })
	case 1:
		s.after(returnAt-time.Second, func() { s.state.outage = true })
		s.after(returnAt+4*time.Second, func() { s.state.recover() })
	case 2:
		s.after(returnAt+2*time.Second, func() { s.state.outage = true })
		s.after(returnAt+14*time.Second, func() { s.state.recover() })
	}
	scheduleReturns := func(from time.Duration) {
		at := from
		first := r.IntN(3) // the one that starts on the old version
		for i, k := range r.Perm(3) {
			n := s.nodes[k]
			s.after(at, func() {
				if n.up {
					return
				}
				n.start(oldFirst && i == first)
				if r.IntN(6) == 0 {
					s.latency[n.name] = 700 * time.Millisecond
					s.after(15*time.Second, func() { delete(s.latency, n.name) })
					logFault("%s is slow", n.name)
				}
				if i > 0 && r.IntN(6) == 0 {
					s.state.refused[n.name] = true
					s.after(12*time.Second, func() { delete(s.state.refused, n.name) })
					logFault("the state service refuses %s", n.name)
				}
			})
			at += time.Duration(r.IntN(9000)) * time.Millisecond
		}
	}
	scheduleReturns(returnAt)
	for crashes := r.IntN(3); crashes > 0; crashes-- { // all crash again before the census has ended
		at := returnAt + time.Duration(r.IntN(9000))*time.Millisecond
		s.after(at, func() {
			for _, n := range s.nodes {
				n.crash()
			}
			logFault("all controllers are down again")
		})
		scheduleReturns(at + 3*time.Second)
	}
	if oldFirst { // finally all run the new version
		s.after(returnAt+40*time.Second, func() {
			for _, n := range s.nodes {
				if n.oldVersion {
					n.crash()
					s.after(2*time.Second, func() { n.start(false) })
				}
			}
		})
	}
	var poll func()
	poll = func() {
		for i := range id {
			if j := s.jobs[i+1]; j != nil && j.accepted && !j.reportedDone && !j.reportedCancelled {
				s.poll(j, int(i))
			}
		}
		s.after(2*time.Second, poll)
	}
	s.after(0, poll)
	s.run(returnAt + 70*time.Second)
	ended := s.runUntil(40*time.Minute, func() bool {
		for _, j := range s.jobs {
			if j.accepted && !j.reportedDone && !j.reportedCancelled {
				return false
			}
		}
		return true
	})
	s.check.checkServedShare(s.now)
	if !ended {
		log = append(log, s.explainUnfinished()...)
	}
	if len(s.check.violations) > 0 || !ended {
		t.Errorf("all jobs ended: %v; violated invariants: %s\n%s", ended, strings.Join(s.check.violations, "\n"), strings.Join(log, "\n"))
	}
	if s.check.starts == 0 {
		t.Error("no task ran")
	}
	// Results lost with their machines are unknown to the leader; no other completed task may be
	// started again.
	if s.check.unnecessary[startedCompleted] > s.check.unnecessary[resultsLost] {
		t.Errorf("%d completed tasks were started again, but only %d results were lost\n%s",
			s.check.unnecessary[startedCompleted], s.check.unnecessary[resultsLost], strings.Join(log, "\n"))
	}
	return s
}

// explainUnfinished describes the jobs that have not ended, with the leader's explanation of each.
func (s *sim) explainUnfinished() (out []string) {
	for id, j := range s.jobs {
		if !j.accepted || j.reportedDone || j.reportedCancelled {
			continue
		}
		out = append(out, fmt.Sprintf("job %d is %s: %+v", id, j.state, *j.spec.Job))
		if l := s.leader(); l != nil {
			if e, ok := l.core.Explain(l.clock(), id); ok {
				out = append(out, e.Words...)
			}
		}
	}
	return out
}

// TestColdDays simulates random cold starts with fifty machines. No task may run twice, no job may be
// lost, and each class and team must be served. Over all runs, unnecessary commands stay within
// bounds: no reachable machine with tasks is deleted, and few machines are rented and never used.
// SCENARIO_DAYS sets the number of runs, COLD_MACHINES the number of machines.
//
// COLD_OFF disables the cold start features, for comparison.
func TestColdDays(t *testing.T) {
	days, machines := 40, 50
	if v, err := strconv.Atoi(os.Getenv("SCENARIO_DAYS")); err == nil {
		days = v
	}
	if v, err := strconv.Atoi(os.Getenv("COLD_MACHINES")); err == nil {
		machines = v
	}
	enabled := os.Getenv("COLD_OFF") == ""
	results := make([]map[unnecessaryKind]int, days)
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(days) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				results[seed] = simulateColdStart(t, seed, machines, enabled).check.unnecessary
			})
		}
	})
	total := map[unnecessaryKind]int{}
	for i, x := range results {
		for k, n := range x {
			total[k] += n
		}
		if enabled && x[deletedBusy] > 0 && i%6 != 1 { // in those runs a leader of the version in production may delete them
			t.Errorf("seed %d: %d reachable machines with tasks were deleted", i, x[deletedBusy])
		}
	}
	t.Logf("%d runs: completed tasks started again %d (results lost %d), busy machines deleted %d, machines rented and not used %d, tasks stopped %d",
		days, total[startedCompleted], total[resultsLost], total[deletedBusy], total[rentedUnused], total[stoppedRunning])
	if enabled && total[rentedUnused] > days*machines/10 {
		t.Errorf("%d machines were rented and not used in %d runs", total[rentedUnused], days)
	}
}

// countLostResults counts the results that a worker loses before it has reported them.
func (w *worker) countLostResults() {
	for _, x := range w.ended {
		if x.reason == workers.Completed {
			w.sim.check.countUnnecessary(resultsLost)
		}
	}
}

// TestColdScale simulates a cold start with COLD_SCALE machines, with and without the cold start
// features. It logs the number of commands, in all and at most in a second, and how long it takes until
// the tasks run again. The figures are for docs/cold-start.md; CI skips this test.
func TestColdScale(t *testing.T) {
	machines, _ := strconv.Atoi(os.Getenv("COLD_SCALE"))
	if machines == 0 {
		t.Skip("only to measure: COLD_SCALE=1300")
	}
	for _, down := range []time.Duration{8 * time.Second, 40 * time.Second} {
		for _, enabled := range []bool{false, true} {
			measureColdStart(t, machines, down, enabled)
		}
	}
}

// measureColdStart simulates the cold start of one variant of TestColdScale and logs its figures.
func measureColdStart(t *testing.T, machines int, down time.Duration, enabled bool) {
	c := coldSettings(enabled)
	c.Deployment.Teams = []settings.Team{{Name: "team"}}
	deployment := &c.Deployment
	deployment.Workers.ReportS, deployment.Workers.LeaseS, deployment.Workers.CancelS = 5, 26.5, 51.5
	deployment.State.WriteRPS, deployment.State.ValueKB, deployment.State.TxnOps = 100, 16, 16
	deployment.Cloud.RPS = 9
	s := newSim(c, 1, 3, false)
	s.cloud.capacity = machines
	s.loadStats = &loadStats{effects: map[string]int{}, coreTime: map[string]time.Duration{}}
	for i := range uint64(machines / 25) {
		job := &eventlog.Job{
			ID: i + 1, Class: "class", Team: "team", Priority: 1, Tasks: 110, CPUs: 1, MemoryGB: 1,
			Image: fmt.Sprint(i % 16), ImageGB: 0.3, Spot: true, EstimateS: 60,
		}
		j := &userJob{id: i + 1, runTime: 60 * time.Second, spec: wire.Submission{ID: i + 1, HasID: true, Job: job}}
		s.jobs[i+1] = j
		s.after(time.Duration(i%40)*500*time.Millisecond, func() { s.submit(j, int(i), func() bool { return true }) })
	}
	s.run(70 * time.Second)
	for _, n := range s.nodes {
		n.crash()
	}
	running := map[task]bool{}
	for i, n := range slices.Sorted(maps.Keys(s.cloud.machines)) {
		w := s.cloud.machines[n]
		switch i % 30 {
		case 0: // killed
			w.terminate()
		case 1: // reclaimed by the cloud
			w.terminate()
			delete(s.cloud.machines, n)
		case 2: // partitioned for a while
			s.partitions = append(s.partitions, &partition{host: n})
			s.after(down+20*time.Second, func() { s.heal(n) })
		}
	}
	for t := range s.check.placements {
		if !s.check.completedTasks[t] {
			running[t] = true // in progress when the controllers went down
		}
	}
	s.run(down)
	for i, n := range s.nodes {
		s.after(time.Duration(i)*700*time.Millisecond, func() { n.start(false) })
	}
	returnedAt, before := s.now, maps.Clone(s.loadStats.effects)
	starts, deleted, writes := s.check.starts, s.cloud.deletions, s.state.writes
	peak := map[string]int{}
	recoveredAfter := map[int]time.Duration{}
	for s.now < returnedAt+90*time.Second {
		last, lastStarts, lastWrites := maps.Clone(s.loadStats.effects), s.check.starts, s.state.writes
		s.run(time.Second)
		for k, n := range s.loadStats.effects {
			peak[k] = max(peak[k], n-last[k])
		}
		peak["starts"] = max(peak["starts"], s.check.starts-lastStarts)
		peak["changes"] = max(peak["changes"], s.state.writes-lastWrites)
		n := 0
		for t := range running {
			if s.check.completedTasks[t] || len(s.check.placements[t]) > 0 {
				n++
			}
		}
		for _, share := range []int{50, 90, 100} {
			if _, there := recoveredAfter[share]; !there && n*100 >= len(running)*share {
				recoveredAfter[share] = s.now - returnedAt
			}
		}
	}
	var totalCoreTime time.Duration
	for _, x := range s.loadStats.coreTime {
		totalCoreTime += x
	}
	sent := func(k string) int { return s.loadStats.effects[k] - before[k] }
	t.Logf("%d machines, down for %v, features on %v: %d tasks in progress, running again 50 %% %v, 90 %% %v, all %v; starts %d (peak %d), rental requests %d (peak %d), deletions %d machines, %d requests (peak %d), "+
		"writes %d (peak %d), answers to users %d (peak %d); busy machines deleted %d, rented and not used %d, completed tasks started again %d; %.1f s of real time in the cores",
		machines, down, enabled, len(running), recoveredAfter[50], recoveredAfter[90], recoveredAfter[100], s.check.starts-starts, peak["starts"], sent("Rent"), peak["Rent"], s.cloud.deletions-deleted, sent("Delete"), peak["Delete"],
		s.state.writes-writes, peak["changes"], sent("Reply"), peak["Reply"], s.check.unnecessary[deletedBusy], s.check.unnecessary[rentedUnused], s.check.unnecessary[startedCompleted], totalCoreTime.Seconds())
	if len(s.check.violations) > 0 {
		t.Errorf("%d violated invariants, the first: %s", len(s.check.violations), s.check.violations[0])
	}
}
