package reconfig

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// fixture is the component with its own event log.
type fixture struct {
	*Component
	t       *testing.T
	now     time.Duration
	entries []eventlog.Entry // all entries that were made durable
	version uint64           // version of the last committed transaction
	replica config.Replica
}

func newFixture(t *testing.T, historyLimit int, entries []eventlog.Entry) *fixture {
	t.Helper()
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Node, cfg.Peers = "n0", []settings.Peer{{Node: "n1"}, {Node: "n2"}}
	cfg.Tunables.ConfigHistory = historyLimit
	cfg.Deployment.Teams = []settings.Team{{Name: "red", CPUs: 2, CPUsMax: 10}}
	cfg.Deployment.State.WriteRPS, cfg.Deployment.State.ValueKB, cfg.Deployment.State.TxnOps = 100, 8, 12
	b := &fixture{t: t, now: time.Second}
	s := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: 1, Counts: &cluster.Counts{}, Config: &b.replica})
	s.EventLog = newLog(0)
	b.Component = New(s)
	for _, e := range entries {
		b.Replay(b.now, e)
	}
	b.entries = entries
	b.Begin(b.now)
	return b
}

// newLog returns an event log whose last segment has the given number.
func newLog(last int) *eventlog.Log {
	return eventlog.NewLog(eventlog.Limits{WriteRPS: 100, ValueBytes: 8 << 10, TxnOps: 12}, "lead/epoch", 1, last, 0)
}

// commit makes all pending entries durable.
func (b *fixture) commit() {
	b.t.Helper()
	for b.EventLog.PendingCount() > 0 {
		b.now += 100 * time.Millisecond
		txn := b.EventLog.NextTransaction(b.now)
		if txn == nil {
			continue
		}
		b.version++
		pending := b.EventLog.PendingCount()
		for _, w := range txn.Writes {
			if list, err := eventlog.Decode(w.Value); err == nil && strings.HasPrefix(w.Key, eventlog.Prefix) {
				b.entries = append(b.entries, list...) // some occur twice, which Replay tolerates
			}
		}
		durable, _ := b.EventLog.CommitResult(b.now, txn.Sequence, eventlog.Applied, b.version, nil)
		for _, e := range durable {
			b.EntryDurable(b.now, true, e)
		}
		if b.EventLog.PendingCount() == pending {
			b.t.Fatal("transaction was applied, but no entry became durable")
		}
	}
}

func (b *fixture) request(r Request) (Answer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		b.t.Fatal(err)
	}
	var a Answer
	raw, err := b.ChangeBy(b.now, "ann", body)
	if err == nil {
		err = json.Unmarshal(raw, &a)
	}
	return a, err
}

func limitChange(team string, cpus float64) config.Change {
	return config.Change{Item: config.Item{Team: team}, Value: config.Value{Limits: &config.Limits{CPUsMax: cpus}}}
}

func (b *fixture) cpuLimit(team string) float64 {
	i, _ := b.Teams.Lookup(team)
	return float64(b.Scheduler.Limits[i].CPU) / partsPerUnit
}

// A change is applied once, only on the revision that the operator saw, and as a whole or not at all.
func TestChangeIsMadeOnceAndWhole(t *testing.T) {
	b := newFixture(t, 8, nil)
	first := Request{ID: "a", Changes: []config.Change{limitChange("red", 20), limitChange("blue", 5)}}
	dry := first
	dry.DryRun = true
	if a, err := b.request(dry); err != nil || a.Revision != 1 || b.EventLog.PendingCount() != 0 {
		t.Fatalf("dry run: answer %+v, error %v", a, err)
	}
	bad := Request{ID: "bad", Changes: []config.Change{limitChange("red", 1), limitChange("blue", -1)}}
	if _, err := b.request(bad); err == nil || !strings.Contains(err.Error(), "team blue") || b.cpuLimit("red") != 10 {
		t.Errorf("request with one invalid change: error %v, red has limit %v", err, b.cpuLimit("red"))
	}
	if a, err := b.request(first); err != nil || a.Durable {
		t.Fatalf("first request: answer %+v, error %v", a, err)
	}
	if a, err := b.request(first); err != nil || a.Durable || a.Revision != 1 {
		t.Errorf("repeated request before the change is durable: answer %+v, error %v", a, err)
	}
	if _, err := b.request(Request{ID: "b", Revision: 0, Changes: first.Changes}); err == nil || !strings.Contains(err.Error(), "revision") {
		t.Errorf("request for an outdated revision: %v", err)
	}
	b.commit()
	if a, err := b.request(first); err != nil || !a.Durable || a.Revision != 1 {
		t.Errorf("repeated request once the change is durable: answer %+v, error %v", a, err)
	}
	blue, ok := b.Teams.Lookup("blue")
	if !ok || !b.HasTeam(blue) || b.cpuLimit("red") != 20 || b.replica.Revision() != 1 {
		t.Errorf("red has limit %v, the replica has revision %d", b.cpuLimit("red"), b.replica.Revision())
	}
	for _, wrong := range []config.Change{{Item: config.Item{Team: "none"}, Value: config.Value{Removed: true}}, {Item: config.Item{Team: "none"}}} {
		if _, err := b.request(Request{ID: "x", Revision: 1, Changes: []config.Change{wrong}}); err == nil {
			t.Errorf("invalid change %v was accepted", wrong)
		}
	}
}

// Undoing the revision that added a team removes the team, since the settings do not define it.
// Such a rollback was once refused.
func TestRevertRemovesATeam(t *testing.T) {
	b := newFixture(t, 8, nil)
	if _, err := b.request(Request{ID: "a", Changes: []config.Change{limitChange("blue", 5)}}); err != nil {
		t.Fatal(err)
	}
	b.commit()
	changes, err := config.ChangesToRestore(b.history, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.request(Request{ID: "b", Revision: 1, Changes: changes}); err != nil {
		t.Fatal(err)
	}
	b.commit()
	if blue, ok := b.Teams.Lookup("blue"); !ok || b.HasTeam(blue) || b.cpuLimit("blue") != 5 {
		t.Errorf("team was not removed, or its limit changed: %v", b.cpuLimit("blue"))
	}
}

// A lower limit takes effect when it is requested, a higher one once it is durable.
func TestPendingLimits(t *testing.T) {
	b := newFixture(t, 8, nil)
	setLimit := func(id string, revision uint64, cpus float64) {
		t.Helper()
		if _, err := b.request(Request{ID: id, Revision: revision, Changes: []config.Change{limitChange("red", cpus)}}); err != nil {
			t.Fatal(err)
		}
	}
	setLimit("lower", 0, 4)
	if b.cpuLimit("red") != 4 {
		t.Errorf("limit is %v while a lower limit of 4 is pending, want 4", b.cpuLimit("red"))
	}
	setLimit("higher", 1, 50)
	if b.cpuLimit("red") != 4 {
		t.Errorf("limit is %v before the higher limit of 50 is durable, want 4", b.cpuLimit("red"))
	}
	b.commit()
	if b.cpuLimit("red") != 50 {
		t.Errorf("limit is %v, want 50", b.cpuLimit("red"))
	}
	setLimit("none", 2, 0)
	b.commit()
	if b.cpuLimit("red") != 0 {
		t.Errorf("limit is %v after it was removed, want 0", b.cpuLimit("red"))
	}
}

// Compaction keeps items that are still set by revisions which are no longer in the history.
func TestCompactionKeepsSetItems(t *testing.T) {
	b := newFixture(t, 2, nil)
	v := 77.0
	for i := range uint64(9) {
		c := limitChange(fmt.Sprint("team-", i%4), float64(10+i))
		changes := []config.Change{c}
		if i == 0 {
			changes = append(changes, config.Change{Item: config.Item{Tunable: "fleet.idle_return"}, Value: config.Value{Number: &v}})
		}
		if _, err := b.request(Request{ID: fmt.Sprint(i), Revision: i, Changes: changes}); err != nil {
			t.Fatal(err)
		}
		b.commit()
	}
	old := b.entries
	b.entries = nil
	b.EventLog = newLog(1) // all earlier entries are in older segments
	for _, e := range old {
		b.Compact(b.now, e)
	}
	b.CompactionDone()
	b.commit()
	next := newFixture(t, 2, b.entries)
	if next.document.Revision() != 9 || len(next.history) != 2 || next.Cfg.Tunables.IdleReturnS != v {
		t.Errorf("revision %d, %d revisions in the history, idle_return %v", next.document.Revision(), len(next.history), next.Cfg.Tunables.IdleReturnS)
	}
	for team, want := range map[string]float64{"team-0": 18, "team-1": 15, "team-2": 16, "team-3": 17, "red": 10} {
		if next.cpuLimit(team) != want {
			t.Errorf("limit of %s is %v, want %v", team, next.cpuLimit(team), want)
		}
	}
	if n := len(b.entries); n > 5 {
		t.Errorf("%d entries are left in the log, want at most 5", n)
	}
}

// A leader whose log lacks a revision that was in force refuses further changes.
func TestLostRevisionBlocksChanges(t *testing.T) {
	b := newFixture(t, 8, nil)
	if _, err := b.request(Request{ID: "a", Changes: []config.Change{limitChange("red", 4)}}); err != nil {
		t.Fatal(err)
	}
	b.commit()
	b.RevisionAcknowledged(b.now, "n1", 3)
	if _, err := b.request(Request{ID: "b", Revision: 1, Changes: []config.Change{limitChange("red", 5)}}); err == nil || !strings.Contains(err.Error(), "3 was in force") {
		t.Errorf("%v", err)
	}
}

// A controller is sent the revisions that it lacks, and has a lag until it reports them.
func TestControllerUpdatesAndLag(t *testing.T) {
	b := newFixture(t, 8, nil)
	b.RevisionAcknowledged(b.now, "n1", 0)
	for i := range uint64(3) {
		if _, err := b.request(Request{ID: fmt.Sprint(i), Revision: i, Changes: []config.Change{limitChange(fmt.Sprint("t", i), 4)}}); err != nil {
			t.Fatal(err)
		}
		b.commit()
	}
	if u := b.UpdateFor("n1"); u.To != 3 || len(u.Sets) != 3 {
		t.Errorf("%+v", u)
	}
	b.now += 2 * time.Second
	b.RevisionAcknowledged(b.now, "n1", 2)
	if u := b.UpdateFor("n1"); u.From != 2 || len(u.Sets) != 1 || u.Sets[0].Item.Team != "t2" {
		t.Errorf("%+v", u)
	}
	lag := b.Gauges(b.now)[1].Values
	if lag["n0"] != 0 || lag["n1"] <= 0 || lag["n2"] < lag["n1"] {
		t.Errorf("%v", lag)
	}
	b.RevisionAcknowledged(b.now, "n1", 3)
	if v := b.view(b.now); v.Controllers[1].LagS != 0 || v.Controllers[1].Revision != 3 || v.Controllers[2].Heard {
		t.Errorf("%+v", v.Controllers)
	}
	if n := b.Metrics.All()[0]; n.Series[0].Value != "n1" || n.Series[0].Count != 3 {
		t.Errorf("%+v", n)
	}
}
