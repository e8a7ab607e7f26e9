// Server side of the state service's protocol, used by the stand-ins for the service.

package wire

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"bitternmoor/internal/core/eventlog"
)

// StateWrite is one write of a StateTransaction.
type StateWrite struct {
	Key     string
	Value   json.RawMessage
	LeaseID uint64 // lease that the key is bound to; 0: none
	Remove  bool   // the key is removed instead of written
}

// StateTransaction is a decoded transaction: if all conditions hold, all writes are made.
type StateTransaction struct {
	Conds  []eventlog.Condition
	Writes []StateWrite
}

// ParseTransaction decodes a transaction.
func ParseTransaction(body []byte) (StateTransaction, error) {
	var in transaction
	if err := json.Unmarshal(body, &in); err != nil {
		return StateTransaction{}, fmt.Errorf("wire: a transaction that cannot be read: %w", err)
	}
	var out StateTransaction
	for _, c := range in.Conditions {
		out.Conds = append(out.Conds, eventlog.Condition{Key: c.Key, Version: c.Version})
	}
	for _, w := range in.Writes {
		if w.Delete != "" {
			out.Writes = append(out.Writes, StateWrite{Key: w.Delete, Remove: true})
			continue
		}
		out.Writes = append(out.Writes, StateWrite{Key: w.Put, Value: w.Value, LeaseID: w.LeaseID})
	}
	return out, nil
}

// TransactionAnswer encodes the response to a transaction; failed lists the keys whose conditions failed.
func TransactionAnswer(revision uint64, failed []string) []byte {
	return encode(transactionAnswer{Revision: revision, Failed: failed})
}

// StateQuery is a query for keys or for changes of keys.
type StateQuery struct {
	Prefix string        // prefix of the keys
	After  string        // query for keys: the page begins after this key
	Limit  int           // query for keys: page size
	Since  uint64        // query for changes: only changes after this revision
	Wait   time.Duration // query for changes: longest wait for a change
}

// ParseStateQuery decodes the URL query of a request for keys or changes.
func ParseStateQuery(values url.Values) (StateQuery, error) {
	q := StateQuery{Prefix: values.Get("starts"), After: values.Get("since")}
	numbers := []struct {
		name string
		set  func(uint64)
	}{
		{"most", func(n uint64) { q.Limit = int(n) }},
		{"hold_ms", func(n uint64) { q.Wait = time.Duration(n) * time.Millisecond }},
	}
	for _, number := range numbers {
		text := values.Get(number.name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return q, fmt.Errorf("wire: %s: %q is no number", number.name, text)
		}
		number.set(n)
	}
	if n, err := strconv.ParseUint(q.After, 10, 64); err == nil {
		q.Since = n
	}
	return q, nil
}

// leasedItem is an item and the lease that its key is bound to.
type leasedItem struct {
	storedItem
	LeaseID uint64 `json:"tether,omitempty"`
}

// StateItem encodes the response with one key; lease is the id of the lease that it is bound to, or 0.
func StateItem(item Item, lease uint64) []byte {
	return encode(leasedItem{storedItem: newStoredItem(item), LeaseID: lease})
}

// EncodeStatePage encodes one page of a list of keys; more is set if further pages follow.
func EncodeStatePage(items []Item, more bool, revision uint64) []byte {
	stored := make([]storedItem, len(items))
	for i, item := range items {
		stored[i] = newStoredItem(item)
	}
	return encode(itemPage{Items: stored, More: more, Revision: revision})
}

// keyChange is a write or the removal of a key.
type keyChange struct {
	Write   string          `json:"write,omitempty"`
	Remove  string          `json:"remove,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"entry_mark"`
}

// changesAnswer is the response that lists the changes after a revision.
type changesAnswer struct {
	Revision uint64      `json:"ledger_mark"`
	Changes  []keyChange `json:"news"`
}

// EncodeStateChanges encodes the response that lists changes of keys; an item without a value is a removal.
func EncodeStateChanges(revision uint64, changed []Item) []byte {
	list := make([]keyChange, len(changed))
	for i, item := range changed {
		list[i] = keyChange{Write: item.Key, Value: item.Value, Version: item.Version}
		if item.Value == nil {
			list[i] = keyChange{Remove: item.Key, Version: item.Version}
		}
	}
	return encode(changesAnswer{Revision: revision, Changes: list})
}

// ParseLease decodes a request for a lease and returns the lease's time to live.
func ParseLease(body []byte) (time.Duration, error) {
	var in leaseRequest
	if err := json.Unmarshal(body, &in); err != nil || in.TTLMS <= 0 {
		return 0, fmt.Errorf("wire: life_ms: missing or not a number above 0")
	}
	return time.Duration(in.TTLMS) * time.Millisecond, nil
}

// LeaseAnswer encodes the response with the id of a new lease.
func LeaseAnswer(id uint64) []byte { return encode(leaseAnswer{ID: id}) }
