package runtimes

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Taking in what another installation has learned.

// Exported is one kind of work as it is exported and taken in.
type Exported struct {
	Kind
	Nights [][11]float64 `json:"nights"` // the fields of Night, in their order
}

// Name is the kind's name.
func (x Exported) Name() string { return x.Kind.String() }

// Check says what is wrong with an exported kind: the field, and why.
func (x Exported) Check() error {
	if x.Class == "" {
		return fmt.Errorf("class: missing")
	}
	if len(x.Nights) == 0 {
		return fmt.Errorf("nights: there are none")
	}
	for i, n := range x.Nights {
		for _, v := range n {
			if math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > 1e9 {
				return fmt.Errorf("nights[%d]: a number out of range: %v", i, v)
			}
		}
		switch night := nightOf(n); {
		case i > 0 && n[0] <= x.Nights[i-1][0]:
			return fmt.Errorf("nights[%d]: day %v does not follow day %v", i, n[0], x.Nights[i-1][0])
		case slices.Min(n[1:]) < 0:
			return fmt.Errorf("nights[%d]: a negative number", i)
		case night.Jobs == 0 || night.N == 0 || night.P50 == 0:
			return fmt.Errorf("nights[%d]: no jobs, tasks or times", i)
		case night.P90 < night.P50 || night.JobP90 < night.JobP50 || night.RP90 < night.RatioP10:
			return fmt.Errorf("nights[%d]: a 90th percentile below the median", i)
		}
	}
	return nil
}

// Import is what the duty can be asked to change: kinds to be taken in. Those that
// are known already are left as they are, unless Replace says otherwise.
type Import struct {
	Kinds   []Exported `json:"kinds"`
	Replace bool       `json:"replace"`
	Forget  []string   `json:"forget,omitempty"` // names of kinds, as they are shown
}

// Imported says what an import has changed.
type Imported struct {
	Added    int `json:"added"`
	Replaced int `json:"replaced"`
	Left     int `json:"left_as_they_are"`
	Dropped  int `json:"dropped"` // for want of room
	Forgot   int `json:"forgotten,omitempty"`
}

var errHistoryLoading = errors.New("run-times: the history is still being read: try again in a few seconds")

// Change takes kinds in, or forgets some. All are checked before the first is
// touched; what is taken in is written down like nights that have ended.
func (d *Component) Change(now time.Duration, body json.RawMessage) (json.RawMessage, error) {
	var in Import
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("run-times: %w", err)
	}
	for i, x := range in.Kinds {
		if err := x.Check(); err != nil {
			return nil, fmt.Errorf("run-times: kinds[%d]: %w", i, err)
		}
	}
	if !d.history.Done {
		return nil, errHistoryLoading
	}
	var out Imported
	if err := d.forgetKinds(now, in.Forget); err != nil {
		return nil, err
	}
	out.Forgot = len(in.Forget)
	for _, x := range in.Kinds {
		m, known := d.model.histories[x.Kind]
		switch {
		case known && !in.Replace:
			out.Left++
			continue
		case known:
			out.Replaced++
			m.nights, m.open = nil, nil
		case len(d.model.histories) >= d.model.maxKinds:
			out.Dropped++
			continue
		default:
			out.Added++
			m = &history{}
			d.model.histories[x.Kind] = m
		}
		for _, n := range x.Nights[max(0, len(x.Nights)-maxNights):] {
			m.nights = append(m.nights, nightOf(n))
		}
		m.lastRecordAt, m.summary = max(int64(m.nights[len(m.nights)-1].Day)*86400, d.model.forgottenAt[x.Kind]+1), nil
		delete(d.durableNights, x.Kind)
		d.store.push(d.store.place(x.Kind))
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("run-times: %w", err)
	}
	return raw, nil
}

// forgetKinds forgets the kinds of these names, and notes that it has: facts that are
// still in the log count for them no more. Coarser kinds stay.
func (d *Component) forgetKinds(now time.Duration, list []string) error {
	if len(list) == 0 {
		return nil
	}
	byName := map[string]Kind{}
	for k := range d.model.histories {
		byName[k.String()] = k
	}
	for i, name := range list {
		if _, ok := byName[name]; !ok {
			return fmt.Errorf("run-times: forget[%d]: no kind of work is called %q", i, name)
		}
	}
	for _, name := range list {
		k := byName[name]
		s := storedForgotten{Kind: kindFields(k), Holiday: k.Holiday, At: max(d.wallClock(now).Unix(), d.model.histories[k].lastRecordAt)}
		d.appendEntry(entry{Forgotten: &s})
		d.model.forgottenAt[k] = s.At
		delete(d.model.histories, k)
		d.removeFromStore([]Kind{k})
	}
	return nil
}
