package scenario

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/term"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// TestScaleDay simulates a fleet of SCALE_DAY machines with waves of jobs, a zone partition during which
// the leader crashes, a state outage, and a crash of all controllers. It logs the controllers' requests,
// the size of the log, and the time and memory of its replay at a takeover. The figures are for
// docs/scale.md; CI skips this test.
func TestScaleDay(t *testing.T) {
	machines, _ := strconv.Atoi(os.Getenv("SCALE_DAY"))
	if machines == 0 {
		t.Skip("only to measure: SCALE_DAY=1300")
	}
	c := baseSettings()
	deployment := &c.Deployment
	deployment.Workers.ReportS, deployment.Workers.LeaseS, deployment.Workers.CancelS = 5, 26.5, 51.5
	deployment.State.WriteRPS, deployment.State.ValueKB, deployment.State.TxnOps = 100, 16, 16
	deployment.Cloud.RPS = 9
	c.Tunables.TakeoversKept = 50
	s := newSim(c, 1, 3, false)
	s.cloud.capacity = machines
	s.loadStats = &loadStats{effects: map[string]int{}, coreTime: map[string]time.Duration{}}
	var poll func()
	poll = func() {
		for i, j := range s.jobs {
			if j.accepted && !j.reportedDone {
				s.poll(j, int(i))
			}
		}
		s.after(5*time.Second, poll)
	}
	s.after(0, poll)
	id := uint64(0)
	submitWave := func(count, tasks int, run time.Duration) {
		for range count {
			id++
			job := &eventlog.Job{ID: id, Class: "class", Team: "team", Priority: 1, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: fmt.Sprint(id % 16), ImageGB: 0.3,
				Spot: true, EstimateS: run.Seconds()}
			j := &userJob{id: id, runTime: run, spec: wire.Submission{ID: id, HasID: true, Job: job}}
			s.jobs[id] = j
			s.submit(j, int(id), func() bool { return true })
		}
	}
	logState := func(what string) {
		log, entries := 0, 0
		for k, it := range s.state.items {
			if _, err := eventlog.SegmentNumber(k); err == nil {
				log++
				list, err := eventlog.Decode(it.value)
				if err != nil {
					t.Fatal(err)
				}
				entries += len(list)
			}
		}
		open, up := 0, 0
		for _, j := range s.jobs {
			if !j.reportedDone {
				open++
			}
		}
		for _, m := range s.cloud.machines {
			if m.up {
				up++
			}
		}
		t.Logf("%6.1f s %-34s machines %4d, open jobs %3d, log %3d segments with %5d entries, %d segments read back for compaction",
			s.now.Seconds(), what, up, open, log, entries, s.state.segmentsRead)
	}
	submitWave(machines/25, 180, 30*time.Second)
	s.run(60 * time.Second)
	logState("full")
	for range 12 {
		submitWave(machines/100, 120, 30*time.Second)
		s.run(5 * time.Second)
	}
	logState("steady")
	for name, m := range s.cloud.machines {
		if m.zone == "b" {
			s.partitions = append(s.partitions, &partition{host: name, holdPackets: true})
		}
	}
	s.run(8 * time.Second)
	if l := s.leader(); l != nil {
		l.crash()
	}
	s.run(30 * time.Second)
	for _, x := range slices.Clone(s.partitions) {
		s.heal(x.host)
	}
	for _, n := range s.nodes {
		if !n.up {
			n.start(false)
		}
	}
	logState("after a zone partition with a crash")
	s.run(30 * time.Second)
	s.state.outage = true
	s.run(10 * time.Second)
	s.state.recover()
	for range 6 {
		submitWave(machines/100, 120, 30*time.Second)
		s.run(5 * time.Second)
	}
	logState("after an outage")
	for _, n := range s.nodes {
		n.crash()
	}
	s.run(8 * time.Second)
	for _, n := range s.nodes {
		n.start(false)
	}
	s.run(60 * time.Second)
	logState("after all controllers crashed")
	s.runUntil(600*time.Second, func() bool {
		for _, j := range s.jobs {
			if !j.reportedDone {
				return false
			}
		}
		return true
	})
	logState("all done")
	s.run(120 * time.Second)
	logState("two minutes later")
	if len(s.check.violations) > 0 {
		t.Errorf("%d violated invariants, the first: %s", len(s.check.violations), s.check.violations[0])
	}
	if l := s.leader(); l != nil {
		raw, _, err := l.core.Show(l.clock(), "takeovers")
		t.Logf("takeovers: %s %v", raw, err)
	}
	var totalCoreTime time.Duration
	for _, k := range slices.Sorted(maps.Keys(s.loadStats.effects)) {
		t.Logf("%-22s %8d, %7.1f a second", k, s.loadStats.effects[k], float64(s.loadStats.effects[k])/s.now.Seconds())
	}
	for _, k := range slices.Sorted(maps.Keys(s.loadStats.coreTime)) {
		totalCoreTime += s.loadStats.coreTime[k]
		t.Logf("real time in the cores, %-20s %8.2f s", k, s.loadStats.coreTime[k].Seconds())
	}
	t.Logf("real time in the cores of three controllers: %.2f s for %.0f s of simulated time", totalCoreTime.Seconds(), s.now.Seconds())
	measureReplay(t, s, c)
}

// measureReplay replays the largest log, as a new leader does, and logs how long that takes and how much
// memory the term then holds.
func measureReplay(t *testing.T, s *sim, c settings.Settings) {
	if s.loadStats.largestLog == nil {
		t.Fatal("no leader has read the log")
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	newTerm := term.New(cluster.TermStart{Cfg: &c, Epoch: 99, Counts: &cluster.Counts{}})
	newTerm.Load(0, 1, *s.loadStats.largestLog)
	took := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("the largest log that was read: %d segments, %d entries; replayed in %.1f ms, %.1f MB held by the term", s.loadStats.largestLog.Last-s.loadStats.largestLog.First+1,
		len(s.loadStats.largestLog.Entries), float64(took.Microseconds())/1000, float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/(1<<20))
	runtime.KeepAlive(newTerm)
}

// loadStats counts the controllers' effects and the real time spent in their cores.
type loadStats struct {
	effects           map[string]int
	coreTime          map[string]time.Duration
	largestLog        *term.LoadedLog // the largest log that a new leader has read
	redirectedReports int             // number of reports that were redirected to another controller
}

// countEffect counts an effect by its type, and redirected reports in addition.
func (stats *loadStats) countEffect(e effects.Effect) {
	if stats != nil {
		if a, ok := e.(effects.ReplyHeartbeat); ok && a.Answer.Status == 421 {
			stats.redirectedReports++
		}
		stats.effects[reflect.TypeOf(e).Name()]++
	}
}

// timeInput runs an input to a core and adds the real time that it takes to coreTime.
func (stats *loadStats) timeInput(what string, f func()) {
	if stats == nil {
		f()
		return
	}
	at := time.Now()
	f()
	stats.coreTime[what] += time.Since(at)
}

// recordLog keeps a log that a new leader has read if it is the largest so far.
func (stats *loadStats) recordLog(log term.LoadedLog) {
	if stats != nil && (stats.largestLog == nil || len(log.Entries) > len(stats.largestLog.Entries)) {
		stats.largestLog = &log
	}
}
