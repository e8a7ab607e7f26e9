package runtimes

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// storedValue is one value: some kinds, or a night's demand.
type storedValue struct {
	Version int           `json:"v"`
	Kinds   []storedKind  `json:"k,omitempty"`
	Demand  *storedDemand `json:"d,omitempty"`
}

// Values below maxNights hold the demand of one night each, the others kinds.

// pendingWrite is a value on its way.
type pendingWrite struct {
	n      int
	pos    int            // it is settled when the log has come so far
	days   map[Kind]int32 // the last night of each kind in it
	demand int32          // the night of demand in it
}

// ValuesRead takes a page of the history.
func (d *Component) ValuesRead(now time.Duration, list []eventlog.Value, more, ok bool) {
	if !d.history.TakePage(now, list, more, ok) {
		return
	}
	for _, v := range list {
		n, err := eventlog.ValueNumber(Name, v.Key)
		if err != nil {
			d.logUnreadable(v.Key, err)
			continue
		}
		d.store.next = max(d.store.next, n+1)
		var s storedValue
		if err := json.Unmarshal(v.Data, &s); err != nil {
			d.logUnreadable(v.Key, err)
			continue
		}
		if s.Version != valueVersion {
			d.logUnreadable(v.Key, fmt.Errorf("it is of version %d", s.Version))
			continue
		}
		for _, k := range s.Kinds {
			d.restoreKind(n, &k)
		}
		if s.Demand != nil {
			d.demand.restore(s.Demand)
		}
	}
	if d.history.Done {
		d.historyLoaded(now)
	}
}

// logUnreadable leaves a value as it is: another version may know it, or somebody may
// want to see what has become of it. Its number is not used again.
func (d *Component) logUnreadable(key string, err error) {
	d.LogMessage(effects.Warn, "a value of learned run times cannot be read: it is set aside, and learning goes on", "key", key, "error", err)
}

// restoreKind takes a kind of a value. It may be in two, while it moved: then the one
// with the later nights counts, and the other one is written anew.
func (d *Component) restoreKind(n int, s *storedKind) {
	k := kindOf(s.Kind, s.Holiday)
	if at, ok := d.model.forgottenAt[k]; (ok && s.At <= at) || len(s.Nights) == 0 {
		d.store.push(n)
		return
	}
	last := int32(s.Nights[len(s.Nights)-1][0])
	if d.nightDurable(k, last) {
		d.store.push(n)
		return
	}
	d.store.remove(k)
	d.store.put(n, k)
	m := d.model.histories[k]
	if m == nil {
		m = &history{}
		d.model.histories[k] = m
	}
	m.lastRecordAt, m.summary = max(m.lastRecordAt, s.At), nil
	m.nights = nil
	for _, x := range s.Nights {
		m.nights = append(m.nights, nightOf(x))
	}
	d.durableNights[k] = last
}

// writeNext writes one value, when nothing else waits and not too often.
func (d *Component) writeNext(now time.Duration) {
	if d.pending != nil {
		if d.EventLog.DurableCount() < d.pending.pos {
			return
		}
		d.store.push(d.pending.n) // refused: with smaller values it is tried again
		d.pending = nil
	}
	if len(d.store.queue) == 0 || now-d.lastWriteAt < d.writeInterval || d.EventLog.Pending() > 0 {
		return
	}
	d.store.room = d.EventLog.MaxEntryBytes()
	n := d.store.pop()
	if n >= maxNights && d.store.spread(n) {
		return
	}
	d.lastWriteAt = now
	v, st := d.snapshotValue(n)
	raw, err := json.Marshal(v)
	for cut := 1; err == nil && len(raw) > d.store.room && cut < maxNights; cut++ {
		for i := range v.Kinds { // in small values the oldest nights go first
			if k := &v.Kinds[i]; len(k.Nights) > 1 {
				k.Nights = k.Nights[1:]
			}
		}
		raw, err = json.Marshal(v)
	}
	if err != nil || !d.EventLog.AppendWithValue(eventlog.NewComponentEntry(Name, entry{Stored: &n}), eventlog.ValueKey(Name, n), raw) {
		d.LogMessage(effects.Warn, "learned run times that do not fit into a value are not kept", "value", n, "bytes", len(raw))
		return
	}
	st.pos = d.EventLog.AppendedCount()
	d.pending = st
}

// snapshotValue is what a value holds now.
func (d *Component) snapshotValue(n int) (storedValue, *pendingWrite) {
	v, st := storedValue{Version: valueVersion}, &pendingWrite{n: n, days: map[Kind]int32{}, demand: math.MinInt32}
	if n < maxNights {
		v.Demand = d.demand.stored(n)
		if v.Demand != nil {
			st.demand = v.Demand.Day
		}
		return v, st
	}
	g := d.store.groups[n]
	if g == nil {
		return v, st // all that it held is elsewhere
	}
	for _, k := range g.kinds {
		m := d.model.histories[k]
		if m == nil || len(m.nights) == 0 {
			continue
		}
		s := storedKind{Kind: kindFields(k), Holiday: k.Holiday, At: m.lastRecordAt}
		for _, x := range m.nights {
			s.Nights = append(s.Nights, x.numbers())
		}
		v.Kinds = append(v.Kinds, s)
		st.days[k] = m.nights[len(m.nights)-1].Day
	}
	return v, st
}

// EntryDurable notes what is written.
func (d *Component) EntryDurable(_ time.Duration, _ bool, e eventlog.Entry) {
	x, ok := d.decode(e)
	if !ok || x.Stored == nil || d.pending == nil || *x.Stored != d.pending.n {
		return
	}
	maps.Copy(d.durableNights, d.pending.days)
	d.demand.durableDay = max(d.demand.durableDay, d.pending.demand)
	d.pending = nil
}

// removeFromStore has kinds that are in the book no more written nowhere.
func (d *Component) removeFromStore(list []Kind) {
	for _, k := range list {
		delete(d.durableNights, k)
		d.store.remove(k)
	}
}
