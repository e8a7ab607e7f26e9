// Package leadership elects the controller that leads, by a key that is bound to a lease of the
// state service (a consensus-backed key-value store). Each term has a higher epoch, the fencing
// token. It is kept in a second key, and every write of a leader is conditional on that key's
// version, so that a late write of a superseded leader fails.
//
// Like all of internal/core the package is a pure state machine without clock, socket or
// goroutine: times are passed in as durations on the node's monotonic clock, requests to the
// state service are returned to the caller, and their results come back as method calls.
package leadership

// Keys in the state service.
const (
	Prefix    = "lead/"       // of both keys
	HolderKey = "lead/holder" // exists while somebody leads; it goes with the leader's lease
	EpochKey  = "lead/epoch"  // the highest epoch so far; it is never deleted
)

// LeaseHolder is the value of both keys.
type LeaseHolder struct {
	Node  string `json:"n"`
	Epoch uint64 `json:"e"`
}

// View is what a read of both keys showed. A version is 0 where its key is missing.
type View struct {
	Holder        *LeaseHolder // nil: nobody leads
	Epoch         uint64
	EpochNode     string // the leader of that epoch
	EpochVersion  uint64
	HolderVersion uint64
	Revision      uint64 // the state service's revision at the time of the read
}

// Action is what the caller must do for the elector; its result comes back as the input that is
// named with it.
type Action uint8

// Actions.
const (
	ReadKeys        Action = iota // read both keys: Elector.KeysRead
	WatchKeys                     // wait for a change of the keys after Revision: Elector.WatchEnded
	CreateLease                   // create a lease: Elector.LeaseCreated
	ClaimLeadership               // put both keys if they are unchanged: Elector.LeadershipClaimed
	RenewLease                    // renew the lease: Elector.LeaseRenewed
	ReleaseLease                  // revoke the lease; no result is awaited
)

// Request is an action with its arguments.
type Request struct {
	Action   Action
	Sequence uint64 // handed back with the result
	LeaseID  uint64
	View     View   // what the keys must still be like for ClaimLeadership
	Revision uint64 // from which WatchKeys waits
}

// Role is what a node is at present.
type Role uint8

// Roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// FleetKnowledge is what a leader says of itself: whether it knows what its machines run.
type FleetKnowledge uint8

// What a leader may say.
const (
	FleetUnspecified FleetKnowledge = iota // nothing: its version or its settings do not say it
	FleetReconciling                       // it does not know yet
	FleetKnown                             // it knows
)
