package scenario

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// confirmationCase is a variant of TestConfirmedThenOutage: the state service refuses only the leader,
// jobs are cancelled at another controller, and then the state service has an outage.
type confirmationCase struct {
	peers           bool   // the old leader and the other controllers reach one another
	direct          bool   // the other controllers reach the machines
	cloud           bool   // the cloud is available; otherwise only after the outage
	machineFault    string // the fault of machines that run the jobs
	controllerFault string // what happens to the controllers once a cancellation was confirmed
	outageDelay     time.Duration
}

func (m confirmationCase) String() string {
	reachability := map[bool]string{true: "reachable", false: "unreachable"}
	return fmt.Sprintf("peers %s/machines %s/cloud %s/machines are %s/then %s/outage after %v",
		reachability[m.peers], reachability[m.direct], reachability[m.cloud], m.machineFault,
		m.controllerFault, m.outageDelay)
}

// confirmationStats accumulates the results of all variants.
type confirmationStats struct {
	sync.Mutex
	runs, confirmed, confirmedBeforeOutage, othersCompleted int
	confirmTimes                                            []time.Duration // times from request to confirmation
}

// TestConfirmedThenOutage guards against tasks that outlive a confirmed cancellation: the state service
// refuses only the leader, another controller confirms a cancellation, and then a state outage begins.
// In no variant may a task run on past the cancellation deadline, and every cancellation completes once
// the faults have ended.
func TestConfirmedThenOutage(t *testing.T) {
	var stats confirmationStats
	t.Run("days", func(t *testing.T) {
		variants := 0
		for _, peers := range []bool{true, false} {
			for _, direct := range []bool{true, false} {
				for _, cloud := range []bool{true, false} {
					for _, machineFault := range []string{
						"healthy",
						"losing inbound packets",
						"hung",
						"in a zone partitioned with the old leader",
						"receiving starts",
						"being stopped by the old leader",
					} {
						for _, controllerFault := range []string{
							"no crash",
							"the new leader crashes",
							"the new leader restarts at once",
							"all crash and restart",
							"the new leader hands over",
						} {
							variant := confirmationCase{
								peers, direct, cloud, machineFault, controllerFault,
								[]time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 22 * time.Second}[variants%4],
							}
							seed := uint64(variants)
							variants++
							t.Run(variant.String(), func(t *testing.T) {
								t.Parallel()
								variant.run(t, seed, &stats)
							})
						}
					}
				}
			}
		}
	})
	slices.Sort(stats.confirmTimes)
	t.Logf("%d runs: %d cancellations confirmed, %d of them before the outage; %d other jobs completed; from request to confirmation: median %v, 90th percentile %v", stats.runs, stats.confirmed, stats.confirmedBeforeOutage, stats.othersCompleted,
		stats.confirmTimes[len(stats.confirmTimes)/2].Round(10*time.Millisecond), stats.confirmTimes[len(stats.confirmTimes)*9/10].Round(10*time.Millisecond))
	if stats.confirmedBeforeOutage < stats.runs/2 || stats.othersCompleted < stats.runs {
		t.Errorf("%d of %d runs had a cancellation confirmed before the outage, %d other jobs completed",
			stats.confirmedBeforeOutage, stats.runs, stats.othersCompleted)
	}
}

func (m confirmationCase) run(t *testing.T, seed uint64, stats *confirmationStats) {
	c := baseSettings()
	c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS, c.Deployment.Workers.CancelS = 3, 22, 47
	c.Tunables.ZonePatienceS = float64(seed % 2 * 60)
	if m.machineFault == "receiving starts" {
		c.Tunables.MaxPushDispatches = 8
		c.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 0.5}}
	}
	s := newSim(c, seed, 3, false)
	submit := func(id uint64, kind uint8, tasks int, follows ...uint64) *userJob {
		j := &userJob{id: id, runTime: 300 * time.Second, spec: wire.Submission{ID: id, HasID: true, Job: &eventlog.Job{ID: id, Class: "class", Team: "team", Kind: kind, Priority: 1,
			Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "image", ImageGB: 0.3, Spot: true, EstimateS: 300, Follows: follows}}}
		s.jobs[id] = j
		s.submit(j, int(id), func() bool { return s.now < 60*time.Second })
		return j
	}
	array, gang, service, uncancelled := submit(1, jobs.Array, 6), submit(2, jobs.Gang, 3), submit(3, jobs.Service, 2), submit(5, jobs.Array, 4)
	if !s.runUntil(200*time.Second, func() bool {
		return s.runningTasks(1) == 6 && s.runningTasks(2) == 3 && s.runningTasks(3) == 2 && s.runningTasks(5) == 4
	}) {
		t.Fatal("the tasks did not all start")
	}
	follows := submit(4, jobs.Array, 2, 1)
	s.run(2 * time.Second)
	cancelled := []*userJob{array, gang, service, follows}
	s.pollAll(2 * time.Second)

	oldLeader := s.leader()
	var others []string
	for _, n := range s.nodes {
		if n != oldLeader {
			others = append(others, n.name)
		}
	}
	var busy []*worker
	for _, w := range s.machines() {
		if len(w.tasks) > 0 {
			busy = append(busy, w)
		}
	}
	partitionFrom := func(a, b string) { s.partitions = append(s.partitions, &partition{host: a, peer: b}) }
	for _, o := range others {
		if !m.peers {
			partitionFrom(oldLeader.name, o)
		}
		if !m.direct {
			for _, w := range busy {
				partitionFrom(w.name, o)
			}
		}
	}
	if m.machineFault == "being stopped by the old leader" {
		s.cancel(array, oldLeader.index)
		s.cancel(gang, oldLeader.index)
		s.run(time.Duration(seed%8) * 100 * time.Millisecond)
	}
	s.state.refused[oldLeader.name] = true
	switch m.machineFault {
	case "losing inbound packets":
		s.inboundLost[busy[0].name] = true
		s.after(90*time.Second, func() { delete(s.inboundLost, busy[0].name) })
	case "hung":
		busy[0].hung = true
		s.after(90*time.Second, func() { busy[0].hung = false })
	case "in a zone partitioned with the old leader":
		s.partitionZone(busy[0].zone, oldLeader.name, 0, true)
	}
	s.cloud.outage = !m.cloud
	if !s.runUntil(30*time.Second, func() bool { n := s.leader(); return n != nil && n != oldLeader }) {
		t.Fatal("no other controller leads")
	}
	requestedAt := s.now
	for _, j := range cancelled {
		if !j.cancelRequested {
			s.cancel(j, s.leader().index)
		}
	}
	if m.machineFault == "receiving starts" { // some of its starts are in flight
		submit(6, jobs.Array, 5)
	}
	if s.runUntil(40*time.Second, func() bool { return array.reportedCancelled }) {
		stats.Lock()
		stats.confirmedBeforeOutage++
		stats.confirmTimes = append(stats.confirmTimes, array.endReportedAt-requestedAt)
		stats.Unlock()
		s.run(m.outageDelay)
	}
	s.state.outage = true
	n := s.leader()
	switch {
	case n == nil:
	case m.controllerFault == "the new leader crashes":
		n.crash()
	case m.controllerFault == "the new leader restarts at once":
		n.crash()
		s.after(200*time.Millisecond, func() { n.start(false) })
	case m.controllerFault == "all crash and restart":
		for _, n := range s.nodes {
			n.crash()
			s.after(8*time.Second, func() { n.start(false) })
		}
	case m.controllerFault == "the new leader hands over":
		n.core.Stop(n.clock())
		n.drain()
	}
	s.run(70 * time.Second)
	s.state.recover()
	s.state.refused = map[string]bool{}
	s.cloud.outage = false
	for _, c := range slices.Clone(s.partitions) {
		s.heal(c.host)
	}
	for _, n := range s.nodes {
		if !n.up {
			n.start(false)
		}
	}
	if !s.runUntil(5*time.Minute, func() bool {
		return !slices.ContainsFunc(cancelled, func(j *userJob) bool { return !j.reportedCancelled })
	}) {
		t.Errorf("not all cancellations completed: %s, %s, %s, %s", array.state, gang.state, service.state, follows.state)
	}
	if !s.runUntil(10*time.Minute, func() bool { return uncancelled.reportedDone }) {
		t.Errorf("the job that was not cancelled is %s", uncancelled.state)
	}
	if len(s.check.violations) > 0 {
		t.Errorf("violated invariants: %v", s.check.violations)
	}
	stats.Lock()
	defer stats.Unlock()
	stats.runs++
	for _, j := range cancelled {
		if j.reportedCancelled {
			stats.confirmed++
		}
	}
	if uncancelled.reportedDone {
		stats.othersCompleted++
	}
}
