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

// Paths of the state service, and of the cloud.
const (
	// The state service.
	PathKeys         = "/keys"
	PathTransactions = "/multi"
	PathLeases       = "/holds"
	PathWatch        = "/follow"

	// The cloud.
	PathMachineTypes = "/machine_types"
	PathRentals      = "/rentals"
	PathDelete       = "/rentals/delete"
)

// stateConnections bounds a controller's connections to the state service.
const stateConnections = 6

// StateClient is a client of the state service, a consensus-backed key-value store with transactions and
// leases.
type StateClient struct{ client *Client }

// NewStateClient makes a client of the state service at an address, host:port.
func NewStateClient(addr string) *StateClient {
	return &StateClient{client: NewClient(addr, stateConnections)}
}

// Item is one key of the state service.
type Item struct {
	Key     string
	Value   json.RawMessage
	Version uint64 // version of the key: the revision that wrote it; 0: the key is missing
}

// storedItem is an item as the state service writes it.
type storedItem struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"entry_mark"`
}

func (s storedItem) item() Item { return Item(s) }

func newStoredItem(item Item) storedItem {
	return storedItem(item)
}

// itemPage is one page of a listing.
type itemPage struct {
	Items    []storedItem `json:"rows"`
	More     bool         `json:"has_next"`
	Revision uint64       `json:"ledger_mark"`
}

// Get reads a key; a missing one has version 0.
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

// List reads one page of the keys with a prefix, in order: at most so many, after the key since where that
// is not empty. revision is that of the state service when it was read.
func (s *StateClient) List(
	ctx context.Context, prefix, since string, most int,
) (items []Item, more bool, revision uint64, err error) {
	q := url.Values{"starts": {prefix}, "most": {strconv.Itoa(most)}}
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

// condition holds when a key has a version.
type condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"entry_mark"`
}

// transactionWrite writes a key, bound to a lease where there is one, or removes it.
type transactionWrite struct {
	Put     string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tether,omitempty"`
	Delete  string          `json:"remove,omitempty"`
}

// transaction makes all its writes if all its conditions hold: a compare-and-swap over several keys.
type transaction struct {
	Conditions []condition        `json:"when"`
	Writes     []transactionWrite `json:"writes"`
}

// transactionAnswer says at which revision a transaction was applied, or which conditions failed.
type transactionAnswer struct {
	Revision uint64   `json:"ledger_mark"`
	Failed   []string `json:"failed"`
}

// Commit makes a transaction of the event log. It returns the revision where the transaction was applied,
// and the keys whose conditions failed where it was not.
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

// transact sends a transaction. Whether it was applied is unknown when there was no answer.
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

// leadershipKeys is more than there are: a page with all keys of leadership.
const leadershipKeys = 10

// ReadLeadership reads the two keys of leadership: who holds the lease, and the last epoch.
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

// Claim takes leadership of the next epoch, bound to a lease, if nobody holds it and the epoch is still
// that of the view. It returns the revision at which leadership was taken.
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

// Watch waits for a change of keys with a prefix after a revision, for so long at most. It returns false
// where it failed, rather than saw a change or waited to the end. The service answers "gone" where the
// revision is too old for it to know its changes: then there were some.
func (s *StateClient) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) bool {
	q := url.Values{
		"starts":  {prefix},
		"since":   {strconv.FormatUint(since, 10)},
		"hold_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, err := s.client.callJSON(ctx, http.MethodGet, PathWatch+"?"+q.Encode(), nil, nil)
	return err == nil && (status == http.StatusOK || status == http.StatusGone)
}

// leaseRequest asks for a lease.
type leaseRequest struct {
	TTLMS int64 `json:"life_ms"`
}

// leaseAnswer gives a lease.
type leaseAnswer struct {
	ID uint64 `json:"tether"`
}

// CreateLease makes a lease with this life, and returns its id.
func (s *StateClient) CreateLease(ctx context.Context, life time.Duration) (uint64, bool) {
	var out leaseAnswer
	status, err := s.client.callJSON(ctx, http.MethodPost, PathLeases, leaseRequest{TTLMS: life.Milliseconds()}, &out)
	return out.ID, err == nil && status == http.StatusOK
}

func leasePath(id uint64) string { return PathLeases + "/" + strconv.FormatUint(id, 10) }

// RenewLease renews a lease; gone says that it has expired.
func (s *StateClient) RenewLease(ctx context.Context, id uint64) (ok, gone bool) {
	status, err := s.client.callJSON(ctx, http.MethodPost, leasePath(id)+"/renew", struct{}{}, nil)
	return err == nil && status == http.StatusOK, err == nil && status == http.StatusNotFound
}

// ReleaseLease ends a lease, and with it the keys bound to it.
func (s *StateClient) ReleaseLease(ctx context.Context, id uint64) {
	// Where this fails, the lease expires by itself.
	_, _ = s.client.callJSON(ctx, http.MethodDelete, leasePath(id), nil, nil)
}
