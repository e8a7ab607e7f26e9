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
	trials := []string{"partitioned", "packets held", "hung", "inbound loss", "outbound loss", "slow"}
	runSeeds(t, 9*len(trials), func(t *testing.T, seed uint64) *sim {
		trial, variant := trials[int(seed)%len(trials)], int(seed)/len(trials)
		d := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams = []settings.Team{{Name: "team", CPUsMax: 12}, {Name: "other", CPUsMax: 10, CPUs: 6}, {Name: "third", CPUsMax: 8}}
			c.Tunables.ZonePatienceS = float64(variant % 2 * 40)
		})
		teams := []string{"team", "other", "third"}
		var first, waiting []*userJob
		for i := range 6 {
			first = append(first, d.submitJob(120*time.Second, eventlog.Job{Team: teams[i%3], Tasks: []int{6, 5, 4}[i%3], Kind: uint8(i / 3), Priority: 1, Spot: true}))
		}
		d.pollAll(time.Second)
		for _, j := range first {
			d.awaitRunning(j, j.spec.Job.Tasks)
		}
		for i := range 6 {
			waiting = append(waiting, d.submitJob(20*time.Second, eventlog.Job{Team: teams[i%3], Tasks: 2 + i%3, Kind: uint8(i / 5), Priority: uint8(1 + i%2), Spot: true}))
		}
		d.run(5 * time.Second)
		if d.runningTasks(waiting[0].id) == 0 {
			d.cover("jobs wait for their team's limit")
		}
		length := time.Duration(5+4*variant) * time.Second
		on := d.machinesWithTasks(first[0])
		d.injectMachineFault(trial, append(on[:1:1], d.machinesWithTasks(first[4])[0]), length)
		when := time.Duration(variant%3-1) * 2500 * time.Millisecond // the leader crashes before, at or after the cancellation
		d.after(3*time.Second, func() {
			for _, i := range []int{0, 1, 4, 5} {
				d.cancelJob(first[i], i)
			}
		})
		d.after(3*time.Second+when, func() {
			d.restartLeader(8 * time.Second)
			d.cover([]string{"the leader crashed before", "the leader crashed at the same time", "the leader crashed after"}[variant%3])
		})
		if variant > 5 {
			d.after(9*time.Second, func() { d.restartLeader(8 * time.Second) })
		}
		d.run(max(length, 12*time.Second))
		if !d.runUntil(45*time.Second, func() bool {
			return first[0].toldCancelled && first[1].toldCancelled && first[4].toldCancelled && first[5].toldCancelled
		}) {
			t.Errorf("not all cancellations completed: %s, %s, %s, %s", first[0].state, first[1].state, first[4].state, first[5].state)
		}
		// Room is free then, and the waiting jobs must start.
		if !d.runUntil(15*time.Second, func() bool { return d.check.startedAt[waiting[0].id] > 0 && d.check.startedAt[waiting[1].id] > 0 }) {
			t.Error("jobs wait although the cancelled jobs have made room")
		}
		return d.endFaultsAndSettle(6 * time.Minute)
	},
		"jobs wait for their team's limit",
		"the leader crashed before",
		"the leader crashed at the same time",
		"the leader crashed after")
}

// TestCancelledWhileWorkChangesHands cancels jobs while machines switch to another controller: theirs
// crashes, restarts in a rolling restart, hands over leadership, is refused by the state service, is
// partitioned, or redirects machines to rebalance. Offers, relayed reports and direct starts are in
// flight.
func TestCancelledWhileWorkChangesHands(t *testing.T) {
	trials := []string{"a controller crashes", "a rolling restart", "the leader hands over", "the leader is refused", "a controller partitioned", "rebalancing"}
	var must []string
	for _, trial := range trials {
		must = append(must, trial+": cancelled while machines went to another controller")
	}
	runSeeds(t, 10*len(trials), func(t *testing.T, seed uint64) *sim {
		trial, variant := trials[int(seed)%len(trials)], int(seed)/len(trials)
		d := newHarness(t, seed, func(c *settings.Settings) {
			if trial == "rebalancing" || variant%2 == 0 {
				c.Tunables.RebalanceMoves = 8
			}
			if variant%3 == 1 {
				c.Tunables.PushDispatches = 8
				c.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 0.5}}
			}
		})
		next := func() *userJob {
			i := len(d.jobs)
			return d.submitJob(time.Duration(4+i%9*6)*time.Second, eventlog.Job{Tasks: 2 + i%5, Kind: uint8(i % 5 / 4), Priority: uint8(i % 3), Spot: true, OneZone: i%6 == 5})
		}
		for range 8 {
			next()
		}
		d.pollAll(time.Second)
		d.run(12 * time.Second)
		l := d.awaitLeader()
		n := d.nodes[(l.index+1)%3]
		switch trial {
		case "a controller crashes":
			n.crash()
			d.faults.restartAfter(n, 8*time.Second)
		case "a rolling restart":
			for i, n := range d.nodes {
				d.after(time.Duration(4*i)*time.Second, func() {
					n.crash()
					d.faults.restartAfter(n, 3*time.Second)
				})
			}
		case "the leader hands over":
			l.core.Stop(l.clock())
			l.drain()
		case "the leader is refused":
			d.state.refused[l.name] = true
			d.after(12*time.Second, func() { delete(d.state.refused, l.name) })
		case "a controller partitioned":
			d.partitions = append(d.partitions, &partition{host: n.name, holdPackets: variant%2 == 0})
			d.after(7*time.Second, func() { d.heal(n.name) })
		case "rebalancing": // one returns, and machines are redirected to it
			n.crash()
			d.run(3 * time.Second)
			n.start(false)
		}
		for i := range 60 { // more jobs arrive, and half of them are cancelled soon after they were accepted
			d.after(time.Duration(i)*200*time.Millisecond, func() {
				j := next()
				d.after(time.Duration(100+d.random.IntN(2500))*time.Millisecond, func() {
					if j.accepted && d.random.IntN(2) == 0 {
						d.cancelJob(j, i)
						for _, at := range d.redirects {
							if d.now-at < time.Second {
								d.cover(trial + ": cancelled while machines went to another controller")
								break
							}
						}
					}
				})
			})
		}
		for _, id := range []uint64{2, 4, 6} {
			d.after(time.Duration(d.random.IntN(6000))*time.Millisecond, func() { d.cancelJob(d.jobs[id], int(id)) })
		}
		d.run(25 * time.Second)
		return d.endFaultsAndSettle(8 * time.Minute)
	}, must...)
}

// TestBoundToOneZone checks jobs that must run in a given zone, or all in one zone, and lose machines while
// the zone has room for others and while it has none. They continue there, no task starts in another zone
// before the old tasks are gone, and no job is stuck forever.
func TestBoundToOneZone(t *testing.T) {
	runSeeds(t, 24, func(t *testing.T, seed uint64) *sim {
		d := newHarness(t, seed, nil)
		var list []*userJob
		for i, job := range []eventlog.Job{
			{Zone: "b", Tasks: 5},
			{Zone: "b", Tasks: 3, Kind: jobs.Gang},
			{OneZone: true, Tasks: 5},
			{OneZone: true, Tasks: 3, Kind: jobs.Gang},
			{Zone: "a", Tasks: 4, OneZone: true},
		} {
			job.Priority, job.Spot = 1, i%2 == int(seed)%2 || i == 2
			list = append(list, d.submitJob(time.Duration(25+5*i)*time.Second, job))
		}
		d.pollAll(time.Second)
		for _, j := range list {
			d.awaitRunning(j, j.spec.Job.Tasks)
		}
		room := d.cloud.capacity
		if seed%3 > 0 { // the cloud has no more machines for a while
			d.cloud.capacity = 0
			d.after(time.Duration(20+20*(seed%3))*time.Second, func() { d.cloud.capacity = room })
		}
		for _, j := range list {
			on := d.machinesWithTasks(j)
			if len(on) > 1 && d.random.IntN(2) == 0 {
				on = on[:1]
			}
			for _, w := range on {
				switch d.random.IntN(3) {
				case 0: // reclaimed by the cloud
					w.terminate()
					delete(d.cloud.machines, w.name)
				case 1:
					w.terminate()
				default: // its reports or its commands are lost while its tasks go on
					d.injectMachineFault([]string{"partitioned", "outbound loss", "inbound loss"}[d.random.IntN(3)], []*worker{w}, time.Duration(3+d.random.IntN(12))*time.Second)
				}
				d.cover("a machine of a bound job lost")
			}
		}
		if seed%2 == 1 {
			d.after(time.Duration(d.random.IntN(9000))*time.Millisecond, func() { d.restartLeader(8 * time.Second) })
		}
		before := d.check.starts
		d.run(70 * time.Second)
		if d.check.starts > before {
			d.cover("tasks of bound jobs started again")
		}
		return d.endFaultsAndSettle(6 * time.Minute)
	}, "a machine of a bound job lost", "tasks of bound jobs started again")
}

// TestMoreWorkThanRoom submits far more work than the capacity, urgent and not, over slow links. At least
// half of the jobs of each class, of each team and of the largest are served, no task is stopped for work
// of equal or lower priority, and every job ends.
func TestMoreWorkThanRoom(t *testing.T) {
	runSeeds(t, 6, func(t *testing.T, seed uint64) *sim {
		d := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Teams = []settings.Team{{Name: "team", CPUsMax: 30}, {Name: "other", CPUsMax: 30}}
			c.Tunables.BeginWithinS = 120
		})
		d.cloud.capacity = 10
		for _, n := range d.nodes {
			d.latency[n.name] = time.Duration(100+d.random.IntN(250)) * time.Millisecond
		}
		d.latency["state"] = 150 * time.Millisecond
		d.onPreempt = func(j *userJob, w *worker) {
			d.cover("a task stopped for another job")
			for _, o := range d.jobs {
				if o.accepted && !o.cancelRequested && !o.toldDone && o.spec.Job.Priority > j.spec.Job.Priority {
					return
				}
			}
			d.check.fail("preempted", "a task of job %d on %s was stopped, but there is no job of higher priority", j.id, w.name)
		}
		d.run(3 * time.Second)
		for i := range 90 {
			job := eventlog.Job{Class: []string{"large", "small", "urgent"}[i%3], Team: []string{"team", "other"}[i/3%2], Priority: []uint8{0, 1, 2}[i%3], Spot: true}
			switch i % 3 {
			case 0:
				job.Tasks, job.Checkpoint = 6+i%5, 5
			case 1:
				job.Tasks = 1 + i%4
			default:
				job.Tasks, job.CPUs = 1+i%3, 2
			}
			d.submitJobAfter(time.Duration(i)*700*time.Millisecond, time.Duration(3+d.random.IntN(8))*time.Second, job)
		}
		d.pollAll(3 * time.Second)
		d.run(4 * time.Minute)
		d.check.checkServedShare(d.now)
		d.check.checkStartDelay(d.now)
		return d.endFaultsAndSettle(10 * time.Minute)
	}, "a task stopped for another job")
}

// TestLeftWaiting guards against jobs that wait beside free room. The room is held for the first job in the
// order, which does not fit for a long time. No other job may wait 90 s for it, and the first job
// must still run in the end.
func TestLeftWaiting(t *testing.T) {
	for _, kind := range []uint8{jobs.Array, jobs.Gang} {
		d := newHarness(t, uint64(kind), nil)
		d.cloud.capacity = 6
		stays := d.submitJob(time.Hour, eventlog.Job{Tasks: 6, CPUs: 2, Kind: jobs.Service, Priority: 1})
		d.pollAll(2 * time.Second)
		d.awaitRunning(stays, 6)
		long := d.submitJob(4*time.Minute, eventlog.Job{Tasks: 6, CPUs: 2, Priority: 1}) // leaves no room, and all of its tasks end together
		d.awaitRunning(long, 5)
		if kind == jobs.Array {
			d.runUntil(6*time.Minute, func() bool { return len(d.machines()) == 6 && d.tasksOnMachines(long.id) > 0 })
		}
		d.cancelJob(long, 0)
		first := d.submitJob(30*time.Second, eventlog.Job{Tasks: 6, CPUs: 4, Kind: kind, Priority: 2}) // no machine has that much room
		d.run(2 * time.Second)
		var small []*userJob
		for i := range 3 {
			small = append(small, d.submitJob(40*time.Second, eventlog.Job{Tasks: 2, Kind: uint8(i / 2), Priority: 1}))
		}
		d.run(10 * time.Second)
		d.check.faultsEndedAt = d.now
		d.run(3 * time.Minute)
		for _, j := range small {
			if d.check.startedAt[j.id] == 0 {
				t.Errorf("kind %d: job %d has not started", kind, j.id)
			}
		}
		d.cancelJob(stays, 1)
		if !d.runUntil(4*time.Minute, func() bool { return first.toldDone }) {
			t.Errorf("kind %d: the first job is %s", kind, first.state)
		}
		if len(d.check.violations) > 0 {
			t.Errorf("kind %d: violated invariants: %v", kind, d.check.violations)
		}
	}
}

// TestSpreadWithOneZone submits a spread array while all machines with room are in one zone. A machine must
// be rented in the other zone.
func TestSpreadWithOneZone(t *testing.T) {
	d := newHarness(t, 5, nil)
	bound := d.submitJob(6*time.Minute, eventlog.Job{Tasks: 9, Zone: "a", Priority: 1, Spot: true})
	d.pollAll(2 * time.Second)
	d.awaitRunning(bound, 9)
	spread := d.submitJob(3*time.Minute, eventlog.Job{Tasks: 3, Spread: true, Priority: 1, Spot: true}) // one zone has room for all
	d.run(20 * time.Second)
	d.check.faultsEndedAt = d.now
	d.run(40 * time.Second)
	if n := d.runningTasks(spread.id); n != 3 {
		t.Errorf("%d of 3 tasks run", n)
	}
	d.endFaultsAndSettle(8 * time.Minute)
}
