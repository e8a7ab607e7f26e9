package node

import (
	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/operators/control"
	"bitternmoor/internal/operators/receipts"
	"bitternmoor/internal/wire"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

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
