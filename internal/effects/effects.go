// Package effects defines the actions that the core of a controller requests (effects), and the
// answers to users and workers. It is the boundary between the state machines and the adapters:
// the core emits effects, the node executes them, and their results return to the core as
// inputs. Nothing in this package performs an action.
//
// A result that the comments here name, such as RelayAnswered, is the method of node.Core that
// receives it.
package effects

import (
	"net/http"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/wire"
)

// RequestID identifies a request that waits for an answer; adapters map it to a connection.
type RequestID uint64

// Answer is the answer to a user's request. Controllers send it to each other over net/rpc, so
// the names of its fields must not change.
type Answer struct {
	Status     int // HTTP status
	ID         uint64
	State      wire.JobState
	Counts     bool // whether Done and Running, the numbers of tasks, are part of the answer
	Done       int
	Running    int
	Why        string // the reason if the status is an error
	RetryAfter int    // in seconds; 0: not given
}

// HeartbeatAnswer is the answer to a worker's heartbeat. Controllers send it to each other over
// net/rpc, so the names of its fields must not change.
type HeartbeatAnswer struct {
	Status   int    // HTTP status; 421: report to Node instead
	Token    uint64 // the fencing token
	Commands []workers.Command
	Node     string // the controller to which the worker must report

	// For the controller whose shard the machine is in:
	Offers []workers.Offer   // tasks that it may start on the machine
	Room   resources.Amounts // what the machine has free for them
	LeaseS float64           // for how long it may start them, in seconds
}

// RelayedHeartbeat is a worker's heartbeat that a controller relays to the leader over net/rpc.
type RelayedHeartbeat struct {
	Via string // the relaying controller
	// Life is the incarnation of that controller's process. After a restart, the process has no
	// record of which offers it started.
	Life   int64
	Report workers.Report
}

// Effect is an action that the core requests. Only types of this package implement it.
type Effect interface{ effect() }

// Answers.

// Reply answers a user's request. It has no result.
type Reply struct {
	To     RequestID
	Answer Answer
}

// ReplyHeartbeat answers a worker's heartbeat. It has no result.
type ReplyHeartbeat struct {
	To     RequestID
	Answer HeartbeatAnswer
}

// Calls to other controllers.

// RelayHeartbeat relays a worker's heartbeat to the leader. Its result is RelayAnswered.
type RelayHeartbeat struct {
	To     RequestID
	Leader string
	Report RelayedHeartbeat
}

// Heartbeat sends the leader's heartbeat to a peer. Its result is HeartbeatAnswered, and also
// ConfigAcknowledged if it carries configuration changes. Without an answer there is no result.
type Heartbeat struct {
	Peer   string
	Epoch  uint64
	Fleet  leadership.FleetKnowledge
	Config *config.Update // the changes that the peer lacks; nil: not sent
}

// ProbePeer checks whether a peer can be reached at all. Its result is LeaderContactResult.
type ProbePeer struct{ Peer string }

// AskPreviousLeader asks a peer when it last heard from a leader of an epoch before this one.
// Its result is PreviousLeaderReported.
type AskPreviousLeader struct {
	Peer  string
	Epoch uint64
}

// Calls to the state service.

// LeadershipRequest makes a call of the leader election. Its result depends on the action:
// KeysRead, WatchEnded, LeaseCreated, LeadershipClaimed, LeaseRenewed, or none for a release.
type LeadershipRequest struct{ Request leadership.Request }

// LoadLog reads the whole event log for the term of that epoch, and retries until it succeeds or
// the term is over. Its result is LogLoaded.
type LoadLog struct{ Epoch uint64 }

// Commit commits a transaction of the event log. Its result is Committed.
type Commit struct{ Txn eventlog.Transaction }

// ReadBack reads a key to determine the outcome of a commit without an answer. Its result is
// CommitReadBack.
type ReadBack struct{ Key string }

// ReadSegments reads Count segments of the event log, starting with number First. Its result is
// SegmentsRead.
type ReadSegments struct{ First, Count int }

// ReadValues reads a page of a component's own values, those after the key AfterKey. Its result
// is ValuesRead.
type ReadValues struct{ Component, AfterKey string }

// Calls to workers.

// SendStops sends stops straight to a worker, in addition to the answer to its next heartbeat.
// It has no result, since nothing is concluded from it.
type SendStops struct {
	Address        string
	Token, Session uint64
	Stops          []workers.Command
}

// Dispatch sends starts straight to a worker. Its result is Dispatched.
type Dispatch struct {
	Machine, Address string
	Token, Session   uint64
	Starts           []workers.Command
}

// ProbeWorker requests a report from a worker and discards it. Its result, WorkerProbed, is
// whether the worker answered.
type ProbeWorker struct{ Machine, Address string }

// Calls to the cloud.

// RentMachines requests a rental. Its result is RentalAnswered.
type RentMachines struct{ Rental eventlog.Rental }

// DeleteMachines deletes machines by name. Its result is MachinesDeleted.
type DeleteMachines struct{ Machines []string }

// ListMachines lists the machines that the cloud has for this installation. Its result is
// MachinesListed.
type ListMachines struct{}

// ListMachineTypes lists the machine types that can be rented. Its result is
// MachineTypesListed.
type ListMachineTypes struct{}

// Messages for operators.

// Notify sends a notification to the operators' webhook; repeats of it have the same ID. It has
// no result.
type Notify struct {
	ID   string
	Body []byte // JSON
}

// LogMessage writes a structured log message. Args are alternating keys and values, as in
// log/slog. It has no result.
type LogMessage struct {
	Level   Level
	Message string
	Args    []any
}

// Level is the level of a LogMessage.
type Level uint8

// Levels, from the least severe up.
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

// unavailableRetryS is the Retry-After of Unavailable, in seconds.
const unavailableRetryS = 1

// Unavailable returns the answer of a controller that cannot serve a request at present: status
// 503, to be retried.
func Unavailable(why string) Answer {
	return Answer{Status: http.StatusServiceUnavailable, Why: why, RetryAfter: unavailableRetryS}
}
