package job

import (
	"context"
	"errors"

	"heronwick/internal/state"
	"heronwick/wire"
)

// A job may depend on others: none of its tasks starts before they are done in the
// key-value store, so that it is final. A job that depends on a cancelled one is
// cancelled: that is implied by the one durable cancellation, on every controller,
// and needs no write of its own. What users are told of a job is true of all that it
// depends on, too, see Status.

// Readiness returns whether a job's dependencies are done, and its effective
// priority. A job that is not known to be active is not ready.
func (s *Store) Readiness(r *Record) Readiness {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.graph.vertices[r.Job.ID]; v != nil && !v.over {
		return v.readiness()
	}
	return Readiness{EffectivePriority: r.ownPriority()}
}

// maxConditions bounds the dependencies that a job's answer is conditional on, as a
// multiple of the changes in a transaction: answers for other jobs share that
// transaction.
const maxConditions = 2

// activeProof is what must hold for a job that is known as active to be so.
type activeProof struct {
	conditions []wire.Condition
	// unknown are dependencies of which nothing is known here.
	unknown []string
	// partial reports that there are too many dependencies. Those that were
	// cancelled must be learnt up to the moment of the answer instead.
	partial bool
}

// activeProofOf returns what must hold for an active job not to be cancelled: the
// conditions of its own record and of those of all dependencies, direct and
// transitive, that may still be cancelled.
func (s *Store) activeProofOf(r *Record) activeProof {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := maxConditions * s.committer.MaxChanges()
	proof := activeProof{conditions: []wire.Condition{r.Condition()}}
	for _, id := range s.graph.unfinishedBefore(r.Job.ID) {
		dependency := s.active[id]
		switch {
		case dependency == nil:
			proof.unknown = append(proof.unknown, id)
		case len(proof.conditions) >= most:
			proof.partial = true
		default:
			proof.conditions = append(proof.conditions, dependency.Condition())
		}
	}
	if proof.partial {
		proof.conditions = proof.conditions[:1]
	}
	return proof
}

// confirmActive confirms with the key-value store that a job is still active. again
// reports that something has changed and was read, so that the answer must be begun
// again.
func (s *Store) confirmActive(ctx context.Context, r *Record) (again bool, err error) {
	proof := s.activeProofOf(r)
	if len(proof.unknown) > 0 {
		return true, s.readAll(ctx, proof.unknown)
	}
	revision, err := s.committer.Commit(ctx, state.Write{Priority: state.Safety, If: proof.conditions})
	var conflict *state.Conflict
	if errors.As(err, &conflict) {
		return true, s.readAll(ctx, activeIDs(conflict.Failed))
	}
	if err != nil || !proof.partial {
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

// activeIDs returns the ids of the jobs whose active records the keys are.
func activeIDs(keys []string) []string {
	var ids []string
	for _, key := range keys {
		id, _ := ActiveJobID(key)
		ids = append(ids, id)
	}
	return ids
}

// checkDependencies checks that all jobs that a job depends on were accepted: then
// that is so for ever. The error is a *wire.FieldError if one of them never was.
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
		case dependency.over:
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
	return nil // accepted, and dropped from memory since
}
