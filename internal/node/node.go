// Package node composes the slices into one controller: a core that is a
// state machine, one loop that feeds it, and the adapters to the network.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"bitternmoor/internal/core/admission"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/operators/webhook"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

const (
	tickInterval     = 50 * time.Millisecond
	watchDuration    = 10 * time.Second
	inputQueueLength = 512
	maxDirectCalls   = 8
)

// leadershipSnapshot is what the doors need to know between turns of the loop.
type leadershipSnapshot struct {
	leading     bool
	leader      string
	partitioned bool          // it leads, but is not reached from here
	takenAt     time.Duration // of the loop's last turn
}

// Node runs one controller.
type Node struct {
	settings *settings.Settings
	log      *slog.Logger
	core     *Core
	inputs   chan func(now time.Duration)
	start    time.Time
	state    *wire.StateClient
	cloud    *wire.CloudClient
	peers    map[string]*peer
	workers  *wire.WorkerClient
	notifier *webhook.Sender // nil: operators are told by logs alone

	admission       *admission.Controller // nil: users who are turned away are told the least there is
	admissionMu     sync.Mutex
	receiptKeys     receiptKeyCache
	refusedMessages atomic.Uint64 // messages of other controllers that were not taken
	directCalls     chan struct{} // bounds the direct calls under way
	snapshot        atomic.Pointer[leadershipSnapshot]

	lastRequestID     effects.RequestID
	pendingUsers      map[effects.RequestID]chan effects.Answer
	pendingHeartbeats map[effects.RequestID]chan effects.HeartbeatAnswer
}

// New makes a controller.
func New(cfg *settings.Settings, log *slog.Logger) *Node {
	start := time.Now()
	n := &Node{
		settings: cfg, log: log, core: NewCore(cfg, start.UnixMilli()), inputs: make(chan func(time.Duration), inputQueueLength), start: start,
		state: wire.NewStateClient(cfg.External.State), cloud: wire.NewCloudClient(cfg.External.Cloud), workers: wire.NewWorkerClient(), directCalls: make(chan struct{}, maxDirectCalls), peers: map[string]*peer{},
		pendingUsers: map[effects.RequestID]chan effects.Answer{}, pendingHeartbeats: map[effects.RequestID]chan effects.HeartbeatAnswer{},
	}
	for _, p := range cfg.Peers {
		n.peers[p.Node] = &peer{address: p.Endpoint}
	}
	if url := cfg.Tunables.WebhookURL; url != "" {
		n.notifier = webhook.New(url, cfg.WebhookKey, log)
	}
	if rate := cfg.Tunables.DoorRate; rate > 0 {
		n.admission = admission.NewController(rate, time.Duration(start.UnixMilli())*time.Millisecond)
	}
	n.snapshot.Store(&leadershipSnapshot{})
	return n
}

// Run serves until the context ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	public, err := net.Listen("tcp4", n.settings.PublicAddr)
	if err != nil {
		return fmt.Errorf("node: public_addr: %w", err)
	}
	internal, err := net.Listen("tcp4", n.settings.InternalAddr)
	if err != nil {
		return fmt.Errorf("node: internal_addr: %w", err)
	}
	// Sockets are few: some are kept for the peers, the state service and the cloud.
	room := max(16, n.settings.Deployment.MachineLimits.FDLimit-80)
	srv := &http.Server{Handler: n.publicHandler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: 60 * time.Second, MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	failed := make(chan error, 3)
	go func() { failed <- srv.Serve(netutil.LimitListener(public, room)) }()
	inside, err := n.internalHandler()
	if err != nil {
		return err
	}
	internalSrv := &http.Server{Handler: inside, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 8 << 10, IdleTimeout: 60 * time.Second,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	go func() { failed <- internalSrv.Serve(netutil.LimitListener(internal, 32)) }()
	closeOperators, err := n.serveOperators(ctx, failed)
	if err != nil {
		return err
	}
	defer closeOperators()
	if n.notifier != nil {
		go n.notifier.Run(ctx)
	}
	done := make(chan struct{})
	go func() { n.loop(ctx); close(done) }()
	n.log.Info("serving", "node", n.settings.Node, "zone", n.settings.Zone, "public", n.settings.PublicAddr, "internal", n.settings.InternalAddr)
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	_ = srv.Close()
	_ = internalSrv.Close()
	if ctx.Err() != nil {
		<-done
		return nil
	}
	return fmt.Errorf("node: serving: %w", err)
}

// loop is the only goroutine that touches the core.
func (n *Node) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			n.core.Stop(time.Since(n.start))
			for _, e := range n.core.TakeEffects() {
				if o, ok := e.(effects.LeadershipRequest); ok && o.Request.Action == leadership.ReleaseLease {
					n.executeLeadership(o.Request)
				} else if r, ok := e.(effects.Reply); ok {
					n.execute(r)
				}
			}
			n.log.Info("ended", "node", n.settings.Node)
			return
		case f := <-n.inputs:
			f(time.Since(n.start))
		case <-tick.C:
			n.core.Tick(time.Since(n.start))
		}
		for _, e := range n.core.TakeEffects() {
			n.execute(e)
		}
		leading, leader := n.core.Leading()
		now := time.Since(n.start)
		n.snapshot.Store(&leadershipSnapshot{leading, leader, n.core.Partitioned(now), now})
	}
}

func (n *Node) enqueue(f func(now time.Duration)) { n.inputs <- f }

func (n *Node) executeLeadership(o leadership.Request) {
	limit := stateTimeout
	if o.Action == leadership.WatchKeys {
		limit = watchDuration + 2*time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	switch o.Action {
	case leadership.ReadKeys:
		v, err := n.state.ReadLeadership(ctx)
		sleepAfterFailure(err == nil)
		n.enqueue(func(now time.Duration) { n.core.KeysRead(now, o.Sequence, err == nil, v) })
	case leadership.WatchKeys:
		ok := n.state.Watch(ctx, leadership.Prefix, o.Revision, watchDuration)
		n.enqueue(func(now time.Duration) { n.core.WatchEnded(now, o.Sequence, ok) })
	case leadership.CreateLease:
		id, ok := n.state.CreateLease(ctx, settings.Seconds(n.settings.Tunables.LeaderHoldS))
		sleepAfterFailure(ok)
		n.enqueue(func(now time.Duration) { n.core.LeaseCreated(now, o.Sequence, ok, id) })
	case leadership.ClaimLeadership:
		ok, mark := n.state.Claim(ctx, n.settings.Node, o.View, o.LeaseID)
		sleepAfterFailure(ok)
		n.enqueue(func(now time.Duration) { n.core.LeadershipClaimed(now, o.Sequence, ok, mark) })
	case leadership.RenewLease:
		ok, gone := n.state.RenewLease(ctx, o.LeaseID)
		n.enqueue(func(now time.Duration) { n.core.LeaseRenewed(now, o.Sequence, ok, gone) })
	case leadership.ReleaseLease:
		n.state.ReleaseLease(ctx, o.LeaseID)
	}
}

var errLoopBusy = errors.New("node: the loop is behind")

// admissionKind is a request's kind at the door.
func admissionKind(op string) admission.Kind {
	if op == opQuery {
		return admission.Poll
	}
	return admission.Submit
}

// spreadRetry has those who are turned away together come back apart. The answer is final
// and goes out at once all the same.
func (n *Node) spreadRetry(in UserRequest, a effects.Answer) effects.Answer {
	if n.admission != nil && a.RetryAfter > 0 {
		n.admissionMu.Lock()
		defer n.admissionMu.Unlock()
		a.RetryAfter = n.admission.Reject(time.Since(n.start), admissionKind(in.Op), in.ID, a.RetryAfter)
	}
	return a
}

// admitRequest says whether a request about a job may enter the loop's queue.
func (n *Node) admitRequest(kind admission.Kind, job uint64) bool {
	if n.admission == nil {
		return true
	}
	n.admissionMu.Lock()
	defer n.admissionMu.Unlock()
	return n.admission.Admit(time.Since(n.start), kind, job, len(n.inputs), cap(n.inputs))
}

// awaitAnswer hands a user's request to the loop and waits for its answer.
func (n *Node) awaitAnswer(limit time.Duration, kind admission.Kind, job uint64, f func(now time.Duration, to effects.RequestID)) effects.Answer {
	ch := make(chan effects.Answer, 1)
	var id effects.RequestID
	err := errLoopBusy
	if n.admitRequest(kind, job) {
		err = n.tryEnqueue(func(now time.Duration) {
			n.lastRequestID++
			id = n.lastRequestID
			n.pendingUsers[id] = ch
			f(now, id)
		})
	}
	if err != nil {
		return effects.Answer{Status: 429, Why: "too many requests at once", RetryAfter: 1}
	}
	began := time.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case a := <-ch:
		if exceeded(began, limit) {
			return effects.Unavailable("the answer came too late")
		}
		return a
	case <-timer.C:
		// Given up: the final answer goes out now, and the job's state is
		// found out by asking again.
		_ = n.tryEnqueue(func(time.Duration) { delete(n.pendingUsers, id) })
		return effects.Unavailable("not durable in time")
	}
}

func (n *Node) tryEnqueue(f func(time.Duration)) error {
	select {
	case n.inputs <- f:
		return nil
	default:
		return errLoopBusy
	}
}

func (n *Node) awaitHeartbeatAnswer(f func(now time.Duration, to effects.RequestID)) (effects.HeartbeatAnswer, error) {
	ch := make(chan effects.HeartbeatAnswer, 1)
	if err := n.tryEnqueue(func(now time.Duration) {
		n.lastRequestID++
		n.pendingHeartbeats[n.lastRequestID] = ch
		f(now, n.lastRequestID)
	}); err != nil {
		return effects.HeartbeatAnswer{}, err
	}
	return <-ch, nil
}

const answerTimeout = time.Second

// serveLocally answers a request here, whoever leads.
func (n *Node) serveLocally(in UserRequest) effects.Answer {
	return n.awaitAnswer(answerTimeout, admissionKind(in.Op), in.ID, func(now time.Duration, to effects.RequestID) {
		switch in.Op {
		case opSubmit:
			n.core.Submit(now, to, in.Submission)
		case opQuery:
			n.core.Query(now, to, in.ID)
		default:
			n.core.Cancel(now, to, in.ID)
		}
	})
}

// serveOrForward serves a request here or hands it to the leader: one hop at most.
func (n *Node) serveOrForward(in UserRequest) effects.Answer {
	s := n.snapshot.Load()
	if s.leading {
		return n.serveLocally(in)
	}
	p := n.peers[s.leader]
	if p == nil {
		return effects.Unavailable("no leader at present")
	}
	var a effects.Answer
	method := "Controller.Ask"
	if in.Submission.Job != nil && len(in.Submission.Job.Counted) > 0 {
		method = "Controller.AskCounted"
	}
	if err := p.call(method, in, &a); err != nil {
		n.log.Debug("leader not reached", "leader", s.leader, "error", err)
		var remote rpc.ServerError
		if !errors.As(err, &remote) {
			_ = n.tryEnqueue(func(now time.Duration) { n.core.PeerReached(now, s.leader, false) })
		}
		return effects.Unavailable("the leader does not answer")
	}
	return a
}
