package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"bitternmoor/internal/core/eventlog"
)

// site holds the settings of a small deployment.
type site struct {
	nodes      int
	zones      []string
	teams      string // TOML tables
	objectives string // TOML tables
	reportS    float64
	leaseS     float64
	cancelS    float64
	stateRPS   float64
	writeRPS   float64
	valueKB    float64
	txnOps     int
	cloudRPS   float64
	types      []eventlog.MachineType
	boot       time.Duration
	capacity   map[string]int
}

// cluster is a small deployment: controllers as processes of their own, and stand-ins for the
// platform in this process.
type cluster struct {
	site    site
	rec     *record
	dir     string
	command []string // program and arguments of a controller; a settings file follows
	public  []string
	state   *stateService
	cloud   *cloudService

	// answerDoor is asked about each answer of the state service. If it returns false, the answer is lost.
	answerDoor func(r *http.Request, body []byte, status int) bool
	// rewrite changes the body of an answer of the state service.
	rewrite func(r *http.Request, status int, answer []byte) []byte

	// runTime returns how long a task runs. If it is nil, all tasks run for as long as their job says.
	runTime func(id string, task int) time.Duration
	// beforeCommand is told of a direct request before it reaches the worker.
	beforeCommand func(w *worker, path string, body []byte)
	// commandDone is told of direct commands that a worker has carried out.
	commandDone func(w *worker, body []byte)

	mu        sync.Mutex
	processes []*exec.Cmd
	servers   []*http.Server
	workers   map[string]*worker
	jobs      map[string]*job
	audit     *audit
	stopped   bool
}

// deployCommand reads the command that starts a controller from the deploy file.
func deployCommand(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errors.New("deploy file: no run line")
}

func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// Ports of controllers are below those that the system gives to outgoing connections, so that none is taken
// between the check and the start of a controller.
const firstPort, lastPort = 12_000, 31_000

// freeAddresses returns addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for tries := 0; len(list) < n; tries++ {
		if tries > 1000 {
			return nil, errors.New("no free addresses")
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp4", address)
		if err != nil || slices.Contains(list, address) {
			continue
		}
		_ = l.Close() // the address is free again
		list = append(list, address)
	}
	return list, nil
}

// serve starts an HTTP server on a free loopback address and returns the address.
func (c *cluster) serve(handler http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", fmt.Errorf("serve: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	c.mu.Lock()
	c.servers = append(c.servers, server)
	c.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends when the server is closed
	return l.Addr().String(), nil
}

func newCluster(rec *record, s site) (*cluster, error) {
	command, err := deployCommand("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	c := &cluster{
		site: s, rec: rec, dir: dir, command: command,
		state:   &stateService{},
		workers: map[string]*worker{}, jobs: map[string]*job{}, audit: newAudit(rec),
	}
	c.state.LimitRates(s.stateRPS, s.writeRPS)
	c.state.SetLimits(int(s.valueKB*1024), s.txnOps)
	c.cloud = &cloudService{
		Types: s.types, Boot: s.boot, Capacity: s.capacity,
		Address: c.machineAddress, OnMachineUp: c.machineUp, OnMachineDeleted: c.machineDeleted,
	}
	return c, nil
}

// start starts the stand-ins and the controllers.
func (c *cluster) start() error {
	stateAddr, err := c.serve(http.HandlerFunc(c.serveState))
	if err != nil {
		return err
	}
	cloudAddr, err := c.serve(c.cloud)
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(2 * c.site.nodes)
	if err != nil {
		return err
	}
	c.public = addresses[:c.site.nodes]
	internal := addresses[c.site.nodes:]
	c.processes = make([]*exec.Cmd, c.site.nodes)
	for i := range c.site.nodes {
		text := c.settings(i, internal, stateAddr, cloudAddr)
		if err := os.WriteFile(c.settingsFile(i), []byte(text), 0o600); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		if err := c.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

func nodeName(i int) string { return fmt.Sprintf("drover-%d", i) }

func (c *cluster) settingsFile(i int) string { return filepath.Join(c.dir, nodeName(i)+".toml") }

func (c *cluster) settings(i int, internal []string, state, cloud string) string {
	var b strings.Builder
	s := c.site
	zone := func(n int) string { return s.zones[n%len(s.zones)] }
	fmt.Fprintf(&b, "node = %q\ndomain = %q\npublic_addr = %q\ninternal_addr = %q\n",
		nodeName(i), zone(i), c.public[i], internal[i])
	for n := range internal {
		if n != i {
			fmt.Fprintf(&b, "[[others]]\nnode = %q\ndomain = %q\nendpoint = %q\n", nodeName(n), zone(n), internal[n])
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", cloud, state)
	fmt.Fprintf(&b, "[deployment]\ncount = %d\nzones = [\"%s\"]\ntime_bound_ms = 1000.0\n", s.nodes, strings.Join(s.zones, `", "`))
	b.WriteString(s.teams)
	b.WriteString(s.objectives)
	fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 5.0\ncancel_s = %.1f\n",
		s.reportS, s.leaseS, s.cancelS)
	fmt.Fprintf(&b, "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
		s.stateRPS, s.writeRPS, s.valueKB, s.txnOps)
	fmt.Fprintf(&b, "[deployment.cloud]\nrps = %.1f\nlist_lag_s = 3.0\n", s.cloudRPS)
	b.WriteString("[deployment.machine_limits]\ncpu = 0.48\nram_mb = 234.0\nfd_limit = 1500\n")
	return b.String()
}

// startNode starts a controller with its settings file.
func (c *cluster) startNode(i int) error {
	log, err := os.OpenFile(filepath.Join(c.dir, nodeName(i)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer func() { _ = log.Close() }() // the process has a copy of its own
	args := append(c.command[1:len(c.command):len(c.command)], c.settingsFile(i))
	cmd := exec.CommandContext(context.Background(), c.command[0], args...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", nodeName(i), err)
	}
	c.rec.add("%s started", nodeName(i))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[i] = cmd
	return nil
}

// stop ends all processes and stand-ins. With KEEP_LOGS the controllers' logs are
// copied to that folder.
func (c *cluster) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	for i, p := range c.processes {
		if p == nil || p.Process == nil {
			continue
		}
		if p.ProcessState == nil {
			var status syscall.WaitStatus
			if pid, err := syscall.Wait4(p.Process.Pid, &status, syscall.WNOHANG, nil); err == nil && pid == p.Process.Pid {
				c.rec.add("%s had ended by itself: %v", nodeName(i), status)
				continue
			}
		}
		_ = p.Process.Kill() // fails only if it has ended
		_ = p.Wait()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(c.dir)) // for a person who looks into a run
	}
	_ = os.RemoveAll(c.dir)
}

// leader returns the number of the controller that leads, as the state service has it.
func (c *cluster) leader() (int, error) {
	var holder struct {
		Node string `json:"n"`
	}
	if err := json.Unmarshal(c.state.Value("lead/holder"), &holder); err != nil {
		return 0, fmt.Errorf("no leader: %w", err)
	}
	for i := range c.site.nodes {
		if nodeName(i) == holder.Node {
			return i, nil
		}
	}
	return 0, errors.New("no leader")
}
