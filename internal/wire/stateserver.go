package wire

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"bitternmoor/internal/core/eventlog"
)

// StateWrite is one change of a transaction, as the state service reads it.
type StateWrite struct {
	Key    string
	Value  json.RawMessage
	Hold   uint64
	Remove bool
}

// StateTxn is a transaction, as the state service reads it.
type StateTxn struct {
	Conds  []eventlog.Condition
	Writes []StateWrite
}

// ParseTxn reads a transaction.
func ParseTxn(body []byte) (StateTxn, error) {
	var in transaction
	if err := json.Unmarshal(body, &in); err != nil {
		return StateTxn{}, fmt.Errorf("wire: a transaction that cannot be read: %w", err)
	}
	var out StateTxn
	for _, c := range in.Conditions {
		out.Conds = append(out.Conds, eventlog.Condition{Key: c.Key, Version: c.Version})
	}
	for _, p := range in.Writes {
		if p.Delete != "" {
			out.Writes = append(out.Writes, StateWrite{Key: p.Delete, Remove: true})
			continue
		}
		out.Writes = append(out.Writes, StateWrite{Key: p.Put, Value: p.Value, Hold: p.LeaseID})
	}
	return out, nil
}

// TxnAnswer is the body that answers a transaction: with the conditions that failed, if any.
func TxnAnswer(revision uint64, failed []string) []byte {
	return encode(transactionAnswer{Revision: revision, Failed: failed})
}

// StateQuery is what is asked of keys, or of their changes.
type StateQuery struct {
	Prefix, After string
	Most          int
	Since         uint64
	Wait          time.Duration
}

// ParseStateQuery reads the query of a request for keys or changes.
func ParseStateQuery(v url.Values) (StateQuery, error) {
	q := StateQuery{Prefix: v.Get("starts"), After: v.Get("since")}
	for _, x := range []struct {
		name string
		to   func(uint64)
	}{
		{"most", func(n uint64) { q.Most = int(n) }},
		{"hold_ms", func(n uint64) { q.Wait = time.Duration(n) * time.Millisecond }},
	} {
		if v.Get(x.name) == "" {
			continue
		}
		n, err := strconv.ParseUint(v.Get(x.name), 10, 31)
		if err != nil {
			return q, fmt.Errorf("wire: %s: %q is no number", x.name, v.Get(x.name))
		}
		x.to(n)
	}
	if n, err := strconv.ParseUint(q.After, 10, 64); err == nil {
		q.Since = n
	}
	return q, nil
}

type leasedItem struct {
	storedItem
	LeaseID uint64 `json:"tether,omitempty"`
}

// StateItem is the body that gives one key; hold is what it hangs on, or 0.
func StateItem(it Item, hold uint64) []byte { return encode(leasedItem{storedItem(it), hold}) }

// StatePage is the body that gives a page of keys.
func StatePage(items []Item, more bool, revision uint64) []byte {
	rows := make([]storedItem, len(items))
	for i, it := range items {
		rows[i] = storedItem(it)
	}
	return encode(itemPage{rows, more, revision})
}

type keyChange struct {
	Write   string          `json:"write,omitempty"`
	Remove  string          `json:"remove,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"entry_mark"`
}

type changesAnswer struct {
	Revision uint64      `json:"ledger_mark"`
	Changes  []keyChange `json:"news"`
}

// StateNews is the body that tells of changes; those without a value are removals.
func StateNews(revision uint64, changed []Item) []byte {
	list := make([]keyChange, len(changed))
	for i, it := range changed {
		list[i] = keyChange{Write: it.Key, Value: it.Value, Version: it.Mark}
		if it.Value == nil {
			list[i] = keyChange{Remove: it.Key, Version: it.Mark}
		}
	}
	return encode(changesAnswer{revision, list})
}

// ParseLease reads how long a hold is to live.
func ParseLease(body []byte) (time.Duration, error) {
	var in leaseRequest
	if err := json.Unmarshal(body, &in); err != nil || in.TTLMS <= 0 {
		return 0, fmt.Errorf("wire: life_ms: missing or not a number above 0")
	}
	return time.Duration(in.TTLMS) * time.Millisecond, nil
}

// LeaseAnswer is the body that gives a new hold.
func LeaseAnswer(id uint64) []byte { return encode(leaseAnswer{id}) }
