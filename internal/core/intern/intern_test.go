package intern

import "testing"

// Indexes are dense, start at 0 in the order of the names' first use, and never change.
func TestIndexesAreDenseAndStay(t *testing.T) {
	var names Names
	for want, name := range []string{"a", "b", ""} {
		if got := names.Index(name); got != int32(want) {
			t.Errorf("%q has index %d, want %d", name, got, want)
		}
	}
	if got := names.Index("b"); got != 1 || names.Len() != 3 {
		t.Errorf("a known name has index %d of %d, want 1 of 3", got, names.Len())
	}
	if got := names.Name(1); got != "b" {
		t.Errorf("index 1 is %q, want %q", got, "b")
	}
}

// A lookup adds no name, not even to the zero value.
func TestLookupAddsNothing(t *testing.T) {
	var names Names
	if _, known := names.Lookup("a"); known || names.Len() != 0 {
		t.Errorf("known: %v, %d names, want none", known, names.Len())
	}
	names.Index("a")
	if i, known := names.Lookup("a"); !known || i != 0 {
		t.Errorf("index %d, known %v, want 0 and true", i, known)
	}
}
