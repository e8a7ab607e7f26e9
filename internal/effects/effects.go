// Package effects has what the core of a controller wants done, and what users and
// workers are told. The core puts them out; adapters carry them out and bring
// results back as inputs.
package effects

import (
	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/wire"
)

// RequestID is whoever waits for an answer; adapters map it to a connection.
type RequestID uint64

// Answer is what a user is told.
type Answer struct {
	Status     int
	ID         uint64
	State      wire.JobState
	Counts     bool
	Done       int
	Running    int
	Why        string
	RetryAfter int
}

// HeartbeatAnswer is what a worker is told.
type HeartbeatAnswer struct {
	Status   int
	Token    uint64
	Commands []workers.Command
	Node     string
	// For the controller that holds the machine's block:
	Offers []workers.Offer
	Room   resources.Amounts
	LeaseS float64
}

// RelayedHeartbeat is a report that a controller hands to the leader. Life tells the
// controller's processes apart: one that began anew has forgotten which
// offers it took up.
type RelayedHeartbeat struct {
	Via    string
	Life   int64
	Report workers.Report
}

// Effect is something the core wants done.
type Effect interface{ effect() }

// The effects. Each result comes back as an input of the same name.
type (
	Reply struct {
		To     RequestID
		Answer Answer
	}
	ReplyHeartbeat struct {
		To     RequestID
		Answer HeartbeatAnswer
	}
	RelayHeartbeat struct {
		To     RequestID
		Leader string
		Report RelayedHeartbeat
	}
	Heartbeat struct {
		Peer   string
		Epoch  uint64
		Fleet  leadership.FleetKnowledge
		Config *config.Update // what it lacks of the configuration; nil: nothing is said of it
	}
	// ProbePeer asks whether a peer can be reached at all.
	ProbePeer struct{ Peer string }
	// AskPreviousLeader asks a peer when it last heard a leader of an epoch before this one.
	AskPreviousLeader struct {
		Peer  string
		Epoch uint64
	}
	LeadershipRequest struct{ Request leadership.Request }
	LoadLog           struct{ Epoch uint64 }
	Commit            struct{ Txn eventlog.Transaction }
	ReadBack          struct{ Key string }
	ReadSegments      struct{ First, Count int }
	// ReadValues reads a page of a duty's own values, those behind a key.
	ReadValues struct{ Duty, Since string }
	// SendStops sends stops straight to a worker, besides the answer to its next
	// report. It has no result: nothing is concluded from it.
	SendStops struct {
		Address        string
		Token, Session uint64
		Stops          []workers.Command
	}
	// Dispatch sends starts straight to a worker. Its result comes back as Launched.
	Dispatch struct {
		Machine, Address string
		Token, Session   uint64
		Starts           []workers.Command
	}
	// ProbeWorker asks a worker for a report, which is not looked at: whether it answers comes
	// back as Asked.
	ProbeWorker struct{ Machine, Address string }
	// Notify tells the operators' webhook something; the id is the same for
	// repeats. It has no result.
	Notify struct {
		ID   string
		Body []byte // JSON
	}
	RentMachines     struct{ Rental eventlog.Rental }
	DeleteMachines   struct{ Machines []string }
	ListMachines     struct{}
	ListMachineTypes struct{}
	LogMessage       struct {
		Level   Level
		Message string
		Args    []any
	}
)

// Level of a note.
type Level uint8

// Levels.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

func (Reply) effect()             {}
func (ReplyHeartbeat) effect()    {}
func (RelayHeartbeat) effect()    {}
func (Heartbeat) effect()         {}
func (ProbePeer) effect()         {}
func (AskPreviousLeader) effect() {}
func (LeadershipRequest) effect() {}
func (LoadLog) effect()           {}
func (Commit) effect()            {}
func (ReadBack) effect()          {}
func (ReadSegments) effect()      {}
func (ReadValues) effect()        {}
func (SendStops) effect()         {}
func (Dispatch) effect()          {}
func (ProbeWorker) effect()       {}
func (Notify) effect()            {}
func (RentMachines) effect()      {}
func (DeleteMachines) effect()    {}
func (ListMachines) effect()      {}
func (ListMachineTypes) effect()  {}
func (LogMessage) effect()        {}

// Unavailable is the answer of a node that cannot tell at present.
func Unavailable(why string) Answer { return Answer{Status: 503, Why: why, RetryAfter: 1} }
