// Package effects defines what the core of a controller wants done (effects), and the answers
// to users and workers. It stands between the state machines and the adapters: the core emits
// effects, the node executes them, and their results come back to the core as inputs. Nothing
// here acts by itself.
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

// RequestID names a request that waits for an answer; adapters map it to a connection.
type RequestID uint64

// Answer is the answer to a user's request. It goes between controllers over net/rpc: the names
// of its fields stay.
type Answer struct {
	Status     int // of HTTP
	ID         uint64
	State      wire.JobState
	Counts     bool // the answer says how many tasks are done and running
	Done       int
	Running    int
	Why        string // what is wrong, where the status is an error
	RetryAfter int    // in seconds; 0: not said
}

// HeartbeatAnswer is the answer to a worker's heartbeat. It goes between controllers over
// net/rpc: the names of its fields stay.
type HeartbeatAnswer struct {
	Status   int    // of HTTP; 421: report to Node instead
	Token    uint64 // the fencing token
	Commands []workers.Command
	Node     string // the controller that the worker has to report to

	// For the controller whose shard the machine is in:
	Offers []workers.Offer   // tasks that it may start on the machine
	Room   resources.Amounts // what the machine has free for them
	LeaseS float64           // for how long it may, in seconds
}

// RelayedHeartbeat is a worker's heartbeat that a controller relays to the leader, over net/rpc.
type RelayedHeartbeat struct {
	Via string // the controller that relays
	// Life is the incarnation of that controller's process: one that has restarted has
	// forgotten which offers it started.
	Life   int64
	Report workers.Report
}

// Effect is something the core wants done. The types of this package alone are effects.
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

// Calls of other controllers.

// RelayHeartbeat relays a worker's heartbeat to the leader. Its result is RelayAnswered.
type RelayHeartbeat struct {
	To     RequestID
	Leader string
	Report RelayedHeartbeat
}

// Heartbeat sends the leader's heartbeat to a peer. Its result is HeartbeatAnswered, and with
// changes of the configuration ConfigAcknowledged besides; where there is no answer, none.
type Heartbeat struct {
	Peer   string
	Epoch  uint64
	Fleet  leadership.FleetKnowledge
	Config *config.Update // the changes that the peer lacks; nil: nothing is said of them
}

// ProbePeer asks whether a peer can be reached at all. Its result is PeerReached.
type ProbePeer struct{ Peer string }

// AskPreviousLeader asks a peer when it last heard a leader of an epoch before this one. Its
// result is PreviousLeaderReported.
type AskPreviousLeader struct {
	Peer  string
	Epoch uint64
}

// Calls of the state service.

// LeadershipRequest makes a call of the leader election. Its result depends on the action:
// KeysRead, WatchEnded, LeaseCreated, LeadershipClaimed, LeaseRenewed, or none for a release.
type LeadershipRequest struct{ Request leadership.Request }

// LoadLog reads the whole event log for the term of that epoch, and tries again until it
// succeeds or the term is over. Its result is LogLoaded.
type LoadLog struct{ Epoch uint64 }

// Commit commits a transaction of the event log. Its result is Committed.
type Commit struct{ Txn eventlog.Transaction }

// ReadBack reads a key again, to settle a commit without an answer. Its result is ReadBack.
type ReadBack struct{ Key string }

// ReadSegments reads Count segments of the event log, from the one numbered First on. Its
// result is SegmentsRead.
type ReadSegments struct{ First, Count int }

// ReadValues reads a page of a component's own values, those after the key Since. Its result
// is ValuesRead.
type ReadValues struct{ Component, AfterKey string }

// Calls of workers.

// SendStops sends stops straight to a worker, besides the answer to its next heartbeat. It has
// no result: nothing is concluded from it.
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

// ProbeWorker asks a worker for a report, which is not looked at: whether it answers is the
// result, WorkerProbed.
type ProbeWorker struct{ Machine, Address string }

// Calls of the cloud.

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

// Notify sends a notification to the operators' webhook; the id is the same for repeats. It
// has no result.
type Notify struct {
	ID   string
	Body []byte // JSON
}

// LogMessage writes a structured log message. Args are keys and values, as of log/slog. It has
// no result.
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

// Unavailable is the answer of a controller that cannot tell at present: 503, to be retried.
func Unavailable(why string) Answer {
	return Answer{Status: http.StatusServiceUnavailable, Why: why, RetryAfter: unavailableRetryS}
}
