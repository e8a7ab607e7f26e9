// Package control implements the operators' service: operators read views of the leader's components and
// request changes, over Connect RPC with mutual TLS. Each change carries an id, which makes requests
// idempotent: a call whose answer was lost can be repeated.
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
	maxBody          = 16 << 20 // maximum size of a message in bytes
	callTimeout      = 10 * time.Second
	handshakeTimeout = 5 * time.Second
)

// ShowRequest names a component of the leader, or one of its views: NAME or NAME/VIEW.
type ShowRequest struct {
	What string `json:"what"`
}

// ChangeRequest asks a component to change something.
type ChangeRequest struct {
	Duty string          `json:"duty"` // name of the component
	Body json.RawMessage `json:"body"` // in the JSON format of the component
}

// Page is an answer, in the JSON format of the component.
type Page struct {
	Body json.RawMessage `json:"body"`
}

// Errors of a backend that callers distinguish.
var (
	ErrUnknown = errors.New("no such duty, or it is switched off") // no such component or view
	ErrRefused = errors.New("refused")                             // wrapped in an error with the component's reason
)

// Backend handles the requests of the service: it is this controller, which forwards them to the leader.
type Backend interface {
	// ShowComponent returns the view that what names: NAME or NAME/VIEW.
	ShowComponent(what string) (json.RawMessage, error)
	// ChangeComponent makes a change to a component for the operator named by.
	ChangeComponent(by, component string, body json.RawMessage) (json.RawMessage, error)
}

// Roles lists the permissions of certificate holders, by name.
type Roles struct {
	Read     []string // names that may read views
	Operate  []string // names that may also change the components in Operable
	Admin    []string // names that may read all views and change all components
	Operable []string // components
}

// permits reports whether the holder of a certificate may read a component or, with change, change it.
func (r *Roles) permits(name, component string, change bool) bool {
	switch {
	case name == "":
		return false
	case slices.Contains(r.Admin, name):
		return true
	case slices.Contains(r.Operate, name):
		return !change || slices.Contains(r.Operable, component)
	}
	return !change && slices.Contains(r.Read, name)
}

// callerKey is the key of the caller's name in a request's context.
type callerKey struct{}

// Handler returns the HTTP handler of the service. It must be behind TLS that verifies clients, because it
// identifies callers by the common name in their certificate.
func Handler(backend Backend, roles Roles) http.Handler {
	opts := []connect.HandlerOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxBody)}
	s := &service{backend: backend, roles: roles}
	mux := http.NewServeMux()
	mux.Handle(procedureShow, connect.NewUnaryHandler(procedureShow, s.show, opts...))
	mux.Handle(procedureChange, connect.NewUnaryHandler(procedureChange, s.change, opts...))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := ""
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			name = r.TLS.VerifiedChains[0][0].Subject.CommonName
		}
		mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, name)))
	})
}

// service implements the procedures.
type service struct {
	backend Backend
	roles   Roles
}

func (s *service) show(ctx context.Context, r *connect.Request[ShowRequest]) (*connect.Response[Page], error) {
	name := callerName(ctx)
	if !s.roles.permits(name, r.Msg.What, false) {
		return nil, errNotPermitted(name)
	}
	return respond(s.backend.ShowComponent(r.Msg.What))
}

func (s *service) change(ctx context.Context, r *connect.Request[ChangeRequest]) (*connect.Response[Page], error) {
	name := callerName(ctx)
	if !s.roles.permits(name, r.Msg.Duty, true) {
		return nil, errNotPermitted(name)
	}
	return respond(s.backend.ChangeComponent(name, r.Msg.Duty, r.Msg.Body))
}

// callerName returns the common name in the caller's certificate, or an empty string if there is no
// verified one.
func callerName(ctx context.Context) string {
	name, _ := ctx.Value(callerKey{}).(string)
	return name
}

func errNotPermitted(name string) error {
	return connect.NewError(connect.CodePermissionDenied, fmt.Errorf("%q has no role that may do this", name))
}

// respond converts the backend's answer into a response. Errors other than ErrUnknown and ErrRefused become
// CodeUnavailable, which means that the call may be repeated.
func respond(raw json.RawMessage, err error) (*connect.Response[Page], error) {
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

// NewClient returns a client for a controller's listener at an address, host:port.
func NewClient(addr string, conf *tls.Config) *Client {
	caller := &http.Client{Transport: &http.Transport{
		TLSClientConfig:     conf,
		ForceAttemptHTTP2:   true,
		TLSHandshakeTimeout: handshakeTimeout,
	}}
	opts := []connect.ClientOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxBody)}
	return &Client{
		http:   caller,
		show:   connect.NewClient[ShowRequest, Page](caller, "https://"+addr+procedureShow, opts...),
		change: connect.NewClient[ChangeRequest, Page](caller, "https://"+addr+procedureChange, opts...),
	}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Maximum number of attempts and the interval between them, for a call that gets no answer or fails because
// the controller knows of no leader.
const (
	maxAttempts   = 8
	retryInterval = 400 * time.Millisecond
)

// Show reads a component's view: NAME or NAME/VIEW. It fails with ErrUnknown if there is no such view.
func (c *Client) Show(ctx context.Context, what string) (json.RawMessage, error) {
	return callWithRetry(ctx, func(ctx context.Context) (*connect.Response[Page], error) {
		return c.show.CallUnary(ctx, connect.NewRequest(&ShowRequest{What: what}))
	})
}

// Change requests a change from a component. The body must carry an id by which the component recognises
// repeats, because the request is sent again if an answer is lost.
func (c *Client) Change(ctx context.Context, component string, body json.RawMessage) (json.RawMessage, error) {
	return callWithRetry(ctx, func(ctx context.Context) (*connect.Response[Page], error) {
		return c.change.CallUnary(ctx, connect.NewRequest(&ChangeRequest{Duty: component, Body: body}))
	})
}

// callWithRetry repeats a call while its error is CodeUnavailable, for at most maxAttempts attempts and
// callTimeout.
func callWithRetry(
	ctx context.Context, call func(context.Context) (*connect.Response[Page], error),
) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		resp, err := call(ctx)
		if err == nil {
			return resp.Msg.Body, nil
		}
		if connect.CodeOf(err) == connect.CodeNotFound {
			return nil, fmt.Errorf("control: %w", ErrUnknown)
		}
		if attempt == maxAttempts || connect.CodeOf(err) != connect.CodeUnavailable {
			return nil, fmt.Errorf("control: %w", err)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("control: %w", err)
		case <-time.After(retryInterval):
		}
	}
}

// codec encodes messages as JSON, without generated code.
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
