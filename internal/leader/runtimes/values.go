package runtimes

import (
	"encoding/json"
	"maps"
	"math"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/valuestore"
	"bitternmoor/internal/settings"
)

const (
	valueVersion   = 1    // format version of the values
	writeShare     = 0.05 // share of the state service's write rate that value writes may use
	writesPerValue = 2    // a value needs one write for itself and one for its log entry
	minWriteRate   = 0.01 // writes per second that value writes may use however slow the state service is
)

// writeInterval returns the minimum time between value writes for a state service that accepts the
// given number of writes per second.
func writeInterval(writesPerSecond float64) time.Duration {
	return settings.Seconds(writesPerValue / max(minWriteRate, writeShare*writesPerSecond))
}

// storedValue is the content of one value: some kinds, or a night's demand.
type storedValue struct {
	Version int           `json:"v"`
	Kinds   []storedKind  `json:"k,omitempty"`
	Demand  *storedDemand `json:"d,omitempty"`
}

// FormatVersion implements valuestore.Versioned.
func (v *storedValue) FormatVersion() int { return v.Version }

// valueWrite describes a value write that is not durable yet.
type valueWrite struct {
	number     int
	lastNights map[Kind]int32 // last night of each kind in the value
	demandDay  int32          // night of the demand in the value; math.MinInt32: none
}

// ValuesRead restores a page of the history. more reports whether further pages follow; ok is
// false if the read failed.
func (d *Component) ValuesRead(now time.Duration, list []eventlog.ComponentValue, more, ok bool) {
	if !d.historyReader.PageRead(now, list, more, ok) {
		return
	}
	for _, v := range list {
		d.restoreValue(v)
	}
	if d.historyReader.Done {
		d.historyLoaded(now)
	}
}

// restoreValue restores a value. A value that cannot be decoded is left unchanged, because another
// version may be able to read it or an operator may want to inspect it. Its number is not reused.
func (d *Component) restoreValue(v eventlog.ComponentValue) {
	var stored storedValue
	number, err := valuestore.Decode(Name, v, valueVersion, &stored)
	d.store.next = max(d.store.next, number+1)
	if err != nil {
		d.LogMessage(effects.Warn, "learned run times value cannot be read, set aside", "key", v.Key, "error", err)
		return
	}
	for _, k := range stored.Kinds {
		d.restoreKind(number, &k)
	}
	if stored.Demand != nil {
		d.demand.restore(stored.Demand)
	}
}

// restoreKind restores a kind from a value. A kind may be in two values if a leader ended while
// moving it. Then the copy with the later nights counts, and the other value is written again
// without the kind.
func (d *Component) restoreKind(number int, s *storedKind) {
	k := kindOf(s.Kind, s.Holiday)
	if at, ok := d.model.forgottenAt[k]; (ok && s.At <= at) || len(s.Nights) == 0 {
		d.store.markDirty(number)
		return
	}
	last := nightOf(s.Nights[len(s.Nights)-1]).Day
	if d.nightDurable(k, last) {
		d.store.markDirty(number)
		return
	}
	d.store.remove(k)
	d.store.put(number, k)
	h := d.model.historyOf(k)
	h.lastRecordAt, h.summary = max(h.lastRecordAt, s.At), nil
	h.nights = nil
	for _, numbers := range s.Nights {
		h.nights = append(h.nights, nightOf(numbers))
	}
	d.durableNights[k] = last
}

// removeFromStore removes kinds that are no longer in the model from their stored values.
func (d *Component) removeFromStore(list []Kind) {
	for _, k := range list {
		delete(d.durableNights, k)
		d.store.remove(k)
	}
}

// writeNext writes the next dirty value if no log entry is pending and writeInterval has passed.
func (d *Component) writeNext(now time.Duration) {
	for _, refused := range d.writes.TakeRefused(d.EventLog) {
		d.store.markDirty(refused.number) // retried in smaller values
	}
	if d.writes.Len() > 0 {
		return // only one value is written at a time
	}
	if len(d.store.dirty) == 0 || now-d.lastWriteAt < d.writeInterval || d.EventLog.PendingCount() > 0 {
		return
	}
	d.store.maxBytes = d.EventLog.MaxEntryBytes()
	number := d.store.takeDirty()
	if number >= maxNights && d.store.split(number) {
		return
	}
	d.lastWriteAt = now
	value, write := d.snapshotValue(number)
	raw, err := marshalWithin(&value, d.store.maxBytes)
	if err != nil || !d.writes.Append(d.EventLog, entry{Stored: &number}, number, raw, write) {
		d.LogMessage(effects.Warn, "learned run times are too large to be stored", "value", number, "bytes", len(raw))
	}
}

// marshalWithin encodes a value. While the result is larger than maxBytes, it drops the oldest night
// of each kind that has more than one. The result may still be too large.
func marshalWithin(value *storedValue, maxBytes int) ([]byte, error) {
	raw, err := json.Marshal(*value)
	for cut := 1; err == nil && len(raw) > maxBytes && cut < maxNights; cut++ {
		for i := range value.Kinds {
			if k := &value.Kinds[i]; len(k.Nights) > 1 {
				k.Nights = k.Nights[1:]
			}
		}
		raw, err = json.Marshal(*value)
	}
	return raw, err
}

// snapshotValue returns the current content of a value and the description of its write.
func (d *Component) snapshotValue(number int) (storedValue, valueWrite) {
	value := storedValue{Version: valueVersion}
	write := valueWrite{number: number, lastNights: map[Kind]int32{}, demandDay: math.MinInt32}
	if number < maxNights {
		value.Demand = d.demand.stored(number)
		if value.Demand != nil {
			write.demandDay = value.Demand.Day
		}
		return value, write
	}
	g := d.store.groups[number]
	if g == nil {
		return value, write // its kinds were moved to other values
	}
	for _, k := range g.kinds {
		h := d.model.histories[k]
		if h == nil || len(h.nights) == 0 {
			continue
		}
		s := storedKind{Kind: kindFields(k), Holiday: k.Holiday, At: h.lastRecordAt}
		for _, n := range h.nights {
			s.Nights = append(s.Nights, n.numbers())
		}
		value.Kinds = append(value.Kinds, s)
		write.lastNights[k] = h.nights[len(h.nights)-1].Day
	}
	return value, write
}

// EntryDurable records which nights became durable with a value.
func (d *Component) EntryDurable(_ time.Duration, _ bool, e eventlog.Entry) {
	x, ok := d.decode(e)
	if !ok || x.Stored == nil {
		return
	}
	if write, found := d.writes.TakeDurable(*x.Stored); found {
		maps.Copy(d.durableNights, write.lastNights)
		d.demand.durableDay = max(d.demand.durableDay, write.demandDay)
	}
}
