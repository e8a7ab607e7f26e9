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
		var p *player
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if wrong := checkWords(d); wrong != "" {
				d.Fatalf(t, "%s", wrong)
			}
			if d.Cmd == "world" {
				p = newPlayer(t, d)
				return "ok"
			}
			return p.play(t, d)
		})
		// No invariant may be violated in a scenario, whatever else it checks.
		if p != nil && len(p.s.check.broken) > 0 {
			t.Errorf("violated invariants: %s", strings.Join(p.s.check.broken, "; "))
		}
	})
}

type player struct{ s *sim }

func baseSettings() settings.Settings {
	var c settings.Settings
	c.Tunables = settings.Defaults()
	d := &c.Deployment
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.GangWaitS, d.Workers.GangPeerS, d.Workers.CancelS = 1, 10, 15, 3, 30
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 200, 20, 8, 12
	d.Cloud.RPS, d.Cloud.ListLagS = 4, 2
	d.Teams = []settings.Team{{Name: "team"}}
	return c
}

func arg[T any](t *testing.T, d *datadriven.TestData, key string, def T) T {
	t.Helper()
	v := def
	d.MaybeScanArgs(t, key, &v)
	return v
}

func span(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(arg(t, d, key, "0s"))
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return v
}

func newPlayer(t *testing.T, d *datadriven.TestData) *player {
	c := baseSettings()
	c.Deployment.Teams[0].CPUsMax = float64(arg(t, d, "limit", 0))
	if d.HasArg("guaranteed") {
		c.Deployment.Teams = append(c.Deployment.Teams,
			settings.Team{Name: "other", CPUs: float64(arg(t, d, "guaranteed", 0))})
	}
	c.Deployment.State.WriteRPS = float64(arg(t, d, "write-rps", 20))
	if v := arg(t, d, "value-bytes", 0); v > 0 {
		c.Deployment.State.ValueKB = float64(v) / 1024
	}
	c.Deployment.State.TxnOps = arg(t, d, "txn-ops", 12)
	if v := arg(t, d, "next-value-bytes", 0); v > 0 {
		kb, ops := float64(v)/1024, arg(t, d, "next-txn-ops", 4)
		c.Deployment.State.Next = &settings.NextLimits{ValueKB: &kb, TxnOps: &ops}
	}
	c.Deployment.Workers.LeaseS = float64(arg(t, d, "lease", 10))
	c.Deployment.Workers.CancelS = float64(arg(t, d, "cancel", 30))
	c.Deployment.Workers.ReportS = float64(arg(t, d, "report", 1))
	c.Tunables.TakeoversKept = arg(t, d, "takeovers", 0)
	c.Tunables.ConfigHistory = arg(t, d, "config", 0)
	c.Tunables.ZonePatienceS = float64(arg(t, d, "zone-patience", 0))
	c.Tunables.RebalanceMoves = float64(arg(t, d, "spread-moves", 0))
	c.Tunables.BeginWithinS = float64(arg(t, d, "begin", 0))
	if d.HasArg("cold") {
		c.Tunables.ColdListen, c.Tunables.ColdKept, c.Tunables.ListFirst, c.Tunables.AdaptCalls = 1, 5, 1, 1
		c.Tunables.ColdStarts, c.Tunables.ColdImages = float64(arg(t, d, "starts", 0)), arg(t, d, "images", 0)
	}
	if d.HasArg("direct") { // the wait objective is shorter than an idle worker's report interval
		c.Tunables.PushDispatches, c.Tunables.ReadyWindowS, c.Tunables.ProbeSilent = arg(t, d, "direct", 8), 600, arg(t, d, "ask", 0)
		c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS = 4, 18
		c.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 1}}
	}
	units := map[string]int{}
	if list := arg(t, d, "pools", ""); list != "" { // NAME:UNITS, …
		for x := range strings.SplitSeq(list, ",") {
			name, n, _ := strings.Cut(x, ":")
			v, err := strconv.Atoi(n)
			if err != nil {
				d.Fatalf(t, "pools: %v", err)
			}
			units[name] = v
			c.Tunables.Pools = append(c.Tunables.Pools, settings.Pool{
				Name: name, Units: v, HoldAfterLossS: float64(arg(t, d, "hold-after-loss", 0)),
			})
		}
	}
	p := &player{newSim(c, uint64(arg(t, d, "seed", 1)), arg(t, d, "nodes", 3), d.HasArg("old"))}
	p.s.poolUnits = units
	p.s.cloud.capacity = arg(t, d, "capacity", 40)
	var poll func()
	poll = func() {
		ids := make([]uint64, 0, len(p.s.jobs))
		for id := range p.s.jobs {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for i, id := range ids {
			if j := p.s.jobs[id]; j.accepted {
				p.s.poll(j, int(p.s.now/time.Second)+i)
			}
		}
		p.s.after(2*time.Second, poll)
	}
	p.s.after(0, poll)
	p.s.run(time.Second)
	return p
}

func (p *player) play(t *testing.T, d *datadriven.TestData) string {
	s := p.s
	id := uint64(arg(t, d, "id", 1))
	switch d.Cmd {
	case "submit":
		n := arg(t, d, "count", 1)
		for i := range n {
			p.submit(t, d, id+uint64(i))
		}
	case "resubmit":
		again := false
		s.submit(s.jobs[id], arg(t, d, "at", 1), func() bool { return again })
	case "ask":
		j := &userJob{id: id}
		s.poll(j, 0)
		s.run(2 * time.Second)
		return j.state
	case "abort":
		s.abort(s.jobs[id], arg(t, d, "at", 0))
	case "told-by-production":
		// A leader of the version in production writes a cancellation, reports it to the user at
		// once although tasks may still run, and terminates.
		j := s.jobs[id]
		for _, c := range s.nodes {
			if c.up {
				d.Fatalf(t, "%s is up", c.name)
			}
		}
		j.asked, j.byProduction = true, true
		s.state.append(t, eventlog.Entry{Cancel: &j.id})
		s.check.told(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
	case "run":
		s.run(span(t, d, "for"))
	case "await":
		j, want := s.jobs[id], arg(t, d, "state", "done")
		if !s.until(span(t, d, "within"), func() bool { return j.state == want }) {
			return fmt.Sprintf("still %q", j.state)
		}
	case "await-all":
		if !s.until(span(t, d, "within"), func() bool {
			for _, j := range s.jobs {
				if !j.toldDone && !j.gone && !strings.HasPrefix(j.state, "refused") {
					return false
				}
			}
			return true
		}) {
			return "not all jobs have ended"
		}
	case "await-running":
		n := arg(t, d, "tasks", 1)
		if !s.until(span(t, d, "within"), func() bool { return s.running(id) >= n }) {
			return fmt.Sprintf("only %d run", s.running(id))
		}
	case "await-gathering":
		n := arg(t, d, "tasks", 1)
		if !s.until(span(t, d, "within"), func() bool { return s.inState(id, workers.Gathering) >= n }) {
			return "it never gathers"
		}
	case "await-leader":
		if !s.until(span(t, d, "within"), func() bool { return s.leader() != nil }) {
			return "no leader"
		}
	case "crash":
		for _, c := range p.pick(t, d) {
			c.crash()
		}
	case "start":
		for _, c := range p.pick(t, d) {
			if !c.up {
				c.start(d.HasArg("old"))
			}
		}
	case "quick": // crashes the leader, or all controllers, repeatedly, with a restart after 100 ms
		for range arg(t, d, "times", 1) {
			list := slices.Clone(s.nodes)
			if arg(t, d, "node", "") != "all" {
				if !s.until(30*time.Second, func() bool { return s.leader() != nil }) {
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
	case "roll":
		for _, c := range s.nodes {
			c.crash()
			s.run(8 * time.Second)
			c.start(d.HasArg("old"))
			s.run(span(t, d, "every"))
		}
	case "state":
		if d.HasArg("outage") {
			s.state.outage = true
		}
		if d.HasArg("back") {
			s.state.recover()
			s.state.refuse = map[string]bool{}
		}
		if d.HasArg("refuse") {
			for _, c := range p.pick(t, d) {
				s.state.refuse[c.name] = true
			}
		}
		s.state.lowered = s.state.lowered || d.HasArg("lower")
		s.state.loseOut += arg(t, d, "lose", 0)
		s.state.delayed = span(t, d, "delay")
		if d.HasArg("answers-lost") {
			s.state.lateShare, s.state.atOnce = arg(t, d, "answers-lost", 0.0), true
		}
	case "cloud":
		s.cloud.outage = d.HasArg("outage")
		s.cloud.dud += arg(t, d, "dud", 0)
		s.cloud.late = span(t, d, "late")
		if d.HasArg("boot") {
			s.cloud.boot = span(t, d, "boot")
		}
		s.cloud.answer = span(t, d, "answers")
		if d.HasArg("capacity") {
			s.cloud.capacity = arg(t, d, "capacity", 0)
		}
	case "cut":
		for _, h := range p.hosts(t, d) {
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
				s.cuts = append(s.cuts, &cut{host: h, with: w, hold: d.HasArg("hold")})
			}
		}
	case "cut-zone": // partitions a zone: its machines and one controller reach only one another
		s.cutZone(arg(t, d, "zone", "b"), arg(t, d, "node", "n2"), 0, d.HasArg("hold"))
	case "refuse-peers": // partitions every pair of controllers
		for i, a := range s.nodes {
			for _, b := range s.nodes[i+1:] {
				s.cuts = append(s.cuts, &cut{host: a.name, with: b.name})
			}
		}
	case "apart": // the number of controllers that report to the load balancer that they are partitioned
		n := 0
		for _, c := range s.nodes {
			if c.up && c.core.Partitioned(c.clock()) {
				n++
			}
		}
		return fmt.Sprintf("%d", n)
	case "deafen": // partitions the leader from all machines and peers
		l := s.leader()
		for _, c := range s.nodes {
			if c != l {
				s.cuts = append(s.cuts, &cut{host: l.name, with: c.name})
			}
		}
		for m := range s.cloud.machines {
			s.cuts = append(s.cuts, &cut{host: l.name, with: m})
		}
	case "heal":
		for _, c := range slices.Clone(s.cuts) {
			s.heal(c.host)
		}
	case "kill":
		list := p.hosts(t, d)
		if d.HasArg("one") {
			slices.Sort(list)
			list = list[:1]
		}
		for _, h := range list {
			s.cloud.machines[h].vanish()
		}
	case "hang":
		for _, h := range p.hosts(t, d) {
			w := s.cloud.machines[h]
			w.hung = true
			s.after(span(t, d, "for"), func() { w.hung = false })
		}
	case "deaf": // one-way partition: drops all packets to the machines; their reports still arrive
		for _, h := range p.hosts(t, d) {
			s.deaf[h] = true
			if v := span(t, d, "for"); v > 0 {
				s.after(v, func() { delete(s.deaf, h) })
			}
		}
	case "mute": // one-way partition: drops the machines' reports; direct commands still reach them
		for _, h := range p.hosts(t, d) {
			s.mute[h] = true
			if v := span(t, d, "for"); v > 0 {
				s.after(v, func() { delete(s.mute, h) })
			}
		}
	case "keep-reports": // keeps a copy of this share of the reports, to be replayed to the next leader
		s.keep = arg(t, d, "share", 0.5)
	case "freeze": // pauses controllers while their clocks keep running
		for _, c := range p.pick(t, d) {
			s.frozen[c.name] = s.now + span(t, d, "for")
		}
	case "cancel-now": // users cancel up to that many running jobs within 200 ms
		s.cancelNow(s.rng, arg(t, d, "count", 1), span(t, d, "hang"))
	case "cancel-at-end": // users cancel this share of the jobs at the moment their last task completes
		s.atEnd = arg(t, d, "share", 1.0)
	case "looks": // users poll intensively after each new answer
		s.looks = !d.HasArg("off")
	case "odd": // users send invalid or redundant requests about a job
		for i := range arg(t, d, "times", 1) {
			s.odd(s.jobs[id], i)
			s.run(300 * time.Millisecond)
		}
	case "slow": // delays all packets to controllers, or to machines with tasks of a job
		for _, h := range p.hosts(t, d) {
			s.slow[h] = span(t, d, "by")
			if v := span(t, d, "for"); v > 0 {
				s.after(v, func() { delete(s.slow, h) })
			}
		}
	case "burst": // submits more work than fits, at several priorities
		s.burst(s.rng, arg(t, d, "count", 12))
	case "stream": // submits four one-task jobs a second and cancels a quarter of them
		s.stream(s.rng, span(t, d, "for"))
	case "calm": // marks the end of fault injection
		s.check.calm = s.now
	case "reborn": // restarts machines at once under the same names, with all state lost
		for _, h := range p.hosts(t, d) {
			s.cloud.machines[h].reborn()
		}
	case "repeat": // duplicates some reports and direct commands, delayed by at most this long
		s.again = span(t, d, "late")
	case "apart-node": // partitions a controller from the state service and its peers, but not from its workers
		for _, c := range p.pick(t, d) {
			s.state.refuse[c.name] = true
			for _, o := range s.nodes {
				if o != c {
					s.cuts = append(s.cuts, &cut{host: c.name, with: o.name, hold: d.HasArg("hold")})
				}
			}
		}
	case "left": // the number of tasks of a job that are on any machine
		return fmt.Sprint(s.somewhere(id))
	case "sent": // whether starts were sent directly to workers
		return fmt.Sprint(s.launches > 0)
	case "faulty":
		for _, h := range p.hosts(t, d) {
			s.cloud.machines[h].faulty = true
		}
	case "notice":
		for _, h := range p.hosts(t, d) {
			w := s.cloud.machines[h]
			in := span(t, d, "in")
			w.notice = s.now + in
			w.soon()
			s.after(in, w.vanish)
		}
	case "cleaned":
		return fmt.Sprintf("%v", s.state.cleaned > 3)
	case "machines":
		n := 0
		for _, m := range s.cloud.machines {
			if !d.HasArg("no-spot") || !m.spot {
				n++
			}
		}
		return fmt.Sprintf("%d", n)
	case "deleted":
		return fmt.Sprintf("%v", s.cloud.deleted > 0)
	case "switch": // changes a setting of all controllers, which applies at their next start
		for _, c := range s.nodes {
			c.cfg.Tunables.TakeoversKept = arg(t, d, "takeovers", 0)
		}
	case "config":
		s.reconfigure(fmt.Sprint(s.now), configChanges(t, d))
	case "config-state":
		return s.configState()
	case "resize":
		s.resize(fmt.Sprint(s.now), arg(t, d, "pool", "licence"), arg(t, d, "units", 1))
	case "out": // the units in use, counted from the tasks that run
		return fmt.Sprint(s.check.units()[arg(t, d, "pool", "licence")])
	case "takeovers": // the takeovers that the leader has recorded, latest first, with their steps reached
		l := s.leader()
		raw, known, err := l.core.Show(l.clock(), failover.Name)
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
		out := []string{fmt.Sprintf("%d entries in the log", s.state.owned(failover.Name))}
		for _, r := range list {
			out = append(out, fmt.Sprintf("epoch %d: %d steps", r.Epoch, len(r.After)))
		}
		return strings.Join(out, "\n")
	case "cold": // the leader's record of a cold start: differences by name, and unnecessary commands
		l := s.leader()
		if l == nil {
			return "no leader"
		}
		raw, known, err := l.core.Show(l.clock(), coldstart.Name)
		if err != nil || !known {
			return fmt.Sprintf("not available: %v", err)
		}
		var list []coldstart.Record
		if err := json.Unmarshal(raw, &list); err != nil {
			return err.Error()
		}
		if len(list) == 0 || list[0].Epoch != l.core.Epoch() {
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
		l := s.leader()
		if l == nil {
			return "no leader"
		}
		up, weight, machines := 0, 0.0, 0
		for _, c := range s.nodes {
			if c.up {
				up++
				weight++
			}
		}
		weight -= 1 - l.cfg.Tunables.RebalanceLeaderWeight
		blocks := l.core.Status(l.clock()).Blocks
		for _, b := range blocks {
			machines += b.Machines
		}
		for _, b := range blocks {
			w := 1.0
			if b.Holder == l.name {
				w = l.cfg.Tunables.RebalanceLeaderWeight
			}
			if float64(b.Machines) > 1.25*float64(machines)/weight*w+1 {
				return fmt.Sprintf("uneven: %s has %d of %d, %d controllers are up", b.Holder, b.Machines, machines, up)
			}
		}
		return "even"
	case "take": // the cloud reclaims machines that run tasks of a job, without notice
		for _, h := range p.hosts(t, d) {
			s.cloud.machines[h].vanish()
			delete(s.cloud.machines, h)
		}
	case "started": // the number of tasks started so far
		return fmt.Sprint(s.check.starts)
	case "noted":
		for _, c := range s.nodes {
			for _, n := range c.notes {
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
	case "rules":
		if len(s.check.broken) > 0 {
			return strings.Join(s.check.broken, "\n")
		}
		return "kept"
	case "answer":
		return s.jobs[id].state
	default:
		d.Fatalf(t, "%s: command not implemented", d.Cmd)
	}
	return "ok"
}

func (p *player) submit(t *testing.T, d *datadriven.TestData, id uint64) {
	kinds := map[string]uint8{"array": 0, "gang": 1, "service": 2}
	runS := span(t, d, "run")
	job := &eventlog.Job{
		ID: id, Class: "class", Team: arg(t, d, "team", "team"), Kind: kinds[arg(t, d, "kind", "array")],
		Priority: uint8(arg(t, d, "priority", 1)), Checkpoint: float64(arg(t, d, "checkpoint", 0)),
		Tasks: arg(t, d, "tasks", 1), CPUs: float64(arg(t, d, "cpus", 1)), MemoryGB: 1, Image: "image", ImageGB: 0.3,
		Zone: arg(t, d, "zone", ""), OneZone: d.HasArg("one-zone"), Spread: d.HasArg("spread"),
		Spot: !d.HasArg("no-spot"), EstimateS: max(1, runS.Seconds()),
	}
	if counted := arg(t, d, "counted", ""); counted != "" { // POOL:UNITS, …; /job: per job instead of per task
		for c := range strings.SplitSeq(counted, ",") {
			c, whole := strings.CutSuffix(c, "/job")
			pool, units, _ := strings.Cut(c, ":")
			n, err := strconv.Atoi(units)
			if err != nil {
				d.Fatalf(t, "counted: %v", err)
			}
			job.Counted = append(job.Counted, eventlog.PoolUnits{Pool: pool, Units: n, PerJob: whole})
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
	j := &userJob{id: id, run: runS, spec: wire.Submission{ID: id, HasID: true, Job: job}}
	p.s.jobs[id] = j
	first := p.s.now
	p.s.submit(j, arg(t, d, "at", 0), func() bool { return p.s.now-first < 60*time.Second })
}

func (p *player) pick(t *testing.T, d *datadriven.TestData) []*controller {
	switch who := arg(t, d, "node", "leader"); who {
	case "all":
		return p.s.nodes
	case "leader":
		if l := p.s.leader(); l != nil {
			return []*controller{l}
		}
		d.Fatalf(t, "no leader")
	default:
		for _, c := range p.s.nodes {
			if c.name == who {
				return []*controller{c}
			}
		}
		d.Fatalf(t, "unknown node %s", who)
	}
	return nil
}

// hosts returns the names of the selected controllers, or of machines that run tasks of a job.
func (p *player) hosts(t *testing.T, d *datadriven.TestData) []string {
	if d.HasArg("node") {
		var out []string
		for _, c := range p.pick(t, d) {
			out = append(out, c.name)
		}
		return out
	}
	id := uint64(arg(t, d, "job", 1))
	var out []string
	for n, w := range p.s.cloud.machines {
		for k := range w.tasks {
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

func (s *sim) running(id uint64) int { return s.inState(id, workers.Running) }

func (s *sim) inState(id uint64, state workers.TaskState) int {
	n := 0
	for _, w := range s.cloud.machines {
		for k, x := range w.tasks {
			if k.job == id && x.state == state {
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
	return s, j, &worker{s: s, name: "w1", zone: "a"}, &worker{s: s, name: "w2", zone: "b"}
}

// TestCheckerCatches violates each invariant on purpose, because a checker that detects
// nothing would pass every scenario.
func TestCheckerCatches(t *testing.T) {
	cases := []struct {
		rule string
		do   func(s *sim, j *userJob, w1, w2 *worker)
	}{
		{"ran_twice", func(s *sim, _ *userJob, w1, w2 *worker) {
			s.check.started(task{1, 0}, w1)
			s.check.started(task{1, 0}, w2)
		}},
		{"quota", func(s *sim, _ *userJob, w1, _ *worker) {
			for k := range 3 {
				s.check.started(task{1, k}, w1)
			}
		}},
		{"wrong_place", func(s *sim, j *userJob, w1, _ *worker) {
			w1.spot, j.spec.Job.Spot = true, false
			s.check.started(task{1, 0}, w1)
		}},
		{"wrong_place", func(s *sim, j *userJob, w1, w2 *worker) {
			j.spec.Job.OneZone = true
			s.check.started(task{1, 0}, w1)
			s.check.started(task{1, 1}, w2)
		}},
		{"wrong_place", func(s *sim, j *userJob, w1, _ *worker) {
			j.spec.Job.Spread, j.spec.Job.Tasks = true, 2
			s.check.started(task{1, 0}, w1)
			s.check.started(task{1, 1}, w1)
		}},
		{"ran_cancelled", func(s *sim, j *userJob, w1, _ *worker) {
			j.asked = true
			s.check.started(task{1, 0}, w1)
			s.check.told(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
			s.run(time.Minute)
		}},
		{"told_early", func(s *sim, j *userJob, w1, _ *worker) {
			j.asked = true
			w1.up, w1.tasks = true, map[task]*run{{1, 0}: {}}
			s.cloud.machines[w1.name] = w1
			s.check.told(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
		}},
		{"ran_cancelled", func(s *sim, j *userJob, w1, _ *worker) { // detected at once, not only after the deadline
			j.asked = true
			s.check.told(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
			s.check.started(task{1, 0}, w1)
		}},
		{"ran_cancelled", func(s *sim, j *userJob, w1, _ *worker) { // the task continues after its machine hung
			j.asked, j.byProduction, j.run = true, true, 90*time.Second
			w1.session, w1.tasks = 1, map[task]*run{} // there is no controller to report to
			w1.startTask(task{1, 0}, 1)
			s.run(time.Second)
			w1.hung = true
			s.check.told(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
			s.run(40 * time.Second)
		}},
		{"left_waiting", func(s *sim, j *userJob, w1, _ *worker) {
			s.check.calm, w1.up, w1.spot = 1, true, true
			s.cloud.machines[w1.name] = w1
			s.run(100 * time.Second)
		}},
		{"left_waiting", func(s *sim, j *userJob, w1, w2 *worker) { // a gang that fits on two machines together
			j.spec.Job.Kind, s.cfg.Deployment.Teams[0].CPUsMax = 1, 4
			w1.tasks = map[task]*run{{9, 0}: {}}
			s.jobs[9] = &userJob{id: 9, spec: wire.Submission{ID: 9, Job: &eventlog.Job{ID: 9, CPUs: 3}}}
			for _, w := range []*worker{w1, w2} {
				s.cloud.machines[w.name], w.up = w, true
			}
			s.check.calm = 1
			s.run(100 * time.Second)
		}},
		{"accepted_unfit", func(s *sim, _ *userJob, _, _ *worker) {
			s.check.unfit(8, wire.Submission{ID: 8, HasID: true, Bad: "herd: missing"}, answer{Answer: effects.Answer{Status: 201}}, true)
		}},
		{"accepted_unfit", func(s *sim, j *userJob, _, _ *worker) {
			s.check.unfit(8, wire.Submission{ID: 8, HasID: true, Job: j.spec.Job}, answer{Answer: effects.Answer{Status: 200}}, true)
		}},
		{"older_answer", func(s *sim, j *userJob, _, _ *worker) {
			s.run(time.Second)
			s.check.inOrder(j, answer{effects.Answer{Status: 200, State: wire.Done}, s.now})
			s.run(olderMost + time.Millisecond)
			s.check.inOrder(j, answer{effects.Answer{Status: 200, State: wire.Running}, time.Second})
		}},
		{"older_answer", func(s *sim, j *userJob, _, _ *worker) {
			s.run(time.Second)
			s.check.inOrder(j, answer{effects.Answer{Status: 201}, s.now})
			s.run(olderMost + time.Millisecond)
			s.check.inOrder(j, answer{effects.Answer{Status: 404}, time.Second})
		}},
		{"forgotten", func(s *sim, j *userJob, _, _ *worker) { s.check.told(j, effects.Answer{Status: 404}, s.now) }},
		{"forgotten", func(s *sim, j *userJob, _, _ *worker) { // every query about the job is rejected with 503
			s.check.calm = 1
			s.check.told(j, effects.Answer{Status: 503}, s.now)
			s.run(76 * time.Second)
			s.check.asked(j)
		}},
		{"begins_late", func(s *sim, j *userJob, w1, _ *worker) {
			s.run(beginsWithin + time.Second)
			s.check.started(task{1, 0}, w1)
			s.check.beginInTime(s.now)
		}},
		{"invented", func(s *sim, _ *userJob, _, _ *worker) {
			s.check.told(&userJob{id: 9}, effects.Answer{Status: 200}, s.now)
		}},
		{"not_done", func(s *sim, j *userJob, _, _ *worker) {
			s.check.told(j, effects.Answer{Status: 200, State: wire.Done}, s.now)
		}},
		{"went_back", func(s *sim, j *userJob, _, _ *worker) {
			j.toldDone, j.goneAt = true, -1
			s.check.told(j, effects.Answer{Status: 200, State: wire.Running}, s.now)
		}},
		{"went_back", func(s *sim, j *userJob, _, _ *worker) {
			s.check.told(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
		}},
		{"too_early", func(s *sim, j *userJob, w1, _ *worker) {
			second := *j.spec.Job
			second.Follows = []uint64{1}
			s.jobs[2] = &userJob{id: 2, spec: wire.Submission{ID: 2, Job: &second}}
			for k := range 3 {
				s.check.completed(task{1, k}) // all tasks but one
			}
			s.check.started(task{2, 0}, w1)
		}},
		{"orphaned", func(s *sim, j *userJob, _, _ *worker) {
			third := &userJob{id: 3, accepted: true, spec: wire.Submission{ID: 3, Job: &eventlog.Job{ID: 3, Tasks: 1, Follows: []uint64{2}}}}
			s.jobs[2] = &userJob{id: 2, spec: wire.Submission{ID: 2, Job: &eventlog.Job{ID: 2, Tasks: 1, Follows: []uint64{1}}}}
			j.asked = true
			s.check.told(j, effects.Answer{Status: 200, State: wire.Cancelled}, s.now)
			s.run(time.Minute)
			s.check.told(third, effects.Answer{Status: 200, State: wire.Queued}, s.now)
		}},
	}
	for _, c := range cases {
		s, j, w1, w2 := newCheckedSim()
		c.do(s, j, w1, w2)
		if !slices.ContainsFunc(s.check.broken, func(b string) bool { return strings.HasPrefix(b, c.rule) }) {
			t.Errorf("%s violated on purpose was not detected: %v", c.rule, s.check.broken)
		}
	}
}
