package runtimes

import (
	"cmp"
	"slices"
)

// evictionDivisor determines how many kinds an eviction leaves in the model:
// maxKinds - maxKinds/evictionDivisor.
const evictionDivisor = 16

// Model holds the histories of all kinds of work.
type Model struct {
	maxKinds    int
	histories   map[Kind]*history
	forgottenAt map[Kind]int64 // Unix time in seconds; records up to then do not count for the kind
	evicted     []Kind         // kinds evicted since the last takeEvicted
	openKinds   []Kind         // in order of the start of their open nights; some may be closed or removed
}

// NewModel returns an empty model of at most maxKinds kinds.
func NewModel(maxKinds int) *Model {
	return &Model{maxKinds: maxKinds, histories: map[Kind]*history{}, forgottenAt: map[Kind]int64{}}
}

// historyOf returns the history of a kind, creating an empty one if there is none.
func (m *Model) historyOf(k Kind) *history {
	h := m.histories[k]
	if h == nil {
		h = &history{}
		m.histories[k] = h
	}
	return h
}

// AddRun counts a record for its kind and all coarser ones. It returns the kinds for which
// this closed a night. A record does not count for a kind that was forgotten after it.
func (m *Model) AddRun(r *RunRecord) (closed []Kind) {
	for _, k := range r.Kind.levels() {
		if at, ok := m.forgottenAt[k]; ok && r.At <= at {
			continue
		}
		h := m.historyOf(k)
		openBefore, lastBefore := h.open, h.lastDay()
		h.addRecord(r)
		if h.open != openBefore {
			m.openKinds = append(m.openKinds, k)
		}
		if len(h.nights) > 0 && h.lastDay() != lastBefore {
			closed = append(closed, k)
		}
	}
	m.evict()
	return closed
}

// evict removes kinds from a model that has more than maxKinds. It removes a fixed share at once, so
// that the cost per record is small. The finest kinds go first, and among these the ones with
// the oldest last record, because a coarser kind serves as fallback for many others.
func (m *Model) evict() {
	if len(m.histories) <= m.maxKinds {
		return
	}
	type candidate struct {
		kind         Kind
		name         string
		levels       int // number of coarser kinds, including itself
		lastRecordAt int64
	}
	list := make([]candidate, 0, len(m.histories))
	for k, h := range m.histories {
		list = append(list, candidate{kind: k, name: k.String(), levels: len(k.levels()), lastRecordAt: h.lastRecordAt})
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(y.levels, x.levels),
			cmp.Compare(x.lastRecordAt, y.lastRecordAt),
			cmp.Compare(x.name, y.name),
		)
	})
	keep := m.maxKinds - m.maxKinds/evictionDivisor
	for _, x := range list[:len(list)-keep] {
		delete(m.histories, x.kind)
		m.evicted = append(m.evicted, x.kind)
	}
}

// takeKindsOpenBefore returns the kinds with an open night before the given day, and removes them
// from openKinds.
func (m *Model) takeKindsOpenBefore(day int32) (ended []Kind) {
	m.openKinds = slices.DeleteFunc(m.openKinds, func(k Kind) bool {
		h := m.histories[k]
		if h == nil || h.open == nil {
			return true
		}
		if h.open.day >= day {
			return false
		}
		ended = append(ended, k)
		return true
	})
	return ended
}

// takeEvicted returns the kinds that were evicted since the last call.
func (m *Model) takeEvicted() []Kind {
	out := m.evicted
	m.evicted = nil
	return out
}

// Len returns the number of kinds.
func (m *Model) Len() int { return len(m.histories) }
