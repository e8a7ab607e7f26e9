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

// proxy forwards connections to a controller's internal address. While it is blocked, it refuses new ones;
// blocking it closes the open ones.
type proxy struct {
	listener net.Listener
	target   string
	blocked  atomic.Bool

	mu   sync.Mutex
	open []net.Conn
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // closing only ends the accept loop below
	p := &proxy{listener: l, target: target}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.DialTimeout("tcp4", p.target, time.Second)
			if err != nil || p.blocked.Load() {
				_ = in.Close() // errors are ignored here and below: connections are cut on purpose
				if err == nil {
					_ = out.Close()
				}
				continue
			}
			p.mu.Lock()
			p.open = append(p.open, in, out)
			p.mu.Unlock()
			go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
			go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
		}
	}()
	return p
}

func (p *proxy) setBlocked(blocked bool) {
	p.blocked.Store(blocked)
	p.mu.Lock()
	defer p.mu.Unlock()
	if blocked {
		for _, c := range p.open {
			_ = c.Close()
		}
		p.open = nil
	}
}

// partitionTestbed is a testbed in which the state service can refuse single controllers, and controllers
// can be isolated from one another.
type partitionTestbed struct {
	*testbed
	refuseState [3]atomic.Bool
	proxies     [3][3]*proxy // from, to
}

func newPartitionTestbed(t *testing.T) *partitionTestbed {
	tb := &partitionTestbed{testbed: newStoppedTestbed(t)}
	state := ""
	for i := range 3 {
		stateProxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if tb.refuseState[i].Load() {
				w.WriteHeader(503)
				return
			}
			tb.store.ServeHTTP(w, r)
		}))
		t.Cleanup(stateProxy.Close)
		raw, err := os.ReadFile(tb.config[i])
		if err != nil {
			t.Fatal(err)
		}
		text := string(raw)
		_, state, _ = strings.Cut(text, "state = \"")
		state, _, _ = strings.Cut(state, "\"")
		text = strings.Replace(text, state, stateProxy.Listener.Addr().String(), 1)
		for k := range 3 {
			if k != i {
				tb.proxies[i][k] = newProxy(t, tb.internalAddrs[k])
				text = strings.Replace(text, fmt.Sprintf("endpoint = %q", tb.internalAddrs[k]), fmt.Sprintf("endpoint = %q", tb.proxies[i][k].listener.Addr().String()), 1)
			}
		}
		if err := os.WriteFile(tb.config[i], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return tb
}

// startAll starts controller 0 with the binary first, so that it leads, and then the others with the current
// binary.
func (tb *partitionTestbed) startAll(first string) {
	tb.start(0, first)
	tb.leader()
	tb.start(1, tb.binary)
	tb.start(2, tb.binary)
}

// setIsolated isolates a controller from the others, or reconnects it.
func (tb *partitionTestbed) setIsolated(i int, isolated bool) {
	for k := range 3 {
		if k != i {
			tb.proxies[i][k].setBlocked(isolated)
			tb.proxies[k][i].setBlocked(isolated)
		}
	}
}

// otherLeader waits for a second controller that reports itself as the leader, and returns its index.
func (tb *partitionTestbed) otherLeader(old int) int {
	found := -1
	tb.eventually("another leader", 20*time.Second, func() bool {
		for i := range 3 {
			var s struct {
				Node, Leader string
				Sure         bool
			}
			if i != old && getJSON("http://"+tb.internalAddrs[i]+"/status", &s) == 200 && s.Leader == s.Node && s.Sure {
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
			isolate, first := strings.Contains(variant, "cut"), ""
			tb := newPartitionTestbed(t)
			if first = tb.binary; strings.Contains(variant, "production") {
				// It does not support the settings that the current version is given.
				first, tb.extraArgs = production, func(int) []string { return nil }
			}
			tb.startAll(first)
			cancelling, unrelated := tb.submit(1, 10, 10*time.Minute), tb.submit(2, 6, 75*time.Second)
			tb.eventually("all tasks run", 60*time.Second, func() bool {
				return len(tb.fleet.MachinesRunning(cancelling)) == 10 && len(tb.fleet.MachinesRunning(unrelated)) == 6
			})
			before := map[string]uint64{}
			for task, n := range tb.fleet.Attempts() {
				before[task] = n
			}
			old := tb.leader()
			tb.refuseState[old].Store(true)
			if isolate {
				tb.setIsolated(old, true)
			}
			next := tb.otherLeader(old)
			requestedAt := time.Now()
			tb.eventually("the cancellation is confirmed", 60*time.Second, func() bool {
				resp, err := http.Post("http://"+tb.publicAddrs[next]+"/api/jobs/"+cancelling+"/abort", "application/json", nil)
				if err != nil {
					return false
				}
				defer func() { _ = resp.Body.Close() }() // only the status is used
				return resp.StatusCode == 200
			})
			confirmedAt := time.Now()
			if on := tb.fleet.MachinesRunning(cancelling); len(on) > 0 {
				t.Errorf("confirmed while %d of its tasks run", len(on))
			}
			tb.store.SetDown(true)
			for time.Since(confirmedAt) < 40*time.Second { // cancel_s is 30 s
				if on := tb.fleet.MachinesRunning(cancelling); len(on) > 0 {
					t.Fatalf("%v after the confirmation a task runs on %v", time.Since(confirmedAt), on)
				}
				time.Sleep(100 * time.Millisecond)
			}
			survived := 0
			for task, n := range tb.fleet.Attempts() {
				if strings.HasPrefix(task, unrelated) && before[task] == n {
					survived++
				}
			}
			tb.store.SetDown(false)
			tb.refuseState[old].Store(false)
			tb.setIsolated(old, false)
			tb.eventually("the other job is done", 120*time.Second, func() bool { return tb.state(unrelated) == "done" })
			if got := tb.state(cancelling); got != "aborted" {
				t.Errorf("the cancelled job is %q", got)
			}
			for _, b := range append(tb.fleet.BrokenRules(), tb.store.RefusedTransactions()...) {
				t.Error(b)
			}
			t.Logf("confirmed after %v; %d of 6 tasks of the other job ran on through the outage", confirmedAt.Sub(requestedAt).Round(10*time.Millisecond), survived)
			if !isolate && survived < 6 {
				t.Errorf("%d of 6 tasks of the other job were lost", 6-survived)
			}
		})
	}
}

// TestOneWayFailures runs real processes under load with one-way failures: machines whose reports arrive
// but which receive no answers, copies of reports that arrive up to two leases late, and controllers that
// lose the state service and their peers but neither workers nor users. Leaders are killed in between. No
// task may run twice, and every job must be done.
func TestOneWayFailures(t *testing.T) {
	tb := newPartitionTestbed(t)
	tb.startAll(tb.binary)
	r := rand.New(rand.NewPCG(3, 29))
	var ids []string
	n, selected, leadersKilled := 0, 0, 0
	submitJobs := func(count int) {
		for range count {
			n++
			ids = append(ids, tb.submit(n, 4+r.IntN(5), time.Duration(1+r.IntN(8))*time.Second))
		}
	}
	tb.fleet.DuplicateReports(20 * time.Second)
	for round := range 8 {
		submitJobs(5)
		time.Sleep(2 * time.Second)
		switch round % 2 {
		case 0:
			busy := tb.fleet.BusyMachines()
			slices.Sort(busy)
			for _, m := range slices.Compact(busy) {
				if selected++; selected%2 == 0 {
					tb.fleet.DropAnswers(m, time.Duration(3+r.IntN(12))*time.Second)
				}
			}
		default:
			l := tb.leader()
			tb.refuseState[l].Store(true)
			tb.setIsolated(l, true)
			time.Sleep(time.Duration(4+r.IntN(10)) * time.Second)
			tb.refuseState[l].Store(false)
			tb.setIsolated(l, false)
		}
		if round%4 > 1 { // in addition
			l := tb.leader()
			tb.kill(l)
			submitJobs(2)
			time.Sleep(time.Second)
			tb.start(l, tb.binary)
			leadersKilled++
		}
	}
	for _, id := range ids {
		tb.eventually(id+" is done", 120*time.Second, func() bool { return tb.state(id) == "done" })
		if !tb.fleet.Finished(id) {
			t.Errorf("not_done: %s is reported done, but not all its tasks are", id)
		}
	}
	for _, b := range append(tb.fleet.BrokenRules(), tb.store.RefusedTransactions()...) {
		t.Error(b)
	}
	t.Logf("%d jobs, %d machines selected, half of them without answers, %d late copies, %d leaders killed", len(ids), selected, tb.fleet.LateCopies(), leadersKilled)
	if tb.fleet.LateCopies() < 20 || selected < 4 {
		t.Errorf("%d late copies, %d machines selected", tb.fleet.LateCopies(), selected)
	}
}
