package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// lab holds all parts of one run.
type lab struct {
	root, dir string
	trouble   bool // the disruption is played
	began     time.Time
	state     *stateService
	cloud     *cloud
	site      site
	nodes     []*node
	users     *http.Client

	mu        sync.Mutex
	record    *os.File
	closed    bool
	broken    []string
	startedAt *worker // that got the last direct start
	startedBy []byte  // the body of that command
	longLines bool    // a response had too long a line
	jobs      map[string]*job
	workers   map[string]*worker
	servers   []*http.Server
}

// job is what a user has submitted, and what workers need to know of it.
type job struct {
	id        string
	tasks     int
	cpus      float64
	image     string
	fetchS    float64       // time that a machine takes to fetch the image
	runs      time.Duration // run time of a task
	ended     map[int]bool
	lastStart time.Time // of any of its tasks
	started   map[int]bool
}

func newLab(root, record string, trouble bool) (*lab, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &lab{
		root: root, dir: dir, trouble: trouble, began: time.Now(), record: file,
		users: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		jobs:  map[string]*job{}, workers: map[string]*worker{},
	}
	l.note("trouble=%v", trouble)
	return l, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(format, args...)
}

func (l *lab) write(format string, args ...any) {
	if l.closed {
		return
	}
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...)) // a full disk also fails close
}

// breach records a broken rule.
func (l *lab) breach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	l.broken = append(l.broken, line)
	l.write("BROKEN %s", line)
}

// close ends everything that the run has started, and returns the broken rules.
func (l *lab) close() []string {
	for _, n := range l.nodes {
		n.kill()
	}
	l.mu.Lock()
	for _, w := range l.workers {
		w.stop()
	}
	servers := l.servers
	l.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.broken) == 0 {
		l.write("no rule broken")
	}
	l.closed = true
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
	return l.broken
}

// serve serves a handler on a free loopback port and returns its address.
func (l *lab) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	go func() { _ = s.Serve(listener) }() // returns when the server is closed
	return listener.Addr().String(), nil
}

// now returns the seconds since the beginning of the run.
func (l *lab) now() float64 { return time.Since(l.began).Seconds() }

// addJob makes a job known to the workers, as users upload descriptions before they submit.
func (l *lab) addJob(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.ended, j.started = map[int]bool{}, map[int]bool{}
	l.jobs[j.id] = j
}

// jobOf returns a job, or nil if nobody has submitted it.
func (l *lab) jobOf(id string) *job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id]
}

// taskStarted records that a task has its image and runs on a machine.
func (l *lab) taskStarted(j *job, task int, machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.started[task] = true
	j.lastStart = time.Now()
	l.write("worker %s: %s/%d starts", machine, j.id, task)
}

// taskEnded records the end of a task on a machine.
func (l *lab) taskEnded(j *job, task int, machine, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if why == "done" {
		j.ended[task] = true
	}
	l.write("worker %s: %s/%d ends: %s", machine, j.id, task, why)
}

// startedCount returns how many tasks of a job have started.
func (l *lab) startedCount(j *job) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(j.started)
}

// longLine records a response to a worker with a line over 64 KiB, the first one as a broken rule.
func (l *lab) longLine(machine string, size int) {
	l.note("worker %s: an answer with a line of %d bytes is dropped", machine, size)
	l.mu.Lock()
	first := !l.longLines
	l.longLines = true
	l.mu.Unlock()
	if first {
		l.breach("a response to a worker has a line of %d bytes; the most is 64 KiB", size)
	}
}

// doneCount returns how many tasks of a job are done.
func (l *lab) doneCount(j *job) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(j.ended)
}

// submission returns the body with which a job is submitted. Further fields replace or add to the usual ones.
func submission(j *job, class, team, urgency string, more map[string]any) []byte {
	fields := map[string]any{
		"name_id": j.id, "herd": class, "keeper": team, "gait": "sweep", "urgency": urgency, "head": j.tasks,
		"vcpus": j.cpus, "gpus": 0.0, "memory_gb": 1.0, "brand": j.image, "size_gb": 0.4,
		"breeds": nil, "pasture": nil, "together": false, "scatter": false, "loaned_stock": true,
		"trek_s": j.runs.Seconds(), "waypoint_s": 0.0, "stow_s": 0.0, "market_s": nil,
	}
	for k, v := range more {
		fields[k] = v
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // all values above can be encoded
	}
	return body
}

// logPath returns the path of a controller's log.
func (l *lab) logPath(name string) string { return filepath.Join(l.dir, name+".log") }
