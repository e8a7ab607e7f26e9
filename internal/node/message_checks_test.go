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

// What is malformed, too large or of somebody else is refused and counted, and nothing of it
// reaches the loop; what controllers do send is taken.
func TestMessagesRefused(t *testing.T) {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Node, cfg.Peers = "n0", []settings.Peer{{Node: "n1"}}
	n := New(cfg, slog.New(slog.DiscardHandler))
	c := &Controller{n}
	job := func(change func(j *eventlog.Job)) UserRequest {
		j := &eventlog.Job{ID: 7, Class: "c", Team: "t", Tasks: 3, CPUs: 1}
		change(j)
		return UserRequest{Op: opSubmit, ID: 7, Submission: wire.Submission{ID: 7, HasID: true, Job: j}, Whole: true}
	}
	relay := func(change func(r *workers.Report)) effects.RelayedHeartbeat {
		r := workers.Report{Machine: "m", Session: 1, Seq: 1}
		change(&r)
		return effects.RelayedHeartbeat{Via: "n1", Life: 1, Report: r}
	}
	same := func(*workers.Report) {}
	bad := map[string]func() error{
		"no kind":             func() error { return c.Ask(UserRequest{ID: 7}, &effects.Answer{}) },
		"an unknown kind":     func() error { return c.Ask(UserRequest{Op: "delete", ID: 7}, &effects.Answer{}) },
		"another job's id":    func() error { return c.Ask(job(func(j *eventlog.Job) { j.ID = 8 }), &effects.Answer{}) },
		"no tasks":            func() error { return c.Ask(job(func(j *eventlog.Job) { j.Tasks = 0 }), &effects.Answer{}) },
		"far too many tasks":  func() error { return c.Ask(job(func(j *eventlog.Job) { j.Tasks = 1 << 40 }), &effects.Answer{}) },
		"an unknown priority": func() error { return c.Ask(job(func(j *eventlog.Job) { j.Priority = 9 }), &effects.Answer{}) },
		"no number":           func() error { return c.Ask(job(func(j *eventlog.Job) { j.CPUs = math.NaN() }), &effects.Answer{}) },
		"a name that is long": func() error {
			return c.Ask(job(func(j *eventlog.Job) { j.Team = string(make([]byte, 300)) }), &effects.Answer{})
		},
		"no id": func() error { return c.AskCounted(UserRequest{Op: opSubmit, ID: 7}, &effects.Answer{}) },
		"via nobody": func() error {
			return c.Relay(effects.RelayedHeartbeat{Via: "n9", Report: relay(same).Report}, &effects.HeartbeatAnswer{})
		},
		"via itself": func() error {
			return c.Relay(effects.RelayedHeartbeat{Via: "n0", Report: relay(same).Report}, &effects.HeartbeatAnswer{})
		},
		"no machine": func() error {
			return c.Relay(relay(func(r *workers.Report) { r.Machine = "" }), &effects.HeartbeatAnswer{})
		},
		"a name that no report holds": func() error {
			return c.Relay(relay(func(r *workers.Report) { r.Zone = string(make([]byte, 70<<10)) }), &effects.HeartbeatAnswer{})
		},
		"no session": func() error {
			return c.Relay(relay(func(r *workers.Report) { r.Session = 0 }), &effects.HeartbeatAnswer{})
		},
		"a task below 0": func() error {
			return c.Relay(relay(func(r *workers.Report) { r.Tasks = []workers.TaskReport{{Task: -1}} }), &effects.HeartbeatAnswer{})
		},
		"more tasks than fit": func() error {
			return c.Relay(relay(func(r *workers.Report) { r.Tasks = make([]workers.TaskReport, 5000) }), &effects.HeartbeatAnswer{})
		},
		"a heartbeat of nobody":     func() error { return c.Hail(HeartbeatMessage{Node: "n9", Epoch: 9}, new(bool)) },
		"a heartbeat of no epoch":   func() error { return c.Hail(HeartbeatMessage{Node: "n1"}, new(bool)) },
		"a heartbeat in one's name": func() error { return c.Hail(HeartbeatMessage{Node: "n0", Epoch: 9}, new(bool)) },
	}
	for what, f := range bad {
		if f() == nil {
			t.Errorf("%s: taken", what)
		}
	}
	if got := n.refusedMessages.Load(); got != uint64(len(bad)) {
		t.Errorf("%d counted, want %d", got, len(bad))
	}
	if len(n.inputs) > 0 {
		t.Errorf("%d inputs reached the loop", len(n.inputs))
	}
	go func() { // the loop's stand-in
		for f := range n.inputs {
			f(time.Second)
			for _, e := range n.core.TakeEffects() {
				n.execute(t.Context(), e)
			}
		}
	}()
	defer close(n.inputs)
	var a effects.Answer
	if err := c.Ask(job(func(*eventlog.Job) {}), &a); err != nil || a.Status != 503 { // nobody leads
		t.Errorf("a submission: %v, %+v", err, a)
	}
	if err := c.Hail(HeartbeatMessage{Node: "n1", Epoch: 3}, new(bool)); err != nil {
		t.Errorf("a heartbeat: %v", err)
	}
	if err := c.Relay(relay(same), &effects.HeartbeatAnswer{}); err != nil {
		t.Errorf("a report: %v", err)
	}
	if got := n.refusedMessages.Load(); got != uint64(len(bad)) {
		t.Errorf("what is sound was refused: %d", got)
	}
}
