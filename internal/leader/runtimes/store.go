package runtimes

import (
	"slices"
)

// What closed nights have shown is kept in values of the duty's own beside the log,
// a few kinds to a value. A new leader begins its term without them and reads them
// page by page while it works; until then facts wait, and estimates are owners'.

const (
	valueVersion       = 1
	writeShare         = 0.05  // of the changes that the state service takes
	maxDeferredRecords = 20000 // facts that wait in memory for the history to be read
	keepForgottenDays  = 3     // days for which it is noted that a kind was forgotten
)

// valueStore says which value each kind is kept in, and which are to be written.
type valueStore struct {
	room   int // of a value, in bytes
	groups map[int]*group
	home   map[Kind]int
	open   int // the value that takes new kinds
	next   int // numbers from this one on were never used
	queue  []int
	queued map[int]bool
}

// group is what one value holds.
type group struct {
	kinds []Kind
	bytes int // when each of them has all its nights
}

func newShelf(room int) *valueStore {
	return &valueStore{room: room, groups: map[int]*group{}, home: map[Kind]int{}, open: -1, next: maxNights, queued: map[int]bool{}}
}

// storedSize is roughly what a kind takes with all its nights.
func storedSize(k Kind) int { return 60 + len(k.String()) + maxNights*bytesPerNight }

// put has a kind kept in a value.
func (s *valueStore) put(n int, k Kind) {
	g := s.groups[n]
	if g == nil {
		g = &group{}
		s.groups[n] = g
	}
	g.kinds = append(g.kinds, k)
	g.bytes += storedSize(k)
	s.home[k] = n
	s.next = max(s.next, n+1)
}

// remove has a kind kept nowhere.
func (s *valueStore) remove(k Kind) {
	n, ok := s.home[k]
	if !ok {
		return
	}
	delete(s.home, k)
	g := s.groups[n]
	g.kinds = slices.DeleteFunc(g.kinds, func(o Kind) bool { return o == k })
	g.bytes -= storedSize(k)
	s.push(n)
}

// place gives the value that a kind is kept in.
func (s *valueStore) place(k Kind) int {
	if n, ok := s.home[k]; ok {
		return n
	}
	if g := s.groups[s.open]; g == nil || g.bytes+storedSize(k) > s.room {
		s.open = s.next
	}
	s.put(s.open, k)
	return s.open
}

// push has a value written when its turn comes.
func (s *valueStore) push(n int) {
	if !s.queued[n] {
		s.queued[n] = true
		s.queue = append(s.queue, n)
	}
}

func (s *valueStore) pop() int {
	n := s.queue[0]
	s.queue = s.queue[1:]
	delete(s.queued, n)
	return n
}

// spread moves kinds out of a value that is too full, into others: it may have been
// written when values were larger. It says whether there was anything to move; the
// others are written first then, so that every kind is always in one at least.
func (s *valueStore) spread(n int) bool {
	g := s.groups[n]
	if g == nil || g.bytes <= s.room || len(g.kinds) < 2 {
		return false
	}
	for g.bytes > s.room && len(g.kinds) > 1 {
		k := g.kinds[len(g.kinds)-1]
		g.kinds = g.kinds[:len(g.kinds)-1]
		g.bytes -= storedSize(k)
		delete(s.home, k)
		if s.open == n {
			s.open = -1
		}
		s.push(s.place(k))
	}
	s.push(n)
	return true
}
