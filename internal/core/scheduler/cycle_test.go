package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A cycle caches refusals and skips machines without room for any waiting task. It must make the
// same decisions as an exhaustive cycle, which does neither.
func TestShortcutsDecideLikeExhaustiveCycle(t *testing.T) {
	total := 0
	for seed := range uint64(300) {
		var got [2][]string
		for i, exhaustive := range []bool{true, false} {
			snap, decisions, scheduler := randomCluster(rand.New(rand.NewPCG(seed, 1)), 40, 25)
			scheduler.exhaustive = exhaustive
			scheduler.RunCycle(snap)
			snap.Now += time.Second
			scheduler.RunCycle(snap)
			got[i] = *decisions
		}
		if !slices.Equal(got[0], got[1]) {
			t.Fatalf("seed %d: the exhaustive cycle makes %d decisions: %v\nthe ordinary cycle makes %d: %v", seed, len(got[0]), got[0], len(got[1]), got[1])
		}
		total += len(got[0])
	}
	if total < 3000 {
		t.Errorf("only %d decisions: the clusters are too full to show a difference between the cycles", total)
	}
}

// BenchmarkCycle measures a cycle at full size: a thousand machines, most of them full, and a
// hundred jobs with thousands of waiting tasks.
func BenchmarkCycle(b *testing.B) {
	snap, _, scheduler := randomCluster(rand.New(rand.NewPCG(1, 1)), 1000, 100)
	scheduler.RunCycle(snap)
	b.ReportAllocs()
	for b.Loop() {
		scheduler.RunCycle(snap)
	}
}

// On a full cluster a refusal is recorded once for each need, not once for each job, and machines
// without room are not tried again for each job.
func TestFullClusterRecordsOneRefusalPerNeed(t *testing.T) {
	snap, _, scheduler := randomCluster(rand.New(rand.NewPCG(2, 1)), 200, 100)
	scheduler.Locality = 0
	scheduler.RunCycle(snap)
	scheduler.RunCycle(snap)
	if n := len(scheduler.refusals); n == 0 || n > 40 {
		t.Errorf("%d refusals were recorded for 100 jobs", n)
	}
}
