// Package node assembles one controller. Core is a state machine that uses no clock, socket or
// goroutine; it consists of the leader election, the leader's term and this node's shard of the
// machines. Node runs the single loop that passes inputs to the core and executes the effects that
// the core emits, with the adapters around it (user API, peers' RPC, operators' listeners, state
// service, cloud).
package node

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bitternmoor/internal/core/admission"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/operators/webhook"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// Limits of queues and concurrent calls.
const (
	inputQueueLength = 512
	maxDirectCalls   = 8
)

// Node runs one controller.
type Node struct {
	settings *settings.Settings
	log      *slog.Logger

	// Accessed only by the loop.
	core              *Core
	lastRequestID     effects.RequestID
	pendingUsers      map[effects.RequestID]chan effects.Answer
	pendingHeartbeats map[effects.RequestID]chan effects.HeartbeatAnswer

	// How other goroutines pass inputs to the loop, and what they may read of its state.
	inputs   chan input
	start    time.Time // the core's time 0
	snapshot atomic.Pointer[leadershipSnapshot]

	// Clients of the other services and processes.
	state       *wire.StateClient
	cloud       *wire.CloudClient
	workers     *wire.WorkerClient
	peers       map[string]*peer
	notifier    *webhook.Sender // nil: operators are notified only through the log
	directCalls chan struct{}   // semaphore of the SendStops calls in progress
	calls       sync.WaitGroup  // goroutines of calls; started by the loop, awaited by runLoop

	receiptKeys      receiptKeyCache
	rejectedMessages atomic.Uint64 // messages from other controllers that failed validation

	admissionMu sync.Mutex            // guards the state behind admission, not the pointer
	admission   *admission.Controller // nil: no rate limit
}

// New makes a controller. Run opens its sockets.
func New(cfg *settings.Settings, log *slog.Logger) *Node {
	start := time.Now()
	n := &Node{
		settings:          cfg,
		log:               log,
		core:              NewCore(cfg, start.UnixMilli()),
		pendingUsers:      map[effects.RequestID]chan effects.Answer{},
		pendingHeartbeats: map[effects.RequestID]chan effects.HeartbeatAnswer{},
		inputs:            make(chan input, inputQueueLength),
		start:             start,
		state:             wire.NewStateClient(cfg.External.State),
		cloud:             wire.NewCloudClient(cfg.External.Cloud),
		workers:           wire.NewWorkerClient(),
		peers:             map[string]*peer{},
		directCalls:       make(chan struct{}, maxDirectCalls),
	}
	for _, p := range cfg.Peers {
		n.peers[p.Node] = &peer{address: p.Endpoint}
	}
	if url := cfg.Tunables.WebhookURL; url != "" {
		n.notifier = webhook.New(url, cfg.WebhookKey, log)
	}
	if rate := cfg.Tunables.AdmissionRate; rate > 0 {
		n.admission = admission.NewController(rate, time.Duration(start.UnixMilli())*time.Millisecond)
	}
	n.snapshot.Store(&leadershipSnapshot{})
	return n
}

// Run serves until the context ends or a listener fails. It stops the goroutines that it started
// and waits for them. The connection goroutines of net/http and net/rpc end by themselves.
func (n *Node) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer stop()
	var servers []*server
	for _, open := range []func() (*server, error){n.openPublic, n.openInternal, n.openOperators} {
		s, err := open()
		if err != nil {
			return err
		}
		if s != nil {
			servers = append(servers, s)
			defer s.close()
		}
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		goroutines.Go(func() { failed <- s.serve() })
		if s.background != nil {
			goroutines.Go(func() { s.background(ctx) })
		}
	}
	if n.notifier != nil {
		goroutines.Go(func() { n.notifier.Run(ctx) })
	}
	goroutines.Go(func() { n.runLoop(ctx) })
	n.log.Info("serving", "node", n.settings.Node, "zone", n.settings.Zone,
		"public", n.settings.PublicAddr, "internal", n.settings.InternalAddr)
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("node: serve HTTP: %w", err)
}
