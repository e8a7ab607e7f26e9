package term

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// machineCounts are the fleet sizes of the scale benchmarks (go test -bench Scale): 650, 1,300
// and twice that. There are 100 jobs with 200 waiting tasks each; every machine runs 8 tasks.
var machineCounts = []int{650, 1300, 2600}

// newSettledTerm returns a term after a scheduling cycle, all of whose machines have reported.
func newSettledTerm(machines int) (*Term, []effects.RelayedHeartbeat, time.Duration) {
	t, heartbeats := newFullTerm(machines)
	now := time.Second
	for i := range heartbeats {
		t.heartbeat(now, &heartbeats[i])
	}
	t.Tick(now, true)
	t.DrainEffects()
	return t, heartbeats, now
}

// BenchmarkScaleReport measures a heartbeat without changes.
func BenchmarkScaleReport(b *testing.B) {
	for _, n := range machineCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, heartbeats, now := newSettledTerm(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t.heartbeat(now, &heartbeats[i%n])
			}
		})
	}
}

// BenchmarkScaleTick measures a tick with a scheduling cycle and all work that is due twice a
// second.
func BenchmarkScaleTick(b *testing.B) {
	for _, n := range machineCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, heartbeats, now := newSettledTerm(n)
			b.ReportAllocs()
			for b.Loop() {
				now += 500 * time.Millisecond
				b.StopTimer()
				for i := range heartbeats { // no machine is silent
					t.Inventory.Find(heartbeats[i].Report.Machine).LastHeartbeat = now
				}
				b.StartTimer()
				t.Tick(now, true)
				t.DrainEffects()
			}
		})
	}
}

// BenchmarkScaleCompletion measures a heartbeat in which one task has ended, with the
// scheduling cycle and the task start that follow.
func BenchmarkScaleCompletion(b *testing.B) {
	for _, n := range machineCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, heartbeats, now := newSettledTerm(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := &heartbeats[i%n]
				k := &r.Report.Tasks[i/n%8]
				if k.State == workers.Running {
					k.State, k.Reason = workers.Ended, workers.Completed
				}
				now += 5 * time.Millisecond
				t.heartbeat(now, r)
			}
		})
	}
}

// BenchmarkScaleReplay measures the replay of a log with all machines, all jobs, and a grant
// of each job on every fifth machine.
func BenchmarkScaleReplay(b *testing.B) {
	for _, n := range machineCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			entries := fullLogWithGrants(n)
			size := 0
			for _, e := range entries {
				raw, err := json.Marshal(e)
				if err != nil {
					b.Fatal(err)
				}
				size += len(raw)
			}
			b.ReportMetric(float64(size)/1024, "KiB")
			b.ReportAllocs()
			for b.Loop() {
				t := New(cluster.TermStart{Cfg: scaleSettings(), Epoch: 2, Counts: &cluster.Counts{}})
				t.Load(0, 1, LoadedLog{First: 1, Last: 2, Entries: entries})
			}
		})
	}
}

// fullLogWithGrants returns a full log with a grant of each job on every fifth machine.
func fullLogWithGrants(machines int) []eventlog.Entry {
	entries, _ := fullLog(machines)
	for j := range 100 {
		for from := j % 5; from < machines; from += 500 {
			g := eventlog.Grant{Job: uint64(j + 1)}
			for m := from; m < min(from+500, machines); m += 5 {
				g.Machines = append(g.Machines, m+1)
			}
			entries = append(entries, eventlog.Entry{Grant: &g})
		}
	}
	return entries
}

// BenchmarkScaleResolve measures the first heartbeats of all machines after a takeover, each
// with its eight tasks.
func BenchmarkScaleResolve(b *testing.B) {
	for _, n := range machineCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			entries := fullLogWithGrants(n)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				_, heartbeats := fullLog(n)
				t := New(cluster.TermStart{Cfg: scaleSettings(), Epoch: 2, Counts: &cluster.Counts{}})
				t.Load(0, 1, LoadedLog{First: 1, Last: 2, Entries: entries})
				b.StartTimer()
				for i := range heartbeats {
					t.heartbeat(time.Second, &heartbeats[i])
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*n), "µs/machine")
		})
	}
}
