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

// Children write a line when they listen, with their address, and end when their standard
// input does.

// pathObserve is where the state service's process shows what it has done. It is no part of the
// platform's protocol.
const pathObserve = "/observe"

// pathOutage begins (down=1) or ends an outage of the state service.
const pathOutage = "/outage"

// observed is what a run looks at in the state service.
type observed struct {
	Counts  standin.StateCounts `json:"counts"` // keys and bytes are those of the log
	Leader  string              `json:"leader"`
	Refused []string            `json:"refused"`
}

// StateLimits are those of the state service's process.
type StateLimits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// ServeState is the process of the state service.
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
		_ = json.NewEncoder(w).Encode(o) // the run may have ended
	})
	mux.HandleFunc(pathOutage, func(_ http.ResponseWriter, r *http.Request) { store.SetDown(r.FormValue("down") == "1") })
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("state service: %w", err)
	}
	if _, err := fmt.Fprintln(out, l.Addr()); err != nil {
		return fmt.Errorf("state service: %w", err)
	}
	go func() { _ = http.Serve(l, mux) }() // it ends with the process
	_, err = io.Copy(io.Discard, in)
	return err
}

// workerOrder is what a worker's process is told to be.
type workerOrder struct {
	Machine  standin.Machine
	Doors    []string
	ReportS  float64
	LeaseS   float64
	FetchS   float64
	Workload workload
}

// workerNote is what it tells: a start or an end, which it reports to nobody before it was
// acknowledged, or what it has sent and received so far.
type workerNote struct {
	Started string         `json:"started,omitempty"`
	Attempt uint64         `json:"attempt,omitempty"`
	Ended   string         `json:"ended,omitempty"`
	Done    bool           `json:"done,omitempty"`
	Traffic *traffic.Count `json:"traffic,omitempty"`
}

// trafficEvery is how often a worker's process tells its traffic.
const trafficEvery = time.Second

// pipe is a worker's way to the run.
type pipe struct {
	mu    sync.Mutex
	out   *json.Encoder
	acks  *bufio.Reader
	ended chan struct{} // closed when the run is gone
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

// Started and Ended make a pipe a standin.Recorder.
func (p *pipe) Started(task, _ string, attempt uint64) {
	p.send(workerNote{Started: task, Attempt: attempt})
}

func (p *pipe) Ended(task, _ string, done bool) { p.send(workerNote{Ended: task, Done: done}) }

// ServeWorker is the process of one worker.
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
		return nil // it was never needed
	}
	var o workerOrder
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
	go func() { _ = http.Serve(l, fleet.Handler(o.Machine.Name)) }() // it ends with the process
	for {
		select {
		case <-p.ended:
			return nil
		case <-time.After(trafficEvery):
			now := traffic.Read().Plus(fleet.Direct.Read())
			p.send(workerNote{Traffic: &now})
		}
	}
}

// fleet plays workers that run this load.
func (w *workload) fleet(controllers []string, reportS, leaseS, fetchS float64) *standin.Fleet {
	return &standin.Fleet{Controllers: controllers, HeartbeatInterval: seconds(reportS), Lease: seconds(leaseS), Fetch: seconds(fetchS), ReportsChangesAtOnce: true, Image: w.image, TaskDuration: w.took}
}
