package cluster

import "slices"

// Metrics holds the histograms of the components. It belongs to the process and is not
// reset when a term ends.
type Metrics struct {
	histograms []*Histogram // in the order of first use
}

// Histogram counts values in buckets, separately for each value of one label. It has
// no clock and no lock; the node's collector reads it in the node's event loop.
type Histogram struct {
	Name, Help, Label string
	Bounds            []float64 // upper bounds of the buckets, ascending
	Series            []Series  // in the order in which the label values first occurred
}

// Series holds the counts for one value of the label.
type Series struct {
	Value  string
	Count  uint64
	Sum    float64
	Counts []uint64 // by bucket, not cumulative
}

// Histogram returns the histogram with the given name, creating it on first use.
func (m *Metrics) Histogram(name, help, label string, bounds []float64) *Histogram {
	for _, h := range m.histograms {
		if h.Name == name {
			return h
		}
	}
	h := &Histogram{Name: name, Help: help, Label: label, Bounds: bounds}
	m.histograms = append(m.histograms, h)
	return h
}

// All returns deep copies of all histograms.
func (m *Metrics) All() []Histogram {
	var copies []Histogram
	for _, h := range m.histograms {
		c := *h
		c.Series = slices.Clone(h.Series)
		for i := range c.Series {
			c.Series[i].Counts = slices.Clone(c.Series[i].Counts)
		}
		copies = append(copies, c)
	}
	return copies
}

// Observe records a value under a label value. A value above all bounds is not counted in
// any bucket, only in the count and the sum.
func (h *Histogram) Observe(label string, value float64) {
	index := slices.IndexFunc(h.Series, func(s Series) bool { return s.Value == label })
	if index < 0 {
		index = len(h.Series)
		h.Series = append(h.Series, Series{Value: label, Counts: make([]uint64, len(h.Bounds))})
	}
	s := &h.Series[index]
	s.Count++
	s.Sum += value
	if bucket, _ := slices.BinarySearch(h.Bounds, value); bucket < len(h.Bounds) {
		s.Counts[bucket]++
	}
}

// Gauge holds current values of a component, by the values of one label.
type Gauge struct {
	Name, Help, Label string
	Values            map[string]float64
}
