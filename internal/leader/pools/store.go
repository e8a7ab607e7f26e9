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

// Operators' changes of pools, and units that stay in use after a loss, are kept in
// values of the component's own, which other versions leave alone. Until they are read no
// unit is allocated.

// valueVersion is the format version of the values. A program that meets a later one
// allocates no units: it cannot know what it would overlook.
const valueVersion = 1

// lossValue is the number of the value that keeps the losses. The values after it keep a
// pool each.
const lossValue = 0

// sizeOfSettings stands for the units of a pool that has as many as the settings say.
const sizeOfSettings = -1

// storedValue is one value: the losses, or the changes of a pool.
type storedValue struct {
	Version int    `json:"v"`
	Losses  []loss `json:"l,omitempty"`

	Pool    string          `json:"n,omitempty"`
	Units   int64           `json:"u"` // below 0: as the settings say
	Drained bool            `json:"d,omitempty"`
	Changed uint64          `json:"c,omitempty"` // counts the changes
	Changes []appliedChange `json:"i,omitempty"`
}

// FormatVersion implements valuestore.Versioned.
func (v *storedValue) FormatVersion() int { return v.Version }

// valueStore is what is known of the stored values.
type valueStore struct {
	cluster.ValueReader
	loaded        bool   // all are read, and each could be decoded
	unreadableKey string // of a value that could not be decoded; empty: there is none
	nextNumber    int    // values from this one on were never used

	// What is to be written, and what is on its way.
	lossesDirty bool
	dirty       []*pool
	writes      valuestore.Writer[poolWrite]
}

// writable reports whether the values of earlier terms are known, so that they may be
// overwritten.
func (s *valueStore) writable() bool { return s.Done && s.unreadableKey == "" }

// poolWrite is a write of a pool's changes, or of the losses.
type poolWrite struct {
	pool          *pool  // nil: the losses
	changeVersion uint64 // of the pool when it was written
	pendingSize   int64  // of the pool when it was written
}

// entry announces a value, or says which units a receipt was issued for.
type entry struct {
	Stored  *int           `json:"w,omitempty"`
	Receipt *storedReceipt `json:"r,omitempty"`
}

// ValuesRead takes a page of the values of earlier terms.
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
	if number == lossValue {
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

// syncStore reads the values of earlier terms, then writes what has changed: the losses
// before pools, and one pool at a time.
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
	case len(s.dirty) > 0:
		p := s.dirty[0]
		s.dirty = s.dirty[1:]
		d.writePool(p)
	}
}

// retryRefused marks what the state service has refused as to be written again.
func (d *Component) retryRefused() {
	for _, w := range d.store.writes.TakeRefused(d.EventLog) {
		if w.pool == nil {
			d.store.lossesDirty = true
		} else {
			d.store.dirty = append(d.store.dirty, w.pool)
		}
	}
}

// writeLosses writes the units that stay in use after losses, if they have changed.
func (d *Component) writeLosses() {
	if d.store.lossesDirty && d.store.writable() {
		d.store.lossesDirty = false
		d.writeValue(lossValue, storedValue{Losses: d.losses}, poolWrite{})
	}
}

func (d *Component) writePool(p *pool) {
	if p.valueNumber == 0 {
		p.valueNumber = max(d.store.nextNumber, lossValue+1)
		d.store.nextNumber = p.valueNumber + 1
	}
	v := storedValue{
		Pool:    p.name,
		Units:   sizeOfSettings,
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
		panic(fmt.Sprintf("pools: a value that cannot be written: %v", err)) // names and numbers
	}
	if !d.store.writes.Append(d.EventLog, entry{Stored: &number}, number, raw, w) {
		d.LogMessage(effects.Error, "pool value is too large to be stored", "value", number, "bytes", len(raw))
	}
}

// EntryDurable notes what is durable: a larger size counts from then on.
func (d *Component) EntryDurable(_ time.Duration, _ bool, e eventlog.Entry) {
	var own entry
	if e.Component == nil || json.Unmarshal(e.Component.Data, &own) != nil {
		return
	}
	switch {
	case own.Receipt != nil:
		d.receiptDurable(own.Receipt)
	case own.Stored != nil:
		if w, found := d.store.writes.TakeDurable(*own.Stored); found && w.pool != nil {
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

// Compact writes anew which units receipts were issued for; announcements of values are
// of no use any more.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	if e.Component != nil {
		d.compactReceipt(e)
	}
}

// LiveBytes is roughly how many bytes Compact would write for the whole log.
func (d *Component) LiveBytes() int { return d.receipts.total * receiptBytes }
