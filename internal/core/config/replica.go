package config

import "time"

// Update is what the leader sends a controller: all that revisions after From, up to To, have set.
type Update struct {
	From, To uint64
	Sets     []Set
}

// Replica is what one controller has of the configuration. It outlives terms. Its times are
// durations on the controller's monotonic clock.
type Replica struct {
	document      Document
	revisionSince time.Duration // when its revision came
	updatedAt     time.Duration // when a leader last sent an update; 0: never
}

// Revision is what the controller has in force.
func (r *Replica) Revision() uint64 { return r.document.revision }

// RevisionSince is when that revision came; 0: it is the one that the controller started with.
func (r *Replica) RevisionSince() time.Duration { return r.revisionSince }

// UpdatedAt is when a leader last sent an update, also an empty one; 0: never.
func (r *Replica) UpdatedAt() time.Duration { return r.updatedAt }

// All lists what was ever set, as far as the controller knows.
func (r *Replica) All() []Set { return r.document.All() }

// Apply executes a leader's update. It never goes back to an older revision: an update that comes
// late, or lacks something in between, changes nothing.
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

// CopyFrom copies a leader's own document, unless the replica has as late a revision.
func (r *Replica) CopyFrom(now time.Duration, document *Document) {
	r.updatedAt = now
	if document.revision > r.document.revision {
		r.document, r.revisionSince = document.clone(), now
	}
}
