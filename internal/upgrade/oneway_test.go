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

// gate forwards connections to a controller's internal address, until it is shut: then
// those that are open end, and new ones are turned away.
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
	t.Cleanup(func() { _ = l.Close() }) // it only ends the accept below
	g := &gate{listener: l, to: to}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.DialTimeout("tcp4", g.to, time.Second)
			if err != nil || g.shut.Load() {
				_ = in.Close() // cut on purpose, as is all below
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

// apart is a world in which the state service can refuse one controller, and controllers
// can be cut from one another.
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

// begin starts the controllers, the first one before the others, so that it leads.
func (a *apart) begin(first string) {
	a.start(0, first)
	a.leader()
	a.start(1, a.binary)
	a.start(2, a.binary)
}

// cut has a controller and the others reach one another no more, or again.
func (a *apart) cut(i int, shut bool) {
	for k := range 3 {
		if k != i {
			a.gates[i][k].set(shut)
			a.gates[k][i].set(shut)
		}
	}
}

// another is a controller that leads by its own word, other than one.
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

// TestRefusedThenAll: the state service refuses the leader alone, another controller confirms
// a cancellation, and then the state service is down for all, for longer than cancel_s, while
// workers go on reporting to the old leader; with controllers that reach one another, and
// without, and with the version in production as the old leader. No task of the job runs
// after its user was told, and no other work is lost.
func TestRefusedThenAll(t *testing.T) {
	production, _ := binaries(t)
	for _, variant := range []string{"", "cut", "production", "production, cut"} {
		t.Run(variant, func(t *testing.T) {
			t.Parallel()
			cut, first := strings.Contains(variant, "cut"), ""
			a := newApart(t)
			if first = a.binary; strings.Contains(variant, "production") {
				// It knows nothing of the switches that this version is given.
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
				defer func() { _ = resp.Body.Close() }() // the status alone counts
				return resp.StatusCode == 200
			})
			told := time.Now()
			if on := a.fleet.MachinesRunning(cancelling); len(on) > 0 {
				t.Errorf("told while %d of its tasks run", len(on))
			}
			a.store.SetDown(true)
			for time.Since(told) < 40*time.Second { // cancel_s is 30 s
				if on := a.fleet.MachinesRunning(cancelling); len(on) > 0 {
					t.Fatalf("%v after its user was told a task runs on %v", time.Since(told), on)
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

// TestOneWayTroubles plays, with real processes under load: machines whose reports arrive and
// that nothing reaches, copies of reports that come up to twice a lease late, and controllers
// that lose the state service and the others, but neither workers nor users; each with a
// leader that ends in the middle. No task runs twice, and every job comes to its end.
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
		if round%4 > 1 { // besides
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
			t.Errorf("not_done: %s is called done", id)
		}
	}
	for _, b := range append(a.fleet.BrokenRules(), a.store.RefusedTransactions()...) {
		t.Error(b)
	}
	t.Logf("%d jobs, %d machines met, half of them deaf, %d late copies, %d leaders ended", len(ids), deafened, a.fleet.LateCopies(), leaders)
	if a.fleet.LateCopies() < 20 || deafened < 4 {
		t.Errorf("%d late copies, %d machines met", a.fleet.LateCopies(), deafened)
	}
}
