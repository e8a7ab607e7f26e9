package config

import "time"

// Update is sent by the leader to a controller: all items set by the revisions after From, up to To.
type Update struct {
	From, To uint64
	Sets     []ItemValue
}

// Replica is a controller's copy of the configuration. It is kept across terms. Its times are
// durations on the controller's monotonic clock.
type Replica struct {
	document      Document
	revisionSince time.Duration // when its current revision was received
	updatedAt     time.Duration // when an update last came from a leader; 0: never
}

// Revision returns the revision in force at the controller.
func (r *Replica) Revision() uint64 { return r.document.revision }

// RevisionSince returns when that revision was received; 0: the controller started with it.
func (r *Replica) RevisionSince() time.Duration { return r.revisionSince }

// UpdatedAt returns when an update, possibly an empty one, last came from a leader; 0: never.
func (r *Replica) UpdatedAt() time.Duration { return r.updatedAt }

// All returns all items that have ever been set up to the controller's revision, sorted by item.
func (r *Replica) All() []ItemValue { return r.document.All() }

// Apply applies a leader's update. It never returns to an older revision: an update that arrives late,
// or that does not reach back to the replica's revision, changes only UpdatedAt.
func (r *Replica) Apply(now time.Duration, update Update) {
	r.updatedAt = now
	if update.To <= r.document.revision || update.From > r.document.revision {
		return
	}
	for _, set := range update.Sets {
		r.document.Put(set)
	}
	r.document.revision = update.To
	r.revisionSince = now
}

// CopyFrom copies the document of the leader on this node if its revision is later than the replica's.
func (r *Replica) CopyFrom(now time.Duration, document *Document) {
	r.updatedAt = now
	if document.revision > r.document.revision {
		r.document, r.revisionSince = document.clone(), now
	}
}
