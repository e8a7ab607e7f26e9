package admission

import (
	"testing"
	"time"
)

// A few who are turned away come back after the least there is: nobody waits longer
// than needed.
func TestFewComeBackAtOnce(t *testing.T) {
	d := NewController(400, 0)
	for i := range uint64(100) {
		if s := d.Reject(time.Duration(i)*30*time.Millisecond, Kind(i%2), i, 1); s != 1 {
			t.Fatalf("after %d s", s)
		}
	}
	if s := d.Reject(time.Second, Submit, 7, 3); s < 3 {
		t.Errorf("%d s, though the refusal asks for 3", s)
	}
}

// Four thousand who all come at once, and polls among them, are spread so that no
// second brings back more than half as many again as can be taken; submissions first.
func TestManyAreSpread(t *testing.T) {
	const rate = 200
	d := NewController(rate, 0)
	now := 10 * time.Second
	for i := range uint64(2000) { // the first ones cannot know how many will follow
		d.Reject(now, Kind(i%2), i, 1)
	}
	var back [kindCount][maxRetrySeconds + 1]int
	for i := range uint64(2000) {
		k := Kind(i % 2)
		s := d.Reject(now+time.Second, k, i, 1)
		back[k][s]++
	}
	first, last := 0, 0
	for s := range back[Poll] {
		if n := back[Submit][s] + back[Poll][s]; n > rate*3/2 {
			t.Errorf("%d come back after %d s", n, s)
		}
		if back[Submit][s] > 0 {
			last = s
		}
		if back[Poll][s] > 0 && first == 0 {
			first = s
		}
	}
	if last < 5 || first < 5 {
		t.Errorf("submissions come back until %d s, polls from %d s on", last, first)
	}
	// Four seconds later nobody is left to be spread.
	if s := d.Reject(now+10*time.Second, Poll, 1, 1); s != 1 {
		t.Errorf("long after, %d s", s)
	}
}

// The same two jobs, turned away together again and again, do not always come back
// together.
func TestNotInStep(t *testing.T) {
	d := NewController(1, 0)
	apart := 0
	for i := range 50 {
		now := time.Duration(i) * 700 * time.Millisecond
		if d.Reject(now, Submit, 1, 1) != d.Reject(now, Submit, 2, 1) {
			apart++
		}
	}
	if apart < 25 {
		t.Errorf("only %d times of 50 apart", apart)
	}
}

func TestQueue(t *testing.T) {
	in := func(k Kind, taken int) bool { return NewController(400, 0).Admit(time.Second, k, 1, taken, 512) }
	if !in(Poll, 255) || in(Poll, 256) || !in(Submit, 383) || in(Submit, 384) {
		t.Error("polls may fill half of the queue, submissions three quarters")
	}
}
