package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// play plays so many users, each with a question about one job, at a controller that has
// just come back and answers so many requests a second out of a queue of 512 places. Users
// ask every five seconds, and come back when they are told after they were turned away. It
// returns the longest time that any of them was without an answer.
func play(t *testing.T, users, perSecond int) time.Duration {
	t.Helper()
	const places, step = 512, 10 * time.Millisecond
	r := rand.New(rand.NewPCG(1, 29))
	d := NewController(float64(perSecond)*2/3, 0)
	due := make([][]int32, 40000) // by step
	at := func(when time.Duration, u int32) {
		i := int(when / step)
		if i < len(due) {
			due[i] = append(due[i], u)
		}
	}
	for u := range users {
		at(time.Duration(r.IntN(1000))*time.Millisecond, int32(u)) // all are there within the first second
	}
	answered := make([]time.Duration, users)
	var queue []int32
	worst, budget := time.Duration(0), 0.0
	for i := range due {
		now := time.Duration(i) * step
		for _, u := range due[i] {
			if !d.Admit(now, Poll, uint64(u), len(queue), places) {
				at(now+time.Duration(d.Reject(now, Poll, uint64(u), 1))*time.Second+time.Duration(r.IntN(100))*time.Millisecond, u)
				continue
			}
			queue = append(queue, u)
		}
		for budget += float64(perSecond) * step.Seconds(); budget >= 1 && len(queue) > 0; budget-- {
			u := queue[0]
			queue = queue[1:]
			worst = max(worst, now-answered[u])
			answered[u] = now
			at(now+5*time.Second, u)
		}
		budget = min(budget, 1)
	}
	for _, a := range answered {
		worst = max(worst, time.Duration(len(due))*step-a)
	}
	return worst
}

// No job's question is turned away without end, however many others are asked: on the
// smallest controller, with far more questions than it can answer, each is answered within
// the 75 seconds after which a job counts as forgotten.
func TestNobodyIsForgotten(t *testing.T) {
	for _, c := range []struct{ users, perSecond int }{{500, 600}, {5000, 600}, {20000, 600}, {20000, 2000}} {
		if worst := play(t, c.users, c.perSecond); worst > 75*time.Second {
			t.Errorf("%d users, %d answers a second: one had none for %v", c.users, c.perSecond, worst)
		} else {
			t.Logf("%d users, %d answers a second: none waited longer than %v", c.users, c.perSecond, worst)
		}
	}
}
