package standin

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/wire"
)

// Timing and size limits of a worker's reports, as the protocol defines them.
const (
	reportTimeout      = 4 * time.Second
	retryPause         = time.Second
	minReportPause     = 500 * time.Millisecond // minimum time between two reports
	pausedPollInterval = 50 * time.Millisecond
	maxAnswerBytes     = 1 << 20
)

// task is a task on a machine. Its image is fetched, it runs, and it ends.
type task struct {
	workers.TaskReport
	until time.Time // end of the fetch or of the run
}

func (t *task) name() string { return wire.FormatTask(t.Job, t.Task) }

// attempt identifies an attempt of a task.
type attempt struct {
	job    uint64
	task   int
	number uint64
}

// worker is the simulated worker of one machine.
type worker struct {
	fleet   *Fleet
	machine Machine
	client  *http.Client
	stopped chan struct{} // closed when the worker is stopped
	wake    chan struct{} // signals that commands were carried out and may need a report

	mu             sync.Mutex
	session, seq   uint64
	token          uint64
	tasks          map[attempt]*task
	images         map[string]bool
	leaseRenewedAt time.Time
	changed        bool      // whether there is a change since the last report
	tokenRaisedAt  time.Time // when a higher token was last counted as a change
	controller     int
}

func newWorker(f *Fleet, m Machine) *worker {
	w := &worker{fleet: f, machine: m, stopped: make(chan struct{}), wake: make(chan struct{}, 1),
		session: 1, tasks: map[attempt]*task{}, images: map[string]bool{}, leaseRenewedAt: time.Now()}
	w.client = &http.Client{Timeout: reportTimeout, Transport: &http.Transport{DialContext: w.dial, MaxIdleConnsPerHost: 1, DisableCompression: true}}
	if f.ReportsChangesAtOnce && len(f.Controllers) > 0 {
		w.controller = rand.IntN(len(f.Controllers))
	}
	return w
}

// run sends reports until the worker is stopped.
func (w *worker) run() {
	defer w.client.CloseIdleConnections()
	next := time.Now()
	if w.fleet.ReportsChangesAtOnce {
		next = next.Add(rand.N(w.fleet.ReportInterval))
	}
	var last time.Time
	for {
		if !w.sleep(w.nextDue(next, last)) {
			return
		}
		now := time.Now()
		w.advance(now)
		x := w.fleet.currentFaults(w.machine.Name)
		switch {
		case x.gone:
			return
		case x.paused:
			next, last = now.Add(pausedPollInterval), now
			continue
		case now.Before(next) && (!w.hasChanged() || now.Sub(last) < minReportPause):
			continue
		}
		last = now
		if w.sendReport(x) {
			next = time.Now().Add(w.interval())
		} else {
			next = time.Now().Add(retryPause)
		}
	}
}

// interval returns the time until the next report.
func (w *worker) interval() time.Duration {
	every := w.fleet.ReportInterval
	if !w.fleet.ReportsChangesAtOnce {
		return every
	}
	return every*3/4 + rand.N(every/2)
}

// nextDue returns when the worker must act next: to report, or to end a fetch or a run.
func (w *worker) nextDue(next, last time.Time) time.Time {
	if !w.fleet.ReportsChangesAtOnce {
		return next
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if soon := last.Add(minReportPause); w.changed && soon.Before(next) {
		next = soon
	}
	for _, t := range w.tasks {
		if t.State != workers.Ended && t.until.Before(next) {
			next = t.until
		}
	}
	return next
}

// sleep waits until the given time or a wake-up. It returns false if the worker is stopped.
func (w *worker) sleep(until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-w.stopped:
		return false
	case <-w.wake:
	case <-timer.C:
	}
	return true
}

func (w *worker) hasChanged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fleet.ReportsChangesAtOnce && w.changed
}

// dial connects to the worker's current controller and counts the traffic of the connection.
func (w *worker) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return w.fleet.traffic(w.currentController()).DialContext(&net.Dialer{Timeout: reportTimeout})(ctx, network, addr)
}

func (w *worker) currentController() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.controller % len(w.fleet.Controllers)
}

// encodeReport encodes the worker's current report. The caller holds the lock.
func (w *worker) encodeReport() []byte {
	w.seq++
	r := workers.Report{Machine: w.machine.Name, Address: w.machine.Address, Type: w.machine.Type, Zone: w.machine.Zone, Spot: w.machine.Spot,
		Session: w.session, Seq: w.seq, Token: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return wire.EncodeReport(&r)
}

// sendReport sends one report. It returns false if the next controller must be tried.
func (w *worker) sendReport(x faults) bool {
	w.mu.Lock()
	body := w.encodeReport()
	w.changed = false
	w.mu.Unlock()
	w.sendLateCopy(body, x.copyDelay)
	sent, controller := time.Now(), w.currentController()
	status, answer := w.post(controller, body)
	if status == http.StatusMisdirectedRequest {
		if to, ok := w.fleet.controllerNumber(wire.ParseRedirect(answer)); ok && to != controller {
			w.client.CloseIdleConnections()
			w.switchController(to)
			return true
		}
	}
	if status != http.StatusOK || x.answersDropped {
		w.switchController(controller + 1)
		return false
	}
	if token, commands, err := wire.ParseReportAnswer(answer); err == nil {
		w.applyAnswer(sent, token, commands)
	}
	return true
}

func (w *worker) switchController(controller int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.controller = controller
}

// post sends a report to a controller. It returns status 0 if there was no answer.
func (w *worker) post(controller int, body []byte) (int, []byte) {
	var latency time.Duration
	if w.fleet.Reaches != nil {
		ok := false
		if ok, latency = w.fleet.Reaches(w.machine.Zone, controller); !ok {
			w.sleepFor(reportTimeout)
			return 0, nil
		}
	}
	w.sleepFor(latency)
	resp, err := w.client.Post(w.fleet.Controllers[controller]+wire.PathReports, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // read errors are handled below
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil
	}
	w.fleet.traffic(controller).Message()
	w.sleepFor(latency)
	return resp.StatusCode, answer
}

func (w *worker) sleepFor(d time.Duration) {
	if d == 0 {
		return
	}
	select {
	case <-w.stopped:
	case <-time.After(d):
	}
}

// sendLateCopy sends a delayed copy of one in four reports, if copies are enabled, and ignores the
// answer.
func (w *worker) sendLateCopy(body []byte, within time.Duration) {
	if within == 0 || rand.IntN(4) > 0 {
		return
	}
	controller := w.fleet.Controllers[rand.IntN(len(w.fleet.Controllers))]
	time.AfterFunc(rand.N(within), func() {
		resp, err := http.Post(controller+wire.PathReports, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close() // the answer to a copy is not used
			w.fleet.mu.Lock()
			w.fleet.lateCopies++
			w.fleet.mu.Unlock()
		}
	})
}

// applyAnswer renews the lease and carries out the commands in the answer to a report, unless the
// answer's token is lower than the worker's.
func (w *worker) applyAnswer(sent time.Time, token uint64, commands []workers.Command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token < w.token {
		return
	}
	w.leaseRenewedAt = sent
	w.noteToken(token)
	w.execute(commands)
}

// noteToken stores a token. A higher one counts as a change at most once per half of the lease.
func (w *worker) noteToken(token uint64) {
	if now := time.Now(); token > w.token && now.Sub(w.tokenRaisedAt) >= w.fleet.Lease/2 {
		w.tokenRaisedAt, w.changed = now, true
	}
	w.token = token
}

// advance completes fetches and runs whose time has passed. If the lease has expired, it drops all
// tasks and begins a new session.
func (w *worker) advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.leaseRenewedAt) > w.fleet.Lease {
		for _, t := range w.tasks {
			if t.State == workers.Running {
				w.fleet.recorder().Ended(t.name(), w.machine.Name, false)
			}
		}
		w.tasks = map[attempt]*task{}
		w.session++
		w.leaseRenewedAt = now
		w.changed = true
	}
	for _, t := range w.tasks {
		if t.State == workers.Ended || now.Before(t.until) {
			continue
		}
		w.changed = true
		if t.State == workers.Fetching {
			w.images[w.image(t)] = true
			w.runTask(t)
			continue
		}
		t.State, t.Reason = workers.Ended, workers.Completed
		w.fleet.recorder().Ended(t.name(), w.machine.Name, true)
	}
}

func (w *worker) image(t *task) string {
	if w.fleet.Image == nil {
		return ""
	}
	return w.fleet.Image(wire.FormatID(t.Job))
}

func (w *worker) runTask(t *task) {
	name := t.name()
	w.fleet.recorder().Started(name, w.machine.Name, t.Attempt)
	var runs time.Duration
	if w.fleet.TaskDuration != nil {
		runs = w.fleet.TaskDuration(name)
	} else {
		runs, _ = w.fleet.JobDuration(wire.FormatID(t.Job))
	}
	t.State, t.until = workers.Running, time.Now().Add(runs)
}

// execute carries out commands. The caller holds the lock.
func (w *worker) execute(commands []workers.Command) {
	for _, c := range commands {
		key := attempt{c.Job, c.Task, c.Attempt}
		t := w.tasks[key]
		switch {
		case c.Op == workers.Start && t == nil:
			w.start(key)
		case c.Op == workers.Stop && t != nil && t.State != workers.Ended:
			if t.State == workers.Running {
				w.fleet.recorder().Ended(t.name(), w.machine.Name, false)
			}
			t.State, t.Reason = workers.Ended, workers.Stopped
			w.changed = true
		case c.Op == workers.Reap && t != nil && t.State == workers.Ended:
			delete(w.tasks, key)
		}
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) start(key attempt) {
	t := &task{TaskReport: workers.TaskReport{Job: key.job, Task: key.task, Attempt: key.number}}
	w.tasks[key] = t
	w.changed = true
	if image := w.image(t); image != "" && !w.images[image] {
		t.State, t.until = workers.Fetching, time.Now().Add(w.fleet.Fetch)
		return
	}
	w.runTask(t)
}

// ServeHTTP serves direct commands and requests for the worker's report.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	if err != nil {
		return // the client has disconnected
	}
	w.fleet.Direct.Message()
	status, answer := w.serve(r.URL.Path, body)
	out.WriteHeader(status)
	_, _ = out.Write(answer)
}

func (w *worker) serve(path string, body []byte) (int, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stopped:
		return http.StatusServiceUnavailable, nil
	default:
	}
	switch path {
	case wire.PathShow:
		return http.StatusOK, w.encodeReport()
	case wire.PathCommands:
		d, err := wire.ParseDirectCommands(body)
		switch {
		case err != nil || d.Session == 0:
			return http.StatusBadRequest, nil
		case d.Token < w.token || d.Session != w.session:
			return http.StatusConflict, w.encodeReport()
		}
		w.noteToken(d.Token)
		w.execute(d.Commands)
		return http.StatusOK, w.encodeReport()
	}
	return http.StatusNotFound, nil
}
