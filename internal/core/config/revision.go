package config

import "slices"

// Revision is a set of changes that is applied as a whole or not at all.
type Revision struct {
	Number  uint64   `json:"revision"`
	ID      string   `json:"id"`           // makes the request idempotent
	By      string   `json:"by,omitempty"` // the operator who requested it
	AtMS    int64    `json:"at_ms"`        // time of day, in ms
	Note    string   `json:"note,omitempty"`
	Changes []Change `json:"changes"`
	Before  []Value  `json:"before"` // the value that each change replaced
}

// CheckIDAndNote validates the id and the note of a revision.
func CheckIDAndNote(id, note string) error {
	if id == "" || len(id) > maxIDBytes {
		return fieldError("id", "has 1 to %d bytes", maxIDBytes)
	}
	if len(note) > maxNoteBytes {
		return fieldError("note", "has at most %d bytes", maxNoteBytes)
	}
	return nil
}

// ChangesToRestore returns the changes that restore the configuration in force at a revision, sorted by item. The
// history must be in ascending order, have no gaps and end with the current revision.
func ChangesToRestore(history []Revision, to uint64) ([]Change, error) {
	first := slices.IndexFunc(history, func(r Revision) bool { return r.Number == to+1 })
	if first < 0 {
		return nil, fieldError("revision",
			"%d is not one before the last, or the changes since are not remembered any more", to)
	}
	before := map[Item]Value{} // values at revision to of the items that have changed since
	current := map[Item]Value{}
	for _, revision := range history[first:] {
		for i, change := range revision.Changes {
			if _, known := before[change.Item]; !known {
				before[change.Item] = revision.Before[i]
			}
			current[change.Item] = change.Value
		}
	}
	var changes []Change
	for item, value := range before {
		if !value.Equal(current[item]) {
			changes = append(changes, Change{Item: item, Value: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareItems(a.Item, b.Item) })
	return changes, nil
}
