// Package netproxy forwards TCP connections to one address. It adds a fixed delay, counts the
// traffic, and holds data back while a simulated network partition separates the two ends.
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
	chunkBytes     = 16 << 10
	chunksInFlight = 64 // maximum number in flight in one direction of a connection
	dialTimeout    = time.Second
)

// Proxy forwards the connections made to its address to a target.
type Proxy struct {
	target   string
	latency  time.Duration // one way
	traffic  *traffic.Meter
	listener net.Listener

	mu           sync.Mutex
	partitionEnd chan struct{} // nil: no partition; otherwise closed when the partition ends
	closed       chan struct{}
	conns        map[net.Conn]bool
}

// New starts a proxy that forwards connections to a target. The meter counts what the connecting
// side receives and sends; each chunk read from that side counts as a message.
func New(target string, latency time.Duration, traffic *traffic.Meter) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("netproxy: %w", err)
	}
	p := &Proxy{target: target, latency: latency, traffic: traffic, listener: l, closed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetPartitioned begins or ends a partition. During a partition no data is forwarded; data sent
// meanwhile arrives after its end.
func (p *Proxy) SetPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case partitioned && p.partitionEnd == nil:
		p.partitionEnd = make(chan struct{})
	case !partitioned && p.partitionEnd != nil:
		close(p.partitionEnd)
		p.partitionEnd = nil
	}
}

// Close closes the listener and all connections of the proxy.
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

// track registers a connection. It closes the connection and returns false if the proxy is closed.
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

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// waitConnected waits until there is no partition. It returns false if the proxy is closed.
func (p *Proxy) waitConnected() bool {
	for {
		p.mu.Lock()
		end := p.partitionEnd
		p.mu.Unlock()
		if end == nil {
			return true
		}
		select {
		case <-end:
		case <-p.closed:
			return false
		}
	}
}

func (p *Proxy) forward(from net.Conn) {
	defer p.untrack(from)
	if !p.waitConnected() {
		return
	}
	to, err := net.DialTimeout("tcp4", p.target, dialTimeout)
	if err != nil || !p.track(to) {
		return
	}
	defer p.untrack(to)
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

// chunk is the data of one read, and the time at which it is due at the other end.
type chunk struct {
	data []byte
	due  time.Time
}

// copyDelayed forwards one direction with the proxy's delay until reading or writing fails, then closes
// the destination. If writing failed, it also closes the source.
func (p *Proxy) copyDelayed(from io.ReadCloser, to io.WriteCloser, count func(int)) {
	pending := make(chan chunk, chunksInFlight)
	go func() {
		defer close(pending)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				count(n)
				pending <- chunk{buf[:n], time.Now().Add(p.latency)}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for c := range pending {
		if broken {
			continue // drain the channel so that the reading goroutine does not block
		}
		time.Sleep(time.Until(c.due))
		if !p.waitConnected() {
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
