package pools

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/leader/cluster"
)

// maxLabels is the number of pools that have a label of their own in metrics.
const maxLabels = 100

// Gauges returns the metrics of each pool. Those of all pools beyond the first maxLabels by name are
// added up under one label.
func (d *Component) Gauges(now time.Duration) []cluster.Gauge {
	d.recount(now)
	gauges := []cluster.Gauge{
		{Name: "bitternmoor_pool_units", Help: "Units of the pool."},
		{Name: "bitternmoor_pool_units_out", Help: "Units that are in use, or may be."},
		{Name: "bitternmoor_pool_units_waiting", Help: "Units that waiting tasks need."},
		{
			Name: "bitternmoor_pool_units_uncertain",
			Help: "Units that may be in use on machines that have not reported since the last takeover.",
		},
	}
	for i := range gauges {
		gauges[i].Label, gauges[i].Values = "pool", map[string]float64{}
	}
	byName := slices.SortedFunc(slices.Values(d.pools), func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	for n, p := range byName {
		label := p.name
		if n >= maxLabels {
			label = "others"
		}
		for i, v := range []int64{p.size, p.inUse, p.waiting, p.uncertain} {
			gauges[i].Values[label] += float64(v)
		}
	}
	return gauges
}
