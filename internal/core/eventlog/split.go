package eventlog

import "encoding/json"

// EntryOverheadBytes is the number of bytes reserved for the rest of an entry that holds a split list.
const EntryOverheadBytes = 64

// SplitNames splits names into lists of at most room bytes of JSON each. Each list has at least one name,
// even if that is longer than room; without any names there is one empty list.
func SplitNames(names []string, room int) [][]string {
	var lists [][]string
	used, from := 0, 0
	for i, name := range names {
		raw, err := json.Marshal(name)
		if err != nil {
			continue // a string can always be encoded
		}
		if i > from && used+len(raw)+1 > room {
			lists = append(lists, names[from:i])
			used, from = 0, i
		}
		used += len(raw) + 1
	}
	return append(lists, names[from:])
}
