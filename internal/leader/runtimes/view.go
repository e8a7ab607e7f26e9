package runtimes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/leader/cluster"
)

// shownKind is a kind as Show returns it.
type shownKind struct {
	Name string `json:"name"`
	Kind
	Estimate Estimate      `json:"estimate"`
	Nights   [][11]float64 `json:"nights"`
}

// Names of the component's views. The empty name selects the list of kinds.
const (
	viewForecast = "forecast"
	viewLate     = "late"
	viewAhead    = "ahead"
)

// Show returns a view as JSON. The empty view lists the kinds with their estimates and nights,
// "forecast" the forecasts of jobs in scheduling order, "late" the warnings, and "ahead"
// the expected demand.
func (d *Component) Show(now time.Duration, view string) (json.RawMessage, error) {
	var out any
	switch view {
	case viewForecast:
		out = append([]Forecast{}, d.forecasts(now)...)
	case viewLate:
		out = d.warnings()
	case viewAhead:
		out = d.expectedDemand(now)
	case "":
		out = d.shownKinds(now)
	default:
		return nil, cluster.ErrUnknownView
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("run-times: %w", err)
	}
	return raw, nil
}

// warnings returns the warnings of late jobs, the oldest first.
func (d *Component) warnings() []LateJob {
	list := []LateJob{}
	for _, l := range d.lateJobs {
		list = append(list, *l)
	}
	slices.SortFunc(list, func(a, b LateJob) int {
		return cmp.Or(cmp.Compare(a.RaisedMS, b.RaisedMS), cmp.Compare(a.Job, b.Job))
	})
	return list
}

// shownKinds returns all kinds, sorted by name.
func (d *Component) shownKinds(now time.Duration) []shownKind {
	list := []shownKind{}
	for k, h := range d.model.histories {
		s := shownKind{Name: k.String(), Kind: k, Estimate: h.estimate(k, d.wallClock(now).Unix())}
		for _, n := range h.allNights() {
			s.Nights = append(s.Nights, n.numbers())
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b shownKind) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
