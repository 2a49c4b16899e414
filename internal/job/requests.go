package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

const (
	// maxStatusAttempts bounds the attempts of a status query, which starts over when
	// a record that it depends on was not cached or has changed.
	maxStatusAttempts = 4
	// maxCancelAttempts bounds the attempts of a cancellation, which starts over when
	// the job's record was not cached or has changed.
	maxCancelAttempts = 3
)

// cachedJob is what the cache holds of a job. An outcome never becomes outdated; an
// active record is current only while its condition holds in the key-value store.
type cachedJob struct {
	status wire.JobStatus
	ended  bool
	record *Record // of an active job; nil if none is cached
}

// known reports whether the job is cached, as active or as ended.
func (j *cachedJob) known() bool { return j.ended || j.record != nil }

func (s *Store) cached(id string) cachedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.outcomes[id]; o != nil {
		return cachedJob{status: o.status(id), ended: true}
	}
	r := s.active[id]
	if r == nil {
		return cachedJob{}
	}
	p := s.progress[id]
	return cachedJob{status: wire.JobStatus{ID: id, State: p.state(), Done: p.Done, Running: p.Running}, record: r}
}

// Resolution reports whether a job exists and whether it has ended.
type Resolution struct {
	Found   bool // the job was accepted
	Ended   bool
	Outcome Outcome // of a job that has ended
}

// Resolve reports whether a job exists and whether it has ended. Unless the outcome is
// cached, it reads the job's record from the key-value store and caches it, so the
// listener is notified of a job that was not cached.
func (s *Store) Resolve(ctx context.Context, id string) (Resolution, error) {
	if outcome, ended := s.outcome(id); ended {
		return Resolution{Found: true, Ended: true, Outcome: outcome}, nil
	}
	if found, err := s.read(ctx, id); err != nil || !found {
		return Resolution{}, err
	}
	outcome, ended := s.outcome(id)
	return Resolution{Found: true, Ended: ended, Outcome: outcome}, nil
}

// Lookup is the result of looking up a job's status.
type Lookup struct {
	Found  bool // the job was accepted
	Status wire.JobStatus
}

// Status returns a job's current status. A cached active record is confirmed by a
// transaction that has conditions but no changes; the committer combines many such
// queries into one transaction.
func (s *Store) Status(ctx context.Context, id string) (Lookup, error) {
	for range maxStatusAttempts {
		j := s.cached(id)
		if j.ended {
			return s.confirmedStatus(ctx, id, j.status)
		}
		if j.record == nil {
			found, err := s.fetchIfAccepted(ctx, id)
			if err != nil || !found {
				return Lookup{}, err
			}
			continue
		}
		retry, err := s.confirmActive(ctx, j.record)
		if err != nil {
			return Lookup{}, err
		}
		if !retry {
			return Lookup{Found: true, Status: j.status}, nil
		}
	}
	return Lookup{}, fmt.Errorf("%w: job %s changes all the time", state.ErrUnavailable, id)
}

// fetchIfAccepted reports whether the key-value store has a job that is not cached. If
// so, it caches the job's record.
func (s *Store) fetchIfAccepted(ctx context.Context, id string) (found bool, err error) {
	_, err = s.committer.Commit(ctx, state.Write{Priority: state.Safety, If: neverAccepted(id)})
	var conflict *state.Conflict
	if err == nil {
		return false, nil
	}
	if !errors.As(err, &conflict) {
		return false, err
	}
	return s.read(ctx, id)
}

// Submission is the result of submitting a job.
type Submission struct {
	Created bool // this call accepted the job; false if it had been accepted before
	Status  wire.JobStatus
}

// Submit accepts a job, or returns the job's status if it was accepted before. The error
// is ErrNotReady, ErrDependenciesNotSupported, a *wire.FieldError if the job can never
// be accepted, or that of the key-value store.
func (s *Store) Submit(ctx context.Context, j wire.Job) (Submission, error) {
	if !s.Ready() {
		return Submission{}, ErrNotReady
	}
	if cached := s.cached(j.ID); cached.known() {
		job, err := s.Status(ctx, j.ID)
		return Submission{Status: job.Status}, err
	}
	r, value, err := s.newRecord(ctx, j)
	if err != nil {
		return Submission{}, err
	}
	version, err := s.committer.Commit(ctx, state.Write{Priority: state.Submission, If: neverAccepted(j.ID),
		Then: []wire.Change{{Put: activePrefix + j.ID, Value: value}}})
	var conflict *state.Conflict
	switch {
	case err == nil:
		r.Version = version
		s.addActive(j.ID, r)
		return Submission{Created: true, Status: s.cached(j.ID).status}, nil // already cancelled if a dependency was
	case errors.As(err, &conflict):
		status, err := s.statusOfAccepted(ctx, j.ID)
		return Submission{Status: status}, err
	}
	return Submission{}, err
}

// statusOfAccepted returns the status of a job of which the key-value store is known to
// have a record.
func (s *Store) statusOfAccepted(ctx context.Context, id string) (wire.JobStatus, error) {
	job, err := s.Status(ctx, id)
	if err == nil && !job.Found {
		err = fmt.Errorf("%w: job %s is neither known nor unknown", state.ErrUnavailable, id)
	}
	return job.Status, err
}

// newRecord returns the record of a job that is about to be accepted, and its encoding.
// The errors are those of Submit.
func (s *Store) newRecord(ctx context.Context, j wire.Job) (r *Record, value []byte, err error) {
	if len(j.Dependencies) > 0 && !s.acceptsDependencies() {
		return nil, nil, ErrDependenciesNotSupported
	}
	if err := s.checkDependencies(ctx, &j); err != nil {
		return nil, nil, err
	}
	r = &Record{Job: j, AcceptedMs: time.Now().UnixMilli()}
	if value, err = json.Marshal(r); err != nil {
		return nil, nil, fmt.Errorf("encoding job %s: %w", j.ID, err)
	}
	largestBucket := MaxDoneEntryBytes(j.Tasks, 0) + bucketOverheadBytes
	if max(len(value), largestBucket) > s.maxValue {
		return nil, nil, &wire.FieldError{Reason: "the job is too large to be recorded"}
	}
	return r, value, nil
}

// Cancel cancels a job unless it has ended. When it returns a cancelled job, the
// cancellation is in the key-value store and known to enough controllers, see
// Replicator.
func (s *Store) Cancel(ctx context.Context, id string) (Lookup, error) {
	for range maxCancelAttempts {
		j := s.cached(id)
		if j.ended {
			return s.confirmedStatus(ctx, id, j.status)
		}
		if j.record == nil {
			if found, err := s.read(ctx, id); err != nil || !found {
				return Lookup{}, err
			}
			continue
		}
		err := s.writeOutcome(ctx, j.record, wire.JobCancelled, nil)
		var conflict *state.Conflict
		if err != nil && !errors.As(err, &conflict) {
			return Lookup{}, err
		}
		if err == nil || s.Ended(id) {
			continue
		}
		if _, err := s.read(ctx, id); err != nil {
			return Lookup{}, err
		}
	}
	return Lookup{}, fmt.Errorf("%w: cancelling %s", state.ErrUnavailable, id)
}

// Finish records that all tasks of the job are done. If the fencing condition is
// outdated, it fails with a *state.Conflict that names no key.
func (s *Store) Finish(ctx context.Context, r *Record, fence state.FencingCondition) error {
	return s.writeOutcome(ctx, r, wire.JobDone, &fence)
}

// writeOutcome ends a job by writing its outcome. Only a write with a fencing condition,
// which comes from the scheduler, is retried until the key-value store has answered. A
// write that is queued for budget is dropped once its fencing condition is outdated or
// the job has ended, because it would use budget that other writes need.
func (s *Store) writeOutcome(ctx context.Context, r *Record, final wire.JobState, fence *state.FencingCondition) error {
	outcome := newOutcome(&r.Job, final, time.Now())
	write := endWrite(r, &outcome, state.Safety)
	write.StillValid = func() bool { return !s.Ended(r.Job.ID) }
	if fence != nil {
		write.RetryUntilAnswered = true
		write = fence.Bind(write)
	}
	revision, err := s.committer.Commit(ctx, write)
	if err != nil {
		return err
	}
	s.addOutcome(r.Job.ID, outcome, revision)
	return nil
}
