// Package leadership elects the leading controller by means of a key that is bound to a lease of the
// state service (a consensus-backed key-value store). Each term has a higher epoch than the
// term before; the epoch is the fencing token. It is stored in a second key, and every write of a
// leader is conditional on that key's version, so that a late write of a superseded leader fails.
//
// Like all of internal/core, the package is a pure state machine without clock, socket or
// goroutine: times are passed in as durations on the node's monotonic clock, requests to the
// state service are returned to the caller, and their results are passed back as method calls.
package leadership

// Keys in the state service.
const (
	Prefix    = "lead/"       // prefix of both keys
	HolderKey = "lead/holder" // exists while a node leads; deleted with the leader's lease
	EpochKey  = "lead/epoch"  // the highest epoch so far; never deleted
)

// LeaseHolder is the value of both keys.
type LeaseHolder struct {
	Node  string `json:"n"`
	Epoch uint64 `json:"e"`
}

// View is the content of both keys as a node last observed it. The version of a missing key is 0.
type View struct {
	Holder        *LeaseHolder // nil: no node leads
	Epoch         uint64
	EpochNode     string // the leader of that epoch
	EpochVersion  uint64
	HolderVersion uint64
	Revision      uint64 // the state service's revision at the time of the read
}

// Action is what the caller must do for the elector. The result is passed to the method that the
// action's comment names.
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
	Sequence uint64 // passed back with the result
	LeaseID  uint64 // the lease of ClaimLeadership, RenewLease or ReleaseLease
	View     View   // ClaimLeadership succeeds only if the keys are still as in this view
	Revision uint64 // WatchKeys waits for changes after this revision
}

// Role is the current role of a node.
type Role uint8

// Roles.
const (
	Follower  Role = iota // does not lead
	Candidate             // awaits the result of CreateLease or ClaimLeadership
	Leader                // has claimed leadership; its lease may have expired
)

// FleetKnowledge is what a leader reports in its heartbeats about whether it knows what its machines run.
type FleetKnowledge uint8

// Values of FleetKnowledge.
const (
	FleetUnspecified FleetKnowledge = iota // not reported: the leader's version or settings do not support it
	FleetReconciling                       // the leader is still reconciling its state with the machines
	FleetKnown                             // the leader knows what its machines run
)
