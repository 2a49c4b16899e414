package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

const (
	// cascadeWriteInterval is the average interval between rounds of writing the
	// outcomes of jobs that were cancelled because of a dependency. Nothing waits for
	// these writes. Every controller makes them, and the interval is randomized so
	// that usually one controller writes first.
	cascadeWriteInterval = 2 * time.Second
	// maxCascadeWritesPerRound bounds the outcomes written in one round, because they
	// use write budget that other writes wait for.
	maxCascadeWritesPerRound = 20
)

// cancelDependentsLocked marks all active jobs that depend on a cancelled job, directly
// or transitively, as cancelled and returns their outcomes by job ID.
func (s *Store) cancelDependentsLocked(id string) map[string]Outcome {
	ended := map[string]Outcome{}
	for _, dependent := range s.graph.allActiveDependents(id) {
		r := s.active[dependent]
		if r == nil {
			continue
		}
		ended[dependent] = s.cascadeCancelLocked(id, r)
		s.graph.remove(dependent)
	}
	return ended
}

// cancelWithDependentsLocked marks a job that depends on a cancelled job as cancelled,
// together with all jobs that depend on it. It returns their outcomes by job ID.
func (s *Store) cancelWithDependentsLocked(cancelled string, r *Record) map[string]Outcome {
	outcome := s.cascadeCancelLocked(cancelled, r)
	ended := s.cancelDependentsLocked(r.Job.ID)
	ended[r.Job.ID] = outcome
	return ended
}

// cascadeCancelLocked marks a job as cancelled because a job that it depends on is. The
// outcome needs no replication before users see it: the job has no running task, and
// none can start.
func (s *Store) cascadeCancelLocked(cancelled string, r *Record) Outcome {
	outcome := newOutcome(&r.Job, wire.JobCancelled, time.Now())
	s.cacheOutcomeLocked(r.Job.ID, &outcomeEntry{Outcome: outcome, revision: s.outcomes[cancelled].revision, replicated: true})
	s.cascaded[r.Job.ID] = r
	return outcome
}

// runCascadeWrites writes the outcomes of jobs that were cancelled because of a
// dependency until ctx ends. With these outcomes in the store, the dependencies of the
// jobs need not be looked up again after a restart.
func (s *Store) runCascadeWrites(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, cascadeWriteInterval/2+rand.N(cascadeWriteInterval))
		for _, r := range s.nextCascadeBatch() {
			s.writeCascadedOutcome(ctx, r)
		}
	}
	return nil
}

// nextCascadeBatch returns the records of the jobs whose outcomes are written in the next
// round.
func (s *Store) nextCascadeBatch() []*Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []*Record
	for _, r := range s.cascaded {
		if len(batch) == maxCascadeWritesPerRound {
			break
		}
		batch = append(batch, r)
	}
	return batch
}

// writeCascadedOutcome replaces a job's active record in the store by its outcome, unless
// that has been done.
func (s *Store) writeCascadedOutcome(ctx context.Context, r *Record) {
	id := r.Job.ID
	s.mu.Lock()
	entry, cascaded := s.outcomes[id], s.cascaded[id] != nil
	s.mu.Unlock()
	if !cascaded {
		return
	}
	revision, err := s.committer.Commit(ctx, endWrite(r, &entry.Outcome, state.Background))
	var conflict *state.Conflict
	switch {
	case err == nil:
		s.addOutcome(id, entry.Outcome, revision)
	case errors.As(err, &conflict):
		// Another controller or a cancellation by the user has ended the job first.
		if _, err := s.readKey(ctx, finalPrefix+id); err != nil {
			s.log.Debug("failed to read the outcome of a cancelled job", "job", id, "err", err)
		}
	default:
		s.log.Debug("failed to write the outcome of a job cancelled with its dependency", "job", id, "err", err)
	}
}
