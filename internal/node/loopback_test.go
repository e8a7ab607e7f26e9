package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/scaletest/standin"
	"bitternmoor/internal/settings"
)

const (
	loopbackTimeout = 15 * time.Second
	loopbackJob     = `{"name_id":"j-000001","herd":"c","keeper":"team","gait":"sweep","urgency":"normal","head":1,
	  "vcpus":1,"gpus":0,"memory_gb":1,"brand":"i","size_gb":0.1,"breeds":null,"together":false,"scatter":false,
	  "loaned_stock":true,"trek_s":5,"waypoint_s":0,"stow_s":0}`
)

// TestLoopback runs a job through two controllers over real sockets. It covers the user API, the
// relay to the leader, and the protocols of the worker, the state service and the cloud.
func TestLoopback(t *testing.T) {
	store := &standin.StateService{}
	cluster := newCluster(t, store, &standin.Cloud{}, func(c *settings.Settings) {
		c.Tunables.TakeoversKept, c.Tunables.RunTimesKinds = 9, 100
	})
	for i := range cluster.settings {
		cluster.start(i)
	}
	cluster.submitFirst(t)
	for i := range cluster.settings {
		cluster.checkUserAPI(t, i)
	}
	worker := &loopbackWorker{cluster: cluster}
	worker.startTask(t)
	if _, out, _ := sendRequest(t, "GET", cluster.public(1), ""); out != nil {
		t.Errorf("the root path returns a JSON body: %v", out)
	}
	eventually(t, "the job is shown as running", func() bool {
		_, out, _ := sendRequest(t, "GET", cluster.public(1)+"/api/jobs/j-000001", "")
		return out["standing"] == "running"
	})
	for i := range cluster.settings {
		cluster.checkViews(t, i)
	}
	worker.endTask(t)
	status, out, _ := sendRequest(t, "POST", cluster.public(1)+"/api/jobs/j-000001/abort", "")
	if status != 200 || out["standing"] != "done" {
		t.Errorf("cancelling a finished job returns %d %v", status, out)
	}
	cluster.checkOutage(t, store)
}

// submitFirst submits the job as soon as there is a leader, and waits until both controllers answer
// users' requests.
func (c *testCluster) submitFirst(t *testing.T) {
	t.Helper()
	eventually(t, "a submission is accepted", func() bool {
		status, out, header := sendRequest(t, "POST", c.public(0)+"/api/jobs", loopbackJob)
		if status == 503 && header.Get("Retry-After") == "" {
			t.Fatal("503 without Retry-After")
		}
		return status == 201 && out["standing"] == "queued"
	})
	eventually(t, "both nodes reach the leader", func() bool {
		one, _, _ := sendRequest(t, "GET", c.public(0)+"/api/jobs/j-000777", "")
		other, _, _ := sendRequest(t, "GET", c.public(1)+"/api/jobs/j-000777", "")
		return one == 404 && other == 404
	})
}

// checkUserAPI checks the responses of one controller that need no worker.
func (c *testCluster) checkUserAPI(t *testing.T, i int) {
	t.Helper()
	url := c.public(i) + "/api/jobs"
	if status, _, _ := sendRequest(t, "GET", c.public(i)+"/healthz", ""); status != 200 {
		t.Errorf("n%d: healthz returns %d", i, status)
	}
	if status, out, _ := sendRequest(t, "POST", url, loopbackJob); status != 200 || out["name_id"] != "j-000001" {
		t.Errorf("n%d: a repeated submission returns %d %v", i, status, out)
	}
	if status, _, _ := sendRequest(t, "POST", url, `{"name_id":"j-000001","head":"x"}`); status != 200 {
		t.Errorf("n%d: a known ID with a malformed body returns %d", i, status)
	}
	if status, _, _ := sendRequest(t, "GET", url+"/j-000777", ""); status != 404 {
		t.Errorf("n%d: an unknown job returns %d", i, status)
	}
	noTasks := strings.Replace(loopbackJob, `"head":1`, `"head":0`, 1) + " "
	for _, malformed := range []string{
		"", "[]", `{"name_id":"7"}`, `{"name_id":"j-000002"}`, noTasks, strings.Repeat("x", 70000),
	} {
		malformed = strings.Replace(malformed, "j-000001", "j-000003", 1)
		if status, _, _ := sendRequest(t, "POST", url, malformed); status != 400 {
			t.Errorf("n%d: malformed body %.40q returns %d", i, malformed, status)
		}
	}
	unknownTeam := strings.Replace(loopbackJob, "j-000001", "j-000004", 1)
	unknownTeam = strings.Replace(unknownTeam, `"keeper":"team"`, `"keeper":"none"`, 1)
	if status, _, _ := sendRequest(t, "POST", url, unknownTeam); status != 422 {
		t.Errorf("n%d: an unknown team returns %d", i, status)
	}
}

// checkViews checks the operators' views and the metrics of one controller.
func (c *testCluster) checkViews(t *testing.T, i int) {
	t.Helper()
	status, out, _ := sendRequest(t, "GET", c.internal(i)+PathStatus, "")
	if status != 200 || out["leader"] == "" || len(out["machines"].([]any)) == 0 {
		t.Errorf("n%d: status returns %d %v", i, status, out)
	}
	status, out, _ = sendRequest(t, "GET", c.internal(i)+PathExplain+"j-000001", "")
	if status != 200 || len(out["words"].([]any)) < 2 {
		t.Errorf("n%d: explain returns %d %v", i, status, out)
	}
	for path, want := range map[string]int{
		"takeovers":          200,
		"run-times":          200,
		"run-times/late":     200,
		"run-times/forecast": 200,
		"run-times/none":     404,
		"none":               404,
		"takeovers/none":     404,
	} {
		if status, out, _ := sendRequest(t, "GET", c.internal(i)+PathComponents+path, ""); status != want {
			t.Errorf("n%d: %s returns %d %v", i, path, status, out)
		}
	}
	resp, err := http.Get(c.internal(i) + PathMetrics)
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := io.ReadAll(resp.Body) // a truncated body lacks the metric
	_ = resp.Body.Close()           // it has been read
	if !bytes.Contains(raw, []byte("bitternmoor_leading")) {
		t.Errorf("n%d: metrics without bitternmoor_leading", i)
	}
}

// checkOutage stops the state service. Requests about jobs then fail with 503, and the health check
// still succeeds.
func (c *testCluster) checkOutage(t *testing.T, store *standin.StateService) {
	t.Helper()
	store.SetDown(true)
	eventually(t, "an unknown job returns 503 and not 404 without the state service", func() bool {
		status, _, header := sendRequest(t, "GET", c.public(0)+"/api/jobs/j-000777", "")
		return status == 503 && header.Get("Retry-After") != ""
	})
	if status, _, _ := sendRequest(t, "GET", c.public(0)+"/healthz", ""); status != 200 {
		t.Errorf("healthz returns %d during an outage of the state service", status)
	}
}

// loopbackWorker simulates the worker of a rented machine. It may report to the leader or to the
// follower.
type loopbackWorker struct {
	cluster    *testCluster
	controller int // index of the controller that it reports to
	sequence   int
	token      float64
	attempt    string // of the job's task, once started; empty before
}

// report sends a report with the given tasks, and returns the commands in the answer.
func (w *loopbackWorker) report(t *testing.T, tasks string) []any {
	t.Helper()
	w.sequence++
	body := fmt.Sprintf(`{"stall":"host-000001","address":"127.0.0.1:1","breed":"m4","pasture":"a",
	  "loaned_stock":true,"watch":1,"tally":%d,"crook":%.0f,"recall_s":null,"head":[%s]}`, w.sequence, w.token, tasks)
	_, out, _ := sendRequest(t, "POST", w.cluster.public(w.controller)+"/checkin", body)
	if token, ok := out["crook"].(float64); ok {
		w.token = token
	}
	commands, _ := out["calls"].([]any) // none if the report is rejected
	return commands
}

// startTask sends reports until it receives the task's start command, and then reports that the
// task is running.
func (w *loopbackWorker) startTask(t *testing.T) {
	t.Helper()
	eventually(t, "the task is started", func() bool {
		for _, c := range w.report(t, "") {
			if c := c.(map[string]any); c["call"] == "start" && c["beast"] == "j-000001/0" {
				w.attempt = strconv.FormatFloat(c["try"].(float64), 'f', 0, 64)
			}
		}
		if w.attempt != "" {
			return true
		}
		time.Sleep(100 * time.Millisecond)
		if w.token == 0 {
			w.controller = 1 - w.controller
		}
		return false
	})
	w.report(t, w.task(`"standing":"running"`))
}

// endTask reports the task as done until it receives the reap command, which must come only after
// the job is shown as done.
func (w *loopbackWorker) endTask(t *testing.T) {
	t.Helper()
	eventually(t, "the job is done, and the task is reaped only then", func() bool {
		commands := w.report(t, w.task(`"standing":"ended","cause":"done"`))
		_, out, _ := sendRequest(t, "GET", w.cluster.public(0)+"/api/jobs/j-000001", "")
		for _, c := range commands {
			if c.(map[string]any)["call"] == "reap" {
				return out["standing"] == "done"
			}
		}
		return false
	})
}

func (w *loopbackWorker) task(state string) string {
	return `{"beast":"j-000001/0","try":` + w.attempt + `,` + state + `}`
}

// eventually waits for a condition, for at most loopbackTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(loopbackTimeout); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}
