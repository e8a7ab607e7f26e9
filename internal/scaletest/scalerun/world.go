package scalerun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/scaletest/experiment"
	"bitternmoor/internal/scaletest/standin"
	"bitternmoor/internal/scaletest/traffic"
	"bitternmoor/internal/settings"
)

// Options are the programs that a run starts and the destinations of its output.
type Options struct {
	Controller string // path of the built controller binary
	Self       string // path of this program, whose hidden commands run the state service and the workers
	Log        *slog.Logger
	Samples    io.Writer // receives a JSON line for each sample; nil: samples are not written
	Dir        string    // directory for settings files and logs
}

// controller is a controller of the run.
type controller struct {
	name, zone       string
	public, internal string
	control          string // address of the operators' listener
	config           string
	client           *controllerClient
	reports          traffic.Meter // traffic of workers' reports, as the workers see it
	state, cloud     *link
	peers            []*link // to the other controllers, by index; nil for itself

	mu      sync.Mutex
	process *process // nil: the controller is down
}

// workerProcess is a worker that has its own process.
type workerProcess struct {
	process *process
	addr    string
	mu      sync.Mutex
	last    traffic.Count
}

// testbed holds all parts of one run.
type testbed struct {
	exp         *experiment.Experiment
	size        int
	seed        uint64
	options     Options
	ctx         context.Context
	log         *os.File
	network     *network
	work        workload
	fleet       *standin.Fleet
	cloud       *standin.Cloud
	latency     *latencies
	users       *users
	operators   *operators // nil: the configuration is not changed
	state       *process
	stateAddr   string
	controllers []*controller
	jobs        []job
	counts      Counts // numbers of jobs and tasks

	mu              sync.Mutex
	workerProcesses map[string]*workerProcess // by machine
	servers         []io.Closer
}

func newTestbed(ctx context.Context, e *experiment.Experiment, size int, seed uint64, o Options) (*testbed, error) {
	w := &testbed{exp: e, size: size, seed: seed, options: o, ctx: ctx, network: &network{exp: e}, workerProcesses: map[string]*workerProcess{}, latency: newLatencies(seconds(e.Load.UrgentWithinS)),
		work: workload{Seed: seed, TaskS: e.TaskS(), Images: e.Workers.Images}}
	w.jobs, w.counts = schedule(e, size, seed)
	var err error
	if w.log, err = os.Create(filepath.Join(o.Dir, "processes.log")); err != nil {
		return nil, err
	}
	if e.Config.EveryS > 0 {
		if w.operators, err = newOperators(w); err != nil {
			w.close()
			return nil, err
		}
	}
	for _, step := range []func() error{w.startState, w.startCloud, w.makeControllers} {
		if err := step(); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

// close kills all processes and closes all listeners of the run.
func (w *testbed) close() {
	for _, c := range w.controllers {
		c.kill()
	}
	w.mu.Lock()
	for _, r := range w.workerProcesses {
		r.process.kill()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.mu.Unlock()
	if w.state != nil {
		w.state.kill()
	}
	w.network.close()
	_ = w.log.Close()
}

func (w *testbed) startState() error {
	l := w.exp.State
	var err error
	w.state, err = spawn(w.ctx, "state service", w.options.Self, w.log, nil, "state", "--rps", ftoa(l.RPS), "--write-rps", ftoa(l.WriteRPS),
		"--value-kb", ftoa(l.ValueKB), "--txn-ops", strconv.Itoa(l.TxnOps))
	if err != nil {
		return err
	}
	w.stateAddr, err = w.state.line()
	return err
}

func ftoa(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// zoneOf returns the zone of a machine. Machines whose workers have a process each are in the first
// zone.
func (w *testbed) zoneOf(machine int) string {
	zones := w.exp.Zones()
	if machine < w.exp.Workers.Processes {
		return zones[0]
	}
	return zones[machine%len(zones)]
}

func (w *testbed) startCloud() error {
	e := w.exp
	w.fleet = w.work.fleet(nil, e.Workers.ReportS, e.Workers.LeaseS, e.Workers.FetchS)
	w.fleet.CancelWithin = seconds(e.Workers.CancelS)
	w.fleet.Observe = w.latency.observe
	byID := map[string]job{}
	for _, j := range w.jobs {
		byID[j.name()] = j
	}
	w.fleet.TaskCount = func(id string) int { return byID[id].tasks }
	limit := w.teamLimit()
	w.fleet.Team = func(id string) (string, float64, float64) { return teamName(byID[id].team), taskCPUs, limit }
	w.fleet.Reaches = func(zone string, controller int) (bool, time.Duration) {
		to := w.controllers[controller].zone
		return w.network.reaches(zone, to), w.network.latency(zone, to)
	}
	capacity := map[string]int{}
	for k := range w.size {
		capacity[w.zoneOf(k)]++
	}
	w.cloud = &standin.Cloud{Capacity: capacity, Boot: machineBoot, OnMachineUp: w.startMachine, OnMachineDeleted: w.stopMachine, Address: w.address,
		Types: []eventlog.MachineType{{Name: machineType, CPUs: e.Workers.CPUs, MemoryGB: e.Workers.MemoryGB, CacheGB: 100, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: machineBoot.Seconds(), Zones: e.Zones()}}}
	return nil
}

// machineBoot is the boot time of a rented machine.
const machineBoot = 20 * time.Second

// teamLimit returns how many processors a team may use; 0: no limit.
func (w *testbed) teamLimit() float64 {
	return float64(int(w.exp.Load.TeamShare * float64(w.size) * w.exp.Workers.CPUs))
}

// address starts the process of a machine's worker, or a listener for a hollow worker, and returns its
// address.
func (w *testbed) address(m standin.Machine) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.workerProcesses) < min(w.exp.Workers.Processes, w.size) {
		r, err := w.startWorker(m.Name)
		if err == nil {
			w.workerProcesses[m.Name] = r
			return r.addr
		}
		w.options.Log.Error("failed to start the process of a worker", "error", err)
	}
	addr, err := w.serve(&w.fleet.Direct, http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		h := w.fleet.Handler(m.Name)
		if h == nil || w.network.isolated(m.Zone) {
			time.Sleep(unreachableDelay)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(out, r)
	}))
	if err != nil {
		w.options.Log.Error("failed to listen for a worker", "machine", m.Name, "error", err)
	}
	return addr
}

// serve starts an HTTP server that runs until the end of the run. The caller holds the lock.
func (w *testbed) serve(traffic *traffic.Meter, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: serverTimeout}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(countingListener{l, traffic}) }() // runs until it is closed
	return l.Addr().String(), nil
}

const serverTimeout = 5 * time.Second

// unreachableDelay is how long a request to a stopped or partitioned machine waits before it is aborted.
const unreachableDelay = 3 * time.Second

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *traffic.Meter
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c.traffic.Conn(conn), nil
}

func (w *testbed) startWorker(machine string) (*workerProcess, error) {
	p, err := spawn(w.ctx, machine, w.options.Self, w.log, nil, "worker")
	if err != nil {
		return nil, err
	}
	r := &workerProcess{process: p}
	r.addr, err = p.line()
	return r, err
}

func (w *testbed) workerProcess(machine string) *workerProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workerProcesses[machine]
}

// startMachine starts the worker of a machine.
func (w *testbed) startMachine(m standin.Machine) {
	r := w.workerProcess(m.Name)
	if r == nil {
		w.fleet.StartWorker(m)
		return
	}
	config := workerConfig{Machine: m, Doors: w.fleet.Controllers, ReportS: w.exp.Workers.ReportS, LeaseS: w.exp.Workers.LeaseS, FetchS: w.exp.Workers.FetchS, Workload: w.work}
	if err := json.NewEncoder(r.process.stdin).Encode(config); err != nil {
		w.options.Log.Error("failed to configure the process of a worker", "machine", m.Name, "error", err)
		return
	}
	go r.readNotes(m.Name, w.fleet)
}

// readNotes processes and acknowledges the notes of a worker's process until it ends.
func (r *workerProcess) readNotes(machine string, fleet *standin.Fleet) {
	for {
		line, err := r.process.line()
		if err != nil {
			return
		}
		var n workerNote
		if json.Unmarshal([]byte(line), &n) != nil {
			return
		}
		switch {
		case n.Started != "":
			fleet.Started(n.Started, machine, n.Attempt)
		case n.Ended != "":
			fleet.Ended(n.Ended, machine, n.Done)
		case n.Traffic != nil:
			r.mu.Lock()
			r.last = *n.Traffic
			r.mu.Unlock()
		}
		if _, err := io.WriteString(r.process.stdin, "\n"); err != nil {
			return
		}
	}
}

func (w *testbed) stopMachine(m standin.Machine) {
	if r := w.workerProcess(m.Name); r != nil {
		r.process.kill()
	}
	w.fleet.StopWorker(m)
}

// host returns the loopback address for the controllers of this process's runs. It differs between
// concurrent processes because a free port is not reserved until a controller listens on it: two
// runs that were started together had picked the same ports and served one another's jobs.
func host() string {
	const digits = 254
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid/digits%digits, 1+pid%digits)
}

// freeAddrs returns the given number of addresses with free ports.
func freeAddrs(count int) (addrs []string, err error) {
	for range count {
		l, err := net.Listen("tcp4", host()+":0")
		if err != nil {
			return nil, err
		}
		// Listeners are closed only after all ports are found; otherwise a port could be found twice.
		defer func() { _ = l.Close() }()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// addrsPerController is the number of addresses of a controller.
const addrsPerController = 3

func (w *testbed) makeControllers() error {
	w.mu.Lock()
	cloudAddr, err := w.serve(&traffic.Meter{}, w.cloud)
	w.mu.Unlock()
	if err != nil {
		return err
	}
	addrs, err := freeAddrs(addrsPerController * w.exp.Controllers.Count)
	if err != nil {
		return err
	}
	zones := w.exp.Zones()
	for i := range w.exp.Controllers.Count {
		c := &controller{name: "n" + strconv.Itoa(i), zone: zones[i%len(zones)]}
		own := addrs[i*addrsPerController:]
		c.public, c.internal, c.control = own[0], own[1], own[2]
		c.client = newControllerClient(c.public, c.zone)
		w.controllers = append(w.controllers, c)
		w.fleet.Controllers = append(w.fleet.Controllers, "http://"+c.public)
		w.fleet.Traffic = append(w.fleet.Traffic, &c.reports)
	}
	for _, c := range w.controllers {
		if err := w.connect(c, cloudAddr); err != nil {
			return err
		}
	}
	return nil
}

// connect creates the links from a controller to the services and its peers, and writes its settings.
func (w *testbed) connect(c *controller, cloudAddr string) (err error) {
	if c.state, err = w.network.connect(c.zone, noZone, w.stateAddr); err != nil {
		return err
	}
	if c.cloud, err = w.network.connect(c.zone, noZone, cloudAddr); err != nil {
		return err
	}
	p := w.platform(c)
	for _, other := range w.controllers {
		if other == c {
			c.peers = append(c.peers, nil)
			continue
		}
		l, err := w.network.connect(c.zone, other.zone, other.internal)
		if err != nil {
			return err
		}
		c.peers = append(c.peers, l)
		p.Peers = append(p.Peers, settings.Peer{Node: other.name, Zone: other.zone, Endpoint: l.proxy.Addr()})
	}
	raw, err := toml.Marshal(p)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", c.name, err)
	}
	c.config = filepath.Join(w.options.Dir, c.name+".toml")
	return os.WriteFile(c.config, raw, 0o600)
}

// platform returns the part of a controller's settings that the platform provides.
func (w *testbed) platform(c *controller) settings.Platform {
	e := w.exp
	var p settings.Platform
	p.Node, p.Zone, p.PublicAddr, p.InternalAddr = c.name, c.zone, c.public, c.internal
	p.External.State, p.External.Cloud = c.state.proxy.Addr(), c.cloud.proxy.Addr()
	d := &p.Deployment
	d.Count, d.Zones, d.TimeBoundMS = e.Controllers.Count, e.Zones(), 1000
	guarantee := float64(w.size) * e.Workers.CPUs / float64(e.Load.Teams) / 2
	for i := range e.Load.Teams {
		limit := w.teamLimit()
		t := settings.Team{Name: teamName(i), CPUs: guarantee, CPUsMax: limit}
		if limit > 0 {
			t.CPUs = min(guarantee, limit)
		}
		d.Teams = append(d.Teams, t)
	}
	d.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: classUrgent, WithinS: e.Load.UrgentWithinS, Share: 0.99}}
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = e.Workers.ReportS, e.Workers.LeaseS, e.Workers.CancelS
	d.Workers.GangWaitS, d.Workers.GangPeerS = 35, 5
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = e.State.RPS, e.State.WriteRPS, e.State.ValueKB, e.State.TxnOps
	d.Cloud.RPS, d.Cloud.ListLagS = 9, 1
	d.MachineLimits.CPU, d.MachineLimits.RAMMB, d.MachineLimits.FDLimit = e.Controllers.CPU, e.Controllers.RAMMB, e.Controllers.FDLimit
	return p
}

// start starts the process of a controller.
func (w *testbed) start(c *controller) error {
	args := []string{"--config", c.config}
	set := w.exp.Controllers.Set
	if w.operators != nil {
		set = slices.Concat(set, w.operators.settings(c.control))
	}
	for _, s := range set {
		args = append(args, "--set", s)
	}
	p, err := spawn(w.ctx, c.name, w.options.Controller, w.log, []string{"LOG_LEVEL=info"}, args...)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.process = p
	return nil
}

func (c *controller) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil {
		c.process.kill()
		c.process = nil
	}
}

// usage returns the resource usage and PID of the controller's process. It returns false if the
// controller is down.
func (c *controller) usage() (Usage, int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return Usage{}, 0, false
	}
	pid := c.process.cmd.Process.Pid
	u, ok := usageOf(pid)
	return u, pid, ok
}

// observe reads the counters and the leader from the state service's process.
func (w *testbed) observe() (o observed, err error) {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + w.stateAddr + pathObserve)
	if err != nil {
		return o, err
	}
	defer func() { _ = resp.Body.Close() }() // read errors are returned
	return o, json.NewDecoder(resp.Body).Decode(&o)
}

// awaitLeader waits until there is a leader, for LeaderWithinS at most.
func (w *testbed) awaitLeader() error {
	for end := time.Now().Add(seconds(w.exp.Controllers.LeaderWithinS)); time.Now().Before(end); {
		if o, err := w.observe(); err == nil && o.Leader != "" {
			return nil
		}
		select {
		case <-w.ctx.Done():
			return w.ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return fmt.Errorf("no leader elected within %v s; the logs are in %s", w.exp.Controllers.LeaderWithinS, w.log.Name())
}
