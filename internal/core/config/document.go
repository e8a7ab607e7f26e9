package config

import (
	"maps"
	"slices"
)

// ItemValue is an item with its value and the revision that set it.
type ItemValue struct {
	Change
	Revision uint64 `json:"revision"`
}

// Document is the configuration in force at a revision. The zero value is revision 0: every item has
// its value from the settings file.
type Document struct {
	revision uint64
	items    map[Item]ItemValue
}

// Revision returns the number of the last revision applied to the document.
func (d *Document) Revision() uint64 { return d.revision }

// Len returns the number of items that have ever been changed.
func (d *Document) Len() int { return len(d.items) }

// Get returns the value of an item; an item that was never changed has an empty value and revision 0.
func (d *Document) Get(item Item) ItemValue {
	if set, ok := d.items[item]; ok {
		return set
	}
	return ItemValue{Change: Change{Item: item}}
}

// Put sets one item unless the same or a later revision has set it, and reports whether it did.
func (d *Document) Put(set ItemValue) bool {
	if d.items == nil {
		d.items = map[Item]ItemValue{}
	}
	if old, ok := d.items[set.Item]; ok && old.Revision >= set.Revision {
		return false
	}
	d.items[set.Item] = set
	d.revision = max(d.revision, set.Revision)
	return true
}

// Apply applies a revision's changes.
func (d *Document) Apply(revision *Revision) {
	for _, change := range revision.Changes {
		d.Put(ItemValue{Change: change, Revision: revision.Number})
	}
	d.revision = max(d.revision, revision.Number)
}

// Since returns the items that were last set after the given revision, sorted by item.
func (d *Document) Since(revision uint64) []ItemValue {
	var sets []ItemValue
	for _, set := range d.items {
		if set.Revision > revision {
			sets = append(sets, set)
		}
	}
	slices.SortFunc(sets, func(a, b ItemValue) int { return compareItems(a.Item, b.Item) })
	return sets
}

// All returns all items that have ever been set, sorted by item.
func (d *Document) All() []ItemValue { return d.Since(0) }

func (d *Document) clone() Document {
	return Document{revision: d.revision, items: maps.Clone(d.items)}
}

// Update returns what was set after revision from, for a controller that has that revision. It contains
// no items if from is not below the document's revision.
func (d *Document) Update(from uint64) Update {
	update := Update{From: from, To: d.revision}
	if from < d.revision {
		update.Sets = d.Since(from)
	}
	return update
}
