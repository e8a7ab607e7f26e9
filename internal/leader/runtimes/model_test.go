package runtimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// recordOf returns a run record of tasks with the given times.
func recordOf(id uint64, day int32, k Kind, owner float64, times []float64) *RunRecord {
	slices.Sort(times)
	record := &RunRecord{ID: id, At: int64(day) * 86400, Day: day, Kind: k, CountedTasks: len(times), Estimate: owner, Job: times[len(times)-1] + 5, Fetch: 2}
	for i, q := range recordQuantiles {
		record.TaskQuantiles[i] = times[min(int(q*float64(len(times))), len(times)-1)]
	}
	return record
}

// lognormalTimes returns n lognormal times; spread is the standard deviation of their logarithms.
func lognormalTimes(r *rand.Rand, n int, median, spread float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = median * math.Exp(spread*r.NormFloat64())
	}
	return out
}

var reconKind = Kind{Class: "recon", Team: "ops", Image: "img-1", Shape: "7x10"}

// addNights adds n nights of three jobs each; medianOf returns the median task time of a night.
func addNights(b *Model, n int, k Kind, medianOf func(day int) float64) {
	r := rand.New(rand.NewPCG(5, 5))
	for day := range n {
		for j := range 3 {
			b.AddRun(recordOf(uint64(day*3+j+1), int32(day), k, 20, lognormalTimes(r, 40, medianOf(day), .15)))
		}
	}
}

// A single night on which all tasks are three times slower changes the next estimates by at
// most 10 %.
func TestOutlierNightBarelyMovesEstimates(t *testing.T) {
	for outlier := 3; outlier < 30; outlier++ {
		baseline, affected := NewModel(100), NewModel(100)
		addNights(baseline, outlier+2, reconKind, func(int) float64 { return 20 })
		addNights(affected, outlier+2, reconKind, func(day int) float64 {
			if day == outlier {
				return 60
			}
			return 20
		})
		a, b := baseline.Estimate(reconKind, 20, 0), affected.Estimate(reconKind, 20, 0)
		if d := b.P50/a.P50 - 1; math.Abs(d) > .1 {
			t.Errorf("slow night %d: p50 changes by %.2f", outlier, d)
		}
		if d := b.P90/a.P90 - 1; math.Abs(d) > .1 {
			t.Errorf("slow night %d: p90 changes by %.2f", outlier, d)
		}
	}
}

// During thirty nights of slow drift, estimates lag by at most five nights.
func TestDriftIsFollowed(t *testing.T) {
	b := NewModel(100)
	mean := func(day int) float64 { return 20 * math.Pow(1.02, float64(day)) }
	addNights(b, 30, reconKind, mean)
	got := b.Estimate(reconKind, 20, 0).P50
	if got < mean(24)*.98 || got > mean(30) {
		t.Errorf("estimate after 30 nights: %.1f s, actual five nights before: %.1f s, now: %.1f s", got, mean(24), mean(29))
	}
}

// A kind without history uses that of a coarser kind and names it in From. For a new image of a
// known class, the owner's estimate is corrected by the class's ratio of actual to estimated times.
func TestEstimateFallsBackToCoarserKinds(t *testing.T) {
	b := NewModel(100)
	if e := b.Estimate(reconKind, 10, 0); e.P50 != 10 || e.P90 < 15 || e.Wide == "" {
		t.Errorf("without any history: %+v", e)
	}
	addNights(b, 5, reconKind, func(int) float64 { return 40 }) // owners estimated 20
	if e := b.Estimate(reconKind, 20, 0); e.From != "class+team+image+shape" || math.Abs(e.P50-40) > 3 || e.Jobs != 15 {
		t.Errorf("with history: %+v", e)
	}
	other := reconKind
	other.Shape = "3x10"
	if e := b.Estimate(other, 20, 0); e.From != "class+image" {
		t.Errorf("another shape: %+v", e)
	}
	fresh := Kind{Class: "recon", Team: "new", Image: "img-9", Shape: "7x10"}
	if e := b.Estimate(fresh, 10, 0); math.Abs(e.P50-20) > 2 || e.P90 <= e.P50*1.2 || !strings.Contains(e.Wide, "no history") {
		t.Errorf("a new image with an owner's estimate of 10: %+v", e)
	}
	day := reconKind
	day.Holiday = true
	if e := b.Estimate(day, 20, 0); e.From != "class+team+image+shape" {
		t.Errorf("the first holiday: %+v", e)
	}
	addNights(b, 0, day, nil)
	r := rand.New(rand.NewPCG(1, 1))
	for j := range 3 {
		b.AddRun(recordOf(uint64(900+j), 7, day, 20, lognormalTimes(r, 40, 80, .1)))
	}
	if e := b.Estimate(day, 20, 0); !strings.Contains(e.From, "holiday") || math.Abs(e.P50-80) > 6 {
		t.Errorf("the next holiday: %+v", e)
	}
	if e := b.Estimate(reconKind, 20, 0); math.Abs(e.P50-40) > 3 {
		t.Errorf("a holiday changed the estimate for ordinary nights: %+v", e)
	}
}

// With a bimodal distribution the interval contains both modes and is marked as wide.
func TestBimodalTimesWidenTheInterval(t *testing.T) {
	b := NewModel(100)
	r := rand.New(rand.NewPCG(2, 2))
	for n := range 20 {
		times := append(lognormalTimes(r, 30, 10, .1), lognormalTimes(r, 10, 90, .1)...)
		b.AddRun(recordOf(uint64(n+1), int32(n/4), reconKind, 20, times))
	}
	if e := b.Estimate(reconKind, 20, 0); e.P50 > 15 || e.P90 < 70 || e.Wide == "" {
		t.Errorf("bimodal times: %+v", e)
	}
}

// Estimates must be accurate. The test measures the share within 10, 20 and 50 % of the
// actual time for the first, third and tenth run, compared with the owner's estimate and the
// mean of earlier runs.
func TestEstimateAccuracy(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 9))
	b := NewModel(1000)
	type score struct{ ten, twenty, fifty, n int }
	learned, owners, means := map[int]*score{}, map[int]*score{}, map[int]*score{}
	count := func(m map[int]*score, run int, estimated, actual float64) {
		s := m[run]
		if s == nil {
			s = &score{}
			m[run] = s
		}
		off := math.Abs(estimated/actual - 1)
		s.n++
		for _, x := range []struct {
			most float64
			n    *int
		}{{.1, &s.ten}, {.2, &s.twenty}, {.5, &s.fifty}} {
			if off <= x.most {
				*x.n++
			}
		}
	}
	id := uint64(0)
	for image := range 40 {
		trueMedian := 10 * math.Exp(.7*r.NormFloat64())
		k := Kind{Class: fmt.Sprint("class", image%4), Team: "ops", Image: fmt.Sprint("img", image), Shape: "6x10"}
		sum, n := 0.0, 0.0
		for run := 1; run <= 10; run++ {
			id++
			owner := trueMedian * .5 * math.Exp(.4*r.NormFloat64()) // owners estimate half of the actual time
			slow := 1.0
			if run == 5 {
				slow = 3 // an outlier night
			}
			times := lognormalTimes(r, 40, trueMedian*slow*math.Exp(.05*r.NormFloat64()), .15)
			actual := slices.Sorted(slices.Values(times))[20]
			if slow == 1 {
				count(learned, run, b.Estimate(k, owner, 0).P50, actual)
				count(owners, run, owner, actual)
				if n > 0 {
					count(means, run, sum/n, actual)
				}
			}
			b.AddRun(recordOf(id, int32(run), k, owner, times))
			for _, x := range times {
				sum += x
				n++
			}
		}
	}
	for _, run := range []int{1, 3, 10} {
		for _, x := range []struct {
			name string
			m    map[int]*score
		}{{"learned", learned}, {"owners", owners}, {"mean", means}} {
			if s := x.m[run]; s != nil {
				t.Logf("run %2d %-8s within 10 %%: %.2f, 20 %%: %.2f, 50 %%: %.2f of %d", run, x.name, float64(s.ten)/float64(s.n), float64(s.twenty)/float64(s.n), float64(s.fifty)/float64(s.n), s.n)
			}
		}
	}
	for _, run := range []int{3, 10} {
		if s := learned[run]; float64(s.twenty)/float64(s.n) < .85 {
			t.Errorf("run %d: %d of %d estimates within 20 %%", run, s.twenty, s.n)
		}
	}
	if l, o := learned[1], owners[1]; l.fifty <= o.fifty {
		t.Errorf("first runs: %d of %d within 50 %%, owners' estimates: %d", l.fifty, l.n, o.fifty)
	}
}

// The model is bounded and evicts fine kinds before coarse ones.
func TestModelIsBounded(t *testing.T) {
	b := NewModel(50)
	r := rand.New(rand.NewPCG(4, 4))
	for n := range 300 {
		b.AddRun(recordOf(uint64(n+1), int32(n), Kind{Class: "c", Team: "t", Image: fmt.Sprint(n), Shape: "1x1"}, 5, lognormalTimes(r, 25, 5, .1)))
		if b.Len() > 50 {
			t.Fatalf("%d kinds in a model of at most 50", b.Len())
		}
	}
	if e := b.Estimate(Kind{Class: "c", Team: "t"}, 0, 0); e.Nights < maxNights {
		t.Errorf("the coarse kind was evicted: %+v", e)
	}
}

// The cost of a record must not grow with the number of kinds.
func BenchmarkAddRun(b *testing.B) {
	for _, kinds := range []int{100, 10000} {
		b.Run(fmt.Sprint(kinds), func(b *testing.B) {
			model := NewModel(5 * kinds)
			r := rand.New(rand.NewPCG(4, 4))
			records := make([]*RunRecord, kinds)
			for n := range records {
				records[n] = recordOf(uint64(n+1), 1, Kind{Class: fmt.Sprint("c", n%10), Team: "t", Image: fmt.Sprint(n), Shape: "1x1"}, 5, lognormalTimes(r, 25, 5, .1))
				model.AddRun(records[n])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				model.AddRun(records[i%kinds])
			}
		})
	}
}
