// The state service's side of its protocol: what stand-ins of the service read and write.

package wire

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"bitternmoor/internal/core/eventlog"
)

// StateWrite is one write of a transaction, as the state service reads it.
type StateWrite struct {
	Key     string
	Value   json.RawMessage
	LeaseID uint64 // lease that the key is bound to; 0: none
	Remove  bool   // the key is removed
}

// StateTransaction is a transaction, as the state service reads it.
type StateTransaction struct {
	Conds  []eventlog.Condition
	Writes []StateWrite
}

// ParseTransaction reads a transaction.
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

// TransactionAnswer is the body that answers a transaction: with the conditions that failed, if any.
func TransactionAnswer(revision uint64, failed []string) []byte {
	return encode(transactionAnswer{Revision: revision, Failed: failed})
}

// StateQuery asks for keys, or for their changes.
type StateQuery struct {
	Prefix string        // of the keys
	After  string        // of keys: the key after which the page begins
	Limit  int           // of keys: size of the page
	Since  uint64        // of changes: the revision after which they begin
	Wait   time.Duration // of changes: how long to wait for one
}

// ParseStateQuery reads the query of a request for keys or changes.
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

// leasedItem is an item with the lease that it is bound to.
type leasedItem struct {
	storedItem
	LeaseID uint64 `json:"tether,omitempty"`
}

// StateItem is the body that gives one key; lease is what it is bound to, or 0.
func StateItem(item Item, lease uint64) []byte {
	return encode(leasedItem{storedItem: newStoredItem(item), LeaseID: lease})
}

// StatePage is the body that gives a page of keys; more says that there are further ones.
func StatePage(items []Item, more bool, revision uint64) []byte {
	stored := make([]storedItem, len(items))
	for i, item := range items {
		stored[i] = newStoredItem(item)
	}
	return encode(itemPage{Items: stored, More: more, Revision: revision})
}

// keyChange is a write of a key, or its removal.
type keyChange struct {
	Write   string          `json:"write,omitempty"`
	Remove  string          `json:"remove,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"entry_mark"`
}

// changesAnswer lists the changes after a revision.
type changesAnswer struct {
	Revision uint64      `json:"ledger_mark"`
	Changes  []keyChange `json:"news"`
}

// StateChanges is the body that lists changes of keys; those without a value are removals.
func StateChanges(revision uint64, changed []Item) []byte {
	list := make([]keyChange, len(changed))
	for i, item := range changed {
		list[i] = keyChange{Write: item.Key, Value: item.Value, Version: item.Version}
		if item.Value == nil {
			list[i] = keyChange{Remove: item.Key, Version: item.Version}
		}
	}
	return encode(changesAnswer{Revision: revision, Changes: list})
}

// ParseLease reads how long a lease is to live.
func ParseLease(body []byte) (time.Duration, error) {
	var in leaseRequest
	if err := json.Unmarshal(body, &in); err != nil || in.TTLMS <= 0 {
		return 0, fmt.Errorf("wire: life_ms: missing or not a number above 0")
	}
	return time.Duration(in.TTLMS) * time.Millisecond, nil
}

// LeaseAnswer is the body that gives a new lease.
func LeaseAnswer(id uint64) []byte { return encode(leaseAnswer{ID: id}) }
