package scenario

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/coldstart"
	"bitternmoor/internal/leader/failover"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// TestScenarios runs every scenario file of testdata. The comment at the head of a file
// describes the failure that it guards against.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var r *runner
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if wrong := checkCommand(d); wrong != "" {
				d.Fatalf(t, "%s", wrong)
			}
			if d.Cmd == "world" {
				r = newRunner(t, d)
				return "ok"
			}
			return r.runCommand(t, d)
		})
		// No invariant may be violated in a scenario, whatever else it checks.
		if r != nil && len(r.sim.check.violations) > 0 {
			t.Errorf("violated invariants: %s", strings.Join(r.sim.check.violations, "; "))
		}
	})
}

// runner runs the commands of a scenario file on its simulation.
type runner struct{ sim *sim }

// baseSettings returns the settings that simulations start from.
func baseSettings() settings.Settings {
	var cfg settings.Settings
	cfg.Tunables = settings.Defaults()
	deployment := &cfg.Deployment
	deployment.Workers.ReportS, deployment.Workers.LeaseS, deployment.Workers.GangWaitS, deployment.Workers.GangPeerS, deployment.Workers.CancelS = 1, 10, 15, 3, 30
	deployment.State.RPS, deployment.State.WriteRPS, deployment.State.ValueKB, deployment.State.TxnOps = 200, 20, 8, 12
	deployment.Cloud.RPS, deployment.Cloud.ListLagS = 4, 2
	deployment.Teams = []settings.Team{{Name: "team"}}
	return cfg
}

// arg returns a command's argument, or def if it is absent.
func arg[T any](t *testing.T, d *datadriven.TestData, key string, def T) T {
	t.Helper()
	v := def
	d.MaybeScanArgs(t, key, &v)
	return v
}

// durationArg returns a command's argument as a duration, or 0 if it is absent.
func durationArg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(arg(t, d, key, "0s"))
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return v
}

// newRunner creates the simulation that a "world" command describes. Its users poll every two seconds.
func newRunner(t *testing.T, d *datadriven.TestData) *runner {
	cfg := baseSettings()
	cfg.Deployment.Teams[0].CPUsMax = float64(arg(t, d, "limit", 0))
	if d.HasArg("guaranteed") {
		cfg.Deployment.Teams = append(cfg.Deployment.Teams,
			settings.Team{Name: "other", CPUs: float64(arg(t, d, "guaranteed", 0))})
	}
	cfg.Deployment.State.WriteRPS = float64(arg(t, d, "write-rps", 20))
	if v := arg(t, d, "value-bytes", 0); v > 0 {
		cfg.Deployment.State.ValueKB = float64(v) / 1024
	}
	cfg.Deployment.State.TxnOps = arg(t, d, "txn-ops", 12)
	if v := arg(t, d, "next-value-bytes", 0); v > 0 {
		kb, ops := float64(v)/1024, arg(t, d, "next-txn-ops", 4)
		cfg.Deployment.State.Next = &settings.NextLimits{ValueKB: &kb, TxnOps: &ops}
	}
	cfg.Deployment.Workers.LeaseS = float64(arg(t, d, "lease", 10))
	cfg.Deployment.Workers.CancelS = float64(arg(t, d, "cancel", 30))
	cfg.Deployment.Workers.ReportS = float64(arg(t, d, "report", 1))
	cfg.Tunables.TakeoversKept = arg(t, d, "takeovers", 0)
	cfg.Tunables.ConfigHistory = arg(t, d, "config", 0)
	cfg.Tunables.ZonePatienceS = float64(arg(t, d, "zone-patience", 0))
	cfg.Tunables.RebalanceMoves = float64(arg(t, d, "spread-moves", 0))
	cfg.Tunables.BeginWithinS = float64(arg(t, d, "begin", 0))
	if d.HasArg("cold") {
		cfg.Tunables.ColdStartCensus, cfg.Tunables.ColdRecordsKept, cfg.Tunables.DecommissionUnlisted, cfg.Tunables.AdaptCalls = 1, 5, 1, 1
		cfg.Tunables.ColdStartsPerSecond, cfg.Tunables.ColdMaxImageFetches = float64(arg(t, d, "starts", 0)), arg(t, d, "images", 0)
	}
	if d.HasArg("direct") { // the wait objective is shorter than an idle worker's report interval
		cfg.Tunables.MaxPushDispatches, cfg.Tunables.ReadyWindowS, cfg.Tunables.MaxUnansweredProbes = arg(t, d, "direct", 8), 600, arg(t, d, "probe-silent", 0)
		cfg.Deployment.Workers.ReportS, cfg.Deployment.Workers.LeaseS = 4, 18
		cfg.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 1}}
	}
	units := map[string]int{}
	if list := arg(t, d, "pools", ""); list != "" { // NAME:UNITS, …
		for pool := range strings.SplitSeq(list, ",") {
			name, n, _ := strings.Cut(pool, ":")
			v, err := strconv.Atoi(n)
			if err != nil {
				d.Fatalf(t, "pools: %v", err)
			}
			units[name] = v
			cfg.Tunables.Pools = append(cfg.Tunables.Pools, settings.Pool{
				Name: name, Units: v, HoldAfterLossS: float64(arg(t, d, "hold-after-loss", 0)),
			})
		}
	}
	r := &runner{newSim(cfg, uint64(arg(t, d, "seed", 1)), arg(t, d, "nodes", 3), d.HasArg("old"))}
	r.sim.poolUnits = units
	r.sim.cloud.capacity = arg(t, d, "capacity", 40)
	var poll func()
	poll = func() {
		ids := make([]uint64, 0, len(r.sim.jobs))
		for id := range r.sim.jobs {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for i, id := range ids {
			if j := r.sim.jobs[id]; j.accepted {
				r.sim.poll(j, int(r.sim.now/time.Second)+i)
			}
		}
		r.sim.after(2*time.Second, poll)
	}
	r.sim.after(0, poll)
	r.sim.run(time.Second)
	return r
}

// runCommand runs a command and returns its output.
func (r *runner) runCommand(t *testing.T, d *datadriven.TestData) string {
	s := r.sim
	id := uint64(arg(t, d, "id", 1))
	switch d.Cmd {
	case "submit":
		n := arg(t, d, "count", 1)
		for i := range n {
			r.submit(t, d, id+uint64(i))
		}
	case "resubmit":
		again := false
		s.submit(s.jobs[id], arg(t, d, "at", 1), func() bool { return again })
	case "ask": // queries a job id once
		j := &userJob{id: id}
		s.poll(j, 0)
		s.run(2 * time.Second)
		return j.state
	case "abort":
		s.cancel(s.jobs[id], arg(t, d, "at", 0))
	case "cancelled-by-old-version":
		// A leader of the version in production writes a cancellation, reports it to the user at
		// once although tasks may still run, and terminates.
		j := s.jobs[id]
		for _, c := range s.nodes {
			if c.up {
				d.Fatalf(t, "%s is up", c.name)
			}
		}
		j.cancelRequested, j.cancelledByOldVersion = true, true
		s.state.appendEntry(t, eventlog.Entry{Cancel: &j.id})
		s.check.checkAnswer(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
	case "run":
		s.run(durationArg(t, d, "for"))
	case "await":
		j, want := s.jobs[id], arg(t, d, "state", "done")
		if !s.runUntil(durationArg(t, d, "within"), func() bool { return j.state == want }) {
			return fmt.Sprintf("still %q", j.state)
		}
	case "await-all":
		if !s.runUntil(durationArg(t, d, "within"), func() bool {
			for _, j := range s.jobs {
				if !j.reportedDone && !j.reportedCancelled && !strings.HasPrefix(j.state, "refused") {
					return false
				}
			}
			return true
		}) {
			return "not all jobs have ended"
		}
	case "await-running":
		n := arg(t, d, "tasks", 1)
		if !s.runUntil(durationArg(t, d, "within"), func() bool { return s.runningTasks(id) >= n }) {
			return fmt.Sprintf("only %d run", s.runningTasks(id))
		}
	case "await-gathering":
		n := arg(t, d, "tasks", 1)
		if !s.runUntil(durationArg(t, d, "within"), func() bool { return s.tasksInState(id, workers.Gathering) >= n }) {
			return "it never gathers"
		}
	case "await-leader":
		if !s.runUntil(durationArg(t, d, "within"), func() bool { return s.leader() != nil }) {
			return "no leader"
		}
	case "crash":
		for _, c := range r.controllers(t, d) {
			c.crash()
		}
	case "start":
		for _, c := range r.controllers(t, d) {
			if !c.up {
				c.start(d.HasArg("old"))
			}
		}
	case "crash-loop": // crashes the leader, or all controllers, repeatedly, with a restart after 100 ms
		for range arg(t, d, "times", 1) {
			list := slices.Clone(s.nodes)
			if arg(t, d, "node", "") != "all" {
				if !s.runUntil(30*time.Second, func() bool { return s.leader() != nil }) {
					return "no leader"
				}
				list = []*controller{s.leader()}
			}
			for _, c := range list {
				c.crash()
			}
			s.run(100 * time.Millisecond)
			for _, c := range list {
				c.start(false)
			}
			s.run(700 * time.Millisecond)
		}
	case "roll": // restarts the controllers one after the other, with 8 seconds of downtime each
		for _, c := range s.nodes {
			c.crash()
			s.run(8 * time.Second)
			c.start(d.HasArg("old"))
			s.run(durationArg(t, d, "every"))
		}
	case "state":
		if d.HasArg("outage") {
			s.state.outage = true
		}
		if d.HasArg("recover") {
			s.state.recover()
			s.state.refused = map[string]bool{}
		}
		if d.HasArg("refuse") {
			for _, c := range r.controllers(t, d) {
				s.state.refused[c.name] = true
			}
		}
		s.state.limitsLowered = s.state.limitsLowered || d.HasArg("lower-limits")
		s.state.answersToLose += arg(t, d, "lose-answers", 0)
		s.state.delayNext = durationArg(t, d, "delay")
		if d.HasArg("answers-lost") {
			s.state.lossShare, s.state.onlyAnswerLost = arg(t, d, "answers-lost", 0.0), true
		}
	case "cloud":
		s.cloud.outage = d.HasArg("outage")
		s.cloud.bootFailures += arg(t, d, "boot-failures", 0)
		s.cloud.delayNext = durationArg(t, d, "delay")
		if d.HasArg("boot") {
			s.cloud.bootTime = durationArg(t, d, "boot")
		}
		s.cloud.answerDelay = durationArg(t, d, "answer-delay")
		if d.HasArg("capacity") {
			s.cloud.capacity = arg(t, d, "capacity", 0)
		}
	case "partition":
		for _, h := range r.hosts(t, d) {
			from := []string{arg(t, d, "from", "")}
			if from[0] == "others" { // all controllers except the leader
				from = from[:0]
				for _, c := range s.nodes {
					if c != s.leader() {
						from = append(from, c.name)
					}
				}
			}
			for _, w := range from {
				s.partitions = append(s.partitions, &partition{host: h, peer: w, holdPackets: d.HasArg("hold")})
			}
		}
	case "partition-zone": // partitions a zone: its machines and one controller reach only one another
		s.partitionZone(arg(t, d, "zone", "b"), arg(t, d, "node", "n2"), 0, d.HasArg("hold"))
	case "partition-peers": // partitions every pair of controllers
		for i, a := range s.nodes {
			for _, b := range s.nodes[i+1:] {
				s.partitions = append(s.partitions, &partition{host: a.name, peer: b.name})
			}
		}
	case "partitioned-nodes": // the number of controllers that report themselves as partitioned
		n := 0
		for _, c := range s.nodes {
			if c.up && c.core.Partitioned(c.clock()) {
				n++
			}
		}
		return fmt.Sprintf("%d", n)
	case "isolate-leader": // partitions the leader from all machines and peers
		leader := s.leader()
		for _, c := range s.nodes {
			if c != leader {
				s.partitions = append(s.partitions, &partition{host: leader.name, peer: c.name})
			}
		}
		for m := range s.cloud.machines {
			s.partitions = append(s.partitions, &partition{host: leader.name, peer: m})
		}
	case "heal":
		for _, c := range slices.Clone(s.partitions) {
			s.heal(c.host)
		}
	case "kill":
		list := r.hosts(t, d)
		if d.HasArg("one") {
			slices.Sort(list)
			list = list[:1]
		}
		for _, h := range list {
			s.cloud.machines[h].terminate()
		}
	case "hang":
		for _, h := range r.hosts(t, d) {
			w := s.cloud.machines[h]
			w.hung = true
			s.after(durationArg(t, d, "for"), func() { w.hung = false })
		}
	case "drop-inbound": // one-way partition: drops all packets to the machines; their reports still arrive
		for _, h := range r.hosts(t, d) {
			s.inboundLost[h] = true
			if v := durationArg(t, d, "for"); v > 0 {
				s.after(v, func() { delete(s.inboundLost, h) })
			}
		}
	case "drop-reports": // one-way partition: drops the machines' reports; direct commands still reach them
		for _, h := range r.hosts(t, d) {
			s.reportsLost[h] = true
			if v := durationArg(t, d, "for"); v > 0 {
				s.after(v, func() { delete(s.reportsLost, h) })
			}
		}
	case "replay-reports": // keeps a copy of this share of the reports, to be replayed to the next leader
		s.replayShare = arg(t, d, "share", 0.5)
	case "freeze": // pauses controllers while their clocks keep running
		for _, c := range r.controllers(t, d) {
			s.pausedUntil[c.name] = s.now + durationArg(t, d, "for")
		}
	case "cancel-running": // users cancel up to that many running jobs within 200 ms
		s.cancelRunning(s.rng, arg(t, d, "count", 1), durationArg(t, d, "hang"))
	case "cancel-at-completion": // users cancel this share of the jobs at the moment their last task completes
		s.cancelAtEndShare = arg(t, d, "share", 1.0)
	case "intensive-polling": // users poll intensively after each new answer
		s.intensivePolling = !d.HasArg("off")
	case "invalid-requests": // users send invalid or redundant requests about a job
		for i := range arg(t, d, "times", 1) {
			s.sendInvalidRequest(s.jobs[id], i)
			s.run(300 * time.Millisecond)
		}
	case "slow": // delays all packets to controllers, or to machines with tasks of a job
		for _, h := range r.hosts(t, d) {
			s.latency[h] = durationArg(t, d, "by")
			if v := durationArg(t, d, "for"); v > 0 {
				s.after(v, func() { delete(s.latency, h) })
			}
		}
	case "burst": // submits more work than fits, at several priorities
		s.submitBurst(s.rng, arg(t, d, "count", 12))
	case "stream": // submits four one-task jobs a second and cancels a quarter of them
		s.submitStream(s.rng, durationArg(t, d, "for"))
	case "end-faults": // marks the end of fault injection
		s.check.faultsEndedAt = s.now
	case "restart-empty": // restarts machines at once under the same names, with all state lost
		for _, h := range r.hosts(t, d) {
			s.cloud.machines[h].restartEmpty()
		}
	case "duplicate-messages": // duplicates some reports and direct commands, delayed by at most this long
		s.duplicateDelay = durationArg(t, d, "max-delay")
	case "isolate-node": // partitions a controller from the state service and its peers, not from workers
		for _, c := range r.controllers(t, d) {
			s.state.refused[c.name] = true
			for _, o := range s.nodes {
				if o != c {
					s.partitions = append(s.partitions, &partition{host: c.name, peer: o.name, holdPackets: d.HasArg("hold")})
				}
			}
		}
	case "remaining-tasks": // the number of tasks of a job that are on any machine
		return fmt.Sprint(s.tasksOnMachines(id))
	case "direct-dispatches": // whether starts were sent directly to workers
		return fmt.Sprint(s.directDispatches > 0)
	case "faulty": // tasks that start on the machines from now on fail
		for _, h := range r.hosts(t, d) {
			s.cloud.machines[h].faulty = true
		}
	case "notice": // the cloud gives notice that it reclaims machines, and terminates them at that time
		for _, h := range r.hosts(t, d) {
			w := s.cloud.machines[h]
			in := durationArg(t, d, "in")
			w.reclaimAt = s.now + in
			w.reportSoon()
			s.after(in, w.terminate)
		}
	case "segments-read": // whether more than three log segments have been read back
		return fmt.Sprintf("%v", s.state.segmentsRead > 3)
	case "machines": // the number of machines that are rented
		n := 0
		for _, m := range s.cloud.machines {
			if !d.HasArg("no-spot") || !m.spot {
				n++
			}
		}
		return fmt.Sprintf("%d", n)
	case "deleted": // whether the cloud has deleted machines on request
		return fmt.Sprintf("%v", s.cloud.deletions > 0)
	case "set-takeovers": // changes a setting of all controllers, which applies at their next start
		for _, c := range s.nodes {
			c.cfg.Tunables.TakeoversKept = arg(t, d, "takeovers", 0)
		}
	case "config":
		s.reconfigure(fmt.Sprint(s.now), parseConfigChanges(t, d))
	case "config-state":
		return s.describeConfig()
	case "resize":
		s.resize(fmt.Sprint(s.now), arg(t, d, "pool", "licence"), arg(t, d, "units", 1))
	case "units-in-use": // the units in use, counted from the tasks that run
		return fmt.Sprint(s.check.unitsInUse()[arg(t, d, "pool", "licence")])
	case "takeovers": // the takeovers that the leader has recorded, latest first, with their steps reached
		leader := s.leader()
		raw, known, err := leader.core.Show(leader.clock(), failover.Name)
		if err != nil || !known {
			return fmt.Sprintf("not available: %v", err)
		}
		if raw == nil {
			return "switched off"
		}
		var list []failover.Record
		if err := json.Unmarshal(raw, &list); err != nil {
			return err.Error()
		}
		out := []string{fmt.Sprintf("%d entries in the log", s.state.countComponentEntries(failover.Name))}
		for _, r := range list {
			out = append(out, fmt.Sprintf("epoch %d: %d steps", r.Epoch, len(r.After)))
		}
		return strings.Join(out, "\n")
	case "cold-start": // the leader's record of a cold start: differences by name, and unnecessary commands
		leader := s.leader()
		if leader == nil {
			return "no leader"
		}
		raw, known, err := leader.core.Show(leader.clock(), coldstart.Name)
		if err != nil || !known {
			return fmt.Sprintf("not available: %v", err)
		}
		var list []coldstart.Record
		if err := json.Unmarshal(raw, &list); err != nil {
			return err.Error()
		}
		if len(list) == 0 || list[0].Epoch != leader.core.Epoch() {
			return "an ordinary takeover"
		}
		out := []string{fmt.Sprintf("settled %v, all work back %v", list[0].SettledMS >= 0, list[0].WorkAllMS >= 0)}
		for name := range strings.SplitSeq(arg(t, d, "difference", ""), ",") {
			if name != "" {
				out = append(out, fmt.Sprintf("%s: %v", name, list[0].Differences[name] > 0))
			}
		}
		for _, name := range slices.Sorted(maps.Keys(list[0].Needless)) {
			out = append(out, fmt.Sprintf("needless: %s %d", name, list[0].Needless[name]))
		}
		return strings.Join(out, "\n")
	case "spread":
		// Reports whether no controller holds more than 1.25 times its share of the machines,
		// plus one. The leader's share is smaller.
		leader := s.leader()
		if leader == nil {
			return "no leader"
		}
		up, weight, machines := 0, 0.0, 0
		for _, c := range s.nodes {
			if c.up {
				up++
				weight++
			}
		}
		weight -= 1 - leader.cfg.Tunables.RebalanceLeaderWeight
		blocks := leader.core.Status(leader.clock()).Blocks
		for _, b := range blocks {
			machines += b.Machines
		}
		for _, b := range blocks {
			w := 1.0
			if b.Holder == leader.name {
				w = leader.cfg.Tunables.RebalanceLeaderWeight
			}
			if float64(b.Machines) > 1.25*float64(machines)/weight*w+1 {
				return fmt.Sprintf("uneven: %s has %d of %d, %d controllers are up", b.Holder, b.Machines, machines, up)
			}
		}
		return "even"
	case "reclaim": // the cloud reclaims machines that run tasks of a job, without notice
		for _, h := range r.hosts(t, d) {
			s.cloud.machines[h].terminate()
			delete(s.cloud.machines, h)
		}
	case "started": // the number of tasks started so far
		return fmt.Sprint(s.check.starts)
	case "logged": // whether a controller has logged a message that contains the text
		for _, c := range s.nodes {
			for _, n := range c.logMessages {
				if strings.Contains(n, d.CmdArgs[0].Vals[0]) {
					return "yes"
				}
			}
		}
		return "no"
	case "explain":
		e, ok := s.leader().core.Explain(s.leader().clock(), id)
		if !ok {
			return "not available"
		}
		return strings.Join(e.Words, "\n")
	case "invariants":
		if len(s.check.violations) > 0 {
			return strings.Join(s.check.violations, "\n")
		}
		return "kept"
	case "answer": // the state of a job in the latest answer to its user
		return s.jobs[id].state
	default:
		d.Fatalf(t, "%s: command not implemented", d.Cmd)
	}
	return "ok"
}

// submit submits the job that a "submit" command describes.
func (r *runner) submit(t *testing.T, d *datadriven.TestData, id uint64) {
	kinds := map[string]uint8{"array": 0, "gang": 1, "service": 2}
	runS := durationArg(t, d, "run")
	job := &eventlog.Job{
		ID: id, Class: "class", Team: arg(t, d, "team", "team"), Kind: kinds[arg(t, d, "kind", "array")],
		Priority: uint8(arg(t, d, "priority", 1)), Checkpoint: float64(arg(t, d, "checkpoint", 0)),
		Tasks: arg(t, d, "tasks", 1), CPUs: float64(arg(t, d, "cpus", 1)), MemoryGB: 1, Image: "image", ImageGB: 0.3,
		Zone: arg(t, d, "zone", ""), OneZone: d.HasArg("one-zone"), Spread: d.HasArg("spread"),
		Spot: !d.HasArg("no-spot"), EstimateS: max(1, runS.Seconds()),
	}
	if counted := arg(t, d, "counted", ""); counted != "" { // POOL:UNITS, …; /job: per job instead of per task
		for c := range strings.SplitSeq(counted, ",") {
			c, perJob := strings.CutSuffix(c, "/job")
			pool, units, _ := strings.Cut(c, ":")
			n, err := strconv.Atoi(units)
			if err != nil {
				d.Fatalf(t, "counted: %v", err)
			}
			job.Counted = append(job.Counted, eventlog.PoolUnits{Pool: pool, Units: n, PerJob: perJob})
		}
	}
	if follows := arg(t, d, "follows", ""); follows != "" {
		for f := range strings.SplitSeq(follows, ",") {
			n, err := strconv.ParseUint(f, 10, 64)
			if err != nil {
				d.Fatalf(t, "follows: %v", err)
			}
			job.Follows = append(job.Follows, n)
		}
	}
	j := &userJob{id: id, runTime: runS, spec: wire.Submission{ID: id, HasID: true, Job: job}}
	r.sim.jobs[id] = j
	first := r.sim.now
	r.sim.submit(j, arg(t, d, "at", 0), func() bool { return r.sim.now-first < 60*time.Second })
}

// controllers returns the selected controllers; the default is the leader.
func (r *runner) controllers(t *testing.T, d *datadriven.TestData) []*controller {
	switch who := arg(t, d, "node", "leader"); who {
	case "all":
		return r.sim.nodes
	case "leader":
		if l := r.sim.leader(); l != nil {
			return []*controller{l}
		}
		d.Fatalf(t, "no leader")
	default:
		for _, c := range r.sim.nodes {
			if c.name == who {
				return []*controller{c}
			}
		}
		d.Fatalf(t, "unknown node %s", who)
	}
	return nil
}

// hosts returns the names of the selected controllers, or of machines that run tasks of a job.
func (r *runner) hosts(t *testing.T, d *datadriven.TestData) []string {
	if d.HasArg("node") {
		var out []string
		for _, c := range r.controllers(t, d) {
			out = append(out, c.name)
		}
		return out
	}
	id := uint64(arg(t, d, "job", 1))
	var out []string
	for n, machine := range r.sim.cloud.machines {
		for k := range machine.tasks {
			if k.job == id {
				out = append(out, n)
				break
			}
		}
	}
	sort.Strings(out)
	n := arg(t, d, "count", 1)
	if len(out) < n {
		d.Fatalf(t, "only %d machines run job %d", len(out), id)
	}
	return out[:n]
}

func (s *sim) runningTasks(id uint64) int { return s.tasksInState(id, workers.Running) }

func (s *sim) tasksInState(id uint64, state workers.TaskState) int {
	n := 0
	for _, w := range s.cloud.machines {
		for t, run := range w.tasks {
			if t.job == id && run.state == state {
				n++
			}
		}
	}
	return n
}

// newCheckedSim returns a simulation without controllers, an accepted job of four tasks whose team
// is limited to two CPUs, and two machines.
func newCheckedSim() (*sim, *userJob, *worker, *worker) {
	c := baseSettings()
	c.Deployment.Teams[0].CPUsMax = 2
	s := newSim(c, 1, 0, false)
	job := &eventlog.Job{ID: 1, Team: "team", Tasks: 4, CPUs: 1, Spot: true}
	j := &userJob{id: 1, spec: wire.Submission{ID: 1, HasID: true, Job: job}, accepted: true}
	s.jobs[1] = j
	return s, j, &worker{sim: s, name: "w1", zone: "a"}, &worker{sim: s, name: "w2", zone: "b"}
}

// TestCheckerCatches violates each invariant on purpose, because a checker that detects
// nothing would pass every scenario.
func TestCheckerCatches(t *testing.T) {
	cases := []struct {
		rule string
		do   func(s *sim, j *userJob, w1, w2 *worker)
	}{
		{"ran_twice", func(s *sim, _ *userJob, w1, w2 *worker) {
			s.check.taskStarted(task{1, 0}, w1)
			s.check.taskStarted(task{1, 0}, w2)
		}},
		{"quota", func(s *sim, _ *userJob, w1, _ *worker) {
			for k := range 3 {
				s.check.taskStarted(task{1, k}, w1)
			}
		}},
		{"wrong_place", func(s *sim, j *userJob, w1, _ *worker) {
			w1.spot, j.spec.Job.Spot = true, false
			s.check.taskStarted(task{1, 0}, w1)
		}},
		{"wrong_place", func(s *sim, j *userJob, w1, w2 *worker) {
			j.spec.Job.OneZone = true
			s.check.taskStarted(task{1, 0}, w1)
			s.check.taskStarted(task{1, 1}, w2)
		}},
		{"wrong_place", func(s *sim, j *userJob, w1, _ *worker) {
			j.spec.Job.Spread, j.spec.Job.Tasks = true, 2
			s.check.taskStarted(task{1, 0}, w1)
			s.check.taskStarted(task{1, 1}, w1)
		}},
		{"ran_cancelled", func(s *sim, j *userJob, w1, _ *worker) {
			j.cancelRequested = true
			s.check.taskStarted(task{1, 0}, w1)
			s.check.checkAnswer(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
			s.run(time.Minute)
		}},
		{"told_early", func(s *sim, j *userJob, w1, _ *worker) {
			j.cancelRequested = true
			w1.up, w1.tasks = true, map[task]*taskAttempt{{1, 0}: {}}
			s.cloud.machines[w1.name] = w1
			s.check.checkAnswer(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
		}},
		{"ran_cancelled", func(s *sim, j *userJob, w1, _ *worker) { // detected at once, not only after the deadline
			j.cancelRequested = true
			s.check.checkAnswer(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
			s.check.taskStarted(task{1, 0}, w1)
		}},
		{"ran_cancelled", func(s *sim, j *userJob, w1, _ *worker) { // the task continues after its machine hung
			j.cancelRequested, j.cancelledByOldVersion, j.runTime = true, true, 90*time.Second
			w1.session, w1.tasks = 1, map[task]*taskAttempt{} // there is no controller to report to
			w1.startTask(task{1, 0}, 1)
			s.run(time.Second)
			w1.hung = true
			s.check.checkAnswer(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
			s.run(40 * time.Second)
		}},
		{"left_waiting", func(s *sim, j *userJob, w1, _ *worker) {
			s.check.faultsEndedAt, w1.up, w1.spot = 1, true, true
			s.cloud.machines[w1.name] = w1
			s.run(100 * time.Second)
		}},
		{"left_waiting", func(s *sim, j *userJob, w1, w2 *worker) { // a gang that fits on two machines together
			j.spec.Job.Kind, s.cfg.Deployment.Teams[0].CPUsMax = 1, 4
			w1.tasks = map[task]*taskAttempt{{9, 0}: {}}
			s.jobs[9] = &userJob{id: 9, spec: wire.Submission{ID: 9, Job: &eventlog.Job{ID: 9, CPUs: 3}}}
			for _, w := range []*worker{w1, w2} {
				s.cloud.machines[w.name], w.up = w, true
			}
			s.check.faultsEndedAt = 1
			s.run(100 * time.Second)
		}},
		{"accepted_unfit", func(s *sim, _ *userJob, _, _ *worker) {
			s.check.checkRejected(8, wire.Submission{ID: 8, HasID: true, Bad: "herd: missing"}, answer{Answer: effects.Answer{Status: 201}}, true)
		}},
		{"accepted_unfit", func(s *sim, j *userJob, _, _ *worker) {
			s.check.checkRejected(8, wire.Submission{ID: 8, HasID: true, Job: j.spec.Job}, answer{Answer: effects.Answer{Status: 200}}, true)
		}},
		{"older_answer", func(s *sim, j *userJob, _, _ *worker) {
			s.run(time.Second)
			s.check.checkAnswerOrder(j, answer{effects.Answer{Status: 200, State: wire.Done}, s.now})
			s.run(maxAnswerReordering + time.Millisecond)
			s.check.checkAnswerOrder(j, answer{effects.Answer{Status: 200, State: wire.Running}, time.Second})
		}},
		{"older_answer", func(s *sim, j *userJob, _, _ *worker) {
			s.run(time.Second)
			s.check.checkAnswerOrder(j, answer{effects.Answer{Status: 201}, s.now})
			s.run(maxAnswerReordering + time.Millisecond)
			s.check.checkAnswerOrder(j, answer{effects.Answer{Status: 404}, time.Second})
		}},
		{"forgotten", func(s *sim, j *userJob, _, _ *worker) { s.check.checkAnswer(j, effects.Answer{Status: 404}, s.now) }},
		{"forgotten", func(s *sim, j *userJob, _, _ *worker) { // every query about the job is rejected with 503
			s.check.faultsEndedAt = 1
			s.check.checkAnswer(j, effects.Answer{Status: 503}, s.now)
			s.run(76 * time.Second)
			s.check.checkAnswered(j)
		}},
		{"begins_late", func(s *sim, j *userJob, w1, _ *worker) {
			s.run(maxStartDelay + time.Second)
			s.check.taskStarted(task{1, 0}, w1)
			s.check.checkStartDelay(s.now)
		}},
		{"invented", func(s *sim, _ *userJob, _, _ *worker) {
			s.check.checkAnswer(&userJob{id: 9}, effects.Answer{Status: 200}, s.now)
		}},
		{"not_done", func(s *sim, j *userJob, _, _ *worker) {
			s.check.checkAnswer(j, effects.Answer{Status: 200, State: wire.Done}, s.now)
		}},
		{"went_back", func(s *sim, j *userJob, _, _ *worker) {
			j.reportedDone, j.endReportedAt = true, -1
			s.check.checkAnswer(j, effects.Answer{Status: 200, State: wire.Running}, s.now)
		}},
		{"went_back", func(s *sim, j *userJob, _, _ *worker) {
			s.check.checkAnswer(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
		}},
		{"too_early", func(s *sim, j *userJob, w1, _ *worker) {
			second := *j.spec.Job
			second.Follows = []uint64{1}
			s.jobs[2] = &userJob{id: 2, spec: wire.Submission{ID: 2, Job: &second}}
			for k := range 3 {
				s.check.taskCompleted(task{1, k}) // all tasks but one
			}
			s.check.taskStarted(task{2, 0}, w1)
		}},
		{"orphaned", func(s *sim, j *userJob, _, _ *worker) {
			third := &userJob{id: 3, accepted: true, spec: wire.Submission{ID: 3, Job: &eventlog.Job{ID: 3, Tasks: 1, Follows: []uint64{2}}}}
			s.jobs[2] = &userJob{id: 2, spec: wire.Submission{ID: 2, Job: &eventlog.Job{ID: 2, Tasks: 1, Follows: []uint64{1}}}}
			j.cancelRequested = true
			s.check.checkAnswer(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
			s.run(time.Minute)
			s.check.checkAnswer(third, effects.Answer{Status: 200, State: wire.Queued}, s.now)
		}},
	}
	for _, c := range cases {
		s, j, w1, w2 := newCheckedSim()
		c.do(s, j, w1, w2)
		if !slices.ContainsFunc(s.check.violations, func(b string) bool { return strings.HasPrefix(b, c.rule) }) {
			t.Errorf("invariant %s was violated on purpose and not detected: %v", c.rule, s.check.violations)
		}
	}
}
