package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"bitternmoor/internal/scaletest/standin"
	"bitternmoor/internal/settings"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // only the address is needed
	return listener.Addr().String()
}

// sendRequest makes a request and returns the response's status, JSON object and header. The status
// is 0 if there is no response.
func sendRequest(t *testing.T, method, url, body string) (int, map[string]any, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	raw, _ := io.ReadAll(resp.Body)          // a truncated body is not valid JSON
	var out map[string]any
	_ = json.Unmarshal(raw, &out) // some responses are not JSON
	return resp.StatusCode, out, resp.Header
}

// getView reads a component's view from a controller's internal address.
func getView(addr, path string, into any) bool {
	resp, err := http.Get("http://" + addr + PathComponents + path)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	return resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(into) == nil
}

// testCluster consists of two controllers with a simulated state service and a simulated cloud,
// connected over real sockets.
type testCluster struct {
	t        *testing.T
	settings []*settings.Settings
	running  sync.WaitGroup
}

// newCluster makes the settings of two controllers, modified by configure. The controllers run from
// the call of start until the test ends.
func newCluster(
	t *testing.T, store *standin.StateService, cloud *standin.Cloud, configure func(c *settings.Settings),
) *testCluster {
	t.Helper()
	state, clouds := httptest.NewServer(store), httptest.NewServer(cloud)
	t.Cleanup(state.Close)
	t.Cleanup(clouds.Close)
	cluster := &testCluster{t: t}
	for i := range 2 {
		c := controllerSettings(t, fmt.Sprintf("n%d", i))
		c.External.State, c.External.Cloud = state.Listener.Addr().String(), clouds.Listener.Addr().String()
		configure(c)
		cluster.settings = append(cluster.settings, c)
	}
	for i, c := range cluster.settings {
		other := cluster.settings[1-i]
		c.Peers = []settings.Peer{{Node: other.Node, Endpoint: other.InternalAddr}}
	}
	t.Cleanup(cluster.running.Wait)
	return cluster
}

// controllerSettings returns the settings of a controller on free ports, with one team.
func controllerSettings(t *testing.T, name string) *settings.Settings {
	t.Helper()
	c := &settings.Settings{Tunables: settings.Defaults()}
	c.Node, c.PublicAddr, c.InternalAddr = name, freeAddr(t), freeAddr(t)
	d := &c.Deployment
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = 1, 10, 30
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 500, 200, 8, 12
	d.Cloud.RPS, d.MachineLimits.FDLimit = 50, 300
	d.Teams = []settings.Team{{Name: "team"}}
	return c
}

// start runs a controller until stop is called, or until the test ends.
func (c *testCluster) start(i int) (stop context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.t.Context())
	c.running.Go(func() {
		if err := New(c.settings[i], slog.New(slog.DiscardHandler)).Run(ctx); err != nil {
			c.t.Error(err)
		}
	})
	return cancel
}

// public and internal return the URLs of a controller's public and internal addresses.
func (c *testCluster) public(i int) string   { return "http://" + c.settings[i].PublicAddr }
func (c *testCluster) internal(i int) string { return "http://" + c.settings[i].InternalAddr }
