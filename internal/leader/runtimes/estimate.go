package runtimes

import (
	"fmt"
	"math"
)

// Estimate is the expected time of the tasks and jobs of a kind, as medians and 90th
// percentiles in seconds.
type Estimate struct {
	P50    float64 `json:"task_p50_s"`
	P90    float64 `json:"task_p90_s"`
	Fetch  float64 `json:"fetch_p50_s"`         // from a task's placement to its start
	JobP50 float64 `json:"job_p50_s,omitempty"` // from acceptance or release to end; 0: unknown
	JobP90 float64 `json:"job_p90_s,omitempty"`
	Jobs   int     `json:"jobs"`           // number of jobs that it is learned from
	Tasks  int     `json:"tasks"`          // number of tasks that it is learned from
	Nights int     `json:"nights"`         // number of nights that it is learned from
	AgeS   float64 `json:"age_s"`          // time since the last record
	From   string  `json:"from"`           // where the estimate comes from
	Wide   string  `json:"wide,omitempty"` // why the interval is wide; empty if it is not
}

const (
	wideRatio = 2.5 // ratio of p90 to p50 above which an interval counts as wide
	// The usual range of actual times relative to owners' estimates, for a class without history.
	ownerLowFactor, ownerHighFactor = 1.0, 2.0
	normalP90                       = 1.2816 // 90th percentile of the standard normal distribution
)

// Mean returns the mean task time in seconds, at most the 90th percentile. It assumes a lognormal
// distribution with the estimate's median and 90th percentile.
func (e Estimate) Mean() float64 {
	if e.P50 <= 0 {
		return 0
	}
	sigma := math.Log(max(1, e.P90/e.P50)) / normalP90
	return min(e.P90, e.P50*math.Exp(sigma*sigma/2))
}

// Estimate returns the estimate for a kind at the Unix time now, from the kind itself or the
// finest coarser kind with enough history. owner is the owner's estimate of one task in seconds,
// or 0 if there is none. It is used for an image without history, corrected by the ratio of
// actual to estimated times in its class if that is known.
func (m *Model) Estimate(k Kind, owner float64, now int64) Estimate {
	kinds := k.levels()
	if k.Holiday {
		ordinary := k
		ordinary.Holiday = false
		kinds = append(kinds, ordinary.levels()...)
	}
	for _, level := range kinds {
		h := m.histories[level]
		if h == nil || !h.hasEnoughData() {
			continue
		}
		e := h.estimate(level, now)
		if k.Image != "" && level.Image == "" && owner > 0 {
			// For a new image of a known class, scale the owner's estimate by the
			// class's usual ratios.
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

// minCorrectedSpread is the minimum ratio of p90 to p50 in a corrected estimate.
const minCorrectedSpread = 1.3

// correctedEstimate returns an owner's estimate, multiplied by the ratios of actual to estimated
// times in the class.
func correctedEstimate(h *history, class Estimate, owner float64) Estimate {
	s := h.summarize()
	if s.ratioP50 <= 0 {
		return class
	}
	e := class
	e.From = "owner's estimate, corrected by " + class.From
	e.P50, e.P90 = owner*s.ratioP50, max(owner*s.ratioP90, owner*s.ratioP50*minCorrectedSpread)
	e.JobP50, e.JobP90 = 0, 0
	e.Wide = fmt.Sprintf("this image has no history: owners of the class are off by %.2g to %.2g times", s.ratioP10, s.ratioP90)
	return e
}
