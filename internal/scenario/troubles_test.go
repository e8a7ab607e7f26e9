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

// trouble is a kind of fault that simulations inject.
type trouble int

// Kinds of faults.
const (
	nodeCrash trouble = iota
	allCrash
	outage
	nodeRefused
	nodeCut
	machineCut
	machineDies
	machineHangs
	lateOnce
	nodeBack
	allBack
	machinesDeaf
	lateCopies
	nodeApart
	machinesReborn
	lateWrites
	slowState
	heldUp
	handOvers
	refusedThenAll
	machinesMute
	answersLost
	reportsKept
	cancelNow
	cancelAtEnd
	quickBoots
	oddRequests
	closeLooks
	nodeFreezes
	moreWork
	oneTaskJobs
	kindsOfTrouble
)

var troubleNames = [kindsOfTrouble]string{
	"a node crashes",
	"all crash",
	"outage",
	"a node refused",
	"a node or zone cut",
	"a machine cut",
	"a machine dies",
	"a machine hangs",
	"a late transaction or rental",
	"a node back at once",
	"all back at once",
	"deaf machines",
	"late copies",
	"a node apart with its workers",
	"machines begin anew",
	"late writes, out of order",
	"a slow state service",
	"answers and commands held up",
	"leaders hand over again and again",
	"the leader refused, then all",
	"machines that reach nobody",
	"only answers lost",
	"reports kept for the next leader",
	"jobs cancelled together",
	"jobs cancelled at their end",
	"machines up at once",
	"odd requests",
	"close looks",
	"a node stands still",
	"more work than room over slow links",
	"one-task jobs four a second",
}

// Faults of a random run, and those that replace some of them in harsh runs.
var (
	mildTroubles = []trouble{
		nodeCrash, nodeCrash, allCrash, outage, nodeRefused,
		nodeCut, machineCut, machineDies, machineHangs, lateOnce,
	}
	harshTroubles = []trouble{
		nodeBack, allBack, machinesDeaf, lateCopies, nodeApart,
		machinesReborn, lateWrites, slowState, heldUp, handOvers,
	}
	laterTroubles = []trouble{
		machinesMute, refusedThenAll, answersLost, reportsKept, cancelNow, cancelAtEnd,
		quickBoots, oddRequests, closeLooks, nodeFreezes, moreWork, oneTaskJobs,
	}
)

// troubles injects faults into a simulation.
type troubles struct {
	s     *sim
	r     *rand.Rand
	zones bool // a node partition may be a partition of a whole zone instead
	many  int  // largest number of machines that a fault affects, in runs with many machines
	say   func(f string, a ...any)
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

// some picks at random up to so many machines, with repetition; many may raise the bound.
func (tr *troubles) some(most int) []*worker {
	ms := tr.s.machines()
	var out []*worker
	for range min(len(ms), 1+tr.r.IntN(max(most, tr.many))) {
		out = append(out, ms[tr.r.IntN(len(ms))])
	}
	return out
}

// back restarts a controller after a delay if it is not up then.
func (tr *troubles) back(n *controller, after time.Duration) {
	tr.s.after(after, func() {
		if !n.up {
			n.start(n.old)
		}
	})
}

// soon returns a random delay of 50 to 500 ms.
func (tr *troubles) soon() time.Duration { return time.Duration(50+tr.r.IntN(450)) * time.Millisecond }

// begin injects a fault, for the given length where the kind has a duration. who is the index
// of the controller that is affected, where the kind affects one.
func (tr *troubles) begin(kind trouble, length time.Duration, who int) {
	s, r, n := tr.s, tr.r, tr.s.nodes[who]
	tr.say("%s for %v, node %d", troubleNames[kind], length, who)
	switch kind {
	case nodeCrash:
		n.crash()
		tr.back(n, 8*time.Second)
	case allCrash:
		for _, n := range s.nodes {
			n.crash()
			tr.back(n, 8*time.Second)
		}
	case outage:
		s.state.outage = true
		s.after(length, s.state.recover)
	case nodeRefused:
		s.state.refuse[n.name] = true
		s.after(length, func() { delete(s.state.refuse, n.name) })
	case nodeCut:
		if tr.zones && r.IntN(2) == 0 {
			s.cutZone([]string{"a", "b"}[r.IntN(2)], n.name, length, r.IntN(2) == 0)
			return
		}
		s.cuts = append(s.cuts, &cut{host: n.name, hold: r.IntN(2) == 0})
		s.after(length, func() { s.heal(n.name) })
	case machineCut:
		for _, m := range tr.some(1) {
			s.cuts = append(s.cuts, &cut{host: m.name, hold: r.IntN(2) == 0})
			s.after(length, func() { s.heal(m.name) })
		}
	case machineDies:
		for _, m := range tr.some(1) {
			m.vanish()
		}
	case machineHangs:
		for _, m := range tr.some(1) {
			m.hung = true
			s.after(length, func() { m.hung = false })
		}
	case lateOnce:
		s.state.loseOut += r.IntN(2)
		s.state.delayed = time.Duration(r.IntN(6)) * time.Second
		if r.IntN(2) == 0 {
			s.cloud.late = length
		}
	case nodeBack: // up to five times
		for i := range 1 + r.IntN(5) {
			s.after(time.Duration(i)*time.Duration(600+r.IntN(2000))*time.Millisecond, func() {
				if n.up {
					n.crash()
					tr.back(n, tr.soon())
				}
			})
		}
	case allBack:
		for _, n := range s.nodes {
			if n.up {
				n.crash()
				tr.back(n, tr.soon())
			}
		}
	case machinesDeaf: // their own packets still arrive
		for _, m := range tr.some(4) {
			s.deaf[m.name] = true
			s.after(length, func() { delete(s.deaf, m.name) })
		}
	case lateCopies:
		s.again = time.Duration(1+r.IntN(30)) * time.Second
		s.after(length, func() { s.again = 0 })
	case nodeApart: // partitioned from the state service and its peers, but not from workers
		s.state.refuse[n.name] = true
		for _, o := range s.nodes {
			if o != n {
				s.cuts = append(s.cuts, &cut{host: n.name, with: o.name, hold: r.IntN(2) == 0})
			}
		}
		s.after(length, func() {
			delete(s.state.refuse, n.name)
			s.heal(n.name)
		})
	case machinesReborn: // restarted at once under the same names, with all state lost
		for _, m := range tr.some(4) {
			m.reborn()
		}
	case lateWrites:
		s.state.lateShare = 0.1 + 0.5*r.Float64()
		s.after(length, func() { s.state.lateShare = 0 })
	case slowState:
		s.slow["state"] = time.Duration(200+r.IntN(3800)) * time.Millisecond
		s.after(length, func() { delete(s.slow, "state") })
	case heldUp:
		for _, m := range tr.some(4) {
			s.slow[m.name] = time.Duration(500+r.IntN(7500)) * time.Millisecond
			s.after(length, func() { delete(s.slow, m.name) })
		}
	case handOvers:
		for i := range 2 + r.IntN(4) {
			s.after(time.Duration(i)*time.Duration(200+r.IntN(2500))*time.Millisecond, func() {
				if l := s.leader(); l != nil {
					l.core.Stop(l.clock())
					l.drain()
				}
			})
		}
	case refusedThenAll: // the outage lasts longer than the cancellation deadline
		if l := s.leader(); l != nil {
			n = l
		}
		s.state.refuse[n.name] = true
		s.after(time.Duration(2000+r.IntN(8000))*time.Millisecond, func() { s.state.outage = true })
		s.after(10*time.Second+length+settingsSeconds(s.cfg.Deployment.Workers.CancelS), func() {
			delete(s.state.refuse, n.name)
			s.state.recover()
		})
	case machinesMute: // may last longer than a lease
		for _, m := range tr.some(4) {
			s.mute[m.name] = true
			s.after(length, func() { delete(s.mute, m.name) })
		}
	case answersLost:
		s.state.lateShare, s.state.atOnce = 0.1+0.5*r.Float64(), true
		s.after(length, func() { s.state.lateShare, s.state.atOnce = 0, false })
	case reportsKept:
		s.keep = 0.05 + 0.2*r.Float64()
		s.after(length, func() { s.keep = 0 })
	case cancelNow: // within 200 ms, while some of their machines hang
		s.cancelNow(r, 2+r.IntN(6), length/2)
	case cancelAtEnd:
		s.atEnd = 0.3 + 0.7*r.Float64()
		s.after(length, func() { s.atEnd = 0 })
	case quickBoots: // some machines are removed so that others are rented, which boot before the cloud answers
		before := s.cloud.boot
		s.cloud.boot, s.cloud.answer = 0, time.Duration(500+r.IntN(3000))*time.Millisecond
		for _, m := range tr.some(4) {
			m.vanish()
			delete(s.cloud.machines, m.name)
		}
		s.after(length, func() { s.cloud.boot, s.cloud.answer = max(before, 5*time.Second), 0 })
	case oddRequests:
		end := s.now + length
		var next func()
		next = func() {
			if list := s.acceptedJobs(); len(list) > 0 {
				s.odd(list[r.IntN(len(list))], r.IntN(len(s.nodes)))
			}
			if s.now < end {
				s.after(400*time.Millisecond, next)
			}
		}
		next()
	case closeLooks:
		s.looks = true
		s.after(length, func() { s.looks = false })
	case nodeFreezes:
		s.frozen[n.name] = s.now + length/2
	case moreWork:
		for _, n := range s.nodes {
			s.slow[n.name] = time.Duration(50+r.IntN(250)) * time.Millisecond
			s.after(length, func() { delete(s.slow, n.name) })
		}
		s.burst(r, 12)
	case oneTaskJobs:
		s.stream(r, length)
	}
}

// extra submits a further job of the class and team that random runs use.
func (s *sim) extra(run time.Duration, job eventlog.Job) *userJob {
	job.ID = uint64(len(s.jobs) + 1) // the jobs of a run are numbered consecutively
	job.Class, job.Team, job.MemoryGB, job.Image, job.ImageGB, job.Spot, job.EstimateS = "class", "team", 1, "image", 0.3, true, run.Seconds()
	j := &userJob{id: job.ID, run: run, spec: wire.Submission{ID: job.ID, HasID: true, Job: &job}}
	s.jobs[j.id] = j
	first := s.now
	s.submit(j, int(j.id), func() bool { return s.now-first < time.Minute })
	return j
}

// burst submits so many jobs at once, at several priorities, each with many tasks.
func (s *sim) burst(r *rand.Rand, count int) {
	for i := range count {
		s.extra(time.Duration(2000+r.IntN(9000))*time.Millisecond, eventlog.Job{Tasks: 6 + r.IntN(10), CPUs: float64(1 + i%2), Priority: uint8(i % 4)})
	}
	s.saw("more work than room")
}

// stream submits four one-task jobs a second and cancels a quarter of them.
func (s *sim) stream(r *rand.Rand, length time.Duration) {
	for i := range int(length / (250 * time.Millisecond)) {
		s.after(time.Duration(i)*250*time.Millisecond, func() {
			j := s.extra(time.Duration(500+r.IntN(4000))*time.Millisecond, eventlog.Job{Tasks: 1, CPUs: 1, Priority: uint8(i % 4)})
			if i%4 == 1 {
				s.after(time.Duration(200+r.IntN(2500))*time.Millisecond, func() {
					if j.accepted {
						s.saw("a one-task job cancelled")
						s.abort(j, i)
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

// cancelNow cancels up to so many running jobs within 200 ms, those with the longest tasks
// first, while up to eight of their machines start to hang.
func (s *sim) cancelNow(r *rand.Rand, count int, hang time.Duration) {
	var list []*userJob
	for _, j := range s.acceptedJobs() {
		if !j.asked && !j.toldDone && s.running(j.id) > 0 {
			list = append(list, j)
		}
	}
	slices.SortStableFunc(list, func(a, b *userJob) int { return int(b.run - a.run) })
	list = list[:min(count, len(list))]
	if len(list) > 1 {
		s.saw("several jobs that run cancelled together")
	}
	hung := 0
	for _, j := range list {
		s.after(time.Duration(r.IntN(200))*time.Millisecond, func() { s.abort(j, r.IntN(len(s.nodes))) })
		for _, w := range s.machines() {
			if hung < 8 && hang > 0 && !w.hung && r.IntN(2) == 0 && slices.ContainsFunc(w.on(), func(t task) bool { return t.job == j.id }) {
				hung++
				s.saw("a machine of a job that is cancelled hangs")
				w.hung = true
				s.after(hang, func() { w.hung = false })
			}
		}
	}
}

// askAll periodically queries all accepted jobs from now on, at the controllers in turn.
func (s *sim) askAll(every time.Duration) {
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

// allEnd waits for quiescence: every accepted job is done or cancelled, as reported to its
// user. It fails the test for jobs that do not end within the limit and for violated invariants.
func (s *sim) allEnd(t *testing.T, limit time.Duration) {
	t.Helper()
	open := func(j *userJob) bool { return j.accepted && !j.toldDone && !j.gone }
	if !s.until(limit, func() bool {
		for _, j := range s.jobs {
			if open(j) {
				return false
			}
		}
		return true
	}) {
		for _, j := range s.jobs {
			if open(j) {
				t.Errorf("job %d did not end: %+v, %s", j.id, *j.spec.Job, j.state)
			}
		}
	}
	if len(s.check.broken) > 0 {
		t.Errorf("violated invariants: %s", strings.Join(s.check.broken, "\n"))
	}
}
