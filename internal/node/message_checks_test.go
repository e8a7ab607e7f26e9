package node

import (
	"log/slog"
	"math"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// newTestNode returns the controller n0, whose only peer is n1. Its loop does not run.
func newTestNode() *Node {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Node, cfg.Peers = "n0", []settings.Peer{{Node: "n1"}}
	return New(cfg, slog.New(slog.DiscardHandler))
}

// newSubmission returns a valid submission modified by change.
func newSubmission(change func(job *eventlog.Job)) UserRequest {
	job := &eventlog.Job{ID: 7, Class: "c", Team: "t", Tasks: 3, CPUs: 1}
	change(job)
	return UserRequest{
		Op:         opSubmit,
		ID:         7,
		Submission: wire.Submission{ID: 7, HasID: true, Job: job},
		Whole:      true,
	}
}

// newRelayedHeartbeat returns a valid relayed heartbeat modified by change.
func newRelayedHeartbeat(change func(in *effects.RelayedHeartbeat)) effects.RelayedHeartbeat {
	in := effects.RelayedHeartbeat{Via: "n1", Life: 1, Report: workers.Report{Machine: "m", Session: 1, Seq: 1}}
	change(&in)
	return in
}

// TestInvalidMessagesAreRejected checks that messages that are malformed, too large or not from a
// peer are rejected and counted, and that none of them reaches the loop.
func TestInvalidMessagesAreRejected(t *testing.T) {
	n := newTestNode()
	controller := &Controller{n}
	ask := func(in UserRequest) func() error {
		return func() error { return controller.Ask(in, &effects.Answer{}) }
	}
	submit := func(change func(job *eventlog.Job)) func() error { return ask(newSubmission(change)) }
	relay := func(change func(in *effects.RelayedHeartbeat)) func() error {
		return func() error { return controller.Relay(newRelayedHeartbeat(change), &effects.HeartbeatAnswer{}) }
	}
	heartbeat := func(in HeartbeatMessage) func() error {
		return func() error { return controller.Hail(in, new(bool)) }
	}
	cases := []struct {
		name string
		call func() error
	}{
		{"request without a kind", ask(UserRequest{ID: 7})},
		{"request of an unknown kind", ask(UserRequest{Op: "delete", ID: 7})},
		{"submission with another job's ID", submit(func(job *eventlog.Job) { job.ID = 8 })},
		{"submission without tasks", submit(func(job *eventlog.Job) { job.Tasks = 0 })},
		{"submission with far too many tasks", submit(func(job *eventlog.Job) { job.Tasks = 1 << 40 })},
		{"submission with an unknown priority", submit(func(job *eventlog.Job) { job.Priority = 9 })},
		{"submission with an amount that is not a number", submit(func(job *eventlog.Job) { job.CPUs = math.NaN() })},
		{"submission with a long name", submit(func(job *eventlog.Job) { job.Team = string(make([]byte, 300)) })},
		{"submission with pool units and without an ID", func() error {
			return controller.AskCounted(UserRequest{Op: opSubmit, ID: 7}, &effects.Answer{})
		}},
		{"relay via an unknown controller", relay(func(in *effects.RelayedHeartbeat) { in.Via = "n9" })},
		{"relay via the controller itself", relay(func(in *effects.RelayedHeartbeat) { in.Via = "n0" })},
		{"relay without a machine", relay(func(in *effects.RelayedHeartbeat) { in.Report.Machine = "" })},
		{"relay with a name longer than a report may be", relay(func(in *effects.RelayedHeartbeat) {
			in.Report.Zone = string(make([]byte, 70<<10))
		})},
		{"relay without a session", relay(func(in *effects.RelayedHeartbeat) { in.Report.Session = 0 })},
		{"relay with a negative task number", relay(func(in *effects.RelayedHeartbeat) {
			in.Report.Tasks = []workers.TaskReport{{Task: -1}}
		})},
		{"relay with too many tasks", relay(func(in *effects.RelayedHeartbeat) {
			in.Report.Tasks = make([]workers.TaskReport, 5000)
		})},
		{"heartbeat from an unknown controller", heartbeat(HeartbeatMessage{Node: "n9", Epoch: 9})},
		{"heartbeat without an epoch", heartbeat(HeartbeatMessage{Node: "n1"})},
		{"heartbeat in the controller's own name", heartbeat(HeartbeatMessage{Node: "n0", Epoch: 9})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.call() == nil {
				t.Error("the message is accepted")
			}
		})
	}
	if got := n.rejectedMessages.Load(); got != uint64(len(cases)) {
		t.Errorf("%d rejected messages are counted, want %d", got, len(cases))
	}
	if len(n.inputs) > 0 {
		t.Errorf("%d inputs reached the loop", len(n.inputs))
	}
}

// TestValidMessagesAreAccepted checks that valid messages of a peer are accepted.
func TestValidMessagesAreAccepted(t *testing.T) {
	n := newTestNode()
	controller := &Controller{n}
	go func() { // replaces the loop
		for in := range n.inputs {
			in(time.Second)
			for _, e := range n.core.TakeEffects() {
				n.execute(t.Context(), e)
			}
		}
	}()
	defer close(n.inputs)
	var answer effects.Answer
	err := controller.Ask(newSubmission(func(*eventlog.Job) {}), &answer)
	if err != nil || answer.Status != 503 { // nobody leads
		t.Errorf("submission: error %v, answer %+v", err, answer)
	}
	if err := controller.Hail(HeartbeatMessage{Node: "n1", Epoch: 3}, new(bool)); err != nil {
		t.Errorf("heartbeat: %v", err)
	}
	relayed := newRelayedHeartbeat(func(*effects.RelayedHeartbeat) {})
	if err := controller.Relay(relayed, &effects.HeartbeatAnswer{}); err != nil {
		t.Errorf("relayed heartbeat: %v", err)
	}
	if got := n.rejectedMessages.Load(); got != 0 {
		t.Errorf("%d valid messages are rejected", got)
	}
}
