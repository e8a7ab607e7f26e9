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
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// partition is a network partition between a host and others. With holdPackets, packets are
// delivered when it heals; otherwise they are lost.
type partition struct {
	host        string
	peer        string          // the other host; empty: all hosts
	sameSide    map[string]bool // hosts on the same side of the partition, which still reach one another
	holdPackets bool
	heldPackets []func()
}

// sim is a discrete-event simulation of the platform.
type sim struct {
	now               time.Duration
	events            eventQueue
	seq               int
	rng               *rand.Rand
	cfg               settings.Settings
	nodes             []*controller
	state             *stateService
	cloud             *cloud
	check             *checker
	partitions        []*partition
	partitionsByHost  map[string][]*partition  // index, rebuilt when indexedPartitions is out of date
	indexedPartitions int                      // number of partitions in the index
	latency           map[string]time.Duration // added latency of packets, by receiving host
	jobs              map[uint64]*userJob
	inboundLost       map[string]bool // hosts to which all packets are lost, while those from them arrive
	duplicateDelay    time.Duration   // largest delay of duplicated reports and commands; 0: none
	reportsLost       map[string]bool // machines whose reports are dropped, while direct commands reach them

	pausedUntil      map[string]time.Duration // paused controllers, and until when; their clocks keep running
	replayShare      float64                  // share of the reports to be replayed to the next leader
	replayReports    []*workers.Report
	onPreempt        func(j *userJob, w *worker) // called when a running task is stopped; may be nil
	onStep           func(what string)           // called around each step from a rental to a start; may be nil
	cancelAtEndShare float64                     // share of the jobs cancelled as their last task completes
	intensivePolling bool                        // users poll and resubmit at all controllers after new answers
	lastInvalidID    uint64                      // id of the latest invalid new submission; counts down

	startTimeOfDay time.Duration // time of day at simulated time 0

	redirects        []time.Duration             // when machines switched to another controller
	directDispatches int                         // number of start commands sent directly to workers
	imageFetch       time.Duration               // time that a worker takes to fetch an image
	holdDispatch     func(effects.Dispatch) bool // if set, returns whether a start command is held back; it then has no answer
	runEnds          map[task]time.Duration      // when the latest run of a task is due to complete
	coverage         map[string]int              // how often each effect of a fault occurred, by description
	loadStats        *loadStats                  // nil except in runs that measure scale

	configs      configTracker
	poolUnits    map[string]int      // most units that may be in use, by pool
	resizeQueues map[string][]func() // queued resize requests by pool, the one in progress first
}

// newSim returns a simulation with count controllers; with oldVersion they start on the version
// in production.
func newSim(cfg settings.Settings, seed uint64, count int, oldVersion bool) *sim {
	return newSimAt(0, cfg, seed, count, oldVersion)
}

// newSimAt is newSim with a time of day at which the simulation begins.
func newSimAt(startTimeOfDay time.Duration, cfg settings.Settings, seed uint64, count int, oldVersion bool) *sim {
	s := &sim{
		startTimeOfDay: startTimeOfDay, rng: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, jobs: map[uint64]*userJob{},
		inboundLost: map[string]bool{}, reportsLost: map[string]bool{}, pausedUntil: map[string]time.Duration{},
		lastInvalidID: 999_000, latency: map[string]time.Duration{}, runEnds: map[task]time.Duration{},
		imageFetch: 300 * time.Millisecond,
	}
	s.state = &stateService{sim: s, items: map[string]item{}, leases: map[uint64]*lease{}, refused: map[string]bool{}}
	s.cloud = &cloud{
		sim: s, rentalAnswers: map[string][]string{}, machines: map[string]*worker{}, rentalAnswered: map[string]bool{},
		capacity: 40, bootTime: 5 * time.Second,
	}
	s.check = &checker{sim: s, placements: map[task]map[string]bool{}}
	for i := range count {
		nodeCfg := cfg
		nodeCfg.Node = fmt.Sprintf("n%d", i)
		nodeCfg.Peers = nil
		for peerIndex := range count {
			if peerIndex != i {
				nodeCfg.Peers = append(nodeCfg.Peers, settings.Peer{Node: fmt.Sprintf("n%d", peerIndex), Zone: []string{"a", "a", "b"}[peerIndex%3]})
			}
		}
		s.nodes = append(s.nodes, &controller{sim: s, index: i, name: nodeCfg.Node, cfg: &nodeCfg})
	}
	for _, n := range s.nodes {
		n.start(oldVersion)
	}
	var checkWaiting func()
	checkWaiting = func() {
		s.check.checkStarvation()
		s.after(time.Second, checkWaiting)
	}
	s.after(0, checkWaiting)
	return s
}

// after schedules f to run after a simulated delay.
func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + max(d, 0), s.seq, f})
}

// run runs the events of the next d of simulated time.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil runs the simulation until the condition holds or the limit is reached, and reports
// whether the condition holds.
func (s *sim) runUntil(limit time.Duration, done func() bool) bool {
	end := s.now + limit
	for s.now < end && !done() {
		s.run(100 * time.Millisecond)
	}
	return done()
}

// partitionBetween returns a partition that separates two hosts, or nil.
func (s *sim) partitionBetween(a, b string) *partition {
	if len(s.partitions) != s.indexedPartitions { // indexed by host, as half of a large fleet may be partitioned
		s.partitionsByHost, s.indexedPartitions = map[string][]*partition{}, len(s.partitions)
		for _, p := range s.partitions {
			s.partitionsByHost[p.host] = append(s.partitionsByHost[p.host], p)
		}
	}
	for _, pair := range [2][2]string{{a, b}, {b, a}} {
		for _, p := range s.partitionsByHost[pair[0]] {
			if (p.peer == "" || p.peer == pair[1]) && !p.sameSide[pair[1]] {
				return p
			}
		}
	}
	return nil
}

// reachStep calls the hook, if there is one, before or after a step.
func (s *sim) reachStep(what string) {
	if s.onStep != nil {
		s.onStep(what)
	}
}

// cover counts an effect of a fault that occurred, to verify the coverage of randomized runs.
func (s *sim) cover(what string) {
	if s.coverage == nil {
		s.coverage = map[string]int{}
	}
	s.coverage[what]++
}

// maybeDuplicate duplicates one message in four, with a random delay, while duplication is on.
func (s *sim) maybeDuplicate(deliver func()) {
	if s.duplicateDelay > 0 && s.rng.IntN(4) == 0 {
		s.after(time.Duration(s.rng.Int64N(int64(s.duplicateDelay))), deliver)
	}
}

// replayToNewLeader replays the copied reports to every controller, both as a new leader's term
// starts and after the leader has acted.
func (s *sim) replayToNewLeader() {
	reports := s.replayReports
	s.replayReports = nil
	for _, r := range reports {
		for _, n := range s.nodes {
			for _, after := range []time.Duration{0, 5, 20, 1000, 5000} {
				s.after(after*time.Millisecond+time.Duration(s.rng.IntN(4000))*time.Microsecond, func() {
					if !n.up || s.pausedFor(n.name) > 0 {
						return
					}
					if leads, _ := n.core.Leading(); leads && n.core.Epoch() > r.Token>>cluster.TokenBits {
						s.cover("replayed report reached the next leader")
						if w := s.cloud.machines[r.Machine]; w == nil {
							s.cover("replayed report of a deleted machine")
						} else if r.Session < w.session {
							s.cover("replayed report of an earlier session")
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
	if s.inboundLost[to] {
		s.cover("packet to a machine lost in a one-way partition")
		return
	}
	if p := s.partitionBetween(from, to); p != nil {
		if p.holdPackets {
			p.heldPackets = append(p.heldPackets, f)
		}
		return
	}
	s.after(s.pausedFor(to)+time.Millisecond+s.latency[to]+time.Duration(s.rng.IntN(3000))*time.Microsecond, f)
}

// pausedFor returns for how long a host remains paused.
func (s *sim) pausedFor(host string) time.Duration { return max(0, s.pausedUntil[host]-s.now) }

// partitionZone partitions a zone: its machines and one controller reach only one another, for
// the given duration, or until healed if it is 0.
func (s *sim) partitionZone(zone, node string, duration time.Duration, hold bool) {
	inside := map[string]bool{node: true}
	for name, w := range s.cloud.machines {
		if w.zone == zone {
			inside[name] = true
		}
	}
	for host := range inside {
		s.partitions = append(s.partitions, &partition{host: host, sameSide: inside, holdPackets: hold})
		if duration > 0 {
			s.after(duration, func() { s.heal(host) })
		}
	}
}

// heal ends the partitions of a host and delivers the packets that were held.
func (s *sim) heal(host string) {
	s.indexedPartitions = -1
	s.partitions = slices.DeleteFunc(s.partitions, func(p *partition) bool {
		if p.host != host {
			return false
		}
		for _, f := range p.heldPackets {
			s.after(time.Millisecond, f)
		}
		return true
	})
}

// call makes a request with a deadline. serve runs at the server and passes its result to
// reply; done receives the result, or ok false at the deadline.
func call[T any](s *sim, from, to string, timeout time.Duration, serve func(reply func(T)), done func(res T, ok bool)) {
	finished := false
	s.send(from, to, func() {
		serve(func(res T) {
			s.send(to, from, func() {
				if !finished {
					finished = true
					done(res, true)
				}
			})
		})
	})
	var expire func()
	expire = func() {
		switch remaining := s.pausedFor(from); {
		case finished:
		case remaining > 0: // a paused caller times out when it resumes; an answer that the pause delayed is dropped
			s.after(remaining, expire)
		default:
			finished = true
			var zero T
			done(zero, false)
		}
	}
	s.after(timeout, expire)
}

// controller runs a controller's core in the simulation.
type controller struct {
	sim           *sim
	index         int
	name          string
	cfg           *settings.Settings
	core          *node.Core
	incarnation   int // number of process starts and crashes; inputs for an earlier one are dropped
	startedAt     time.Duration
	up            bool
	oldVersion    bool // runs the version in production, see frozen_test.go
	lastRequest   effects.RequestID
	userReplies   map[effects.RequestID]func(effects.Answer)
	reportReplies map[effects.RequestID]func(effects.HeartbeatAnswer)
	logMessages   []string
}

func (c *controller) start(oldVersion bool) {
	c.incarnation++
	c.up = true
	c.oldVersion = oldVersion
	c.startedAt = c.sim.now
	cfg := *c.cfg
	if oldVersion {
		cfg.Deployment.State.Next = nil // not supported by that version
		cfg.Tunables.RecordReturns, cfg.Tunables.WriteMarks, cfg.Tunables.TakeoversKept, cfg.Tunables.RunTimesKinds = 0, 0, 0, 0
		cfg.Tunables.ColdStartCensus, cfg.Tunables.ColdRecordsKept, cfg.Tunables.DecommissionUnlisted, cfg.Tunables.AdaptCalls, cfg.Tunables.ZonePatienceS, cfg.Tunables.RebalanceMoves = 0, 0, 0, 0, 0, 0
		cfg.Tunables.Pools, cfg.Tunables.MaxPushDispatches, cfg.Tunables.MaxUnansweredProbes, cfg.Tunables.ConfigHistory = nil, 0, 0, 0
	}
	c.core = node.NewCore(&cfg, (c.sim.startTimeOfDay + c.sim.now).Milliseconds())
	c.userReplies = map[effects.RequestID]func(effects.Answer){}
	c.reportReplies = map[effects.RequestID]func(effects.HeartbeatAnswer){}
	incarnation := c.incarnation
	var tick func()
	tick = func() {
		if c.incarnation != incarnation || !c.up {
			return
		}
		if remaining := c.sim.pausedFor(c.name); remaining > 0 {
			c.sim.after(remaining, tick)
			return
		}
		c.sim.loadStats.timeInput("ticks", func() { c.core.Tick(c.clock()) })
		c.drain()
		c.sim.after(50*time.Millisecond, tick)
	}
	c.sim.after(time.Duration(c.index)*7*time.Millisecond, tick)
}

// upgrade upgrades a controller from the version in production to the current one at the given
// time, with 8 seconds of downtime.
func (s *sim) upgrade(n *controller, at time.Duration) {
	s.after(at, func() {
		n.crash()
		n.oldVersion = false
		s.after(8*time.Second, func() {
			if !n.up {
				n.start(n.oldVersion)
			}
		})
	})
}

// decodeSegment decodes a log segment as this controller's version does.
func (c *controller) decodeSegment(value json.RawMessage) []eventlog.Entry {
	if c.oldVersion {
		value = reencodeAsProduction(value)
	}
	list, err := eventlog.Decode(value)
	if err != nil {
		panic(err)
	}
	return list
}

func (c *controller) crash() { c.up = false; c.incarnation++ }

// clock returns the node's monotonic clock. It starts with the process, and the clocks of
// nodes drift apart at the largest rate that is allowed.
func (c *controller) clock() time.Duration {
	d := c.sim.now - c.startedAt
	return d + time.Duration(float64(d)*0.0005*float64(c.index%2))
}

// input wraps an input to the core: it is dropped if the process has ended since, and delayed
// while the controller is paused.
func (c *controller) input(f func(now time.Duration)) func() {
	incarnation := c.incarnation
	var run func()
	run = func() {
		if c.incarnation != incarnation || !c.up {
			return
		}
		if remaining := c.sim.pausedFor(c.name); remaining > 0 {
			c.sim.after(remaining, run)
			return
		}
		c.sim.loadStats.timeInput("results", func() { f(c.clock()) })
		c.drain()
	}
	return run
}

func (c *controller) drain() {
	for _, e := range c.core.TakeEffects() {
		c.execute(e)
	}
}

const callTimeout = 1200 * time.Millisecond

func (c *controller) execute(e effects.Effect) {
	s := c.sim
	s.loadStats.countEffect(e)
	switch e := e.(type) {
	case effects.Reply:
		if f := c.userReplies[e.To]; f != nil {
			delete(c.userReplies, e.To)
			f(e.Answer)
		}
	case effects.ReplyHeartbeat:
		if f := c.reportReplies[e.To]; f != nil {
			delete(c.reportReplies, e.To)
			f(e.Answer)
		}
	case effects.RelayHeartbeat:
		incarnation := c.incarnation
		if peer := s.node(e.Leader); peer != nil {
			call(s, c.name, peer.name, callTimeout, func(reply func(effects.HeartbeatAnswer)) {
				if !peer.up {
					return
				}
				peer.lastRequest++
				peer.reportReplies[peer.lastRequest] = reply
				s.loadStats.timeInput("reports of peers", func() {
					peer.core.HandleRelayedHeartbeat(peer.clock(), peer.lastRequest, convertRelay(c, peer, e.Report))
				})
				peer.drain()
			}, func(a effects.HeartbeatAnswer, ok bool) {
				a = convertRelayAnswer(c, peer, a)
				if c.incarnation == incarnation {
					c.input(func(now time.Duration) { c.core.RelayAnswered(now, e.To, a, ok) })()
				}
			})
		}
	case effects.Heartbeat:
		if peer := s.node(e.Peer); peer != nil {
			call(s, c.name, peer.name, callTimeout, func(reply func(uint64)) {
				if peer.up {
					peer.core.HeartbeatReceived(peer.clock(), c.name, e.Epoch, e.Fleet)
					reply(s.applyConfigUpdate(c, peer, e.Config))
					peer.drain()
				}
			}, func(revision uint64, ok bool) {
				if ok {
					c.input(func(now time.Duration) {
						c.core.HeartbeatAnswered(now, peer.name)
						if e.Config != nil && !peer.oldVersion {
							c.core.ConfigAcknowledged(now, e.Epoch, peer.name, revision)
						}
					})()
				}
			})
		}
	case effects.ProbePeer:
		if peer := s.node(e.Peer); peer != nil {
			call(s, c.name, peer.name, callTimeout, func(reply func(bool)) {
				if peer.up {
					reply(true)
				}
			}, func(_, ok bool) {
				c.input(func(now time.Duration) { c.core.LeaderContactResult(now, peer.name, ok) })()
			})
		}
	case effects.AskPreviousLeader:
		if peer := s.node(e.Peer); peer != nil {
			incarnation := c.incarnation
			call(s, c.name, peer.name, callTimeout, func(reply func(leadership.LeaderRecord)) {
				if peer.up && !peer.oldVersion {
					record, now := peer.core.PreviousLeader(e.Epoch), peer.clock()
					record.Since, record.Until = record.Since-now, record.Until-now // relative, because clocks differ
					reply(record)
				}
			}, func(record leadership.LeaderRecord, ok bool) {
				if c.incarnation == incarnation {
					c.input(func(now time.Duration) {
						record.Since, record.Until = now+record.Since, now+record.Until
						c.core.PreviousLeaderReported(now, e.Epoch, peer.name, record, ok)
					})()
				}
			})
		}
	case effects.LeadershipRequest:
		s.state.handleLeadership(c, e.Request)
	case effects.LoadLog:
		s.state.loadLog(c, e.Epoch)
	case effects.Commit:
		s.state.commit(c, e.Txn)
	case effects.ReadBack:
		s.state.readBack(c, e.Key)
	case effects.ReadValues:
		s.state.readValues(c, e.Component, e.AfterKey)
	case effects.SendStops:
		for _, cmd := range e.Stops {
			if cmd.Op != workers.Stop {
				s.check.fail("starts", "a SendStops effect has a command other than a stop")
			}
		}
		if target := s.cloud.machines[e.Address]; target != nil {
			s.send(c.name, target.name, func() { target.handleDirect(e.Token, e.Session, e.Stops, func(*workers.Report) {}) })
		}
	case effects.ProbeWorker:
		if target := s.cloud.machines[e.Address]; target != nil {
			incarnation, epoch := c.incarnation, c.core.Epoch()
			call(s, c.name, target.name, time.Second, func(reply func(bool)) {
				if target.up && !target.hung {
					reply(true)
				}
			}, func(_, ok bool) {
				if c.incarnation == incarnation {
					c.input(func(now time.Duration) { c.core.WorkerProbed(now, epoch, e.Machine, ok) })()
				}
			})
		}
	case effects.Dispatch:
		incarnation := c.incarnation
		epoch := c.core.Epoch()
		if target := s.cloud.machines[e.Address]; target != nil {
			s.directDispatches++
			if !c.oldVersion {
				s.check.checkDispatch(e)
			}
			held := s.holdDispatch != nil && s.holdDispatch(e)
			targetIncarnation := target.incarnation
			recordArrival := func() {
				if target.incarnation != targetIncarnation && target.up && !target.hung && e.Session == target.session && e.Token >= target.token {
					s.cover("start executed by a later incarnation of the machine")
				}
			}
			s.maybeDuplicate(func() { target.handleDirect(e.Token, e.Session, e.Starts, func(*workers.Report) {}) })
			call(s, c.name, target.name, time.Second, func(reply func(*workers.Report)) {
				if held {
					return
				}
				recordArrival()
				target.handleDirect(e.Token, e.Session, e.Starts, reply)
			}, func(report *workers.Report, _ bool) {
				if c.incarnation == incarnation {
					c.input(func(now time.Duration) { c.core.Dispatched(now, epoch, e.Machine, e.Token, e.Starts, report) })()
				}
			})
		}
	case effects.ReadSegments:
		s.state.readSegments(c, e.First, e.First+e.Count)
	case effects.RentMachines:
		s.cloud.rent(c, e.Rental)
	case effects.DeleteMachines:
		s.cloud.deleteMachines(c, e.Machines)
	case effects.ListMachines:
		s.cloud.listMachines(c)
	case effects.ListMachineTypes:
		s.cloud.listTypes(c)
	case effects.LogMessage:
		c.logMessages = append(c.logMessages, e.Message)
	}
}

// answer is an answer to a user, with the time at which the leader created it.
type answer struct {
	effects.Answer
	createdAt time.Duration
}

// handleRequest passes a user's request to the core of the leader, forwarding it once if this
// node does not lead.
func (c *controller) handleRequest(forwarded bool, f func(c *controller, now time.Duration, to effects.RequestID), done func(answer)) {
	unavailable := answer{Answer: effects.Answer{Status: 503, RetryAfter: 1}}
	if !c.up {
		return // the connection is refused; simulated as a timeout at the user
	}
	leading, leader := c.core.Leading()
	if !leading && !forwarded {
		for _, other := range c.sim.nodes {
			if other.name == leader {
				call(c.sim, c.name, other.name, callTimeout, func(reply func(answer)) { other.handleRequest(true, f, reply) }, func(a answer, ok bool) {
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
	c.lastRequest++
	to := c.lastRequest
	c.userReplies[to] = func(a effects.Answer) { done(answer{a, c.sim.now}) }
	c.sim.loadStats.timeInput("users", func() { f(c, c.clock(), to) })
	c.drain()
}

// userJob is a job as its user observes it.
type userJob struct {
	id                    uint64
	spec                  wire.Submission
	runTime               time.Duration
	runTimeStep           time.Duration // extra run time of each further task of an array
	accepted              bool
	acceptedAt            time.Duration
	reportedDone          bool          // reported done to its user
	reportedCancelled     bool          // reported cancelled to its user
	cancelRequested       bool          // its user requested its cancellation
	cancelledByOldVersion bool          // reported cancelled at once, by the version in production
	endReportedAt         time.Duration // when its end was reported to its user
	state                 string        // from the latest answer, or why the submission was refused

	firstAtLevel [jobEnded + 1]time.Duration // when an answer of at least this level first arrived; 0: never
	lastStart    time.Duration               // when a task of it last started
	roomSince    time.Duration               // since when it has waited while there was room; 0: it does not
}

// tasksOnMachines counts the tasks of a job that are actually on a machine that is up, including
// tasks that are fetching their image.
func (s *sim) tasksOnMachines(id uint64) int {
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

// taskRunTime returns the run time of a task.
func (j *userJob) taskRunTime(index int) time.Duration {
	return j.runTime + time.Duration(index)*j.runTimeStep
}

// sendRequest sends a user's request to a controller, with a timeout.
func (s *sim) sendRequest(nodeIndex int, limit time.Duration,
	f func(c *controller, now time.Duration, to effects.RequestID), done func(a answer, ok bool)) {
	c := s.nodes[nodeIndex%len(s.nodes)]
	call(s, "users", c.name, limit, func(reply func(answer)) { c.handleRequest(false, f, reply) }, done)
}

// submit sends a job to a controller, and retries at the next one every second while retry
// returns true.
func (s *sim) submit(j *userJob, nodeIndex int, retry func() bool) {
	sent := s.now
	s.sendRequest(nodeIndex, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) {
		entry := s.nodes[nodeIndex%len(s.nodes)]
		if s.refusesPoolUnits(entry, c, j) {
			f := c.userReplies[to]
			delete(c.userReplies, to)
			f(effects.Answer{Status: 503, RetryAfter: 1})
			return
		}
		c.core.Submit(now, to, convertSubmission(entry, c, j.spec))
	}, func(a answer, ok bool) {
		if ok && (a.Status == 200 || a.Status == 201) {
			first := !j.accepted
			if first {
				j.accepted, j.acceptedAt = true, s.now
			}
			s.check.checkAnswerOrder(j, a)
			s.check.checkAnswer(j, a.Answer, sent)
			if first {
				s.pollIntensively(j, true)
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
		if retry() {
			s.after(time.Second, func() { s.submit(j, nodeIndex+1, retry) })
		}
	})
}

// poll queries the state of a job and checks the answer.
func (s *sim) poll(j *userJob, nodeIndex int) {
	sent := s.now
	s.check.checkAnswered(j)
	s.sendRequest(nodeIndex, 2*time.Second, func(c *controller, now time.Duration, to effects.RequestID) {
		c.core.Query(now, to, j.id)
	}, func(a answer, ok bool) {
		if ok {
			s.check.checkAnswerOrder(j, a)
			s.check.checkAnswer(j, a.Answer, sent)
		}
	})
}

// cancel requests the cancellation of a job, and retries at the next controller until it succeeds.
func (s *sim) cancel(j *userJob, nodeIndex int) {
	sent := s.now
	j.cancelRequested = true
	s.sendRequest(nodeIndex, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) {
		c.core.Cancel(now, to, j.id)
	}, func(a answer, ok bool) {
		if ok && a.Status == 200 {
			s.check.checkAnswerOrder(j, a)
			s.check.checkAnswer(j, a.Answer, sent)
			return
		}
		s.after(time.Second, func() { s.cancel(j, nodeIndex+1) })
	})
}

// pollIntensively simulates, if intensivePolling is set, a user who reacts to new information in an
// answer: the user queries all controllers repeatedly within a second and resubmits the job to each. One
// in six newly accepted jobs is cancelled at once.
func (s *sim) pollIntensively(j *userJob, accepted bool) {
	if !s.intensivePolling || j.spec.Job == nil {
		return
	}
	s.cover("intensive polling")
	for nodeIndex := range s.nodes {
		for _, after := range []time.Duration{0, 1, 3, 10, 30, 100, 300, 1000} {
			s.after(after*time.Millisecond, func() { s.poll(j, nodeIndex) })
		}
		s.after(time.Duration(s.rng.IntN(20))*time.Millisecond, func() { s.submit(j, nodeIndex, func() bool { return false }) })
	}
	if accepted && s.rng.IntN(6) == 0 {
		s.cancel(j, s.rng.IntN(len(s.nodes)))
	}
}

// sendInvalidRequest sends an invalid or redundant request and checks its answer: a repeated
// submission of a known job id with a malformed or infeasible body, a cancellation of a
// completed job, or a new job that can never run or whose description is malformed.
func (s *sim) sendInvalidRequest(j *userJob, nodeIndex int) {
	bad := wire.Submission{ID: j.id, HasID: true, Bad: "herd: missing"}
	unfit := bad
	unfit.Bad, unfit.Job = "", &eventlog.Job{}
	*unfit.Job = *j.spec.Job
	unfit.Job.CPUs = 1e5
	switch choice := s.rng.IntN(4); choice {
	case 0, 1: // a repeated submission
		spec := []wire.Submission{bad, unfit}[choice]
		s.sendRequest(nodeIndex, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) {
			c.core.Submit(now, to, spec)
		}, func(a answer, ok bool) {
			if ok && (a.Status == 400 || a.Status == 422) {
				s.check.fail("forgotten", "job %d, submitted again, is answered with %d", j.id, a.Status)
			} else if ok && a.Status == 200 {
				s.cover("invalid repeated submission answered")
			}
		})
	case 2: // a cancellation of a completed job
		if !j.reportedDone {
			return
		}
		sent := s.now
		s.sendRequest(nodeIndex, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) {
			c.core.Cancel(now, to, j.id)
		}, func(a answer, ok bool) {
			if ok && a.Status == 200 {
				s.cover("cancellation of a completed job")
				s.check.checkAnswer(j, a.Answer, sent)
			}
		})
	default: // a new job, which must never be reported to a user
		s.lastInvalidID--
		id := s.lastInvalidID
		spec := []wire.Submission{bad, unfit}[s.rng.IntN(2)]
		if spec.ID = id; spec.Job != nil {
			spec.Job.ID, spec.Job.Follows, spec.Job.Counted = id, nil, nil
			if s.rng.IntN(2) == 0 {
				spec.Job.CPUs, spec.Job.Team = 1, "nobody"
			}
		}
		s.sendRequest(nodeIndex, 5*time.Second, func(c *controller, now time.Duration, to effects.RequestID) {
			c.core.Submit(now, to, spec)
		}, func(a answer, ok bool) {
			s.check.checkRejected(id, spec, a, ok)
			s.poll(&userJob{id: id}, nodeIndex) // a query must not find it
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
		if l, _ := c.leading(); l && s.state.holder == c.name {
			return c
		}
	}
	return nil
}

func (c *controller) leading() (bool, string) {
	if !c.up {
		return false, ""
	}
	return c.core.Leading()
}
