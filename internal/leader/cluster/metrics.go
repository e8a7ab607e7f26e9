package cluster

import "slices"

// Metrics are the histograms that duties keep. They outlive terms: they belong
// to the process, and count from its beginning.
type Metrics struct{ histograms []*Histogram }

// Histogram counts values in buckets, apart for each value of one label. It has
// no clock and no lock; the node's collector reads it in the loop.
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

// All returns copies of all histograms.
func (m *Metrics) All() []Histogram {
	var out []Histogram
	for _, h := range m.histograms {
		c := *h
		c.Series = slices.Clone(h.Series)
		for i := range c.Series {
			c.Series[i].Counts = slices.Clone(c.Series[i].Counts)
		}
		out = append(out, c)
	}
	return out
}

// Observe counts a value.
func (h *Histogram) Observe(label string, v float64) {
	i := slices.IndexFunc(h.Series, func(s Series) bool { return s.Value == label })
	if i < 0 {
		i = len(h.Series)
		h.Series = append(h.Series, Series{Value: label, Counts: make([]uint64, len(h.Bounds))})
	}
	s := &h.Series[i]
	s.Count++
	s.Sum += v
	if b, _ := slices.BinarySearch(h.Bounds, v); b < len(h.Bounds) {
		s.Counts[b]++
	}
}

// Gauge is a number of a duty at present, by the values of one label.
type Gauge struct {
	Name, Help, Label string
	Values            map[string]float64
}
