package coldstart

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Whatever share of the machines is silent for ever, in whatever zones, and whichever
// controllers come and go: the census is settled after MaxSilenceAllowance at the latest, no sooner
// than the share is heard or what is missing does not merely come late, and stays so.
func TestCensusSettlesInBoundedTime(t *testing.T) {
	early := 0
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 3))
		p := Params{
			Share:    []float64{0, .5, .9, 1}[r.IntN(4)],
			Interval: time.Duration(1+r.IntN(5)) * time.Second,
			Peers:    r.IntN(4),
		}
		began := time.Duration(r.IntN(100)) * time.Second
		var zones []int
		for range 1 + r.IntN(4) {
			zones = append(zones, r.IntN(60))
		}
		c := NewCensus(began, p, zones)
		left := append([]int(nil), zones...)
		lost := r.Float64() // so many never come
		registered, heard, was := 0, 0, false
		for _, n := range zones {
			registered += n
		}
		for now := began; now <= began+c.MaxSilenceAllowance()+time.Second; now += 50 * time.Millisecond {
			if r.IntN(10) == 0 {
				c.PeersUnreached(now, r.IntN(p.Peers+1))
			}
			if z := r.IntN(len(zones)); left[z] > int(lost*float64(zones[z])) {
				left[z]--
				heard++
				c.MachineHeard(now, int32(z))
			}
			if c.SilenceAllowance() > c.MaxSilenceAllowance() {
				t.Fatalf("seed %d: patience of %v, at most %v", seed, c.SilenceAllowance(), c.MaxSilenceAllowance())
			}
			is := c.Settled(now)
			if was && !is {
				t.Fatalf("seed %d: settled no more", seed)
			}
			if is && !was && now-began < c.SilenceAllowance() {
				early++
				if p.Share == 1 && heard*2 < registered {
					t.Fatalf("seed %d: settled with %d of %d heard", seed, heard, registered)
				}
			}
			was = is
		}
		if !was {
			t.Fatalf("seed %d: %+v never ends", seed, p)
		}
	}
	if early < 100 {
		t.Errorf("settled before its time in only %d of 500", early)
	}
}

// A worker that lives is heard within SilenceAllowance, whatever it was doing when the leader
// began: between reports, waiting at a dead controller, or at one that came back after.
func TestSilenceAllowanceIsEnough(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 4))
		const n = 3
		interval := time.Duration(1+r.IntN(5)) * time.Second
		c := NewCensus(0, Params{Share: 1, Interval: interval, Peers: n - 1}, []int{1})
		var up [n]time.Duration // when each is back; the first one leads
		for i := 1; i < n; i++ {
			up[i] = time.Duration(r.IntN(20000)) * time.Millisecond
		}
		// The worker: at the node it tries, from when on, as the platform has it.
		at, node := -time.Duration(r.IntN(4000))*time.Millisecond, r.IntN(n)
		for at < up[node] { // until it is answered, by way of that node if it is not ours
			at += 5 * time.Second // four without an answer, one more before the next
			node = (node + 1) % n
		}
		if at < 0 {
			// Answered just before the term began: it comes with its next heartbeat.
			at += time.Duration(lateHeartbeatFactor * float64(interval))
		}
		var now time.Duration
		for ; now < at; now += 50 * time.Millisecond {
			away := 0
			for _, u := range up {
				if now < u {
					away++
				}
			}
			c.PeersUnreached(now, away)
			if now > c.SilenceAllowance() {
				t.Fatalf("seed %d: given up after %v, it comes at %v: %v", seed, now, at, up)
			}
		}
	}
}

// begun is the component of a term that has read ten registered machines and a job with tasks
// that may run on all of them.
func begun(change func(*cluster.TermStart, *settings.Tunables)) *Component {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Peers = []settings.Peer{{Node: "n1"}, {Node: "n2"}}
	cfg.Deployment.Workers.ReportS = 2
	cfg.Tunables.ColdListen, cfg.Tunables.ColdKept = 1, 3
	start := cluster.TermStart{
		Cfg:            cfg,
		ClockZeroMS:    1e6,
		Epoch:          7,
		LeaderMissedAt: 99 * time.Second,
		TermBegan:      100 * time.Second,
		Counts:         &cluster.Counts{},
		Metrics:        &cluster.Metrics{},
	}
	change(&start, &cfg.Tunables)
	s := cluster.New(start)
	s.EventLog = eventlog.NewLog(eventlog.Limits{WriteRPS: 1e6, ValueBytes: 8192, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	s.Zones.Index("a")
	j := s.Jobs.Add(eventlog.Job{ID: 1, Tasks: 20, EstimateS: 60})
	j.Phase, j.FromEarlierTerm, j.UnresolvedMachines, j.UnassignedFrom = jobs.Open, true, 10, 10
	for n := range 10 {
		s.Inventory.Add(&workers.Machine{Name: fmt.Sprint(n), Durable: true, Number: n + 1})
	}
	d := New(s)
	d.Replay(0, eventlog.Entry{Job: &eventlog.Job{ID: 1, AtMS: 1e6 + 60_000}})
	d.Begin(100 * time.Second)
	return d
}

// What tells a cold start from a failover: what this process has heard itself, and
// otherwise what the peers say. One that says nothing proves nothing.
func TestBeginningIsToldApart(t *testing.T) {
	at := 100 * time.Second
	led := func(ago, lasted time.Duration, f leadership.FleetKnowledge) leadership.LeaderRecord {
		return leadership.LeaderRecord{Known: true, Since: at - ago - lasted, Until: at - ago, Fleet: f}
	}
	none := leadership.LeaderRecord{}
	noPeer := func(*Component) {}
	noAnswer := func(d *Component) { d.Tick(at+2*time.Second, true) }
	for _, c := range []struct {
		name   string
		before leadership.LeaderRecord
		answer func(d *Component)
		want   startKind
	}{
		{"it heard a leader until now that knew its fleet", led(2*time.Second, time.Second, leadership.FleetKnown), noPeer, failoverStart},
		{"it heard one that says nothing of its fleet", led(2*time.Second, 9*time.Second, leadership.FleetUnspecified), noPeer, failoverStart},
		{"that one was gone before it could", led(2*time.Second, time.Second, leadership.FleetUnspecified), noAnswer, coldStart},
		{"it heard one that was listening still", led(2*time.Second, 9*time.Second, leadership.FleetReconciling), noAnswer, coldStart},
		{"it heard one long ago", led(50*time.Second, time.Minute, leadership.FleetKnown), noAnswer, coldStart},
		{"it never did, and nobody answers", none, noAnswer, coldStart},
		{"the peers have not answered yet", none, func(d *Component) { d.PreviousLeaderReported(at, "n1", none, true) }, undecided},
		{"nor did the peers", none, func(d *Component) {
			d.PreviousLeaderReported(at, "n1", none, true)
			d.PreviousLeaderReported(at, "n2", none, false)
		}, coldStart},
		{"a peer did", none, func(d *Component) {
			d.PreviousLeaderReported(at, "n1", none, true)
			d.PreviousLeaderReported(at, "n2", led(time.Second, time.Minute, leadership.FleetKnown), true)
		}, failoverStart},
		{"a peer did, long ago", none, func(d *Component) {
			d.PreviousLeaderReported(at, "n1", led(9*time.Second, time.Minute, leadership.FleetKnown), true)
			d.PreviousLeaderReported(at, "n2", none, true)
		}, coldStart},
		{"a peer heard one that was listening", none, func(d *Component) {
			d.PreviousLeaderReported(at, "n1", led(time.Second, 3*time.Second, leadership.FleetReconciling), true)
			d.PreviousLeaderReported(at, "n2", none, true)
		}, coldStart},
		{"it met a leader for a moment, a peer knows it", led(2*time.Second, 0, leadership.FleetUnspecified), func(d *Component) {
			d.PreviousLeaderReported(at, "n1", led(time.Second, time.Minute, leadership.FleetKnown), true)
		}, failoverStart},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := begun(func(s *cluster.TermStart, _ *settings.Tunables) { s.PreviousLeader = c.before })
			c.answer(d)
			if d.kind != c.want {
				t.Errorf("kind is %v, want %v", d.kind, c.want)
			}
			open := d.kind == failoverStart
			for _, action := range []cluster.Action{cluster.Rent, cluster.Return, cluster.Preempt, cluster.Move} {
				if got := d.Permits(at, action); got != open {
					t.Errorf("%v is permitted: %v, want %v", action, got, open)
				}
			}
			if !d.Permits(at, cluster.StartAgain) || !d.Permits(at, cluster.Delete) {
				t.Error("what is proved must not wait")
			}
		})
	}
}

// The account: work that comes back by being seen, done, and started again; orders, and
// which of them turned out to be needless; one entry in the end, which the next leaders
// remember.
func TestAccountCountsRecoveryAndNeedlessActions(t *testing.T) {
	d := begun(func(s *cluster.TermStart, _ *settings.Tunables) { s.Cfg.Peers = nil })
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	j, all := d.Jobs.ByID(1), d.Inventory.All()
	if d.kind != coldStart || d.account.current.Tasks != 10 || d.account.current.DownAtMostMS != 40_000 {
		t.Fatalf("kind %v, account %+v", d.kind, d.account.current)
	}
	for i, m := range all[:9] {
		d.HandleEvent(cluster.Event{Kind: cluster.MachineResolved, At: at(101), Machine: m})
		switch {
		case i < 5:
			d.HandleEvent(cluster.Event{Kind: cluster.TaskAdopted, At: at(101), Job: j, Task: i, Machine: m})
		case i < 8:
			d.HandleEvent(cluster.Event{Kind: cluster.TaskDone, At: at(102), Job: j, Task: i, RunSeconds: -1, Machine: m})
		default:
			d.HandleEvent(cluster.Event{Kind: cluster.TaskPlaced, At: at(103), Job: j, Task: i, Machine: m})
			d.HandleEvent(cluster.Event{Kind: cluster.TaskDone, At: at(104), Job: j, Task: i, RunSeconds: -1, Machine: m})
		}
	}
	d.Tick(at(104), true)
	rented, used := &workers.Machine{Name: "new"}, &workers.Machine{Name: "used"}
	for _, e := range []cluster.Event{
		{Kind: cluster.MachineDecommissioned, Machine: all[8], Action: cluster.Return},
		{Kind: cluster.MachineRented, Machine: rented},
		{Kind: cluster.MachineRented, Machine: used},
		{Kind: cluster.TaskPlaced, Machine: used, Job: j, Task: 9},
		{Kind: cluster.TaskPlaced, Machine: used, Job: j, Task: 15},
		{Kind: cluster.TaskStopped, Machine: used, Job: j, Task: 15, Action: cluster.Preempt},
		{Kind: cluster.MachineDecommissioned, Machine: used, Action: cluster.Return},
		{Kind: cluster.MachineDecommissioned, Machine: rented, Action: cluster.Return},
		{Kind: cluster.MachineDecommissioned, Machine: all[9], Action: cluster.Delete},
		{Kind: cluster.HeartbeatApplied, Machine: all[9], Report: &workers.Report{}},
		{Kind: cluster.HeartbeatApplied, Machine: all[9], Report: &workers.Report{}},
	} {
		e.At = at(110)
		d.HandleEvent(e)
	}
	d.Tick(at(100)+accountTime, true)
	d.Tick(at(200)+accountTime, true)
	raw, err := d.Show(0, "")
	if err != nil {
		t.Fatal(err)
	}
	var list []Record
	if err := json.Unmarshal(raw, &list); err != nil || len(list) != 1 {
		t.Fatalf("%s: %v", raw, err)
	}
	r := list[0]
	if r.Machines != 10 || r.Jobs != 1 || r.SettledMS != 4000 ||
		r.WorkHalfMS != 1000 || r.WorkNinetyMS != 3000 || r.WorkAllMS != 10000 {
		t.Errorf("%+v", r)
	}
	if fmt.Sprint(r.Orders) != "map[delete:1 preempt:1 rent:2 return:3 start_again:2 start_new:1]" {
		t.Errorf("orders: %v", r.Orders)
	}
	if fmt.Sprint(r.Needless) != "map[deleted_alive:1 rented_unused:1 returned_and_rent:2 started_done:1 stopped_soon:1]" {
		t.Errorf("needless: %v", r.Needless)
	}
	if d.EventLog.PendingCount() != 1 {
		t.Errorf("%d entries are written", d.EventLog.PendingCount())
	}
	// A successor remembers it, once, and no more than it is to keep.
	next := begun(func(s *cluster.TermStart, _ *settings.Tunables) {
		s.PreviousLeader = leadership.LeaderRecord{Known: true, Until: 99 * time.Second, Fleet: leadership.FleetKnown}
	})
	for _, epoch := range []uint64{1, 2, 7, 7} {
		r.Epoch = epoch
		data, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		next.Replay(0, eventlog.Entry{Component: &eventlog.ComponentEntry{Name: Name, Data: data}})
	}
	next.Replay(0, eventlog.Entry{Component: &eventlog.ComponentEntry{Name: Name, Data: json.RawMessage(`"?"`)}})
	if len(next.account.earlier) != 3 || next.account.earlier[2].Epoch != 7 {
		t.Errorf("%d are remembered", len(next.account.earlier))
	}
}

// Work that is cancelled is recovered when its job leaves, not at the beginning.
func TestCancelledWorkIsRecoveredWhenItsJobLeaves(t *testing.T) {
	d := begun(func(s *cluster.TermStart, _ *settings.Tunables) { s.Cfg.Peers = nil })
	heard := d.Inventory.All()[0]
	d.HandleEvent(cluster.Event{Kind: cluster.HeartbeatApplied, At: 107 * time.Second, Machine: heard, Report: &workers.Report{}})
	d.HandleEvent(cluster.Event{Kind: cluster.JobRemoved, Job: d.Jobs.ByID(1)})
	if d.account.current.WorkAllMS != 7000 || !d.account.allRecovered() {
		t.Errorf("back after %d ms", d.account.current.WorkAllMS)
	}
}

// Where nothing was left behind there is nothing to listen to: the very first start of an
// installation rents at once.
func TestFirstStartOfAnInstallationIsNoColdStart(t *testing.T) {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Peers = []settings.Peer{{Node: "n1"}}
	cfg.Tunables.ColdListen = 1
	s := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: 1, Counts: &cluster.Counts{}})
	d := New(s)
	d.Begin(0)
	if d.kind != failoverStart || !s.Permits(0, cluster.Rent) || s.SilenceAllowance() != 0 {
		t.Errorf("kind %v", d.kind)
	}
	for _, e := range s.DrainEffects() {
		if _, asks := e.(effects.AskPreviousLeader); asks {
			t.Error("the peers are asked")
		}
	}
}
