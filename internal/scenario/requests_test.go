package scenario

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// TestIntensivePolling guards against answers that are older than earlier ones. Users query all controllers
// within milliseconds after an answer, resubmit, and cancel at once, while controllers between them and the
// leader are slow, partitioned or paused, and leaders change. Only an answer that was already in flight may
// be older, and only for a bounded time.
func TestIntensivePolling(t *testing.T) {
	runSeeds(t, 24, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, nil)
		h.intensivePolling = true
		for i := range 25 {
			h.submitJobAfter(time.Duration(2000+h.random.IntN(45000))*time.Millisecond, time.Duration(300+h.random.IntN(4000))*time.Millisecond, eventlog.Job{
				Tasks: 1 + h.random.IntN(3), Kind: uint8(i % 8 / 7), Priority: 1, Spot: true,
			})
		}
		h.pollAll(2 * time.Second)
		for i := range 8 { // faults of a controller between the users and the leader
			h.after(time.Duration(6+6*i)*time.Second, func() {
				leader := h.leader()
				if leader == nil {
					return
				}
				n := h.nodes[(leader.index+1+i%2)%3]
				duration := time.Duration(1000+h.random.IntN(3000)) * time.Millisecond
				switch (i + int(seed)) % 4 {
				case 0:
					h.latency[n.name] = time.Duration(100+h.random.IntN(1500)) * time.Millisecond
					h.after(duration, func() { delete(h.latency, n.name) })
				case 1:
					h.partitions = append(h.partitions, &partition{host: n.name, peer: leader.name, holdPackets: true})
					h.after(duration, func() { h.heal(n.name) })
				case 2:
					h.pausedUntil[n.name] = h.now + duration
				default:
					h.pausedUntil[leader.name] = h.now + duration
				}
			})
		}
		if seed%2 == 1 {
			for i := range 3 {
				h.after(time.Duration(12+14*i)*time.Second+time.Duration(h.random.IntN(4000))*time.Millisecond, func() { h.restartLeader(8 * time.Second) })
			}
		}
		h.run(60 * time.Second)
		return h.endFaultsAndSettle(5 * time.Minute)
	}, "intensive polling", "answer overtaken by a newer one")
}

// TestRequestAtCompletion sends a cancellation, a query or a repeated submission just as a job's last task
// completes: without another fault, with a lost answer to the write, and with a leader change. Each job
// must have one outcome, which never changes.
func TestRequestAtCompletion(t *testing.T) {
	coverage := runSeeds(t, 48, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, nil)
		variant := seed % 4
		submitted := make([]*userJob, 8)
		for i := range submitted {
			submitted[i] = h.submitJob(25*time.Second, eventlog.Job{Tasks: 1 + i%3, Kind: uint8(i / 6), Priority: 1, Spot: true})
		}
		h.pollAll(time.Second)
		for _, j := range submitted {
			h.awaitRunning(j, j.spec.Job.Tasks)
		}
		if variant == 2 {
			h.latency["state"] = 300 * time.Millisecond
			h.after(30*time.Second, func() { delete(h.latency, "state") })
		}
		for i, j := range submitted {
			last := time.Duration(0)
			for k := range j.spec.Job.Tasks {
				last = max(last, h.runEnds[task{j.id, k}])
			}
			// At times from before the completion until after it is durable and reported to users.
			at := last - h.now + time.Duration(int(seed)/4*8+i-20)*15*time.Millisecond
			for n := range 12 { // users query while the write of the completion is in progress
				h.after(at+time.Duration(25*n)*time.Millisecond, func() { h.poll(j, n) })
			}
			h.after(at, func() {
				if variant == 1 {
					h.state.answersToLose = 1
				}
				if variant == 3 && i == 3 {
					h.restartLeader(8 * time.Second)
				}
				if before := h.check.allCompleted(j.id); before {
					h.cover("request after the last task had completed")
				} else {
					h.cover("request before the last task had completed")
				}
				switch (i + int(seed)/4) % 3 {
				case 0, 1:
					h.cancelJob(j, i)
				default:
					h.submit(j, i, func() bool { return false })
					h.poll(j, i+1)
				}
			})
			if variant == 2 && i == 3 {
				h.after(at+time.Duration(h.random.IntN(80))*time.Millisecond, func() { h.restartLeader(8 * time.Second) })
			}
		}
		h.run(40 * time.Second)
		h.endFaultsAndSettle(5 * time.Minute)
		for _, j := range submitted {
			if j.cancelRequested && j.reportedDone {
				h.cover("a cancelled job done")
			} else if j.cancelRequested {
				h.cover("a cancelled job cancelled")
			}
		}
		for range 2 { // the outcome stays the same under later leaders
			for _, j := range submitted {
				for at := range h.nodes {
					h.poll(j, at)
					h.submit(j, at, func() bool { return false })
				}
			}
			h.run(3 * time.Second)
			h.restartLeader(8 * time.Second)
			h.awaitLeader()
		}
		if len(h.check.violations) > 0 {
			t.Errorf("violated invariants: %v", h.check.violations)
		}
		return h.sim
	},
		"request after the last task had completed",
		"request before the last task had completed",
		"a cancelled job done",
		"a cancelled job cancelled")
	t.Log(coverage)
}

// TestOneTaskJobs submits four one-task jobs a second for three minutes and cancels a quarter of them, at
// the smallest limits of any deployment and with a leader change halfway. The writes stay within the
// limits, the log stays short, and all jobs are served.
func TestOneTaskJobs(t *testing.T) {
	const count = 720
	h := newHarness(t, 3, func(c *settings.Settings) {
		state := &c.Deployment.State
		state.RPS, state.WriteRPS, state.ValueKB, state.TxnOps = 200, 15, 2, 4
	})
	h.cloud.capacity = 30
	h.state.writesBySecond = map[time.Duration]int{}
	type times struct{ sent, asked time.Duration }
	all := make([]times, count+1)
	h.run(2 * time.Second)
	cancelled := 0
	for i := range count {
		id := uint64(i + 1)
		at := time.Duration(i) * 250 * time.Millisecond
		h.after(at, func() {
			all[id].sent = h.now
			j := h.submitJob(time.Duration(1000+h.random.IntN(5000))*time.Millisecond, eventlog.Job{ID: id, Priority: uint8(i % 4), Spot: true})
			if i%4 == 1 {
				cancelled++
				h.after(time.Duration(500+h.random.IntN(4000))*time.Millisecond, func() {
					if j.accepted {
						all[id].asked = h.now
						h.cancelJob(j, i)
					}
				})
			}
		})
	}
	h.pollAll(5 * time.Second)
	h.after(90*time.Second, func() { h.restartLeader(8 * time.Second) })
	segments := 0
	for h.now < count*250*time.Millisecond+20*time.Second {
		h.run(time.Second)
		n := 0
		for k := range h.state.items {
			if _, err := eventlog.SegmentNumber(k); err == nil {
				n++
			}
		}
		segments = max(segments, n)
	}
	h.endFaultsAndSettle(4 * time.Minute)
	var accept, confirm, begin []time.Duration
	for id := uint64(1); id <= count; id++ {
		j := h.jobs[id]
		if !j.accepted {
			t.Errorf("job %d was never accepted", id)
			continue
		}
		accept = append(accept, j.acceptedAt-all[id].sent)
		if j.reportedCancelled {
			confirm = append(confirm, j.endReportedAt-all[id].asked)
		} else if at, ok := h.check.startedAt[id]; ok {
			begin = append(begin, at-j.acceptedAt)
		}
	}
	logTimes := func(what string, list []time.Duration) {
		slices.Sort(list)
		t.Logf("%s: %d, median %v, .99 %v, largest %v",
			what, len(list), list[len(list)/2].Round(time.Millisecond),
			list[len(list)*99/100].Round(time.Millisecond), list[len(list)-1].Round(time.Millisecond))
	}
	logTimes("to acceptance", accept)
	logTimes("to confirmation", confirm)
	logTimes("to the start", begin)
	largest, sum := 0, 0
	for _, n := range h.state.writesBySecond {
		largest, sum = max(largest, n), sum+n
	}
	t.Logf("writes per second: mean %.1f, largest %d, limit %v; the log had at most %d segments, %d were read back for compaction; %d cancellations were requested",
		float64(sum)/float64(len(h.state.writesBySecond)), largest, h.cfg.Deployment.State.WriteRPS, segments,
		h.state.segmentsRead, cancelled)
	if largest > 2*15 { // a burst of one second's allowance in addition to the second's own
		t.Errorf("%d writes in one second", largest)
	}
	if segments > 150 || h.state.segmentsRead == 0 {
		t.Errorf("the log grew to %d segments, %d were read back for compaction", segments, h.state.segmentsRead)
	}
	if len(confirm) < count/8 {
		t.Errorf("%d cancellations confirmed", len(confirm))
	}
}

// TestInvalidRequests sends invalid requests to every controller and across a leader change: repeated
// submissions with malformed or infeasible bodies, cancellations of completed jobs, and jobs that can never
// run. Known ids are answered with their state, the others are rejected, and none of these is logged.
func TestInvalidRequests(t *testing.T) {
	runSeeds(t, 6, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, nil)
		for i := range 12 {
			h.submitJobAfter(time.Duration(500+i*1500)*time.Millisecond, time.Duration(1+h.random.IntN(9))*time.Second, eventlog.Job{
				Tasks: 1 + i%4, Priority: 1, Spot: true,
			})
		}
		h.pollAll(time.Second)
		h.after(3*time.Second, func() { h.faults.inject(invalidRequests, 50*time.Second, 0) })
		h.after(20*time.Second, func() { h.restartLeader(8 * time.Second) })
		h.run(60 * time.Second)
		entries := 0
		for k, it := range h.state.items {
			if _, err := eventlog.SegmentNumber(k); err != nil {
				continue
			}
			list, err := eventlog.Decode(it.value)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range list {
				if e.Job != nil && h.jobs[e.Job.ID] == nil {
					entries++
				}
			}
		}
		if entries > 0 {
			t.Errorf("the log has %d rejected jobs", entries)
		}
		return h.endFaultsAndSettle(5 * time.Minute)
	}, "invalid repeated submission answered", "invalid submission rejected", "cancellation of a completed job")
}

// TestInfeasibleJobs submits jobs that can never run, for each possible reason, and checks the status.
func TestInfeasibleJobs(t *testing.T) {
	h := newHarness(t, 1, func(c *settings.Settings) { c.Deployment.Teams[0].CPUsMax = 6 })
	h.awaitLeader()
	h.run(2 * time.Second)
	base := eventlog.Job{Class: "class", Team: "team", Tasks: 4, CPUs: 2, MemoryGB: 1, Image: "image", ImageGB: 0.3, Spot: true}
	for i, c := range []struct {
		status int
		change func(j *eventlog.Job)
	}{
		{201, func(*eventlog.Job) {}}, // for an array, the CPUs of one task must fit the limit
		{422, func(j *eventlog.Job) { j.Kind = jobs.Gang }},
		{422, func(j *eventlog.Job) { j.Kind = jobs.Service }},
		{201, func(j *eventlog.Job) { j.Kind, j.Tasks = jobs.Gang, 3 }},
		{422, func(j *eventlog.Job) { j.Team = "nobody" }},
		{422, func(j *eventlog.Job) { j.CPUs = 5 }},
		{422, func(j *eventlog.Job) { j.MemoryGB = 17 }},
		{422, func(j *eventlog.Job) { j.GPUs = 1 }},
		{422, func(j *eventlog.Job) { j.Types = []string{"m5"} }},
		{422, func(j *eventlog.Job) { j.Types = []string{} }},
		{422, func(j *eventlog.Job) { j.Zone = "c" }},
		{422, func(j *eventlog.Job) { j.Follows = []uint64{77} }},
		{422, func(j *eventlog.Job) { j.CPUs = 7; j.Tasks = 1 }},
	} {
		job := base
		job.ID = uint64(i + 1)
		c.change(&job)
		got := 0
		h.sendRequest(i, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) {
			c.core.Submit(now, to, wire.Submission{ID: job.ID, HasID: true, Job: &job})
		}, func(a answer, _ bool) { got = a.Status })
		h.run(2 * time.Second)
		if got != c.status {
			t.Errorf("job %d: %d, want %d: %s", i+1, got, c.status, fmt.Sprintf("%+v", job))
		}
	}
}
