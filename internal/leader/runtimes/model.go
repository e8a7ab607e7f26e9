// Package runtimes is the duty that learns how long each kind of work usually
// takes, from its own history, and says with it when open jobs should begin and
// end and which of them will be late. It is pure: facts and times come in;
// estimates, warnings and entries of the log come out. docs/run-times.md is its
// design note and the operators' page.
package runtimes

import (
	"cmp"
	"slices"
)

const (
	accuracy       = 0.02 // of sketches, relative
	maxNights      = 9    // closed ones: a freak one among them moves no median
	enoughJobs     = 2    // for a kind to speak for itself,
	enoughTasks    = 10   // with so many tasks,
	soloJobs       = 4    // or so many jobs, however few their tasks
	evictionShare  = 16   // of a full book one in so many kinds is forgotten at once
	maxNightWeight = 200  // tasks: more give a night no more weight
)

// Model is all history.
type Model struct {
	maxKinds    int // kinds
	histories   map[Kind]*history
	forgottenAt map[Kind]int64 // facts up to then, in seconds, count no more for a kind
	evicted     []Kind         // dropped for want of room since they were last asked for
	openKinds   []Kind         // with a night that goes on, in the order in which it began; some of them are closed or gone
}

// NewModel makes an empty book of at most so many kinds.
func NewModel(most int) *Model {
	return &Model{maxKinds: most, histories: map[Kind]*history{}, forgottenAt: map[Kind]int64{}}
}

// AddRun counts a fact for its kind and the coarser ones. It returns the kinds for
// which that has closed a night.
func (b *Model) AddRun(f *RunRecord) (closed []Kind) {
	for _, k := range f.Kind.levels() {
		if at, ok := b.forgottenAt[k]; ok && f.At <= at {
			continue
		}
		m := b.histories[k]
		if m == nil {
			m = &history{}
			b.histories[k] = m
		}
		before, was := len(m.nights), m.open
		last := int32(-1)
		if before > 0 {
			last = m.nights[before-1].Day
		}
		m.addRecord(f)
		if m.open != was {
			b.openKinds = append(b.openKinds, k)
		}
		if n := len(m.nights); n > 0 && m.nights[n-1].Day != last {
			closed = append(closed, k)
		}
	}
	b.evict()
	return closed
}

// evict makes room in a book that is too full, a share of it at once, so that it
// costs each fact little. The least useful kinds go: of those that are finest, the
// ones that were not seen for longest. Coarser ones speak for many.
func (b *Model) evict() {
	if len(b.histories) <= b.maxKinds {
		return
	}
	type known struct {
		k    Kind
		name string
		fine int
		at   int64
	}
	list := make([]known, 0, len(b.histories))
	for k, m := range b.histories {
		list = append(list, known{k, k.String(), len(k.levels()), m.lastRecordAt})
	}
	slices.SortFunc(list, func(x, y known) int {
		return cmp.Or(cmp.Compare(y.fine, x.fine), cmp.Compare(x.at, y.at), cmp.Compare(x.name, y.name))
	})
	for _, x := range list[:len(list)-(b.maxKinds-b.maxKinds/evictionShare)] {
		delete(b.histories, x.k)
		b.evicted = append(b.evicted, x.k)
	}
}

// kindsEndedBefore gives the kinds whose night is over on a day.
func (b *Model) kindsEndedBefore(day int32) (out []Kind) {
	b.openKinds = slices.DeleteFunc(b.openKinds, func(k Kind) bool {
		m := b.histories[k]
		if m != nil && m.open != nil && m.open.day >= day {
			return false
		}
		if m != nil && m.open != nil {
			out = append(out, k)
		}
		return true
	})
	return out
}

// takeEvicted gives the kinds that were dropped since the last call.
func (b *Model) takeEvicted() []Kind {
	out := b.evicted
	b.evicted = nil
	return out
}

// Len is the number of kinds.
func (b *Model) Len() int { return len(b.histories) }
