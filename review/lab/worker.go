package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	reportWait   = 4 * time.Second
	nextNodeWait = time.Second
	leastPause   = 500 * time.Millisecond
	maxBytes     = 64 << 10 // of a request body, and of a line of a response
)

// attempt is one attempt of a task on a machine.
type attempt struct {
	Task  string `json:"beast"`
	Try   uint64 `json:"try"`
	State string `json:"standing"`
	Why   string `json:"cause,omitempty"`

	until time.Time // when its fetch or its run ends
	cpus  float64
	run   time.Duration
}

type report struct {
	Machine string     `json:"stall"`
	Address string     `json:"address"`
	Type    string     `json:"breed"`
	Zone    string     `json:"pasture"`
	Spot    bool       `json:"loaned_stock"`
	Session uint64     `json:"watch"`
	Seq     uint64     `json:"tally"`
	Token   uint64     `json:"crook"`
	Recall  *float64   `json:"recall_s"`
	Tasks   []*attempt `json:"head"`
}

type command struct {
	Call  string  `json:"call"`
	Task  string  `json:"beast"`
	Try   uint64  `json:"try"`
	Grace float64 `json:"settle_s"`
}

type commands struct {
	Token   *uint64   `json:"crook"`
	Session *uint64   `json:"watch"`
	Calls   []command `json:"calls"`
}

// worker is the worker of one machine, as the protocol describes it. Gangs and checkpoints are left
// out: no case has any.
type worker struct {
	c       *cluster
	machine machine
	cpus    float64
	client  *http.Client

	mu       sync.Mutex
	up       time.Time
	ctx      context.Context // ends when the machine restarts
	cancel   context.CancelFunc
	cutOff   bool          // packets between the machine and one controller are held back
	cutNode  int           // that controller
	held     [][]byte      // direct commands that are held back
	healed   chan struct{} // closed when the interruption ends
	life     int           // increases when the machine restarts
	gone     bool
	session  uint64
	seq      uint64
	token    uint64
	renewed  time.Time // when the last answered report was sent
	tasks    []*attempt
	images   map[string]bool
	results  map[string]bool // tasks whose result is kept
	changed  bool
	tokenAt  time.Time // when a higher token last counted as a change
	node     int
	listener net.Listener
	tooLarge int // responses with a line over 64 KiB
	largest  int // the longest such line
}

// machineAddress opens the address of a machine's worker. Nothing answers there until it is up.
func (c *cluster) machineAddress(m machine) string {
	l, err := listen()
	if err != nil {
		return "127.0.0.1:1"
	}
	w := &worker{c: c, machine: m, listener: l}
	for _, t := range c.site.types {
		if t.Name == m.Type {
			w.cpus = t.CPUs
		}
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.reset(1)
	w.node = rand.IntN(max(1, c.site.nodes))
	w.client = &http.Client{Transport: &http.Transport{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[m.Name] = w
	return l.Addr().String()
}

func (c *cluster) worker(name string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[name]
}

func (c *cluster) machineUp(m machine) {
	w := c.worker(m.Name)
	w.machine.Address = m.Address
	c.rec.add("%s is up (%s in %s)", m.Name, m.Type, m.Zone)
	server := &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	c.mu.Lock()
	c.servers = append(c.servers, server)
	c.mu.Unlock()
	go func() { _ = server.Serve(w.listener) }() // ends when the server is closed
	w.mu.Lock()
	w.renewed, w.up = time.Now(), time.Now()
	w.mu.Unlock()
	go w.runReports()
	go w.runTasks()
}

func (c *cluster) machineDeleted(m machine) {
	w := c.worker(m.Name)
	w.mu.Lock()
	defer w.mu.Unlock()
	c.rec.add("%s is deleted", m.Name)
	w.dropTasks("the machine is gone")
	w.gone = true
	_ = w.listener.Close() // fails only if it is closed already
}

// reset makes the worker a new one, without tasks and token. The caller holds the lock or owns the worker.
func (w *worker) reset(session uint64) {
	w.session, w.seq, w.token = session, 0, 0
	w.tasks, w.images, w.results = nil, map[string]bool{}, map[string]bool{}
	w.renewed, w.changed, w.tokenAt = time.Now(), true, time.Time{}
}

// restart is a power failure of the machine: it loses everything on it, images too, and is back at once.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.c.rec.add("%s restarts: it has lost all tasks, its session is 1 and its token 0", w.machine.Name)
	w.dropTasks("the machine restarts")
	w.life++
	w.cancel()
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.reset(1)
	if w.cutOff {
		w.node = w.cutNode // it tries this one first
	}
}

// interrupt holds back the packets between the machine and one controller. The controller is the one that sends
// direct commands at present.
func (w *worker) interrupt(node int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff, w.cutNode, w.healed = true, node, make(chan struct{})
	w.c.rec.add("the network between %s and %s is interrupted", w.machine.Name, nodeName(node))
}

// heal ends the interruption: the direct commands that were held back are delivered, in order.
func (w *worker) heal() {
	w.mu.Lock()
	held := w.held
	w.cutOff, w.held = false, nil
	healed := w.healed
	w.mu.Unlock()
	w.c.rec.add("the interruption is over")
	defer close(healed) // the commands were sent before the report that the machine waits with
	for _, body := range held {
		status, _ := w.serve("/do", body)
		w.c.rec.add("%s: a command that was held back arrives: %d %s", w.machine.Name, status, body)
	}
}

// holdsBack reports whether a direct request is held back on its way.
func (w *worker) holdsBack(path string, body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutOff && path == "/do" {
		w.held = append(w.held, body)
		w.c.rec.add("a command to %s is held back: %s", w.machine.Name, body)
	}
	return w.cutOff
}

// dropTasks ends all tasks. The caller holds the lock.
func (w *worker) dropTasks(why string) {
	for _, t := range w.tasks {
		if t.State == "running" {
			w.c.audit.ended(t.Task, w.machine.Name, why)
		}
	}
	w.tasks = nil
}

// upFor returns for how long the machine has been up.
func (w *worker) upFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.up)
}

func (w *worker) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone || w.c.isStopped()
}

func (c *cluster) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// runTasks ends fetches, runs and the lease when their time has come.
func (w *worker) runTasks() {
	for !w.over() {
		w.mu.Lock()
		w.advance(time.Now())
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// advance is called with the lock held.
func (w *worker) advance(now time.Time) {
	if now.Sub(w.renewed) > time.Duration(w.c.site.leaseS*float64(time.Second)) {
		w.c.rec.add("%s: the lease of session %d has run out, %d tasks are killed", w.machine.Name, w.session, len(w.tasks))
		w.dropTasks("the lease has run out")
		w.session++
		w.renewed, w.changed = now, true
	}
	for _, t := range w.tasks {
		if t.State == "ended" || now.Before(t.until) {
			continue
		}
		w.changed = true
		if t.State == "fetching" {
			w.images[w.jobOf(t.Task).Image] = true
			w.begin(t, now)
			continue
		}
		t.State, t.Why = "ended", "done"
		w.results[t.Task] = true
		w.c.audit.done(t.Task, w.machine.Name)
	}
}

func (w *worker) jobOf(task string) *job {
	id, number, _ := strings.Cut(task, "/")
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	j := w.c.jobs[id]
	if n, err := strconv.Atoi(number); j == nil || err != nil || n >= j.Tasks {
		return nil
	}
	return j
}

func (w *worker) begin(t *attempt, now time.Time) {
	if w.results[t.Task] {
		t.State, t.Why = "ended", "done"
		return
	}
	t.State, t.until = "running", now.Add(t.run)
	w.c.audit.started(t.Task, w.machine.Name, t.Try)
}

// execute carries out commands. The caller holds the lock.
func (w *worker) execute(calls []command) {
	now := time.Now()
	for _, call := range calls {
		var known *attempt
		for _, t := range w.tasks {
			if t.Task == call.Task && t.Try == call.Try {
				known = t
			}
		}
		switch {
		case call.Call == "start" && known == nil:
			w.tasks = append(w.tasks, w.start(call, now))
			w.changed = true
		case call.Call == "stop" && known != nil && known.State != "ended":
			if known.State == "running" {
				w.c.audit.ended(known.Task, w.machine.Name, "stopped")
			}
			known.State, known.Why, w.changed = "ended", "stopped", true
		case call.Call == "reap" && known != nil && known.State == "ended":
			kept := w.tasks[:0]
			for _, t := range w.tasks {
				if t != known {
					kept = append(kept, t)
				}
			}
			w.tasks = kept
		}
	}
}

func (w *worker) start(call command, now time.Time) *attempt {
	t := &attempt{Task: call.Task, Try: call.Try, State: "ended"}
	j := w.jobOf(call.Task)
	if j == nil {
		w.c.audit.unknownStart(call.Task, w.machine.Name)
		t.Why = "unknown"
		return t
	}
	used := j.CPUs
	for _, other := range w.tasks {
		if other.State == "ended" {
			continue
		}
		if other.Task == call.Task {
			t.Why = "busy"
			return t
		}
		used += other.cpus
	}
	if used > w.cpus+1e-6 {
		t.Why = "full"
		return t
	}
	t.cpus, t.run = j.CPUs, time.Duration(j.Run*float64(time.Second))
	if w.c.runTime != nil {
		_, number, _ := strings.Cut(call.Task, "/")
		n, _ := strconv.Atoi(number) // jobOf has parsed it
		t.run = w.c.runTime(j.ID, n)
	}
	if w.images[j.Image] {
		w.begin(t, now)
		return t
	}
	t.State, t.until = "fetching", now.Add(time.Duration(j.Size*float64(time.Second)))
	return t
}

// body returns the report as it is sent. The caller holds the lock.
func (w *worker) body() []byte {
	w.seq++
	m := w.machine
	r := report{
		Machine: m.Name, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Session: w.session, Seq: w.seq, Token: w.token, Tasks: w.tasks,
	}
	if r.Tasks == nil {
		r.Tasks = []*attempt{}
	}
	raw, err := json.Marshal(r)
	if err != nil {
		return nil // cannot happen: it has only names and numbers
	}
	return raw
}

// runReports reports to one controller at a time.
func (w *worker) runReports() {
	interval := func() time.Duration {
		every := time.Duration(w.c.site.reportS * float64(time.Second))
		return every*3/4 + rand.N(every/2)
	}
	next, last := time.Now(), time.Time{}
	for !w.over() {
		now := time.Now()
		w.mu.Lock()
		due := !now.Before(next) || (w.changed && now.Sub(last) >= leastPause)
		w.mu.Unlock()
		if !due {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		last = now
		if w.reportOnce() {
			next = time.Now().Add(interval())
			continue
		}
		next = time.Now().Add(nextNodeWait)
		for time.Now().Before(next) && !w.over() {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// reportOnce sends one report. It returns false if the next controller is tried 1 s later.
func (w *worker) reportOnce() bool {
	w.mu.Lock()
	body, sent, life, session, node := w.body(), time.Now(), w.life, w.session, w.node
	ctx, cut, healed := w.ctx, w.cutOff && w.cutNode == node, w.healed
	w.changed = false
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	var status int
	var answer []byte
	problem := "no response"
	if cut {
		select { // the report is held back
		case <-ctx.Done():
			go w.postLate(healed, node, body)
		case <-healed:
			cut = false
		}
	}
	if !cut {
		status, answer, problem = w.post(ctx, node, body)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if life != w.life {
		return true // the machine has restarted meanwhile
	}
	if problem != "" {
		w.c.rec.add("%s: report of %d bytes to %s: %s", w.machine.Name, len(body), nodeName(node), problem)
	}
	if status == http.StatusMisdirectedRequest {
		var to struct {
			Node string `json:"herdsman"`
		}
		if json.Unmarshal(answer, &to) == nil {
			for i := range w.c.site.nodes {
				if nodeName(i) == to.Node && i != node {
					w.node, w.changed = i, true
					return true
				}
			}
		}
	}
	if status != http.StatusOK || problem != "" {
		w.node = (node + 1) % w.c.site.nodes
		return false
	}
	var in commands
	if json.Unmarshal(answer, &in) != nil || in.Token == nil || *in.Token < w.token || session != w.session {
		return true // the response is dropped
	}
	w.renewed = sent
	w.noteToken(*in.Token)
	w.execute(in.Calls)
	return true
}

func (w *worker) noteToken(token uint64) {
	half := time.Duration(w.c.site.leaseS / 2 * float64(time.Second))
	if now := time.Now(); token > w.token && now.Sub(w.tokenAt) >= half {
		w.tokenAt, w.changed = now, true
	}
	w.token = max(w.token, token)
}

// postLate delivers a report that was held back and that the worker has given up.
func (w *worker) postLate(healed <-chan struct{}, node int, body []byte) {
	<-healed
	ctx, cancel := context.WithTimeout(context.Background(), reportWait)
	defer cancel()
	status, _, _ := w.post(ctx, node, body)
	w.c.rec.add("%s: a report that was held back has arrived at %s: %d", w.machine.Name, nodeName(node), status)
}

// post sends a report. problem says why there is no answer that the worker can use.
func (w *worker) post(ctx context.Context, node int, body []byte) (status int, answer []byte, problem string) {
	url := "http://" + w.c.public[node] + "/checkin"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, "no response"
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return 0, nil, "no response"
	}
	defer func() { _ = resp.Body.Close() }() // read errors are handled below
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, "no response"
	}
	for line := range bytes.Lines(answer) {
		if len(line) > maxBytes {
			w.mu.Lock()
			w.tooLarge++
			w.largest = max(w.largest, len(line))
			w.mu.Unlock()
			return 0, nil, fmt.Sprintf("%d with a line of %d bytes, which is over 64 KiB: dropped", resp.StatusCode, len(line))
		}
	}
	if resp.StatusCode == http.StatusBadRequest {
		return resp.StatusCode, nil, "400"
	}
	return resp.StatusCode, answer, ""
}

// ServeHTTP serves direct commands and requests for the report.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes))
	if err != nil {
		return // the controller has disconnected
	}
	if w.c.beforeCommand != nil {
		w.c.beforeCommand(w, r.URL.Path, body)
	}
	if w.holdsBack(r.URL.Path, body) {
		<-r.Context().Done() // until the controller gives up
		panic(http.ErrAbortHandler)
	}
	status, answer := w.serve(r.URL.Path, body)
	if r.URL.Path == "/do" && status == http.StatusOK && w.c.commandDone != nil {
		w.c.commandDone(w, body)
	}
	out.WriteHeader(status)
	_, _ = out.Write(answer) // the controller may have disconnected
}

func (w *worker) serve(path string, body []byte) (int, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return http.StatusServiceUnavailable, nil
	}
	if path == "/show" {
		return http.StatusOK, w.body()
	}
	var in commands
	if path != "/do" || json.Unmarshal(body, &in) != nil || in.Token == nil || in.Session == nil {
		return http.StatusBadRequest, nil
	}
	if *in.Token < w.token || *in.Session != w.session {
		return http.StatusConflict, w.body()
	}
	w.noteToken(*in.Token)
	w.execute(in.Calls)
	return http.StatusOK, w.body()
}

// tooLargeLines returns how many responses to workers had a line over 64 KiB, and the longest one.
func (c *cluster) tooLargeLines() (count, longest int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.mu.Lock()
		count, longest = count+w.tooLarge, max(longest, w.largest)
		w.mu.Unlock()
	}
	return count, longest
}
