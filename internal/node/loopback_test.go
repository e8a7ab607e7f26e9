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
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bitternmoor/internal/scaletest/standin"
	"bitternmoor/internal/settings"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // only its address is needed
	return l.Addr().String()
}

func ask(t *testing.T, method, url, body string) (int, map[string]any, http.Header) {
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
	raw, _ := io.ReadAll(resp.Body)
	var out map[string]any
	_ = json.Unmarshal(raw, &out)
	return resp.StatusCode, out, resp.Header
}

// TestLoopback takes a job through two controllers over real sockets: door,
// relay to the leader, worker, state service and cloud as they are spoken.
func TestLoopback(t *testing.T) {
	store := &standin.StateService{}
	state, cloud := httptest.NewServer(store), httptest.NewServer(&standin.Cloud{})
	defer state.Close()
	defer cloud.Close()
	var cfgs []*settings.Settings
	for i := range 2 {
		c := &settings.Settings{Tunables: settings.Defaults()}
		c.Node, c.PublicAddr, c.InternalAddr = fmt.Sprintf("n%d", i), freeAddr(t), freeAddr(t)
		c.External.Cloud, c.External.State = cloud.Listener.Addr().String(), state.Listener.Addr().String()
		d := &c.Deployment
		d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = 1, 10, 30
		d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 500, 200, 8, 12
		d.Cloud.RPS, d.MachineLimits.FDLimit = 50, 300
		d.Teams = []settings.Team{{Name: "team"}}
		c.Tunables.TakeoversKept, c.Tunables.RunTimesKinds = 9, 100
		cfgs = append(cfgs, c)
	}
	cfgs[0].Peers = []settings.Peer{{Node: "n1", Endpoint: cfgs[1].InternalAddr}}
	cfgs[1].Peers = []settings.Peer{{Node: "n0", Endpoint: cfgs[0].InternalAddr}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, c := range cfgs {
		running.Go(func() {
			if err := New(c, slog.New(slog.DiscardHandler)).Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	defer running.Wait()
	defer cancel()
	door := func(i int) string { return "http://" + cfgs[i].PublicAddr }
	eventually := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
			if f() {
				return
			}
		}
		t.Fatalf("never: %s", what)
	}
	job := `{"name_id":"j-000001","herd":"c","keeper":"team","gait":"sweep","urgency":"normal","head":1,"vcpus":1,"gpus":0,"memory_gb":1,
	  "brand":"i","size_gb":0.1,"breeds":null,"together":false,"scatter":false,"loaned_stock":true,"trek_s":5,"waypoint_s":0,"stow_s":0}`
	eventually("a submission is accepted", func() bool {
		status, out, head := ask(t, "POST", door(0)+"/api/jobs", job)
		if status == 503 && head.Get("Retry-After") == "" {
			t.Fatal("503 without Retry-After")
		}
		return status == 201 && out["standing"] == "queued"
	})
	eventually("both nodes know the leader", func() bool {
		one, _, _ := ask(t, "GET", door(0)+"/api/jobs/j-000777", "")
		other, _, _ := ask(t, "GET", door(1)+"/api/jobs/j-000777", "")
		return one == 404 && other == 404
	})
	for i := range 2 {
		if status, _, _ := ask(t, "GET", door(i)+"/healthz", ""); status != 200 {
			t.Errorf("n%d: healthz gives %d", i, status)
		}
		if status, out, _ := ask(t, "POST", door(i)+"/api/jobs", job); status != 200 || out["name_id"] != "j-000001" {
			t.Errorf("n%d: a repeated submission gives %d %v", i, status, out)
		}
		if status, _, _ := ask(t, "POST", door(i)+"/api/jobs", `{"name_id":"j-000001","head":"x"}`); status != 200 {
			t.Errorf("n%d: a known id with a malformed body gives %d", i, status)
		}
		if status, _, _ := ask(t, "GET", door(i)+"/api/jobs/j-000777", ""); status != 404 {
			t.Errorf("n%d: an unknown job gives %d", i, status)
		}
		for _, bad := range []string{"", "[]", `{"name_id":"7"}`, `{"name_id":"j-000002"}`, strings.Replace(job, `"head":1`, `"head":0`, 1) + " ", strings.Repeat("x", 70000)} {
			bad = strings.Replace(bad, "j-000001", "j-000003", 1)
			if status, _, _ := ask(t, "POST", door(i)+"/api/jobs", bad); status != 400 {
				t.Errorf("n%d: malformed %.40q gives %d", i, bad, status)
			}
		}
		lost := strings.Replace(strings.Replace(job, "j-000001", "j-000004", 1), `"keeper":"team"`, `"keeper":"none"`, 1)
		if status, _, _ := ask(t, "POST", door(i)+"/api/jobs", lost); status != 422 {
			t.Errorf("n%d: an unknown team gives %d", i, status)
		}
	}
	// The worker of a rented machine, reporting to the node that does not lead
	// as well as to the one that does.
	seq, token := 0, 0.0
	report := func(i int, tasks string) []any {
		seq++
		_, out, _ := ask(t, "POST", door(i)+"/checkin", fmt.Sprintf(`{"stall":"host-000001","address":"127.0.0.1:1","breed":"m4","pasture":"a","loaned_stock":true,
		  "watch":1,"tally":%d,"crook":%.0f,"recall_s":null,"head":[%s]}`, seq, token, tasks))
		if v, ok := out["crook"].(float64); ok {
			token = v
		}
		calls, _ := out["calls"].([]any)
		return calls
	}
	via, attempt := 0, ""
	eventually("the task is started", func() bool {
		for _, c := range report(via, "") {
			if c := c.(map[string]any); c["call"] == "start" && c["beast"] == "j-000001/0" {
				attempt = strconv.FormatFloat(c["try"].(float64), 'f', 0, 64)
			}
		}
		if attempt == "" {
			time.Sleep(100 * time.Millisecond)
			if token == 0 {
				via = 1 - via
			}
		}
		return attempt != ""
	})
	report(via, `{"beast":"j-000001/0","try":`+attempt+`,"standing":"running"}`)
	if _, out, _ := ask(t, "GET", door(1), ""); out != nil {
		t.Errorf("the root path answers %v", out)
	}
	eventually("it is shown to run", func() bool {
		_, out, _ := ask(t, "GET", door(1)+"/api/jobs/j-000001", "")
		return out["standing"] == "running"
	})
	for i := range 2 {
		status, out, _ := ask(t, "GET", "http://"+cfgs[i].InternalAddr+PathStatus, "")
		if status != 200 || out["leader"] == "" || len(out["machines"].([]any)) == 0 {
			t.Errorf("n%d: status gives %d %v", i, status, out)
		}
		status, out, _ = ask(t, "GET", "http://"+cfgs[i].InternalAddr+PathExplain+"j-000001", "")
		if status != 200 || len(out["words"].([]any)) < 2 {
			t.Errorf("n%d: explain gives %d %v", i, status, out)
		}
		for path, want := range map[string]int{"takeovers": 200, "run-times": 200, "run-times/late": 200, "run-times/forecast": 200, "run-times/none": 404, "none": 404, "takeovers/none": 404} {
			if status, out, _ := ask(t, "GET", "http://"+cfgs[i].InternalAddr+PathDuties+path, ""); status != want {
				t.Errorf("n%d: %s gives %d %v", i, path, status, out)
			}
		}
		resp, err := http.Get("http://" + cfgs[i].InternalAddr + PathMetrics)
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // it has been read
		if !bytes.Contains(raw, []byte("bitternmoor_leading")) {
			t.Errorf("n%d: metrics without bitternmoor_leading", i)
		}
	}
	eventually("it is done, and only then reaped", func() bool {
		calls := report(via, `{"beast":"j-000001/0","try":`+attempt+`,"standing":"ended","cause":"done"}`)
		_, out, _ := ask(t, "GET", door(0)+"/api/jobs/j-000001", "")
		for _, c := range calls {
			if c.(map[string]any)["call"] == "reap" {
				return out["standing"] == "done"
			}
		}
		return false
	})
	if status, out, _ := ask(t, "POST", door(1)+"/api/jobs/j-000001/abort", ""); status != 200 || out["standing"] != "done" {
		t.Errorf("cancelling a job that is done gives %d %v", status, out)
	}
	store.SetDown(true)
	eventually("without the state service, 503 and not 404", func() bool {
		status, _, head := ask(t, "GET", door(0)+"/api/jobs/j-000777", "")
		return status == 503 && head.Get("Retry-After") != ""
	})
	if status, _, _ := ask(t, "GET", door(0)+"/healthz", ""); status != 200 {
		t.Errorf("an outage of the state service makes healthz give %d", status)
	}
}
