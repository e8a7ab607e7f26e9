// Package traffic counts the bytes and messages that cross connections.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter adds up what crosses connections, as seen from this end. The zero value is ready.
type Meter struct{ in, out, messages atomic.Uint64 }

// Count is a reading of Traffic.
type Count struct {
	In       uint64 `json:"bytes_in"`
	Out      uint64 `json:"bytes_out"`
	Messages uint64 `json:"messages"` // requests, each with its answer
}

// Minus is what has come since an earlier reading.
func (c Count) Minus(earlier Count) Count {
	return Count{c.In - earlier.In, c.Out - earlier.Out, c.Messages - earlier.Messages}
}

// Plus adds two readings up.
func (c Count) Plus(other Count) Count {
	return Count{c.In + other.In, c.Out + other.Out, c.Messages + other.Messages}
}

// Read gives what has been counted so far.
func (t *Meter) Read() Count { return Count{t.in.Load(), t.out.Load(), t.messages.Load()} }

// Message counts one request with its answer.
func (t *Meter) Message() { t.messages.Add(1) }

// In counts bytes that were received.
func (t *Meter) In(n int) { t.in.Add(uint64(n)) }

// Out counts bytes that were sent.
func (t *Meter) Out(n int) { t.out.Add(uint64(n)) }

// Conn counts what crosses a connection.
func (t *Meter) Conn(c net.Conn) net.Conn { return &conn{c, t} }

// DialContext dials like a net.Dialer, and counts what crosses the connections it makes.
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
