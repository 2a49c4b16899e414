package job

import (
	"context"
	"fmt"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// A controller that may answer the job's workers can be unaware of a cancellation that
// is in the key-value store: its watch may deliver nothing, and in an outage of the
// store a majority of the controllers confirms the epoch without the store. Therefore
// every controller keeps the cancellations that it knows and sends them to its peers
// with its heartbeats, and no controller confirms a cancellation to a user before enough
// others know it. See docs/design.md, "Cancelled means known".

// Cancellation is a cancellation recorded in the key-value store.
type Cancellation struct {
	Job      string
	Revision uint64 // of the key-value store at which it was committed
	Outcome  Outcome
}

// Replicator sends cancellations to other controllers.
type Replicator interface {
	// Replicate returns nil once enough controllers know the cancellation that no
	// controller can obtain permission to answer workers without learning of it.
	Replicate(ctx context.Context, c Cancellation) error
}

// Cancellations are kept for sending to peers for at least cancellationRetention, unless
// there are more than maxCancellations of them. A peer that lags further behind reads
// the key-value store instead.
const (
	cancellationRetention = 10 * time.Minute
	maxCancellations      = 4096
)

// loggedCancellation is an entry of the cancellation log.
type loggedCancellation struct {
	Cancellation
	addedAt time.Time // when this controller learned of the cancellation
}

// cancellationLog keeps the recent cancellations, for sending to peers.
type cancellationLog struct {
	entries []loggedCancellation // in the order of addedAt
	// base is a revision of the key-value store. The entries include all known
	// cancellations after it.
	base uint64
}

// add appends a cancellation, and drops the oldest entries that are expired or exceed
// maxCancellations.
func (l *cancellationLog) add(c Cancellation, now time.Time) {
	l.entries = append(l.entries, loggedCancellation{c, now})
	for len(l.entries) > maxCancellations || now.Sub(l.entries[0].addedAt) > cancellationRetention {
		l.base = max(l.base, l.entries[0].Revision)
		l.entries = l.entries[1:]
	}
}

// after returns the entries that were committed after a revision.
func (l *cancellationLog) after(revision uint64) []Cancellation {
	var later []Cancellation
	for i := range l.entries {
		if l.entries[i].Revision > revision {
			later = append(later, l.entries[i].Cancellation)
		}
	}
	return later
}

// CancellationState describes the cancellations that a controller knows.
type CancellationState struct {
	// Loaded reports whether the job records have been read. If not, no cancellation
	// is known and the other fields are zero.
	Loaded bool
	// Revision is the revision of the key-value store up to which every cancellation
	// is known.
	Revision uint64
	// Base is the revision after which every known cancellation is kept in the log.
	// Cancellations up to Base may be missing from Recent.
	Base uint64
	// Recent holds the logged cancellations after the requested revision.
	Recent []Cancellation
}

// KnownCancellations describes the cancellations that this controller knows. The field
// Recent of the result lists those after the given revision.
func (s *Store) KnownCancellations(after uint64) CancellationState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Ready() {
		return CancellationState{}
	}
	return CancellationState{Loaded: true, Revision: s.revision, Base: s.cancellations.base, Recent: s.cancellations.after(after)}
}

// ApplyCancellations caches cancellations received from another controller.
func (s *Store) ApplyCancellations(cancelled []Cancellation) {
	for _, c := range cancelled {
		s.addOutcome(c.Job, c.Outcome, c.Revision)
	}
}

// confirmedStatus returns the status of an ended job, after replicating the job's
// cancellation if that has not been done: only then may a user see it.
func (s *Store) confirmedStatus(ctx context.Context, id string, status wire.JobStatus) (Lookup, error) {
	outcome, replicator := s.unreplicated(id)
	if outcome == nil {
		return Lookup{Found: true, Status: status}, nil
	}
	if err := replicator.Replicate(ctx, Cancellation{Job: id, Revision: outcome.revision, Outcome: outcome.Outcome}); err != nil {
		return Lookup{}, fmt.Errorf("%w: telling others that %s is cancelled: %w", state.ErrUnavailable, id, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome.replicated = true
	return Lookup{Found: true, Status: status}, nil
}

// unreplicated returns a job's outcome if it has to be replicated before it is reported
// to users, and nil otherwise.
func (s *Store) unreplicated(id string) (*outcomeEntry, Replicator) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.outcomes[id]
	if o == nil || o.State != wire.JobCancelled || o.replicated || s.replicator == nil {
		return nil, nil
	}
	return o, s.replicator
}
