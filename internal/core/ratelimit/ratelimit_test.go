package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// In any second the bucket gives out no more tokens than its rate plus its burst; the test allows
// one more.
func TestBucket(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	b := NewBucket(0, 7, 14)
	var takenAt []time.Duration
	for now := time.Duration(0); now < time.Minute; now += time.Duration(r.IntN(40)) * time.Millisecond {
		if b.Take(now, 1) {
			takenAt = append(takenAt, now)
		}
	}
	for i, from := range takenAt {
		n := 0
		for _, at := range takenAt[i:] {
			if at < from+time.Second {
				n++
			}
		}
		if n > 22 {
			t.Fatalf("%d tokens within a second from %v", n, from)
		}
	}
	if len(takenAt) < 7*59 {
		t.Errorf("only %d tokens in a minute: the rate is not reached", len(takenAt))
	}
	if b.Take(59*time.Second, 1000) {
		t.Error("a clock that goes back refills the bucket")
	}
}

// A failure halves the rate, down to its lower bound, and a burst of failures counts once.
// Successes raise the rate again, up to the highest rate.
func TestAdaptive(t *testing.T) {
	a := NewAdaptive(0, 8, 8)
	for i := range 10 {
		a.RecordFailure(time.Duration(i) * 50 * time.Millisecond)
	}
	if a.Rate != 4 {
		t.Errorf("rate is %v of 8 after a burst of failures, want 4", a.Rate)
	}
	for s := 2; s < 20; s++ {
		a.RecordFailure(time.Duration(s) * time.Second)
	}
	if a.Rate != 2 {
		t.Errorf("rate is %v of 8 after many failures, want the lower bound 2", a.Rate)
	}
	steps := 0
	for now := 20 * time.Second; now < 60*time.Second; now += 500 * time.Millisecond {
		before := a.Rate
		if a.RecordSuccess(now); a.Rate > 8 || a.Rate < before {
			t.Fatalf("rate is %v after a success at %v, want no less and at most 8", a.Rate, before)
		}
		if a.Rate < 8 {
			steps++
		}
	}
	if a.Rate != 8 || steps < 10 {
		t.Errorf("rate is %v after %d steps, want 8 after at least 10", a.Rate, steps)
	}
}

// Two callers of a receiver that serves ten calls a second and refuses the others come to share it
// evenly, although they start with different rates.
func TestAdaptiveShares(t *testing.T) {
	one, two := NewAdaptive(0, 10, 1), NewAdaptive(0, 10, 1)
	two.Rate = 1
	serve := NewBucket(0, 10, 2)
	var got [2]int
	for now := time.Duration(0); now < 5*time.Minute; now += 10 * time.Millisecond {
		for i, a := range []*Adaptive{&one, &two} {
			if !a.Take(now, 1) {
				continue
			}
			if serve.Take(now, 1) {
				a.RecordSuccess(now)
				got[i]++
			} else {
				a.RecordFailure(now)
			}
		}
	}
	if got[0]*3 < got[1]*2 || got[1]*3 < got[0]*2 || got[0]+got[1] < 1200 {
		t.Errorf("%d and %d calls of 3000 served", got[0], got[1])
	}
}

func TestStartLimiter(t *testing.T) {
	s := NewStartLimiter(StartLimits{ZoneStartsPerSecond: 5, MaxImageFetches: 1})
	n := 0
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		for range 3 {
			if s.Allows(now, 1, true, 4) {
				s.Spend(now, 1)
				n++
			}
		}
	}
	if n < 50 || n > 55 {
		t.Errorf("%d starts in ten seconds at a limit of five a second", n)
	}
	const later = 10 * time.Second
	for _, c := range []struct {
		hasImage bool
		fetching int
		want     bool
	}{{true, 9, true}, {false, 1, false}, {false, 0, true}} {
		if got := s.Allows(later, 2, c.hasImage, c.fetching); got != c.want {
			t.Errorf("machine has the image: %v, %d images being fetched: allowed %v", c.hasImage, c.fetching, got)
		}
	}
	unlimited := NewStartLimiter(StartLimits{})
	for range 1000 {
		if !unlimited.Allows(0, 1, false, 99) {
			t.Fatal("a start is refused although there is no limit")
		}
		unlimited.Spend(0, 1)
	}
}
