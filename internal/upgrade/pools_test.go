//go:build upgrade

package upgrade

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bitternmoor/internal/scaletest/standin"
)

// TestPoolsUnderKills runs real processes with pools against simulated services for minutes. Workers are
// killed, or paused and resumed, leaders are killed, and an operator changes a pool by the command line.
// The units of all running tasks are counted throughout and may not exceed the pools.
func TestPoolsUnderKills(t *testing.T) {
	kills, takeovers := 200, 20
	dir := t.TempDir()
	binary := filepath.Join(dir, "bitternmoor")
	runCommand(t, root, "go", "build", "-o", binary, "./cmd/bitternmoor")
	runCommand(t, dir, binary, "certs", "ca", "--dir", dir)
	runCommand(t, dir, binary, "certs", "issue", "node", "--dir", dir, "--hosts", "127.0.0.1")
	runCommand(t, dir, binary, "certs", "issue", "ann", "--dir", dir)
	key := filepath.Join(dir, "receipt.key")
	if err := os.WriteFile(key, []byte("0123456789abcdef"), 0o600); err != nil {
		t.Fatal(err)
	}
	store, cloud := &standin.StateService{}, &standin.Cloud{}
	state, clouds := httptest.NewServer(store), httptest.NewServer(cloud)
	defer state.Close()
	defer clouds.Close()
	c := newCluster(t, state.Listener.Addr().String(), clouds.Listener.Addr().String())
	var listen []string
	for i := range 3 {
		listen = append(listen, c.reserve(i))
		ini := fmt.Sprintf("[pool licence]\nunits = 24\n[pool token]\nunits = 40\n[pools]\nreceipt_keys = %s\n[operators]\nlisten = %s\ncert_file = %s\nkey_file = %s\nca_file = %s\noperate = ann\n",
			key, listen[i], filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key"), filepath.Join(dir, "ca.pem"))
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("n%d.ini", i)), []byte(ini), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	c.extraArgs = func(i int) []string { return []string{"--tunables", filepath.Join(dir, fmt.Sprintf("n%d.ini", i))} }
	units := func(id string) map[string]int {
		if strings.HasSuffix(id, "5") {
			return map[string]int{"licence": 2, "token": 1}
		}
		return map[string]int{"licence": 1}
	}
	fleet := &standin.Fleet{ReportInterval: 200 * time.Millisecond, Lease: 10 * time.Second, PoolUnits: units,
		JobDuration: func(id string) (time.Duration, []string) { return c.job(id).run, nil },
		TaskCount:   func(id string) int { return c.job(id).tasks }}
	for _, d := range c.publicAddrs {
		fleet.Controllers = append(fleet.Controllers, "http://"+d)
	}
	cloud.OnMachineUp, cloud.OnMachineDeleted = fleet.StartWorker, fleet.StopWorker
	fleet.SetPoolLimit("licence", 24)
	fleet.SetPoolLimit("token", 40)
	for i := range 3 {
		c.start(i, binary)
	}
	c.leader()
	// An operator shrinks and grows the pool repeatedly.
	var changes atomic.Int32
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		now := 24
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(6 * time.Second):
			}
			want := []int{12, 24}[n%2]
			if want > now {
				fleet.SetPoolLimit("licence", want)
			}
			out, err := exec.Command(binary, "pools", "set", "licence", "--units", fmt.Sprint(want), "--control", listen[n%3], "--cert", filepath.Join(dir, "ann.pem"),
				"--key", filepath.Join(dir, "ann.key"), "--ca", filepath.Join(dir, "ca.pem"), "--yes", "--json").CombinedOutput()
			if err != nil {
				t.Logf("the change was refused: %s", out)
				if want > now {
					fleet.SetPoolLimit("licence", now)
				}
				n++ // with the increment of the loop, the next round requests the same size
				continue
			}
			changes.Add(1)
			if want < now {
				time.Sleep(5 * time.Second) // tasks whose start was sent before may still begin
				fleet.SetPoolLimit("licence", want)
			}
			now = want
		}
	}()
	r := rand.New(rand.NewPCG(1, 1))
	n, killed, leadersKilled, nextLog := 0, 0, 0, 0
	nextLeaderKill := time.Now().Add(8 * time.Second)
	submitted := map[string]bool{}
	for killed < kills || leadersKilled < takeovers {
		if n < killed/3+30 {
			n++
			submitted[c.submitWithUnits(n, 8, time.Second, units)] = true
		}
		if busy := fleet.BusyMachines(); len(busy) > 0 {
			m := busy[r.IntN(len(busy))]
			switch killed++; r.IntN(3) {
			case 0:
				fleet.StopWorker(standin.Machine{Name: m})
			case 1:
				fleet.PauseWorker(m, 3*time.Second)
			default:
				fleet.PauseWorker(m, 13*time.Second) // longer than its lease
			}
		}
		if time.Now().After(nextLeaderKill) && leadersKilled < takeovers {
			leadersKilled++
			l := c.leader()
			c.kill(l)
			c.start(l, binary)
			nextLeaderKill = time.Now().Add(15 * time.Second)
		}
		if killed >= nextLog {
			t.Logf("%d workers killed or paused, %d leaders killed", killed, leadersKilled)
			nextLog += 25
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	<-stopped
	for id := range submitted {
		c.eventually(id+" is done", 300*time.Second, func() bool { return c.state(id) == "done" })
	}
	for _, b := range append(fleet.BrokenRules(), store.RefusedTransactions()...) {
		t.Error(b)
	}
	if fleet.PoolPeak("licence") < 20 || changes.Load() < 3 {
		t.Errorf("at most %d licences were held, %d changes", fleet.PoolPeak("licence"), changes.Load())
	}
	t.Logf("%d workers killed or paused, %d leaders killed, %d jobs, %d changes of the pool; at most %d licences were held", killed, leadersKilled, len(submitted), changes.Load(), fleet.PoolPeak("licence"))
}

// submitWithUnits submits a job that needs units of pools and returns its id.
func (c *cluster) submitWithUnits(n, tasks int, run time.Duration, units func(string) map[string]int) string {
	c.t.Helper()
	id := fmt.Sprintf("j-%06d", n)
	c.mu.Lock()
	c.jobs[id] = job{tasks: tasks, run: run}
	c.mu.Unlock()
	var poolUnits []string
	for pool, k := range units(id) {
		poolUnits = append(poolUnits, fmt.Sprintf(`{"pool":%q,"units":%d,"per":"task"}`, pool, k))
	}
	body := fmt.Sprintf(`{"name_id":%q,"herd":"c","keeper":"team","gait":"sweep","urgency":"normal","head":%d,"vcpus":1,"gpus":0,"memory_gb":1,"brand":"i","size_gb":0.1,
	  "breeds":null,"together":false,"scatter":false,"loaned_stock":true,"trek_s":%f,"waypoint_s":0,"stow_s":0,"counted":[%s]}`, id, tasks, run.Seconds(), strings.Join(poolUnits, ","))
	if status, _ := c.post("/api/jobs", body); status != 200 && status != 201 {
		c.t.Fatalf("the submission of %s was answered with status %d", id, status)
	}
	return id
}
