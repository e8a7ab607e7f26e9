//go:build upgrade

package upgrade

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestQuickRestarts kills controllers 200 times under load: one, the leader or all of them, or, in about
// one of four rounds, the leader five times in a row. Each restarts within 50 to 500 ms: before its lease
// has expired, during elections, and with connections and transactions of the former process in flight. No
// task may run twice, and every job must be done.
func TestQuickRestarts(t *testing.T) {
	tb := newTestbed(t)
	c, binary := tb.cluster, tb.binary
	r := rand.New(rand.NewPCG(1, 29))
	restart := func(controllers ...int) {
		for _, i := range controllers {
			c.kill(i)
		}
		time.Sleep(time.Duration(50+r.IntN(450)) * time.Millisecond)
		for _, i := range controllers {
			c.start(i, binary)
		}
	}
	var ids []string
	kills := 0
	for n := 1; kills < 200; n++ {
		c.leader()
		ids = append(ids, c.submit(n, 6, time.Duration(1+r.IntN(4))*time.Second))
		switch r.IntN(4) {
		case 0:
			restart(0, 1, 2)
			kills += 3
		case 1:
			leader := c.leader()
			for range 5 {
				restart(leader)
				time.Sleep(time.Duration(r.IntN(600)) * time.Millisecond)
			}
			kills += 5
		case 2:
			restart(c.leader())
			kills++
		default:
			restart(r.IntN(3))
			kills++
		}
		time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
	}
	for _, id := range ids {
		c.eventually(id+" is done", 120*time.Second, func() bool { return c.state(id) == "done" })
	}
	for _, b := range append(tb.fleet.BrokenRules(), tb.store.RefusedTransactions()...) {
		t.Error(b)
	}
	t.Logf("%d jobs, %d restarts", len(ids), kills)
}
