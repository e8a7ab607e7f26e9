package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync/atomic"
	"time"
)

const (
	peerTimeout     = 1200 * time.Millisecond
	peerDialTimeout = 500 * time.Millisecond
	// rpcConnectedStatus is the HTTP status with which net/rpc accepts a CONNECT request.
	rpcConnectedStatus = "200 Connected to Go RPC"
)

// peer is a client of another controller, which uses one net/rpc connection at a time.
type peer struct {
	address string
	client  atomic.Pointer[rpc.Client] // nil: not connected
}

// limitExceeded reports whether a call took longer than the limit. In a process that was suspended
// and resumed, the answer and the timer become ready together. Such an answer may be as old as the
// suspension was long, and the user may have received a newer one from another controller.
func limitExceeded(began time.Time, limit time.Duration) bool { return time.Since(began) > limit }

// call makes one call with a timeout, which net/rpc does not support. Errors of the remote method
// have the type rpc.ServerError. After any other error the connection is closed, since an answer
// may still be outstanding on it.
func (p *peer) call(ctx context.Context, method string, in, out any) error {
	began := time.Now()
	deadline := time.NewTimer(peerTimeout)
	defer deadline.Stop()
	client, err := p.connect(ctx)
	if err != nil {
		return err
	}
	call := client.Go(method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if err = call.Error; err == nil && limitExceeded(began, peerTimeout) {
			err = fmt.Errorf("node: %s: the answer came too late", p.address)
		}
	case <-deadline.C:
		err = fmt.Errorf("node: %s: no answer in %v", p.address, peerTimeout)
	case <-ctx.Done():
		err = fmt.Errorf("node: %s: %w", p.address, ctx.Err())
	}
	var remote rpc.ServerError
	if err != nil && !errors.As(err, &remote) && p.client.CompareAndSwap(client, nil) {
		_ = client.Close() // fails only if the connection is already closed
	}
	return err
}

// connect returns the connection to the peer, and opens it if there is none. If two goroutines open
// one at the same time, only one is kept.
func (p *peer) connect(ctx context.Context) (*rpc.Client, error) {
	if client := p.client.Load(); client != nil {
		return client, nil
	}
	dialed, err := dialPeer(ctx, p.address)
	if err != nil {
		return nil, err
	}
	if p.client.CompareAndSwap(nil, dialed) {
		return dialed, nil
	}
	_ = dialed.Close() // no call was made on it
	if client := p.client.Load(); client != nil {
		return client, nil
	}
	return nil, errors.New("node: the peer's connection was just lost")
}

// close closes the connection, if there is one.
func (p *peer) close() {
	if client := p.client.Swap(nil); client != nil {
		_ = client.Close() // fails only if the connection is already closed
	}
}

// reachable reports whether the peer answers a probe. An error of the remote side, such as an
// unknown method, is an answer too.
func (p *peer) reachable(ctx context.Context) bool {
	err := p.call(ctx, "Controller.Here", struct{}{}, new(bool))
	var remote rpc.ServerError
	return err == nil || errors.As(err, &remote)
}

// dialPeer opens an RPC connection as rpc.DialHTTPPath does, but with timeouts.
func dialPeer(ctx context.Context, address string) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	interrupt := func() { _ = conn.SetDeadline(time.Now()) } // fails only on a closed connection
	stop := context.AfterFunc(ctx, interrupt)
	defer stop()
	if err := rpcHandshake(conn); err != nil {
		_ = conn.Close() // the error of rpcHandshake is returned instead
		return nil, fmt.Errorf("node: %s: %w", address, err)
	}
	return rpc.NewClient(conn), nil
}

// rpcHandshake sends net/rpc's CONNECT request on a new connection, and checks the answer, within
// peerTimeout. Errors of setting the deadline are ignored, because reads and writes then fail too.
func rpcHandshake(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(peerTimeout))
	if _, err := io.WriteString(conn, "CONNECT "+PathPeers+" HTTP/1.0\n\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if resp.Status != rpcConnectedStatus {
		return errors.New("not a controller: " + resp.Status)
	}
	_ = conn.SetDeadline(time.Time{})
	return nil
}
