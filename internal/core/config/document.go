package config

import (
	"maps"
	"slices"
)

// Set is an item with what it is set to, and by which revision.
type Set struct {
	Change
	Revision uint64 `json:"revision"`
}

// Document is what is in force at a revision. The zero value is that of revision 0: all is as the
// settings say.
type Document struct {
	revision uint64
	items    map[Item]Set
}

// Revision is the last one that the document has.
func (d *Document) Revision() uint64 { return d.revision }

// Len counts the items that ever were changed.
func (d *Document) Len() int { return len(d.items) }

// Get is what an item is set to.
func (d *Document) Get(item Item) Set {
	if set, ok := d.items[item]; ok {
		return set
	}
	return Set{Change: Change{Item: item}}
}

// Put sets one item, unless the same or a later revision has set it. It says whether it did.
func (d *Document) Put(set Set) bool {
	if d.items == nil {
		d.items = map[Item]Set{}
	}
	if old, ok := d.items[set.Item]; ok && old.Revision >= set.Revision {
		return false
	}
	d.items[set.Item] = set
	d.revision = max(d.revision, set.Revision)
	return true
}

// Apply executes a revision's changes.
func (d *Document) Apply(revision *Revision) {
	for _, change := range revision.Changes {
		d.Put(Set{Change: change, Revision: revision.Number})
	}
	d.revision = max(d.revision, revision.Number)
}

// Since lists what revisions later than the given one have set, in the order of items.
func (d *Document) Since(revision uint64) []Set {
	var sets []Set
	for _, set := range d.items {
		if set.Revision > revision {
			sets = append(sets, set)
		}
	}
	slices.SortFunc(sets, func(a, b Set) int { return compareItems(a.Item, b.Item) })
	return sets
}

// All lists everything that was ever set, in the order of items.
func (d *Document) All() []Set { return d.Since(0) }

func (d *Document) clone() Document {
	return Document{revision: d.revision, items: maps.Clone(d.items)}
}

// Update is what a controller lacks that has the document up to a revision. One that has more than
// there is gets nothing.
func (d *Document) Update(has uint64) Update {
	update := Update{From: has, To: d.revision}
	if has < d.revision {
		update.Sets = d.Since(has)
	}
	return update
}
