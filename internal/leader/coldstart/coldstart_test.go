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

// The census settles after MaxSilenceAllowance at the latest and stays settled, whatever share
// of the machines never reports, in whatever zones, and however often peers are lost and come
// back. It does not settle before enough machines are heard, unless the missing ones cannot
// merely be late.
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
		unheard := append([]int(nil), zones...)
		silentShare := r.Float64() // share of the machines that never report
		registered, heard, wasSettled := 0, 0, false
		for _, n := range zones {
			registered += n
		}
		for now := began; now <= began+c.MaxSilenceAllowance()+time.Second; now += 50 * time.Millisecond {
			if r.IntN(10) == 0 {
				c.SetUnreachablePeers(now, r.IntN(p.Peers+1))
			}
			if z := r.IntN(len(zones)); unheard[z] > int(silentShare*float64(zones[z])) {
				unheard[z]--
				heard++
				c.MachineHeard(now, int32(z))
			}
			if c.SilenceAllowance() > c.MaxSilenceAllowance() {
				t.Fatalf("seed %d: allowance is %v, want at most %v", seed, c.SilenceAllowance(), c.MaxSilenceAllowance())
			}
			isSettled := c.Settled(now)
			if wasSettled && !isSettled {
				t.Fatalf("seed %d: census is no longer settled", seed)
			}
			if isSettled && !wasSettled && now-began < c.SilenceAllowance() {
				early++
				if p.Share == 1 && heard*2 < registered {
					t.Fatalf("seed %d: census settled with %d of %d machines heard", seed, heard, registered)
				}
			}
			wasSettled = isSettled
		}
		if !wasSettled {
			t.Fatalf("seed %d: census with %+v never settles", seed, p)
		}
	}
	if early < 100 {
		t.Errorf("census settled before SilenceAllowance in only %d of 500 runs, want at least 100", early)
	}
}

// A live worker is heard within SilenceAllowance, whatever its state at the start of the term:
// between heartbeats, or waiting for a controller that is down or comes back later.
func TestSilenceAllowanceIsEnough(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 4))
		const n = 3
		interval := time.Duration(1+r.IntN(5)) * time.Second
		c := NewCensus(0, Params{Share: 1, Interval: interval, Peers: n - 1}, []int{1})
		var upAt [n]time.Duration // when each controller comes back; the first one is the leader
		for i := 1; i < n; i++ {
			upAt[i] = time.Duration(r.IntN(20000)) * time.Millisecond
		}
		// The worker tries a node at a time, with the timing of the platform's workers.
		at, node := -time.Duration(r.IntN(4000))*time.Millisecond, r.IntN(n)
		for at < upAt[node] { // until it is answered; a node that does not lead relays the heartbeat
			at += 5 * time.Second // four seconds without an answer, one more before the next attempt
			node = (node + 1) % n
		}
		if at < 0 {
			// It was answered just before the term began, so its next heartbeat is the first one.
			at += time.Duration(lateHeartbeatFactor * float64(interval))
		}
		var now time.Duration
		for ; now < at; now += 50 * time.Millisecond {
			unreachable := 0
			for _, u := range upAt {
				if now < u {
					unreachable++
				}
			}
			c.SetUnreachablePeers(now, unreachable)
			if now > c.SilenceAllowance() {
				t.Fatalf("seed %d: allowance ended at %v, but the worker reports at %v; controllers are up at %v", seed, now, at, upAt)
			}
		}
	}
}

// newComponent returns the component of a term that has replayed ten registered machines and a job
// whose tasks may be running on all of them.
func newComponent(change func(*cluster.TermStart, *settings.Tunables)) *Component {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Peers = []settings.Peer{{Node: "n1"}, {Node: "n2"}}
	cfg.Deployment.Workers.ReportS = 2
	cfg.Tunables.ColdStartCensus, cfg.Tunables.ColdRecordsKept = 1, 3
	start := cluster.TermStart{
		Cfg:                  cfg,
		ClockOriginUnixMS:    1e6,
		Epoch:                7,
		LeaderLossDetectedAt: 99 * time.Second,
		TermBegan:            100 * time.Second,
		Counts:               &cluster.Counts{},
		Metrics:              &cluster.Metrics{},
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

// A cold start is distinguished from a failover by what this process has heard itself, and
// otherwise by the peers' answers. A peer that does not answer proves nothing.
func TestStartKindIsDetected(t *testing.T) {
	at := 100 * time.Second
	led := func(ago, lasted time.Duration, f leadership.FleetKnowledge) leadership.LeaderRecord {
		return leadership.LeaderRecord{Known: true, Since: at - ago - lasted, Until: at - ago, Fleet: f}
	}
	none := leadership.LeaderRecord{}
	noAction := func(*Component) {}
	noAnswer := func(d *Component) { d.Tick(at+2*time.Second, true) }
	for _, c := range []struct {
		name   string
		before leadership.LeaderRecord
		answer func(d *Component)
		want   startKind
	}{
		{"it recently heard a leader with a known fleet", led(2*time.Second, time.Second, leadership.FleetKnown), noAction, failoverStart},
		{"it recently heard a leader that announced nothing", led(2*time.Second, 9*time.Second, leadership.FleetUnspecified), noAction, failoverStart},
		{"that leader was gone too soon to announce anything", led(2*time.Second, time.Second, leadership.FleetUnspecified), noAnswer, coldStart},
		{"it recently heard a leader that was still reconciling", led(2*time.Second, 9*time.Second, leadership.FleetReconciling), noAnswer, coldStart},
		{"it heard a leader long ago", led(50*time.Second, time.Minute, leadership.FleetKnown), noAnswer, coldStart},
		{"it never heard a leader and no peer answers", none, noAnswer, coldStart},
		{"the peers have not answered yet", none, func(d *Component) { d.PreviousLeaderReported(at, "n1", none, true) }, undecided},
		{"no peer heard a leader", none, func(d *Component) {
			d.PreviousLeaderReported(at, "n1", none, true)
			d.PreviousLeaderReported(at, "n2", none, false)
		}, coldStart},
		{"a peer recently heard a leader", none, func(d *Component) {
			d.PreviousLeaderReported(at, "n1", none, true)
			d.PreviousLeaderReported(at, "n2", led(time.Second, time.Minute, leadership.FleetKnown), true)
		}, failoverStart},
		{"a peer heard a leader long ago", none, func(d *Component) {
			d.PreviousLeaderReported(at, "n1", led(9*time.Second, time.Minute, leadership.FleetKnown), true)
			d.PreviousLeaderReported(at, "n2", none, true)
		}, coldStart},
		{"a peer recently heard a leader that was reconciling", none, func(d *Component) {
			d.PreviousLeaderReported(at, "n1", led(time.Second, 3*time.Second, leadership.FleetReconciling), true)
			d.PreviousLeaderReported(at, "n2", none, true)
		}, coldStart},
		{"it heard a leader briefly, a peer for longer", led(2*time.Second, 0, leadership.FleetUnspecified), func(d *Component) {
			d.PreviousLeaderReported(at, "n1", led(time.Second, time.Minute, leadership.FleetKnown), true)
		}, failoverStart},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newComponent(func(s *cluster.TermStart, _ *settings.Tunables) { s.PreviousLeader = c.before })
			c.answer(d)
			if d.kind != c.want {
				t.Errorf("kind is %v, want %v", d.kind, c.want)
			}
			wantPermitted := d.kind == failoverStart
			for _, action := range []cluster.Action{cluster.Rent, cluster.Return, cluster.Preempt, cluster.Move} {
				if got := d.Permits(at, action); got != wantPermitted {
					t.Errorf("Permits(%v) = %v, want %v", action, got, wantPermitted)
				}
			}
			if !d.Permits(at, cluster.StartAgain) || !d.Permits(at, cluster.Delete) {
				t.Error("starts and deletions are not permitted, want always permitted")
			}
		})
	}
}

// Work counts as recovered when it is found, done or started again. Actions are counted, and
// those that turn out to be needless as well. One entry is written in the end, from which
// later leaders restore the record.
func TestRecordCountsRecoveryAndNeedlessActions(t *testing.T) {
	d := newComponent(func(s *cluster.TermStart, _ *settings.Tunables) { s.Cfg.Peers = nil })
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	j, all := d.Jobs.ByID(1), d.Inventory.All()
	if d.kind != coldStart || d.recorder.current.Tasks != 10 || d.recorder.current.DownAtMostMS != 40_000 {
		t.Fatalf("kind is %v, record is %+v", d.kind, d.recorder.current)
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
	d.Tick(at(100)+recordingTime, true)
	d.Tick(at(200)+recordingTime, true)
	raw, err := d.Show(0, "")
	if err != nil {
		t.Fatal(err)
	}
	var list []Record
	if err := json.Unmarshal(raw, &list); err != nil || len(list) != 1 {
		t.Fatalf("records are %s, want a list of one: %v", raw, err)
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
		t.Errorf("%d entries were written, want 1", d.EventLog.PendingCount())
	}
	// A later leader keeps each record once, and no more records than its limit.
	next := newComponent(func(s *cluster.TermStart, _ *settings.Tunables) {
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
	if len(next.recorder.earlier) != 3 || next.recorder.earlier[2].Epoch != 7 {
		t.Errorf("%d records are kept, want 3 with epoch 7 last", len(next.recorder.earlier))
	}
}

// The tasks of a cancelled job count as recovered when the job is removed, not before.
func TestCancelledJobIsRecoveredWhenRemoved(t *testing.T) {
	d := newComponent(func(s *cluster.TermStart, _ *settings.Tunables) { s.Cfg.Peers = nil })
	heard := d.Inventory.All()[0]
	d.HandleEvent(cluster.Event{Kind: cluster.HeartbeatApplied, At: 107 * time.Second, Machine: heard, Report: &workers.Report{}})
	d.HandleEvent(cluster.Event{Kind: cluster.JobRemoved, Job: d.Jobs.ByID(1)})
	if d.recorder.current.WorkAllMS != 7000 || !d.recorder.allRecovered() {
		t.Errorf("work was recovered after %d ms, want 7000", d.recorder.current.WorkAllMS)
	}
}

// The first start of an installation has nothing to recover, so it is not a cold start and may
// rent machines at once.
func TestFirstStartOfAnInstallationIsNoColdStart(t *testing.T) {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Peers = []settings.Peer{{Node: "n1"}}
	cfg.Tunables.ColdStartCensus = 1
	s := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: 1, Counts: &cluster.Counts{}})
	d := New(s)
	d.Begin(0)
	if d.kind != failoverStart || !s.Permits(0, cluster.Rent) || s.SilenceAllowance() != 0 {
		t.Errorf("kind is %v, want a failover start that permits renting", d.kind)
	}
	for _, e := range s.DrainEffects() {
		if _, asks := e.(effects.AskPreviousLeader); asks {
			t.Error("peers were asked although there is nothing to recover")
		}
	}
}
