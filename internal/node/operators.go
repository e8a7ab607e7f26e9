package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/operators/certs"
	"bitternmoor/internal/operators/control"
	"bitternmoor/internal/operators/receipts"
	"bitternmoor/internal/wire"
)

// operatorsAtOnce bounds the operators' connections.
const maxOperatorConnections = 16

// serveOperators serves those who may change something, over TLS, until the context ends.
func (n *Node) serveOperators(ctx context.Context, failed chan<- error) (func(), error) {
	o := n.settings.Tunables.Operators()
	if o.Listen == "" {
		return func() {}, nil
	}
	store, err := certs.NewStore(certs.Files{Cert: o.CertFile, Key: o.KeyFile, CA: o.CAFile}, n.log)
	if err != nil {
		return nil, fmt.Errorf("node: operators: %w", err)
	}
	l, err := net.Listen("tcp4", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("node: operators.listen: %w", err)
	}
	go store.Watch(ctx)
	srv := &http.Server{Handler: control.Handler(n, control.Roles{Read: o.Read, Operate: o.Operate, Admin: o.Admin, Operable: certificateOnly}), TLSConfig: store.Server(),
		ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	go func() { failed <- srv.ServeTLS(netutil.LimitListener(l, maxOperatorConnections), "", "") }()
	n.log.Info("operators may change things", "listen", l.Addr().String())
	return func() { _ = srv.Close() }, nil
}

// ShowDuty looks into a duty, here or on the leader.
func (n *Node) ShowDuty(what string) (json.RawMessage, error) {
	return n.askComponent("Controller.Show", what, func(now time.Duration) (json.RawMessage, bool, error) { return n.core.Show(now, what) })
}

// ChangeDuty has a duty change something that somebody asks for, here or on the leader.
func (n *Node) ChangeDuty(by, duty string, body json.RawMessage) (json.RawMessage, error) {
	return n.askComponent("Controller.Change", ChangeRequest{Duty: duty, Body: body, By: by}, func(now time.Duration) (json.RawMessage, bool, error) { return n.core.Change(now, duty, by, body) })
}

// askComponent asks a duty, here or on the leader. Errors are control.ErrUnknown where
// there is no such duty, one that wraps control.ErrRefused for what the duty refuses,
// and any other where nobody can tell now.
func (n *Node) askComponent(method string, in any, local func(now time.Duration) (json.RawMessage, bool, error)) (json.RawMessage, error) {
	var raw []byte
	var failed error
	err := n.callLocalOrLeader(method, in, &raw, func(now time.Duration) bool {
		var known bool
		raw, known, failed = local(now)
		return known
	})
	var remote rpc.ServerError
	switch {
	case errors.As(err, &remote) && strings.HasPrefix(remote.Error(), refusalPrefix):
		return nil, fmt.Errorf("%s (%w)", strings.TrimPrefix(remote.Error(), refusalPrefix), control.ErrRefused)
	case err != nil:
		return nil, err
	case failed != nil:
		return nil, fmt.Errorf("%s (%w)", failed.Error(), control.ErrRefused)
	case raw == nil:
		return nil, control.ErrUnknown
	}
	return raw, nil
}

// PathReceipts is where a task asks for a receipt for its units.
const PathReceipts = "/receipts"

// receiptRequest is what it asks.
type receiptRequest struct {
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
}

const (
	maxReceiptRetries = 8
	receiptRetryDelay = 100 * time.Millisecond
)

// handleReceipt answers a task that asks for a receipt: 200 with it, 409 where the task is
// not, or not any more, held by that attempt, 503 where that cannot be told now.
func (n *Node) handleReceipt(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body)
	var in receiptRequest
	if err != nil || json.Unmarshal(body, &in) != nil {
		writeBody(w, http.StatusBadRequest, wire.ErrorBody("not a JSON object with job, task and attempt"))
		return
	}
	id, ok := wire.ParseID(in.Job)
	if !ok {
		writeBody(w, http.StatusBadRequest, wire.ErrorBody("job: not a job id"))
		return
	}
	ask, err := json.Marshal(pools.Request{Receipt: &pools.Holding{Job: id, Task: in.Task, Attempt: in.Attempt}})
	if err != nil {
		writeBody(w, http.StatusInternalServerError, wire.ErrorBody(err.Error()))
		return
	}
	for try := 0; ; try++ {
		raw, err := n.ChangeDuty("", pools.Name, ask)
		var given pools.Receipt
		switch {
		case errors.Is(err, control.ErrRefused):
			writeBody(w, http.StatusConflict, wire.ErrorBody(err.Error()))
			return
		case err == nil && json.Unmarshal(raw, &given) == nil && given.Durable:
			n.signReceipt(w, in.Job, &given)
			return
		case err != nil || try == maxReceiptRetries:
			w.Header().Set("Retry-After", "1")
			writeBody(w, http.StatusServiceUnavailable, wire.ErrorBody("not known for certain yet"))
			return
		}
		time.Sleep(receiptRetryDelay)
	}
}

func (n *Node) signReceipt(w http.ResponseWriter, job string, given *pools.Receipt) {
	keys, err := n.receiptKeys.get(n.settings.Tunables.ReceiptKeys())
	if err != nil {
		n.log.Error("receipts cannot be signed", "error", err)
		w.Header().Set("Retry-After", "30")
		writeBody(w, http.StatusServiceUnavailable, wire.ErrorBody("receipts cannot be signed at present"))
		return
	}
	c := receipts.Claims{Attempt: given.Attempt, Epoch: given.Epoch}
	c.Subject = job + "/" + strconv.Itoa(given.Task)
	for _, u := range given.Units {
		c.Units = append(c.Units, receipts.PoolUnits(u))
	}
	token, err := keys.Sign(c, time.Now(), time.Duration(n.settings.Tunables.ReceiptLifeS*float64(time.Second)))
	if err != nil {
		writeBody(w, http.StatusInternalServerError, wire.ErrorBody(err.Error()))
		return
	}
	writeJSON(w, struct {
		Receipt string `json:"receipt"`
	}{token})
}

// receiptKeyCache reads the keys of receipts anew from time to time: they are changed while
// controllers run.
type receiptKeyCache struct {
	mu   sync.Mutex
	keys receipts.Keys
	read time.Time
}

const receiptKeysMaxAge = 5 * time.Second

func (k *receiptKeyCache) get(files []string) (receipts.Keys, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.keys != nil && time.Since(k.read) < receiptKeysMaxAge {
		return k.keys, nil
	}
	keys, err := receipts.Read(files)
	if err != nil {
		return nil, err
	}
	k.keys, k.read = keys, time.Now()
	return keys, nil
}
