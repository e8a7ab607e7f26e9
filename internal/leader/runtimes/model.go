package runtimes

import (
	"cmp"
	"slices"
)

// evictionShare: of a full model one in so many kinds is evicted at once.
const evictionShare = 16

// Model is the history of all kinds of work.
type Model struct {
	maxKinds    int
	histories   map[Kind]*history
	forgottenAt map[Kind]int64 // records up to then, in seconds, count no more for a kind
	evicted     []Kind         // for want of room, since they were last asked for
	openKinds   []Kind         // with an open night, in the order in which it began; some are closed or gone
}

// NewModel makes an empty model of at most so many kinds.
func NewModel(maxKinds int) *Model {
	return &Model{maxKinds: maxKinds, histories: map[Kind]*history{}, forgottenAt: map[Kind]int64{}}
}

// historyOf returns the history of a kind, an empty one if there was none.
func (m *Model) historyOf(k Kind) *history {
	h := m.histories[k]
	if h == nil {
		h = &history{}
		m.histories[k] = h
	}
	return h
}

// AddRun counts a record for its kind and the coarser ones. It returns the kinds for which
// that has closed a night.
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

// evict makes room in a model that is too full, a share of it at once, so that it costs
// each record little. The least useful kinds go: of those that are finest, the ones that
// were not seen for longest. Coarser ones speak for many.
func (m *Model) evict() {
	if len(m.histories) <= m.maxKinds {
		return
	}
	type candidate struct {
		kind         Kind
		name         string
		levels       int // coarser kinds, itself included
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
	keep := m.maxKinds - m.maxKinds/evictionShare
	for _, x := range list[:len(list)-keep] {
		delete(m.histories, x.kind)
		m.evicted = append(m.evicted, x.kind)
	}
}

// kindsEndedBefore returns the kinds with an open night before a day, and forgets which
// nights began before it.
func (m *Model) kindsEndedBefore(day int32) (ended []Kind) {
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

// Len is the number of kinds.
func (m *Model) Len() int { return len(m.histories) }
