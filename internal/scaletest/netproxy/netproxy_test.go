package netproxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"bitternmoor/internal/scaletest/traffic"
)

// TestProxyHoldsBackAndCounts checks that data sent during a partition arrives after its end, and
// that all of it is counted.
func TestProxyHoldsBackAndCounts(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // this only ends the test's accept loop
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	var traffic traffic.Meter
	p, err := New(l.Addr().String(), time.Millisecond, &traffic)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c, err := net.Dial("tcp4", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }() // all data was read before
	lines := bufio.NewReader(c)
	send := func(s string) {
		t.Helper()
		if _, err := io.WriteString(c, s); err != nil {
			t.Fatal(err)
		}
	}
	receive := func(within time.Duration) (string, error) {
		_ = c.SetReadDeadline(time.Now().Add(within))
		return lines.ReadString('\n')
	}
	send("one\n")
	if s, err := receive(20 * time.Second); s != "one\n" {
		t.Fatalf("%q %v", s, err)
	}
	p.SetPartitioned(true)
	send("two\n")
	if s, err := receive(200 * time.Millisecond); err == nil {
		t.Errorf("%q was forwarded during a partition", s)
	}
	p.SetPartitioned(false)
	if s, err := receive(20 * time.Second); s != "two\n" {
		t.Errorf("%q %v", s, err)
	}
	if n := traffic.Read(); n.In != 8 || n.Out != 8 || n.Messages != 2 {
		t.Errorf("%+v", n)
	}
}
