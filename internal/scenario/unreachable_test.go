package scenario

import (
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
)

// TestReplayedReportsAtTakeover replays old reports to every controller just as a new leader's term starts,
// and again after it has acted, also after a crash of all controllers. The reports come from earlier
// sessions, attempts and incarnations, and from machines that were deleted since.
func TestReplayedReportsAtTakeover(t *testing.T) {
	runSeeds(t, 24, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams[0].CPUsMax = 30
			if seed%2 == 1 {
				c.Tunables.ColdStartCensus, c.Tunables.DecommissionUnlisted = 1, 1
			}
		})
		for i := range 14 {
			h.submitJobAfter(time.Duration(i)*2500*time.Millisecond, time.Duration(4+h.random.IntN(20))*time.Second, eventlog.Job{
				Tasks: 1 + h.random.IntN(6), Kind: uint8(i % 5 / 4), Priority: 1, Spot: true,
				OneZone: i%4 == 0,
			})
		}
		for _, id := range []uint64{3, 7, 11} {
			h.after(time.Duration(10+3*id)*time.Second, func() { h.cancelJob(h.jobs[id], int(id)) })
		}
		h.pollAll(time.Second)
		h.run(8 * time.Second)
		for range 4 {
			h.replayShare = 0.5
			for i, w := range h.machines() { // while copies of their reports wait, some start a new session, some restart empty, some crash
				switch {
				case i > 4:
				case i%4 == 0:
					h.injectMachineFault("inbound loss", []*worker{w}, 14*time.Second)
				case i%4 == 1:
					w.restartEmpty()
				case i%4 == 2:
					w.terminate()
				}
			}
			h.run(time.Duration(2+h.random.IntN(14)) * time.Second)
			h.replayShare = 0
			if seed%3 == 0 {
				for _, n := range h.nodes {
					n.crash()
					h.faults.restartAfter(n, 8*time.Second)
				}
			} else {
				h.restartLeader(8 * time.Second)
			}
			h.run(9 * time.Second)
		}
		h.run(20 * time.Second)
		return h.endFaultsAndSettle(5 * time.Minute)
	}, "replayed report reached the next leader", "replayed report of a deleted machine", "replayed report of an earlier session")
}

// TestReportsLost drops the reports of machines for up to and beyond a lease, while direct commands and
// probes still reach them and their sessions advance unreported. Their tasks must start elsewhere in time,
// cancelled ones must be gone in time, and an answered probe must not count as a renewed lease.
func TestReportsLost(t *testing.T) {
	runSeeds(t, 32, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams[0].CPUsMax = 20
			c.Tunables.MaxUnansweredProbes, c.Tunables.MaxPushDispatches, c.Tunables.ReadyWindowS = int(seed%2)*2, 8, 600
			c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS = 4, 18
			c.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 0.5}}
		})
		var submitted []*userJob
		for i := range 5 {
			submitted = append(submitted, h.submitJob(150*time.Second, eventlog.Job{Tasks: 3, Kind: uint8(i / 4), Priority: 1, Spot: true, OneZone: i == 2}))
		}
		h.pollAll(time.Second)
		for _, j := range submitted {
			h.awaitRunning(j, 3)
		}
		duration := time.Duration(6+6*(seed/2%8)) * time.Second
		affected := h.machinesWithTasks(submitted[0])
		before := h.check.starts
		h.injectMachineFault("outbound loss", affected, duration)
		for i := range 6 { // some of their starts are sent directly to those machines
			h.after(time.Duration(h.random.IntN(9000))*time.Millisecond, func() { h.submitJob(20*time.Second, eventlog.Job{Tasks: 1 + i%2, Priority: 2, Spot: true}) })
		}
		h.after(2*time.Second, func() { h.cancelJob(submitted[1], 0) })
		if seed%4 > 1 {
			h.after(time.Duration(1+h.random.IntN(12))*time.Second, func() { h.restartLeader(8 * time.Second) })
		}
		if seed%4 < 2 && duration > 35*time.Second { // long enough for the silence limit, the deletion and a boot during the fault
			h.run(35 * time.Second)
			if n := h.runningTasks(1); n != 3 || len(h.machinesWithTasks(submitted[0])) == 0 || h.reportsLost[h.machinesWithTasks(submitted[0])[0].name] {
				t.Errorf("35 s after the reports of its machines were lost, %d of 3 tasks of a job run, or they run there", n)
			}
			if !submitted[1].reportedCancelled {
				t.Errorf("35 s after the reports of its machines were lost, a cancelled job is %s", submitted[1].state)
			}
			h.cover("started elsewhere while its machines' reports were lost")
			duration -= 35 * time.Second
		}
		h.run(duration + 2*time.Second)
		for _, w := range affected {
			if w.session > 1 {
				h.cover("a session advanced unreported")
			}
		}
		if h.check.starts > before {
			h.cover("tasks started after reports of machines were lost")
		}
		// Allow for the silence limit, the deletion, a boot and, after a leader crash, the takeover.
		if !h.runUntil(45*time.Second, func() bool { return h.runningTasks(1) == 3 }) {
			t.Errorf("%d of 3 tasks of a job run; the reports of its machines were lost for %v", h.runningTasks(1), duration)
		}
		if !h.runUntil(time.Minute, func() bool { return submitted[1].reportedCancelled }) {
			t.Errorf("a cancelled job is %s", submitted[1].state)
		}
		return h.endFaultsAndSettle(5 * time.Minute)
	},
		"report of a machine lost in a one-way partition",
		"direct command reached a machine whose reports are lost",
		"a session advanced unreported",
		"started elsewhere while its machines' reports were lost",
		"tasks started after reports of machines were lost")
}

// TestLongFaults checks recovery from long faults: all controllers are down for longer than a lease, a zone
// with workers and a controller is partitioned for longer than a lease, or leaders crash ten times in two
// minutes, also during a state outage. Afterwards all jobs are served and none is left waiting.
func TestLongFaults(t *testing.T) {
	faults := []string{
		"all controllers down",
		"a zone partitioned",
		"a zone partitioned with the leader",
		"ten leader crashes",
		"ten leader crashes in an outage",
	}
	runSeeds(t, 8*len(faults), func(t *testing.T, seed uint64) *sim {
		fault := faults[int(seed)%len(faults)]
		variant := int(seed) / len(faults)
		h := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams[0].CPUsMax = 28
			if variant%2 == 1 {
				c.Tunables.ColdStartCensus, c.Tunables.DecommissionUnlisted = 1, 1
			}
			if variant%4 > 1 {
				c.Tunables.ZonePatienceS = 40
			}
		})
		for i := range 10 {
			h.submitJobAfter(time.Duration(i)*900*time.Millisecond, time.Duration(15+h.random.IntN(60))*time.Second, eventlog.Job{
				Tasks: 2 + i%4, Kind: uint8(i % 4 / 3), Priority: uint8(i % 3), Spot: true, OneZone: i%4 == 1,
				Spread: i%4 == 2,
			})
		}
		h.pollAll(time.Second)
		h.run(25 * time.Second)
		downtime := time.Duration(12+6*variant) * time.Second // a lease is 10 s
		h.after(downtime/2, func() { h.cancelJob(h.jobs[2], variant) })
		switch fault {
		case "all controllers down":
			for i, n := range h.nodes {
				n.crash()
				h.faults.restartAfter(n, downtime+time.Duration(i)*300*time.Millisecond)
			}
			h.run(downtime + time.Second)
		case "a zone partitioned", "a zone partitioned with the leader":
			leader := h.awaitLeader()
			n := leader
			if fault == "a zone partitioned" {
				n = h.nodes[(leader.index+1)%3]
			}
			h.partitionZone("b", n.name, downtime, variant%2 == 0)
			h.run(downtime + time.Second)
		default:
			for i := range 10 {
				h.after(time.Duration(12*i)*time.Second+time.Duration(h.random.IntN(4000))*time.Millisecond, func() { h.restartLeader(5 * time.Second) })
			}
			if fault == "ten leader crashes in an outage" {
				h.after(20*time.Second, func() { h.state.outage = true })
				h.after(20*time.Second+downtime, h.state.recover)
			}
			epoch := h.awaitLeader().core.Epoch()
			h.run(125 * time.Second)
			if now := h.awaitLeader().core.Epoch(); now >= epoch+6 {
				h.cover("leaders changed repeatedly")
			}
		}
		expired := 0
		for _, w := range h.machines() {
			if w.session > 1 {
				expired++
			}
		}
		if expired > 0 {
			h.cover(fault + ": leases expired")
		}
		h.cover(fault)
		if !h.runUntil(30*time.Second, func() bool { return h.leader() != nil && h.leader().core.Status(h.leader().clock()).Sure }) {
			t.Error("no leader after the fault")
		}
		return h.endFaultsAndSettle(5 * time.Minute)
	},
		"all controllers down",
		"a zone partitioned",
		"a zone partitioned with the leader",
		"ten leader crashes",
		"ten leader crashes in an outage",
		"leaders changed repeatedly",
		"all controllers down: leases expired")
}

// TestCancelWhileLeaderRefused guards against tasks that outlive a confirmed cancellation. Jobs are cancelled
// through the old leader and the other controllers when the state service starts to refuse only the
// leader or up to a second later. After 1 s or 12 s a state outage begins that lasts beyond the
// cancellation deadline.
func TestCancelWhileLeaderRefused(t *testing.T) {
	faults := []string{"healthy", "inbound loss", "hung", "outbound loss", "partitioned"}
	delays := []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond, time.Second}
	requiredCoverage := []string{"confirmed before the outage", "confirmed after it"}
	for _, delay := range delays {
		requiredCoverage = append(requiredCoverage, fmt.Sprintf("cancelled %v after the refusal", delay))
	}
	runSeeds(t, 2*len(faults)*len(delays), func(t *testing.T, seed uint64) *sim {
		fault, delay := faults[int(seed)%len(faults)], delays[int(seed)/len(faults)%len(delays)]
		h := newHarness(t, seed, nil)
		var cancelled []*userJob
		for i, kind := range []uint8{jobs.Array, jobs.Gang, jobs.Service, jobs.Array} {
			cancelled = append(cancelled, h.submitJob(200*time.Second, eventlog.Job{Tasks: 2 + i, Kind: kind, Priority: 1, Spot: true}))
		}
		uncancelled := h.submitJob(150*time.Second, eventlog.Job{Tasks: 4, Priority: 1, Spot: true})
		h.pollAll(time.Second)
		for _, j := range append(cancelled, uncancelled) {
			h.awaitRunning(j, j.spec.Job.Tasks)
		}
		oldLeader := h.awaitLeader()
		h.state.refused[oldLeader.name] = true
		if fault != "healthy" {
			h.injectMachineFault(fault, h.machinesWithTasks(cancelled[0])[:1], 50*time.Second)
		}
		for i, j := range cancelled {
			h.after(delay, func() { h.cancelJob(j, oldLeader.index+i+int(seed)) })
		}
		h.after(delay, func() { h.cover(fmt.Sprintf("cancelled %v after the refusal", delay)) })
		// After 12 s another controller leads and has confirmed the cancellations that it could.
		outageAt := []time.Duration{time.Second, 12 * time.Second}[int(seed)/len(faults)/len(delays)]
		h.after(outageAt, func() {
			h.state.outage = true
			for _, j := range cancelled {
				if j.reportedCancelled {
					h.cover("confirmed before the outage")
				}
			}
		})
		h.run(outageAt + time.Duration(35+5*(seed%4))*time.Second) // longer than the cancellation deadline
		confirmed := 0
		for _, j := range cancelled {
			if j.reportedCancelled {
				confirmed++
			}
		}
		h.state.recover()
		h.state.refused = map[string]bool{}
		if !h.runUntil(90*time.Second, func() bool {
			for _, j := range cancelled {
				if !j.reportedCancelled {
					return false
				}
			}
			return true
		}) {
			t.Error("not all cancellations completed")
		}
		if confirmed < len(cancelled) {
			h.cover("confirmed after it")
		}
		return h.endFaultsAndSettle(8 * time.Minute)
	}, requiredCoverage...)
}
