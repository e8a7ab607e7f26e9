package pools

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/leader/cluster"
)

// maxLabels is how many pools have a label of their own in metrics.
const maxLabels = 100

// Gauges returns the numbers of each pool. Those of pools beyond the first maxLabels, by
// name, are summed up.
func (d *Component) Gauges(now time.Duration) []cluster.Gauge {
	d.recount(now)
	gauges := []cluster.Gauge{
		{Name: "bitternmoor_pool_units", Help: "Units that a pool has."},
		{Name: "bitternmoor_pool_units_out", Help: "Units that are out, or may be."},
		{Name: "bitternmoor_pool_units_waiting", Help: "Units that waiting tasks need."},
		{
			Name: "bitternmoor_pool_units_uncertain",
			Help: "Units that are out only perhaps: on machines that have not reported since the last takeover.",
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
