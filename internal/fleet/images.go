package fleet

import "time"

// CachedImage is an image in the cache of a machine.
type CachedImage struct {
	GB   float64
	Used time.Time // when an attempt that uses the image last started
}

// HasImage reports whether the machine is known to have the image.
func (m *Machine) HasImage(image string) bool {
	_, ok := m.CachedImages[image]
	return ok
}

// recordImage records that the machine has fetched the image of an attempt, and removes
// the least recently used images that no longer fit the machine's cache.
func (m *Machine) recordImage(a *Attempt, now time.Time) {
	if a.Image == "" {
		return
	}
	m.CachedImages[a.Image] = CachedImage{GB: a.ImageGB, Used: now}
	if m.Type == nil {
		return
	}
	for len(m.CachedImages) > 1 && m.cachedGB() > m.Type.CacheGB {
		delete(m.CachedImages, m.leastRecentlyUsedImage())
	}
}

func (m *Machine) cachedGB() float64 {
	sum := 0.0
	for _, image := range m.CachedImages {
		sum += image.GB
	}
	return sum
}

// leastRecentlyUsedImage returns the name of the least recently used image, or "" if
// there are no images.
func (m *Machine) leastRecentlyUsedImage() string {
	least := ""
	for name, image := range m.CachedImages {
		if least == "" || image.Used.Before(m.CachedImages[least].Used) {
			least = name
		}
	}
	return least
}
