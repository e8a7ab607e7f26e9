//go:build upgrade

package upgrade

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"bitternmoor/internal/scaletest/standin"
)

const root = "../.."

// binaries builds the version in production and the current one.
func binaries(t *testing.T) (old, current string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(raw)
	if m == nil {
		t.Fatal("deploy/service.toml names no version in production")
	}
	dir := t.TempDir()
	tree := filepath.Join(dir, "tree")
	runCommand(t, root, "git", "worktree", "add", "--detach", tree, string(m[1]))
	t.Cleanup(func() { runCommand(t, root, "git", "worktree", "remove", "--force", tree) })
	old, current = filepath.Join(dir, "old"), filepath.Join(dir, "new")
	runCommand(t, tree, "go", "build", "-o", old, "./cmd/bitternmoor")
	runCommand(t, root, "go", "build", "-o", current, "./cmd/bitternmoor")
	return old, current
}

func runCommand(t *testing.T, dir, name string, args ...string) {
	t.Helper()
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s %v: %v\n%s", name, args, err, out)
	}
}

// cluster runs three controllers as processes of their own.
type cluster struct {
	t             *testing.T
	extraArgs     func(i int) []string // further arguments of controller i
	config        []string             // paths of the settings files
	publicAddrs   []string
	internalAddrs []string
	processes     []*exec.Cmd

	reserved map[int][]net.Listener // by controller that is not started yet

	mu   sync.Mutex
	jobs map[string]job
}

// job is a submitted job: its number of tasks, their run time and the jobs that it waits for.
type job struct {
	tasks   int
	run     time.Duration
	follows []string
}

func (c *cluster) job(id string) job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// reserve listens on a free port for a controller until the controller starts, so that no other process
// gets the port. In a run without this, a port went to another test's server before the controller started,
// and that server answered a submission.
func (c *cluster) reserve(i int) string {
	c.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.reserved[i] = append(c.reserved[i], l)
	return l.Addr().String()
}

// release frees the reserved ports of a controller.
func (c *cluster) release(i int) {
	for _, l := range c.reserved[i] {
		_ = l.Close() // there are no connections
	}
	delete(c.reserved, i)
}

func newCluster(t *testing.T, state, cloud string) *cluster {
	t.Helper()
	c := &cluster{t: t, jobs: map[string]job{}, processes: make([]*exec.Cmd, 3), reserved: map[int][]net.Listener{}}
	for i := range 3 {
		c.publicAddrs, c.internalAddrs = append(c.publicAddrs, c.reserve(i)), append(c.internalAddrs, c.reserve(i))
	}
	for i := range 3 {
		var b strings.Builder
		fmt.Fprintf(&b, "node = \"n%d\"\ndomain = \"a\"\npublic_addr = %q\ninternal_addr = %q\n", i, c.publicAddrs[i], c.internalAddrs[i])
		for k := range 3 {
			if k != i {
				fmt.Fprintf(&b, "[[others]]\nnode = \"n%d\"\ndomain = \"a\"\nendpoint = %q\n", k, c.internalAddrs[k])
			}
		}
		fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", cloud, state)
		b.WriteString(`[deployment]
count = 3
zones = ["a"]
time_bound_ms = 1000.0
[[deployment.teams]]
name = "team"
[deployment.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 15.0
gang_peer_s = 3.0
cancel_s = 30.0
[deployment.state]
rps = 500.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 12
[deployment.state.next]
write_rps = 40.0
value_kb = 1.0
txn_ops = 4
[deployment.cloud]
rps = 50.0
list_lag_s = 1.0
[deployment.machine_limits]
cpu = 1.0
ram_mb = 98.0
fd_limit = 300
`)
		path := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		c.config = append(c.config, path)
	}
	t.Cleanup(func() {
		for i := range c.processes {
			c.kill(i)
			c.release(i)
		}
	})
	return c
}

func (c *cluster) start(i int, binary string) {
	args := []string{"--config", c.config[i]}
	if c.extraArgs != nil {
		args = append(args, c.extraArgs(i)...)
	}
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.Stderr = os.Stderr
	c.release(i)
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.processes[i] = cmd
}

func (c *cluster) kill(i int) {
	if p := c.processes[i]; p != nil {
		_ = p.Process.Kill()
		_ = p.Wait()
		c.processes[i] = nil
	}
}

// leader waits for a leader that is running, and returns its index.
func (c *cluster) leader() int {
	found := -1
	c.eventually("a leader", 20*time.Second, func() bool {
		for i := range 3 {
			var s struct{ Node, Leader string }
			if c.processes[i] != nil && getJSON("http://"+c.internalAddrs[i]+"/status", &s) == 200 && s.Leader != "" {
				if _, err := fmt.Sscanf(s.Leader, "n%d", &found); err == nil && c.processes[found] != nil {
					return true
				}
			}
		}
		return false
	})
	return found
}

// getJSON decodes the answer to a GET into a value and returns the status, or 0 if there is no answer.
func getJSON(url string, into any) int {
	resp, err := (&http.Client{Timeout: 2 * time.Second}).Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // a read error leaves the decoded value incomplete
	_ = json.NewDecoder(resp.Body).Decode(into)
	return resp.StatusCode
}

func (c *cluster) eventually(what string, within time.Duration, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return
		}
	}
	c.t.Fatalf("never: %s", what)
}

// post sends a request to one controller after the other until the status of an answer is below 429. It
// returns that status and the job's state.
func (c *cluster) post(path, body string) (status int, standing string) {
	c.t.Helper()
	at := 0
	c.eventually("an answer to "+path, 60*time.Second, func() bool {
		at++
		resp, err := (&http.Client{Timeout: 5 * time.Second}).Post("http://"+c.publicAddrs[at%3]+path, "application/json", bytes.NewBufferString(body))
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }() // a read error leaves the decoded value incomplete
		var out struct{ Standing string }
		_ = json.NewDecoder(resp.Body).Decode(&out)
		status, standing = resp.StatusCode, out.Standing
		return status < 429
	})
	return status, standing
}

func (c *cluster) submit(n, tasks int, run time.Duration, follows ...int) string {
	c.t.Helper()
	id := fmt.Sprintf("j-%06d", n)
	j := job{tasks: tasks, run: run}
	for _, f := range follows {
		j.follows = append(j.follows, fmt.Sprintf("j-%06d", f))
	}
	c.mu.Lock()
	c.jobs[id] = j
	c.mu.Unlock()
	names, err := json.Marshal(j.follows)
	if err != nil {
		c.t.Fatal(err)
	}
	body := fmt.Sprintf(`{"name_id":%q,"herd":"c","keeper":"team","gait":"sweep","urgency":"normal","head":%d,"vcpus":1,"gpus":0,"memory_gb":1,"brand":"i","size_gb":0.1,
	  "breeds":null,"together":false,"scatter":false,"loaned_stock":true,"trek_s":%f,"waypoint_s":0,"stow_s":0,"follows":%s}`, id, tasks, run.Seconds(), names)
	if status, _ := c.post("/api/jobs", body); status != 200 && status != 201 {
		c.t.Fatalf("the submission of %s was answered with status %d", id, status)
	}
	return id
}

// state returns the state of a job from the first controller that answers with one, or an empty string. It
// reports a test error if a controller does not have the job.
func (c *cluster) state(id string) string {
	for i := range 3 {
		var out struct{ Standing string }
		switch getJSON("http://"+c.publicAddrs[i]+"/api/jobs/"+id, &out) {
		case 200:
			return out.Standing
		case 404:
			c.t.Errorf("forgotten: %s", id)
		}
	}
	return ""
}

// TestUpgrade runs both versions on the same data. Controllers of the old version are replaced by the new
// one, one by one, while jobs run. Then crashes make leadership alternate between the versions, the limits
// of the state service are lowered, and pipelines of jobs run across further crashes.
func TestUpgrade(t *testing.T) {
	old, current := binaries(t)
	store := &standin.StateService{}
	cloud := &standin.Cloud{}
	state, clouds := httptest.NewServer(store), httptest.NewServer(cloud)
	defer state.Close()
	defer clouds.Close()
	c := newCluster(t, state.Listener.Addr().String(), clouds.Listener.Addr().String())
	fleet := &standin.Fleet{ReportInterval: 600 * time.Millisecond, Lease: 10 * time.Second,
		JobDuration: func(id string) (time.Duration, []string) { j := c.job(id); return j.run, j.follows },
		TaskCount:   func(id string) int { return c.job(id).tasks }}
	for _, d := range c.publicAddrs {
		fleet.Controllers = append(fleet.Controllers, "http://"+d)
	}
	cloud.OnMachineUp, cloud.OnMachineDeleted = fleet.StartWorker, fleet.StopWorker

	for i := range 3 {
		c.start(i, old)
	}
	want := map[string]string{}
	n := 0
	submitJobs := func(count int) {
		for range count {
			n++
			want[c.submit(n, 3, 2*time.Second)] = "done"
		}
	}
	submitJobs(10)
	for i := range 3 { // the rolling upgrade
		c.kill(i)
		submitJobs(3)
		c.start(i, current)
		submitJobs(3)
	}
	t.Log("all controllers run the new version; leader", c.leader())
	for round := range 4 { // crashes make leaders of both versions alternate
		for i := range 3 {
			c.kill(i)
		}
		for i := range 3 {
			c.start(i, []string{old, current}[round%2])
		}
		submitJobs(8)
		time.Sleep(2 * time.Second)
		l := c.leader()
		c.kill(l)
		submitJobs(4)
		c.start(l, []string{current, old}[round%2])
		time.Sleep(time.Second)
	}
	for i := range 3 {
		c.kill(i)
		c.start(i, current)
	}
	c.leader()
	store.SetLimits(1024, 4)
	n = 500
	for p := range 6 { // pipelines of jobs, with crashes of the leader
		first := n + 1
		want[c.submit(first, 4, 2*time.Second, 1)] = "done"
		want[c.submit(first+1, 6, 2*time.Second, first)] = "done"
		want[c.submit(first+2, 2, time.Second, first, first+1)] = "done"
		n += 3
		if p%2 == 1 {
			l := c.leader()
			c.kill(l)
			c.start(l, current)
		}
		if p == 3 {
			id := c.submit(n+1, 2, 60*time.Second)
			after := c.submit(n+2, 2, time.Second, n+1)
			if status, standing := c.post("/api/jobs/"+id+"/abort", ""); status != 200 || standing != "aborted" {
				t.Errorf("a cancellation was answered with %d %s", status, standing)
			}
			want[id], want[after] = "aborted", "aborted"
			n += 2
		}
	}
	for id, end := range want {
		c.eventually(id+" is "+end, 120*time.Second, func() bool { return c.state(id) == end })
		if end == "done" && !fleet.Finished(id) {
			t.Errorf("not_done: %s is reported done, but not all its tasks are", id)
		}
	}
	for _, b := range append(fleet.BrokenRules(), store.RefusedTransactions()...) {
		t.Error(b)
	}
	t.Logf("%d jobs reached their expected states", len(want))
}
