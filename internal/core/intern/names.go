// Package intern turns the names that arrive at the door into dense indices,
// which is all that the rest of the program handles.
package intern

// Names gives each distinct name the next index.
type Names struct {
	index map[string]int32
	names []string
}

// Index returns the index of name, adding it when it is new.
func (t *Names) Index(name string) int32 {
	if i, ok := t.index[name]; ok {
		return i
	}
	if t.index == nil {
		t.index = make(map[string]int32)
	}
	i := int32(len(t.names))
	t.index[name] = i
	t.names = append(t.names, name)
	return i
}

// Lookup returns the index of a known name.
func (t *Names) Lookup(name string) (int32, bool) {
	i, ok := t.index[name]
	return i, ok
}

// Name returns the name behind an index.
func (t *Names) Name(i int32) string { return t.names[i] }

// Len is the number of names.
func (t *Names) Len() int { return len(t.names) }
