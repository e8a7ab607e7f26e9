package admission

import (
	"testing"
	"time"
)

// If few requests are rejected, each gets the shortest retry time, so that no user waits longer
// than necessary.
func TestFewRejectionsAreRetriedAtOnce(t *testing.T) {
	controller := NewController(400, 0)
	for i := range uint64(100) {
		if s := controller.Reject(time.Duration(i)*30*time.Millisecond, Kind(i%2), i, 1); s != 1 {
			t.Fatalf("retry after %d s, want 1", s)
		}
	}
	if s := controller.Reject(time.Second, Submit, 7, 3); s < 3 {
		t.Errorf("retry after %d s, although the rejection asks for 3", s)
	}
}

// Four thousand submissions and polls that are rejected within a second are spread so that no
// second brings more retries than one and a half times the rate; submissions are retried first.
func TestManyRetriesAreSpread(t *testing.T) {
	const rate = 200
	controller := NewController(rate, 0)
	now := 10 * time.Second
	for i := range uint64(2000) { // not checked: at this time it is unknown how many requests follow
		controller.Reject(now, Kind(i%2), i, 1)
	}
	var back [kindCount][maxRetrySeconds + 1]int
	for i := range uint64(2000) {
		k := Kind(i % 2)
		s := controller.Reject(now+time.Second, k, i, 1)
		back[k][s]++
	}
	first, last := 0, 0
	for s := range back[Poll] {
		if n := back[Submit][s] + back[Poll][s]; n > rate*3/2 {
			t.Errorf("%d requests are retried after %d s", n, s)
		}
		if back[Submit][s] > 0 {
			last = s
		}
		if back[Poll][s] > 0 && first == 0 {
			first = s
		}
	}
	if last < 5 || first < 5 {
		t.Errorf("submissions are retried until %d s, polls from %d s on", last, first)
	}
	// Rejections count for four seconds only, so later ones are not spread.
	if s := controller.Reject(now+10*time.Second, Poll, 1, 1); s != 1 {
		t.Errorf("nine seconds later: retry after %d s, want 1", s)
	}
}

// Two jobs whose requests are rejected together repeatedly are not always retried together.
func TestRetriesOfTwoJobsDiverge(t *testing.T) {
	controller := NewController(1, 0)
	apart := 0
	for i := range 50 {
		now := time.Duration(i) * 700 * time.Millisecond
		if controller.Reject(now, Submit, 1, 1) != controller.Reject(now, Submit, 2, 1) {
			apart++
		}
	}
	if apart < 25 {
		t.Errorf("the retries differ only %d times of 50", apart)
	}
}

func TestQueueShares(t *testing.T) {
	admitted := func(k Kind, taken int) bool { return NewController(400, 0).Admit(time.Second, k, 1, taken, 512) }
	if !admitted(Poll, 255) || admitted(Poll, 256) || !admitted(Submit, 383) || admitted(Submit, 384) {
		t.Error("polls should fill up to half of the queue, submissions up to three quarters")
	}
}
