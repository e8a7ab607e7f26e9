package scenario

import (
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
)

// TestOldReportsAtANewLeader replays old reports to every controller just as a new leader's term starts, and
// again after it has acted, also after a crash of all controllers. The reports come from earlier sessions,
// attempts and incarnations, and from machines that were deleted since.
func TestOldReportsAtANewLeader(t *testing.T) {
	runSeeds(t, 24, func(t *testing.T, seed uint64) *sim {
		d := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams[0].CPUsMax = 30
			if seed%2 == 1 {
				c.Tunables.ColdListen, c.Tunables.ListFirst = 1, 1
			}
		})
		for i := range 14 {
			d.submitJobAfter(time.Duration(i)*2500*time.Millisecond, time.Duration(4+d.random.IntN(20))*time.Second, eventlog.Job{Tasks: 1 + d.random.IntN(6), Kind: uint8(i % 5 / 4), Priority: 1, Spot: true, OneZone: i%4 == 0})
		}
		for _, id := range []uint64{3, 7, 11} {
			d.after(time.Duration(10+3*id)*time.Second, func() { d.cancelJob(d.jobs[id], int(id)) })
		}
		d.pollAll(time.Second)
		d.run(8 * time.Second)
		for range 4 {
			d.replayShare = 0.5
			for i, w := range d.machines() { // while copies of their reports wait, some start a new session, some restart empty, some crash
				switch {
				case i > 4:
				case i%4 == 0:
					d.injectMachineFault("inbound loss", []*worker{w}, 14*time.Second)
				case i%4 == 1:
					w.restartEmpty()
				case i%4 == 2:
					w.terminate()
				}
			}
			d.run(time.Duration(2+d.random.IntN(14)) * time.Second)
			d.replayShare = 0
			if seed%3 == 0 {
				for _, n := range d.nodes {
					n.crash()
					d.faults.restartAfter(n, 8*time.Second)
				}
			} else {
				d.restartLeader(8 * time.Second)
			}
			d.run(9 * time.Second)
		}
		d.run(20 * time.Second)
		return d.endFaultsAndSettle(5 * time.Minute)
	}, "replayed report reached the next leader", "replayed report of a deleted machine", "replayed report of an earlier session")
}

// TestMuteMachines drops the reports of machines for up to and beyond a lease, while direct commands and
// probes still reach them and their sessions advance unreported. Their tasks must start elsewhere in time,
// cancelled ones must be gone in time, and an answered probe must not count as a renewed lease.
func TestMuteMachines(t *testing.T) {
	runSeeds(t, 32, func(t *testing.T, seed uint64) *sim {
		d := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams[0].CPUsMax = 20
			c.Tunables.ProbeSilent, c.Tunables.PushDispatches, c.Tunables.ReadyWindowS = int(seed%2)*2, 8, 600
			c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS = 4, 18
			c.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 0.5}}
		})
		var list []*userJob
		for i := range 5 {
			list = append(list, d.submitJob(150*time.Second, eventlog.Job{Tasks: 3, Kind: uint8(i / 4), Priority: 1, Spot: true, OneZone: i == 2}))
		}
		d.pollAll(time.Second)
		for _, j := range list {
			d.awaitRunning(j, 3)
		}
		length := time.Duration(6+6*(seed/2%8)) * time.Second
		on := d.machinesWithTasks(list[0])
		before := d.check.starts
		d.injectMachineFault("outbound loss", on, length)
		for i := range 6 { // some of their starts are sent directly to those machines
			d.after(time.Duration(d.random.IntN(9000))*time.Millisecond, func() { d.submitJob(20*time.Second, eventlog.Job{Tasks: 1 + i%2, Priority: 2, Spot: true}) })
		}
		d.after(2*time.Second, func() { d.cancelJob(list[1], 0) })
		if seed%4 > 1 {
			d.after(time.Duration(1+d.random.IntN(12))*time.Second, func() { d.restartLeader(8 * time.Second) })
		}
		if seed%4 < 2 && length > 35*time.Second { // long enough for the silence limit, the deletion and a boot during the fault
			d.run(35 * time.Second)
			if n := d.runningTasks(1); n != 3 || len(d.machinesWithTasks(list[0])) == 0 || d.reportsLost[d.machinesWithTasks(list[0])[0].name] {
				t.Errorf("35 s after the reports of its machines were lost, %d of 3 tasks of a job run, or they run there", n)
			}
			if !list[1].toldCancelled {
				t.Errorf("35 s after the reports of its machines were lost, a cancelled job is %s", list[1].state)
			}
			d.cover("started elsewhere while its machines' reports were lost")
			length -= 35 * time.Second
		}
		d.run(length + 2*time.Second)
		for _, w := range on {
			if w.session > 1 {
				d.cover("a session advanced unreported")
			}
		}
		if d.check.starts > before {
			d.cover("tasks started after reports of machines were lost")
		}
		// Allow for the silence limit, the deletion, a boot and, after a leader crash, the takeover.
		if !d.runUntil(45*time.Second, func() bool { return d.runningTasks(1) == 3 }) {
			t.Errorf("%d of 3 tasks of a job run; the reports of its machines were lost for %v", d.runningTasks(1), length)
		}
		if !d.runUntil(time.Minute, func() bool { return list[1].toldCancelled }) {
			t.Errorf("a cancelled job is %s", list[1].state)
		}
		return d.endFaultsAndSettle(5 * time.Minute)
	},
		"report of a machine lost in a one-way partition",
		"direct command reached a machine whose reports are lost",
		"a session advanced unreported",
		"started elsewhere while its machines' reports were lost",
		"tasks started after reports of machines were lost")
}

// TestAllAway checks recovery from long faults: all controllers are down for longer than a lease, a zone with
// workers and a controller is partitioned for longer than a lease, or leaders crash ten times in two
// minutes, also during a state outage. Afterwards all jobs are served and none is left waiting.
func TestAllAway(t *testing.T) {
	trials := []string{
		"all controllers down",
		"a zone partitioned",
		"a zone partitioned with the leader",
		"ten leader crashes",
		"ten leader crashes in an outage",
	}
	runSeeds(t, 8*len(trials), func(t *testing.T, seed uint64) *sim {
		trial := trials[int(seed)%len(trials)]
		variant := int(seed) / len(trials)
		d := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams[0].CPUsMax = 28
			if variant%2 == 1 {
				c.Tunables.ColdListen, c.Tunables.ListFirst = 1, 1
			}
			if variant%4 > 1 {
				c.Tunables.ZonePatienceS = 40
			}
		})
		for i := range 10 {
			d.submitJobAfter(time.Duration(i)*900*time.Millisecond, time.Duration(15+d.random.IntN(60))*time.Second, eventlog.Job{Tasks: 2 + i%4, Kind: uint8(i % 4 / 3), Priority: uint8(i % 3), Spot: true, OneZone: i%4 == 1, Spread: i%4 == 2})
		}
		d.pollAll(time.Second)
		d.run(25 * time.Second)
		away := time.Duration(12+6*variant) * time.Second // a lease is 10 s
		d.after(away/2, func() { d.cancelJob(d.jobs[2], variant) })
		switch trial {
		case "all controllers down":
			for i, n := range d.nodes {
				n.crash()
				d.faults.restartAfter(n, away+time.Duration(i)*300*time.Millisecond)
			}
			d.run(away + time.Second)
		case "a zone partitioned", "a zone partitioned with the leader":
			l := d.awaitLeader()
			n := l
			if trial == "a zone partitioned" {
				n = d.nodes[(l.index+1)%3]
			}
			d.partitionZone("b", n.name, away, variant%2 == 0)
			d.run(away + time.Second)
		default:
			for i := range 10 {
				d.after(time.Duration(12*i)*time.Second+time.Duration(d.random.IntN(4000))*time.Millisecond, func() { d.restartLeader(5 * time.Second) })
			}
			if trial == "ten leader crashes in an outage" {
				d.after(20*time.Second, func() { d.state.outage = true })
				d.after(20*time.Second+away, d.state.recover)
			}
			epoch := d.awaitLeader().core.Epoch()
			d.run(125 * time.Second)
			if now := d.awaitLeader().core.Epoch(); now >= epoch+6 {
				d.cover("leaders changed repeatedly")
			}
		}
		lost := 0
		for _, w := range d.machines() {
			if w.session > 1 {
				lost++
			}
		}
		if lost > 0 {
			d.cover(trial + ": leases expired")
		}
		d.cover(trial)
		if !d.runUntil(30*time.Second, func() bool { return d.leader() != nil && d.leader().core.Status(d.leader().clock()).Sure }) {
			t.Error("no leader after the fault")
		}
		return d.endFaultsAndSettle(5 * time.Minute)
	},
		"all controllers down",
		"a zone partitioned",
		"a zone partitioned with the leader",
		"ten leader crashes",
		"ten leader crashes in an outage",
		"leaders changed repeatedly",
		"all controllers down: leases expired")
}

// TestRefusedCancelledOut guards against tasks that outlive a confirmed cancellation. Jobs are cancelled
// through the old leader and the other controllers when the state service starts to refuse only the
// leader or up to a second later. After 1 s or 12 s a state outage begins that lasts beyond the
// cancellation deadline.
func TestRefusedCancelledOut(t *testing.T) {
	trials := []string{"healthy", "inbound loss", "hung", "outbound loss", "partitioned"}
	delays := []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond, time.Second}
	must := []string{"confirmed before the outage", "confirmed after it"}
	for _, after := range delays {
		must = append(must, fmt.Sprintf("cancelled %v after the refusal", after))
	}
	runSeeds(t, 2*len(trials)*len(delays), func(t *testing.T, seed uint64) *sim {
		trial, after := trials[int(seed)%len(trials)], delays[int(seed)/len(trials)%len(delays)]
		d := newHarness(t, seed, nil)
		var list []*userJob
		for i, kind := range []uint8{jobs.Array, jobs.Gang, jobs.Service, jobs.Array} {
			list = append(list, d.submitJob(200*time.Second, eventlog.Job{Tasks: 2 + i, Kind: kind, Priority: 1, Spot: true}))
		}
		stays := d.submitJob(150*time.Second, eventlog.Job{Tasks: 4, Priority: 1, Spot: true})
		d.pollAll(time.Second)
		for _, j := range append(list, stays) {
			d.awaitRunning(j, j.spec.Job.Tasks)
		}
		l := d.awaitLeader()
		d.state.refused[l.name] = true
		if trial != "healthy" {
			d.injectMachineFault(trial, d.machinesWithTasks(list[0])[:1], 50*time.Second)
		}
		for i, j := range list {
			d.after(after, func() { d.cancelJob(j, l.index+i+int(seed)) })
		}
		d.after(after, func() { d.cover(fmt.Sprintf("cancelled %v after the refusal", after)) })
		// After 12 s another controller leads and has confirmed the cancellations that it could.
		out := []time.Duration{time.Second, 12 * time.Second}[int(seed)/len(trials)/len(delays)]
		d.after(out, func() {
			d.state.outage = true
			for _, j := range list {
				if j.toldCancelled {
					d.cover("confirmed before the outage")
				}
			}
		})
		d.run(out + time.Duration(35+5*(seed%4))*time.Second) // longer than the cancellation deadline
		gone := 0
		for _, j := range list {
			if j.toldCancelled {
				gone++
			}
		}
		d.state.recover()
		d.state.refused = map[string]bool{}
		if !d.runUntil(90*time.Second, func() bool {
			for _, j := range list {
				if !j.toldCancelled {
					return false
				}
			}
			return true
		}) {
			t.Error("not all cancellations completed")
		}
		if gone < len(list) {
			d.cover("confirmed after it")
		}
		return d.endFaultsAndSettle(8 * time.Minute)
	}, must...)
}
