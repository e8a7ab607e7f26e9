package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"bitternmoor/internal/core/eventlog"
)

// site is a deployment, in the numbers of one of the platform's pages.
type site struct {
	count      int
	zones      []string
	teams      []string
	objectives string // TOML

	reportS, leaseS, cancelS float64
	stateRPS, writeRPS       float64
	valueKB                  float64
	txnOps                   int
	cloudRPS, listLagS       float64
	cpu, ramMB               float64
	fds                      int

	types    []eventlog.MachineType
	capacity map[string]int // machines by zone
	boot     time.Duration
}

// node is one controller.
type node struct {
	name, zone       string
	public, internal string
	config           string

	mu      sync.Mutex
	cmd     *exec.Cmd
	healthy bool
}

// start starts the platform and the controllers.
func (l *lab) start(s site) error {
	l.site = s
	l.state = &stateService{}
	l.state.SetLimits(int(s.valueKB*1024), s.txnOps)
	l.state.LimitRates(s.stateRPS, s.writeRPS)
	stateAddr, err := l.serve(l.state)
	if err != nil {
		return err
	}
	l.cloud = &cloud{
		Types: s.types, Capacity: s.capacity, Boot: s.boot,
		Address: l.workerAddress, OnMachineUp: l.machineUp, OnMachineDeleted: l.machineGone,
	}
	cloudAddr, err := l.serve(l.cloud)
	if err != nil {
		return err
	}
	ports, err := freePorts(2 * s.count)
	if err != nil {
		return err
	}
	for i := range s.count {
		l.nodes = append(l.nodes, &node{
			name: fmt.Sprintf("n%d", i), zone: s.zones[i%len(s.zones)], public: ports[2*i], internal: ports[2*i+1],
			config: filepath.Join(l.dir, fmt.Sprintf("n%d.toml", i)),
		})
	}
	for i, n := range l.nodes {
		if err := os.WriteFile(n.config, []byte(l.settings(i, stateAddr, cloudAddr)), 0o600); err != nil {
			return err
		}
		if err := l.startNode(n); err != nil {
			return err
		}
	}
	go l.probeNodes()
	return l.awaitHealthy()
}

// startNode starts a controller with the command of the deploy file.
func (l *lab) startNode(n *node) error {
	raw, err := os.ReadFile(filepath.Join(l.root, "deploy", "service.toml"))
	if err != nil {
		return err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		return err
	}
	args := append(strings.Fields(deploy.Run), n.config)
	log, err := os.OpenFile(l.logPath(n.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the child has its own copy
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir, cmd.Stderr = l.root, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	l.note("controller %s started: %s", n.name, deploy.Run)
	return nil
}

// kill ends a controller, if it runs.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Kill() // fails only if it has ended
		_ = n.cmd.Wait()
		n.cmd = nil
	}
}

func (l *lab) settings(i int, state, cloud string) string {
	s, n := &l.site, l.nodes[i]
	var b strings.Builder
	put := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	put("node = %q\ndomain = %q\npublic_addr = %q\ninternal_addr = %q", n.name, n.zone, n.public, n.internal)
	for k, other := range l.nodes {
		if k != i {
			put("[[others]]\nnode = %q\ndomain = %q\nendpoint = %q", other.name, other.zone, other.internal)
		}
	}
	put("[external]\ncloud = %q\nstate = %q", cloud, state)
	put("[deployment]\ncount = %d\nzones = [%s]\ntime_bound_ms = 1000.0", s.count, `"`+strings.Join(s.zones, `", "`)+`"`)
	for _, team := range s.teams {
		put("[[deployment.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0", team)
	}
	put("%s", s.objectives)
	put("[deployment.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = 35.0\ngang_peer_s = 5.0\ncancel_s = %f", s.reportS, s.leaseS, s.cancelS)
	put("[deployment.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\ntxn_ops = %d", s.stateRPS, s.writeRPS, s.valueKB, s.txnOps)
	put("[deployment.cloud]\nrps = %f\nlist_lag_s = %f", s.cloudRPS, s.listLagS)
	put("[deployment.machine_limits]\ncpu = %f\nram_mb = %f\nfd_limit = %d", s.cpu, s.ramMB, s.fds)
	return b.String()
}

// freePorts returns loopback addresses with ports that are free at present. They are below those that the system
// hands out, so that no other listener of a run beside this one takes them meanwhile.
func freePorts(count int) ([]string, error) {
	const from, to = 12_000, 30_000
	var list []string
	for range 100 * count {
		if len(list) == count {
			return list, nil
		}
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", from+rand.IntN(to-from)))
		if err != nil {
			continue // taken
		}
		defer func() { _ = listener.Close() }() // its port is used from then on
		list = append(list, listener.Addr().String())
	}
	return nil, errors.New("no free ports")
}

// probeNodes asks for the health of all controllers once a second, as the load balancer does.
func (l *lab) probeNodes() {
	client := &http.Client{Timeout: time.Second}
	for range time.Tick(500 * time.Millisecond) {
		for _, n := range l.nodes {
			resp, err := client.Get("http://" + n.public + "/healthz")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			n.mu.Lock()
			n.healthy = ok
			n.mu.Unlock()
		}
	}
}

func (n *node) isHealthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.healthy
}

// awaitHealthy waits until all controllers are healthy and one of them answers for a job.
func (l *lab) awaitHealthy() error {
	for l.now() < 20 {
		time.Sleep(100 * time.Millisecond)
		ready := 0
		for _, n := range l.nodes {
			status, _, err := l.request(n, http.MethodGet, "/api/jobs/j-999999", nil, 2*time.Second)
			if err == nil && status == http.StatusNotFound && n.isHealthy() {
				ready++
			}
		}
		if ready == len(l.nodes) {
			l.note("all controllers serve")
			return nil
		}
	}
	return errors.New("the controllers do not serve")
}

// leader returns the controller that leads, as the state service has it, or nil.
func (l *lab) leader() *node {
	var holder struct {
		Node string `json:"n"`
	}
	if json.Unmarshal(l.state.Value("lead/holder"), &holder) != nil {
		return nil
	}
	for _, n := range l.nodes {
		if n.name == holder.Node {
			return n
		}
	}
	return nil
}

// killLeader kills the controller that leads and returns it.
func (l *lab) killLeader() (*node, error) {
	n := l.leader()
	if n == nil {
		return nil, errors.New("there is no leader")
	}
	n.kill()
	l.note("controller %s, the leader, killed", n.name)
	return n, nil
}
