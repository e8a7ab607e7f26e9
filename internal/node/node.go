// Package node assembles one controller: Core, a state machine without clock, socket or
// goroutine, made of leadership election, the leader's term and the shards this node holds;
// Node, the one loop that feeds inputs to the core and executes the effects it emits; and the
// adapters around them (user API, peers' RPC, operators' listeners, state service, cloud).
package node

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"bitternmoor/internal/core/admission"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/operators/webhook"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 8 << 10

	maxInternalConnections = 32
	minPublicConnections   = 16
	// reservedSockets are kept of the process's file descriptors for peers, the state service,
	// the cloud and workers.
	reservedSockets = 80
)

// Bounds of queues.
const (
	inputQueueLength = 512
	maxDirectCalls   = 8
)

// Node runs one controller.
type Node struct {
	settings *settings.Settings
	log      *slog.Logger

	// The core and what only the loop touches.
	core              *Core
	lastRequestID     effects.RequestID
	pendingUsers      map[effects.RequestID]chan effects.Answer
	pendingHeartbeats map[effects.RequestID]chan effects.HeartbeatAnswer

	// How other goroutines reach the loop, and what they may read of its state.
	inputs   chan input
	start    time.Time // the core's time 0
	snapshot atomic.Pointer[leadershipSnapshot]

	// Whom this controller calls.
	state       *wire.StateClient
	cloud       *wire.CloudClient
	workers     *wire.WorkerClient
	peers       map[string]*peer
	notifier    *webhook.Sender // nil: operators are notified by logs alone
	directCalls chan struct{}   // a semaphore: SendStops calls under way

	receiptKeys     receiptKeyCache
	refusedMessages atomic.Uint64 // messages of other controllers that failed validation

	admissionMu sync.Mutex            // guards the state of admission, not the pointer
	admission   *admission.Controller // nil: no rate limit
}

// New makes a controller. It opens no socket: Run does.
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
	failed := make(chan error, 3)
	publicServer := n.newServer(n.publicHandler())
	go func() { failed <- publicServer.Serve(netutil.LimitListener(public, n.maxPublicConnections())) }()
	internalServer, err := n.internalServer()
	if err != nil {
		return err
	}
	go func() { failed <- internalServer.Serve(netutil.LimitListener(internal, maxInternalConnections)) }()
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
	n.log.Info("serving", "node", n.settings.Node, "zone", n.settings.Zone,
		"public", n.settings.PublicAddr, "internal", n.settings.InternalAddr)
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	_ = publicServer.Close()
	_ = internalServer.Close()
	if ctx.Err() != nil {
		<-done
		return nil
	}
	return fmt.Errorf("node: serving: %w", err)
}

// maxPublicConnections leaves file descriptors for the calls this controller makes itself.
func (n *Node) maxPublicConnections() int {
	return max(minPublicConnections, n.settings.Deployment.MachineLimits.FDLimit-reservedSockets)
}

// newServer has the timeouts and bounds of a server whose requests are short.
func (n *Node) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.serverLog(),
	}
}

// internalServer has no read and write timeouts: peers' RPC connections stay open.
func (n *Node) internalServer() (*http.Server, error) {
	handler, err := n.internalHandler()
	if err != nil {
		return nil, err
	}
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.serverLog(),
	}, nil
}

// serverLog logs what net/http complains of at debug level: most of it is clients that went.
func (n *Node) serverLog() *log.Logger {
	return slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)
}
