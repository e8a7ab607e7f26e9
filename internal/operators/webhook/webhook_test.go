package webhook

import (
	"bytes"
	"context"
	"crypto/hmac"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// receiver is a test receiver whose respond function can refuse messages or delay responses.
type receiver struct {
	mu                sync.Mutex
	key               []byte
	received          map[string]int
	calls             int
	respond           func(call int, w http.ResponseWriter) bool // returns false if the message is not to be recorded
	invalidSignatures int
}

func (r *receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	m := Message{ID: req.Header.Get(HeaderID), Body: body}
	r.mu.Lock()
	r.calls++
	call := r.calls
	if !verify(r.key, req.Header.Get(HeaderTime), req.Header.Get(HeaderSignature), m) {
		r.invalidSignatures++
	}
	respond := r.respond
	r.mu.Unlock()
	if respond != nil && !respond(call, w) {
		return
	}
	r.mu.Lock()
	r.received[m.ID]++
	r.mu.Unlock()
}

func (r *receiver) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received[id] > 0
}

func startReceiver(t *testing.T, addr string, r *receiver) (*http.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: r}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return srv, l.Addr().String()
}

func startSender(t *testing.T, addr string, key []byte) *Sender {
	t.Helper()
	s := New("http://"+addr+"/hook", key, slog.New(slog.DiscardHandler))
	s.initialInterval = 5 * time.Millisecond
	s.client.Timeout = 100 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// TestAtLeastOnce checks that every message arrives, signed, at least once, although the receiver refuses,
// hangs, responds late, asks for a later retry and is restarted.
func TestAtLeastOnce(t *testing.T) {
	key := []byte("0123456789abcdef")
	r := &receiver{key: key, received: map[string]int{}}
	r.respond = func(call int, w http.ResponseWriter) bool {
		switch call {
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
			return false
		case 2:
			time.Sleep(250 * time.Millisecond) // longer than the sender's timeout
			return false
		case 3:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
			return false
		case 5:
			time.Sleep(250 * time.Millisecond) // the message is accepted, but the response is too late
		}
		return true
	}
	srv, addr := startReceiver(t, "127.0.0.1:0", r)
	s := startSender(t, addr, key)
	for n := range 20 {
		s.Send(Message{ID: fmt.Sprint("m", n), Body: []byte(`{"late":true}`)})
	}
	eventually(t, "the first few arrive", func() bool { return r.has("m5") })
	_ = srv.Close()
	time.Sleep(30 * time.Millisecond)
	startReceiver(t, addr, r)
	for n := range 20 {
		eventually(t, fmt.Sprintf("m%d arrives", n), func() bool { return r.has(fmt.Sprint("m", n)) })
	}
	if r.invalidSignatures > 0 {
		t.Errorf("%d signatures were invalid", r.invalidSignatures)
	}
}

// TestSendDoesNotBlock checks that Send does not block, and that messages are dropped and logged once the
// queue is full.
func TestSendDoesNotBlock(t *testing.T) {
	hang := func(int, http.ResponseWriter) bool {
		time.Sleep(20 * time.Second)
		return false
	}
	r := &receiver{received: map[string]int{}, respond: hang}
	_, addr := startReceiver(t, "127.0.0.1:0", r)
	var out bytes.Buffer
	s := New("http://"+addr, nil, slog.New(slog.NewTextHandler(&out, nil)))
	for n := range queueLength + 150 {
		s.Send(Message{ID: fmt.Sprint(n)})
	}
	if s.dropped != 150 || strings.Count(out.String(), "queue full") != 2 {
		t.Errorf("%d dropped, logged:\n%s", s.dropped, out.String())
	}
}

// TestPermanentRefusal checks that a permanently refused message is not retried and does not hold up the
// next one.
func TestPermanentRefusal(t *testing.T) {
	r := &receiver{received: map[string]int{}}
	r.respond = func(call int, w http.ResponseWriter) bool {
		if call == 1 {
			w.WriteHeader(http.StatusNotFound)
			return false
		}
		return true
	}
	_, addr := startReceiver(t, "127.0.0.1:0", r)
	s := startSender(t, addr, nil)
	s.Send(Message{ID: "bad"})
	s.Send(Message{ID: "good"})
	eventually(t, "the next one arrives", func() bool { return r.has("good") })
	if r.has("bad") || r.calls != 2 {
		t.Errorf("%d calls", r.calls)
	}
}

// verify checks the signature of a message in constant time, as a receiver does.
func verify(key []byte, sentAt, signature string, m Message) bool {
	return hmac.Equal([]byte(Sign(key, sentAt, m)), []byte(signature))
}

// TestSignature checks that a signature is valid only for its key, time and message.
func TestSignature(t *testing.T) {
	m := Message{ID: "id", Body: []byte("body")}
	signature := Sign([]byte("key"), "7", m)
	for _, c := range []struct {
		name, key, sentAt string
		message           Message
		right             bool
	}{
		{"as it was signed", "key", "7", m, true},
		{"another key", "other", "7", m, false},
		{"another time", "key", "8", m, false},
		{"another body", "key", "7", Message{ID: "id", Body: []byte("bodi")}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := verify([]byte(c.key), c.sentAt, signature, c.message); got != c.right {
				t.Errorf("verified: %v, want %v", got, c.right)
			}
		})
	}
}
