package runtimes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// fullModelValues returns stored values of at most the given size that hold the given number of kinds
// with nine nights each, and their total size.
func fullModelValues(kinds, bytes int) (values []eventlog.ComponentValue, total int) {
	s := newValueStore(bytes)
	var v storedValue
	flush := func(n int) {
		raw, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		total += len(raw)
		values = append(values, eventlog.ComponentValue{Key: eventlog.ComponentValueKey(Name, n), Data: raw})
		v.Kinds = nil
	}
	v.Version = valueVersion
	last := maxNights
	for k := range kinds {
		kind := Kind{fmt.Sprint("class", k%20), "team", fmt.Sprint("image", k), "7x10", false}
		if n := s.assign(kind); n != last {
			flush(last)
			last = n
		}
		x := storedKind{Kind: kindFields(kind), At: 1}
		for n := range maxNights {
			x.Nights = append(x.Nights, Night{Day: int32(n), Jobs: 3, Tasks: 120, P50: 20.4, P90: 31.2, Fetch: 3.2, JobP50: 60.2, JobP90: 88.5, RatioP10: .5, RatioP50: 1.1, RatioP90: 1.8}.numbers())
		}
		v.Kinds = append(v.Kinds, x)
	}
	flush(last)
	return values, total
}

func newLeader(kinds int) *Component {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Tunables.RunTimesKinds = kinds
	cfg.Deployment.State.WriteRPS = 40
	return New(cluster.New(cluster.TermStart{Cfg: cfg, Epoch: 2, Counts: &cluster.Counts{}}))
}

// BenchmarkReadTenThousandKinds measures how a new leader reads the values of a full model:
// ten thousand kinds of nine nights. It reads them after its term has begun, so this does not delay its first
// work.
func BenchmarkReadTenThousandKinds(b *testing.B) {
	for _, bytes := range []int{960, 8128} {
		b.Run(fmt.Sprint(bytes), func(b *testing.B) {
			values, total := fullModelValues(10000, bytes)
			b.ReportAllocs()
			for b.Loop() {
				d := newLeader(10000)
				d.Begin(0)
				for i := 0; i < len(values); i += 16 {
					d.Tick(time.Duration(i)*time.Millisecond, true)
					d.ValuesRead(0, values[i:min(i+16, len(values))], i+16 < len(values), true)
				}
				if d.model.Len() != 10000 {
					b.Fatal(d.model.Len())
				}
			}
			b.ReportMetric(float64(total)/10000, "bytes/kind")
			b.ReportMetric(float64(len(values)), "values")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64((len(values)+15)/16), "µs/page")
		})
	}
}

// BenchmarkMemoryTenThousandKinds measures the memory of nine thousand kinds in a model of at most
// ten thousand, with closed nights and with an open one.
func BenchmarkMemoryTenThousandKinds(b *testing.B) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		before := heap()
		r := rand.New(rand.NewPCG(4, 4))
		d := newLeader(10000)
		d.Begin(0)
		d.Tick(0, true)
		values, _ := fullModelValues(9000, 8128)
		d.ValuesRead(0, values, false, true)
		closed := heap()
		for n := range 9000 {
			d.countRecord(recordOf(uint64(n+1), 40, Kind{fmt.Sprint("class", n%20), "team", fmt.Sprint("image", n), "7x10", false}, 20, lognormalTimes(r, 40, 20, .3)))
		}
		open := heap()
		b.ReportMetric((closed-before)/9000, "closed-B/kind")
		b.ReportMetric((open-closed)/9000, "open-B/kind")
		runtime.KeepAlive(d)
	}
}

// BenchmarkNightEnds measures the longest tick when the night of nine thousand kinds ends. Closing is
// spread over ticks.
func BenchmarkNightEnds(b *testing.B) {
	r := rand.New(rand.NewPCG(4, 4))
	for b.Loop() {
		b.StopTimer()
		d := newLeader(10000)
		d.Begin(0)
		d.Tick(0, true)
		d.ValuesRead(0, nil, false, true)
		d.EventLog = eventlog.NewLog(eventlog.Limits{WriteRPS: 40, ValueBytes: 8192, TxnOps: 9}, "lead/epoch", 1, 1, 0)
		for n := range 9000 {
			d.countRecord(recordOf(uint64(n+1), 0, Kind{fmt.Sprint("class", n%20), "team", fmt.Sprint("image", n), "7x10", false}, 20, lognormalTimes(r, 40, 20, .3)))
		}
		b.StartTimer()
		longest, ticks := time.Duration(0), 0
		for now := 40 * time.Hour; ticks == 0 || len(d.closingKinds) > 0; now += 50 * time.Millisecond {
			from := time.Now()
			d.Tick(now, true)
			longest = max(longest, time.Since(from))
			ticks++
			d.DrainEffects()
		}
		b.ReportMetric(float64(longest.Microseconds()), "µs/longest-tick")
		b.ReportMetric(float64(ticks), "ticks")
	}
}
