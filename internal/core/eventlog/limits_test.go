package eventlog

import (
	"encoding/json"
	"slices"
	"testing"
	"time"
)

// The service takes less than the settings said. The log tries smaller values
// in further segments, never rewrites the large one, and loses nothing.
func TestInvalidLeadsToSmallerValues(t *testing.T) {
	s := newStore()
	l := NewLog(Limits{WriteRPS: 1000, ValueBytes: 4000, TxnOps: 8}, "lead/epoch", 1, 0, 0)
	most, now, invalid := 4000, time.Second, 0
	durable := 0
	for step := 0; durable < 400; step++ {
		if step > 200 {
			t.Fatalf("stuck with %d of 400 durable", durable)
		}
		if step < 20 {
			for n := range uint64(20) {
				l.AppendTracked(cancel(uint64(step)*20 + n))
			}
		}
		if step == 5 {
			most = 600
		}
		now += time.Second
		txn := l.NextTransaction(now)
		if txn == nil {
			continue
		}
		out, version, failed := Invalid, uint64(0), []string(nil)
		if !slices.ContainsFunc(txn.Writes, func(o Write) bool { return len(o.Value) > most }) {
			out, version, failed = s.apply(*txn)
		} else {
			invalid++
		}
		durableNow, next := l.CommitResult(now, txn.Sequence, out, version, failed)
		if next != Continue {
			t.Fatalf("step %d: %v", step, next)
		}
		durable += len(durableNow)
	}
	if invalid == 0 {
		t.Error("the lower limit was never met: the test tests nothing")
	}
	got := s.ids(t)
	for n := range uint64(400) {
		if got[n] != n {
			t.Fatalf("entry %d is %d", n, got[n])
		}
	}
}

// Nothing smaller is left to try, or an earlier copy of the transaction may
// still arrive: the term ends instead of trying for ever.
func TestInvalidEndsTheTerm(t *testing.T) {
	l := NewLog(Limits{WriteRPS: 1000, ValueBytes: minValueBytes, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	l.AppendTracked(cancel(1))
	txn := l.NextTransaction(time.Second)
	if _, step := l.CommitResult(time.Second, txn.Sequence, Invalid, 0, nil); step != TermLost {
		t.Error("the smallest values were refused, and the term goes on")
	}
	l = NewLog(Limits{WriteRPS: 1000, ValueBytes: 4000, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	l.AppendTracked(cancel(1))
	txn = l.NextTransaction(time.Second)
	l.CommitResult(time.Second, txn.Sequence, Unknown, 0, nil)
	l.ReadBack(time.Second, true, 0, nil)
	again := l.NextTransaction(3 * time.Second)
	if _, step := l.CommitResult(3*time.Second, again.Sequence, Invalid, 0, nil); step != TermLost {
		t.Error("an earlier copy may still be executed, and the term goes on")
	}
}

// Virtual sizes that need more values than one transaction takes are written
// in pieces, beside entries; pieces that an earlier term left beyond them are
// removed, and an unanswered or refused one is written again.
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
		l.AppendTracked(cancel(uint64(step)))
		now += 200 * time.Millisecond
		txn := l.NextTransaction(now)
		if txn == nil {
			continue
		}
		if len(txn.Writes) > 4 {
			t.Fatalf("%d changes in a transaction", len(txn.Writes))
		}
		out, version, failed := Refused, uint64(0), []string(nil)
		if step%5 > 0 {
			out, version, failed = s.apply(*txn)
			for _, w := range txn.Writes {
				if w.Remove {
					delete(s.versions, w.Key)
					delete(s.data, w.Key)
				}
			}
		}
		l.CommitResult(now, txn.Sequence, out, version, failed)
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
		t.Errorf("%d sizes, stale ones: %v", len(found), stale)
	}
}

// One change is left to spend, the open segment is nearly full and much waits:
// the change goes into a new segment, which takes more.
func TestNearlyFullSegmentIsLeft(t *testing.T) {
	s := newStore()
	l := NewLog(Limits{WriteRPS: 100, ValueBytes: 400, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	now := 10 * time.Second
	commit := func() int {
		txn := l.NextTransaction(now)
		out, version, failed := s.apply(*txn)
		durableNow, _ := l.CommitResult(now, txn.Sequence, out, version, failed)
		return len(durableNow)
	}
	for n := range uint64(32) {
		l.AppendTracked(cancel(100 + n))
	}
	commit()
	for n := range uint64(100) {
		l.AppendTracked(cancel(200 + n))
	}
	l.writeTokens = 1
	if got := commit(); got < 30 {
		t.Errorf("a change took only %d entries along", got)
	}
}

// Entries come as fast as they can be written, a segment to be removed and
// sizes wait all the time: both get their turn, within the rate.
func TestRemovalsUnderLoad(t *testing.T) {
	s := newStore()
	l := NewLog(Limits{WriteRPS: 15, ValueBytes: 2048, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	removed, sizes, changes := 0, 0, 0
	for step := range 400 { // 20 s
		now := time.Duration(step) * 50 * time.Millisecond
		l.AppendTracked(cancel(uint64(step)))
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
		changes += len(txn.Writes)
		for _, w := range txn.Writes {
			if w.Remove {
				removed++
			} else if _, err := SizesPieceNumber(w.Key); err == nil {
				sizes++
			}
		}
		out, version, failed := s.apply(*txn)
		l.CommitResult(now, txn.Sequence, out, version, failed)
	}
	if removed < 30 || sizes < 4 || changes > 20*15 {
		t.Errorf("%d of 40 segments removed, %d of 4 sizes written, %d changes", removed, sizes, changes)
	}
}
