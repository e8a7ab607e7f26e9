package workers

import (
	"slices"
	"time"
)

// cachedImage is an image that the leader assumes to be in a machine's cache.
type cachedImage struct {
	id       int32
	sizeGB   float64
	lastUsed time.Duration
}

// HasImage reports whether the leader assumes that the machine has an image in its cache or is fetching it.
func (m *Machine) HasImage(id int32) bool {
	return slices.ContainsFunc(m.images, func(image cachedImage) bool { return image.id == id })
}

// ImagesToFetch returns the number of images that the machine is fetching, or will fetch once the tasks
// planned on it start.
func (m *Machine) ImagesToFetch() int {
	var needed, present []int32
	for _, p := range m.Tasks {
		if p.Planned || p.State == Fetching {
			needed = append(needed, p.Image)
		} else {
			present = append(present, p.Image)
		}
	}
	slices.Sort(needed)
	count := 0
	for _, id := range slices.Compact(needed) {
		if !slices.Contains(present, id) {
			count++
		}
	}
	return count
}

// UseImage records that an image is on the machine or being fetched. When the cache is full, the least
// recently used images are assumed to be evicted.
func (m *Machine) UseImage(id int32, sizeGB float64, now time.Duration) {
	for i := range m.images {
		if m.images[i].id == id {
			m.images[i].lastUsed = now
			return
		}
	}
	m.images = append(m.images, cachedImage{id: id, sizeGB: sizeGB, lastUsed: now})
	slices.SortFunc(m.images, func(a, b cachedImage) int { return int(b.lastUsed - a.lastUsed) })
	var total float64
	for i, image := range m.images {
		total += image.sizeGB
		if total > m.CacheGB && i > 0 {
			m.images = m.images[:i]
			break
		}
	}
}
