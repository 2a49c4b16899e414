package remote

import (
	"iter"
	"maps"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
)

// Attempt is an attempt of an own job that may be on a machine of another
// controller.
type Attempt struct {
	*fleet.Attempt
	Host      string // the controller that may have taken it
	HostSince uint64 // the host's membership; if that is over, the leader has its machines
	// RequestInFlight tells that the placement request is in flight: settling the attempt
	// now would have the host deny it.
	RequestInFlight bool
}

// Attempts are the remote attempts of one scheduler, by key.
type Attempts struct{ byKey map[fleet.Key]*Attempt }

// NewAttempts returns an empty set of attempts.
func NewAttempts() *Attempts { return &Attempts{byKey: map[fleet.Key]*Attempt{}} }

// Add adds an attempt.
func (r *Attempts) Add(a *Attempt) { r.byKey[a.Key] = a }

// Get returns the attempt with the key, or nil.
func (r *Attempts) Get(key fleet.Key) *Attempt { return r.byKey[key] }

// Delete removes the attempt with the key.
func (r *Attempts) Delete(key fleet.Key) { delete(r.byKey, key) }

// Len returns how many attempts there are.
func (r *Attempts) Len() int { return len(r.byKey) }

// All yields the attempts, in no order; they may be deleted meanwhile.
func (r *Attempts) All() iter.Seq[*Attempt] { return maps.Values(r.byKey) }

// KeyOf returns the key of an attempt that a message names.
func KeyOf(attempt *peerpb.Attempt) fleet.Key {
	return fleet.Key{Task: attempt.Task, Attempt: attempt.Attempt}
}

// messageOf returns what names an attempt in a message.
func messageOf(key fleet.Key) *peerpb.Attempt {
	return &peerpb.Attempt{Task: key.Task, Attempt: key.Attempt}
}
