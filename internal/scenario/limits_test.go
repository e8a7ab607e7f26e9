package scenario

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
)

// TestLimitsAndCancellations cancels jobs while every team is at its limit, their machines are
// partitioned, hang, are slow or lose packets one way, and the leader changes before, at or after the
// cancellation. No team may exceed its limit, the tasks are gone before the user is told, and no job
// waits for room that has long been free.
func TestLimitsAndCancellations(t *testing.T) {
	faults := []string{"partitioned", "packets held", "hung", "inbound loss", "outbound loss", "slow"}
	runSeeds(t, 9*len(faults), func(t *testing.T, seed uint64) *sim {
		fault, variant := faults[int(seed)%len(faults)], int(seed)/len(faults)
		h := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams = []settings.Team{{Name: "team", CPUsMax: 12}, {Name: "other", CPUsMax: 10, CPUs: 6}, {Name: "third", CPUsMax: 8}}
			c.Tunables.ZonePatienceS = float64(variant % 2 * 40)
		})
		teams := []string{"team", "other", "third"}
		var running, waiting []*userJob
		for i := range 6 {
			running = append(running, h.submitJob(120*time.Second, eventlog.Job{Team: teams[i%3], Tasks: []int{6, 5, 4}[i%3], Kind: uint8(i / 3), Priority: 1, Spot: true}))
		}
		h.pollAll(time.Second)
		for _, j := range running {
			h.awaitRunning(j, j.spec.Job.Tasks)
		}
		for i := range 6 {
			waiting = append(waiting, h.submitJob(20*time.Second, eventlog.Job{Team: teams[i%3], Tasks: 2 + i%3, Kind: uint8(i / 5), Priority: uint8(1 + i%2), Spot: true}))
		}
		h.run(5 * time.Second)
		if h.runningTasks(waiting[0].id) == 0 {
			h.cover("jobs wait for their team's limit")
		}
		duration := time.Duration(5+4*variant) * time.Second
		machines := h.machinesWithTasks(running[0])
		h.injectMachineFault(fault, append(machines[:1:1], h.machinesWithTasks(running[4])[0]), duration)
		crashOffset := time.Duration(variant%3-1) * 2500 * time.Millisecond // the leader crashes before, at or after the cancellation
		h.after(3*time.Second, func() {
			for _, i := range []int{0, 1, 4, 5} {
				h.cancelJob(running[i], i)
			}
		})
		h.after(3*time.Second+crashOffset, func() {
			h.restartLeader(8 * time.Second)
			h.cover([]string{"the leader crashed before", "the leader crashed at the same time", "the leader crashed after"}[variant%3])
		})
		if variant > 5 {
			h.after(9*time.Second, func() { h.restartLeader(8 * time.Second) })
		}
		h.run(max(duration, 12*time.Second))
		if !h.runUntil(45*time.Second, func() bool {
			return running[0].reportedCancelled && running[1].reportedCancelled && running[4].reportedCancelled && running[5].reportedCancelled
		}) {
			t.Errorf("not all cancellations completed: %s, %s, %s, %s", running[0].state, running[1].state, running[4].state, running[5].state)
		}
		// Room is free then, and the waiting jobs must start.
		if !h.runUntil(15*time.Second, func() bool { return h.check.startedAt[waiting[0].id] > 0 && h.check.startedAt[waiting[1].id] > 0 }) {
			t.Error("jobs wait although the cancelled jobs have made room")
		}
		return h.endFaultsAndSettle(6 * time.Minute)
	},
		"jobs wait for their team's limit",
		"the leader crashed before",
		"the leader crashed at the same time",
		"the leader crashed after")
}

// TestCancelWhileMachinesSwitchController cancels jobs while machines switch to another controller: theirs
// crashes, restarts in a rolling restart, hands over leadership, is refused by the state service, is
// partitioned, or redirects machines to rebalance. Offers, relayed reports and direct starts are in
// flight.
func TestCancelWhileMachinesSwitchController(t *testing.T) {
	faults := []string{"a controller crashes", "a rolling restart", "the leader hands over", "the leader is refused", "a controller partitioned", "rebalancing"}
	var requiredCoverage []string
	for _, fault := range faults {
		requiredCoverage = append(requiredCoverage, fault+": cancelled while machines went to another controller")
	}
	runSeeds(t, 10*len(faults), func(t *testing.T, seed uint64) *sim {
		fault, variant := faults[int(seed)%len(faults)], int(seed)/len(faults)
		h := newHarness(t, seed, func(c *settings.Settings) {
			if fault == "rebalancing" || variant%2 == 0 {
				c.Tunables.RebalanceMoves = 8
			}
			if variant%3 == 1 {
				c.Tunables.MaxPushDispatches = 8
				c.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 0.5}}
			}
		})
		submitNext := func() *userJob {
			i := len(h.jobs)
			return h.submitJob(time.Duration(4+i%9*6)*time.Second, eventlog.Job{
				Tasks: 2 + i%5, Kind: uint8(i % 5 / 4), Priority: uint8(i % 3), Spot: true, OneZone: i%6 == 5,
			})
		}
		for range 8 {
			submitNext()
		}
		h.pollAll(time.Second)
		h.run(12 * time.Second)
		leader := h.awaitLeader()
		n := h.nodes[(leader.index+1)%3]
		switch fault {
		case "a controller crashes":
			n.crash()
			h.faults.restartAfter(n, 8*time.Second)
		case "a rolling restart":
			for i, n := range h.nodes {
				h.after(time.Duration(4*i)*time.Second, func() {
					n.crash()
					h.faults.restartAfter(n, 3*time.Second)
				})
			}
		case "the leader hands over":
			leader.core.Stop(leader.clock())
			leader.drain()
		case "the leader is refused":
			h.state.refused[leader.name] = true
			h.after(12*time.Second, func() { delete(h.state.refused, leader.name) })
		case "a controller partitioned":
			h.partitions = append(h.partitions, &partition{host: n.name, holdPackets: variant%2 == 0})
			h.after(7*time.Second, func() { h.heal(n.name) })
		case "rebalancing": // one returns, and machines are redirected to it
			n.crash()
			h.run(3 * time.Second)
			n.start(false)
		}
		for i := range 60 { // more jobs arrive, and half of them are cancelled soon after they were accepted
			h.after(time.Duration(i)*200*time.Millisecond, func() {
				j := submitNext()
				h.after(time.Duration(100+h.random.IntN(2500))*time.Millisecond, func() {
					if j.accepted && h.random.IntN(2) == 0 {
						h.cancelJob(j, i)
						for _, at := range h.redirects {
							if h.now-at < time.Second {
								h.cover(fault + ": cancelled while machines went to another controller")
								break
							}
						}
					}
				})
			})
		}
		for _, id := range []uint64{2, 4, 6} {
			h.after(time.Duration(h.random.IntN(6000))*time.Millisecond, func() { h.cancelJob(h.jobs[id], int(id)) })
		}
		h.run(25 * time.Second)
		return h.endFaultsAndSettle(8 * time.Minute)
	}, requiredCoverage...)
}

// TestBoundToOneZone checks jobs that must run in a given zone, or all in one zone, and lose machines while
// the zone has room for others and while it has none. They continue there, no task starts in another zone
// before the old tasks are gone, and no job is stuck forever.
func TestBoundToOneZone(t *testing.T) {
	runSeeds(t, 24, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, nil)
		var bound []*userJob
		for i, job := range []eventlog.Job{
			{Zone: "b", Tasks: 5},
			{Zone: "b", Tasks: 3, Kind: jobs.Gang},
			{OneZone: true, Tasks: 5},
			{OneZone: true, Tasks: 3, Kind: jobs.Gang},
			{Zone: "a", Tasks: 4, OneZone: true},
		} {
			job.Priority, job.Spot = 1, i%2 == int(seed)%2 || i == 2
			bound = append(bound, h.submitJob(time.Duration(25+5*i)*time.Second, job))
		}
		h.pollAll(time.Second)
		for _, j := range bound {
			h.awaitRunning(j, j.spec.Job.Tasks)
		}
		capacity := h.cloud.capacity
		if seed%3 > 0 { // the cloud has no more machines for a while
			h.cloud.capacity = 0
			h.after(time.Duration(20+20*(seed%3))*time.Second, func() { h.cloud.capacity = capacity })
		}
		for _, j := range bound {
			machines := h.machinesWithTasks(j)
			if len(machines) > 1 && h.random.IntN(2) == 0 {
				machines = machines[:1]
			}
			for _, w := range machines {
				switch h.random.IntN(3) {
				case 0: // reclaimed by the cloud
					w.terminate()
					delete(h.cloud.machines, w.name)
				case 1:
					w.terminate()
				default: // its reports, its commands or both are lost while its tasks go on
					h.injectMachineFault([]string{"partitioned", "outbound loss", "inbound loss"}[h.random.IntN(3)], []*worker{w}, time.Duration(3+h.random.IntN(12))*time.Second)
				}
				h.cover("a machine of a bound job lost")
			}
		}
		if seed%2 == 1 {
			h.after(time.Duration(h.random.IntN(9000))*time.Millisecond, func() { h.restartLeader(8 * time.Second) })
		}
		before := h.check.starts
		h.run(70 * time.Second)
		if h.check.starts > before {
			h.cover("tasks of bound jobs started again")
		}
		return h.endFaultsAndSettle(6 * time.Minute)
	}, "a machine of a bound job lost", "tasks of bound jobs started again")
}

// TestMoreWorkThanRoom submits far more work than the capacity, urgent and not, over slow links. At least
// half of the jobs of each class, of each team and of the largest are served, no task is stopped for work
// of equal or lower priority, and every job ends.
func TestMoreWorkThanRoom(t *testing.T) {
	runSeeds(t, 6, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams = []settings.Team{{Name: "team", CPUsMax: 30}, {Name: "other", CPUsMax: 30}}
			c.Tunables.BeginWithinS = 120
		})
		h.cloud.capacity = 10
		for _, n := range h.nodes {
			h.latency[n.name] = time.Duration(100+h.random.IntN(250)) * time.Millisecond
		}
		h.latency["state"] = 150 * time.Millisecond
		h.onPreempt = func(j *userJob, w *worker) {
			h.cover("a task stopped for another job")
			for _, o := range h.jobs {
				if o.accepted && !o.cancelRequested && !o.reportedDone && o.spec.Job.Priority > j.spec.Job.Priority {
					return
				}
			}
			h.check.fail("preempted", "a task of job %d on %s was stopped, but there is no job of higher priority", j.id, w.name)
		}
		h.run(3 * time.Second)
		for i := range 90 {
			job := eventlog.Job{
				Class: []string{"large", "small", "urgent"}[i%3], Team: []string{"team", "other"}[i/3%2],
				Priority: []uint8{0, 1, 2}[i%3], Spot: true,
			}
			switch i % 3 {
			case 0:
				job.Tasks, job.Checkpoint = 6+i%5, 5
			case 1:
				job.Tasks = 1 + i%4
			default:
				job.Tasks, job.CPUs = 1+i%3, 2
			}
			h.submitJobAfter(time.Duration(i)*700*time.Millisecond, time.Duration(3+h.random.IntN(8))*time.Second, job)
		}
		h.pollAll(3 * time.Second)
		h.run(4 * time.Minute)
		h.check.checkServedShare(h.now)
		h.check.checkStartDelay(h.now)
		return h.endFaultsAndSettle(10 * time.Minute)
	}, "a task stopped for another job")
}

// TestLeftWaiting guards against jobs that wait beside free room. The room is held for the first job in the
// order, which does not fit for a long time. No other job may wait 90 s for it, and the first job
// must still run in the end.
func TestLeftWaiting(t *testing.T) {
	for _, kind := range []uint8{jobs.Array, jobs.Gang} {
		h := newHarness(t, uint64(kind), nil)
		h.cloud.capacity = 6
		service := h.submitJob(time.Hour, eventlog.Job{Tasks: 6, CPUs: 2, Kind: jobs.Service, Priority: 1})
		h.pollAll(2 * time.Second)
		h.awaitRunning(service, 6)
		long := h.submitJob(4*time.Minute, eventlog.Job{Tasks: 6, CPUs: 2, Priority: 1}) // leaves no room, and all of its tasks end together
		h.awaitRunning(long, 5)
		if kind == jobs.Array {
			h.runUntil(6*time.Minute, func() bool { return len(h.machines()) == 6 && h.tasksOnMachines(long.id) > 0 })
		}
		h.cancelJob(long, 0)
		first := h.submitJob(30*time.Second, eventlog.Job{Tasks: 6, CPUs: 4, Kind: kind, Priority: 2}) // no machine has that much room
		h.run(2 * time.Second)
		var small []*userJob
		for i := range 3 {
			small = append(small, h.submitJob(40*time.Second, eventlog.Job{Tasks: 2, Kind: uint8(i / 2), Priority: 1}))
		}
		h.run(10 * time.Second)
		h.check.faultsEndedAt = h.now
		h.run(3 * time.Minute)
		for _, j := range small {
			if h.check.startedAt[j.id] == 0 {
				t.Errorf("kind %d: job %d has not started", kind, j.id)
			}
		}
		h.cancelJob(service, 1)
		if !h.runUntil(4*time.Minute, func() bool { return first.reportedDone }) {
			t.Errorf("kind %d: the first job is %s", kind, first.state)
		}
		if len(h.check.violations) > 0 {
			t.Errorf("kind %d: violated invariants: %v", kind, h.check.violations)
		}
	}
}

// TestSpreadWithOneZone submits a spread array while all machines with room are in one zone. A machine must
// be rented in the other zone.
func TestSpreadWithOneZone(t *testing.T) {
	h := newHarness(t, 5, nil)
	bound := h.submitJob(6*time.Minute, eventlog.Job{Tasks: 9, Zone: "a", Priority: 1, Spot: true})
	h.pollAll(2 * time.Second)
	h.awaitRunning(bound, 9)
	spread := h.submitJob(3*time.Minute, eventlog.Job{Tasks: 3, Spread: true, Priority: 1, Spot: true}) // one zone has room for all
	h.run(20 * time.Second)
	h.check.faultsEndedAt = h.now
	h.run(40 * time.Second)
	if n := h.runningTasks(spread.id); n != 3 {
		t.Errorf("%d of 3 tasks run", n)
	}
	h.endFaultsAndSettle(8 * time.Minute)
}
