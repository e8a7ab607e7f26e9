// Package intern maps names, such as those of teams, images, zones and machine types, to dense indexes. The
// leader maps each name once, when the name is added to its state, and uses only the index after that.
package intern

// Names assigns consecutive indexes to distinct names, starting at 0. The zero value is empty and ready to
// use. Names is not safe for concurrent use.
type Names struct {
	index map[string]int32
	names []string // by index
}

// Index returns the index of a name, and adds the name if it is new.
func (n *Names) Index(name string) int32 {
	if i, ok := n.index[name]; ok {
		return i
	}
	if n.index == nil {
		n.index = make(map[string]int32)
	}
	i := int32(len(n.names))
	n.index[name] = i
	n.names = append(n.names, name)
	return i
}

// Lookup returns the index of a name, and whether the name is known.
func (n *Names) Lookup(name string) (int32, bool) {
	i, ok := n.index[name]
	return i, ok
}

// Name returns the name with an index. It panics if the index is not in use.
func (n *Names) Name(i int32) string { return n.names[i] }

// Len returns the number of names.
func (n *Names) Len() int { return len(n.names) }
