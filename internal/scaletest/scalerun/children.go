package scalerun

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/scaletest/standin"
	"bitternmoor/internal/scaletest/traffic"
)

// Child processes write a line with their address once they listen, and exit when their standard
// input is closed.

// pathObserve is the path at which the state service's process serves its counters. It is not part
// of the platform's protocol.
const pathObserve = "/observe"

// pathOutage is the path that begins (down=1) or ends an outage of the state service.
const pathOutage = "/outage"

// observed is what a run reads from the state service's process.
type observed struct {
	Counts  standin.StateCounts `json:"counts"` // Keys and Bytes cover only the event log
	Leader  string              `json:"leader"`
	Refused []string            `json:"refused"`
}

// StateLimits are the limits of the state service: requests and changes per second, the size of a value
// in KiB, and the number of changes in a transaction.
type StateLimits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// ServeState runs the state service in a child process. It writes the service's address to out and
// serves requests until in is closed.
func ServeState(limits StateLimits, in io.Reader, out io.Writer) error {
	store := &standin.StateService{}
	store.SetLimits(int(limits.ValueKB*1024), limits.TxnOps)
	store.LimitRates(limits.RPS, limits.WriteRPS)
	mux := http.NewServeMux()
	mux.Handle("/", store)
	mux.HandleFunc(pathObserve, func(w http.ResponseWriter, _ *http.Request) {
		o := observed{Counts: store.Counts(eventlog.Prefix), Refused: store.RefusedTransactions()}
		var holder leadership.LeaseHolder
		if raw := store.Value(leadership.HolderKey); raw != nil && json.Unmarshal(raw, &holder) == nil {
			o.Leader = holder.Node
		}
		_ = json.NewEncoder(w).Encode(o) // the client may have disconnected
	})
	mux.HandleFunc(pathOutage, func(_ http.ResponseWriter, r *http.Request) { store.SetDown(r.FormValue("down") == "1") })
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("state service: %w", err)
	}
	if _, err := fmt.Fprintln(out, l.Addr()); err != nil {
		return fmt.Errorf("state service: %w", err)
	}
	go func() { _ = http.Serve(l, mux) }() // runs until the process exits
	_, err = io.Copy(io.Discard, in)
	return err
}

// workerConfig configures a worker's process. It is the first line of its standard input.
type workerConfig struct {
	Machine  standin.Machine
	Doors    []string // base URLs of the controllers
	ReportS  float64
	LeaseS   float64
	FetchS   float64
	Workload workload
}

// workerNote is a message from a worker's process: the start or end of a task, which the worker
// reports to a controller only after the run has acknowledged it, or its traffic so far.
type workerNote struct {
	Started string         `json:"started,omitempty"`
	Attempt uint64         `json:"attempt,omitempty"`
	Ended   string         `json:"ended,omitempty"`
	Done    bool           `json:"done,omitempty"`
	Traffic *traffic.Count `json:"traffic,omitempty"`
}

// trafficInterval is the interval at which a worker's process sends its traffic counts.
const trafficInterval = time.Second

// pipe sends a worker's notes to the run and reads the acknowledgements.
type pipe struct {
	mu    sync.Mutex
	out   *json.Encoder
	acks  *bufio.Reader
	ended chan struct{} // closed when writing to or reading from the run fails
	once  sync.Once
}

func (p *pipe) send(n workerNote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out.Encode(n) != nil {
		p.end()
		return
	}
	if _, err := p.acks.ReadString('\n'); err != nil {
		p.end()
	}
}

func (p *pipe) end() { p.once.Do(func() { close(p.ended) }) }

// Started records the start of a task. With Ended it implements standin.Recorder.
func (p *pipe) Started(task, _ string, attempt uint64) {
	p.send(workerNote{Started: task, Attempt: attempt})
}

// Ended records the end of a task.
func (p *pipe) Ended(task, _ string, done bool) { p.send(workerNote{Ended: task, Done: done}) }

// ServeWorker runs one worker in a child process. It writes the worker's address and then its notes to
// out, and reads the worker's configuration and the acknowledgements of the notes from in.
func ServeWorker(in io.Reader, out io.Writer) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	if _, err := fmt.Fprintln(out, l.Addr()); err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if errors.Is(err, io.EOF) {
		return nil // the run ended before it used this process
	}
	var o workerConfig
	if err := json.Unmarshal(first, &o); err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	p := &pipe{out: json.NewEncoder(out), acks: lines, ended: make(chan struct{})}
	fleet := o.Workload.fleet(o.Doors, o.ReportS, o.LeaseS, o.FetchS)
	fleet.Record = p
	var traffic traffic.Meter
	for range o.Doors {
		fleet.Traffic = append(fleet.Traffic, &traffic)
	}
	fleet.StartWorker(o.Machine)
	go func() { _ = http.Serve(l, fleet.Handler(o.Machine.Name)) }() // runs until the process exits
	for {
		select {
		case <-p.ended:
			return nil
		case <-time.After(trafficInterval):
			now := traffic.Read().Plus(fleet.Direct.Read())
			p.send(workerNote{Traffic: &now})
		}
	}
}

// fleet returns a fleet whose tasks have the workload's images and run times.
func (w *workload) fleet(controllers []string, reportS, leaseS, fetchS float64) *standin.Fleet {
	return &standin.Fleet{Controllers: controllers, ReportInterval: seconds(reportS), Lease: seconds(leaseS), Fetch: seconds(fetchS), ReportsChangesAtOnce: true, Image: w.image, TaskDuration: w.taskDuration}
}
