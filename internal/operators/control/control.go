// Package control is the operators' service: they look into duties of the leader and
// change something, over Connect RPC with certificates on both sides. Each change
// carries an id, so that a call can be made again when its answer was lost.
package control

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
)

// Procedures of the service.
const (
	procedureShow   = "/bitternmoor.v1.Control/Show"
	procedureChange = "/bitternmoor.v1.Control/Change"
)

const (
	maxBody     = 16 << 20 // of a message, in bytes
	callTimeout = 10 * time.Second
)

// ShowRequest names a duty, or NAME/VIEW.
type ShowRequest struct {
	What string `json:"what"`
}

// ChangeRequest is what a duty is asked to change.
type ChangeRequest struct {
	Duty string          `json:"duty"`
	Body json.RawMessage `json:"body"`
}

// Page is an answer.
type Page struct {
	Body json.RawMessage `json:"body"`
}

// Errors that a backend tells apart.
var (
	ErrUnknown = errors.New("no such duty, or it is switched off")
	ErrRefused = errors.New("refused") // wrapped by what a duty says
)

// Backend is what the service asks: this controller, and through it the leader.
type Backend interface {
	ShowDuty(what string) (json.RawMessage, error)
	ChangeDuty(by, duty string, body json.RawMessage) (json.RawMessage, error)
}

// Roles say which names of certificates may do what: Read look, Operate change the
// duties of Operable too, Admin everything.
type Roles struct {
	Read, Operate, Admin []string
	Operable             []string
}

func (r *Roles) permits(name, duty string, change bool) bool {
	switch {
	case name == "":
		return false
	case slices.Contains(r.Admin, name):
		return true
	case slices.Contains(r.Operate, name):
		return !change || slices.Contains(r.Operable, duty)
	}
	return !change && slices.Contains(r.Read, name)
}

type callerKey struct{}

// Handler serves the service. It must be behind TLS that verifies callers.
func Handler(b Backend, roles Roles) http.Handler {
	opts := []connect.HandlerOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxBody)}
	mux := http.NewServeMux()
	mux.Handle(procedureShow, connect.NewUnaryHandler(procedureShow, func(ctx context.Context, r *connect.Request[ShowRequest]) (*connect.Response[Page], error) {
		return serve(ctx, &roles, r.Msg.What, false, func(string) (json.RawMessage, error) { return b.ShowDuty(r.Msg.What) })
	}, opts...))
	mux.Handle(procedureChange, connect.NewUnaryHandler(procedureChange, func(ctx context.Context, r *connect.Request[ChangeRequest]) (*connect.Response[Page], error) {
		return serve(ctx, &roles, r.Msg.Duty, true, func(by string) (json.RawMessage, error) { return b.ChangeDuty(by, r.Msg.Duty, r.Msg.Body) })
	}, opts...))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := ""
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			name = r.TLS.VerifiedChains[0][0].Subject.CommonName
		}
		mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, name)))
	})
}

func serve(ctx context.Context, roles *Roles, duty string, change bool, f func(by string) (json.RawMessage, error)) (*connect.Response[Page], error) {
	name, _ := ctx.Value(callerKey{}).(string)
	if !roles.permits(name, duty, change) {
		return nil, connect.NewError(connect.CodePermissionDenied, fmt.Errorf("%q has no role that may do this", name))
	}
	raw, err := f(name)
	switch {
	case errors.Is(err, ErrUnknown):
		return nil, connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, ErrRefused):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&Page{Body: raw}), nil
}

// Client calls the service.
type Client struct {
	http   *http.Client
	show   *connect.Client[ShowRequest, Page]
	change *connect.Client[ChangeRequest, Page]
}

// NewClient makes a client of a controller's listener, host:port.
func NewClient(addr string, conf *tls.Config) *Client {
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: conf, ForceAttemptHTTP2: true, TLSHandshakeTimeout: 5 * time.Second}}
	opts := []connect.ClientOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxBody)}
	return &Client{h, connect.NewClient[ShowRequest, Page](h, "https://"+addr+procedureShow, opts...), connect.NewClient[ChangeRequest, Page](h, "https://"+addr+procedureChange, opts...)}
}

// Close ends the connections that the client has kept.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// retries of a call that was not answered, or by a controller that cannot tell now.
const (
	maxAttempts   = 8
	retryInterval = 400 * time.Millisecond
)

// Show looks into a duty.
func (c *Client) Show(ctx context.Context, what string) (json.RawMessage, error) {
	return callWithRetry(ctx, func(ctx context.Context) (*connect.Response[Page], error) {
		return c.show.CallUnary(ctx, connect.NewRequest(&ShowRequest{what}))
	})
}

// Change has a duty change something. The body must carry an id by which the duty
// knows a repeat: it is sent again where an answer is lost.
func (c *Client) Change(ctx context.Context, duty string, body json.RawMessage) (json.RawMessage, error) {
	return callWithRetry(ctx, func(ctx context.Context) (*connect.Response[Page], error) {
		return c.change.CallUnary(ctx, connect.NewRequest(&ChangeRequest{duty, body}))
	})
}

func callWithRetry(ctx context.Context, call func(context.Context) (*connect.Response[Page], error)) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for try := 1; ; try++ {
		resp, err := call(ctx)
		if err == nil {
			return resp.Msg.Body, nil
		}
		if connect.CodeOf(err) == connect.CodeNotFound {
			return nil, fmt.Errorf("control: %w", ErrUnknown)
		}
		if try == maxAttempts || connect.CodeOf(err) != connect.CodeUnavailable {
			return nil, fmt.Errorf("control: %w", err)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("control: %w", err)
		case <-time.After(retryInterval):
		}
	}
}

// codec carries messages as JSON, without generated code.
type codec struct{}

func (codec) Name() string { return "json" }

func (codec) Marshal(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	return raw, nil
}

func (codec) Unmarshal(raw []byte, v any) error {
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}
