package runtimes

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
)

// Kind is what counts as the same work. Job ids are unique, so history goes by what jobs
// have in common, finer or coarser.
type Kind struct {
	Class   string `json:"class"`
	Team    string `json:"team,omitempty"`
	Image   string `json:"image,omitempty"`
	Shape   string `json:"shape,omitempty"` // tasks and processors, to a power of two
	Holiday bool   `json:"holiday,omitempty"`
}

// shape buckets how many tasks a job has and how many thousandths of a processor
// each takes.
func shape(tasks int, milliCPU int64) string {
	return fmt.Sprintf("%dx%d", bits.Len(uint(max(tasks, 1))), bits.Len64(uint64(max(milliCPU, 1))))
}

// levels lists a kind and the coarser ones that stand in for it while it has too
// little history, the finest first.
func (k Kind) levels() []Kind {
	return slices.Compact([]Kind{
		k,
		{Class: k.Class, Image: k.Image, Shape: k.Shape, Holiday: k.Holiday},
		{Class: k.Class, Image: k.Image, Holiday: k.Holiday},
		{Class: k.Class, Team: k.Team, Holiday: k.Holiday},
		{Class: k.Class, Holiday: k.Holiday},
	})
}

// Level names how fine a kind is.
func (k Kind) Level() string {
	var parts []string
	for _, p := range []struct {
		set  bool
		name string
	}{
		{k.Class != "", "class"},
		{k.Team != "", "team"},
		{k.Image != "", "image"},
		{k.Shape != "", "shape"},
		{k.Holiday, "holiday"},
	} {
		if p.set {
			parts = append(parts, p.name)
		}
	}
	return strings.Join(parts, "+")
}

func (k Kind) String() string {
	s := k.Class
	for _, p := range []string{k.Team, k.Image, k.Shape} {
		s += "/" + p
	}
	if k.Holiday {
		s += "/holiday"
	}
	return s
}
