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
	// What failed is retried after minRetryPause plus up to retryJitter.
	minRetryPause = 100 * time.Millisecond
	retryJitter   = 200 * time.Millisecond
)

// retryPause returns how long to wait before a retry.
func retryPause() time.Duration { return minRetryPause + rand.N(retryJitter) }

// follow keeps the cache as the key-value store is, until ctx ends.
func (s *Store) follow(ctx context.Context) error {
	loaded := false
	for ctx.Err() == nil {
		if !loaded {
			if err := s.load(ctx); err != nil {
				s.log.Debug("reading jobs failed", "err", err)
				wait.Sleep(ctx, retryPause())
				continue
			}
			loaded = true
		}
		events, err := s.client.Watch(ctx, prefix, s.knownRevision(), state.WatchTimeout)
		if err != nil {
			loaded = !errors.Is(err, state.ErrCompacted)
			wait.Sleep(ctx, retryPause())
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

// SyncToRevision makes every change known up to a revision that the caller has seen
// in the key-value store. The error is ErrNotReady, or that of the read.
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
	// What was carried out before the request is in the answer.
	s.applyEvents(events, revision)
	return nil
}

// load reads all active jobs.
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
	// What was active here and is not listed any more has ended meanwhile.
	for _, id := range s.activeNotListed(listed, listing.Revision) {
		if _, err := s.read(ctx, id); err != nil {
			return err
		}
	}
	s.finishLoad(listing.Revision)
	return nil
}

// activeNotListed returns the active jobs that a list as of a revision should have
// held and did not.
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

// finishLoad records that everything is known up to a revision. The jobs that ended
// before it cannot be named.
func (s *Store) finishLoad(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	s.cancellations.base = max(s.cancellations.base, revision)
	if !s.Ready() {
		close(s.loaded)
	}
}

// applyEvents applies what a watch from the known revision has brought. All changes
// up to revision known are among them.
func (s *Store) applyEvents(events wire.Events, known uint64) {
	for _, event := range events.Events {
		// A removed active key comes with an outcome, in the same revision.
		if event.Put != "" {
			s.apply(event.Put, event.Value, event.Version)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, events.Revision, known)
}

// apply caches a record as the key-value store has it.
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

// decode decodes a record, or logs why that failed and returns false.
func (s *Store) decode(key string, value json.RawMessage, record any) bool {
	if err := json.Unmarshal(value, record); err != nil {
		s.log.Error("job record unreadable", "key", key, "err", err)
		return false
	}
	return true
}

// read reads a job's record from the key-value store and caches it; found is false
// if there is none. Outcomes come first: a job that ends between the two reads is
// found by reading them once more.
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

// readKey reads a record from the key-value store and caches it.
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
