package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
)

// Paths of the state service and of the cloud.
const (
	// The state service.
	PathKeys         = "/keys"
	PathTransactions = "/multi"  // commits a transaction
	PathLeases       = "/holds"  // creates leases; paths below it renew and release them
	PathWatch        = "/follow" // waits for changes of keys

	// The cloud.
	PathMachineTypes = "/machine_types"
	PathRentals      = "/rentals"
	PathDelete       = "/rentals/delete"
)

// stateConnections is the most connections that a controller opens to the state service.
const stateConnections = 6

// StateClient is a client of the state service, a consensus-backed key-value store with transactions and
// leases.
type StateClient struct{ client *Client }

// NewStateClient returns a client for the state service at addr, host:port.
func NewStateClient(addr string) *StateClient {
	return &StateClient{client: NewClient(addr, stateConnections)}
}

// Item is one key of the state service with its value.
type Item struct {
	Key     string
	Value   json.RawMessage
	Version uint64 // revision that last wrote the key; 0: the key is missing
}

// storedItem is an Item as the state service encodes it.
type storedItem struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"entry_mark"`
}

func (s storedItem) item() Item { return Item(s) }

func newStoredItem(item Item) storedItem {
	return storedItem(item)
}

// itemPage is one page of a list of keys.
type itemPage struct {
	Items    []storedItem `json:"rows"`
	More     bool         `json:"has_next"`
	Revision uint64       `json:"ledger_mark"`
}

// Get reads a key. A missing key has version 0.
func (s *StateClient) Get(ctx context.Context, key string) (Item, error) {
	var stored storedItem
	status, err := s.client.callJSON(ctx, http.MethodGet, PathKeys+"/"+key, nil, &stored)
	if err != nil {
		return Item{}, err
	}
	switch status {
	case http.StatusOK:
		return stored.item(), nil
	case http.StatusNotFound:
		return Item{Key: key}, nil
	}
	return Item{}, fmt.Errorf("wire: state service: status %d", status)
}

// List reads one page of the keys with a prefix, in order. The page has at most limit keys, and begins
// after the key since unless that is empty. more is set if further pages follow; revision is the revision
// of the state service at the time of the read.
func (s *StateClient) List(
	ctx context.Context, prefix, since string, limit int,
) (items []Item, more bool, revision uint64, err error) {
	q := url.Values{"starts": {prefix}, "most": {strconv.Itoa(limit)}}
	if since != "" {
		q.Set("since", since)
	}
	var out itemPage
	status, err := s.client.callJSON(ctx, http.MethodGet, PathKeys+"?"+q.Encode(), nil, &out)
	if err != nil {
		return nil, false, 0, err
	}
	if status != http.StatusOK {
		return nil, false, 0, fmt.Errorf("wire: state service: status %d", status)
	}
	for _, stored := range out.Items {
		items = append(items, stored.item())
	}
	return items, out.More, out.Revision, nil
}

// condition holds if the key has this version.
type condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"entry_mark"`
}

// transactionWrite writes a key, bound to a lease unless LeaseID is 0, or removes a key.
type transactionWrite struct {
	Put     string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tether,omitempty"`
	Delete  string          `json:"remove,omitempty"`
}

// transaction is a compare-and-swap over several keys: if all conditions hold, all writes are made.
type transaction struct {
	Conditions []condition        `json:"when"`
	Writes     []transactionWrite `json:"writes"`
}

// transactionAnswer holds the revision at which a transaction was applied, or the keys whose conditions
// failed.
type transactionAnswer struct {
	Revision uint64   `json:"ledger_mark"`
	Failed   []string `json:"failed"`
}

// Commit sends a transaction of the event log. If it was applied, Commit returns its revision; after a
// conflict it returns the keys whose conditions failed.
func (s *StateClient) Commit(ctx context.Context, t eventlog.Transaction) (eventlog.Outcome, uint64, []string) {
	var out transaction
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, condition{Key: c.Key, Version: c.Version})
	}
	for _, w := range t.Writes {
		if w.Remove {
			out.Writes = append(out.Writes, transactionWrite{Delete: w.Key})
		} else {
			out.Writes = append(out.Writes, transactionWrite{Put: w.Key, Value: w.Value})
		}
	}
	return s.transact(ctx, out)
}

// transact sends a transaction. Without a response it is unknown whether the transaction was applied.
func (s *StateClient) transact(ctx context.Context, t transaction) (eventlog.Outcome, uint64, []string) {
	var out transactionAnswer
	status, err := s.client.callJSON(ctx, http.MethodPost, PathTransactions, t, &out)
	switch {
	case err != nil:
		return eventlog.Unknown, 0, nil
	case status == http.StatusOK:
		return eventlog.Applied, out.Revision, nil
	case status == http.StatusConflict:
		return eventlog.Conflict, 0, out.Failed
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return eventlog.Refused, 0, nil
	case status == http.StatusBadRequest:
		return eventlog.Invalid, 0, nil
	}
	return eventlog.Unknown, 0, nil
}

// leadershipKeys is a page size above the number of leadership keys, so that one page holds them all.
const leadershipKeys = 10

// ReadLeadership reads the two keys of leadership: the holder of the lease and the last epoch.
func (s *StateClient) ReadLeadership(ctx context.Context) (leadership.View, error) {
	items, _, revision, err := s.List(ctx, leadership.Prefix, "", leadershipKeys)
	if err != nil {
		return leadership.View{}, err
	}
	view := leadership.View{Revision: revision}
	for _, item := range items {
		var holder leadership.LeaseHolder
		if err := json.Unmarshal(item.Value, &holder); err != nil {
			return view, fmt.Errorf("wire: key %s: %w", item.Key, err)
		}
		switch item.Key {
		case leadership.HolderKey:
			view.Holder, view.HolderVersion = &holder, item.Version
		case leadership.EpochKey:
			view.Epoch, view.EpochNode, view.EpochVersion = holder.Epoch, holder.Node, item.Version
		}
	}
	return view, nil
}

// Claim takes leadership for the next epoch, bound to a lease, if no node holds it and the epoch is still
// that of view. It reports whether it succeeded, and the revision at which leadership was taken.
func (s *StateClient) Claim(ctx context.Context, node string, view leadership.View, lease uint64) (bool, uint64) {
	value := encode(leadership.LeaseHolder{Node: node, Epoch: view.Epoch + 1})
	outcome, revision, _ := s.transact(ctx, transaction{
		Conditions: []condition{
			{Key: leadership.HolderKey, Version: 0},
			{Key: leadership.EpochKey, Version: view.EpochVersion},
		},
		Writes: []transactionWrite{
			{Put: leadership.HolderKey, Value: value, LeaseID: lease},
			{Put: leadership.EpochKey, Value: value},
		},
	})
	return outcome == eventlog.Applied, revision
}

// Watch waits until a key with the prefix changes after the revision since, but no longer than wait. It
// returns true after a change and after the full wait, and false if the request failed. The service answers
// 410 Gone if it no longer holds the changes since that revision, which means that there were some.
func (s *StateClient) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) bool {
	q := url.Values{
		"starts":  {prefix},
		"since":   {strconv.FormatUint(since, 10)},
		"hold_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, err := s.client.callJSON(ctx, http.MethodGet, PathWatch+"?"+q.Encode(), nil, nil)
	return err == nil && (status == http.StatusOK || status == http.StatusGone)
}

// leaseRequest is a request for a new lease.
type leaseRequest struct {
	TTLMS int64 `json:"life_ms"`
}

// leaseAnswer is the response with the id of a new lease.
type leaseAnswer struct {
	ID uint64 `json:"tether"`
}

// CreateLease creates a lease that expires after life unless it is renewed, and returns its id.
func (s *StateClient) CreateLease(ctx context.Context, life time.Duration) (uint64, bool) {
	var out leaseAnswer
	status, err := s.client.callJSON(ctx, http.MethodPost, PathLeases, leaseRequest{TTLMS: life.Milliseconds()}, &out)
	return out.ID, err == nil && status == http.StatusOK
}

func leasePath(id uint64) string { return PathLeases + "/" + strconv.FormatUint(id, 10) }

// RenewLease renews a lease. gone is set if the lease has expired.
func (s *StateClient) RenewLease(ctx context.Context, id uint64) (ok, gone bool) {
	status, err := s.client.callJSON(ctx, http.MethodPost, leasePath(id)+"/renew", struct{}{}, nil)
	return err == nil && status == http.StatusOK, err == nil && status == http.StatusNotFound
}

// ReleaseLease ends a lease, which removes the keys that are bound to it.
func (s *StateClient) ReleaseLease(ctx context.Context, id uint64) {
	// If this fails, the lease expires by itself.
	_, _ = s.client.callJSON(ctx, http.MethodDelete, leasePath(id), nil, nil)
}
