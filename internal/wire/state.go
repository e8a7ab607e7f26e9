package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
)

// Paths of the state service and of the cloud.
const (
	PathKeys         = "/keys"
	PathTransactions = "/multi"
	PathHolds        = "/holds"
	PathFollow       = "/follow"
	PathMachineTypes = "/machine_types"
	PathRentals      = "/rentals"
	PathDelete       = "/rentals/delete"
)

// StateClient is the state service.
type StateClient struct{ c *Client }

// NewStateClient makes a client of the state service.
func NewStateClient(addr string) *StateClient { return &StateClient{NewClient(addr, 6)} }

// Item is one key of the state service.
type Item struct {
	Key   string
	Value json.RawMessage
	Mark  uint64
}

type storedItem struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"data"`
	Mark  uint64          `json:"entry_mark"`
}

type itemPage struct {
	Items    []storedItem `json:"rows"`
	More     bool         `json:"has_next"`
	Revision uint64       `json:"ledger_mark"`
}

// Get reads a key; a missing one has mark 0.
func (s *StateClient) Get(ctx context.Context, key string) (Item, error) {
	var it storedItem
	status, err := s.c.callJSON(ctx, "GET", PathKeys+"/"+key, nil, &it)
	if err != nil {
		return Item{}, err
	}
	switch status {
	case 200:
		return Item(it), nil
	case 404:
		return Item{Key: key}, nil
	}
	return Item{}, fmt.Errorf("wire: state service: status %d", status)
}

// List reads one page of the keys with a prefix, after the key since.
func (s *StateClient) List(ctx context.Context, prefix, since string, most int) (items []Item, more bool, rev uint64, err error) {
	q := url.Values{"starts": {prefix}, "most": {strconv.Itoa(most)}}
	if since != "" {
		q.Set("since", since)
	}
	var out itemPage
	status, err := s.c.callJSON(ctx, "GET", PathKeys+"?"+q.Encode(), nil, &out)
	if err != nil {
		return nil, false, 0, err
	}
	if status != 200 {
		return nil, false, 0, fmt.Errorf("wire: state service: status %d", status)
	}
	for _, r := range out.Items {
		items = append(items, Item(r))
	}
	return items, out.More, out.Revision, nil
}

type condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"entry_mark"`
}

type transactionWrite struct {
	Put     string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tether,omitempty"`
	Delete  string          `json:"remove,omitempty"`
}

type transaction struct {
	Conditions []condition        `json:"when"`
	Writes     []transactionWrite `json:"writes"`
}

type transactionAnswer struct {
	Revision uint64   `json:"ledger_mark"`
	Failed   []string `json:"failed"`
}

// Commit runs a transaction of the ledger.
func (s *StateClient) Commit(ctx context.Context, t eventlog.Transaction) (eventlog.Outcome, uint64, []string) {
	var x transaction
	for _, c := range t.Conditions {
		x.Conditions = append(x.Conditions, condition{c.Key, c.Version})
	}
	for _, w := range t.Writes {
		if w.Remove {
			x.Writes = append(x.Writes, transactionWrite{Delete: w.Key})
		} else {
			x.Writes = append(x.Writes, transactionWrite{Put: w.Key, Value: w.Value})
		}
	}
	return s.transact(ctx, x)
}

func (s *StateClient) transact(ctx context.Context, t transaction) (eventlog.Outcome, uint64, []string) {
	var out transactionAnswer
	status, err := s.c.callJSON(ctx, "POST", PathTransactions, t, &out)
	switch {
	case err != nil:
		return eventlog.Unknown, 0, nil
	case status == 200:
		return eventlog.Applied, out.Revision, nil
	case status == 409:
		return eventlog.Conflict, 0, out.Failed
	case status == 429 || status == 503:
		return eventlog.Refused, 0, nil
	case status == 400:
		return eventlog.Invalid, 0, nil
	}
	return eventlog.Unknown, 0, nil
}

// ReadLeadership reads the two keys of leadership.
func (s *StateClient) ReadLeadership(ctx context.Context) (leadership.View, error) {
	items, _, rev, err := s.List(ctx, leadership.Prefix, "", 10)
	if err != nil {
		return leadership.View{}, err
	}
	v := leadership.View{Revision: rev}
	for _, it := range items {
		var h leadership.LeaseHolder
		if err := json.Unmarshal(it.Value, &h); err != nil {
			return v, fmt.Errorf("wire: key %s: %w", it.Key, err)
		}
		switch it.Key {
		case leadership.HolderKey:
			v.Holder, v.HolderVersion = &h, it.Mark
		case leadership.EpochKey:
			v.Epoch, v.EpochNode, v.EpochVersion = h.Epoch, h.Node, it.Mark
		}
	}
	return v, nil
}

// Claim takes leadership if the view still holds.
func (s *StateClient) Claim(ctx context.Context, node string, v leadership.View, hold uint64) (bool, uint64) {
	value := encode(leadership.LeaseHolder{Node: node, Epoch: v.Epoch + 1})
	out, rev, _ := s.transact(ctx, transaction{
		Conditions: []condition{{leadership.HolderKey, 0}, {leadership.EpochKey, v.EpochVersion}},
		Writes:     []transactionWrite{{Put: leadership.HolderKey, Value: value, LeaseID: hold}, {Put: leadership.EpochKey, Value: value}},
	})
	return out == eventlog.Applied, rev
}

// Watch waits for a change of keys with a prefix; it says whether it waited
// or saw one rather than failing.
func (s *StateClient) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) bool {
	q := url.Values{"starts": {prefix}, "since": {strconv.FormatUint(since, 10)}, "hold_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	status, err := s.c.callJSON(ctx, "GET", PathFollow+"?"+q.Encode(), nil, nil)
	return err == nil && (status == 200 || status == 410)
}

type leaseRequest struct {
	TTLMS int64 `json:"life_ms"`
}

type leaseAnswer struct {
	ID uint64 `json:"tether"`
}

// CreateLease makes a hold.
func (s *StateClient) CreateLease(ctx context.Context, life time.Duration) (uint64, bool) {
	var out leaseAnswer
	status, err := s.c.callJSON(ctx, "POST", PathHolds, leaseRequest{life.Milliseconds()}, &out)
	return out.ID, err == nil && status == 200
}

// RenewLease renews a hold; gone says that it has ended.
func (s *StateClient) RenewLease(ctx context.Context, id uint64) (ok, gone bool) {
	status, err := s.c.callJSON(ctx, "POST", PathHolds+"/"+strconv.FormatUint(id, 10)+"/renew", struct{}{}, nil)
	return err == nil && status == 200, err == nil && status == 404
}

// ReleaseLease ends a hold.
func (s *StateClient) ReleaseLease(ctx context.Context, id uint64) {
	_, _ = s.c.callJSON(ctx, "DELETE", PathHolds+"/"+strconv.FormatUint(id, 10), nil, nil) // it ends by itself otherwise
}
