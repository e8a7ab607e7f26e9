package term

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

func scaleSettings() *settings.Settings {
	c := &settings.Settings{Tunables: settings.Defaults()}
	c.Deployment.Teams = []settings.Team{{Name: "team"}}
	c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS, c.Deployment.Workers.CancelS = 4, 22, 47
	c.Deployment.State.WriteRPS, c.Deployment.State.ValueKB, c.Deployment.State.TxnOps = 80, 16, 16
	c.Deployment.Cloud.RPS = 8
	return c
}

// jobCount is the number of jobs in a full term, and tasksPerMachine the number of tasks that
// run on each of its machines.
const (
	jobCount        = 100
	tasksPerMachine = 8
)

// fullLog returns a log and the heartbeats of its machines. Each machine runs eight tasks, which
// are spread over a hundred jobs. Each job has 200 further tasks that do not run.
func fullLog(machines int) ([]eventlog.Entry, []effects.RelayedHeartbeat) {
	entries := []eventlog.Entry{{MachineTypes: []eventlog.MachineType{
		{Name: "t", CPUs: 8, MemoryGB: 64, CacheGB: 40, FetchGBPS: 1, Price: 1, SpotPrice: 1, Zones: []string{"a"}},
	}}}
	for i := range jobCount {
		entries = append(entries, eventlog.Entry{Job: &eventlog.Job{
			ID:        uint64(i + 1),
			Class:     "class",
			Team:      "team",
			Tasks:     200 + tasksPerMachine*machines/jobCount,
			CPUs:      1,
			MemoryGB:  1,
			Image:     fmt.Sprint(i % 10),
			ImageGB:   1,
			Spot:      true,
			EstimateS: 60,
		}})
	}
	var heartbeats []effects.RelayedHeartbeat
	for i := range machines {
		m := eventlog.Machine{Name: fmt.Sprintf("m%04d", i), Address: "x", Type: "t", Zone: "a", Number: i + 1}
		entries = append(entries, eventlog.Entry{Machine: &m})
		report := workers.Report{
			Machine: m.Name,
			Address: "x",
			Type:    "t",
			Zone:    "a",
			Session: 1,
			Token:   2 << cluster.TokenBits,
		}
		for k := range tasksPerMachine {
			n := i*tasksPerMachine + k
			report.Tasks = append(report.Tasks, workers.TaskReport{
				Job:     uint64(n%jobCount + 1),
				Task:    n / jobCount,
				Attempt: 1,
				State:   workers.Running,
			})
		}
		heartbeats = append(heartbeats, effects.RelayedHeartbeat{Via: "n", Life: 1, Report: report})
	}
	return entries, heartbeats
}

// newFullTerm returns a term that has replayed the log of fullLog, and the machines' heartbeats.
func newFullTerm(machines int) (*Term, []effects.RelayedHeartbeat) {
	entries, heartbeats := fullLog(machines)
	t := New(cluster.TermStart{Cfg: scaleSettings(), Epoch: 2, Counts: &cluster.Counts{}})
	t.Load(0, 1, LoadedLog{First: 1, Last: 2, Entries: entries})
	return t, heartbeats
}

// heartbeat passes one heartbeat to a term, with the next sequence number, and discards the
// effects.
func (t *Term) heartbeat(now time.Duration, in *effects.RelayedHeartbeat) {
	in.Report.Seq++
	t.HandleHeartbeat(now, true, 1, *in)
	t.Flush(now)
	t.DrainEffects()
}

// The cost of a heartbeat without changes must not grow with the number of machines, jobs and
// tasks in the cluster.
func TestHeartbeatCostIsIndependentOfScale(t *testing.T) {
	cost := func(machines int) float64 {
		term, heartbeats := newFullTerm(machines)
		now := time.Second
		for i := range heartbeats {
			term.heartbeat(now, &heartbeats[i])
		}
		term.Tick(now, true)
		term.heartbeat(now, &heartbeats[0])
		return testing.AllocsPerRun(50, func() { term.heartbeat(now, &heartbeats[0]) })
	}
	small, large := cost(50), cost(1000)
	if large > small+5 || large > 60 {
		t.Errorf("a heartbeat takes %v allocations with 1000 machines, %v with 50", large, small)
	}
}

// The incrementally updated sums of what unresolved machines may use equal a full recount at
// every step, as machines report or are deleted.
func TestUnresolvedSumsMatchRecount(t *testing.T) {
	entries := fullLogWithGrants(60)
	for i := range entries { // assign the jobs to three teams
		if j := entries[i].Job; j != nil {
			copied := *j
			copied.Team = fmt.Sprint("team", j.ID%3)
			entries[i].Job = &copied
		}
	}
	_, heartbeats := fullLog(60)
	term := New(cluster.TermStart{Cfg: scaleSettings(), Epoch: 2, Counts: &cluster.Counts{}})
	term.Load(0, 1, LoadedLog{First: 1, Last: 2, Entries: entries})
	r := rand.New(rand.NewPCG(3, 3))
	r.Shuffle(len(heartbeats), func(i, j int) { heartbeats[i], heartbeats[j] = heartbeats[j], heartbeats[i] })
	for i := 0; ; i++ {
		recount := map[int32]int64{}
		left := 0
		for _, m := range term.Inventory.All() {
			if m.Durable && !m.Resolved {
				left++
				for _, team := range m.ClaimedByTeams {
					recount[team] += m.Capacity.CPU
				}
			}
		}
		n, _ := term.Unresolved()
		for team, sum := range term.Snapshot(0).UnresolvedUse {
			if sum.CPU != recount[int32(team)] || n != left {
				t.Fatalf("after %d machines: sum %d of team %d, recount %d; %d unresolved machines, recount %d",
					i, sum.CPU, team, recount[int32(team)], n, left)
			}
		}
		if i == len(heartbeats) {
			if left != 0 {
				t.Errorf("%d machines are never resolved", left)
			}
			return
		}
		if i%3 == 0 {
			term.MachinesDeleted(time.Second, []string{heartbeats[i].Report.Machine}, true)
		} else {
			term.heartbeat(time.Second, &heartbeats[i])
		}
	}
}

// The cost of a completion, and of a machine's first heartbeat after a takeover, must not grow
// with the number of machines. The test compares allocations at 100 and at 1,000 machines.
func TestCompletionAndTakeoverCostIsIndependentOfScale(t *testing.T) {
	completion := func(machines int) float64 {
		term, heartbeats := newFullTerm(machines)
		for i := range heartbeats {
			term.heartbeat(time.Second, &heartbeats[i])
		}
		term.Tick(time.Second, true)
		n := 0
		return testing.AllocsPerRun(machines/2, func() {
			r := &heartbeats[n%machines]
			r.Report.Tasks[n/machines].State, r.Report.Tasks[n/machines].Reason = workers.Ended, workers.Completed
			term.heartbeat(time.Second, r)
			n++
		})
	}
	resolve := func(machines int) float64 {
		_, heartbeats := fullLog(machines)
		term := New(cluster.TermStart{Cfg: scaleSettings(), Epoch: 2, Counts: &cluster.Counts{}})
		term.Load(0, 1, LoadedLog{First: 1, Last: 2, Entries: fullLogWithGrants(machines)})
		n := 0
		return testing.AllocsPerRun(machines/2, func() {
			term.heartbeat(time.Second, &heartbeats[n%machines])
			n++
		})
	}
	for name, cost := range map[string]func(int) float64{"a completion": completion, "a first heartbeat": resolve} {
		t.Run(name, func(t *testing.T) {
			if small, large := cost(100), cost(1000); large > small+6 || large > 80 {
				t.Errorf("%v allocations with 1,000 machines, %v with 100", large, small)
			}
		})
	}
}

// BenchmarkReports measures a round of heartbeats of all machines, with a tick after every
// twentieth.
func BenchmarkReports(b *testing.B) {
	term, heartbeats := newFullTerm(1000)
	now := time.Second
	for b.Loop() {
		for i := range heartbeats {
			term.heartbeat(now, &heartbeats[i])
			if i%20 == 0 {
				now += 70 * time.Millisecond
				term.Tick(now, true)
				term.DrainEffects()
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(heartbeats)), "µs/report")
}
