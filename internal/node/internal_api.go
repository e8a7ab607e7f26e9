package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/rpc"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/operators/control"
	"bitternmoor/internal/wire"
)

// Paths on the internal address: peers' RPC, metrics, and operators' requests.
const (
	PathPeers      = "/peers"
	PathStatus     = "/status"
	PathExplain    = "/explain/"
	PathMetrics    = "/metrics"
	PathComponents = "/duties/" // prefix of the components' views and changes
)

// certificateOnlyComponents lists the components that only the operators' TLS listener can change.
var certificateOnlyComponents = []string{pools.Name, reconfig.Name}

// maxChangeBytes limits the body of an operator's change request.
const maxChangeBytes = 16 << 20

// internalHandler returns the handler of the internal address.
func (n *Node) internalHandler() (http.Handler, error) {
	peers := rpc.NewServer()
	if err := peers.RegisterName("Controller", &Controller{n}); err != nil {
		return nil, fmt.Errorf("node: register the RPC service: %w", err)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), &statusCollector{n})
	router := chi.NewRouter()
	router.Method(http.MethodConnect, PathPeers, peers)
	router.Method(http.MethodGet, PathMetrics, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	router.Get(PathStatus, n.handleStatus)
	router.Get(PathExplain+"{id}", n.handleExplain)
	router.Get(PathComponents+"*", n.handleShowComponent)
	router.Post(PathComponents+"*", n.handleChangeComponent)
	return router, nil
}

func (n *Node) handleStatus(w http.ResponseWriter, _ *http.Request) {
	var status Status
	err := n.callLocalOrLeader("Controller.Status", struct{}{}, &status, func(now time.Duration) bool {
		status = n.core.Status(now)
		return status.Leader == status.Node
	})
	if err != nil {
		writeBody(w, http.StatusServiceUnavailable, wire.ErrorBody(err.Error()))
		return
	}
	writeJSON(w, status)
}

func (n *Node) handleExplain(w http.ResponseWriter, r *http.Request) {
	id, ok := wire.ParseID(chi.URLParam(r, "id"))
	if !ok {
		writeBody(w, http.StatusNotFound, wire.ErrorBody("not a job id"))
		return
	}
	var explanation Explanation
	err := n.callLocalOrLeader("Controller.Explain", id, &explanation, func(now time.Duration) bool {
		var known bool
		explanation, known = n.core.Explain(now, id)
		return known
	})
	if err != nil {
		writeBody(w, http.StatusServiceUnavailable, wire.ErrorBody(err.Error()))
		return
	}
	writeJSON(w, explanation)
}

func (n *Node) handleShowComponent(w http.ResponseWriter, r *http.Request) {
	raw, err := n.ShowComponent(chi.URLParam(r, "*"))
	writeComponentAnswer(w, raw, err, http.StatusInternalServerError)
}

func (n *Node) handleChangeComponent(w http.ResponseWriter, r *http.Request) {
	component := chi.URLParam(r, "*")
	if slices.Contains(certificateOnlyComponents, component) {
		why := component + ": is changed at the operators' listener, with a certificate"
		writeBody(w, http.StatusForbidden, wire.ErrorBody(why))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	if err != nil {
		writeBody(w, http.StatusBadRequest, wire.ErrorBody("body not readable, or over 16 MiB"))
		return
	}
	raw, err := n.ChangeComponent("", component, body)
	writeComponentAnswer(w, raw, err, http.StatusUnprocessableEntity)
}

// writeComponentAnswer writes a component's answer. refusedStatus is the HTTP status for an error
// of the component itself.
func writeComponentAnswer(w http.ResponseWriter, raw json.RawMessage, err error, refusedStatus int) {
	switch {
	case errors.Is(err, control.ErrUnknown):
		writeBody(w, http.StatusNotFound, wire.ErrorBody("the leader: "+err.Error()))
	case errors.Is(err, control.ErrRefused):
		writeBody(w, refusedStatus, wire.ErrorBody(err.Error()))
	case err != nil:
		writeBody(w, http.StatusServiceUnavailable, wire.ErrorBody(err.Error()))
	default:
		writeBody(w, http.StatusOK, raw)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeBody(w, http.StatusInternalServerError, wire.ErrorBody(err.Error()))
		return
	}
	writeBody(w, http.StatusOK, body)
}
