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

// fixture is the component with a log of its own.
type fixture struct {
	*Component
	t       *testing.T
	now     time.Duration
	entries []eventlog.Entry // durable
	mark    uint64
	replica config.Replica
}

func newFixture(t *testing.T, remember int, entries []eventlog.Entry) *fixture {
	t.Helper()
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Node, cfg.Peers = "n0", []settings.Peer{{Node: "n1"}, {Node: "n2"}}
	cfg.Tunables.ConfigHistory = remember
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

// newLog is a log whose last segment has a number.
func newLog(last int) *eventlog.Log {
	return eventlog.NewLog(eventlog.Limits{WriteRPS: 100, ValueBytes: 8 << 10, TxnOps: 12}, "lead/epoch", 1, last, 0)
}

// commit has everything that waits become durable.
func (b *fixture) commit() {
	b.t.Helper()
	for b.EventLog.PendingCount() > 0 {
		b.now += 100 * time.Millisecond
		txn := b.EventLog.NextTransaction(b.now)
		if txn == nil {
			continue
		}
		b.mark++
		pending := b.EventLog.PendingCount()
		for _, w := range txn.Writes {
			if list, err := eventlog.Decode(w.Value); err == nil && strings.HasPrefix(w.Key, eventlog.Prefix) {
				b.entries = append(b.entries, list...) // some twice, which replay bears
			}
		}
		durable, _ := b.EventLog.CommitResult(b.now, txn.Sequence, eventlog.Applied, b.mark, nil)
		for _, e := range durable {
			b.EntryDurable(b.now, true, e)
		}
		if b.EventLog.PendingCount() == pending {
			b.t.Fatal("nothing becomes durable")
		}
	}
}

func (b *fixture) ask(r Request) (Answer, error) {
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

func limitTo(team string, most float64) config.Change {
	return config.Change{Item: config.Item{Team: team}, Value: config.Value{Limits: &config.Limits{CPUsMax: most}}}
}

func (b *fixture) limit(team string) float64 {
	i, _ := b.Teams.Lookup(team)
	return float64(b.Scheduler.Limits[i].CPU) / partsPerUnit
}

// A change is made once, for the revision that was seen, whole or not at all.
func TestChangeIsMadeOnceAndWhole(t *testing.T) {
	b := newFixture(t, 8, nil)
	first := Request{ID: "a", Changes: []config.Change{limitTo("red", 20), limitTo("blue", 5)}}
	dry := first
	dry.DryRun = true
	if a, err := b.ask(dry); err != nil || a.Revision != 1 || b.EventLog.PendingCount() != 0 {
		t.Fatalf("only asked: %+v %v", a, err)
	}
	bad := Request{ID: "bad", Changes: []config.Change{limitTo("red", 1), limitTo("blue", -1)}}
	if _, err := b.ask(bad); err == nil || !strings.Contains(err.Error(), "team blue") || b.limit("red") != 10 {
		t.Errorf("half of a bundle: %v, red has %v", err, b.limit("red"))
	}
	if a, err := b.ask(first); err != nil || a.Durable {
		t.Fatalf("%+v %v", a, err)
	}
	if a, err := b.ask(first); err != nil || a.Durable || a.Revision != 1 {
		t.Errorf("a repeat before it is durable: %+v %v", a, err)
	}
	if _, err := b.ask(Request{ID: "b", Revision: 0, Changes: first.Changes}); err == nil || !strings.Contains(err.Error(), "revision") {
		t.Errorf("planned for a revision that has passed: %v", err)
	}
	b.commit()
	if a, err := b.ask(first); err != nil || !a.Durable || a.Revision != 1 {
		t.Errorf("a repeat: %+v %v", a, err)
	}
	blue, ok := b.Teams.Lookup("blue")
	if !ok || !b.HasTeam(blue) || b.limit("red") != 20 || b.replica.Revision() != 1 {
		t.Errorf("red has %v, the replica %d", b.limit("red"), b.replica.Revision())
	}
	for _, wrong := range []config.Change{{Item: config.Item{Team: "none"}, Value: config.Value{Removed: true}}, {Item: config.Item{Team: "none"}}} {
		if _, err := b.ask(Request{ID: "x", Revision: 1, Changes: []config.Change{wrong}}); err == nil {
			t.Errorf("%v was taken", wrong)
		}
	}
}

// Going back to before a team came to be removes it: the settings say nothing of it. Before, a
// rollback over such a revision was refused.
func TestRevertRemovesATeam(t *testing.T) {
	b := newFixture(t, 8, nil)
	if _, err := b.ask(Request{ID: "a", Changes: []config.Change{limitTo("blue", 5)}}); err != nil {
		t.Fatal(err)
	}
	b.commit()
	changes, err := config.Undo(b.history, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.ask(Request{ID: "b", Revision: 1, Changes: changes}); err != nil {
		t.Fatal(err)
	}
	b.commit()
	if blue, ok := b.Teams.Lookup("blue"); !ok || b.HasTeam(blue) || b.limit("blue") != 5 {
		t.Errorf("the team is there, or its jobs have another limit: %v", b.limit("blue"))
	}
}

// A lower limit counts from when it is written, a higher one once it is durable.
func TestLimitsOnTheirWay(t *testing.T) {
	b := newFixture(t, 8, nil)
	ask := func(id string, seen uint64, most float64) {
		t.Helper()
		if _, err := b.ask(Request{ID: id, Revision: seen, Changes: []config.Change{limitTo("red", most)}}); err != nil {
			t.Fatal(err)
		}
	}
	ask("lower", 0, 4)
	if b.limit("red") != 4 {
		t.Errorf("%v may be used while a limit of 4 is on its way", b.limit("red"))
	}
	ask("higher", 1, 50)
	if b.limit("red") != 4 {
		t.Errorf("%v may be used before 50 are durable", b.limit("red"))
	}
	b.commit()
	if b.limit("red") != 50 {
		t.Errorf("%v may be used of 50", b.limit("red"))
	}
	ask("none", 2, 0)
	b.commit()
	if b.limit("red") != 0 {
		t.Errorf("a limit of %v is left", b.limit("red"))
	}
}

// What was set long ago outlives the cleaning of the log, and its revision is not remembered.
func TestCleaningKeepsWhatIsSet(t *testing.T) {
	b := newFixture(t, 2, nil)
	v := 77.0
	for i := range uint64(9) {
		c := limitTo(fmt.Sprint("team-", i%4), float64(10+i))
		changes := []config.Change{c}
		if i == 0 {
			changes = append(changes, config.Change{Item: config.Item{Tunable: "fleet.idle_return"}, Value: config.Value{Number: &v}})
		}
		if _, err := b.ask(Request{ID: fmt.Sprint(i), Revision: i, Changes: changes}); err != nil {
			t.Fatal(err)
		}
		b.commit()
	}
	old := b.entries
	b.entries = nil
	b.EventLog = newLog(1) // all that was written is in older segments
	for _, e := range old {
		b.Compact(b.now, e)
	}
	b.CompactionDone()
	b.commit()
	next := newFixture(t, 2, b.entries)
	if next.document.Revision() != 9 || len(next.history) != 2 || next.Cfg.Tunables.IdleReturnS != v {
		t.Errorf("revision %d, %d remembered, idle_return %v", next.document.Revision(), len(next.history), next.Cfg.Tunables.IdleReturnS)
	}
	for team, want := range map[string]float64{"team-0": 18, "team-1": 15, "team-2": 16, "team-3": 17, "red": 10} {
		if next.limit(team) != want {
			t.Errorf("%s may use %v, wanted %v", team, next.limit(team), want)
		}
	}
	if n := len(b.entries); n > 5 {
		t.Errorf("%d entries are left of the log", n)
	}
}

// A leader whose log lacks what was in force changes nothing more.
func TestLostRevisionBlocksChanges(t *testing.T) {
	b := newFixture(t, 8, nil)
	if _, err := b.ask(Request{ID: "a", Changes: []config.Change{limitTo("red", 4)}}); err != nil {
		t.Fatal(err)
	}
	b.commit()
	b.Acknowledged(b.now, "n1", 3)
	if _, err := b.ask(Request{ID: "b", Revision: 1, Changes: []config.Change{limitTo("red", 5)}}); err == nil || !strings.Contains(err.Error(), "3 was in force") {
		t.Errorf("%v", err)
	}
}

// A controller is told what it lacks, and is behind until it has it.
func TestControllers(t *testing.T) {
	b := newFixture(t, 8, nil)
	b.Acknowledged(b.now, "n1", 0)
	for i := range uint64(3) {
		if _, err := b.ask(Request{ID: fmt.Sprint(i), Revision: i, Changes: []config.Change{limitTo(fmt.Sprint("t", i), 4)}}); err != nil {
			t.Fatal(err)
		}
		b.commit()
	}
	if u := b.UpdateFor("n1"); u.To != 3 || len(u.Sets) != 3 {
		t.Errorf("%+v", u)
	}
	b.now += 2 * time.Second
	b.Acknowledged(b.now, "n1", 2)
	if u := b.UpdateFor("n1"); u.From != 2 || len(u.Sets) != 1 || u.Sets[0].Item.Team != "t2" {
		t.Errorf("%+v", u)
	}
	lag := b.Gauges(b.now)[1].Values
	if lag["n0"] != 0 || lag["n1"] <= 0 || lag["n2"] < lag["n1"] {
		t.Errorf("%v", lag)
	}
	b.Acknowledged(b.now, "n1", 3)
	if v := b.view(b.now); v.Controllers[1].LagS != 0 || v.Controllers[1].Revision != 3 || v.Controllers[2].Heard {
		t.Errorf("%+v", v.Controllers)
	}
	if n := b.Metrics.All()[0]; n.Series[0].Value != "n1" || n.Series[0].Count != 3 {
		t.Errorf("%+v", n)
	}
}
