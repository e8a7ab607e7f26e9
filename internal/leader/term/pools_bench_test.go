package term

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// poolCases are the cases of the benchmarks of pools (go test -bench Pools) on 1,300 machines,
// the size of the larger fleet: without pools, with a thousand pools that no job needs, and
// with a thousand jobs of ten tasks that wait for units of these pools.
var poolCases = []struct {
	name           string
	pools, waiting int
}{{"none", 0, 0}, {"idle", 1000, 0}, {"demands", 1000, 1000}}

// newPoolTerm returns a full term with pools and jobs that wait for their units, and its log.
func newPoolTerm(pools, waiting int) (*Term, []eventlog.Entry) {
	entries, _ := fullLog(1300)
	for i := range waiting {
		rec := eventlog.Job{
			ID:        uint64(10000 + i),
			Class:     "c",
			Team:      "team",
			Priority:  1,
			Tasks:     10,
			CPUs:      1,
			MemoryGB:  1,
			Image:     "i",
			ImageGB:   .3,
			Spot:      true,
			EstimateS: 60,
			Counted: []eventlog.PoolUnits{
				{Pool: fmt.Sprint("pool", i%pools), Units: 1 + i%3},
				{Pool: fmt.Sprint("pool", (i*7+1)%pools), Units: 1},
			},
		}
		rec.EncodePoolUnits()
		entries = append(entries, eventlog.Entry{Job: &rec})
	}
	cfg := scaleSettings()
	for i := range pools {
		cfg.Tunables.Pools = append(cfg.Tunables.Pools, settings.Pool{Name: fmt.Sprint("pool", i), Units: 2})
	}
	t := New(cluster.TermStart{Cfg: cfg, Epoch: 2, Counts: &cluster.Counts{}})
	t.Load(0, 1, LoadedLog{First: 1, Last: 2, Entries: entries})
	return t, entries
}

// BenchmarkPoolsTick measures a tick with a scheduling cycle.
func BenchmarkPoolsTick(b *testing.B) {
	for _, c := range poolCases {
		b.Run(c.name, func(b *testing.B) {
			t, _ := newPoolTerm(c.pools, c.waiting)
			_, heartbeats := fullLog(1300)
			now := time.Second
			for i := range heartbeats {
				t.heartbeat(now, &heartbeats[i])
			}
			t.Tick(now, true)
			t.ValuesRead(now, "pools", nil, false, true)
			b.ReportAllocs()
			for b.Loop() {
				now += 500 * time.Millisecond
				b.StopTimer()
				for i := range heartbeats {
					t.Inventory.Find(heartbeats[i].Report.Machine).LastHeartbeat = now
				}
				b.StartTimer()
				t.Tick(now, true)
				t.DrainEffects()
			}
		})
	}
}

// BenchmarkPoolsReport measures a heartbeat without changes, and one in which a task has ended
// together with the scheduling cycle that follows.
func BenchmarkPoolsReport(b *testing.B) {
	for _, c := range poolCases {
		for _, change := range []string{"nothing new", "an end"} {
			b.Run(c.name+"/"+change, func(b *testing.B) {
				t, _ := newPoolTerm(c.pools, c.waiting)
				_, heartbeats := fullLog(1300)
				now := time.Second
				for i := range heartbeats {
					t.heartbeat(now, &heartbeats[i])
				}
				t.Tick(now, true)
				t.DrainEffects()
				t.ValuesRead(now, "pools", nil, false, true)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					r := &heartbeats[i%1300]
					if change == "an end" {
						if k := &r.Report.Tasks[i/1300%8]; k.State == workers.Running {
							k.State, k.Reason = workers.Ended, workers.Completed
						}
						now += 5 * time.Millisecond
					}
					t.heartbeat(now, r)
				}
			})
		}
	}
}

// BenchmarkPoolsReplay measures the replay of a log with demands for units, and the size of a
// job's entry in it.
func BenchmarkPoolsReplay(b *testing.B) {
	for _, c := range poolCases {
		b.Run(c.name, func(b *testing.B) {
			_, entries := newPoolTerm(c.pools, c.waiting)
			size := 0
			for _, e := range entries[len(entries)-c.waiting:] {
				raw, err := json.Marshal(e)
				if err != nil {
					b.Fatal(err)
				}
				size += len(raw)
			}
			for b.Loop() {
				newPoolTerm(c.pools, c.waiting)
			}
			b.ReportMetric(float64(size)/max(1, float64(c.waiting)), "bytes/job")
		})
	}
}
