package job

import (
	"context"
	"maps"
	"slices"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/wait"
)

const maxConcurrentLookups = 8

// queueLookupLocked makes the resolver look up a job that is not cached and that another
// job depends on.
func (s *Store) queueLookupLocked(id string) {
	s.unresolved[id] = true
	s.wakeResolver()
}

func (s *Store) wakeResolver() {
	select {
	case s.resolverWake <- struct{}{}:
	default:
	}
}

// runResolver looks up dependencies that are not cached until ctx ends. Most of them were
// done before this controller started.
func (s *Store) runResolver(ctx context.Context) error {
	if s.WaitUntilReady(ctx) != nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.resolverWake:
		}
		s.resolveAll(ctx)
	}
}

func (s *Store) resolveAll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentLookups)
	for _, id := range s.unresolvedIDs() {
		g.Go(func() error {
			found, err := s.read(ctx, id)
			if err == nil && !found {
				s.log.Error("the store has no record of a dependency", "job", id)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		s.log.Debug("failed to look up dependencies; will retry", "err", err)
		wait.Sleep(ctx, retryDelay())
		if len(s.unresolvedIDs()) > 0 {
			s.wakeResolver()
		}
	}
}

func (s *Store) unresolvedIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.unresolved))
}
