package runtimes

import (
	"cmp"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	sketchAccuracy = 0.02 // relative accuracy
	sketchBins     = 512
	minSketched    = 1e-6 // lower bound of the values in a sketch, exclusive
	maxSketched    = 1e9  // upper bound of the values in a sketch, exclusive
)

func newSketch() *ddsketch.DDSketch {
	s, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
	if err != nil {
		panic(err) // the accuracy is a constant within its range
	}
	return s
}

// addToSketch adds a value to a sketch. Values outside the bounds of sketches are ignored.
func addToSketch(s *ddsketch.DDSketch, v, count float64) {
	if v > minSketched && v < maxSketched && count > 0 {
		_ = s.AddWithCount(v, count) // it fails only for values outside these bounds
	}
}

func quantile(s *ddsketch.DDSketch, q float64) float64 {
	v, err := s.GetValueAtQuantile(q)
	if err != nil {
		return 0 // the sketch is empty
	}
	return v
}

// median returns the weighted median of a value over nights. A night's weight is bounded, and a
// single outlier night among several shifts the result to a neighbouring value at most.
func median(nights []Night, value func(Night) float64) float64 {
	type point struct{ v, w float64 }
	var list []point
	total := 0.0
	for _, n := range nights {
		if v := value(n); v > 0 {
			w := float64(min(n.Tasks, maxNightWeight))
			list = append(list, point{v, w})
			total += w
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.SortFunc(list, func(a, b point) int { return cmp.Compare(a.v, b.v) })
	// Interpolate between the two nights around the middle, so that the result does not jump
	// for an even number of nights.
	sum := 0.0
	for i, p := range list {
		mid := sum + p.w/2
		if mid >= total/2 {
			if i == 0 {
				return p.v
			}
			previous := list[i-1]
			previousMid := sum - previous.w/2
			return previous.v + (p.v-previous.v)*(total/2-previousMid)/(mid-previousMid)
		}
		sum += p.w
	}
	return list[len(list)-1].v
}
