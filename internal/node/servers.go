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
	// reservedFDs is the number of file descriptors reserved for connections to and from
	// peers and to the state service, the cloud and workers.
	reservedFDs = 80
)

// server is an HTTP server and its open listener.
type server struct {
	http       *http.Server
	listener   net.Listener
	background func(context.Context) // runs alongside the server until the context ends; may be nil
}

// serve serves until close is called, over TLS if the server has a TLS configuration.
func (s *server) serve() error {
	if s.http.TLSConfig != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

// close closes the server, its listener and its connections.
func (s *server) close() {
	_ = s.http.Close()     // clients close connections that could not be closed here
	_ = s.listener.Close() // fails if the server has already closed it
}

// openPublic opens the server for users, the load balancer and workers.
func (n *Node) openPublic() (*server, error) {
	listener, err := net.Listen("tcp4", n.settings.PublicAddr)
	if err != nil {
		return nil, fmt.Errorf("node: listen on public_addr: %w", err)
	}
	// File descriptors are limited, and some are reserved for the controller's other connections.
	connections := max(minPublicConnections, n.settings.Deployment.MachineLimits.FDLimit-reservedFDs)
	return &server{
		http:     n.newServer(n.publicHandler()),
		listener: netutil.LimitListener(listener, connections),
	}, nil
}

// openInternal opens the server for peers and for operators on the same host. It has no read and
// write timeouts, because peers' RPC connections stay open.
func (n *Node) openInternal() (*server, error) {
	handler, err := n.internalHandler()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", n.settings.InternalAddr)
	if err != nil {
		return nil, fmt.Errorf("node: listen on internal_addr: %w", err)
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

// newServer makes an HTTP server with timeouts and limits for short requests.
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

// serverLog logs net/http's errors at debug level: most come from clients that disconnected.
func (n *Node) serverLog() *log.Logger {
	return slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)
}
