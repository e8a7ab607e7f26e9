package placement

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// newTermComponent is the duty of a term of this epoch, with jobs of 100 tasks each.
func newTermComponent(epoch uint64, on int, count int) *Component {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Tunables.NoteTasks = on
	s := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: epoch, Counts: &cluster.Counts{}})
	s.EventLog = eventlog.NewLog(eventlog.Limits{WriteRPS: 1e6, ValueBytes: 2048, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	for id := range count {
		s.Jobs.Add(eventlog.Job{ID: uint64(id + 1), Tasks: 100}).Phase = jobs.Open
	}
	return New(s)
}

// commitAll has everything written that a duty wants to write, and returns it.
func commitAll(t *testing.T, d *Component) (out []eventlog.Entry) {
	t.Helper()
	d.AppendEntries(0)
	for mark := uint64(1); d.EventLog.Pending() > 0; mark++ {
		now := time.Duration(mark) * time.Second
		txn := d.EventLog.NextTransaction(now)
		for _, w := range txn.Writes {
			if len(w.Value) > 2048 {
				t.Fatalf("a value of %d bytes", len(w.Value))
			}
		}
		facts, _ := d.EventLog.CommitResult(now, txn.Sequence, eventlog.Applied, mark, nil)
		for _, e := range facts {
			d.EntryDurable(now, true, e)
		}
		out = append(out, facts...)
	}
	return out
}

func beginTerm(epoch uint64, on int, log []eventlog.Entry) *Component {
	d := newTermComponent(epoch, on, 2)
	for _, e := range log {
		d.Replay(0, e)
	}
	d.Begin(0)
	return d
}

func planJob3(d *Component, id uint64, task int32) *workers.Placement {
	p := &workers.Placement{Ref: workers.Ref{Job: d.Jobs.Find(id).Index, Task: task}, JobID: id}
	d.markPlan(p)
	return p
}

// A task may be offered once its job's mark is durable beyond it. The next term
// knows from the marks what was never handed out; a term that leaves no marks
// behind ends that, and it begins anew after it.
func TestMarks(t *testing.T) {
	var log []eventlog.Entry
	d := beginTerm(1, 1, nil)
	if got := d.Jobs.Find(1).FreshFrom; got != 100 {
		t.Errorf("what ran before the first marks is fresh from %d on", got)
	}
	log = append(log, commitAll(t, d)...)

	d = beginTerm(2, 1, log)
	late := d.Jobs.Add(eventlog.Job{ID: 3, Tasks: 100})
	late.Phase = jobs.Open
	p, q := planJob3(d, 3, 0), planJob3(d, 3, 8)
	if p.IntentDurable || q.IntentDurable {
		t.Error("offered before the mark is durable")
	}
	log = append(log, commitAll(t, d)...)
	if !p.IntentDurable || !q.IntentDurable {
		t.Error("not offered once it is")
	}
	if r := planJob3(d, 3, 9); r.IntentDurable {
		t.Error("a task beyond the mark is offered")
	}
	// That one's mark is never written: the term ends here.

	third := func(epoch uint64, on int, log []eventlog.Entry) *Component {
		d := newTermComponent(epoch, on, 3)
		for _, e := range log {
			d.Replay(0, e)
		}
		d.Begin(0)
		return d
	}
	next := third(3, 1, log)
	if a, b := next.Jobs.Find(1).FreshFrom, next.Jobs.Find(3).FreshFrom; a != 100 || b != 9 {
		t.Errorf("read as fresh from %d and %d on, want 100 and 9", a, b)
	}
	for name, d := range map[string]*Component{"a term between that left nothing": third(4, 1, log),
		"an entry that cannot be read": third(3, 1, append(log[:len(log):len(log)], eventlog.Entry{Component: &eventlog.ComponentEntry{Duty: Name, Data: json.RawMessage(`7`)}}))} {
		for id := range uint64(3) {
			if got := d.Jobs.Find(id + 1).FreshFrom; got != 100 {
				t.Errorf("%s: job %d is fresh from %d on", name, id+1, got)
			}
		}
	}
	off := third(3, 0, log)
	if p := planJob3(off, 3, 50); !p.IntentDurable || len(commitAll(t, off)) != 0 {
		t.Error("switched off, it writes or waits all the same")
	}

	// Cleaned, the marks and the span are those of the term that cleans.
	commitAll(t, next)
	var kept []eventlog.Entry
	for _, e := range log {
		next.Compact(0, e)
	}
	next.CompactionDone()
	kept = commitAll(t, next)
	spans := 0
	for _, e := range kept {
		var x markEntry
		if err := json.Unmarshal(e.Component.Data, &x); err != nil {
			t.Fatal(err)
		}
		if x.To > 0 {
			spans++
		}
	}
	if after := third(4, 1, kept); spans != 1 || after.Jobs.Find(3).FreshFrom != 9 {
		t.Errorf("cleaned: %d spans, fresh from %d on", spans, after.Jobs.Find(3).FreshFrom)
	}
}

// Marks of many jobs are written in parts that fit.
func TestMarksOfManyJobsAreWrittenInParts(t *testing.T) {
	d := newTermComponent(2, 1, 500)
	d.Begin(0)
	if got := commitAll(t, d); len(got) < 3 {
		t.Errorf("%d entries", len(got))
	}
	for id, m := range d.marks.durable {
		if m != 100 {
			t.Fatalf("job %d has mark %d", id, m)
		}
	}
}

// A machine that is not resolved counts against the teams whose tasks it may
// have, and against all of them where that is not known.
func TestUnresolvedMachinesCountAgainstTeams(t *testing.T) {
	s := newTermComponent(2, 1, 0).State
	for _, team := range []string{"a", "b", "c"} {
		s.Teams.Index(team)
		s.Scheduler.AddTeam()
	}
	for id := range 3 {
		s.Jobs.Add(eventlog.Job{ID: uint64(id + 1), Tasks: 1}).Team = int32(id)
	}
	s.Jobs.Finish(8, jobs.Done)
	s.Jobs.Finish(9, jobs.Cancelled)
	for n := range 5 {
		m := s.Inventory.Add(&workers.Machine{Name: fmt.Sprint(n), Number: n + 1, Durable: true})
		m.Cap.CPU = 1 << n
		if n == 4 {
			m.Number = 0 // of a version that notes no grants
		}
	}
	d := New(s)
	for n, grants := range [][]uint64{{}, {1}, {1, 2, 8}, {9}} {
		for _, id := range grants {
			d.Replay(0, eventlog.Entry{Grant: &eventlog.Grant{Job: id, Machines: []int{n + 1}}})
		}
	}
	d.Begin(0)
	for team, want := range []int64{2 + 4 + 8 + 16, 4 + 8 + 16, 8 + 16} {
		if got := s.Snapshot(0).UnresolvedUse[team].CPU; got != want {
			t.Errorf("against team %d count %d, want %d", team, got, want)
		}
	}
	for _, m := range s.Inventory.All() {
		s.RemoveUnresolved(m)
	}
	for team, m := range s.Snapshot(0).UnresolvedUse {
		if m.CPU != 0 {
			t.Errorf("against team %d count %d once all are found", team, m.CPU)
		}
	}
}
