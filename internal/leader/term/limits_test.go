package term

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// Limits of the state service in a small term.
const (
	smallValueBytes = 2048
	smallTxnOps     = 4
)

// newSmallTerm returns a term whose values are limited to 2 KiB.
func newSmallTerm(entries []eventlog.Entry) *Term { return newSmallTermAt(0, entries) }

// newSmallTermAt returns a small term that replays its log at the given time of its clock.
func newSmallTermAt(now time.Duration, entries []eventlog.Entry) *Term {
	c := &settings.Settings{Tunables: settings.Defaults()}
	c.Deployment.Teams = []settings.Team{{Name: "team"}}
	c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS, c.Deployment.Workers.CancelS = 1, 10, 30
	c.Deployment.Cloud.RPS = 10
	c.Deployment.State.WriteRPS, c.Deployment.State.ValueKB, c.Deployment.State.TxnOps = 1e6, 8, 12
	kb, ops := smallValueBytes/1024.0, smallTxnOps
	c.Deployment.State.Next = &settings.NextLimits{ValueKB: &kb, TxnOps: &ops}
	t := New(cluster.TermStart{Cfg: c, Epoch: 2, Counts: &cluster.Counts{}})
	t.Load(now, 1, LoadedLog{First: 1, Last: 1, Entries: entries})
	return t
}

// drainLog commits everything that a term has to write, checks every value and transaction
// against the limits, and returns the entries.
func drainLog(t *testing.T, term *Term, now *time.Duration) []eventlog.Entry {
	t.Helper()
	segments := map[string][]eventlog.Entry{}
	for revision := uint64(2); ; revision++ {
		*now += time.Second
		term.DrainEffects()
		term.Flush(*now)
		out := term.DrainEffects()
		i := slices.IndexFunc(out, func(e effects.Effect) bool {
			_, ok := e.(effects.Commit)
			return ok
		})
		if i < 0 {
			break
		}
		txn := out[i].(effects.Commit).Txn
		if len(txn.Writes) > smallTxnOps {
			t.Errorf("%d changes in a transaction exceed the limit", len(txn.Writes))
		}
		for _, w := range txn.Writes {
			if len(w.Value) > smallValueBytes {
				t.Errorf("a value of %d bytes exceeds the limit: %.80s…", len(w.Value), w.Value)
			}
			if _, err := eventlog.SegmentNumber(w.Key); err == nil && !w.Remove {
				list, err := eventlog.Decode(w.Value)
				if err != nil {
					t.Fatal(err)
				}
				segments[w.Key] = list
			}
		}
		term.Committed(*now, true, txn.Sequence, eventlog.Applied, revision, nil)
	}
	if term.EventLog.PendingCount() > 0 {
		t.Fatalf("%d entries are never written", term.EventLog.PendingCount())
	}
	var out []eventlog.Entry
	keys := make([]string, 0, len(segments))
	for k := range segments {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		out = append(out, segments[k]...)
	}
	return out
}

// Every kind of entry at its largest size is stored in values of at most 2 KiB, and a
// successor restores the original contents from them.
func TestLargestEntriesFit(t *testing.T) {
	long := func(prefix string, n int) string { return fmt.Sprintf("%s-%0*d", prefix, 60, n) }
	var zones []string
	for n := range 80 {
		zones = append(zones, long("zone", n))
	}
	machineType := eventlog.MachineType{
		Name:      "m",
		CPUs:      8,
		MemoryGB:  64,
		CacheGB:   10,
		FetchGBPS: 1,
		Price:     1,
		SpotPrice: 0.5,
		BootS:     30,
		Zones:     zones,
	}
	var done []eventlog.Entry
	var all []uint64
	for n := range uint64(600) {
		id := 123456789012345 + n
		all = append(all, id)
		done = append(done, eventlog.Entry{FinalStates: &eventlog.FinalStates{Done: []uint64{id}}})
	}
	open := eventlog.Job{ID: 1, Class: "c", Team: "team", Tasks: 4000, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 3}
	var now time.Duration
	term := newSmallTerm(append(done, eventlog.Entry{Job: &open}))
	term.MachineTypesListed(0, []eventlog.MachineType{machineType})

	follower := open
	follower.ID, follower.Tasks, follower.Follows = 2, 3, append([]uint64{1}, all...)
	term.Lifecycle.Submit(time.Second, 1, wire.Submission{ID: 2, HasID: true, Job: &follower})

	term.EventLog.AppendTracked(eventlog.Entry{Rental: &eventlog.Rental{Name: "r-2-1", Type: "m", Zone: zones[0], Count: 50}})
	var names []string
	for n := range 50 {
		names = append(names, long("host", n))
	}
	written := drainLog(t, term, &now)
	term.RentalAnswered(time.Second, "r-2-1", names, wire.Rented)
	for _, n := range names {
		report := workers.Report{Machine: n, Address: n, Type: "m", Zone: zones[1], Session: 1, Seq: 1}
		term.HandleHeartbeat(time.Second, true, 1, effects.RelayedHeartbeat{Via: "n", Life: 1, Report: report})
	}
	j := term.Jobs.ByID(1)
	for k := 0; k < 4000; k += 2 {
		j.Complete(k)
		term.Publish(cluster.Event{Kind: cluster.TaskDone, Job: j, Task: k, RunSeconds: 3})
	}
	written = append(written, drainLog(t, term, &now)...)
	term.MachinesDeleted(time.Second, names[:40], true)
	deletions := drainLog(t, term, &now)

	// The whole log is compacted: its live entries are appended again.
	compactAll(t, term, append([]eventlog.Entry{{Job: &open}}, written...))
	compacted := drainLog(t, term, &now)

	types := eventlog.Entry{MachineTypes: []eventlog.MachineType{machineType}}
	for name, entries := range map[string][]eventlog.Entry{
		"as written": slices.Concat(done, []eventlog.Entry{types, {Job: &open}}, written, deletions),
		"compacted":  slices.Concat(done, compacted),
	} {
		t.Run(name, func(t *testing.T) {
			next := newSmallTerm(entries)
			dependent := next.Jobs.ByID(2)
			if dependent == nil {
				t.Fatal("the dependent job is missing")
			}
			follows, waitsFor := len(dependent.Record.Follows), len(dependent.Dependencies)
			if dependent.Phase != jobs.Held || follows != 601 || waitsFor != 1 {
				t.Fatalf("the dependent job is in phase %v, follows %d jobs and waits for %d, want held, 601 and 1",
					dependent.Phase, follows, waitsFor)
			}
			if j := next.Jobs.ByID(1); j == nil || j.DurableCount != 2000 {
				t.Errorf("the open job is restored as %+v, want 2000 durable completions", j)
			}
			if machines := len(next.Inventory.All()); machines != 10 {
				t.Errorf("%d machines, want 10", machines)
			}
			if got := len(next.Types[0].Zones); got != 80 {
				t.Errorf("%d zones, want 80", got)
			}
		})
	}
}

// compactAll makes a term compact the given entries as the contents of its first segment.
func compactAll(t *testing.T, term *Term, entries []eventlog.Entry) {
	t.Helper()
	term.firstSegment, term.compacting = 1, true
	term.SegmentsRead(time.Minute, 1, 2, true, entries)
	if term.EventLog.PendingCount() == 0 {
		t.Fatal("the compaction kept no entries")
	}
}

// smallMachineType returns an entry with one machine type, in one zone.
func smallMachineType() eventlog.Entry {
	return eventlog.Entry{MachineTypes: []eventlog.MachineType{
		{Name: "m", CPUs: 8, MemoryGB: 64, Zones: []string{"a"}},
	}}
}

// rentalRequests returns the number of rental requests that a term sends in its first tick.
func rentalRequests(term *Term) int {
	term.Tick(time.Second, true)
	n := 0
	for _, e := range term.DrainEffects() {
		if _, ok := e.(effects.RentMachines); ok {
			n++
		}
	}
	return n
}

// A rental answer may need several entries. If only some of them are in the log, the successor
// sends the request again, so that no machine is missed.
func TestPartialRentalAnswerIsRequestedAgain(t *testing.T) {
	term := newSmallTerm([]eventlog.Entry{smallMachineType()})
	var now time.Duration
	term.EventLog.AppendTracked(eventlog.Entry{Rental: &eventlog.Rental{Name: "r-2-1", Type: "m", Zone: "a", Count: 50}})
	entries := drainLog(t, term, &now)
	var names []string
	for n := range 50 {
		names = append(names, fmt.Sprintf("host-%0100d", n))
	}
	term.RentalAnswered(time.Second, "r-2-1", names, wire.Rented)
	answered := drainLog(t, term, &now)
	entries = slices.Concat([]eventlog.Entry{{MachineTypes: term.Types}}, entries, answered)
	answers := 0
	for n, e := range entries {
		if e.RentalAnswer == nil {
			continue
		}
		answers++
		if n+1 < len(entries) && rentalRequests(newSmallTerm(entries[:n+2])) != 1 {
			t.Errorf("with only the first %d entries in the log the request is not sent again", n+2)
		}
	}
	if answers < 2 {
		t.Fatal("the answer fitted into one entry: the test would check nothing")
	}
	next := newSmallTerm(entries)
	if open, machines := rentalRequests(next), len(next.Inventory.All()); open != 0 || machines != 50 {
		t.Errorf("%d requests open, %d machines, want none and 50", open, machines)
	}
}

// A job that is too large to be stored is refused at submission.
func TestUnstorableJobIsRefused(t *testing.T) {
	term := newSmallTerm([]eventlog.Entry{smallMachineType()})
	job := eventlog.Job{ID: 1, Team: "team", Tasks: 1, CPUs: 1, MemoryGB: 1, Types: []string{"m"}}
	for n := range 200 {
		job.Types = append(job.Types, fmt.Sprintf("type-%010d", n))
	}
	term.Lifecycle.Submit(0, 7, wire.Submission{ID: 1, HasID: true, Job: &job})
	out := term.DrainEffects()
	r, ok := out[len(out)-1].(effects.Reply)
	if !ok || r.Answer.Status != 400 || term.Jobs.ByID(1) != nil {
		raw, _ := json.Marshal(r)
		t.Errorf("got %s, want status 400", raw)
	}
}
