package node

import (
	"fmt"
	"net"

	"golang.org/x/net/netutil"

	"bitternmoor/internal/operators/certs"
	"bitternmoor/internal/operators/control"
)

// maxOperatorConnections limits the open connections of the operators' listener.
const maxOperatorConnections = 16

// openOperators opens the operators' server, which uses TLS with client certificates. It returns
// nil if none is configured.
func (n *Node) openOperators() (*server, error) {
	access := n.settings.Tunables.Operators()
	if access.Listen == "" {
		return nil, nil
	}
	files := certs.Files{Cert: access.CertFile, Key: access.KeyFile, CA: access.CAFile}
	store, err := certs.NewStore(files, n.log)
	if err != nil {
		return nil, fmt.Errorf("node: read the operators' certificates: %w", err)
	}
	listener, err := net.Listen("tcp4", access.Listen)
	if err != nil {
		return nil, fmt.Errorf("node: listen on operators.listen: %w", err)
	}
	roles := control.Roles{
		Read:     access.Read,
		Operate:  access.Operate,
		Admin:    access.Admin,
		Operable: certificateOnlyComponents,
	}
	httpServer := n.newServer(control.Handler(n, roles))
	httpServer.TLSConfig = store.Server()
	n.log.Info("operators' listener serving", "listen", listener.Addr().String())
	return &server{
		http:       httpServer,
		listener:   netutil.LimitListener(listener, maxOperatorConnections),
		background: store.Watch,
	}, nil
}
