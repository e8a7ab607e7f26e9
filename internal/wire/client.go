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
	idleTimeout = 30 * time.Second // after which an idle connection is closed
)

// maxResponseBody is how many bytes of a response are read.
const maxResponseBody = 4 << 20

// NewClient makes a client of the service at an address, host:port, with at most conns connections.
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

// callJSON makes a request and returns the status, or an error when there was no whole response. The
// body is decoded into out, where out is not nil, for the statuses whose bodies have a meaning.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) (int, error) {
	status, data, err := c.exchange(ctx, method, path, in)
	if err != nil {
		return 0, err
	}
	if out != nil && len(data) > 0 && hasMeaning(status) {
		if err := json.Unmarshal(data, out); err != nil {
			return 0, fmt.Errorf("wire: %s %s: %w", method, path, err)
		}
	}
	return status, nil
}

// hasMeaning says whether the body of a response with this status is read: those of answers, of
// conflicts and of keys that are missing.
func hasMeaning(status int) bool {
	return status == http.StatusOK || status == http.StatusConflict || status == http.StatusNotFound
}

// exchange makes a request and returns status and body of the response, or an error when there was no
// whole response.
func (c *Client) exchange(ctx context.Context, method, path string, in any) (int, []byte, error) {
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
	defer func() { _ = resp.Body.Close() }() // the body is read by then, or the error is returned
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	if err != nil {
		return 0, nil, fmt.Errorf("wire: %w", err)
	}
	return resp.StatusCode, data, nil
}
