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

// Show gives, as JSON, a list of kinds with their estimates and nights, or with the
// view "forecast" the open jobs in their order, or with "late" the warnings.
func (d *Component) Show(now time.Duration, view string) (json.RawMessage, error) {
	var out any
	switch view {
	case "forecast":
		out = append([]Forecast{}, d.forecasts(now)...)
	case "late":
		list := []Late{}
		for _, l := range d.lateJobs {
			list = append(list, *l)
		}
		slices.SortFunc(list, func(a, b Late) int {
			return cmp.Or(cmp.Compare(a.RaisedMS, b.RaisedMS), cmp.Compare(a.Job, b.Job))
		})
		out = list
	case "ahead":
		out = d.expectedDemand(now)
	case "":
		list := []shownKind{}
		for k, m := range d.model.histories {
			s := shownKind{Name: k.String(), Kind: k, Estimate: m.estimate(k, d.wallClock(now).Unix())}
			for _, n := range m.allNights() {
				s.Nights = append(s.Nights, n.numbers())
			}
			list = append(list, s)
		}
		slices.SortFunc(list, func(a, b shownKind) int { return cmp.Compare(a.Name, b.Name) })
		out = list
	default:
		return nil, cluster.ErrUnknownView
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("run-times: %w", err)
	}
	return raw, nil
}
