// Package webhook sends warnings to a URL set by the operators, as a signed POST of JSON with at-least-once
// delivery. A receiver that refuses, hangs or is unreachable delays nothing else: messages wait in a
// bounded queue and are retried with exponential backoff.
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

// Headers of a message. The signature is "sha256=" followed by the hexadecimal HMAC-SHA256 (RFC 2104),
// under the shared key, of time, id and body joined by dots. A receiver should compare signatures in
// constant time.
const (
	HeaderID        = "X-Bitternmoor-Id"   // the same for repeats: a receiver drops ids it has seen
	HeaderTime      = "X-Bitternmoor-Time" // sent at, in seconds since 1970: a receiver refuses old messages
	HeaderSignature = "X-Bitternmoor-Signature"
)

const (
	maxDiscarded    = 4096 // maximum number of bytes of a response that are read and discarded
	queueLength     = 256
	attemptTimeout  = 5 * time.Second
	initialInterval = 500 * time.Millisecond
	maxInterval     = 2 * time.Minute
	giveUpAfter     = 30 * time.Minute
	logDroppedEvery = 100 // number of dropped messages per log line
)

// Message is one warning.
type Message struct {
	ID   string // the same for repeats
	Body []byte // JSON
}

// Sender sends messages one after the other, in the order of Send.
type Sender struct {
	url    string
	key    []byte
	log    *slog.Logger
	client *http.Client
	queue  chan Message

	dropped int // messages dropped because the queue was full; used only by Send

	// Tests replace these.
	initialInterval time.Duration // initial backoff interval
	now             func() time.Time
}

// New returns a sender that signs with a key. Run must be called to send the messages.
func New(url string, key []byte, log *slog.Logger) *Sender {
	client := &http.Client{
		Timeout: attemptTimeout,
		// Redirects count as refusals: messages go only to the address in the operators' settings.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Sender{
		url: url, key: key, log: log, client: client, queue: make(chan Message, queueLength),
		initialInterval: initialInterval, now: time.Now,
	}
}

// Send queues a message without blocking. If the queue is full, the message is dropped and the drop is
// logged; the warning itself is still in the log and on the leader. Only one goroutine may call Send at a
// time.
func (s *Sender) Send(m Message) {
	select {
	case s.queue <- m:
	default:
		if s.dropped%logDroppedEvery == 0 {
			s.log.Warn("webhook queue full, message dropped", "id", m.ID, "dropped", s.dropped+1)
		}
		s.dropped++
	}
}

// Run sends queued messages until the context ends.
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

// warnAfter is the number of the attempt whose failure is logged as a warning.
const warnAfter = 3

// errRefused is the error for a response with a status other than success.
var errRefused = errors.New("refused")

// deliver sends a message until it is accepted or permanently refused, giveUpAfter has passed, or the
// context ends.
func (s *Sender) deliver(ctx context.Context, m Message) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = s.initialInterval, maxInterval
	attempts := 0
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		attempts++
		err := s.attempt(ctx, m)
		if err != nil && attempts == warnAfter {
			s.log.Warn("webhook delivery failed, retrying", "id", m.ID, "error", err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(giveUpAfter))
	switch {
	case err == nil:
		s.log.Debug("webhook delivered", "id", m.ID, "tries", attempts)
	case ctx.Err() != nil:
	default:
		s.log.Error("webhook delivery abandoned", "id", m.ID, "tries", attempts, "error", err)
	}
}

// attempt sends a message once. It returns a permanent error if a retry cannot succeed.
func (s *Sender) attempt(ctx context.Context, m Message) error {
	sentAt := strconv.FormatInt(s.now().Unix(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(m.Body))
	if err != nil {
		return backoff.Permanent(fmt.Errorf("webhook: %w", err))
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderID, m.ID)
	req.Header.Set(HeaderTime, sentAt)
	req.Header.Set(HeaderSignature, Sign(s.key, sentAt, m))
	resp, err := s.client.Do(req)
	if err != nil {
		return fmt.Errorf("webhook: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // the content of the body is not used
	// The body is read so that the connection can be reused; after a read error it is just not reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscarded))
	return checkResponse(resp)
}

// checkResponse returns nil for an accepted message. Otherwise it returns an error, which is permanent if a
// retry cannot succeed, and which may carry the delay that the receiver asks for.
func checkResponse(resp *http.Response) error {
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return nil
	}
	refused := fmt.Errorf("webhook: %w with status %d", errRefused, resp.StatusCode)
	if !isTemporary(resp.StatusCode) {
		return backoff.Permanent(refused)
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err == nil && seconds > 0 && seconds <= int(maxInterval.Seconds()) {
		return backoff.RetryAfter(seconds)
	}
	return refused
}

// isTemporary reports whether a message that was refused with this status may be accepted later.
func isTemporary(status int) bool {
	return status >= 500 || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// Sign returns the signature of a message; sentAt is the value of HeaderTime.
func Sign(key []byte, sentAt string, m Message) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(sentAt + "." + m.ID + "."))
	mac.Write(m.Body)
	return "sha256=" + hex.EncodeToString(mac.Sum(nil))
}
