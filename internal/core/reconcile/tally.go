package reconcile

// Tally counts differences by kind. A nil Tally counts nothing.
type Tally [DiffCount]uint64

// Count counts a difference and returns it.
func (t *Tally) Count(d Diff) Diff {
	if t != nil {
		t[d]++
	}
	return d
}

// Each calls f in order for every difference that was counted at least once, with its count.
func (t *Tally) Each(f func(d Diff, count uint64)) {
	for d, count := range t {
		if count > 0 {
			f(Diff(d), count)
		}
	}
}
