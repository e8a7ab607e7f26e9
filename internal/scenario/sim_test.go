package scenario

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/node"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// event is a callback that is due at a simulated time; seq orders events with equal times.
type event struct {
	at  time.Duration
	seq int
	f   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// cut is a network partition between a host and others. With hold, packets are delivered when
// it heals; otherwise they are lost.
type cut struct {
	host   string
	with   string          // the other host; empty: all hosts
	inside map[string]bool // hosts on the same side of the partition, which still reach one another
	hold   bool
	held   []func()
}

// sim is a discrete-event simulation of the platform.
type sim struct {
	now   time.Duration
	q     queue
	seq   int
	rng   *rand.Rand
	cfg   settings.Settings
	nodes []*controller
	state *stateService
	cloud *cloud
	check *checker
	cuts  []*cut
	cutAt map[string][]*cut // index of cuts by host, rebuilt when the number of cuts differs from cutN
	cutN  int
	slow  map[string]time.Duration // added latency of packets, by receiving host
	jobs  map[uint64]*userJob
	deaf  map[string]bool // hosts that all packets to are dropped, while those from them arrive
	again time.Duration   // largest delay of duplicated reports and direct commands; 0: no duplicates
	mute  map[string]bool // machines whose reports are dropped, while direct commands reach them

	frozen    map[string]time.Duration // paused controllers, and until when; their clocks keep running
	keep      float64                  // share of the reports that are copied, to be replayed to the next leader
	kept      []*workers.Report
	preempted func(j *userJob, w *worker) // called when a running task is stopped; may be nil
	moment    func(what string)           // called around each step from a rental to a start; may be nil
	atEnd     float64                     // share of the jobs that are cancelled as their last task completes
	looks     bool                        // users poll and resubmit at all controllers after new answers
	strange   uint64                      // id of the latest invalid new submission; counts down

	began time.Duration // time of day at simulated time 0

	moved    []time.Duration        // when machines were redirected, or failed over, to another controller
	launches int                    // number of start commands sent directly to workers
	ends     map[task]time.Duration // when the latest run of a task is due to complete
	seen     map[string]int         // coverage: how often each effect of a fault occurred, by description
	scale    *scaleCounts           // nil except in runs that measure scale

	configs   configPlay
	poolUnits map[string]int      // most units that may be in use, by pool
	resizes   map[string][]func() // queued resize requests by pool, the one in progress first
}

// newSim returns a simulation with count controllers; with old they start on the version in
// production.
func newSim(cfg settings.Settings, seed uint64, count int, old bool) *sim {
	return newSimAt(0, cfg, seed, count, old)
}

// newSimAt is newSim with a time of day at which the simulation begins.
func newSimAt(began time.Duration, cfg settings.Settings, seed uint64, count int, old bool) *sim {
	s := &sim{
		began: began, rng: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, jobs: map[uint64]*userJob{},
		deaf: map[string]bool{}, mute: map[string]bool{}, frozen: map[string]time.Duration{},
		strange: 999_000, slow: map[string]time.Duration{}, ends: map[task]time.Duration{},
	}
	s.state = &stateService{s: s, items: map[string]item{}, holds: map[uint64]*hold{}, refuse: map[string]bool{}}
	s.cloud = &cloud{
		s: s, answers: map[string][]string{}, machines: map[string]*worker{}, told: map[string]bool{},
		capacity: 40, boot: 5 * time.Second,
	}
	s.check = &checker{s: s, on: map[task]map[string]bool{}}
	for i := range count {
		c := cfg
		c.Node = fmt.Sprintf("n%d", i)
		c.Peers = nil
		for k := range count {
			if k != i {
				c.Peers = append(c.Peers, settings.Peer{Node: fmt.Sprintf("n%d", k), Zone: []string{"a", "a", "b"}[k%3]})
			}
		}
		s.nodes = append(s.nodes, &controller{s: s, index: i, name: c.Node, cfg: &c})
	}
	for _, n := range s.nodes {
		n.start(old)
	}
	var look func()
	look = func() {
		s.check.stillWaiting()
		s.after(time.Second, look)
	}
	s.after(0, look)
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.q, event{s.now + max(d, 0), s.seq, f})
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.q) > 0 && s.q[0].at <= end {
		e := heap.Pop(&s.q).(event)
		s.now = e.at
		e.f()
	}
	s.now = end
}

// until runs the simulation until the condition holds or the limit is reached, and reports
// whether the condition holds.
func (s *sim) until(limit time.Duration, done func() bool) bool {
	end := s.now + limit
	for s.now < end && !done() {
		s.run(100 * time.Millisecond)
	}
	return done()
}

// between returns a partition that separates two hosts, or nil.
func (s *sim) between(a, b string) *cut {
	if len(s.cuts) != s.cutN { // half of a large fleet may be cut off, so the cuts are indexed by host
		s.cutAt, s.cutN = map[string][]*cut{}, len(s.cuts)
		for _, c := range s.cuts {
			s.cutAt[c.host] = append(s.cutAt[c.host], c)
		}
	}
	for _, x := range [2][2]string{{a, b}, {b, a}} {
		for _, c := range s.cutAt[x[0]] {
			if (c.with == "" || c.with == x[1]) && !c.inside[x[1]] {
				return c
			}
		}
	}
	return nil
}

// comes calls the hook, if there is one, before or after a step.
func (s *sim) comes(what string) {
	if s.moment != nil {
		s.moment(what)
	}
}

// saw counts an effect of a fault that occurred.
func (s *sim) saw(what string) {
	if s.seen == nil {
		s.seen = map[string]int{}
	}
	s.seen[what]++
}

// copies duplicates one message in four, with a random delay, while duplication is on.
func (s *sim) copies(f func()) {
	if s.again > 0 && s.rng.IntN(4) == 0 {
		s.after(time.Duration(s.rng.Int64N(int64(s.again))), f)
	}
}

// deliverKept replays the copied reports to every controller, both as a new leader's term
// starts and after the leader has acted.
func (s *sim) deliverKept() {
	list := s.kept
	s.kept = nil
	for _, r := range list {
		for _, n := range s.nodes {
			for _, after := range []time.Duration{0, 5, 20, 1000, 5000} {
				s.after(after*time.Millisecond+time.Duration(s.rng.IntN(4000))*time.Microsecond, func() {
					if !n.up || s.stands(n.name) > 0 {
						return
					}
					if leads, _ := n.core.Leading(); leads && n.core.Epoch() > r.Token>>cluster.TokenBits {
						s.saw("replayed report reached the next leader")
						if w := s.cloud.machines[r.Machine]; w == nil {
							s.saw("replayed report of a deleted machine")
						} else if r.Session < w.session {
							s.saw("replayed report of an earlier session")
						}
					}
					n.core.HandleHeartbeat(n.clock(), 0, r) // the answer is discarded
					n.drain()
				})
			}
		}
	}
}

// send transmits a packet between two hosts; f runs when it arrives.
func (s *sim) send(from, to string, f func()) {
	if s.deaf[to] {
		s.saw("packet to a machine lost in a one-way partition")
		return
	}
	if c := s.between(from, to); c != nil {
		if c.hold {
			c.held = append(c.held, f)
		}
		return
	}
	s.after(s.stands(to)+time.Millisecond+s.slow[to]+time.Duration(s.rng.IntN(3000))*time.Microsecond, f)
}

// stands returns for how long a host remains paused.
func (s *sim) stands(host string) time.Duration { return max(0, s.frozen[host]-s.now) }

// cutZone partitions a zone: its machines and one controller reach only one another, for the
// given length, or until healed if it is 0.
func (s *sim) cutZone(zone, node string, length time.Duration, hold bool) {
	inside := map[string]bool{node: true}
	for n, w := range s.cloud.machines {
		if w.zone == zone {
			inside[n] = true
		}
	}
	for h := range inside {
		s.cuts = append(s.cuts, &cut{host: h, inside: inside, hold: hold})
		if length > 0 {
			s.after(length, func() { s.heal(h) })
		}
	}
}

// heal ends the partitions of a host and delivers the packets that were held.
func (s *sim) heal(host string) {
	s.cutN = -1
	s.cuts = slices.DeleteFunc(s.cuts, func(c *cut) bool {
		if c.host != host {
			return false
		}
		for _, f := range c.held {
			s.after(time.Millisecond, f)
		}
		return true
	})
}

// call makes a request with a deadline. serve runs at the server and passes its result to
// reply; done receives the result, or ok false at the deadline.
func call[T any](s *sim, from, to string, limit time.Duration, serve func(reply func(T)), done func(res T, ok bool)) {
	over := false
	s.send(from, to, func() {
		serve(func(res T) {
			s.send(to, from, func() {
				if !over {
					over = true
					done(res, true)
				}
			})
		})
	})
	var late func()
	late = func() {
		switch still := s.stands(from); {
		case over:
		case still > 0: // a paused caller times out when it resumes; an answer as late is dropped
			s.after(still, late)
		default:
			over = true
			var none T
			done(none, false)
		}
	}
	s.after(limit, late)
}

// controller runs a controller's core in the simulation.
type controller struct {
	s       *sim
	index   int
	name    string
	cfg     *settings.Settings
	core    *node.Core
	life    int // number of process starts and crashes; inputs for an earlier one are dropped
	began   time.Duration
	up      bool
	old     bool // runs the version in production, see frozen_test.go
	asker   effects.RequestID
	users   map[effects.RequestID]func(effects.Answer)
	reports map[effects.RequestID]func(effects.HeartbeatAnswer)
	notes   []string
}

func (c *controller) start(old bool) {
	c.life++
	c.up = true
	c.old = old
	c.began = c.s.now
	cfg := *c.cfg
	if old {
		cfg.Deployment.State.Next = nil // not supported by that version
		cfg.Tunables.NoteReturns, cfg.Tunables.NoteTasks, cfg.Tunables.TakeoversKept, cfg.Tunables.RunTimesKinds = 0, 0, 0, 0
		cfg.Tunables.ColdListen, cfg.Tunables.ColdKept, cfg.Tunables.ListFirst, cfg.Tunables.AdaptCalls, cfg.Tunables.ZonePatienceS, cfg.Tunables.RebalanceMoves = 0, 0, 0, 0, 0, 0
		cfg.Tunables.Pools, cfg.Tunables.PushDispatches, cfg.Tunables.ProbeSilent, cfg.Tunables.ConfigHistory = nil, 0, 0, 0
	}
	c.core = node.NewCore(&cfg, (c.s.began + c.s.now).Milliseconds())
	c.users = map[effects.RequestID]func(effects.Answer){}
	c.reports = map[effects.RequestID]func(effects.HeartbeatAnswer){}
	life := c.life
	var tick func()
	tick = func() {
		if c.life != life || !c.up {
			return
		}
		if still := c.s.stands(c.name); still > 0 {
			c.s.after(still, tick)
			return
		}
		c.s.scale.time("ticks", func() { c.core.Tick(c.clock()) })
		c.drain()
		c.s.after(50*time.Millisecond, tick)
	}
	c.s.after(time.Duration(c.index)*7*time.Millisecond, tick)
}

// replace upgrades a controller from the version in production to the current one at the given
// time, with 8 seconds of downtime.
func (s *sim) replace(n *controller, at time.Duration) {
	s.after(at, func() {
		n.crash()
		n.old = false
		s.after(8*time.Second, func() {
			if !n.up {
				n.start(n.old)
			}
		})
	})
}

// entries decodes a log segment as this controller's version does.
func (c *controller) entries(value json.RawMessage) []eventlog.Entry {
	if c.old {
		value = asProductionReads(value)
	}
	list, err := eventlog.Decode(value)
	if err != nil {
		panic(err)
	}
	return list
}

func (c *controller) crash() { c.up = false; c.life++ }

// clock returns the node's monotonic clock. It starts with the process, and the clocks of
// nodes drift apart at the largest rate that is allowed.
func (c *controller) clock() time.Duration {
	d := c.s.now - c.began
	return d + time.Duration(float64(d)*0.0005*float64(c.index%2))
}

// into wraps an input to the core: it is dropped if the process has ended since, and delayed
// while the controller is paused.
func (c *controller) into(f func(now time.Duration)) func() {
	life := c.life
	var run func()
	run = func() {
		if c.life != life || !c.up {
			return
		}
		if still := c.s.stands(c.name); still > 0 {
			c.s.after(still, run)
			return
		}
		c.s.scale.time("results", func() { f(c.clock()) })
		c.drain()
	}
	return run
}

func (c *controller) drain() {
	for _, e := range c.core.TakeEffects() {
		c.do(e)
	}
}

const wait = 1200 * time.Millisecond

func (c *controller) do(e effects.Effect) {
	s := c.s
	s.scale.effect(e)
	switch e := e.(type) {
	case effects.Reply:
		if f := c.users[e.To]; f != nil {
			delete(c.users, e.To)
			f(e.Answer)
		}
	case effects.ReplyHeartbeat:
		if f := c.reports[e.To]; f != nil {
			delete(c.reports, e.To)
			f(e.Answer)
		}
	case effects.RelayHeartbeat:
		life := c.life
		if o := s.node(e.Leader); o != nil {
			call(s, c.name, o.name, wait, func(reply func(effects.HeartbeatAnswer)) {
				if !o.up {
					return
				}
				o.asker++
				o.reports[o.asker] = reply
				s.scale.time("reports of peers", func() { o.core.HandleRelayedHeartbeat(o.clock(), o.asker, between(c, o, e.Report)) })
				o.drain()
			}, func(a effects.HeartbeatAnswer, ok bool) {
				a = answered(c, o, a)
				if c.life == life {
					c.into(func(now time.Duration) { c.core.RelayAnswered(now, e.To, a, ok) })()
				}
			})
		}
	case effects.Heartbeat:
		if o := s.node(e.Peer); o != nil {
			call(s, c.name, o.name, wait, func(reply func(uint64)) {
				if o.up {
					o.core.HeartbeatReceived(o.clock(), c.name, e.Epoch, e.Fleet)
					reply(s.tellConfig(c, o, e.Config))
					o.drain()
				}
			}, func(revision uint64, ok bool) {
				if ok {
					c.into(func(now time.Duration) {
						c.core.HeartbeatAnswered(now, o.name)
						if e.Config != nil && !o.old {
							c.core.ConfigAcknowledged(now, e.Epoch, o.name, revision)
						}
					})()
				}
			})
		}
	case effects.ProbePeer:
		if o := s.node(e.Peer); o != nil {
			call(s, c.name, o.name, wait, func(reply func(bool)) {
				if o.up {
					reply(true)
				}
			}, func(_, ok bool) {
				c.into(func(now time.Duration) { c.core.PeerReached(now, o.name, ok) })()
			})
		}
	case effects.AskPreviousLeader:
		if o := s.node(e.Peer); o != nil {
			life := c.life
			call(s, c.name, o.name, wait, func(reply func(leadership.LeaderRecord)) {
				if o.up && !o.old {
					led, now := o.core.PreviousLeader(e.Epoch), o.clock()
					led.Since, led.Until = led.Since-now, led.Until-now // relative, because clocks differ
					reply(led)
				}
			}, func(led leadership.LeaderRecord, ok bool) {
				if c.life == life {
					c.into(func(now time.Duration) {
						led.Since, led.Until = now+led.Since, now+led.Until
						c.core.PreviousLeaderReported(now, e.Epoch, o.name, led, ok)
					})()
				}
			})
		}
	case effects.LeadershipRequest:
		s.state.lead(c, e.Request)
	case effects.LoadLog:
		s.state.load(c, e.Epoch)
	case effects.Commit:
		s.state.commit(c, e.Txn)
	case effects.ReadBack:
		s.state.recheck(c, e.Key)
	case effects.ReadValues:
		s.state.values(c, e.Component, e.AfterKey)
	case effects.SendStops:
		for _, cmd := range e.Stops {
			if cmd.Op != workers.Stop {
				s.check.fail("starts", "a direct command other than a stop")
			}
		}
		if w := s.cloud.machines[e.Address]; w != nil {
			s.send(c.name, w.name, func() { w.direct(e.Token, e.Session, e.Stops, func(*workers.Report) {}) })
		}
	case effects.ProbeWorker:
		if w := s.cloud.machines[e.Address]; w != nil {
			life, epoch := c.life, c.core.Epoch()
			call(s, c.name, w.name, time.Second, func(reply func(bool)) {
				if w.up && !w.hung {
					reply(true)
				}
			}, func(_, ok bool) {
				if c.life == life {
					c.into(func(now time.Duration) { c.core.WorkerProbed(now, epoch, e.Machine, ok) })()
				}
			})
		}
	case effects.Dispatch:
		life := c.life
		epoch := c.core.Epoch()
		if w := s.cloud.machines[e.Address]; w != nil {
			s.launches++
			begun := w.life
			arrives := func() {
				if w.life != begun && w.up && !w.hung && e.Session == w.session && e.Token >= w.token {
					s.saw("start executed by a later incarnation of the machine")
				}
			}
			s.copies(func() { w.direct(e.Token, e.Session, e.Starts, func(*workers.Report) {}) })
			call(s, c.name, w.name, time.Second, func(reply func(*workers.Report)) {
				arrives()
				w.direct(e.Token, e.Session, e.Starts, reply)
			}, func(r *workers.Report, _ bool) {
				if c.life == life {
					c.into(func(now time.Duration) { c.core.Dispatched(now, epoch, e.Machine, e.Token, e.Starts, r) })()
				}
			})
		}
	case effects.ReadSegments:
		s.state.clean(c, e.First, e.First+e.Count)
	case effects.RentMachines:
		s.cloud.rent(c, e.Rental)
	case effects.DeleteMachines:
		s.cloud.delete(c, e.Machines)
	case effects.ListMachines:
		s.cloud.list(c)
	case effects.ListMachineTypes:
		s.cloud.types(c)
	case effects.LogMessage:
		c.notes = append(c.notes, e.Message)
	}
}

// answer is an answer to a user, with the time at which the leader created it.
type answer struct {
	effects.Answer
	made time.Duration
}

// ask passes a user's request to the core of the leader, forwarding it once if this node does
// not lead.
func (c *controller) ask(hop bool, f func(c *controller, now time.Duration, to effects.RequestID), done func(answer)) {
	unavailable := answer{Answer: effects.Answer{Status: 503, RetryAfter: 1}}
	if !c.up {
		return // the connection is refused; simulated as a timeout at the user
	}
	leading, leader := c.core.Leading()
	if !leading && !hop {
		for _, o := range c.s.nodes {
			if o.name == leader {
				call(c.s, c.name, o.name, wait, func(reply func(answer)) { o.ask(true, f, reply) }, func(a answer, ok bool) {
					if !ok {
						a = unavailable
					}
					done(a)
				})
				return
			}
		}
		done(unavailable)
		return
	}
	c.asker++
	to := c.asker
	c.users[to] = func(a effects.Answer) { done(answer{a, c.s.now}) }
	c.s.scale.time("users", func() { f(c, c.clock(), to) })
	c.drain()
}

// userJob is a job as its user observes it.
type userJob struct {
	id           uint64
	spec         wire.Submission
	run          time.Duration
	apart        time.Duration // extra run time of each further task of an array
	accepted     bool
	acceptedAt   time.Duration
	toldDone     bool
	gone         bool // its user was told that it is cancelled
	asked        bool // its user requested its cancellation
	byProduction bool // reported cancelled at once, by the version in production
	goneAt       time.Duration
	state        string

	newest    [final + 1]time.Duration // when an answer of at least this level was first received; 0: never
	lastStart time.Duration            // when a task of it last started
	roomSince time.Duration            // since when it has waited although machines have room; 0: it does not
}

// somewhere counts the tasks of a job that are actually on a machine that is up, including
// tasks that are fetching their image.
func (s *sim) somewhere(id uint64) int {
	n := 0
	for _, w := range s.cloud.machines {
		for k := range w.tasks {
			if w.up && k.job == id {
				n++
			}
		}
	}
	return n
}

// runs returns the run time of a task.
func (j *userJob) runs(k int) time.Duration { return j.run + time.Duration(k)*j.apart }

// request sends a user's request to a controller, with a timeout.
func (s *sim) request(at int, limit time.Duration, f func(c *controller, now time.Duration, to effects.RequestID), done func(a answer, ok bool)) {
	c := s.nodes[at%len(s.nodes)]
	call(s, "users", c.name, limit, func(reply func(answer)) { c.ask(false, f, reply) }, done)
}

// submit sends a job to a controller, and retries at the next one every second while again
// returns true.
func (s *sim) submit(j *userJob, at int, again func() bool) {
	sent := s.now
	s.request(at, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) {
		door := s.nodes[at%len(s.nodes)]
		if s.poolsRefuse(door, c, j) {
			f := c.users[to]
			delete(c.users, to)
			f(effects.Answer{Status: 503, RetryAfter: 1})
			return
		}
		c.core.Submit(now, to, forwarded(door, c, j.spec))
	}, func(a answer, ok bool) {
		if ok && (a.Status == 200 || a.Status == 201) {
			first := !j.accepted
			if first {
				j.accepted, j.acceptedAt = true, s.now
			}
			s.check.inOrder(j, a)
			s.check.told(j, a.Answer, sent)
			if first {
				s.look(j, true)
			}
			return
		}
		if ok && (a.Status == 400 || a.Status == 422) {
			if j.accepted {
				s.check.fail("forgotten", "job %d rejected with %d after it was accepted", j.id, a.Status)
			}
			j.state = fmt.Sprintf("refused %d: %s", a.Status, a.Why)
			return
		}
		if again() {
			s.after(time.Second, func() { s.submit(j, at+1, again) })
		}
	})
}

// poll queries the state of a job and checks the answer.
func (s *sim) poll(j *userJob, at int) {
	sent := s.now
	s.check.asked(j)
	s.request(at, 2*time.Second, func(c *controller, now time.Duration, to effects.RequestID) { c.core.Query(now, to, j.id) }, func(a answer, ok bool) {
		if ok {
			s.check.inOrder(j, a)
			s.check.told(j, a.Answer, sent)
		}
	})
}

// abort requests the cancellation of a job, and retries at the next controller until it succeeds.
func (s *sim) abort(j *userJob, at int) {
	sent := s.now
	j.asked = true
	s.request(at, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) { c.core.Cancel(now, to, j.id) }, func(a answer, ok bool) {
		if ok && a.Status == 200 {
			s.check.inOrder(j, a)
			s.check.told(j, a.Answer, sent)
			return
		}
		s.after(time.Second, func() { s.abort(j, at+1) })
	})
}

// look polls intensively, if that is enabled: right after an answer with new information the
// user queries all controllers repeatedly within a second and resubmits the job to each. One
// in six newly accepted jobs is cancelled at once.
func (s *sim) look(j *userJob, accepted bool) {
	if !s.looks || j.spec.Job == nil {
		return
	}
	s.saw("intensive polling")
	for at := range s.nodes {
		for _, after := range []time.Duration{0, 1, 3, 10, 30, 100, 300, 1000} {
			s.after(after*time.Millisecond, func() { s.poll(j, at) })
		}
		s.after(time.Duration(s.rng.IntN(20))*time.Millisecond, func() { s.submit(j, at, func() bool { return false }) })
	}
	if accepted && s.rng.IntN(6) == 0 {
		s.abort(j, s.rng.IntN(len(s.nodes)))
	}
}

// odd sends an invalid or redundant request and checks its answer: a repeated submission of a
// known job id with a malformed or infeasible body, a cancellation of a completed job, or a
// new job that can never run or whose description is malformed.
func (s *sim) odd(j *userJob, at int) {
	bad := wire.Submission{ID: j.id, HasID: true, Bad: "herd: missing"}
	unfit := bad
	unfit.Bad, unfit.Job = "", &eventlog.Job{}
	*unfit.Job = *j.spec.Job
	unfit.Job.CPUs = 1e5
	switch kind := s.rng.IntN(4); kind {
	case 0, 1: // a repeated submission
		spec := []wire.Submission{bad, unfit}[kind]
		s.request(at, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) { c.core.Submit(now, to, spec) }, func(a answer, ok bool) {
			if ok && (a.Status == 400 || a.Status == 422) {
				s.check.fail("forgotten", "job %d, submitted again, is answered with %d", j.id, a.Status)
			} else if ok && a.Status == 200 {
				s.saw("invalid repeated submission answered")
			}
		})
	case 2: // a cancellation of a completed job
		if !j.toldDone {
			return
		}
		sent := s.now
		s.request(at, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) { c.core.Cancel(now, to, j.id) }, func(a answer, ok bool) {
			if ok && a.Status == 200 {
				s.saw("cancellation of a completed job")
				s.check.told(j, a.Answer, sent)
			}
		})
	default: // a new job, which must never be reported to a user
		s.strange--
		id := s.strange
		spec := []wire.Submission{bad, unfit}[s.rng.IntN(2)]
		if spec.ID = id; spec.Job != nil {
			spec.Job.ID, spec.Job.Follows, spec.Job.Counted = id, nil, nil
			if s.rng.IntN(2) == 0 {
				spec.Job.CPUs, spec.Job.Team = 1, "nobody"
			}
		}
		s.request(at, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) { c.core.Submit(now, to, spec) }, func(a answer, ok bool) {
			s.check.unfit(id, spec, a, ok)
			s.poll(&userJob{id: id}, at) // a query must not find it
		})
	}
}

// node returns the controller with the given name, or nil.
func (s *sim) node(name string) *controller {
	for _, c := range s.nodes {
		if c.name == name {
			return c
		}
	}
	return nil
}

// leader returns the controller that leads and that the state service records as the holder of
// leadership, or nil.
func (s *sim) leader() *controller {
	for _, c := range s.nodes {
		if l, _ := c.coreLeading(); l && s.state.holder == c.name {
			return c
		}
	}
	return nil
}

func (c *controller) coreLeading() (bool, string) {
	if !c.up {
		return false, ""
	}
	return c.core.Leading()
}
