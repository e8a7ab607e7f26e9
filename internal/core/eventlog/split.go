package eventlog

import "encoding/json"

// EntryOverheadBytes is what an entry takes besides a list that is split.
const EntryOverheadBytes = 64

// SplitNames splits names into lists of at most room bytes as JSON; each has at least one name,
// unless there are none at all.
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
