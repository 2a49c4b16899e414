package fleet

import "time"

// CachedImage is an image on a machine.
type CachedImage struct {
	GB   float64
	Used time.Time // when an attempt last started with it
}

// HasImage reports whether the machine is known to have the image.
func (m *Machine) HasImage(image string) bool {
	_, ok := m.CachedImages[image]
	return ok
}

// noteImage records that the machine has fetched an attempt's image, and forgets
// the least recently used images beyond what its cache holds.
func (m *Machine) noteImage(a *Attempt, now time.Time) {
	if a.Image == "" {
		return
	}
	m.CachedImages[a.Image] = CachedImage{GB: a.ImageGB, Used: now}
	if m.Type == nil {
		return
	}
	for len(m.CachedImages) > 1 && m.cachedGB() > m.Type.CacheGB {
		delete(m.CachedImages, m.oldestImage())
	}
}

func (m *Machine) cachedGB() float64 {
	sum := 0.0
	for _, image := range m.CachedImages {
		sum += image.GB
	}
	return sum
}

// oldestImage returns the least recently used image, "" if there is none.
func (m *Machine) oldestImage() string {
	oldest := ""
	for name, image := range m.CachedImages {
		if oldest == "" || image.Used.Before(m.CachedImages[oldest].Used) {
			oldest = name
		}
	}
	return oldest
}
