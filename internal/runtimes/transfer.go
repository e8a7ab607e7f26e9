package runtimes

import (
	"encoding/json"
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
}

// Imported says what an import has changed.
type Imported struct {
	Added    int `json:"added"`
	Replaced int `json:"replaced"`
	Left     int `json:"left_as_they_are"`
	Dropped  int `json:"dropped"` // for want of room
}

// Change takes kinds in. All are checked before the first is taken; they are
// written down one at a time like summaries of a night that has ended.
func (d *Duty) Change(_ time.Duration, body json.RawMessage) (json.RawMessage, error) {
	var in Import
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("run-times: %w", err)
	}
	for i, x := range in.Kinds {
		if err := x.Check(); err != nil {
			return nil, fmt.Errorf("run-times: kinds[%d]: %w", i, err)
		}
	}
	var out Imported
	for _, x := range in.Kinds {
		m, known := d.book.models[x.Kind]
		switch {
		case known && !in.Replace:
			out.Left++
			continue
		case known:
			out.Replaced++
			m.nights, m.open = nil, nil
		case len(d.book.models) >= d.book.most:
			out.Dropped++
			continue
		default:
			out.Added++
			m = &model{}
			d.book.models[x.Kind] = m
		}
		for _, n := range x.Nights[max(0, len(x.Nights)-keepNights):] {
			m.nights = append(m.nights, nightOf(n))
		}
		m.at = int64(m.nights[len(m.nights)-1].Day) * 86400
		delete(d.wrote, x.Kind)
		d.closing = append(d.closing, x.Kind)
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("run-times: %w", err)
	}
	return raw, nil
}
