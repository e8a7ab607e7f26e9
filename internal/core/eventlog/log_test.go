package eventlog

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// store is a fake of the state service that implements only versions and conditions.
type store struct {
	revision uint64
	versions map[string]uint64
	data     map[string]json.RawMessage
}

func newStore() *store {
	return &store{revision: 1, versions: map[string]uint64{"lead/epoch": 1}, data: map[string]json.RawMessage{}}
}

func (s *store) apply(t Transaction) (Outcome, uint64, []string) {
	var failed []string
	for _, c := range t.Conditions {
		if s.versions[c.Key] != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return Conflict, 0, failed
	}
	s.revision++
	for _, w := range t.Writes {
		s.versions[w.Key], s.data[w.Key] = s.revision, w.Value
	}
	return Applied, s.revision, nil
}

func (s *store) ids(t *testing.T) []uint64 {
	t.Helper()
	var jobIDs []uint64
	for n := 1; s.versions[SegmentKey(n)] != 0; n++ {
		entries, err := Decode(s.data[SegmentKey(n)])
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range entries {
			jobIDs = append(jobIDs, *e.Cancel)
		}
	}
	return jobIDs
}

func cancelEntry(n uint64) Entry { return Entry{Cancel: &n} }

var testLimits = Limits{WriteRPS: 1000, ValueBytes: 200, TxnOps: 4}

func newLog() *Log { return NewLog(testLimits, "lead/epoch", 1, 0, 0) }

// An unanswered commit is applied late, after it has been sent again: the second attempt fails, reading
// the value back shows that the first one was applied, and no entry is stored twice.
func TestUnansweredCommitAppliedLate(t *testing.T) {
	s, l := newStore(), newLog()
	now := time.Second
	for n := range uint64(40) {
		l.AppendTracked(cancelEntry(n))
	}
	first := *l.NextTransaction(now)
	if _, step := l.CommitResult(now, first.Sequence, Unknown, 0, nil); step != ReadBackNeeded {
		t.Fatal("an unknown outcome does not request a read-back")
	}
	if durable := l.ReadBack(now, true, 0, nil); durable != nil {
		t.Fatal("entries reported as durable although the transaction was not applied")
	}
	l.AppendTracked(cancelEntry(99))
	now += time.Second
	again := l.NextTransaction(now)
	s.apply(first) // the late copy
	outcome, version, failed := s.apply(*again)
	if outcome != Conflict {
		t.Fatal("both attempts were applied")
	}
	if _, step := l.CommitResult(now, again.Sequence, outcome, version, failed); step != ReadBackNeeded {
		t.Fatal("the conflict does not request a read-back")
	}
	durable := l.ReadBack(now, true, s.versions[l.OpenSegmentKey()], s.data[l.OpenSegmentKey()])
	for len(durable) < 41 {
		now += time.Second
		txn := l.NextTransaction(now)
		if txn == nil {
			t.Fatalf("no progress: %d of 41 entries durable", len(durable))
		}
		outcome, version, failed := s.apply(*txn)
		more, _ := l.CommitResult(now, txn.Sequence, outcome, version, failed)
		durable = append(durable, more...)
	}
	got := s.ids(t)
	want := make([]uint64, 0, 41)
	for n := range uint64(40) {
		want = append(want, n)
	}
	if want = append(want, 99); !slices.Equal(got, want) {
		t.Errorf("the log contains %v", got)
	}
}

// The open segment is full, so a commit writes only the next one. The first copy of its transaction,
// whose outcome stayed unknown, arrives after later commits: it must not overwrite the segment with its
// earlier content. A randomized simulation found this failure.
func TestLateCopyDoesNotOverwriteSegment(t *testing.T) {
	s, l := newStore(), newLog()
	now := time.Second
	step := func() {
		now += time.Second
		if txn := l.NextTransaction(now); txn != nil {
			outcome, version, failed := s.apply(*txn)
			l.CommitResult(now, txn.Sequence, outcome, version, failed)
		}
	}
	for n := uint64(0); l.OpenSegment() == 1 && len(l.openBody) < testLimits.ValueBytes-64-10; n++ {
		l.AppendTracked(cancelEntry(100 + n))
		step()
	}
	l.AppendTracked(cancelEntry(7_000_000_000_000)) // no longer fits into the open segment
	now += time.Second
	late := *l.NextTransaction(now)
	if len(late.Writes) != 1 || late.Writes[0].Key != SegmentKey(2) {
		t.Fatalf("the case is not reached: %d writes, the first to %s", len(late.Writes), late.Writes[0].Key)
	}
	l.CommitResult(now, late.Sequence, Unknown, 0, nil)
	l.ReadBack(now, true, 0, nil)
	step()
	l.AppendTracked(cancelEntry(8))
	step()
	before := len(s.ids(t))
	s.apply(late)
	if after := len(s.ids(t)); after != before {
		t.Errorf("%d entries before the late copy, %d after it", before, after)
	}
}

// A late transaction of an earlier term fails its condition on the epoch key.
func TestLateCommitOfEarlierTerm(t *testing.T) {
	s, l := newStore(), newLog()
	l.AppendTracked(cancelEntry(1))
	late := *l.NextTransaction(time.Second)
	s.revision++
	s.versions["lead/epoch"] = s.revision
	outcome, version, failed := s.apply(late)
	if outcome != Conflict || len(s.ids(t)) != 0 {
		t.Fatal("a write of a superseded leader was applied")
	}
	if _, step := l.CommitResult(time.Second, late.Sequence, outcome, version, failed); step != TermLost {
		t.Error("the term does not end")
	}
}

func TestLimitsAreRespected(t *testing.T) {
	s, l := newStore(), newLog()
	now, puts := time.Second, 0
	small := testLimits
	small.WriteRPS = 10
	l.limits = small
	for n := range uint64(200) {
		l.AppendTracked(cancelEntry(n))
	}
	for l.PendingCount() > 0 && now < time.Minute {
		if txn := l.NextTransaction(now); txn != nil {
			if len(txn.Writes) > testLimits.TxnOps {
				t.Fatalf("%d writes in one transaction", len(txn.Writes))
			}
			for _, w := range txn.Writes {
				puts++
				if len(w.Value) > testLimits.ValueBytes {
					t.Fatalf("a value of %d bytes exceeds the limit", len(w.Value))
				}
			}
			outcome, version, failed := s.apply(*txn)
			l.CommitResult(now, txn.Sequence, outcome, version, failed)
		}
		now += 10 * time.Millisecond
	}
	if l.PendingCount() > 0 {
		t.Fatal("some entries were not written within a minute")
	}
	if allowed := 10 + 10*(now-time.Second).Seconds(); float64(puts) > allowed {
		t.Errorf("%d puts in %v exceed the rate", puts, now-time.Second)
	}
	if got := s.ids(t); len(got) != 200 {
		t.Errorf("%d of 200 entries are in the log", len(got))
	}
}

func TestSizesAreSplit(t *testing.T) {
	l := newLog()
	var all []VirtualSize
	for n := range uint64(10) {
		all = append(all, VirtualSize{n, 1.5, 0.5})
	}
	l.SetVirtualSizes(all)
	seen := 0
	txn := l.NextTransaction(time.Second)
	for _, w := range txn.Writes {
		var v VirtualSizes
		if err := json.Unmarshal(w.Value, &v); err != nil || len(w.Value) > testLimits.ValueBytes {
			t.Fatal(fmt.Errorf("value of %d bytes: %w", len(w.Value), err))
		}
		seen += len(v.Sizes)
	}
	if seen != 10 {
		t.Errorf("%d of 10 sizes were written", seen)
	}
}

// A value is written by the transaction of its entry, and neither a late copy of a transaction nor a
// lost answer restores an old value.
func TestAppendWithValue(t *testing.T) {
	s := newStore()
	l := newLog()
	now := time.Second
	key := ComponentValueKey("d", 7)
	put := func(v string) *Transaction {
		now += time.Second
		if !l.AppendWithValue(cancelEntry(1), key, json.RawMessage(v)) {
			t.Fatal("refused")
		}
		return l.NextTransaction(now)
	}
	first := *put(`"old"`)
	if _, step := l.CommitResult(now, first.Sequence, Unknown, 0, nil); step != ReadBackNeeded {
		t.Fatal("the unknown outcome does not request a read-back")
	}
	l.ReadBack(now, true, 0, nil) // the transaction was not applied
	now += time.Second
	again := l.NextTransaction(now)
	outcome, version, failed := s.apply(*again)
	durable, _ := l.CommitResult(now, again.Sequence, outcome, version, failed)
	if len(durable) != 1 || string(s.data[key]) != `"old"` {
		t.Errorf("%d durable entries, value %s", len(durable), s.data[key])
	}
	next := put(`"new"`)
	outcome, version, failed = s.apply(*next)
	if durable, _ := l.CommitResult(now, next.Sequence, outcome, version, failed); len(durable) != 1 {
		t.Errorf("%d durable entries, want 1", len(durable))
	}
	if outcome, _, _ := s.apply(first); outcome != Conflict || string(s.data[key]) != `"new"` {
		t.Errorf("outcome %v of a late copy, value %s", outcome, s.data[key])
	}
	if n, err := ComponentValueNumber("d", key); n != 7 || err != nil {
		t.Errorf("value number %d, error %v, want 7 and no error", n, err)
	}
	if l.AppendWithValue(cancelEntry(1), key, make(json.RawMessage, testLimits.ValueBytes)) {
		t.Error("a value that is too large was accepted")
	}
	// The service rejects a value as too large: value and entry are dropped, other entries are written.
	l.limits.ValueBytes = 4000
	if !l.AppendWithValue(cancelEntry(2), key, make(json.RawMessage, 3000)) {
		t.Fatal("refused")
	}
	l.AppendTracked(cancelEntry(3))
	now += time.Second
	txn := l.NextTransaction(now)
	l.CommitResult(now, txn.Sequence, Invalid, 0, nil)
	now += time.Second
	txn = l.NextTransaction(now)
	outcome, version, failed = s.apply(*txn)
	durable, _ = l.CommitResult(now, txn.Sequence, outcome, version, failed)
	if len(durable) != 1 || *durable[0].Cancel != 3 || len(txn.Writes) != 1 {
		t.Errorf("%d durable entries, %d writes, want only entry 3 and 1 write", len(durable), len(txn.Writes))
	}
	if l.DurableCount() != l.AppendedCount() {
		t.Errorf("%d of %d entries durable", l.DurableCount(), l.AppendedCount())
	}
}
