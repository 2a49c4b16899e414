package job

import (
	"context"
	"errors"
	"fmt"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// A cancellation that is in the store is not yet known to whoever may still
// answer the job's workers: its watch may stay silent, and in an outage the
// word of a majority renews its permission without the store. So every
// controller keeps the cancellations that it knows, hands them over with its
// word, and none confirms one to a user before enough others know it. See
// docs/design.md, "Cancelled means known".

// Cancellation is one that the store has.
type Cancellation struct {
	Job      string
	Revision uint64 // of the store, at which it was carried out
	Outcome  Outcome
}

// Replicator tells others of a cancellation before it is confirmed to a user.
type Replicator interface {
	// Replicate returns nil once so many controllers know the cancellation
	// that no permission to answer workers can be had without hearing of it.
	Replicate(ctx context.Context, c Cancellation) error
}

// Cancellations are kept to be handed over for at least keepCancelled, at most
// maxCancelled of them; controllers that lag further behind read the store.
const (
	keepCancelled = 10 * time.Minute
	maxCancelled  = 4096
)

// knownCancellation is a cancellation and when this controller knownCancellation of it.
type knownCancellation struct {
	Cancellation
	at time.Time
}

// cancellationLog keeps the cancellations that are to be handed over to others.
type cancellationLog struct {
	entries []knownCancellation // in the order in which they were learnt
	// base is a revision of the store: all that are known and came after it are
	// among the entries.
	base uint64
}

// add keeps a cancellation, and drops those that are too old or too many.
func (l *cancellationLog) add(n Cancellation, now time.Time) {
	l.entries = append(l.entries, knownCancellation{n, now})
	for len(l.entries) > maxCancelled || now.Sub(l.entries[0].at) > keepCancelled {
		l.base = max(l.base, l.entries[0].Revision)
		l.entries = l.entries[1:]
	}
}

// after returns those that were carried out after a revision.
func (l *cancellationLog) after(revision uint64) (named []Cancellation) {
	for i := range l.entries {
		if l.entries[i].Revision > revision {
			named = append(named, l.entries[i].Cancellation)
		}
	}
	return named
}

// CancellationState is what a controller knows of cancellations.
type CancellationState struct {
	// Loaded: the jobs have been read; else nothing is known.
	Loaded bool
	// Revision is up to which of the store's every one is known.
	Revision uint64
	// Base is after which one all that are known can be named.
	Base uint64
	// Recent are those after the revision that was asked about.
	Recent []Cancellation
}

// KnownCancellations tells what is known of cancellations, and names those after a revision.
func (c *Store) KnownCancellations(after uint64) CancellationState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.Ready() {
		return CancellationState{}
	}
	return CancellationState{Loaded: true, Revision: c.revision, Base: c.cancelled.base, Recent: c.cancelled.after(after)}
}

// ApplyCancellations takes cancellations that another controller knows.
func (c *Store) ApplyCancellations(cancelled []Cancellation) {
	for _, n := range cancelled {
		c.setFinal(n.Job, n.Outcome, n.Revision)
	}
}

// SyncToRevision makes every cancellation up to a revision known, which the caller
// has seen in the store.
func (c *Store) SyncToRevision(ctx context.Context, revision uint64) error {
	c.mu.Lock()
	after, ready := c.revision, c.Ready()
	c.mu.Unlock()
	switch {
	case !ready:
		return ErrNotReady
	case after >= revision:
		return nil
	}
	events, err := c.client.Watch(ctx, prefix, after, 0)
	if errors.Is(err, state.ErrCompacted) {
		return c.load(ctx)
	}
	if err != nil {
		return fmt.Errorf("catching up with the jobs: %w", err)
	}
	// What was carried out before the question is in the answer.
	c.applyEvents(events, revision)
	return nil
}

// applyEvents applies what a watch from the store's last revision has brought.
func (c *Store) applyEvents(events wire.Events, known uint64) {
	for _, e := range events.Events {
		c.apply(e)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = max(c.revision, events.Revision, known)
}

// confirmedStatus returns the answer for a job that is over, as soon as it may be given.
func (c *Store) confirmedStatus(ctx context.Context, id string, status wire.JobStatus) (wire.JobStatus, bool, error) {
	c.mu.Lock()
	o, replicator := c.final[id], c.replicator
	held := o != nil && o.State == wire.JobCancelled && !o.replicated && replicator != nil
	c.mu.Unlock()
	if !held {
		return status, true, nil
	}
	if err := replicator.Replicate(ctx, Cancellation{Job: id, Revision: o.revision, Outcome: o.Outcome}); err != nil {
		return wire.JobStatus{}, false, fmt.Errorf("%w: telling others that %s is cancelled: %w", state.ErrUnavailable, id, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o.replicated = true
	return status, true, nil
}

// Ended tells whether a job is known to be over, without asking the store.
func (c *Store) Ended(id string) bool {
	_, over := c.outcomeOf(id)
	return over
}
