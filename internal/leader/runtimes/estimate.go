package runtimes

import (
	"fmt"
	"math"
)

// Estimate is how long tasks and jobs of a kind should take, as an interval.
// Times are in seconds.
type Estimate struct {
	P50    float64 `json:"task_p50_s"`
	P90    float64 `json:"task_p90_s"`
	Fetch  float64 `json:"fetch_p50_s"`
	JobP50 float64 `json:"job_p50_s,omitempty"` // from acceptance to end; 0: not known
	JobP90 float64 `json:"job_p90_s,omitempty"`
	Jobs   int     `json:"jobs"`
	Tasks  int     `json:"tasks"`
	Nights int     `json:"nights"`
	AgeS   float64 `json:"age_s"`          // since the last of them
	From   string  `json:"from"`           // the history that it comes from
	Wide   string  `json:"wide,omitempty"` // why the interval is wide, where it is
}

const (
	wideRatio = 2.5 // p90 over p50, from which on a kind is said to vary
	// Without any history of the class: what owners are usually off by.
	ownerLowFactor, ownerHighFactor = 1.0, 2.0
	normalP90                       = 1.2816 // of the standard normal distribution
)

// Mean is the mean of tasks, in seconds, taking them for lognormal: the interval
// has their median and how far they spread.
func (e Estimate) Mean() float64 {
	if e.P50 <= 0 {
		return 0
	}
	sigma := math.Log(max(1, e.P90/e.P50)) / normalP90
	return min(e.P90, e.P50*math.Exp(sigma*sigma/2))
}

// Estimate estimates work of a kind at a time of day, in seconds. owner is the owner's
// estimate of one task, in seconds, or 0; it is used where there is no history, corrected
// by what this class's owners have been off by.
func (m *Model) Estimate(k Kind, owner float64, now int64) Estimate {
	kinds := k.levels()
	if k.Holiday {
		ordinary := k
		ordinary.Holiday = false
		kinds = append(kinds, ordinary.levels()...)
	}
	for _, level := range kinds {
		h := m.histories[level]
		if h == nil || !h.hasEnough() {
			continue
		}
		e := h.estimate(level, now)
		if k.Image != "" && level.Image == "" && owner > 0 {
			// A new image of a class that is known: the class's own range, about what
			// the owner says of this one.
			return correctedEstimate(h, e, owner)
		}
		return e
	}
	if owner <= 0 {
		return Estimate{From: "nothing", Wide: "neither history nor an owner's estimate"}
	}
	return Estimate{
		P50:  owner * ownerLowFactor,
		P90:  owner * ownerHighFactor,
		From: "owner's estimate",
		Wide: "no history: the owner's estimate alone",
	}
}

// minCorrectedSpread is the least 90th percentile of a corrected estimate, in medians.
const minCorrectedSpread = 1.3

// correctedEstimate is an owner's estimate, corrected by what owners of the class were off
// by.
func correctedEstimate(h *history, class Estimate, owner float64) Estimate {
	s := h.summarize()
	if s.mid <= 0 {
		return class
	}
	e := class
	e.From = "owner's estimate, corrected by " + class.From
	e.P50, e.P90 = owner*s.mid, max(owner*s.high, owner*s.mid*minCorrectedSpread)
	e.JobP50, e.JobP90 = 0, 0
	e.Wide = fmt.Sprintf("this image has no history: owners of the class are off by %.2g to %.2g times", s.low, s.high)
	return e
}
