package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client calls one of the platform's services over HTTP.
type Client struct {
	base string
	http *http.Client
}

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second // an idle connection is closed after this time
)

// maxResponseBody is the largest number of bytes that is read of a response body.
const maxResponseBody = 4 << 20

// NewClient returns a client for the service at addr, host:port, that opens at most conns connections.
func NewClient(addr string, conns int) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: &http.Transport{
		DialContext:         newDialer().DialContext,
		MaxIdleConnsPerHost: conns,
		MaxConnsPerHost:     conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

func newDialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout, KeepAlive: -1} }

// callJSON sends a request and returns the status, or an error if no complete response was received or
// its body cannot be decoded. Unless out is nil, the body is decoded into it for the statuses that
// hasDecodedBody selects.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) (int, error) {
	status, data, err := c.do(ctx, method, path, in)
	if err != nil {
		return 0, err
	}
	if out != nil && len(data) > 0 && hasDecodedBody(status) {
		if err := json.Unmarshal(data, out); err != nil {
			return 0, fmt.Errorf("wire: %s %s: %w", method, path, err)
		}
	}
	return status, nil
}

// hasDecodedBody reports whether the body of a response with this status is decoded: the bodies of
// successful responses, of conflicts and of missing keys are.
func hasDecodedBody(status int) bool {
	return status == http.StatusOK || status == http.StatusConflict || status == http.StatusNotFound
}

// do sends a request and returns the status and the body of the response, or an error if no complete
// response was received.
func (c *Client) do(ctx context.Context, method, path string, in any) (int, []byte, error) {
	var body io.Reader
	if in != nil {
		body = bytes.NewReader(encode(in))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("wire: %w", err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("wire: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // by then the body has been read, or its read error is returned
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	if err != nil {
		return 0, nil, fmt.Errorf("wire: %w", err)
	}
	return resp.StatusCode, data, nil
}
