package cluster

import "slices"

// Metrics are the histograms that components keep. They outlive terms: they belong
// to the process, and count from its beginning.
type Metrics struct {
	histograms []*Histogram // in the order of their first use
}

// Histogram counts values in buckets, apart for each value of one label. It has
// no clock and no lock; the node's collector reads it in the node's event loop.
type Histogram struct {
	Name, Help, Label string
	Bounds            []float64 // upper bounds of the buckets, rising
	Series            []Series  // in the order in which labels came up
}

// Series is what one value of the label has counted.
type Series struct {
	Value  string
	Count  uint64
	Sum    float64
	Counts []uint64 // by bucket, not added up
}

// Histogram returns the histogram with a name, made at its first use.
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

// Observe counts a value under a value of the label. One above all bounds counts in no
// bucket, but in the count and the sum.
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

// Gauge is a number of a component at present, by the values of one label.
type Gauge struct {
	Name, Help, Label string
	Values            map[string]float64
}
