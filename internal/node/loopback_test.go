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
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bitternmoor/internal/settings"
)

// stateStand is a stand-in for the state service, over HTTP.
type stateStand struct {
	sync.Mutex
	rev   uint64
	items map[string]map[string]any
	holds map[uint64]time.Time
	down  bool
}

func (s *stateStand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Lock()
	defer s.Unlock()
	if s.down {
		w.WriteHeader(503)
		return
	}
	reply := func(status int, v any) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}
	var in map[string]any
	_ = json.NewDecoder(r.Body).Decode(&in)
	switch {
	case r.URL.Path == "/keys":
		var keys []string
		for k := range s.items {
			if strings.HasPrefix(k, r.URL.Query().Get("starts")) && k > r.URL.Query().Get("since") {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		rows := []any{}
		for _, k := range keys {
			rows = append(rows, map[string]any{"k": k, "data": s.items[k]["data"], "entry_mark": s.items[k]["entry_mark"]})
		}
		reply(200, map[string]any{"rows": rows, "has_next": false, "ledger_mark": s.rev})
	case strings.HasPrefix(r.URL.Path, "/keys/"):
		if it := s.items[strings.TrimPrefix(r.URL.Path, "/keys/")]; it != nil {
			reply(200, it)
		} else {
			reply(404, map[string]any{"ledger_mark": s.rev})
		}
	case r.URL.Path == "/multi":
		for _, c := range in["when"].([]any) {
			c := c.(map[string]any)
			mark := 0.0
			if it := s.items[c["k"].(string)]; it != nil {
				mark = it["entry_mark"].(float64)
			}
			if mark != c["entry_mark"].(float64) {
				reply(409, map[string]any{"failed": []any{c["k"]}, "ledger_mark": s.rev})
				return
			}
		}
		s.rev++
		for _, o := range in["writes"].([]any) {
			o := o.(map[string]any)
			if k, ok := o["write"].(string); ok {
				s.items[k] = map[string]any{"k": k, "data": o["data"], "entry_mark": float64(s.rev)}
			}
		}
		reply(200, map[string]any{"ledger_mark": s.rev})
	case r.URL.Path == "/holds":
		s.rev++
		reply(200, map[string]any{"tether": s.rev})
	case strings.HasPrefix(r.URL.Path, "/holds/"):
		reply(200, map[string]any{})
	case r.URL.Path == "/follow":
		s.Unlock()
		time.Sleep(200 * time.Millisecond)
		s.Lock()
		reply(200, map[string]any{"ledger_mark": s.rev, "news": []any{}})
	default:
		w.WriteHeader(404)
	}
}

// cloudStand rents machines that the test plays the workers of.
func cloudStand() http.Handler {
	n := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in map[string]any
		_ = json.NewDecoder(r.Body).Decode(&in)
		switch r.URL.Path {
		case "/machine_types":
			fmt.Fprint(w, `{"breeds":[{"label":"m4","vcpus":4,"gpus":0,"memory_gb":16,"local_gb":20,"fetch_gb_per_s":1,"price":1,"spot_price":0.3,"ready_s":5,"pastures":["a"]}]}`)
		case "/rentals":
			if r.Method == http.MethodGet {
				fmt.Fprint(w, `{"stalls":[],"has_next":false}`)
				return
			}
			n++
			fmt.Fprintf(w, `{"stalls":["host-%06d"]}`, n)
		default:
			fmt.Fprint(w, `{}`)
		}
	})
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
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
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	var out map[string]any
	_ = json.Unmarshal(raw, &out)
	return resp.StatusCode, out, resp.Header
}

// TestLoopback takes a job through two controllers over real sockets: door,
// relay to the leader, worker, state service and cloud as they are spoken.
func TestLoopback(t *testing.T) {
	store := &stateStand{items: map[string]map[string]any{}, holds: map[uint64]time.Time{}}
	state, cloud := httptest.NewServer(store), httptest.NewServer(cloudStand())
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
		resp, err := http.Get("http://" + cfgs[i].InternalAddr + PathMetrics)
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
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
	store.Lock()
	store.down = true
	store.Unlock()
	eventually("without the state service, 503 and not 404", func() bool {
		status, _, head := ask(t, "GET", door(0)+"/api/jobs/j-000777", "")
		return status == 503 && head.Get("Retry-After") != ""
	})
	if status, _, _ := ask(t, "GET", door(0)+"/healthz", ""); status != 200 {
		t.Errorf("an outage of the state service makes healthz give %d", status)
	}
}
