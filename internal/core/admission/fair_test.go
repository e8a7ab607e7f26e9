package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulatePolling simulates users who each poll one job at a controller that has just restarted and
// answers perSecond requests a second from a queue of 512 places. Users poll every five seconds, and
// retry a rejected poll after the time that the rejection gives. It returns the longest time that
// any user was without an answer.
func simulatePolling(t *testing.T, users, perSecond int) time.Duration {
	t.Helper()
	const places, step = 512, 10 * time.Millisecond
	r := rand.New(rand.NewPCG(1, 29))
	controller := NewController(float64(perSecond)*2/3, 0)
	due := make([][]int32, 40000) // by step
	at := func(when time.Duration, u int32) {
		i := int(when / step)
		if i < len(due) {
			due[i] = append(due[i], u)
		}
	}
	for u := range users {
		at(time.Duration(r.IntN(1000))*time.Millisecond, int32(u)) // all poll within the first second
	}
	answered := make([]time.Duration, users)
	var queue []int32
	worst, budget := time.Duration(0), 0.0
	for i := range due {
		now := time.Duration(i) * step
		for _, u := range due[i] {
			if !controller.Admit(now, Poll, uint64(u), len(queue), places) {
				at(now+time.Duration(controller.Reject(now, Poll, uint64(u), 1))*time.Second+time.Duration(r.IntN(100))*time.Millisecond, u)
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

// Polls of a job must not be rejected forever, however many other jobs are polled. Even on the
// smallest controller, with far more polls than it can answer, each user must get an answer within
// the 75 seconds after which a job counts as forgotten.
func TestNobodyIsForgotten(t *testing.T) {
	for _, c := range []struct{ users, perSecond int }{{500, 600}, {5000, 600}, {20000, 600}, {20000, 2000}} {
		if worst := simulatePolling(t, c.users, c.perSecond); worst > 75*time.Second {
			t.Errorf("%d users, %d answers a second: a user had no answer for %v", c.users, c.perSecond, worst)
		} else {
			t.Logf("%d users, %d answers a second: no user waited longer than %v", c.users, c.perSecond, worst)
		}
	}
}
