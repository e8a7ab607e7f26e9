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
	// peerGreeting is the status line by which net/rpc accepts a CONNECT.
	peerGreeting = "200 Connected to Go RPC"
)

// peer is another controller, called over net/rpc on one connection at a time.
type peer struct {
	address string
	client  atomic.Pointer[rpc.Client] // nil: not connected
}

// exceeded says whether a call has taken longer than it may. A process that was stopped and
// resumed finds its answer and its deadline ready together: the answer may be as old as the
// stop was long, and its user may have been told something newer elsewhere.
func exceeded(began time.Time, limit time.Duration) bool { return time.Since(began) > limit }

// call makes one call with a deadline, which net/rpc itself does not have. Errors of the
// remote method are rpc.ServerError; after any other the connection is closed, since it may
// have missed the deadline.
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
		if err = call.Error; err == nil && exceeded(began, peerTimeout) {
			err = fmt.Errorf("node: %s: the answer came too late", p.address)
		}
	case <-deadline.C:
		err = fmt.Errorf("node: %s: no answer in %v", p.address, peerTimeout)
	case <-ctx.Done():
		err = fmt.Errorf("node: %s: %w", p.address, ctx.Err())
	}
	var remote rpc.ServerError
	if err != nil && !errors.As(err, &remote) && p.client.CompareAndSwap(client, nil) {
		_ = client.Close() // it fails only where the connection is closed already
	}
	return err
}

// connect returns the connection to the peer, opening it if there is none. Of two that are
// opened at once, one is kept.
func (p *peer) connect(ctx context.Context) (*rpc.Client, error) {
	if client := p.client.Load(); client != nil {
		return client, nil
	}
	fresh, err := dialPeer(ctx, p.address)
	if err != nil {
		return nil, err
	}
	if p.client.CompareAndSwap(nil, fresh) {
		return fresh, nil
	}
	_ = fresh.Close() // nothing was sent on it
	if client := p.client.Load(); client != nil {
		return client, nil
	}
	return nil, errors.New("node: the peer's connection was just lost")
}

// close closes the connection, if there is one.
func (p *peer) close() {
	if client := p.client.Swap(nil); client != nil {
		_ = client.Close() // it fails only where the connection is closed already
	}
}

// reachable says whether a peer answers. Whether it knows the method does not matter: an
// error of its own is an answer too.
func (p *peer) reachable(ctx context.Context) bool {
	err := p.call(ctx, "Controller.Here", struct{}{}, new(bool))
	var remote rpc.ServerError
	return err == nil || errors.As(err, &remote)
}

// dialPeer opens a connection for calls, as rpc.DialHTTPPath does, but with deadlines.
func dialPeer(ctx context.Context, address string) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	interrupt := func() { _ = conn.SetDeadline(time.Now()) } // it fails only on a closed connection
	stop := context.AfterFunc(ctx, interrupt)
	defer stop()
	if err := greetPeer(conn); err != nil {
		_ = conn.Close() // the error that counts is the greeting's
		return nil, fmt.Errorf("node: %s: %w", address, err)
	}
	return rpc.NewClient(conn), nil
}

// greetPeer asks for net/rpc on a fresh connection, within peerTimeout. Errors of setting the
// deadline are left to the reads and writes, which fail on such a connection too.
func greetPeer(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(peerTimeout))
	if _, err := io.WriteString(conn, "CONNECT "+PathPeers+" HTTP/1.0\n\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if resp.Status != peerGreeting {
		return errors.New("not a controller: " + resp.Status)
	}
	_ = conn.SetDeadline(time.Time{})
	return nil
}
