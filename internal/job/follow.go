package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

const (
	// A failed request is retried after minRetryDelay plus a random time below
	// retryJitter.
	minRetryDelay = 100 * time.Millisecond
	retryJitter   = 200 * time.Millisecond
)

// retryDelay returns how long to wait before a retry.
func retryDelay() time.Duration { return minRetryDelay + rand.N(retryJitter) }

// follow loads the active jobs and then applies the changes in the key-value store to the
// cache until ctx ends.
func (s *Store) follow(ctx context.Context) error {
	loaded := false
	for ctx.Err() == nil {
		if !loaded {
			if err := s.load(ctx); err != nil {
				s.log.Debug("failed to read the active jobs; will retry", "err", err)
				wait.Sleep(ctx, retryDelay())
				continue
			}
			loaded = true
		}
		events, err := s.client.Watch(ctx, prefix, s.knownRevision(), state.WatchTimeout)
		if err != nil {
			loaded = !errors.Is(err, state.ErrCompacted)
			wait.Sleep(ctx, retryDelay())
			continue
		}
		s.applyEvents(events, 0)
	}
	return nil
}

func (s *Store) knownRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// SyncToRevision applies all changes up to a revision that the caller has seen in the
// key-value store to the cache. The error is ErrNotReady or that of the read.
func (s *Store) SyncToRevision(ctx context.Context, revision uint64) error {
	if !s.Ready() {
		return ErrNotReady
	}
	after := s.knownRevision()
	if after >= revision {
		return nil
	}
	events, err := s.client.Watch(ctx, prefix, after, 0)
	if errors.Is(err, state.ErrCompacted) {
		return s.load(ctx)
	}
	if err != nil {
		return fmt.Errorf("catching up with the jobs: %w", err)
	}
	// The response contains all changes that were committed before the request.
	s.applyEvents(events, revision)
	return nil
}

// load reads all active jobs into the cache, and the outcomes of those that have ended
// since they were cached.
func (s *Store) load(ctx context.Context) error {
	listing, err := s.client.List(ctx, state.Safety, activePrefix)
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, item := range listing.Items {
		id, _ := ActiveJobID(item.Key)
		listed[id] = true
		s.apply(item.Key, item.Value, item.Version)
	}
	// Jobs that are cached as active but not listed have ended.
	for _, id := range s.activeNotListed(listed, listing.Revision) {
		if _, err := s.read(ctx, id); err != nil {
			return err
		}
	}
	s.markLoaded(listing.Revision)
	return nil
}

// activeNotListed returns the IDs of jobs that are cached as active, but are missing from
// a list of a revision at which they had been accepted.
func (s *Store) activeNotListed(listed map[string]bool, revision uint64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []string
	for id, r := range s.active {
		if !listed[id] && r.Version <= revision {
			missing = append(missing, id)
		}
	}
	return missing
}

// markLoaded records that the cache is complete up to a revision. The list of active jobs
// does not name the jobs that ended before that revision, so the cancellation log is
// complete only after it.
func (s *Store) markLoaded(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	s.cancellations.base = max(s.cancellations.base, revision)
	if !s.Ready() {
		close(s.loaded)
	}
}

// applyEvents applies the events of a watch that started at the revision of the cache.
// known is a revision up to which the caller knows the events to be complete, or 0.
func (s *Store) applyEvents(events wire.Events, known uint64) {
	for _, event := range events.Events {
		// Deletions are skipped: an active record is only deleted in a transaction that
		// also puts the outcome.
		if event.Put != "" {
			s.apply(event.Put, event.Value, event.Version)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, events.Revision, known)
}

// apply decodes a record that was read from the key-value store and caches it.
func (s *Store) apply(key string, value json.RawMessage, version uint64) {
	if id, ok := idUnder(activePrefix, key); ok {
		var r Record
		if s.decode(key, value, &r) {
			r.Version = version
			s.addActive(id, &r)
		}
		return
	}
	if id, ok := idUnder(finalPrefix, key); ok {
		var o Outcome
		if s.decode(key, value, &o) {
			s.addOutcome(id, o, version)
		}
	}
}

// decode decodes a record. If that fails, it logs the error and returns false.
func (s *Store) decode(key string, value json.RawMessage, record any) bool {
	if err := json.Unmarshal(value, record); err != nil {
		s.log.Error("cannot decode a job record", "key", key, "err", err)
		return false
	}
	return true
}

// read reads a job's record from the key-value store and caches it; found is false if
// there is none. It reads the outcome before the active record, and a second time if it
// finds neither: the job may have ended between the two reads.
func (s *Store) read(ctx context.Context, id string) (found bool, err error) {
	for range 2 {
		for _, key := range []string{finalPrefix + id, activePrefix + id} {
			if found, err = s.readKey(ctx, key); err != nil || found {
				return found, err
			}
		}
	}
	return false, nil
}

// readKey reads the record under a key from the key-value store and caches it.
func (s *Store) readKey(ctx context.Context, key string) (found bool, err error) {
	item, err := s.client.Get(ctx, state.Safety, key)
	if errors.Is(err, state.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	s.apply(item.Key, item.Value, item.Version)
	return true, nil
}
