package node

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
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

// server is an HTTP server with its open listener.
type server struct {
	http       *http.Server
	listener   net.Listener
	background func(context.Context) // runs beside the server until the context ends; nil: nothing
}

// serve serves until close, over TLS where the server has a configuration of it.
func (s *server) serve() error {
	if s.http.TLSConfig != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

// close ends the server and its connections.
func (s *server) close() {
	_ = s.http.Close()     // what fails to close is closed by its client
	_ = s.listener.Close() // an error where the server has closed it already
}

// openPublic opens the server of users, the load balancer and workers.
func (n *Node) openPublic() (*server, error) {
	listener, err := net.Listen("tcp4", n.settings.PublicAddr)
	if err != nil {
		return nil, fmt.Errorf("node: public_addr: %w", err)
	}
	// File descriptors are few: some are kept for the calls this controller makes itself.
	connections := max(minPublicConnections, n.settings.Deployment.MachineLimits.FDLimit-reservedSockets)
	return &server{
		http:     n.newServer(n.publicHandler()),
		listener: netutil.LimitListener(listener, connections),
	}, nil
}

// openInternal opens the server of peers and of operators on the machine. It has no read and
// write timeouts: peers' RPC connections stay open.
func (n *Node) openInternal() (*server, error) {
	handler, err := n.internalHandler()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", n.settings.InternalAddr)
	if err != nil {
		return nil, fmt.Errorf("node: internal_addr: %w", err)
	}
	return &server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          n.serverLog(),
		},
		listener: netutil.LimitListener(listener, maxInternalConnections),
	}, nil
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

// serverLog logs what net/http complains of at debug level: most of it is clients that went.
func (n *Node) serverLog() *log.Logger {
	return slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)
}
