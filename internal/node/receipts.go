package node

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/operators/control"
	"bitternmoor/internal/operators/receipts"
	"bitternmoor/internal/wire"
)

// PathReceipts is the path of requests for a receipt, which proves that a task holds pool units.
const PathReceipts = "/receipts"

// receiptRequest is the JSON body of a request for a receipt.
type receiptRequest struct {
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
}

const (
	maxReceiptRetries = 8
	receiptRetryDelay = 100 * time.Millisecond
	// receiptKeysMaxAge is how long cached keys are used before their files are read again.
	receiptKeysMaxAge = 5 * time.Second

	retryNotDurableS = "1"  // Retry-After in seconds if the holding is not durable yet
	retryNoKeysS     = "30" // Retry-After in seconds if the keys cannot be read
)

// handleReceipt serves a task's request for a receipt. It answers 200 with the receipt, 409 if that
// attempt does not hold the task's units (any more), or 503 if this is not known at present.
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
	holding := pools.ReceiptRequest{Job: id, Task: in.Task, Attempt: in.Attempt}
	request, err := json.Marshal(pools.Request{Receipt: &holding})
	if err != nil {
		writeBody(w, http.StatusInternalServerError, wire.ErrorBody(err.Error()))
		return
	}
	receipt, err := n.durableReceipt(request)
	switch {
	case errors.Is(err, control.ErrRefused):
		writeBody(w, http.StatusConflict, wire.ErrorBody(err.Error()))
	case err != nil:
		w.Header().Set("Retry-After", retryNotDurableS)
		writeBody(w, http.StatusServiceUnavailable, wire.ErrorBody("not known for certain yet"))
	default:
		n.signReceipt(w, in.Job, receipt)
	}
}

var errReceiptNotDurable = errors.New("node: the receipt's holding is not durable yet")

// durableReceipt requests a receipt from the pools component. While the holding is not durable, it
// retries up to maxReceiptRetries times.
func (n *Node) durableReceipt(request json.RawMessage) (*pools.Receipt, error) {
	for retry := 0; ; retry++ {
		raw, err := n.ChangeComponent("", pools.Name, request)
		if err != nil {
			return nil, err
		}
		var receipt pools.Receipt
		if json.Unmarshal(raw, &receipt) == nil && receipt.Durable {
			return &receipt, nil
		}
		if retry == maxReceiptRetries {
			return nil, errReceiptNotDurable
		}
		time.Sleep(receiptRetryDelay)
	}
}

// signReceipt answers with a signed token that lists the units which the task's attempt holds.
func (n *Node) signReceipt(w http.ResponseWriter, job string, receipt *pools.Receipt) {
	keys, err := n.receiptKeys.get(n.settings.Tunables.ReceiptKeys())
	if err != nil {
		n.log.Error("receipts cannot be signed", "error", err)
		w.Header().Set("Retry-After", retryNoKeysS)
		writeBody(w, http.StatusServiceUnavailable, wire.ErrorBody("receipts cannot be signed at present"))
		return
	}
	claims := receipts.Claims{Attempt: receipt.Attempt, Epoch: receipt.Epoch}
	claims.Subject = job + "/" + strconv.Itoa(receipt.Task)
	for _, units := range receipt.Units {
		claims.Units = append(claims.Units, receipts.PoolUnits(units))
	}
	lifetime := time.Duration(n.settings.Tunables.ReceiptLifeS * float64(time.Second))
	token, err := keys.Sign(claims, time.Now(), lifetime)
	if err != nil {
		writeBody(w, http.StatusInternalServerError, wire.ErrorBody(err.Error()))
		return
	}
	writeJSON(w, struct {
		Receipt string `json:"receipt"`
	}{Receipt: token})
}

// receiptKeyCache caches the keys that sign receipts. It reads their files again periodically,
// because the keys can change while the controller runs.
type receiptKeyCache struct {
	mu     sync.Mutex // guards the fields below
	keys   receipts.Keys
	readAt time.Time
}

func (c *receiptKeyCache) get(files []string) (receipts.Keys, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keys != nil && time.Since(c.readAt) < receiptKeysMaxAge {
		return c.keys, nil
	}
	keys, err := receipts.Read(files)
	if err != nil {
		return nil, err
	}
	c.keys, c.readAt = keys, time.Now()
	return keys, nil
}
