package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Decode reads the entries of one segment.
func Decode(value json.RawMessage) ([]Entry, error) {
	var v struct {
		E []Entry `json:"e"`
	}
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, fmt.Errorf("ledger: a segment that cannot be read: %w", err)
	}
	for i := range v.E {
		if !v.E[i].recognized() {
			return v.E, keepUnknownEntries(value, v.E)
		}
	}
	return v.E, nil
}

// keepUnknownEntries fills in what an entry was in which this version knows nothing.
func keepUnknownEntries(value json.RawMessage, list []Entry) error {
	var v struct {
		E []json.RawMessage `json:"e"`
	}
	if err := json.Unmarshal(value, &v); err != nil {
		return fmt.Errorf("ledger: a segment that cannot be read: %w", err)
	}
	for i := range list {
		if list[i].recognized() {
			continue
		}
		var raw bytes.Buffer // as this program would write it: read back, values are compared
		if err := json.Compact(&raw, v.E[i]); err != nil {
			return fmt.Errorf("ledger: a segment that cannot be read: %w", err)
		}
		list[i].Unknown = raw.Bytes()
	}
	return nil
}

// EntryBytes is what an entry takes besides a list that is split.
const EntryBytes = 64

// SplitNames splits names into lists of at most room bytes as JSON; each has at
// least one name, unless there are none at all.
func SplitNames(names []string, room int) [][]string {
	var out [][]string
	used, from := 0, 0
	for i, n := range names {
		raw, err := json.Marshal(n)
		if err != nil {
			continue // a string always can be written
		}
		if i > from && used+len(raw)+1 > room {
			out = append(out, names[from:i])
			used, from = 0, i
		}
		used += len(raw) + 1
	}
	return append(out, names[from:])
}
