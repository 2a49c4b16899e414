package remote

import (
	"iter"
	"maps"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/fleet"
)

// Attempt is an attempt of one of this scheduler's jobs that may be on a machine of
// another controller.
type Attempt struct {
	*fleet.Attempt
	Host string // the controller that may have accepted the attempt
	// HostSince identifies the membership of the host, by the epoch in which it joined.
	// After this membership has ended, the leader owns the host's machines.
	HostSince uint64
	// RequestInFlight is set while the placement request is in flight. The attempt must
	// not be settled meanwhile: the host would deny it and then reject the request.
	RequestInFlight bool
}

// Attempts is the set of remote attempts of one scheduler, by key.
type Attempts struct{ byKey map[fleet.Key]*Attempt }

// NewAttempts returns an empty set of attempts.
func NewAttempts() *Attempts { return &Attempts{byKey: map[fleet.Key]*Attempt{}} }

// Add adds an attempt, replacing one with the same key.
func (r *Attempts) Add(a *Attempt) { r.byKey[a.Key] = a }

// Get returns the attempt with the key, or nil if there is none.
func (r *Attempts) Get(key fleet.Key) *Attempt { return r.byKey[key] }

// Delete removes the attempt with the key.
func (r *Attempts) Delete(key fleet.Key) { delete(r.byKey, key) }

// Len returns the number of attempts.
func (r *Attempts) Len() int { return len(r.byKey) }

// All yields the attempts in no particular order. Attempts may be deleted during the
// iteration.
func (r *Attempts) All() iter.Seq[*Attempt] { return maps.Values(r.byKey) }

// KeyOf returns the key of an attempt in a message.
func KeyOf(attempt *peerpb.Attempt) fleet.Key {
	return fleet.Key{Task: attempt.Task, Attempt: attempt.Attempt}
}

// attemptMessage returns the message form of an attempt's key.
func attemptMessage(key fleet.Key) *peerpb.Attempt {
	return &peerpb.Attempt{Task: key.Task, Attempt: key.Attempt}
}
