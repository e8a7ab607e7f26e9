package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/wire"
)

// Times of a worker, from the protocol.
const (
	reportTimeout = 4 * time.Second
	nextNodePause = time.Second
	reportPause   = 500 * time.Millisecond
)

// attemptKey names an attempt of a task.
type attemptKey struct {
	job     uint64
	task    int
	attempt uint64
}

// runningTask is a task on a machine.
type runningTask struct {
	workers.TaskReport
	job   *job
	until time.Time // end of the fetch or of the run
}

// worker is the worker of one machine.
type worker struct {
	lab     *lab
	machine machine
	cpus    float64
	client  *http.Client
	ctx     context.Context
	stop    context.CancelFunc
	wake    chan struct{}

	mu           sync.Mutex
	life         int // incarnation of the machine
	session, seq uint64
	token        uint64
	tokenNotedAt time.Time
	tasks        map[attemptKey]*runningTask
	images       map[string]bool
	leaseFrom    time.Time
	changed      bool
	node         int
	lastReport   time.Time
	nextReport   time.Time
}

// workerAddress serves a machine's direct commands. The worker itself starts when the machine is up.
func (l *lab) workerAddress(m machine) string {
	addr, err := l.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		found := l.workers[m.Name]
		l.mu.Unlock()
		if found == nil {
			panic(http.ErrAbortHandler) // the machine is not up or gone: no answer
		}
		found.serveDirect(w, r)
	}))
	if err != nil {
		return "127.0.0.1:1"
	}
	return addr
}

func (l *lab) machineUp(m machine) {
	w := &worker{
		lab: l, machine: m, client: &http.Client{}, wake: make(chan struct{}, 1),
		session: 1, tasks: map[attemptKey]*runningTask{}, images: map[string]bool{}, leaseFrom: time.Now(),
		node: rand.IntN(max(1, len(l.nodes))),
	}
	for _, t := range l.site.types {
		if t.Name == m.Type {
			w.cpus = t.CPUs
		}
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	l.mu.Lock()
	l.workers[m.Name] = w
	l.write("machine %s (%s, %s) is up", m.Name, m.Type, m.Zone)
	l.mu.Unlock()
	go w.run()
}

func (l *lab) machineGone(m machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.workers[m.Name]; w != nil {
		w.stop()
		delete(l.workers, m.Name)
	}
	l.write("machine %s is gone", m.Name)
}

func (w *worker) run() {
	w.nextReport = time.Now()
	for w.ctx.Err() == nil {
		w.mu.Lock()
		now := time.Now()
		w.advance(now)
		due := w.nextReport
		if soon := w.lastReport.Add(reportPause); w.changed && soon.Before(due) {
			due = soon
		}
		next := due
		for _, t := range w.tasks {
			if t.State != workers.Ended && t.until.Before(next) {
				next = t.until
			}
		}
		w.mu.Unlock()
		if now.Before(due) {
			select {
			case <-w.ctx.Done():
			case <-w.wake:
			case <-time.After(time.Until(next)):
			}
			continue
		}
		w.report()
	}
}

// advance applies what time does: leases end, fetches and runs end. The caller holds the lock.
func (w *worker) advance(now time.Time) {
	if now.Sub(w.leaseFrom) > seconds(w.lab.site.leaseS) {
		w.lab.note("worker %s: lease ended, session %d begins", w.machine.Name, w.session+1)
		w.tasks = map[attemptKey]*runningTask{}
		w.session++
		w.leaseFrom, w.changed = now, true
	}
	for _, t := range w.tasks {
		if t.State == workers.Ended || now.Before(t.until) {
			continue
		}
		w.changed = true
		if t.State == workers.Fetching {
			w.images[t.job.image] = true
			w.begin(t, now)
			continue
		}
		t.State, t.Reason = workers.Ended, workers.Completed
		w.lab.taskEnded(t.job, t.Task, w.machine.Name, "done")
	}
}

func (w *worker) begin(t *runningTask, now time.Time) {
	t.State, t.until = workers.Running, now.Add(t.job.runs)
	w.lab.taskStarted(t.job, t.Task, w.machine.Name)
}

// encode encodes the present report. The caller holds the lock.
func (w *worker) encode() []byte {
	w.seq++
	m := w.machine
	r := workers.Report{Machine: m.Name, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Session: w.session, Seq: w.seq, Token: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return wire.EncodeReport(&r)
}

func (w *worker) report() {
	w.mu.Lock()
	body := w.encode()
	life, session, sent := w.life, w.session, time.Now()
	w.lastReport, w.changed = sent, false
	to := w.node % len(w.lab.nodes)
	w.mu.Unlock()
	status, answer := 0, []byte(nil)
	if len(body) <= wire.MaxBody {
		status, answer = w.post(w.lab.nodes[to], body)
	} else {
		w.lab.note("worker %s: its report would have %d bytes, and is not sent", w.machine.Name, len(body))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != life {
		return // the machine has restarted, and its connections are gone
	}
	period := seconds(w.lab.site.reportS)
	w.nextReport = time.Now().Add(period*3/4 + rand.N(period/2))
	switch status {
	case http.StatusOK:
		if token, commands, err := wire.ParseReportAnswer(answer); err == nil && w.session == session && token >= w.token {
			w.leaseFrom = sent
			w.noteToken(token)
			w.execute(commands)
		}
		return
	case http.StatusMisdirectedRequest:
		name := wire.ParseRedirect(answer)
		for i, n := range w.lab.nodes {
			if n.name == name && i != to {
				w.node, w.nextReport = i, time.Now().Add(rand.N(reportPause))
				return
			}
		}
	}
	w.node, w.nextReport = to+1, time.Now().Add(nextNodePause)
}

func (w *worker) post(n *node, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(w.ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.public+wire.PathReports, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // it has been read, or counts as no answer
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	for line := range bytes.Lines(answer) {
		if len(line) > wire.MaxBody {
			w.lab.longLine(w.machine.Name, len(line))
			return 0, nil // the protocol has no such response
		}
	}
	return resp.StatusCode, answer
}

// noteToken stores a token; a higher one counts as a change once in half of the lease.
func (w *worker) noteToken(token uint64) {
	if token > w.token && time.Since(w.tokenNotedAt) >= seconds(w.lab.site.leaseS)/2 {
		w.tokenNotedAt, w.changed = time.Now(), true
	}
	w.token = token
}

// execute carries out commands in order. The caller holds the lock.
func (w *worker) execute(commands []workers.Command) {
	for _, c := range commands {
		key := attemptKey{c.Job, c.Task, c.Attempt}
		t := w.tasks[key]
		switch {
		case c.Op == workers.Start && t == nil:
			w.start(key)
		case c.Op == workers.Stop && t != nil && t.State != workers.Ended:
			t.State, t.Reason, w.changed = workers.Ended, workers.Stopped, true
			w.lab.taskEnded(t.job, t.Task, w.machine.Name, "stopped")
		case c.Op == workers.Reap && t != nil && t.State == workers.Ended:
			delete(w.tasks, key)
		}
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) start(key attemptKey) {
	t := &runningTask{TaskReport: workers.TaskReport{Job: key.job, Task: key.task, Attempt: key.attempt}}
	t.job = w.lab.jobOf(wire.FormatID(key.job))
	used := 0.0
	for other, on := range w.tasks {
		if on.State == workers.Ended {
			continue
		}
		used += on.job.cpus
		if other.job == key.job && other.task == key.task {
			t.Reason = workers.Busy
		}
	}
	w.tasks[key], w.changed = t, true
	switch {
	case t.job == nil || key.task >= t.job.tasks:
		t.State, t.Reason = workers.Ended, workers.UnknownTask
	case t.Reason == workers.Busy:
		t.State = workers.Ended
	case used+t.job.cpus > w.cpus+1e-9:
		t.State, t.Reason = workers.Ended, workers.InsufficientResources
	case w.images[t.job.image]:
		w.begin(t, time.Now())
	default:
		t.State, t.until = workers.Fetching, time.Now().Add(seconds(t.job.fetchS))
	}
}

// serveDirect serves direct commands and questions for the report.
func (w *worker) serveDirect(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	if err != nil {
		return
	}
	w.mu.Lock()
	status, answer := http.StatusOK, []byte(nil)
	if r.URL.Path == wire.PathCommands {
		d, err := wire.ParseDirectCommands(body)
		switch {
		case err != nil || d.Session == 0:
			status = http.StatusBadRequest
		case d.Token < w.token || d.Session != w.session:
			status = http.StatusConflict
		default:
			w.noteToken(d.Token)
			w.execute(d.Commands)
			w.lab.seeDirect(w, d, body)
		}
	}
	if status != http.StatusBadRequest {
		answer = w.encode()
	}
	w.mu.Unlock()
	out.WriteHeader(status)
	_, _ = out.Write(answer) // the caller may have gone
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
