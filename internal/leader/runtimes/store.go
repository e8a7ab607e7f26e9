package runtimes

import "slices"

// What closed nights have shown is kept in values of the component's own beside the log,
// a few kinds to a value. A new leader begins its term without them and reads them page by
// page while it works; until then records wait, and estimates are the owners'.
//
// Values with a number below maxNights hold the demand of one night each, the others
// kinds.

const (
	bytesPerNight = 80 // rough size of a night in a value
	bytesPerKind  = 60 // rough size of a kind in a value, beside its name and nights
	noValue       = -1 // the number of no value
)

// valueStore says which value each kind is kept in, and which values are to be written.
type valueStore struct {
	maxBytes int // of a value
	groups   map[int]*kindGroup
	valueOf  map[Kind]int
	filling  int // the value that takes new kinds; noValue: none yet
	next     int // numbers from this one on were never used
	dirty    []int
	isDirty  map[int]bool
}

// kindGroup is what one value holds.
type kindGroup struct {
	kinds []Kind
	bytes int // roughly, once each of them has all its nights
}

func newValueStore(maxBytes int) *valueStore {
	return &valueStore{
		maxBytes: maxBytes,
		groups:   map[int]*kindGroup{},
		valueOf:  map[Kind]int{},
		filling:  noValue,
		next:     maxNights,
		isDirty:  map[int]bool{},
	}
}

// storedSize is roughly what a kind takes with all its nights.
func storedSize(k Kind) int { return bytesPerKind + len(k.String()) + maxNights*bytesPerNight }

// put keeps a kind in a value.
func (s *valueStore) put(number int, k Kind) {
	g := s.groups[number]
	if g == nil {
		g = &kindGroup{}
		s.groups[number] = g
	}
	g.kinds = append(g.kinds, k)
	g.bytes += storedSize(k)
	s.valueOf[k] = number
	s.next = max(s.next, number+1)
}

// remove keeps a kind nowhere.
func (s *valueStore) remove(k Kind) {
	number, ok := s.valueOf[k]
	if !ok {
		return
	}
	delete(s.valueOf, k)
	g := s.groups[number]
	g.kinds = slices.DeleteFunc(g.kinds, func(o Kind) bool { return o == k })
	g.bytes -= storedSize(k)
	s.markDirty(number)
}

// assign returns the value that a kind is kept in, a new one if need be.
func (s *valueStore) assign(k Kind) int {
	if number, ok := s.valueOf[k]; ok {
		return number
	}
	if g := s.groups[s.filling]; g == nil || g.bytes+storedSize(k) > s.maxBytes {
		s.filling = s.next
	}
	s.put(s.filling, k)
	return s.filling
}

// markDirty has a value written when its turn comes.
func (s *valueStore) markDirty(number int) {
	if !s.isDirty[number] {
		s.isDirty[number] = true
		s.dirty = append(s.dirty, number)
	}
}

// takeDirty returns the value whose turn it is. There must be one.
func (s *valueStore) takeDirty() int {
	number := s.dirty[0]
	s.dirty = s.dirty[1:]
	delete(s.isDirty, number)
	return number
}

// split moves kinds out of a value that is too full, into others: it may have been written
// when values were larger. It reports whether there was anything to move; the others are
// written first then, so that every kind is always in one at least.
func (s *valueStore) split(number int) bool {
	g := s.groups[number]
	if g == nil || g.bytes <= s.maxBytes || len(g.kinds) < 2 {
		return false
	}
	for g.bytes > s.maxBytes && len(g.kinds) > 1 {
		k := g.kinds[len(g.kinds)-1]
		g.kinds = g.kinds[:len(g.kinds)-1]
		g.bytes -= storedSize(k)
		delete(s.valueOf, k)
		if s.filling == number {
			s.filling = noValue
		}
		s.markDirty(s.assign(k))
	}
	s.markDirty(number)
	return true
}
