package rebalance

import (
	"encoding/json"
	"fmt"
	"time"

	"bitternmoor/internal/leader/cluster"
)

// View is the state of a controller as shown to operators.
type View struct {
	Node     string  `json:"node"`
	Machines int     `json:"machines"`
	Weight   float64 `json:"weight"`
	Load     float64 `json:"load"` // as a multiple of the mean load
	Ready    bool    `json:"ready"`
}

// Show returns the distribution of heartbeats over controllers, as a JSON list of View.
func (d *Component) Show(_ time.Duration, view string) (json.RawMessage, error) {
	if view != "" {
		return nil, cluster.ErrUnknownView
	}
	out := []View{}
	for _, n := range d.balancer.nodes {
		v := View{Node: n.Name, Machines: n.Machines, Weight: n.Weight, Ready: n.Ready}
		if d.balancer.meanLoad > 0 {
			v.Load = n.loadWith(0) / d.balancer.meanLoad
		}
		out = append(out, v)
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("spread: %w", err)
	}
	return raw, nil
}

// Gauges returns each controller's load as a multiple of the mean.
func (d *Component) Gauges(time.Duration) []cluster.Gauge {
	g := cluster.Gauge{
		Name:   "bitternmoor_report_load",
		Help:   "A controller's machines next to its even share.",
		Label:  "holder",
		Values: map[string]float64{},
	}
	for _, n := range d.balancer.nodes {
		if d.balancer.meanLoad > 0 {
			g.Values[n.Name] = n.loadWith(0) / d.balancer.meanLoad
		}
	}
	return []cluster.Gauge{g}
}
