// Package webhook tells an address of the operators' what they should know: a POST
// of JSON, signed, at least once. A receiver that refuses, hangs or is away costs
// nobody else anything: messages wait in a bounded queue and are tried again ever
// more slowly.
package webhook

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Headers of a message. The signature is "sha256=" and, in hexadecimal digits, the
// HMAC-SHA256 (RFC 2104) with the shared key of time, id and body, joined by dots.
const (
	HeaderID        = "X-Bitternmoor-Id"   // the same for repeats: drop what you have seen
	HeaderTime      = "X-Bitternmoor-Time" // when it was sent, seconds since 1970: refuse what is old
	HeaderSignature = "X-Bitternmoor-Signature"
)

const (
	queueLength     = 256
	attemptTimeout  = 5 * time.Second
	initialInterval = 500 * time.Millisecond
	maxInterval     = 2 * time.Minute
	giveUpAfter     = 30 * time.Minute
	logDroppedEvery = 100 // messages that found the queue full
)

// Message is one thing to be told.
type Message struct {
	ID   string
	Body []byte // JSON
}

// Sender sends messages one after the other.
type Sender struct {
	url             string
	key             []byte
	log             *slog.Logger
	client          *http.Client
	queue           chan Message
	dropped         int
	initialInterval time.Duration
	now             func() time.Time
}

// New makes a sender; Run sends.
func New(url string, key []byte, log *slog.Logger) *Sender {
	return &Sender{url: url, key: key, log: log, client: &http.Client{Timeout: attemptTimeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
		queue: make(chan Message, queueLength), initialInterval: initialInterval, now: time.Now}
}

// Send queues a message, and never waits. One that finds the queue full is dropped
// and said so: the warning itself stands in the log and on the leader.
func (s *Sender) Send(m Message) {
	select {
	case s.queue <- m:
	default:
		if s.dropped%logDroppedEvery == 0 {
			s.log.Warn("the webhook's queue is full: messages are dropped", "id", m.ID, "dropped", s.dropped+1)
		}
		s.dropped++
	}
}

// Run sends until the context ends.
func (s *Sender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			s.deliver(ctx, m)
		}
	}
}

var errRefused = errors.New("refused")

func (s *Sender) deliver(ctx context.Context, m Message) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = s.initialInterval, maxInterval
	tries := 0
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		tries++
		err := s.attempt(ctx, m)
		if err != nil && tries == 3 {
			s.log.Warn("the webhook does not take a message: it is tried again", "id", m.ID, "error", err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(giveUpAfter))
	switch {
	case err == nil:
		s.log.Debug("webhook told", "id", m.ID, "tries", tries)
	case ctx.Err() != nil:
	default:
		s.log.Error("a message to the webhook is given up", "id", m.ID, "tries", tries, "error", err)
	}
}

// attempt sends a message once.
func (s *Sender) attempt(ctx context.Context, m Message) error {
	at := strconv.FormatInt(s.now().Unix(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(m.Body))
	if err != nil {
		return backoff.Permanent(fmt.Errorf("webhook: %w", err))
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderID, m.ID)
	req.Header.Set(HeaderTime, at)
	req.Header.Set(HeaderSignature, Sign(s.key, at, m))
	resp, err := s.client.Do(req)
	if err != nil {
		return fmt.Errorf("webhook: %w", err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096)) // so that the connection can be used again
	switch {
	case resp.StatusCode >= 200 && resp.StatusCode < 300:
		return nil
	case resp.StatusCode >= 500, resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusRequestTimeout:
		if secs, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && secs > 0 && secs <= int(maxInterval.Seconds()) {
			return backoff.RetryAfter(secs)
		}
		return fmt.Errorf("webhook: %w with %d", errRefused, resp.StatusCode)
	}
	return backoff.Permanent(fmt.Errorf("webhook: %w with %d", errRefused, resp.StatusCode))
}

// Sign is the signature of a message sent at a time.
func Sign(key []byte, at string, m Message) string {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(at + "." + m.ID + "."))
	h.Write(m.Body)
	return "sha256=" + hex.EncodeToString(h.Sum(nil))
}

// Verify says whether a signature is that of a message, without telling by its
// time how much of it is right.
func Verify(key []byte, at, signature string, m Message) bool {
	return hmac.Equal([]byte(Sign(key, at, m)), []byte(signature))
}
