package scenario

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/wire"
)

// faultKind is a kind of fault that simulations inject.
type faultKind int

// Kinds of faults.
const (
	nodeCrash faultKind = iota
	allCrash
	stateOutage
	nodeRefused
	nodePartition
	machinePartition
	machineCrash
	machineHang
	delayedRequest
	nodeRestart
	allRestart
	machinesInboundLoss
	delayedDuplicates
	nodeIsolated
	machinesRestartEmpty
	delayedWrites
	slowState
	slowMachines
	repeatedHandover
	refusedThenOutage
	machinesOutboundLoss
	stateAnswersLost
	reportsReplayed
	concurrentCancellations
	cancellationsAtCompletion
	earlyBoots
	invalidRequests
	intensivePolling
	nodePause
	overload
	jobStream
	numFaultKinds
)

var faultNames = [numFaultKinds]string{
	"node crash",
	"crash of all nodes",
	"state service outage",
	"node refused by the state service",
	"node or zone partitioned",
	"machine partitioned",
	"machine crash",
	"machine hang",
	"delayed transaction or rental",
	"node restarts at once",
	"all nodes restart at once",
	"one-way partition to machines",
	"delayed duplicates",
	"node partitioned with its workers",
	"machines restart empty",
	"delayed writes out of order",
	"slow state service",
	"delayed answers and commands",
	"repeated leadership handover",
	"leader refused, then state service outage",
	"one-way partition from machines",
	"lost answers only",
	"reports replayed to the next leader",
	"concurrent cancellations",
	"cancellations at completion",
	"machines boot before the rental's answer",
	"invalid requests",
	"intensive polling",
	"node pause",
	"overload with slow links",
	"stream of one-task jobs",
}

// Random runs draw each fault from one of these lists, picked at random.
var (
	mildFaults = []faultKind{
		nodeCrash, nodeCrash, allCrash, stateOutage, nodeRefused,
		nodePartition, machinePartition, machineCrash, machineHang, delayedRequest,
	}
	harshFaults = []faultKind{
		nodeRestart, allRestart, machinesInboundLoss, delayedDuplicates, nodeIsolated,
		machinesRestartEmpty, delayedWrites, slowState, slowMachines, repeatedHandover,
	}
	specialFaults = []faultKind{
		machinesOutboundLoss, refusedThenOutage, stateAnswersLost, reportsReplayed, concurrentCancellations, cancellationsAtCompletion,
		earlyBoots, invalidRequests, intensivePolling, nodePause, overload, jobStream,
	}
)

// faultInjector injects faults into a simulation.
type faultInjector struct {
	sim            *sim
	random         *rand.Rand
	zonePartitions bool // a node partition may be a partition of a whole zone instead
	maxMachines    int  // largest number of machines that a fault affects, in runs with many machines
	logf           func(f string, a ...any)
}

// machines returns the machines that are up, sorted by name.
func (s *sim) machines() []*worker {
	var out []*worker
	for _, w := range s.cloud.machines {
		if w.up {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return strings.Compare(a.name, b.name) })
	return out
}

// pickMachines picks a random number of random machines, with repetition: at most the given number, or
// maxMachines if that is larger.
func (f *faultInjector) pickMachines(most int) []*worker {
	ms := f.sim.machines()
	var out []*worker
	for range min(len(ms), 1+f.random.IntN(max(most, f.maxMachines))) {
		out = append(out, ms[f.random.IntN(len(ms))])
	}
	return out
}

// restartAfter restarts a controller after a delay if it is not up then.
func (f *faultInjector) restartAfter(n *controller, after time.Duration) {
	f.sim.after(after, func() {
		if !n.up {
			n.start(n.oldVersion)
		}
	})
}

// shortDelay returns a random delay of 50 to 500 ms.
func (f *faultInjector) shortDelay() time.Duration {
	return time.Duration(50+f.random.IntN(450)) * time.Millisecond
}

// inject injects a fault, for the given time where the kind has a duration. nodeIndex selects
// the affected controller, where the kind affects one.
func (f *faultInjector) inject(kind faultKind, duration time.Duration, nodeIndex int) {
	s, r, n := f.sim, f.random, f.sim.nodes[nodeIndex]
	f.logf("%s for %v, node %d", faultNames[kind], duration, nodeIndex)
	switch kind {
	case nodeCrash:
		n.crash()
		f.restartAfter(n, 8*time.Second)
	case allCrash:
		for _, n := range s.nodes {
			n.crash()
			f.restartAfter(n, 8*time.Second)
		}
	case stateOutage:
		s.state.outage = true
		s.after(duration, s.state.recover)
	case nodeRefused:
		s.state.refused[n.name] = true
		s.after(duration, func() { delete(s.state.refused, n.name) })
	case nodePartition:
		if f.zonePartitions && r.IntN(2) == 0 {
			s.partitionZone([]string{"a", "b"}[r.IntN(2)], n.name, duration, r.IntN(2) == 0)
			return
		}
		s.partitions = append(s.partitions, &partition{host: n.name, holdPackets: r.IntN(2) == 0})
		s.after(duration, func() { s.heal(n.name) })
	case machinePartition:
		for _, m := range f.pickMachines(1) {
			s.partitions = append(s.partitions, &partition{host: m.name, holdPackets: r.IntN(2) == 0})
			s.after(duration, func() { s.heal(m.name) })
		}
	case machineCrash:
		for _, m := range f.pickMachines(1) {
			m.terminate()
		}
	case machineHang:
		for _, m := range f.pickMachines(1) {
			m.hung = true
			s.after(duration, func() { m.hung = false })
		}
	case delayedRequest:
		s.state.answersToLose += r.IntN(2)
		s.state.delayNext = time.Duration(r.IntN(6)) * time.Second
		if r.IntN(2) == 0 {
			s.cloud.delayNext = duration
		}
	case nodeRestart: // up to five times
		for i := range 1 + r.IntN(5) {
			s.after(time.Duration(i)*time.Duration(600+r.IntN(2000))*time.Millisecond, func() {
				if n.up {
					n.crash()
					f.restartAfter(n, f.shortDelay())
				}
			})
		}
	case allRestart:
		for _, n := range s.nodes {
			if n.up {
				n.crash()
				f.restartAfter(n, f.shortDelay())
			}
		}
	case machinesInboundLoss: // their own packets still arrive
		for _, m := range f.pickMachines(4) {
			s.inboundLost[m.name] = true
			s.after(duration, func() { delete(s.inboundLost, m.name) })
		}
	case delayedDuplicates:
		s.duplicateDelay = time.Duration(1+r.IntN(30)) * time.Second
		s.after(duration, func() { s.duplicateDelay = 0 })
	case nodeIsolated: // partitioned from the state service and its peers, but not from workers
		s.state.refused[n.name] = true
		for _, o := range s.nodes {
			if o != n {
				s.partitions = append(s.partitions, &partition{host: n.name, peer: o.name, holdPackets: r.IntN(2) == 0})
			}
		}
		s.after(duration, func() {
			delete(s.state.refused, n.name)
			s.heal(n.name)
		})
	case machinesRestartEmpty: // restarted at once under the same names, with all state lost
		for _, m := range f.pickMachines(4) {
			m.restartEmpty()
		}
	case delayedWrites:
		s.state.lossShare = 0.1 + 0.5*r.Float64()
		s.after(duration, func() { s.state.lossShare = 0 })
	case slowState:
		s.latency["state"] = time.Duration(200+r.IntN(3800)) * time.Millisecond
		s.after(duration, func() { delete(s.latency, "state") })
	case slowMachines:
		for _, m := range f.pickMachines(4) {
			s.latency[m.name] = time.Duration(500+r.IntN(7500)) * time.Millisecond
			s.after(duration, func() { delete(s.latency, m.name) })
		}
	case repeatedHandover:
		for i := range 2 + r.IntN(4) {
			s.after(time.Duration(i)*time.Duration(200+r.IntN(2500))*time.Millisecond, func() {
				if l := s.leader(); l != nil {
					l.core.Stop(l.clock())
					l.drain()
				}
			})
		}
	case refusedThenOutage: // the outage lasts longer than the cancellation deadline
		if l := s.leader(); l != nil {
			n = l
		}
		s.state.refused[n.name] = true
		s.after(time.Duration(2000+r.IntN(8000))*time.Millisecond, func() { s.state.outage = true })
		s.after(10*time.Second+duration+settingsSeconds(s.cfg.Deployment.Workers.CancelS), func() {
			delete(s.state.refused, n.name)
			s.state.recover()
		})
	case machinesOutboundLoss: // may last longer than a lease
		for _, m := range f.pickMachines(4) {
			s.reportsLost[m.name] = true
			s.after(duration, func() { delete(s.reportsLost, m.name) })
		}
	case stateAnswersLost:
		s.state.lossShare, s.state.onlyAnswerLost = 0.1+0.5*r.Float64(), true
		s.after(duration, func() { s.state.lossShare, s.state.onlyAnswerLost = 0, false })
	case reportsReplayed:
		s.replayShare = 0.05 + 0.2*r.Float64()
		s.after(duration, func() { s.replayShare = 0 })
	case concurrentCancellations: // within 200 ms, while some of their machines hang
		s.cancelRunning(r, 2+r.IntN(6), duration/2)
	case cancellationsAtCompletion:
		s.cancelAtEndShare = 0.3 + 0.7*r.Float64()
		s.after(duration, func() { s.cancelAtEndShare = 0 })
	case earlyBoots: // removes some machines; those rented instead boot before the cloud answers
		before := s.cloud.bootTime
		s.cloud.bootTime, s.cloud.answerDelay = 0, time.Duration(500+r.IntN(3000))*time.Millisecond
		for _, m := range f.pickMachines(4) {
			m.terminate()
			delete(s.cloud.machines, m.name)
		}
		s.after(duration, func() { s.cloud.bootTime, s.cloud.answerDelay = max(before, 5*time.Second), 0 })
	case invalidRequests:
		end := s.now + duration
		var next func()
		next = func() {
			if list := s.acceptedJobs(); len(list) > 0 {
				s.sendInvalidRequest(list[r.IntN(len(list))], r.IntN(len(s.nodes)))
			}
			if s.now < end {
				s.after(400*time.Millisecond, next)
			}
		}
		next()
	case intensivePolling:
		s.intensivePolling = true
		s.after(duration, func() { s.intensivePolling = false })
	case nodePause:
		s.pausedUntil[n.name] = s.now + duration/2
	case overload:
		for _, n := range s.nodes {
			s.latency[n.name] = time.Duration(50+r.IntN(250)) * time.Millisecond
			s.after(duration, func() { delete(s.latency, n.name) })
		}
		s.submitBurst(r, 12)
	case jobStream:
		s.submitStream(r, duration)
	}
}

// submitExtra submits a further job of the class and team that random runs use.
func (s *sim) submitExtra(run time.Duration, job eventlog.Job) *userJob {
	job.ID = uint64(len(s.jobs) + 1) // the jobs of a run are numbered consecutively
	job.Class, job.Team, job.MemoryGB, job.Image, job.ImageGB, job.Spot, job.EstimateS = "class", "team", 1, "image", 0.3, true, run.Seconds()
	j := &userJob{id: job.ID, runTime: run, spec: wire.Submission{ID: job.ID, HasID: true, Job: &job}}
	s.jobs[j.id] = j
	first := s.now
	s.submit(j, int(j.id), func() bool { return s.now-first < time.Minute })
	return j
}

// submitBurst submits count jobs at once, at several priorities, each with many tasks.
func (s *sim) submitBurst(r *rand.Rand, count int) {
	for i := range count {
		s.submitExtra(time.Duration(2000+r.IntN(9000))*time.Millisecond, eventlog.Job{
			Tasks: 6 + r.IntN(10), CPUs: float64(1 + i%2), Priority: uint8(i % 4),
		})
	}
	s.cover("more work than room")
}

// submitStream submits four one-task jobs a second and cancels a quarter of them.
func (s *sim) submitStream(r *rand.Rand, duration time.Duration) {
	for i := range int(duration / (250 * time.Millisecond)) {
		s.after(time.Duration(i)*250*time.Millisecond, func() {
			j := s.submitExtra(time.Duration(500+r.IntN(4000))*time.Millisecond, eventlog.Job{Tasks: 1, CPUs: 1, Priority: uint8(i % 4)})
			if i%4 == 1 {
				s.after(time.Duration(200+r.IntN(2500))*time.Millisecond, func() {
					if j.accepted {
						s.cover("a one-task job cancelled")
						s.cancel(j, i)
					}
				})
			}
		})
	}
}

// acceptedJobs returns the jobs whose acceptance has reached their users, sorted by id.
func (s *sim) acceptedJobs() []*userJob {
	var out []*userJob
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if s.jobs[id].accepted {
			out = append(out, s.jobs[id])
		}
	}
	return out
}

// cancelRunning cancels up to count running jobs within 200 ms, those with the longest tasks, while up to
// eight of their machines hang.
func (s *sim) cancelRunning(r *rand.Rand, count int, hang time.Duration) {
	var candidates []*userJob
	for _, j := range s.acceptedJobs() {
		if !j.cancelRequested && !j.reportedDone && s.runningTasks(j.id) > 0 {
			candidates = append(candidates, j)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *userJob) int { return int(b.runTime - a.runTime) })
	candidates = candidates[:min(count, len(candidates))]
	if len(candidates) > 1 {
		s.cover("running jobs cancelled concurrently")
	}
	hung := 0
	for _, j := range candidates {
		s.after(time.Duration(r.IntN(200))*time.Millisecond, func() { s.cancel(j, r.IntN(len(s.nodes))) })
		for _, w := range s.machines() {
			if hung < 8 && hang > 0 && !w.hung && r.IntN(2) == 0 && slices.ContainsFunc(w.taskList(), func(t task) bool { return t.job == j.id }) {
				hung++
				s.cover("machine of a cancelled job hangs")
				w.hung = true
				s.after(hang, func() { w.hung = false })
			}
		}
	}
}

// pollAll periodically queries all accepted jobs from now on, at the controllers in turn.
func (s *sim) pollAll(every time.Duration) {
	at := 0
	var poll func()
	poll = func() {
		at++
		for _, j := range s.acceptedJobs() {
			s.poll(j, at+int(j.id))
		}
		s.after(every, poll)
	}
	s.after(0, poll)
}

// awaitQuiescence waits for quiescence: every accepted job is done or cancelled, as reported to its
// user. It fails the test for jobs that do not end within the limit and for violated invariants.
func (s *sim) awaitQuiescence(t *testing.T, limit time.Duration) {
	t.Helper()
	unfinished := func(j *userJob) bool { return j.accepted && !j.reportedDone && !j.reportedCancelled }
	if !s.runUntil(limit, func() bool {
		for _, j := range s.jobs {
			if unfinished(j) {
				return false
			}
		}
		return true
	}) {
		for _, j := range s.jobs {
			if unfinished(j) {
				t.Errorf("job %d did not end: %+v, %s", j.id, *j.spec.Job, j.state)
			}
		}
	}
	if len(s.check.violations) > 0 {
		t.Errorf("violated invariants: %s", strings.Join(s.check.violations, "\n"))
	}
}
