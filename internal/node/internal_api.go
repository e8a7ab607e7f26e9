package node

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/rpc"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/operators/control"
	"bitternmoor/internal/wire"
)

// Paths on the internal address: peers' calls, and the operators'
// endpoint.
const (
	PathPeers   = "/peers"
	PathStatus  = "/status"
	PathExplain = "/explain/"
	PathMetrics = "/metrics"
	PathDuties  = "/duties/"
)

const peerGreeting = "200 Connected to Go RPC"

// internalHandler is what the internal address serves.
func (n *Node) internalHandler() (http.Handler, error) {
	peers := rpc.NewServer()
	if err := peers.RegisterName("Controller", &Controller{n}); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), &statusCollector{n})
	r := chi.NewRouter()
	r.Method(http.MethodConnect, PathPeers, peers)
	r.Method(http.MethodGet, PathMetrics, promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	r.Get(PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		var s Status
		if err := n.callLocalOrLeader("Controller.Status", struct{}{}, &s, func(now time.Duration) bool { s = n.core.Status(now); return s.Leader == s.Node }); err != nil {
			writeBody(w, http.StatusServiceUnavailable, wire.ErrorBody(err.Error()))
			return
		}
		writeJSON(w, s)
	})
	r.Get(PathExplain+"{id}", func(w http.ResponseWriter, r *http.Request) {
		id, ok := wire.ParseID(chi.URLParam(r, "id"))
		if !ok {
			writeBody(w, http.StatusNotFound, wire.ErrorBody("not a job id"))
			return
		}
		var e Explanation
		if err := n.callLocalOrLeader("Controller.Explain", id, &e, func(now time.Duration) bool { var ok bool; e, ok = n.core.Explain(now, id); return ok }); err != nil {
			writeBody(w, http.StatusServiceUnavailable, wire.ErrorBody(err.Error()))
			return
		}
		writeJSON(w, e)
	})
	r.Get(PathDuties+"*", func(w http.ResponseWriter, r *http.Request) {
		raw, err := n.ShowDuty(chi.URLParam(r, "*"))
		writeComponentAnswer(w, raw, err, http.StatusInternalServerError)
	})
	r.Post(PathDuties+"*", func(w http.ResponseWriter, r *http.Request) {
		duty := chi.URLParam(r, "*")
		if slices.Contains(certificateOnly, duty) {
			writeBody(w, http.StatusForbidden, wire.ErrorBody(duty+": is changed at the operators' listener, with a certificate"))
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeBytes))
		if err != nil {
			writeBody(w, http.StatusBadRequest, wire.ErrorBody("body not readable, or over 16 MiB"))
			return
		}
		raw, err := n.ChangeDuty("", duty, body)
		writeComponentAnswer(w, raw, err, http.StatusUnprocessableEntity)
	})
	return r, nil
}

// certified are the duties that are changed at the operators' listener alone.
var certificateOnly = []string{pools.Name, reconfig.Name}

// changeMost is how much an operator may send at once, in bytes.
const maxChangeBytes = 16 << 20

// ChangeRequest is what an operator asks of a duty, as one controller hands it to
// another.
type ChangeRequest struct {
	Duty string
	Body []byte
	By   string // who asks, by the certificate; older controllers leave it out
}

// writeComponentAnswer answers with what a duty says. refused is the status of an error of its own.
func writeComponentAnswer(w http.ResponseWriter, raw json.RawMessage, err error, refused int) {
	switch {
	case errors.Is(err, control.ErrUnknown):
		writeBody(w, http.StatusNotFound, wire.ErrorBody("the leader: "+err.Error()))
	case errors.Is(err, control.ErrRefused):
		writeBody(w, refused, wire.ErrorBody(err.Error()))
	case err != nil:
		writeBody(w, http.StatusServiceUnavailable, wire.ErrorBody(err.Error()))
	default:
		writeBody(w, http.StatusOK, raw)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		writeBody(w, http.StatusInternalServerError, wire.ErrorBody(err.Error()))
		return
	}
	writeBody(w, http.StatusOK, b)
}

var errLeaderUnknown = errors.New("no leader is known at present")

// callLocalOrLeader asks this node and, if it cannot tell, the leader.
func (n *Node) callLocalOrLeader(method string, in, out any, local func(now time.Duration) bool) error {
	var told bool
	if err := n.runOnLoop(func(now time.Duration) { told = local(now) }); err != nil {
		return err
	}
	if told {
		return nil
	}
	p := n.peers[n.snapshot.Load().leader]
	if p == nil {
		return errLeaderUnknown
	}
	return p.call(method, in, out)
}

// Status tells a peer what its operator asked.
func (c *Controller) Status(_ struct{}, out *Status) error {
	return c.node.runOnLoop(func(now time.Duration) { *out = c.node.core.Status(now) })
}

// Explain tells a peer what its operator asked.
func (c *Controller) Explain(id uint64, out *Explanation) error {
	ok := false
	if err := c.node.runOnLoop(func(now time.Duration) { *out, ok = c.node.core.Explain(now, id) }); err != nil {
		return err
	}
	if !ok {
		return errLeaderUnknown
	}
	return nil
}

// refusal goes before the words of a duty that refuses, on their way to a peer.
const refusalPrefix = "refused: "

// Show tells a peer what its operator asked of a duty.
func (c *Controller) Show(name string, out *[]byte) error {
	return c.onComponent(out, func(now time.Duration) (json.RawMessage, bool, error) { return c.node.core.Show(now, name) })
}

// Change does what a peer's operator asked of a duty.
func (c *Controller) Change(in ChangeRequest, out *[]byte) error {
	return c.onComponent(out, func(now time.Duration) (json.RawMessage, bool, error) {
		return c.node.core.Change(now, in.Duty, in.By, in.Body)
	})
}

func (c *Controller) onComponent(out *[]byte, f func(now time.Duration) (json.RawMessage, bool, error)) error {
	known := false
	var failed error
	if err := c.node.runOnLoop(func(now time.Duration) {
		var raw json.RawMessage
		raw, known, failed = f(now)
		*out = raw
	}); err != nil {
		return err
	}
	switch {
	case !known:
		return errLeaderUnknown
	case failed != nil:
		return errors.New(refusalPrefix + failed.Error())
	}
	return nil
}

// dialPeer opens a connection to a peer for calls, with a deadline.
func dialPeer(addr string) (*rpc.Client, error) {
	conn, err := net.DialTimeout("tcp4", addr, 500*time.Millisecond)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	_ = conn.SetDeadline(time.Now().Add(peerTimeout))
	if _, err := io.WriteString(conn, "CONNECT "+PathPeers+" HTTP/1.0\n\n"); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("node: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err == nil && resp.Status != peerGreeting {
		err = errors.New("not a controller: " + resp.Status)
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("node: %s: %w", addr, err)
	}
	_ = conn.SetDeadline(time.Time{})
	return rpc.NewClient(conn), nil
}

// statusCollector turns the status into metrics; labels are bounded by the
// number of controllers.
type statusCollector struct{ node *Node }

var (
	descLeading  = prometheus.NewDesc("bitternmoor_leading", "1 on the node that leads.", nil, nil)
	descEpoch    = prometheus.NewDesc("bitternmoor_epoch", "Highest epoch known.", nil, nil)
	descUnsaved  = prometheus.NewDesc("bitternmoor_entries_not_durable", "Entries not yet written to the state service.", nil, nil)
	descJobs     = prometheus.NewDesc("bitternmoor_jobs_open", "Unfinished jobs in the order.", nil, nil)
	descTasks    = prometheus.NewDesc("bitternmoor_tasks", "Tasks of unfinished jobs.", []string{"state"}, nil)
	descMachines = prometheus.NewDesc("bitternmoor_block_machines", "Machines in each controller's block.", []string{"holder"}, nil)
	descEvents   = prometheus.NewDesc("bitternmoor_events_total", "What has happened since the process began.", []string{"event"}, nil)
)

func (s *statusCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descLeading, descEpoch, descUnsaved, descJobs, descTasks, descMachines, descEvents} {
		ch <- d
	}
}

func (s *statusCollector) Collect(ch chan<- prometheus.Metric) {
	var st Status
	var measures []cluster.Histogram
	var gauges []cluster.Gauge
	if err := s.node.runOnLoop(func(now time.Duration) {
		st, measures, gauges = s.node.core.Status(now), s.node.core.Histograms(), s.node.core.Gauges(now)
	}); err != nil {
		ch <- prometheus.NewInvalidMetric(descLeading, err)
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	leading := 0.0
	if st.Leader == st.Node {
		leading = 1
	}
	gauge(descLeading, leading)
	gauge(descEpoch, float64(st.Epoch))
	gauge(descUnsaved, float64(st.Unsaved))
	gauge(descJobs, float64(len(st.Queue)))
	var waiting, placed int
	for _, j := range st.Queue {
		waiting += j.Waiting
		placed += j.Placed
	}
	gauge(descTasks, float64(waiting), "waiting")
	gauge(descTasks, float64(placed), "placed")
	for _, b := range st.Blocks {
		gauge(descMachines, float64(b.Machines), b.Holder)
	}
	for _, e := range []struct {
		name string
		n    uint64
	}{
		{"term_begun", st.Counts.Terms}, {"report", st.Counts.Reports}, {"user_request_answered", st.Counts.Answered},
		{"user_request_refused", st.Counts.Refused}, {"machine_lost", st.Counts.MachinesLost}, {"rental_refused", st.Counts.RentalsRefused},
		{"task_done", st.Counts.TasksDone}, {"task_rerun", st.Counts.TasksRerun},
		{"job_released", st.Counts.Released}, {"cancellation_spread", st.Counts.CancelSpread}, {"left_waiting", st.Counts.LeftWaiting},
		{"message_refused", s.node.refusedMessages.Load()},
	} {
		ch <- prometheus.MustNewConstMetric(descEvents, prometheus.CounterValue, float64(e.n), e.name)
	}
	for _, g := range gauges {
		desc := prometheus.NewDesc(g.Name, g.Help, []string{g.Label}, nil)
		for _, label := range slices.Sorted(maps.Keys(g.Values)) {
			gauge(desc, g.Values[label], label)
		}
	}
	for _, h := range measures {
		desc := prometheus.NewDesc(h.Name, h.Help, []string{h.Label}, nil)
		for _, x := range h.Series {
			buckets, sum := map[float64]uint64{}, uint64(0)
			for i, n := range x.Counts {
				sum += n
				buckets[h.Bounds[i]] = sum
			}
			ch <- prometheus.MustNewConstHistogram(desc, x.Count, x.Sum, buckets, x.Value)
		}
	}
}
