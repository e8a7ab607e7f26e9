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

// NewClient makes a client for the service at addr.
func NewClient(addr string, conns int) *Client {
	dial := &net.Dialer{Timeout: time.Second, KeepAlive: -1}
	return &Client{"http://" + addr, &http.Client{Transport: &http.Transport{
		DialContext: dial.DialContext, MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}}
}

// callJSON decodes the answer into out and returns the status, or an error when
// there was no whole response.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) (int, error) {
	status, data, err := c.exchange(ctx, method, path, in)
	if err != nil {
		return 0, err
	}
	if out != nil && len(data) > 0 && (status == 200 || status == 409 || status == 404) {
		if err := json.Unmarshal(data, out); err != nil {
			return 0, fmt.Errorf("wire: %s %s: %w", method, path, err)
		}
	}
	return status, nil
}

const maxResponseBody = 4 << 20

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
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	if err != nil {
		return 0, nil, fmt.Errorf("wire: %w", err)
	}
	return resp.StatusCode, data, nil
}
