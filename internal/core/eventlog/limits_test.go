package eventlog

import (
	"encoding/json"
	"slices"
	"testing"
	"time"
)

// The state service accepts smaller values than the settings specify. The log then tries smaller values
// in new segments, never rewrites the large segment, and loses no entry.
func TestInvalidLeadsToSmallerValues(t *testing.T) {
	s := newStore()
	l := NewLog(Limits{WriteRPS: 1000, ValueBytes: 4000, TxnOps: 8}, "lead/epoch", 1, 0, 0)
	maxValueBytes, now, rejections := 4000, time.Second, 0
	durable := 0
	for step := 0; durable < 400; step++ {
		if step > 200 {
			t.Fatalf("no progress: %d of 400 entries durable", durable)
		}
		if step < 20 {
			for n := range uint64(20) {
				l.AppendTracked(cancelEntry(uint64(step)*20 + n))
			}
		}
		if step == 5 {
			maxValueBytes = 600
		}
		now += time.Second
		txn := l.NextTransaction(now)
		if txn == nil {
			continue
		}
		outcome, version, failed := Invalid, uint64(0), []string(nil)
		if !slices.ContainsFunc(txn.Writes, func(o Write) bool { return len(o.Value) > maxValueBytes }) {
			outcome, version, failed = s.apply(*txn)
		} else {
			rejections++
		}
		durableNow, next := l.CommitResult(now, txn.Sequence, outcome, version, failed)
		if next != Continue {
			t.Fatalf("step %d: CommitResult returned step %v, want Continue", step, next)
		}
		durable += len(durableNow)
	}
	if rejections == 0 {
		t.Error("no transaction exceeded the lower limit: the case is not reached")
	}
	got := s.ids(t)
	for n := range uint64(400) {
		if got[n] != n {
			t.Fatalf("entry %d has id %d", n, got[n])
		}
	}
}

// If the values cannot get any smaller, or an earlier copy of the transaction may still arrive, a
// rejected transaction ends the term instead of being retried forever.
func TestInvalidEndsTheTerm(t *testing.T) {
	l := NewLog(Limits{WriteRPS: 1000, ValueBytes: minValueBytes, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	l.AppendTracked(cancelEntry(1))
	txn := l.NextTransaction(time.Second)
	if _, step := l.CommitResult(time.Second, txn.Sequence, Invalid, 0, nil); step != TermLost {
		t.Error("the smallest values were rejected, but the term continues")
	}
	l = NewLog(Limits{WriteRPS: 1000, ValueBytes: 4000, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	l.AppendTracked(cancelEntry(1))
	txn = l.NextTransaction(time.Second)
	l.CommitResult(time.Second, txn.Sequence, Unknown, 0, nil)
	l.ReadBack(time.Second, true, 0, nil)
	again := l.NextTransaction(3 * time.Second)
	if _, step := l.CommitResult(3*time.Second, again.Sequence, Invalid, 0, nil); step != TermLost {
		t.Error("an earlier copy may still be executed, but the term continues")
	}
}

// Virtual sizes that need more values than one transaction can write are written in pieces along with
// entries. Surplus pieces of an earlier term are removed, and refused pieces are written again.
func TestSizesInPieces(t *testing.T) {
	s := newStore()
	for n := range 40 {
		s.versions[sizesPieceKey(n)], s.data[sizesPieceKey(n)] = 1, json.RawMessage(`{"v":[{"i":999,"s":1,"v":1}]}`)
	}
	l := NewLog(Limits{WriteRPS: 100, ValueBytes: 300, TxnOps: 4}, "lead/epoch", 1, 0, 40)
	var list []VirtualSize
	for n := range uint64(60) {
		list = append(list, VirtualSize{ID: n, Size: 100, Virtual: float64(n)})
	}
	l.SetVirtualSizes(list)
	now := time.Duration(0)
	for step := range 60 {
		l.AppendTracked(cancelEntry(uint64(step)))
		now += 200 * time.Millisecond
		txn := l.NextTransaction(now)
		if txn == nil {
			continue
		}
		if len(txn.Writes) > 4 {
			t.Fatalf("%d writes in a transaction, want at most 4", len(txn.Writes))
		}
		outcome, version, failed := Refused, uint64(0), []string(nil)
		if step%5 > 0 {
			outcome, version, failed = s.apply(*txn)
			for _, w := range txn.Writes {
				if w.Remove {
					delete(s.versions, w.Key)
					delete(s.data, w.Key)
				}
			}
		}
		l.CommitResult(now, txn.Sequence, outcome, version, failed)
	}
	found := map[uint64]float64{}
	for k, raw := range s.data {
		if _, err := SizesPieceNumber(k); err != nil {
			continue
		}
		var v VirtualSizes
		if err := json.Unmarshal(raw, &v); err != nil {
			t.Fatal(err)
		}
		for _, x := range v.Sizes {
			found[x.ID] = x.Virtual
		}
	}
	if _, stale := found[999]; stale || len(found) != 60 || found[59] != 59 {
		t.Errorf("%d sizes, want 60; stale ones: %v", len(found), stale)
	}
}

// If only one write is available, the open segment is nearly full and many entries are pending, the
// write goes to a new segment, which takes more entries.
func TestNearlyFullSegmentIsNotRewritten(t *testing.T) {
	s := newStore()
	l := NewLog(Limits{WriteRPS: 100, ValueBytes: 400, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	now := 10 * time.Second
	commit := func() int {
		txn := l.NextTransaction(now)
		outcome, version, failed := s.apply(*txn)
		durableNow, _ := l.CommitResult(now, txn.Sequence, outcome, version, failed)
		return len(durableNow)
	}
	for n := range uint64(32) {
		l.AppendTracked(cancelEntry(100 + n))
	}
	commit()
	for n := range uint64(100) {
		l.AppendTracked(cancelEntry(200 + n))
	}
	l.writeTokens = 1
	if got := commit(); got < 30 {
		t.Errorf("one write contained only %d entries, want at least 30", got)
	}
}

// While entries arrive as fast as they can be written, pending removals of segments and pending sizes
// are written too, within the write rate.
func TestRemovalsUnderLoad(t *testing.T) {
	s := newStore()
	l := NewLog(Limits{WriteRPS: 15, ValueBytes: 2048, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	removed, sizes, writes := 0, 0, 0
	for step := range 400 { // 20 s
		now := time.Duration(step) * 50 * time.Millisecond
		l.AppendTracked(cancelEntry(uint64(step)))
		if step%20 == 0 {
			l.DropSegment(1000 + step)
			l.DropSegment(2000 + step)
		}
		if step%100 == 0 {
			l.SetVirtualSizes([]VirtualSize{{ID: uint64(step), Size: 1, Virtual: 1}})
		}
		txn := l.NextTransaction(now)
		if txn == nil {
			continue
		}
		writes += len(txn.Writes)
		for _, w := range txn.Writes {
			if w.Remove {
				removed++
			} else if _, err := SizesPieceNumber(w.Key); err == nil {
				sizes++
			}
		}
		outcome, version, failed := s.apply(*txn)
		l.CommitResult(now, txn.Sequence, outcome, version, failed)
	}
	if removed < 30 || sizes < 4 || writes > 20*15 {
		t.Errorf("%d of 40 segments removed, %d of 4 sizes written, %d writes", removed, sizes, writes)
	}
}
