package runtimes

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// This file imports kinds that another installation has learned, and forgets kinds.

// ExportedKind is the format in which a kind of work is exported and imported.
type ExportedKind struct {
	Kind
	Nights [][11]float64 `json:"nights"` // the fields of Night, in order
}

// Name returns the kind's name.
func (x ExportedKind) Name() string { return x.String() }

// maxImportedNumber is the largest absolute value of an imported number, in seconds or as a count.
const maxImportedNumber = 1e9

// Check validates an exported kind. Its error names the invalid field and the reason.
func (x ExportedKind) Check() error {
	if x.Class == "" {
		return errors.New("class: missing")
	}
	if len(x.Nights) == 0 {
		return errors.New("nights: there are none")
	}
	for i, n := range x.Nights {
		for _, v := range n {
			if math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > maxImportedNumber {
				return fmt.Errorf("nights[%d]: a number out of range: %v", i, v)
			}
		}
		switch night := nightOf(n); {
		case i > 0 && n[0] <= x.Nights[i-1][0]:
			return fmt.Errorf("nights[%d]: day %v does not follow day %v", i, n[0], x.Nights[i-1][0])
		case slices.Min(n[1:]) < 0:
			return fmt.Errorf("nights[%d]: a negative number", i)
		case night.Jobs == 0 || night.Tasks == 0 || night.P50 == 0:
			return fmt.Errorf("nights[%d]: no jobs, tasks or times", i)
		case night.P90 < night.P50 || night.JobP90 < night.JobP50 || night.RatioP90 < night.RatioP10:
			return fmt.Errorf("nights[%d]: a 90th percentile below the median", i)
		}
	}
	return nil
}

// ImportRequest is a change request: kinds to import and kinds to forget. Kinds that are already
// known are left unchanged unless Replace is set.
type ImportRequest struct {
	Kinds   []ExportedKind `json:"kinds"`
	Replace bool           `json:"replace"`
	Forget  []string       `json:"forget,omitempty"` // names of kinds, as Show returns them
}

// ImportResult counts what an import has changed.
type ImportResult struct {
	Added    int `json:"added"`
	Replaced int `json:"replaced"`
	Left     int `json:"left_as_they_are"` // already known and not replaced
	Dropped  int `json:"dropped"`          // because the model is full
	Forgot   int `json:"forgotten,omitempty"`
}

var errHistoryLoading = errors.New("run-times: the history is still being read: try again in a few seconds")

// Change applies an ImportRequest and returns an ImportResult, both as JSON. All kinds are checked before
// the first is changed. Imported nights are written like closed ones. Change fails until the
// history is loaded.
func (d *Component) Change(now time.Duration, body json.RawMessage) (json.RawMessage, error) {
	var in ImportRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("run-times: %w", err)
	}
	for i, x := range in.Kinds {
		if err := x.Check(); err != nil {
			return nil, fmt.Errorf("run-times: kinds[%d]: %w", i, err)
		}
	}
	if !d.historyReader.Done {
		return nil, errHistoryLoading
	}
	if err := d.forgetKinds(now, in.Forget); err != nil {
		return nil, err
	}
	out := ImportResult{Forgot: len(in.Forget)}
	for _, x := range in.Kinds {
		d.importKind(x, in.Replace, &out)
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("run-times: %w", err)
	}
	return raw, nil
}

const secondsPerDay = 24 * 60 * 60

// importKind imports a kind and counts the outcome in out.
func (d *Component) importKind(x ExportedKind, replace bool, out *ImportResult) {
	_, known := d.model.histories[x.Kind]
	switch {
	case known && !replace:
		out.Left++
		return
	case known:
		out.Replaced++
	case len(d.model.histories) >= d.model.maxKinds:
		out.Dropped++
		return
	default:
		out.Added++
	}
	h := d.model.historyOf(x.Kind)
	h.nights, h.open, h.summary = nil, nil, nil
	for _, numbers := range x.Nights[max(0, len(x.Nights)-maxNights):] {
		h.nights = append(h.nights, nightOf(numbers))
	}
	h.lastRecordAt = max(int64(h.lastDay())*secondsPerDay, d.model.forgottenAt[x.Kind]+1)
	delete(d.durableNights, x.Kind)
	d.store.markDirty(d.store.assign(x.Kind))
}

// forgetKinds forgets the named kinds and logs this, so that records still in the log no longer
// count for them. Coarser kinds are kept.
func (d *Component) forgetKinds(now time.Duration, names []string) error {
	if len(names) == 0 {
		return nil
	}
	byName := map[string]Kind{}
	for k := range d.model.histories {
		byName[k.String()] = k
	}
	for i, name := range names {
		if _, ok := byName[name]; !ok {
			return fmt.Errorf("run-times: forget[%d]: no kind of work is called %q", i, name)
		}
	}
	for _, name := range names {
		d.forgetKind(now, byName[name])
	}
	return nil
}

func (d *Component) forgetKind(now time.Duration, k Kind) {
	s := storedForgotten{
		Kind:    kindFields(k),
		Holiday: k.Holiday,
		At:      max(d.wallClock(now).Unix(), d.model.histories[k].lastRecordAt),
	}
	d.appendEntry(entry{Forgotten: &s})
	d.model.forgottenAt[k] = s.At
	delete(d.model.histories, k)
	d.removeFromStore([]Kind{k})
}
