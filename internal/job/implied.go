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
	// settleImpliedInterval is about how often the records of jobs whose
	// cancellation is implied are rewritten. Nobody waits for it; every controller
	// does it, and the varying time lets one come first.
	settleImpliedInterval = 2 * time.Second
	// maxImpliedPerRound bounds the records of one round: they use writes that
	// others wait for.
	maxImpliedPerRound = 20
)

// cancelDependentsLocked takes all jobs that depend on a cancelled one for cancelled
// and returns their outcomes, by job.
func (s *Store) cancelDependentsLocked(id string) map[string]Outcome {
	ended := map[string]Outcome{}
	for _, dependent := range s.graph.after(id) {
		r := s.active[dependent]
		if r == nil {
			continue
		}
		ended[dependent] = s.cancelImpliedLocked(id, r)
		s.graph.remove(dependent)
	}
	return ended
}

// cancelWithDependentsLocked takes a job that depends on a cancelled one for
// cancelled, with all that depend on it.
func (s *Store) cancelWithDependentsLocked(cancelled string, r *Record) map[string]Outcome {
	outcome := s.cancelImpliedLocked(cancelled, r)
	ended := s.cancelDependentsLocked(r.Job.ID)
	ended[r.Job.ID] = outcome
	return ended
}

// cancelImpliedLocked takes a job for cancelled because another one is. It has no
// task and can get none, so no other controller need know before its user does.
func (s *Store) cancelImpliedLocked(cancelled string, r *Record) Outcome {
	outcome := newOutcome(&r.Job, wire.JobCancelled, time.Now())
	s.keepOutcomeLocked(r.Job.ID, &outcomeEntry{Outcome: outcome, revision: s.outcomes[cancelled].revision, replicated: true})
	s.implied[r.Job.ID] = r
	return outcome
}

// runImplied ends the active records of jobs whose cancellation is implied, until ctx
// ends, so that their dependencies need not be looked up again after a restart.
func (s *Store) runImplied(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, settleImpliedInterval/2+rand.N(settleImpliedInterval))
		for _, r := range s.someImplied() {
			s.settleImplied(ctx, r)
		}
	}
	return nil
}

// someImplied returns the records for one round.
func (s *Store) someImplied() []*Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var some []*Record
	for _, r := range s.implied {
		if len(some) == maxImpliedPerRound {
			break
		}
		some = append(some, r)
	}
	return some
}

// settleImplied ends one active record.
func (s *Store) settleImplied(ctx context.Context, r *Record) {
	id := r.Job.ID
	s.mu.Lock()
	entry, implied := s.outcomes[id], s.implied[id] != nil
	s.mu.Unlock()
	if !implied {
		return
	}
	revision, err := s.committer.Commit(ctx, endWrite(r, &entry.Outcome, state.Background))
	var conflict *state.Conflict
	switch {
	case err == nil:
		s.addOutcome(id, entry.Outcome, revision)
	case errors.As(err, &conflict):
		// Another controller, or the job's user, came first.
		if _, err := s.readKey(ctx, finalPrefix+id); err != nil {
			s.log.Debug("reading a cancelled job's outcome failed", "job", id, "err", err)
		}
	default:
		s.log.Debug("recording an implied cancellation failed", "job", id, "err", err)
	}
}
