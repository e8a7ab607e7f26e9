package runtimes

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
)

// Kind identifies work that is treated as the same. Job ids are unique, so history is grouped by
// properties that jobs share. A Kind with empty fields is coarser.
type Kind struct {
	Class   string `json:"class"`
	Team    string `json:"team,omitempty"`
	Image   string `json:"image,omitempty"`
	Shape   string `json:"shape,omitempty"` // task count and CPU need, by powers of two
	Holiday bool   `json:"holiday,omitempty"`
}

// shape returns the size bucket of a job, from its number of tasks and the thousandths of a
// processor that each needs.
func shape(tasks int, milliCPU int64) string {
	return fmt.Sprintf("%dx%d", bits.Len(uint(max(tasks, 1))), bits.Len64(uint64(max(milliCPU, 1))))
}

// levels returns a kind and the coarser kinds that replace it while it has too little
// history, the finest first.
func (k Kind) levels() []Kind {
	return slices.Compact([]Kind{
		k,
		{Class: k.Class, Image: k.Image, Shape: k.Shape, Holiday: k.Holiday},
		{Class: k.Class, Image: k.Image, Holiday: k.Holiday},
		{Class: k.Class, Team: k.Team, Holiday: k.Holiday},
		{Class: k.Class, Holiday: k.Holiday},
	})
}

// Level returns the names of the properties that are set in a kind, such as "class+image".
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

// String returns the kind's name: its fields, separated by slashes.
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
