package node

import (
	"crypto/tls"
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

const (
	poolsJobCount = 5
	poolsTimeout  = 90 * time.Second
)

// poolsTest is a cluster of two controllers with a pool of three licences, and a simulated fleet
// that counts the units held at every task start.
type poolsTest struct {
	*testCluster
	dir      string // holds the certificates and the key that signs receipts
	fleet    *standin.Fleet
	store    *standin.StateService
	operator *tls.Config // TLS configuration of ann, who has the operate role
}

// TestPoolsLoopback checks over real sockets that a pool's units are never exceeded. It covers the
// user API, workers that are killed or disconnected, a leader that stops, the operators' listener
// with certificates, and receipts. The simulated fleet counts the units that tasks actually hold at
// every start. A long run that kills processes is in internal/upgrade.
func TestPoolsLoopback(t *testing.T) {
	p := newPoolsTest(t)
	stopFirst := p.start(0)
	p.start(1)
	p.submitJobs(t)
	p.checkCertificatesNeeded(t)
	p.addTeam(t)
	p.injectFaults(t, stopFirst)
	_, err := p.change(t, `{"id":"late","pool":"licence","version":0,"units":3}`)
	if err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("a change planned for an outdated version returns %v", err)
	}
	p.await(t, "a holder has a receipt", func() bool { return p.checkHolderReceipt(t) })
	for id := 1; id <= poolsJobCount; id++ {
		p.await(t, "the job is done", func() bool {
			_, out, _ := sendRequest(t, "GET", fmt.Sprintf("%s/api/jobs/j-%06d", p.public(1), id), "")
			return out["standing"] == "done"
		})
	}
	for _, broken := range append(p.fleet.BrokenRules(), p.store.RefusedTransactions()...) {
		t.Error(broken)
	}
	if peak := p.fleet.PoolPeak("licence"); peak != 3 {
		t.Errorf("the peak of licences held is %d, want 3", peak)
	}
}

func newPoolsTest(t *testing.T) *poolsTest {
	t.Helper()
	p := &poolsTest{
		dir:   t.TempDir(),
		store: &standin.StateService{},
		fleet: &standin.Fleet{
			ReportInterval: 200 * time.Millisecond,
			Lease:          6 * time.Second,
			JobDuration:    func(string) (time.Duration, []string) { return 700 * time.Millisecond, nil },
			TaskCount:      func(string) int { return 3 },
			PoolUnits:      func(string) map[string]int { return map[string]int{"licence": 1} },
		},
	}
	p.makeCertificates(t)
	p.fleet.SetPoolLimit("licence", 3)
	cloud := &standin.Cloud{OnMachineUp: p.fleet.StartWorker, OnMachineDeleted: p.fleet.StopWorker}
	p.testCluster = newCluster(t, p.store, cloud, func(c *settings.Settings) {
		c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS = .5, 6
		x := &c.Tunables
		x.Pools = []settings.Pool{{Name: "licence", Units: 3}}
		x.ConfigHistory = 8
		x.ReceiptKeyFiles, x.OperatorsListen, x.OperatorsOperate = p.file("receipt.key"), freeAddr(t), "ann"
		x.OperatorsCert, x.OperatorsKey, x.OperatorsCA = p.file("node.pem"), p.file("node.key"), p.file("ca.pem")
		p.fleet.Controllers = append(p.fleet.Controllers, "http://"+c.PublicAddr)
	})
	return p
}

func (p *poolsTest) file(name string) string { return filepath.Join(p.dir, name) }

// makeCertificates writes the certificates of the controllers and of ann, and the receipt key.
func (p *poolsTest) makeCertificates(t *testing.T) {
	t.Helper()
	if err := certs.MakeCA(p.dir, "test CA", time.Hour); err != nil {
		t.Fatal(err)
	}
	for name, hosts := range map[string][]string{"node": {"127.0.0.1"}, "ann": nil} {
		if err := certs.Issue(p.dir, name, hosts, time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(p.file("receipt.key"), []byte("0123456789abcdef"), 0o600); err != nil {
		t.Fatal(err)
	}
	pair, err := certs.Files{Cert: p.file("ann.pem"), Key: p.file("ann.key"), CA: p.file("ca.pem")}.Read()
	if err != nil {
		t.Fatal(err)
	}
	p.operator = pair.Client()
}

// await waits for a condition. On a timeout it prints the state of the jobs and of the pool.
func (p *poolsTest) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(poolsTimeout); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if condition() {
			return
		}
	}
	for id := 1; id <= poolsJobCount; id++ {
		_, out, _ := sendRequest(t, "GET", fmt.Sprintf("%s%sj-%06d", p.internal(1), PathExplain, id), "")
		t.Log(out["words"])
	}
	_, out, _ := sendRequest(t, "GET", p.internal(1)+PathComponents+"pools/licence", "")
	_, status, _ := sendRequest(t, "GET", p.internal(1)+PathStatus, "")
	t.Fatalf("timed out waiting until %s; pool: %v; machines: %v", what, out, status["machines"])
}

// submit submits a job of three tasks, to one controller or the other depending on the ID.
func (p *poolsTest) submit(t *testing.T, id int, counted string) int {
	t.Helper()
	status, _, _ := sendRequest(t, "POST", p.public(id%2)+"/api/jobs", fmt.Sprintf(`{"name_id":"j-%06d","herd":"c",
	  "keeper":"team","gait":"sweep","urgency":"normal","head":3,"vcpus":1,"gpus":0,"memory_gb":1,
	  "brand":"i","size_gb":0.1,"breeds":null,"together":false,"scatter":false,"loaned_stock":true,
	  "trek_s":1,"waypoint_s":0,"stow_s":0,"counted":[%s]}`, id, counted))
	return status
}

// submitJobs submits the jobs, and some with invalid or unsatisfiable pool requirements.
func (p *poolsTest) submitJobs(t *testing.T) {
	t.Helper()
	for id := 1; id <= poolsJobCount; id++ {
		p.await(t, "a submission is accepted", func() bool {
			return p.submit(t, id, `{"pool":"licence","units":1,"per":"task"}`) == 201
		})
	}
	for counted, want := range map[string]int{
		`{"pool":"none","units":1,"per":"task"}`:    422,
		`{"pool":"licence","units":4,"per":"job"}`:  422,
		`{"pool":"licence","units":0,"per":"task"}`: 400,
		`{"pool":"licence","units":1,"per":"day"}`:  400,
	} {
		if status := p.submit(t, 99, counted); status != want {
			t.Errorf("%s returns %d", counted, status)
		}
	}
}

// client returns ann's client for a controller's operators' listener.
func (p *poolsTest) client(i int) *control.Client {
	return control.NewClient(p.settings[i].Tunables.OperatorsListen, p.operator)
}

// change sends a change of the pool to the second controller.
func (p *poolsTest) change(t *testing.T, body string) (changed pools.ChangeResult, err error) {
	t.Helper()
	raw, err := p.client(1).Change(t.Context(), pools.Name, json.RawMessage(`{"change":`+body+`}`))
	if err == nil {
		err = json.Unmarshal(raw, &changed)
	}
	return changed, err
}

func (p *poolsTest) checkCertificatesNeeded(t *testing.T) {
	t.Helper()
	for _, component := range []string{"pools", "config"} {
		if status, _, _ := sendRequest(t, "POST", p.internal(0)+PathComponents+component, `{}`); status != 403 {
			t.Errorf("a change of %s without a certificate returns %d", component, status)
		}
	}
}

// addTeam adds a team to the configuration, and waits until it is in force on both controllers.
func (p *poolsTest) addTeam(t *testing.T) {
	t.Helper()
	p.await(t, "the new team is durable", func() bool {
		body := `{"id":"guests","revision":0,"changes":[{"item":{"team":"guests"},"value":{"limits":{"cpus_max":2}}}]}`
		raw, err := p.client(1).Change(t.Context(), "config", json.RawMessage(body))
		return err == nil && strings.Contains(string(raw), `"durable":true`)
	})
	for _, c := range p.settings {
		p.await(t, "the new team is in force on the controller", func() bool {
			var here struct{ Revision uint64 }
			return getView(c.InternalAddr, "config/here", &here) && here.Revision == 1
		})
	}
	_, out, _ := sendRequest(t, "GET", p.internal(0)+PathComponents+"config", "")
	if !strings.Contains(fmt.Sprint(out["teams"]), "guests") {
		t.Errorf("the view does not show the team: %v", out)
	}
	raw, err := p.client(0).Show(t.Context(), "config/history")
	if err != nil || !strings.Contains(string(raw), `"by":"ann"`) {
		t.Errorf("the history does not name the author of the change: %s %v", raw, err)
	}
}

// injectFaults kills workers and disconnects others for longer than their lease. Meanwhile it
// shrinks the pool and restarts the first controller.
func (p *poolsTest) injectFaults(t *testing.T, stopFirst func()) {
	t.Helper()
	for round := range 12 {
		p.await(t, "a task runs", func() bool { return len(p.fleet.BusyMachines()) > 0 })
		if busy := p.fleet.BusyMachines(); len(busy) > 0 && round%2 == 0 {
			p.fleet.StopWorker(standin.Machine{Name: busy[0]})
		} else if len(busy) > 0 {
			p.fleet.PauseWorker(busy[0], 7*time.Second)
		}
		switch round {
		case 3:
			p.await(t, "the pool is shrunk", func() bool {
				done, err := p.change(t, `{"id":"smaller","pool":"licence","version":0,"units":2}`)
				return err == nil && done.Durable && done.Pool.Units == 2
			})
		case 6:
			stopFirst()
			time.Sleep(300 * time.Millisecond)
			p.settings[0].Tunables.OperatorsListen = freeAddr(t)
			p.start(0)
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// checkHolderReceipt requests a receipt for a running attempt, and then one for another attempt of
// the same task, which must be rejected. It reports whether it found an attempt that gets a receipt.
func (p *poolsTest) checkHolderReceipt(t *testing.T) bool {
	t.Helper()
	var view pools.View
	if !getView(p.settings[0].InternalAddr, "pools/licence", &view) || len(view.Holders) == 0 {
		return false
	}
	for ref, attempt := range p.fleet.Attempts() {
		job, number, _ := strings.Cut(ref, "/")
		task, err := strconv.Atoi(number)
		if err != nil {
			t.Fatal(err)
		}
		status, out := p.receipt(t, job, task, attempt)
		if status != 200 {
			continue
		}
		p.verifyReceipt(t, out["receipt"].(string), fmt.Sprintf("%s/%d", job, task))
		if status, _ := p.receipt(t, job, task, attempt+1); status != 409 {
			t.Errorf("a receipt for another attempt returns %d", status)
		}
		return true
	}
	return false
}

func (p *poolsTest) receipt(t *testing.T, job string, task int, attempt uint64) (int, map[string]any) {
	t.Helper()
	body := fmt.Sprintf(`{"job":%q,"task":%d,"attempt":%d}`, job, task, attempt)
	status, out, _ := sendRequest(t, "POST", p.public(0)+PathReceipts, body)
	return status, out
}

// verifyReceipt checks that a receipt is validly signed, is for the subject, and lists one numbered
// unit.
func (p *poolsTest) verifyReceipt(t *testing.T, receipt, subject string) {
	t.Helper()
	keys, err := receipts.Read([]string{p.file("receipt.key")})
	if err != nil {
		t.Fatal(err)
	}
	claims, _, err := keys.Verify(receipt, time.Now())
	if err != nil || claims.Subject != subject || len(claims.Units) != 1 || len(claims.Units[0].Numbers) != 1 {
		t.Errorf("receipt has claims %+v, error %v", claims, err)
	}
}
