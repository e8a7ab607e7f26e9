package pools

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// What operators change of pools, and units that stay out after a loss, is kept in
// values of the duty's own, which other versions leave alone. Until they are read no
// unit is given out.

// version is that of the values. A program that meets a later one gives out no units:
// it cannot know what it would overlook.
const valueVersion = 1

// lossValue keeps the losses, the values behind it a pool each.
const lossValue = 0

const changesKept = 16 // for repeats, by pool

// storedValue is one value.
type storedValue struct {
	Version int    `json:"v"`
	Losses  []loss `json:"l,omitempty"`

	Pool    string          `json:"n,omitempty"`
	Units   int64           `json:"u"` // below 0: as the settings say
	Drained bool            `json:"d,omitempty"`
	Changed uint64          `json:"c,omitempty"` // counts the changes
	Changes []appliedChange `json:"i,omitempty"`
}

// appliedChange is one that was made; a repeat of it answers the same.
type appliedChange struct {
	ID      string `json:"i"`
	Version uint64 `json:"c"`
}

// valueStore is what is kept of that.
type valueStore struct {
	cluster.ValueReader
	loaded        bool // whole, and nothing in it is strange
	unreadableKey string
	nextNumber    int // values from this one on were never used
	lossesDirty   bool
	dirty         []*pool // to be written
	pending       []*pendingWrite
}

// pendingWrite is a value on its way.
type pendingWrite struct {
	number   int
	position int
	pool     *pool // nil: the losses
	version  uint64
	pending  int64
}

// entry goes along with a value, or says which units a receipt was given for.
type entry struct {
	Stored  *int           `json:"w,omitempty"`
	Receipt *storedReceipt `json:"r,omitempty"`
}

// ValuesRead takes a page of values.
func (d *Component) ValuesRead(now time.Duration, list []eventlog.Value, more, ok bool) {
	s := &d.store
	if !s.TakePage(now, list, more, ok) {
		return
	}
	for _, v := range list {
		if err := d.restoreValue(v); err != nil {
			s.unreadableKey = v.Key
			d.LogMessage(effects.Error, "what was changed of pools cannot be read: no units are given out", "key", v.Key, "error", err)
		}
	}
	if s.Done && s.unreadableKey == "" {
		s.loaded = true
		d.NeedsCycle = true
	}
}

func (d *Component) restoreValue(v eventlog.Value) error {
	n, err := eventlog.ValueNumber(Name, v.Key)
	if err != nil {
		return err
	}
	d.store.nextNumber = max(d.store.nextNumber, n+1)
	var s storedValue
	if err := json.Unmarshal(v.Data, &s); err != nil {
		return err
	}
	if s.Version != valueVersion {
		return fmt.Errorf("it is of version %d: all controllers must be of one that knows it", s.Version)
	}
	if n == lossValue {
		d.losses = append(s.Losses, d.losses...)
		return nil
	}
	p := d.pool(s.Pool)
	p.valueNumber, p.changeVersion, p.durableVersion, p.changes, p.drained = n, s.Changed, s.Changed, s.Changes, s.Drained
	if s.Units >= 0 {
		p.size = s.Units
	}
	p.sizeOverridden = s.Units >= 0
	return nil
}

// syncStore reads and writes values.
func (d *Component) syncStore(now time.Duration) {
	s := &d.store
	if !s.Done {
		s.RequestNext(d.State, now, Name)
		return
	}
	if s.unreadableKey != "" {
		return
	}
	s.pending = slices.DeleteFunc(s.pending, func(w *pendingWrite) bool {
		if d.EventLog.DurableCount() < w.position {
			return false
		}
		// Refused: it is tried again.
		if w.pool == nil {
			s.lossesDirty = true
		} else {
			s.dirty = append(s.dirty, w.pool)
		}
		return true
	})
	if slices.ContainsFunc(s.pending, func(w *pendingWrite) bool { return w.pool != nil }) {
		return // one pool at a time
	}
	switch {
	case s.lossesDirty:
		d.writeLosses()
	case len(s.dirty) > 0:
		p := s.dirty[0]
		s.dirty = s.dirty[1:]
		if p.valueNumber == 0 {
			s.nextNumber = max(s.nextNumber, lossValue+1)
			p.valueNumber = s.nextNumber
			s.nextNumber++
		}
		v := storedValue{Pool: p.name, Units: -1, Drained: p.drained, Changed: p.changeVersion, Changes: p.changes}
		if p.sizeOverridden {
			v.Units = max(p.size, p.pendingSize)
		}
		d.writeValue(&pendingWrite{number: p.valueNumber, pool: p, version: p.changeVersion, pending: p.pendingSize}, v)
	}
}

// writeLosses writes the units that stay out after losses, if there are new ones.
func (d *Component) writeLosses() {
	if s := &d.store; s.lossesDirty && s.Done && s.unreadableKey == "" {
		s.lossesDirty = false
		d.writeValue(&pendingWrite{number: lossValue}, storedValue{Losses: d.losses})
	}
}

func (d *Component) writeValue(w *pendingWrite, v storedValue) {
	v.Version = valueVersion
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("pools: a value that cannot be written: %v", err)) // names and numbers
	}
	if !d.EventLog.AppendWithValue(eventlog.NewComponentEntry(Name, entry{Stored: &w.number}), eventlog.ValueKey(Name, w.number), raw) {
		d.LogMessage(effects.Error, "what was changed of pools does not fit into a value", "value", w.number, "bytes", len(raw))
		return
	}
	w.position = d.EventLog.AppendedCount()
	d.store.pending = append(d.store.pending, w)
}

// EntryDurable notes what is written: a larger size counts from then on.
func (d *Component) EntryDurable(now time.Duration, _ bool, e eventlog.Entry) {
	var x entry
	if e.Component == nil || json.Unmarshal(e.Component.Data, &x) != nil {
		return
	}
	if x.Receipt != nil {
		d.receiptDurable(x.Receipt)
		return
	}
	i := -1
	if x.Stored != nil {
		i = slices.IndexFunc(d.store.pending, func(w *pendingWrite) bool { return w.number == *x.Stored })
	}
	if i < 0 {
		return
	}
	w := d.store.pending[i]
	d.store.pending = slices.Delete(d.store.pending, i, i+1)
	p := w.pool
	if p == nil {
		return
	}
	p.durableVersion = w.version
	if w.pending > 0 && p.pendingSize == w.pending {
		p.size, p.pendingSize = p.pendingSize, 0
	}
	d.NeedsCycle = true
}

// Compact writes anew which units receipts were given for; entries that went along with
// values are of no use any more.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	if e.Component != nil {
		d.compactReceipt(e)
	}
}

// LiveBytes is roughly how many bytes Keep would write for the whole log.
func (d *Component) LiveBytes() int { return d.receipts.total * receiptBytes }

// Request is what the duty can be asked to do: one of its fields is set.
type Request struct {
	Change  *Change  `json:"change,omitempty"`
	Receipt *Holding `json:"receipt,omitempty"`
}

// Change is a change of a pool that an operator asks for. It carries an id: a repeat
// answers the same. Version is that of the pool that it was planned for; where
// another change came first it is refused.
type Change struct {
	ID      string `json:"id"`
	Pool    string `json:"pool"`
	Version uint64 `json:"version"`
	Units   *int64 `json:"units,omitempty"` // below 0: as the settings say
	Drain   *bool  `json:"drain,omitempty"`
}

// Changed is the answer. Until it is durable the same change is to be asked for again.
type Changed struct {
	Durable bool   `json:"durable"`
	Version uint64 `json:"version"`
	Pool    View   `json:"pool"`
}

// Change does what it is asked to.
func (d *Component) Change(now time.Duration, body json.RawMessage) (json.RawMessage, error) {
	var in Request
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("pools: %w", err)
	}
	var out any
	var err error
	switch {
	case in.Change != nil:
		out, err = d.change(now, in.Change)
	case in.Receipt != nil:
		out, err = d.issueReceipt(now, in.Receipt)
	default:
		err = fmt.Errorf("pools: neither a change nor a receipt is asked for")
	}
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("pools: %w", err)
	}
	return raw, nil
}

func (d *Component) change(now time.Duration, c *Change) (*Changed, error) {
	i, ok := d.byName[c.Pool]
	if !ok || !d.pools[i].known {
		return nil, fmt.Errorf("pools: pool: no such pool: %q", c.Pool)
	}
	p := d.pools[i]
	switch {
	case !d.store.loaded && d.store.unreadableKey != "":
		return nil, fmt.Errorf("pools: %s cannot be read: nothing is changed", d.store.unreadableKey)
	case !d.store.loaded:
		return nil, fmt.Errorf("pools: what was changed before is still being read: try again in a second")
	case c.ID == "" || len(c.ID) > 64:
		return nil, fmt.Errorf("pools: id: has 1 to 64 bytes")
	case c.Units != nil && *c.Units > eventlog.UnitsMost:
		return nil, fmt.Errorf("pools: units: more than %d", eventlog.UnitsMost)
	case c.Units == nil && c.Drain == nil:
		return nil, fmt.Errorf("pools: neither units nor drain is to be changed")
	}
	if n := slices.IndexFunc(p.changes, func(o appliedChange) bool { return o.ID == c.ID }); n >= 0 {
		v := p.changes[n].Version
		return &Changed{Durable: v <= p.durableVersion, Version: v, Pool: d.view(now, p, false)}, nil
	}
	if c.Version != p.changeVersion {
		return nil, fmt.Errorf("pools: version: this was planned for version %d, and another change has made it %d", c.Version, p.changeVersion)
	}
	p.changeVersion++
	p.changes = append(p.changes, appliedChange{c.ID, p.changeVersion})
	p.changes = slices.Delete(p.changes, 0, max(0, len(p.changes)-changesKept))
	if c.Drain != nil {
		p.drained = *c.Drain
	}
	if c.Units != nil {
		units := *c.Units
		if p.sizeOverridden = units >= 0; !p.sizeOverridden {
			units = int64(p.conf.Units)
		}
		// Fewer count at once; more once a new leader would know of them.
		p.size, p.pendingSize = min(p.size, units), 0
		if units > p.size {
			p.pendingSize = units
		}
	}
	d.store.dirty = append(d.store.dirty, p)
	d.NeedsCycle = true
	d.LogMessage(effects.Info, "a pool is changed", "pool", p.name, "version", p.changeVersion, "units", max(p.size, p.pendingSize), "drained", p.drained)
	return &Changed{Version: p.changeVersion, Pool: d.view(now, p, false)}, nil
}
