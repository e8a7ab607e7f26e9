package pools

import (
	"encoding/json"
	"fmt"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/valuestore"
)

// Operators' changes of pools and units that stay in use after a loss are stored in values of the
// component's own, which other versions of the program do not change. Until the values are read, no
// unit is allocated.

// valueVersion is the format version of the values. A program that reads a later one allocates no
// units, since it might miss what the value contains.
const valueVersion = 1

// lossValueNumber is the number of the value that stores the losses. Each of the values after it stores
// one pool.
const lossValueNumber = 0

// sizeFromSettings is stored as the units of a pool that has the size in the settings.
const sizeFromSettings = -1

// storedValue is one value: the losses, or the changes of a pool.
type storedValue struct {
	Version int    `json:"v"`
	Losses  []loss `json:"l,omitempty"`

	Pool    string          `json:"n,omitempty"`
	Units   int64           `json:"u"` // negative: the number in the settings
	Drained bool            `json:"d,omitempty"`
	Changed uint64          `json:"c,omitempty"` // number of changes
	Changes []appliedChange `json:"i,omitempty"`
}

// FormatVersion implements valuestore.Versioned.
func (v *storedValue) FormatVersion() int { return v.Version }

// valueStore tracks the reading and writing of the stored values.
type valueStore struct {
	cluster.ValueReader
	loaded        bool   // all values were read and decoded
	unreadableKey string // key of a value that could not be decoded; empty: none
	nextNumber    int    // value numbers from this one on were never used

	// Changes to be written, and writes in progress.
	lossesDirty bool
	dirtyPools  []*pool
	writes      valuestore.Writer[poolWrite]
}

// writable reports whether the values of earlier terms were read and decoded, so that they may be
// overwritten.
func (s *valueStore) writable() bool { return s.Done && s.unreadableKey == "" }

// poolWrite is a write of a pool's changes, or of the losses.
type poolWrite struct {
	pool          *pool  // nil: the losses
	changeVersion uint64 // of the pool when it was written
	pendingSize   int64  // of the pool when it was written
}

// entry is a log entry of the component: it announces a value or records a receipt.
type entry struct {
	Stored  *int           `json:"w,omitempty"` // number of the value
	Receipt *storedReceipt `json:"r,omitempty"`
}

// ValuesRead processes a page of the values of earlier terms. More pages follow if more is true; the page
// could not be read if ok is false.
func (d *Component) ValuesRead(now time.Duration, list []eventlog.ComponentValue, more, ok bool) {
	s := &d.store
	if !s.PageRead(now, list, more, ok) {
		return
	}
	for _, v := range list {
		if err := d.restoreValue(v); err != nil {
			s.unreadableKey = v.Key
			d.LogMessage(effects.Error, "pool changes cannot be read, no units granted",
				"key", v.Key, "error", err)
		}
	}
	if s.writable() {
		s.loaded = true
		d.NeedsCycle = true
	}
}

func (d *Component) restoreValue(v eventlog.ComponentValue) error {
	var stored storedValue
	number, err := valuestore.Decode(Name, v, valueVersion, &stored)
	d.store.nextNumber = max(d.store.nextNumber, number+1)
	if err != nil {
		return err
	}
	if number == lossValueNumber {
		d.losses = append(stored.Losses, d.losses...)
		return nil
	}
	p := d.pool(stored.Pool)
	p.valueNumber = number
	p.changeVersion, p.durableVersion = stored.Changed, stored.Changed
	p.changes = stored.Changes
	p.drained = stored.Drained
	p.sizeOverridden = stored.Units >= 0
	if p.sizeOverridden {
		p.size = stored.Units
	}
	return nil
}

// syncStore reads the values of earlier terms, then writes what has changed: first the losses, then
// one pool at a time.
func (d *Component) syncStore(now time.Duration) {
	s := &d.store
	if !s.Done {
		s.RequestNext(d.State, now, Name)
		return
	}
	if !s.writable() {
		return
	}
	d.retryRefused()
	if s.writes.HasPending(func(w poolWrite) bool { return w.pool != nil }) {
		return
	}
	switch {
	case s.lossesDirty:
		d.writeLosses()
	case len(s.dirtyPools) > 0:
		p := s.dirtyPools[0]
		s.dirtyPools = s.dirtyPools[1:]
		d.writePool(p)
	}
}

// retryRefused marks the values that the state service refused, so that they are written again.
func (d *Component) retryRefused() {
	for _, w := range d.store.writes.TakeRefused(d.EventLog) {
		if w.pool == nil {
			d.store.lossesDirty = true
		} else {
			d.store.dirtyPools = append(d.store.dirtyPools, w.pool)
		}
	}
}

// writeLosses writes the units that stay in use after losses, if they have changed.
func (d *Component) writeLosses() {
	if d.store.lossesDirty && d.store.writable() {
		d.store.lossesDirty = false
		d.writeValue(lossValueNumber, storedValue{Losses: d.losses}, poolWrite{})
	}
}

func (d *Component) writePool(p *pool) {
	if p.valueNumber == 0 {
		p.valueNumber = max(d.store.nextNumber, lossValueNumber+1)
		d.store.nextNumber = p.valueNumber + 1
	}
	v := storedValue{
		Pool:    p.name,
		Units:   sizeFromSettings,
		Drained: p.drained,
		Changed: p.changeVersion,
		Changes: p.changes,
	}
	if p.sizeOverridden {
		v.Units = max(p.size, p.pendingSize)
	}
	d.writeValue(p.valueNumber, v, poolWrite{pool: p, changeVersion: p.changeVersion, pendingSize: p.pendingSize})
}

func (d *Component) writeValue(number int, v storedValue, w poolWrite) {
	v.Version = valueVersion
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("pools: cannot encode value: %v", err)) // the value has only names and numbers
	}
	if !d.store.writes.Append(d.EventLog, entry{Stored: &number}, number, raw, w) {
		d.LogMessage(effects.Error, "pool value is too large to be stored", "value", number, "bytes", len(raw))
	}
}

// EntryDurable processes a durable log entry. A larger size of a pool takes effect when the entry of
// its value is durable.
func (d *Component) EntryDurable(_ time.Duration, _ bool, e eventlog.Entry) {
	var decoded entry
	if e.Component == nil || json.Unmarshal(e.Component.Data, &decoded) != nil {
		return
	}
	switch {
	case decoded.Receipt != nil:
		d.receiptDurable(decoded.Receipt)
	case decoded.Stored != nil:
		if w, found := d.store.writes.TakeDurable(*decoded.Stored); found && w.pool != nil {
			d.poolDurable(w)
		}
	}
}

func (d *Component) poolDurable(w poolWrite) {
	p := w.pool
	p.durableVersion = w.changeVersion
	if w.pendingSize > 0 && p.pendingSize == w.pendingSize {
		p.size, p.pendingSize = p.pendingSize, 0
	}
	d.NeedsCycle = true
}

// Compact appends a receipt to the log again if it is still needed. Announcements of values are not
// needed any more.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	if e.Component != nil {
		d.compactReceipt(e)
	}
}

// LiveBytes returns roughly how many bytes Compact would write for the whole log.
func (d *Component) LiveBytes() int { return d.receipts.total * receiptBytes }
