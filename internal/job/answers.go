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
	// answerTries bounds how often an answer is begun again because something has
	// changed meanwhile.
	answerTries = 4
	// cancelTries bounds the attempts of a cancellation.
	cancelTries = 3
)

// cachedJob is what memory says of a job. An outcome is current for ever, an active
// record only if its condition still holds.
type cachedJob struct {
	status wire.JobStatus
	over   bool
	record *Record // of an active job; nil: none is cached
}

// known reports whether memory says anything of the job.
func (j *cachedJob) known() bool { return j.over || j.record != nil }

func (s *Store) cached(id string) cachedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.outcomes[id]; o != nil {
		return cachedJob{status: o.status(id), over: true}
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

// Resolve finds out about a job that is not cached. The listener is notified of an
// active one.
func (s *Store) Resolve(ctx context.Context, id string) (Resolution, error) {
	if outcome, over := s.outcome(id); over {
		return Resolution{Found: true, Ended: true, Outcome: outcome}, nil
	}
	if found, err := s.read(ctx, id); err != nil || !found {
		return Resolution{}, err
	}
	outcome, over := s.outcome(id)
	return Resolution{Found: true, Ended: over, Outcome: outcome}, nil
}

// Lookup is a job's status, if there is such a job.
type Lookup struct {
	Found  bool // somebody has accepted the job
	Status wire.JobStatus
}

// Status answers a poll. What memory says is confirmed by a transaction that only
// compares, many polls in one.
func (s *Store) Status(ctx context.Context, id string) (Lookup, error) {
	for range answerTries {
		j := s.cached(id)
		if j.over {
			return s.confirmedStatus(ctx, id, j.status)
		}
		if j.record == nil {
			found, err := s.knownInStore(ctx, id)
			if err != nil || !found {
				return Lookup{}, err
			}
			continue
		}
		again, err := s.confirmActive(ctx, j.record)
		if err != nil {
			return Lookup{}, err
		}
		if !again {
			return Lookup{Found: true, Status: j.status}, nil
		}
	}
	return Lookup{}, fmt.Errorf("%w: job %s changes all the time", state.ErrUnavailable, id)
}

// knownInStore reports whether the key-value store has a job that is not cached, and
// caches it.
func (s *Store) knownInStore(ctx context.Context, id string) (found bool, err error) {
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
	Created bool // the job was accepted now; false: it was accepted before
	Status  wire.JobStatus
}

// Submit accepts a job, or returns its status if that was done before. The error is
// ErrNotReady, ErrDependenciesNotSupported, a *wire.FieldError if the job can never
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
		return Submission{Created: true, Status: s.cached(j.ID).status}, nil // it may depend on a cancelled job
	case errors.As(err, &conflict):
		status, err := s.statusOfAccepted(ctx, j.ID)
		return Submission{Status: status}, err
	}
	return Submission{}, err
}

// statusOfAccepted returns the status of a job that the key-value store is known to
// have.
func (s *Store) statusOfAccepted(ctx context.Context, id string) (wire.JobStatus, error) {
	job, err := s.Status(ctx, id)
	if err == nil && !job.Found {
		err = fmt.Errorf("%w: job %s is neither known nor unknown", state.ErrUnavailable, id)
	}
	return job.Status, err
}

// newRecord makes the record of a job that is about to be accepted, and its value.
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
	largestBucket := MaxDoneEntryBytes(j.Tasks, 0) + bucketOverhead
	if max(len(value), largestBucket) > s.maxValue {
		return nil, nil, &wire.FieldError{Reason: "the job is too large to be recorded"}
	}
	return r, value, nil
}

// Cancel cancels a job unless it is over. Before it returns, the cancellation is in
// the key-value store and enough controllers know it.
func (s *Store) Cancel(ctx context.Context, id string) (Lookup, error) {
	for range cancelTries {
		j := s.cached(id)
		if j.over {
			return s.confirmedStatus(ctx, id, j.status)
		}
		if j.record == nil {
			if found, err := s.read(ctx, id); err != nil || !found {
				return Lookup{}, err
			}
			continue
		}
		err := s.end(ctx, j.record, wire.JobCancelled, nil)
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

// Finish records that every task of the job is done. With an outdated fencing
// condition it fails with a *state.Conflict that names no key.
func (s *Store) Finish(ctx context.Context, r *Record, fence state.FencingCondition) error {
	return s.end(ctx, r, wire.JobDone, &fence)
}

// end writes the job's end. Only one with a fencing condition, which a scheduler
// decided, is retried until the key-value store has answered. A write that waits for
// budget is dropped once its fencing condition is outdated or the job is over: it
// would only use up what other writes wait for.
func (s *Store) end(ctx context.Context, r *Record, final wire.JobState, fence *state.FencingCondition) error {
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
