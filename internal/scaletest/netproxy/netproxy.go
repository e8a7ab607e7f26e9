// Package netproxy forwards TCP connections to one address: late by a set time, counted, and
// held up while the network between the two ends is cut.
package netproxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"bitternmoor/internal/scaletest/traffic"
)

const (
	chunkBytes  = 16 << 10
	chunksAhead = 64 // on their way in one direction of a connection
	dialTimeout = time.Second
)

// Proxy forwards the connections that are made to its address.
type Proxy struct {
	target   string
	latency  time.Duration // one way
	traffic  *traffic.Meter
	listener net.Listener

	mu     sync.Mutex
	healed chan struct{} // nil: not cut; otherwise closed at the end of the cut
	closed chan struct{}
	conns  map[net.Conn]bool
}

// New forwards connections to a target. Traffic counts what the connecting side receives and
// sends; each of its writes counts as a message.
func New(target string, latency time.Duration, traffic *traffic.Meter) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("netproxy: %w", err)
	}
	p := &Proxy{target: target, latency: latency, traffic: traffic, listener: l, closed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Cut begins or ends a cut: meanwhile nothing gets through, and what was sent arrives afterwards.
func (p *Proxy) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case cut && p.healed == nil:
		p.healed = make(chan struct{})
	case !cut && p.healed != nil:
		close(p.healed)
		p.healed = nil
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		return
	default:
	}
	close(p.closed)
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.track(c) {
			go p.forward(c)
		}
	}
}

// track notes a connection; false says that the proxy is closed.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		_ = c.Close()
		return false
	default:
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// passable waits until nothing is cut; false says that the proxy is closed.
func (p *Proxy) passable() bool {
	for {
		p.mu.Lock()
		healed := p.healed
		p.mu.Unlock()
		if healed == nil {
			return true
		}
		select {
		case <-healed:
		case <-p.closed:
			return false
		}
	}
}

func (p *Proxy) forward(from net.Conn) {
	defer p.forget(from)
	if !p.passable() {
		return
	}
	to, err := net.DialTimeout("tcp4", p.target, dialTimeout)
	if err != nil || !p.track(to) {
		return
	}
	defer p.forget(to)
	var both sync.WaitGroup
	both.Go(func() {
		p.copyDelayed(from, to, func(n int) {
			p.traffic.Out(n)
			p.traffic.Message()
		})
	})
	both.Go(func() { p.copyDelayed(to, from, p.traffic.In) })
	both.Wait()
}

// chunk is what was read at once, and when it is due at the other end.
type chunk struct {
	data []byte
	due  time.Time
}

// copyDelayed forwards one direction until either end is closed, and then closes both.
func (p *Proxy) copyDelayed(from io.ReadCloser, to io.WriteCloser, count func(int)) {
	ahead := make(chan chunk, chunksAhead)
	go func() {
		defer close(ahead)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				count(n)
				ahead <- chunk{buf[:n], time.Now().Add(p.latency)}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for c := range ahead {
		if broken {
			continue // the reader is not left waiting for room
		}
		time.Sleep(time.Until(c.due))
		if !p.passable() {
			broken = true
		} else if _, err := to.Write(c.data); err != nil {
			broken = true
		}
		if broken {
			_ = from.Close()
		}
	}
	_ = to.Close()
}
