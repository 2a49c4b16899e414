package remote

import (
	"time"

	"heronwick/internal/fleet"
)

// denialRetention is how long a denied attempt is remembered. No placement request is
// in flight for longer, and none is valid after its epoch.
const denialRetention = 10 * time.Minute

// DeniedAttempts is the set of attempts that a host has reported as not being on its
// machines. The owner relies on that, so a placement request for such an attempt that
// arrives later must not be accepted. The zero value is ready to use.
type DeniedAttempts struct{ deniedAt map[fleet.Key]time.Time }

// Deny adds an attempt, which the host must not accept from now on.
func (d *DeniedAttempts) Deny(key fleet.Key, now time.Time) {
	if d.deniedAt == nil {
		d.deniedAt = map[fleet.Key]time.Time{}
	}
	d.deniedAt[key] = now
}

// Denied reports whether the attempt was denied.
func (d *DeniedAttempts) Denied(key fleet.Key) bool { return !d.deniedAt[key].IsZero() }

// Expire removes the attempts that were denied longer than denialRetention ago.
func (d *DeniedAttempts) Expire(now time.Time) {
	for key, at := range d.deniedAt {
		if now.Sub(at) > denialRetention {
			delete(d.deniedAt, key)
		}
	}
}
