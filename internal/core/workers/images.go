package workers

import (
	"slices"
	"time"
)

type cachedImage struct {
	id   int32
	gb   float64
	used time.Duration
}

// HasImage says whether the machine has or is fetching an image.
func (m *Machine) HasImage(id int32) bool {
	for _, im := range m.images {
		if im.id == id {
			return true
		}
	}
	return false
}

// Fetching counts the images that the machine is fetching, or will once what is planned
// on it starts.
func (m *Machine) Fetching() int {
	var under, there []int32
	for _, p := range m.Tasks {
		if p.Planned || p.State == Fetching {
			under = append(under, p.Image)
		} else {
			there = append(there, p.Image)
		}
	}
	slices.Sort(under)
	n := 0
	for _, id := range slices.Compact(under) {
		if !slices.Contains(there, id) {
			n++
		}
	}
	return n
}

// UseImage notes that an image is on, or on its way to, the machine; the
// least recently used ones are taken to be dropped when the cache is full.
func (m *Machine) UseImage(id int32, gb float64, now time.Duration) {
	for i := range m.images {
		if m.images[i].id == id {
			m.images[i].used = now
			return
		}
	}
	m.images = append(m.images, cachedImage{id, gb, now})
	slices.SortFunc(m.images, func(a, b cachedImage) int { return int(b.used - a.used) })
	var sum float64
	for i, im := range m.images {
		if sum += im.gb; sum > m.CacheGB && i > 0 {
			m.images = m.images[:i]
			break
		}
	}
}
