package node

import (
	"context"
	"fmt"
	"net"

	"golang.org/x/net/netutil"

	"bitternmoor/internal/operators/certs"
	"bitternmoor/internal/operators/control"
)

// maxOperatorConnections bounds the connections of the operators' listener.
const maxOperatorConnections = 16

// serveOperators serves those who may change something, over TLS with client certificates,
// until the returned function is called. It does nothing where no listener is configured.
func (n *Node) serveOperators(ctx context.Context, failed chan<- error) (closeServer func(), err error) {
	access := n.settings.Tunables.Operators()
	if access.Listen == "" {
		return func() {}, nil
	}
	files := certs.Files{Cert: access.CertFile, Key: access.KeyFile, CA: access.CAFile}
	store, err := certs.NewStore(files, n.log)
	if err != nil {
		return nil, fmt.Errorf("node: operators: %w", err)
	}
	listener, err := net.Listen("tcp4", access.Listen)
	if err != nil {
		return nil, fmt.Errorf("node: operators.listen: %w", err)
	}
	go store.Watch(ctx)
	roles := control.Roles{
		Read:     access.Read,
		Operate:  access.Operate,
		Admin:    access.Admin,
		Operable: certificateOnly,
	}
	server := n.newServer(control.Handler(n, roles))
	server.TLSConfig = store.Server()
	go func() { failed <- server.ServeTLS(netutil.LimitListener(listener, maxOperatorConnections), "", "") }()
	n.log.Info("operators may change things", "listen", listener.Addr().String())
	return func() { _ = server.Close() }, nil // the process is ending
}
