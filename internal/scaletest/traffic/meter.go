// Package traffic counts the bytes and messages that cross connections.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts the traffic of connections, as seen from this end. The zero value is ready to use.
type Meter struct{ in, out, messages atomic.Uint64 }

// Count is a reading of a Meter.
type Count struct {
	In       uint64 `json:"bytes_in"`
	Out      uint64 `json:"bytes_out"`
	Messages uint64 `json:"messages"` // a request and its answer count as one; through package netproxy, each chunk read
}

// Minus returns the traffic since an earlier reading.
func (c Count) Minus(earlier Count) Count {
	return Count{c.In - earlier.In, c.Out - earlier.Out, c.Messages - earlier.Messages}
}

// Plus returns the sum of two readings.
func (c Count) Plus(other Count) Count {
	return Count{c.In + other.In, c.Out + other.Out, c.Messages + other.Messages}
}

// Read returns the counts so far.
func (t *Meter) Read() Count { return Count{t.in.Load(), t.out.Load(), t.messages.Load()} }

// Message counts one request and its answer as one message.
func (t *Meter) Message() { t.messages.Add(1) }

// In counts received bytes.
func (t *Meter) In(n int) { t.in.Add(uint64(n)) }

// Out counts sent bytes.
func (t *Meter) Out(n int) { t.out.Add(uint64(n)) }

// Conn returns a connection that counts the bytes read and written.
func (t *Meter) Conn(c net.Conn) net.Conn { return &conn{c, t} }

// DialContext returns a dial function like that of a net.Dialer whose connections are counted.
func (t *Meter) DialContext(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return t.Conn(c), nil
	}
}

type conn struct {
	net.Conn
	t *Meter
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.In(n)
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.Out(n)
	return n, err
}
