package config

import (
	"maps"
	"slices"
	"time"
)

// Set is an item with what it is set to, and by which revision.
type Set struct {
	Change
	Revision uint64 `json:"revision"`
}

// Document is what stands at a revision. The zero value is that of none.
type Document struct {
	revision uint64
	items    map[Item]Set
}

// Revision is the last one that the document has.
func (d *Document) Revision() uint64 { return d.revision }

// Len counts the items that ever were changed.
func (d *Document) Len() int { return len(d.items) }

// Get is what an item is set to.
func (d *Document) Get(i Item) Set {
	if s, ok := d.items[i]; ok {
		return s
	}
	return Set{Change: Change{Item: i}}
}

// Put takes one item, unless a later revision has set it. It says whether it did.
func (d *Document) Put(s Set) bool {
	if d.items == nil {
		d.items = map[Item]Set{}
	}
	if old, ok := d.items[s.Item]; ok && old.Revision >= s.Revision {
		return false
	}
	d.items[s.Item] = s
	d.revision = max(d.revision, s.Revision)
	return true
}

// Apply takes a revision's changes.
func (d *Document) Apply(r *Revision) {
	for _, c := range r.Changes {
		d.Put(Set{c, r.Number})
	}
	d.revision = max(d.revision, r.Number)
}

// Since lists what later revisions than one have set, in the order of items.
func (d *Document) Since(revision uint64) []Set {
	var out []Set
	for _, s := range d.items {
		if s.Revision > revision {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Set) int { return compareItems(a.Item, b.Item) })
	return out
}

// All lists everything that was ever set.
func (d *Document) All() []Set { return d.Since(0) }

func (d *Document) clone() Document { return Document{d.revision, maps.Clone(d.items)} }

// Update is what the leader tells a controller: all that revisions after From, up to To, have set.
type Update struct {
	From, To uint64
	Sets     []Set
}

// Update is what a controller lacks that has a revision. One that has more than there is gets
// nothing.
func (d *Document) Update(has uint64) Update {
	u := Update{From: has, To: d.revision}
	if has < d.revision {
		u.Sets = d.Since(has)
	}
	return u
}

// Replica is what one controller has of the configuration. It outlives terms.
type Replica struct {
	document      Document
	revisionSince time.Duration // when its revision came
	updatedAt     time.Duration // when a leader last told, 0: never
}

// Revision is what the controller has in force.
func (r *Replica) Revision() uint64 { return r.document.revision }

// Since is when that revision came, Heard when a leader last told of it; 0: never.
func (r *Replica) Since() time.Duration { return r.revisionSince }

// UpdatedAt is when a leader last told of the configuration; 0: never.
func (r *Replica) UpdatedAt() time.Duration { return r.updatedAt }

// All lists what was ever set, as far as the controller has heard.
func (r *Replica) All() []Set { return r.document.All() }

// Apply takes what a leader tells. It never goes back to an older revision: what comes late, or
// lacks something in between, changes nothing.
func (r *Replica) Apply(now time.Duration, u Update) {
	r.updatedAt = now
	if u.To <= r.document.revision || u.From > r.document.revision {
		return
	}
	for _, s := range u.Sets {
		r.document.Put(s)
	}
	r.document.revision = u.To
	r.revisionSince = now
}

// Store takes over a leader's own document.
func (r *Replica) Store(now time.Duration, d *Document) {
	r.updatedAt = now
	if d.revision > r.document.revision {
		r.document, r.revisionSince = d.clone(), now
	}
}
