package job

import (
	"context"
	"errors"

	"heronwick/internal/state"
	"heronwick/wire"
)

// A job may depend on other jobs. None of its tasks starts before the key-value store
// has recorded these as done, which is final. If a dependency is cancelled, so is the
// job: every controller derives this from the stored cancellation of the dependency, so
// it holds without a further write. The status of a job that users see therefore takes
// the records of all its dependencies into account, see Store.Status.

// Readiness returns whether a job's dependencies are done, and the job's effective
// priority. A job that is not known to be active is not ready.
func (s *Store) Readiness(r *Record) Readiness {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.graph.vertices[r.Job.ID]; v != nil && !v.ended {
		return v.readiness()
	}
	return Readiness{EffectivePriority: r.ownPriority()}
}

// maxConditionsPerTxnChange bounds the conditions of one status query, as a multiple of
// the maximum number of changes in a transaction, because queries for other jobs share
// the transaction.
const maxConditionsPerTxnChange = 2

// activeCheck holds what must be checked to confirm that a cached active job is still
// active.
type activeCheck struct {
	conditions []wire.Condition
	// uncached holds the IDs of dependencies that have to be read first.
	uncached []string
	// tooMany reports that there are too many dependencies for conditions on all of
	// them. The conditions then cover only the job itself, and cancellations of
	// dependencies have to be read up to the revision of the check.
	tooMany bool
}

// newActiveCheck returns the check that an active job has not ended: the conditions of
// its own record and of the records of all dependencies, direct and transitive, that may
// still be cancelled.
func (s *Store) newActiveCheck(r *Record) activeCheck {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxConditions := maxConditionsPerTxnChange * s.client.Limits().Changes()
	check := activeCheck{conditions: []wire.Condition{r.Condition()}}
	for _, id := range s.graph.allUnfinishedDependencies(r.Job.ID) {
		dependency := s.active[id]
		switch {
		case dependency == nil:
			check.uncached = append(check.uncached, id)
		case len(check.conditions) >= maxConditions:
			check.tooMany = true
		default:
			check.conditions = append(check.conditions, dependency.Condition())
		}
	}
	if check.tooMany {
		check.conditions = check.conditions[:1]
	}
	return check
}

// confirmActive confirms with the key-value store that a job is still active. retry
// reports that the cache was outdated or incomplete and has been updated, so that the
// caller must start over.
func (s *Store) confirmActive(ctx context.Context, r *Record) (retry bool, err error) {
	check := s.newActiveCheck(r)
	if len(check.uncached) > 0 {
		return true, s.readAll(ctx, check.uncached)
	}
	revision, err := s.committer.Commit(ctx, state.Write{Priority: state.Safety, If: check.conditions})
	var conflict *state.Conflict
	if errors.As(err, &conflict) {
		return true, s.readAll(ctx, activeIDs(conflict.Failed))
	}
	if err != nil || !check.tooMany {
		return false, err
	}
	if err := s.SyncToRevision(ctx, revision); err != nil {
		return false, err
	}
	return s.Ended(r.Job.ID), nil
}

// readAll reads the jobs from the key-value store and caches them.
func (s *Store) readAll(ctx context.Context, ids []string) error {
	for _, id := range ids {
		if _, err := s.read(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// activeIDs returns the IDs of the jobs whose active records are stored under the keys.
func activeIDs(keys []string) []string {
	var ids []string
	for _, key := range keys {
		id, _ := ActiveJobID(key)
		ids = append(ids, id)
	}
	return ids
}

// checkDependencies checks that all dependencies of a job were accepted. Since an accepted
// job stays accepted, the result holds from then on. The error is a *wire.FieldError if
// a dependency was never accepted or can never be done.
func (s *Store) checkDependencies(ctx context.Context, j *wire.Job) error {
	for _, id := range j.Dependencies {
		if err := s.checkDependency(ctx, j, id); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) checkDependency(ctx context.Context, j *wire.Job, id string) error {
	neverAccepted := &wire.FieldError{Field: wire.FieldDependencies, Reason: id + " never accepted"}
	if id == j.ID || !wire.ValidJobID(id) {
		return neverAccepted
	}
	for range 2 {
		switch dependency := s.cached(id); {
		case dependency.ended:
			return nil
		case dependency.record != nil && dependency.record.Job.Kind == wire.KindService:
			return &wire.FieldError{Field: wire.FieldDependencies, Reason: id + " is a service, which is never done"}
		case dependency.record != nil:
			return nil
		}
		found, err := s.read(ctx, id)
		if err != nil {
			return err
		}
		if !found {
			return neverAccepted
		}
	}
	return nil // accepted, but evicted from the cache since it was read
}
