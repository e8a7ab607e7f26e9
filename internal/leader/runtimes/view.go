package runtimes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/leader/cluster"
)

// shownKind is one kind as operators see it.
type shownKind struct {
	Name string `json:"name"`
	Kind
	Estimate Estimate      `json:"estimate"`
	Nights   [][11]float64 `json:"nights"`
}

// Views of the component, beside the empty one.
const (
	viewForecast = "forecast"
	viewLate     = "late"
	viewAhead    = "ahead"
)

// Show returns, as JSON, a list of kinds with their estimates and nights; or with the view
// "forecast" the open jobs in their order, with "late" the warnings, with "ahead" the
// demand that is expected.
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

// warnings are the late jobs, those warned of first at the front.
func (d *Component) warnings() []Late {
	list := []Late{}
	for _, l := range d.lateJobs {
		list = append(list, *l)
	}
	slices.SortFunc(list, func(a, b Late) int {
		return cmp.Or(cmp.Compare(a.RaisedMS, b.RaisedMS), cmp.Compare(a.Job, b.Job))
	})
	return list
}

// shownKinds are all kinds by name.
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
