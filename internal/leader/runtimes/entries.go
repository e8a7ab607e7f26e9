package runtimes

import (
	"encoding/json"
	"math"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// entry is one of the duty's own in the log: what a job has shown, that a value was
// written, or that a kind was forgotten.
type entry struct {
	Record    *storedRecord    `json:"f,omitempty"`
	Stored    *int             `json:"w,omitempty"`
	Forgotten *storedForgotten `json:"x,omitempty"`
}

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

type storedForgotten struct {
	Kind    [4]string `json:"k"`
	Holiday bool      `json:"h,omitempty"`
	At      int64     `json:"a"` // facts up to then count no more
}

type storedKind struct {
	Kind    [4]string     `json:"k"`
	Holiday bool          `json:"h,omitempty"`
	At      int64         `json:"a"`
	Nights  [][11]float64 `json:"n"` // the fields of Night, in their order
}

func kindFields(k Kind) [4]string { return [4]string{k.Class, k.Team, k.Image, k.Shape} }

func kindOf(n [4]string, holiday bool) Kind { return Kind{n[0], n[1], n[2], n[3], holiday} }

func (f *storedRecord) runRecord() *RunRecord {
	return &RunRecord{ID: f.ID, At: f.At, Day: f.Day, Kind: kindOf(f.Kind, f.Holiday), N: f.N, Task: f.Task, Fetch: f.Fetch, Job: f.Job, Estimate: f.Estimate, Work: f.Work}
}

func (n Night) numbers() [11]float64 {
	return [11]float64{float64(n.Day), float64(n.Jobs), float64(n.N), roundDigits(n.P50), roundDigits(n.P90), roundDigits(n.Fetch), roundDigits(n.JobP50), roundDigits(n.JobP90), roundDigits(n.RatioP10), roundDigits(n.RatioP50), roundDigits(n.RP90)}
}

func nightOf(x [11]float64) Night {
	return Night{int32(x[0]), int(x[1]), int(x[2]), x[3], x[4], x[5], x[6], x[7], x[8], x[9], x[10]}
}

// roundDigits keeps three digits: no estimate is better than that.
func roundDigits(v float64) float64 {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return 0
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

func (d *Component) decode(e eventlog.Entry) (out entry, ok bool) {
	if e.Component == nil {
		return out, false
	}
	if err := json.Unmarshal(e.Component.Data, &out); err != nil {
		d.LogMessage(effects.Warn, "an entry of learned run times cannot be read: it is left out, and learning goes on", "error", err)
		return out, false
	}
	return out, true
}

func (d *Component) appendEntry(e entry) bool {
	own := eventlog.NewComponentEntry(Name, e) // round leaves no number that cannot be written
	if !d.EventLog.Fits(own) {
		return false
	}
	d.EventLog.Append(own)
	return true
}
