package node

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/operators/certs"
	"bitternmoor/internal/operators/control"
	"bitternmoor/internal/operators/receipts"
	"bitternmoor/internal/scaletest/standin"
	"bitternmoor/internal/settings"
)

// TestPoolsLoopback takes counted units through real sockets: the door, workers that are
// killed and cut off, a leader that ends, the operators' listener with certificates, and
// receipts. What workers really run is counted at every start. A long run with processes
// that are killed is in internal/upgrade.
func TestPoolsLoopback(t *testing.T) {
	dir := t.TempDir()
	if err := certs.MakeCA(dir, "test CA", time.Hour); err != nil {
		t.Fatal(err)
	}
	for name, hosts := range map[string][]string{"node": {"127.0.0.1"}, "ann": nil} {
		if err := certs.Issue(dir, name, hosts, time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	key := filepath.Join(dir, "receipt.key")
	if err := os.WriteFile(key, []byte("0123456789abcdef"), 0o600); err != nil {
		t.Fatal(err)
	}
	cloud := &standin.Cloud{}
	store := &standin.State{}
	fleet := &standin.Fleet{
		Every: 200 * time.Millisecond,
		Lease: 6 * time.Second,
		Runs:  func(string) (time.Duration, []string) { return 700 * time.Millisecond, nil },
		Tasks: func(string) int { return 3 },
		Units: func(string) map[string]int { return map[string]int{"licence": 1} },
	}
	cloud.Up, cloud.Down = fleet.Up, fleet.Down
	fleet.Limit("licence", 3)
	cluster := newCluster(t, store, cloud, func(c *settings.Settings) {
		c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS = .5, 6
		x := &c.Tunables
		x.Pools = []settings.Pool{{Name: "licence", Units: 3}}
		x.ConfigHistory = 8
		x.ReceiptKeyFiles, x.OperatorsListen, x.OperatorsOperate = key, freeAddr(t), "ann"
		x.OperatorsCert, x.OperatorsKey = filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key")
		x.OperatorsCA = filepath.Join(dir, "ca.pem")
		fleet.Doors = append(fleet.Doors, "http://"+c.PublicAddr)
	})
	cfgs := cluster.settings
	stopFirst := cluster.start(0)
	cluster.start(1)
	await := func(what string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
			if condition() {
				return
			}
		}
		for id := 1; id <= 5; id++ {
			_, out, _ := ask(t, "GET", fmt.Sprintf("%s%sj-%06d", cluster.internal(1), PathExplain, id), "")
			t.Log(out["words"])
		}
		_, out, _ := ask(t, "GET", cluster.internal(1)+PathDuties+"pools/licence", "")
		_, status, _ := ask(t, "GET", cluster.internal(1)+PathStatus, "")
		t.Fatalf("never: %s; %v; %v", what, out, status["machines"])
	}
	public := func(i int) string { return cluster.public(i % 2) }
	submit := func(id int, counted string) int {
		status, _, _ := ask(t, "POST", public(id)+"/api/jobs", fmt.Sprintf(`{"name_id":"j-%06d","herd":"c","keeper":"team","gait":"sweep","urgency":"normal","head":3,"vcpus":1,"gpus":0,"memory_gb":1,
		  "brand":"i","size_gb":0.1,"breeds":null,"together":false,"scatter":false,"loaned_stock":true,"trek_s":1,"waypoint_s":0,"stow_s":0,"counted":[%s]}`, id, counted))
		return status
	}
	for id := 1; id <= 5; id++ {
		await("a submission is accepted", func() bool { return submit(id, `{"pool":"licence","units":1,"per":"task"}`) == 201 })
	}
	for counted, want := range map[string]int{`{"pool":"none","units":1,"per":"task"}`: 422, `{"pool":"licence","units":4,"per":"job"}`: 422,
		`{"pool":"licence","units":0,"per":"task"}`: 400, `{"pool":"licence","units":1,"per":"day"}`: 400} {
		if status := submit(99, counted); status != want {
			t.Errorf("%s gives %d", counted, status)
		}
	}
	pair, err := certs.Files{Cert: filepath.Join(dir, "ann.pem"), Key: filepath.Join(dir, "ann.key"), CA: filepath.Join(dir, "ca.pem")}.Read()
	if err != nil {
		t.Fatal(err)
	}
	change := func(body string) (out pools.Changed, err error) {
		raw, err := control.NewClient(cfgs[1].Tunables.OperatorsListen, pair.Client()).Change(t.Context(), pools.Name, json.RawMessage(`{"change":`+body+`}`))
		if err == nil {
			err = json.Unmarshal(raw, &out)
		}
		return out, err
	}
	for _, duty := range []string{"pools", "config"} {
		if status, _, _ := ask(t, "POST", "http://"+cfgs[0].InternalAddr+PathDuties+duty, `{}`); status != 403 {
			t.Errorf("a change of %s without a certificate gives %d", duty, status)
		}
	}
	await("a team comes to be", func() bool {
		body := `{"id":"guests","revision":0,"changes":[{"item":{"team":"guests"},"value":{"limits":{"cpus_max":2}}}]}`
		raw, err := control.NewClient(cfgs[1].Tunables.OperatorsListen, pair.Client()).Change(t.Context(), "config", json.RawMessage(body))
		return err == nil && strings.Contains(string(raw), `"durable":true`)
	})
	for i := range cfgs {
		await("it is in force everywhere", func() bool {
			var here struct{ Revision uint64 }
			return getJSON(cfgs[i].InternalAddr, "config/here", &here) && here.Revision == 1
		})
	}
	if _, out, _ := ask(t, "GET", "http://"+cfgs[0].InternalAddr+PathDuties+"config", ""); !strings.Contains(fmt.Sprint(out["teams"]), "guests") {
		t.Errorf("the team is not shown: %v", out)
	}
	if raw, err := control.NewClient(cfgs[0].Tunables.OperatorsListen, pair.Client()).Show(t.Context(), "config/history"); err != nil || !strings.Contains(string(raw), `"by":"ann"`) {
		t.Errorf("who made a change is not remembered: %s %v", raw, err)
	}
	for k := range 12 { // workers killed, and cut off past their lease
		await("something runs", func() bool { return len(fleet.Busy()) > 0 })
		if m := fleet.Busy(); len(m) > 0 && k%2 == 0 {
			fleet.StopWorker(standin.Machine{Name: m[0]})
		} else if len(m) > 0 {
			fleet.PauseWorker(m[0], 7*time.Second)
		}
		switch k {
		case 3:
			await("the pool is made smaller", func() bool {
				done, err := change(`{"id":"smaller","pool":"licence","version":0,"units":2}`)
				return err == nil && done.Durable && done.Pool.Units == 2
			})
		case 6:
			stopFirst()
			time.Sleep(300 * time.Millisecond)
			cfgs[0].Tunables.OperatorsListen = freeAddr(t)
			cluster.start(0)
		}
		time.Sleep(400 * time.Millisecond)
	}
	if _, err := change(`{"id":"late","pool":"licence","version":0,"units":3}`); err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("planned for a version that has passed: %v", err)
	}
	var view pools.View
	certified := false
	await("a holder is certified", func() bool {
		if !getJSON(cfgs[0].InternalAddr, "pools/licence", &view) || len(view.Holders) == 0 {
			return false
		}
		for ref, attempt := range fleet.Attempts() {
			job, number, _ := strings.Cut(ref, "/")
			task, err := strconv.Atoi(number)
			if err != nil {
				t.Fatal(err)
			}
			status, out, _ := ask(t, "POST", public(0)+PathReceipts, fmt.Sprintf(`{"job":%q,"task":%d,"attempt":%d}`, job, task, attempt))
			if status != 200 {
				continue
			}
			keys, err := receipts.Read([]string{key})
			if err != nil {
				t.Fatal(err)
			}
			claims, _, err := keys.Verify(out["receipt"].(string), time.Now())
			if err != nil || claims.Subject != fmt.Sprintf("%s/%d", job, task) || len(claims.Units) != 1 || len(claims.Units[0].Numbers) != 1 {
				t.Errorf("%+v %v", claims, err)
			}
			if status, _, _ := ask(t, "POST", public(0)+PathReceipts, fmt.Sprintf(`{"job":%q,"task":%d,"attempt":%d}`, job, task, attempt+1)); status != 409 {
				t.Errorf("another attempt gets %d", status)
			}
			certified = true
			return true
		}
		return false
	})
	for id := 1; id <= 5; id++ {
		await("the job is done", func() bool {
			_, out, _ := ask(t, "GET", fmt.Sprintf("%s/api/jobs/j-%06d", public(1), id), "")
			return out["standing"] == "done"
		})
	}
	for _, b := range append(fleet.BrokenRules(), store.RefusedTransactions()...) {
		t.Error(b)
	}
	if fleet.PoolPeak("licence") != 3 || !certified {
		t.Errorf("at most %d licences were held", fleet.PoolPeak("licence"))
	}
}
