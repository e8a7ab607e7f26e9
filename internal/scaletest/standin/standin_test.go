package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/wire"
)

func commit(t *testing.T, c *wire.StateClient, key string, version uint64) eventlog.Outcome {
	t.Helper()
	out, _, _ := c.Commit(context.Background(), eventlog.Transaction{Conditions: []eventlog.Condition{{Key: key, Version: version}}, Writes: []eventlog.Write{{Key: key, Value: []byte("1")}}})
	return out
}

// TestStateWatchAndLease checks that a watch returns when a key changes, and that an expired lease
// removes its key. Leader election in scale runs depends on both.
func TestStateWatchAndLease(t *testing.T) {
	store := &StateService{}
	server := httptest.NewServer(store)
	defer server.Close()
	c := wire.NewStateClient(server.Listener.Addr().String())
	ctx := context.Background()
	view, err := c.ReadLeadership(ctx)
	if err != nil {
		t.Fatal(err)
	}
	watched := make(chan bool, 1)
	go func() { watched <- c.Watch(ctx, "lead/", view.Revision, 10*time.Second) }()
	lease, ok := c.CreateLease(ctx, 300*time.Millisecond)
	if won, _ := c.Claim(ctx, "n0", view, lease); !ok || !won {
		t.Fatal("the leadership could not be claimed")
	}
	if !<-watched {
		t.Error("the watch did not report the claim")
	}
	view, _ = c.ReadLeadership(ctx)
	if view.Holder == nil || !c.Watch(ctx, "lead/", view.Revision, 10*time.Second) {
		t.Fatal("the watch did not report the expiry of the lease")
	}
	if view, _ = c.ReadLeadership(ctx); view.Holder != nil || view.Epoch != 1 {
		t.Errorf("the key of an expired lease still exists: %+v", view)
	}
}

// TestStateLimits checks that changes over the rate limit are refused and counted.
func TestStateLimits(t *testing.T) {
	store := &StateService{}
	store.LimitRates(1000, 2)
	server := httptest.NewServer(store)
	defer server.Close()
	c := wire.NewStateClient(server.Listener.Addr().String())
	if a, b, x := commit(t, c, "k", 0), commit(t, c, "k", 0), commit(t, c, "l", 0); a != eventlog.Applied || b != eventlog.Conflict || x != eventlog.Refused {
		t.Errorf("%v %v %v", a, b, x)
	}
	if n := store.Counts(""); n.Writes != 2 || n.Transactions != 1 || n.RateLimited != 1 || n.Keys != 1 {
		t.Errorf("%+v", n)
	}
}

// TestCloudCapacity checks that a full cloud reports that it has no capacity, that a repeated request
// rents no more machines, and that a failed machine frees capacity.
func TestCloudCapacity(t *testing.T) {
	cloud := &Cloud{Capacity: map[string]int{"a": 3}}
	server := httptest.NewServer(cloud)
	defer server.Close()
	c := wire.NewCloudClient(server.Listener.Addr().String())
	ctx := context.Background()
	rent := func(name string, count int) (int, wire.RentResult) {
		names, res := c.Rent(ctx, eventlog.Rental{Name: name, Type: "m4", Zone: "a", Count: count})
		return len(names), res
	}
	for i, want := range []int{2, 2, 1, 0} {
		if n, res := rent([]string{"r1", "r1", "r2", "r3"}[i], 2); n != want || (res == wire.NoCapacity) != (want == 0) {
			t.Errorf("request %d: %d machines, %v", i, n, res)
		}
	}
	cloud.FailMachine("host-000001")
	if n, _ := rent("r4", 2); n != 1 {
		t.Errorf("%d machines were rented in place of a failed one, want 1", n)
	}
	list, err := c.List(ctx)
	if err != nil || len(list) != 4 || !list[0].Failed {
		t.Errorf("%+v %v", list, err)
	}
}

// TestFleetChecks checks that the fleet detects each of four broken rules.
func TestFleetChecks(t *testing.T) {
	f := &Fleet{TaskCount: func(string) int { return 1 }, Team: func(string) (string, float64, float64) { return "team", 2, 3 },
		JobDuration: func(job string) (time.Duration, []string) {
			if job == "j-000002" {
				return 0, []string{"j-000001"}
			}
			return 0, nil
		}}
	f.Started("j-000001/0", "host-1", 1)
	f.Started("j-000001/0", "host-2", 2) // runs twice, and exceeds the team's limit
	f.Started("j-000002/0", "host-3", 3) // starts before the job that it follows is done
	f.Cancelled("j-000003")
	time.Sleep(time.Millisecond)
	f.Started("j-000003/0", "host-4", 4)
	f.CheckOverdue()
	found := map[string]bool{}
	for _, b := range f.BrokenRules() {
		rule, _, _ := strings.Cut(b, ":")
		found[rule] = true
	}
	for _, rule := range []string{"ran_twice", "quota", "too_early", "ran_cancelled"} {
		if !found[rule] {
			t.Errorf("%s was not detected: %v", rule, f.BrokenRules())
		}
	}
}

// TestHigherTokenIsReported checks that a worker reports a higher token at once, but at most once per
// half of the lease. A new leader learns from this report which tasks a machine has.
func TestHigherTokenIsReported(t *testing.T) {
	token, reports := uint64(1), make(chan uint64, 64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := wire.ReadBody(r.Body)
		report, err := wire.ParseReport(body)
		if err != nil {
			t.Error(err)
			return
		}
		reports <- report.Token
		_, _ = w.Write(wire.EncodeReportAnswer(token, nil))
		token++ // each answer has a higher token
	}))
	defer server.Close()
	f := &Fleet{Controllers: []string{server.URL}, ReportInterval: time.Second, Lease: time.Hour, ReportsChangesAtOnce: true}
	f.StartWorker(Machine{Name: "host-1"})
	first, second, third := <-reports, <-reports, <-reports
	f.StopWorker(Machine{Name: "host-1"})
	if first != 0 || second != 1 || third != 2 {
		t.Errorf("tokens %d, %d and %d were reported", first, second, third)
	}
	w := newWorker(f, Machine{Name: "host-2"})
	w.noteToken(7)
	if !w.changed {
		t.Error("a higher token does not count as a change")
	}
	w.changed = false
	w.noteToken(8)
	if w.changed || w.token != 8 {
		t.Error("a second higher token within half of the lease counts as a change")
	}
}
