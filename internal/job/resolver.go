package job

import (
	"context"
	"maps"
	"slices"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/wait"
)

// maxLookups is how many jobs are looked up at once.
const maxLookups = 8

// resolveLaterLocked has a job looked up that others depend on.
func (s *Store) resolveLaterLocked(id string) {
	s.unresolved[id] = true
	s.pokeResolver()
}

func (s *Store) pokeResolver() {
	select {
	case s.toResolve <- struct{}{}:
	default:
	}
}

// runResolver looks up the dependencies that are not among the active jobs, until ctx
// ends: mostly they were done before this controller started.
func (s *Store) runResolver(ctx context.Context) error {
	if s.WaitUntilReady(ctx) != nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.toResolve:
		}
		s.resolveAll(ctx)
	}
}

func (s *Store) resolveAll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxLookups)
	for _, id := range s.unresolvedIDs() {
		g.Go(func() error {
			found, err := s.read(ctx, id)
			if err == nil && !found {
				s.log.Error("a job that another depends on is not in the store", "job", id)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		s.log.Debug("looking up dependencies failed", "err", err)
		wait.Sleep(ctx, retryPause())
		if len(s.unresolvedIDs()) > 0 {
			s.pokeResolver()
		}
	}
}

func (s *Store) unresolvedIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.unresolved))
}
