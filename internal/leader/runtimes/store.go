package runtimes

import "slices"

// The summaries of closed nights are stored in component values outside the log, several kinds in
// one value. A new leader begins its term without them and reads them page by page while it
// works. Until all are read, records are deferred and estimates come from the job owners.
//
// Each value with a number below maxNights holds the demand of one night; the other values
// hold kinds.

const (
	bytesPerNight = 80 // approximate size of a night in a value
	bytesPerKind  = 60 // approximate size of a kind in a value, without its name and nights
	noValue       = -1 // stands for no value
)

// valueStore tracks which value each kind is stored in and which values must be written.
type valueStore struct {
	maxBytes int                // maximum size of a value
	groups   map[int]*kindGroup // by value number
	valueOf  map[Kind]int
	current  int   // the value that takes new kinds; noValue: none yet
	next     int   // the lowest number above all that were ever used
	dirty    []int // numbers of the values to write, in order
	isDirty  map[int]bool
}

// kindGroup is the kinds stored in one value.
type kindGroup struct {
	kinds []Kind
	bytes int // approximate size once each kind has all its nights
}

func newValueStore(maxBytes int) *valueStore {
	return &valueStore{
		maxBytes: maxBytes,
		groups:   map[int]*kindGroup{},
		valueOf:  map[Kind]int{},
		current:  noValue,
		next:     maxNights,
		isDirty:  map[int]bool{},
	}
}

// storedSize returns the approximate stored size of a kind with all its nights.
func storedSize(k Kind) int { return bytesPerKind + len(k.String()) + maxNights*bytesPerNight }

// put assigns a kind to a value.
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

// remove removes a kind from its value and marks the value dirty.
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

// assign returns the number of the value that stores a kind. A kind without a value is put into the
// current one, or into a new one if that is full.
func (s *valueStore) assign(k Kind) int {
	if number, ok := s.valueOf[k]; ok {
		return number
	}
	if g := s.groups[s.current]; g == nil || g.bytes+storedSize(k) > s.maxBytes {
		s.current = s.next
	}
	s.put(s.current, k)
	return s.current
}

// markDirty queues a value for writing.
func (s *valueStore) markDirty(number int) {
	if !s.isDirty[number] {
		s.isDirty[number] = true
		s.dirty = append(s.dirty, number)
	}
}

// takeDirty removes the next value from the write queue, which must not be empty.
func (s *valueStore) takeDirty() int {
	number := s.dirty[0]
	s.dirty = s.dirty[1:]
	delete(s.isDirty, number)
	return number
}

// split moves kinds out of an oversized value into others. A value can be oversized if it was
// written when larger values were allowed. split reports whether it moved any kind. The other
// values are then written first, so that each kind is always in at least one durable value.
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
		if s.current == number {
			s.current = noValue
		}
		s.markDirty(s.assign(k))
	}
	s.markDirty(number)
	return true
}
