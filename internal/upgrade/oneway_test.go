//go:build upgrade

package upgrade

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// gate is a proxy to a controller's internal address. While it is shut, it refuses new connections;
// shutting it closes the open ones.
type gate struct {
	listener net.Listener
	to       string
	shut     atomic.Bool

	mu   sync.Mutex
	open []net.Conn
}

func newGate(t *testing.T, to string) *gate {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // closing only ends the accept loop below
	g := &gate{listener: l, to: to}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.DialTimeout("tcp4", g.to, time.Second)
			if err != nil || g.shut.Load() {
				_ = in.Close() // closed on purpose, as are those below
				if err == nil {
					_ = out.Close()
				}
				continue
			}
			g.mu.Lock()
			g.open = append(g.open, in, out)
			g.mu.Unlock()
			go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
			go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
		}
	}()
	return g
}

func (g *gate) set(shut bool) {
	g.shut.Store(shut)
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut {
		for _, c := range g.open {
			_ = c.Close()
		}
		g.open = nil
	}
}

// apart is a world in which the state service can refuse single controllers, and controllers can be
// isolated from one another.
type apart struct {
	*world
	refuse [3]atomic.Bool
	gates  [3][3]*gate // from, to
}

func newApart(t *testing.T) *apart {
	a := &apart{world: prepare(t)}
	state := ""
	for i := range 3 {
		door := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if a.refuse[i].Load() {
				w.WriteHeader(503)
				return
			}
			a.store.ServeHTTP(w, r)
		}))
		t.Cleanup(door.Close)
		raw, err := os.ReadFile(a.config[i])
		if err != nil {
			t.Fatal(err)
		}
		text := string(raw)
		_, state, _ = strings.Cut(text, "state = \"")
		state, _, _ = strings.Cut(state, "\"")
		text = strings.Replace(text, state, door.Listener.Addr().String(), 1)
		for k := range 3 {
			if k != i {
				a.gates[i][k] = newGate(t, a.inside[k])
				text = strings.Replace(text, fmt.Sprintf("endpoint = %q", a.inside[k]), fmt.Sprintf("endpoint = %q", a.gates[i][k].listener.Addr().String()), 1)
			}
		}
		if err := os.WriteFile(a.config[i], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return a
}

// begin starts controller 0 with the binary first, so that it leads, and then the others with the current
// binary.
func (a *apart) begin(first string) {
	a.start(0, first)
	a.leader()
	a.start(1, a.binary)
	a.start(2, a.binary)
}

// cut isolates a controller from the others if shut is true, and reconnects it otherwise.
func (a *apart) cut(i int, shut bool) {
	for k := range 3 {
		if k != i {
			a.gates[i][k].set(shut)
			a.gates[k][i].set(shut)
		}
	}
}

// another waits for a second controller that reports itself as the leader, and returns its index.
func (a *apart) another(than int) int {
	found := -1
	a.eventually("another leader", 20*time.Second, func() bool {
		for i := range 3 {
			var s struct {
				Node, Leader string
				Sure         bool
			}
			if i != than && get("http://"+a.inside[i]+"/status", &s) == 200 && s.Leader == s.Node && s.Sure {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// TestRefusedThenAll has the state service refuse only the leader. Another controller confirms a
// cancellation, then the state service is down for all for longer than cancel_s, while workers go on
// reporting to the old leader. The variants isolate the old leader from the other controllers, or run it
// with the version in production. No task of the cancelled job may run after the confirmation and, if the
// controllers reach one another, no other work may be lost.
func TestRefusedThenAll(t *testing.T) {
	production, _ := binaries(t)
	for _, variant := range []string{"", "cut", "production", "production, cut"} {
		t.Run(variant, func(t *testing.T) {
			t.Parallel()
			cut, first := strings.Contains(variant, "cut"), ""
			a := newApart(t)
			if first = a.binary; strings.Contains(variant, "production") {
				// It does not support the settings that the current version is given.
				first, a.extra = production, func(int) []string { return nil }
			}
			a.begin(first)
			cancelling, stays := a.submit(1, 10, 10*time.Minute), a.submit(2, 6, 75*time.Second)
			a.eventually("all run", 60*time.Second, func() bool {
				return len(a.fleet.MachinesRunning(cancelling)) == 10 && len(a.fleet.MachinesRunning(stays)) == 6
			})
			before := map[string]uint64{}
			for task, n := range a.fleet.Attempts() {
				before[task] = n
			}
			old := a.leader()
			a.refuse[old].Store(true)
			if cut {
				a.cut(old, true)
			}
			next := a.another(old)
			asked := time.Now()
			a.eventually("the cancellation is confirmed", 60*time.Second, func() bool {
				resp, err := http.Post("http://"+a.doors[next]+"/api/jobs/"+cancelling+"/abort", "application/json", nil)
				if err != nil {
					return false
				}
				defer func() { _ = resp.Body.Close() }() // only the status is used
				return resp.StatusCode == 200
			})
			told := time.Now()
			if on := a.fleet.MachinesRunning(cancelling); len(on) > 0 {
				t.Errorf("confirmed while %d of its tasks run", len(on))
			}
			a.store.SetDown(true)
			for time.Since(told) < 40*time.Second { // cancel_s is 30 s
				if on := a.fleet.MachinesRunning(cancelling); len(on) > 0 {
					t.Fatalf("%v after the confirmation a task runs on %v", time.Since(told), on)
				}
				time.Sleep(100 * time.Millisecond)
			}
			kept := 0
			for task, n := range a.fleet.Attempts() {
				if strings.HasPrefix(task, stays) && before[task] == n {
					kept++
				}
			}
			a.store.SetDown(false)
			a.refuse[old].Store(false)
			a.cut(old, false)
			a.eventually("the other job is done", 120*time.Second, func() bool { return a.state(stays) == "done" })
			if got := a.state(cancelling); got != "aborted" {
				t.Errorf("the cancelled job is %q", got)
			}
			for _, b := range append(a.fleet.BrokenRules(), a.store.RefusedTransactions()...) {
				t.Error(b)
			}
			t.Logf("confirmed after %v; %d of 6 tasks of the other job ran on through the outage", told.Sub(asked).Round(10*time.Millisecond), kept)
			if !cut && kept < 6 {
				t.Errorf("%d of 6 tasks of the other job were lost", 6-kept)
			}
		})
	}
}

// TestOneWayTroubles runs real processes under load with one-way failures: machines whose reports arrive
// but which receive no answers, copies of reports that arrive up to two leases late, and controllers that
// lose the state service and their peers but neither workers nor users. Leaders are killed in between. No
// task may run twice, and every job must be done.
func TestOneWayTroubles(t *testing.T) {
	a := newApart(t)
	a.begin(a.binary)
	r := rand.New(rand.NewPCG(3, 29))
	var ids []string
	n, deafened, leaders := 0, 0, 0
	load := func(count int) {
		for range count {
			n++
			ids = append(ids, a.submit(n, 4+r.IntN(5), time.Duration(1+r.IntN(8))*time.Second))
		}
	}
	a.fleet.RepeatHeartbeats(20 * time.Second)
	for round := range 8 {
		load(5)
		time.Sleep(2 * time.Second)
		switch round % 2 {
		case 0:
			busy := a.fleet.Busy()
			slices.Sort(busy)
			for _, m := range slices.Compact(busy) {
				if deafened++; deafened%2 == 0 {
					a.fleet.DropAnswers(m, time.Duration(3+r.IntN(12))*time.Second)
				}
			}
		default:
			l := a.leader()
			a.refuse[l].Store(true)
			a.cut(l, true)
			time.Sleep(time.Duration(4+r.IntN(10)) * time.Second)
			a.refuse[l].Store(false)
			a.cut(l, false)
		}
		if round%4 > 1 { // in addition
			l := a.leader()
			a.kill(l)
			load(2)
			time.Sleep(time.Second)
			a.start(l, a.binary)
			leaders++
		}
	}
	for _, id := range ids {
		a.eventually(id+" is done", 120*time.Second, func() bool { return a.state(id) == "done" })
		if !a.fleet.Finished(id) {
			t.Errorf("not_done: %s is reported done, but not all its tasks are", id)
		}
	}
	for _, b := range append(a.fleet.BrokenRules(), a.store.RefusedTransactions()...) {
		t.Error(b)
	}
	t.Logf("%d jobs, %d machines selected, half of them without answers, %d late copies, %d leaders killed", len(ids), deafened, a.fleet.LateCopies(), leaders)
	if a.fleet.LateCopies() < 20 || deafened < 4 {
		t.Errorf("%d late copies, %d machines selected", a.fleet.LateCopies(), deafened)
	}
}
