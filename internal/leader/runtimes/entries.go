package runtimes

import (
	"encoding/json"
	"math"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// entry is a log entry of the component: a job's run record, the number of a written
// value, or a forgotten kind.
type entry struct {
	Record    *storedRecord    `json:"f,omitempty"`
	Stored    *int             `json:"w,omitempty"`
	Forgotten *storedForgotten `json:"x,omitempty"`
}

// storedRecord is the logged form of a RunRecord.
type storedRecord struct {
	ID       uint64     `json:"i"`
	At       int64      `json:"a"`
	Day      int32      `json:"d"`
	Kind     [4]string  `json:"k"`
	Holiday  bool       `json:"h,omitempty"`
	N        int        `json:"n"`
	Task     [5]float64 `json:"t"`
	Fetch    float64    `json:"x,omitempty"`
	Job      float64    `json:"j"`
	Estimate float64    `json:"e,omitempty"`
	Work     float64    `json:"w,omitempty"`
}

// storedForgotten records that a kind was forgotten.
type storedForgotten struct {
	Kind    [4]string `json:"k"`
	Holiday bool      `json:"h,omitempty"`
	At      int64     `json:"a"` // Unix time in seconds: records up to then no longer count
}

// storedKind is the stored form of a kind's closed nights.
type storedKind struct {
	Kind    [4]string     `json:"k"`
	Holiday bool          `json:"h,omitempty"`
	At      int64         `json:"a"`
	Nights  [][11]float64 `json:"n"` // the fields of Night, in order
}

// kindFields returns the stored form of a kind's text fields. kindOf is its inverse.
func kindFields(k Kind) [4]string { return [4]string{k.Class, k.Team, k.Image, k.Shape} }

func kindOf(n [4]string, holiday bool) Kind {
	return Kind{Class: n[0], Team: n[1], Image: n[2], Shape: n[3], Holiday: holiday}
}

func (s *storedRecord) runRecord() *RunRecord {
	return &RunRecord{
		ID:            s.ID,
		At:            s.At,
		Day:           s.Day,
		Kind:          kindOf(s.Kind, s.Holiday),
		CountedTasks:  s.N,
		TaskQuantiles: s.Task,
		Fetch:         s.Fetch,
		Job:           s.Job,
		Estimate:      s.Estimate,
		Work:          s.Work,
	}
}

// numbers returns the stored form of a night, its fields in order. nightOf is its inverse.
func (n Night) numbers() [11]float64 {
	return [11]float64{
		float64(n.Day),
		float64(n.Jobs),
		float64(n.Tasks),
		roundDigits(n.P50),
		roundDigits(n.P90),
		roundDigits(n.Fetch),
		roundDigits(n.JobP50),
		roundDigits(n.JobP90),
		roundDigits(n.RatioP10),
		roundDigits(n.RatioP50),
		roundDigits(n.RatioP90),
	}
}

func nightOf(numbers [11]float64) Night {
	return Night{
		Day:      int32(numbers[0]),
		Jobs:     int(numbers[1]),
		Tasks:    int(numbers[2]),
		P50:      numbers[3],
		P90:      numbers[4],
		Fetch:    numbers[5],
		JobP50:   numbers[6],
		JobP90:   numbers[7],
		RatioP10: numbers[8],
		RatioP50: numbers[9],
		RatioP90: numbers[10],
	}
}

// roundDigits rounds to three significant digits; no estimate is more precise than that. It returns 0
// for infinities and NaN.
func roundDigits(v float64) float64 {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return 0
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// decode decodes a log entry of the component. ok is false if the entry is not a component entry or
// cannot be decoded.
func (d *Component) decode(e eventlog.Entry) (out entry, ok bool) {
	if e.Component == nil {
		return out, false
	}
	if err := json.Unmarshal(e.Component.Data, &out); err != nil {
		d.LogMessage(effects.Warn, "learned run times entry cannot be read, skipped", "error", err)
		return out, false
	}
	return out, true
}

// appendEntry appends an entry to the log. It returns false if the entry does not fit.
func (d *Component) appendEntry(e entry) bool {
	own := eventlog.NewComponentEntry(Name, e) // roundDigits leaves no number that JSON cannot encode
	if !d.EventLog.Fits(own) {
		return false
	}
	d.EventLog.Append(own)
	return true
}
