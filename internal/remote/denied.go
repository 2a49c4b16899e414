package remote

import (
	"time"

	"heronwick/internal/fleet"
)

// deniedMemory is for how long a denied attempt cannot be taken; no placement
// request is in flight for longer, and none survives its epoch.
const deniedMemory = 10 * time.Minute

// DeniedAttempts are the attempts that a host has said not to have: a
// placement request that is still in flight must not bring them later. The
// zero value is ready to use.
type DeniedAttempts struct{ since map[fleet.Key]time.Time }

// Deny adds an attempt: the host must not take it any more.
func (d *DeniedAttempts) Deny(key fleet.Key, now time.Time) {
	if d.since == nil {
		d.since = map[fleet.Key]time.Time{}
	}
	d.since[key] = now
}

// Denied reports whether an attempt was denied.
func (d *DeniedAttempts) Denied(key fleet.Key) bool { return !d.since[key].IsZero() }

// Expire forgets the attempts that were denied long ago.
func (d *DeniedAttempts) Expire(now time.Time) {
	for key, at := range d.since {
		if now.Sub(at) > deniedMemory {
			delete(d.since, key)
		}
	}
}
