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

// cached answers from memory: a final state is true for ever, an active
// record only if its condition still holds.
func (c *Store) cached(id string) (status wire.JobStatus, r *Record, final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.final[id]; o != nil {
		return finalStatus(id, o.Outcome), nil, true
	}
	r = c.active[id]
	if r != nil {
		status = c.activeStatusLocked(id)
	}
	return status, r, false
}

func finalStatus(id string, f Outcome) wire.JobStatus {
	s := wire.JobStatus{ID: id, State: f.State}
	if f.State == wire.JobDone {
		s.Done = f.Tasks
	}
	return s
}

func (c *Store) activeStatusLocked(id string) wire.JobStatus {
	p := c.progress[id]
	return wire.JobStatus{ID: id, State: p.state(), Done: p.Done, Running: p.Running}
}

// state is that of an active job.
func (p Progress) state() wire.JobState {
	if p.Running > 0 {
		return wire.JobRunning
	}
	return wire.JobQueued
}

// read asks the store for a job and caches what it says. Outcomes come first:
// a job that ends between the two reads is found by reading them once more.
func (c *Store) read(ctx context.Context, id string) (status wire.JobStatus, found bool, err error) {
	for range 2 {
		for _, key := range []string{finalPrefix + id, activePrefix + id} {
			if found, err = c.readKey(ctx, key); err != nil {
				return wire.JobStatus{}, false, err
			}
			if found {
				status, _, _ = c.cached(id)
				return status, true, nil
			}
		}
	}
	return wire.JobStatus{}, false, nil
}

// readKey asks the store for a record and caches it.
func (c *Store) readKey(ctx context.Context, key string) (found bool, err error) {
	item, err := c.client.Get(ctx, state.Safety, key)
	if errors.Is(err, state.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	c.apply(wire.Event{Put: item.Key, Value: item.Value, Version: item.Version})
	return true, nil
}

// unknown holds while nobody has accepted the job.
func unknown(id string) []wire.Condition {
	return []wire.Condition{{Key: activePrefix + id}, {Key: finalPrefix + id}}
}

// Resolve finds out about a job that is not cached: whether it is over, or
// not known at all. An active one is told to the listener.
func (c *Store) Resolve(ctx context.Context, id string) (f Outcome, over, found bool, err error) {
	if f, over = c.outcomeOf(id); over {
		return f, true, true, nil
	}
	if _, found, err = c.read(ctx, id); err != nil || !found {
		return Outcome{}, false, false, err
	}
	f, over = c.outcomeOf(id)
	return f, over, true, nil
}

// outcomeOf returns how a job outcomeOf, if it is known to be over.
func (c *Store) outcomeOf(id string) (f Outcome, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.final[id]; o != nil {
		return o.Outcome, true
	}
	return Outcome{}, false
}

// answerTries bounds how often an answer is begun anew since something has moved
// on meanwhile.
const answerTries = 4

// Status answers a poll. What memory says is confirmed by a transaction that
// only compares, many polls in one.
func (c *Store) Status(ctx context.Context, id string) (status wire.JobStatus, found bool, err error) {
	for range answerTries {
		status, r, final := c.cached(id)
		if final {
			return c.confirmedStatus(ctx, id, status)
		}
		if r == nil {
			found, err := c.knownInStore(ctx, id)
			if err != nil || !found {
				return wire.JobStatus{}, false, err
			}
			continue
		}
		again, err := c.check(ctx, r)
		if err != nil {
			return wire.JobStatus{}, false, err
		}
		if !again {
			return status, true, nil
		}
	}
	return wire.JobStatus{}, false, fmt.Errorf("%w: job %s changes all the time", state.ErrUnavailable, id)
}

// knownInStore tells whether the store has a job that is not cached, and caches it.
func (c *Store) knownInStore(ctx context.Context, id string) (found bool, err error) {
	_, err = c.commit.Commit(ctx, state.Write{Priority: state.Safety, If: unknown(id)})
	var conflict *state.Conflict
	switch {
	case err == nil:
		return false, nil
	case errors.As(err, &conflict):
		_, found, err = c.read(ctx, id)
	}
	return found, err
}

// Submit accepts a job, or tells its state if that was done before.
func (c *Store) Submit(ctx context.Context, j wire.Job) (status wire.JobStatus, created bool, err error) {
	if !c.Ready() {
		return wire.JobStatus{}, false, ErrNotReady
	}
	if _, r, final := c.cached(j.ID); r != nil || final {
		status, _, err = c.Status(ctx, j.ID)
		return status, false, err
	}
	r, value, err := c.newRecord(ctx, j)
	if err != nil {
		return wire.JobStatus{}, false, err
	}
	version, err := c.commit.Commit(ctx, state.Write{Priority: state.Submission, If: unknown(j.ID),
		Then: []wire.Change{{Put: activePrefix + j.ID, Value: value}}})
	var conflict *state.Conflict
	switch {
	case err == nil:
		r.Version = version
		c.setActive(j.ID, r)
		status, _, _ = c.cached(j.ID) // it may name a cancelled job
		return status, true, nil
	case errors.As(err, &conflict):
		status, found, err := c.Status(ctx, j.ID)
		if err == nil && !found {
			err = fmt.Errorf("%w: job %s is neither known nor unknown", state.ErrUnavailable, j.ID)
		}
		return status, false, err
	}
	return wire.JobStatus{}, false, err
}

// newRecord makes the record of a job that is about to be accepted. The error is
// a *wire.FieldError if the job can never be.
func (c *Store) newRecord(ctx context.Context, j wire.Job) (r *Record, value []byte, err error) {
	if len(j.Dependencies) > 0 && !c.acceptsDependencies() {
		return nil, nil, ErrDependenciesNotSupported
	}
	if err := c.checkDependencies(ctx, &j); err != nil {
		return nil, nil, err
	}
	r = &Record{Job: j, AcceptedMs: time.Now().UnixMilli()}
	if value, err = json.Marshal(r); err != nil {
		return nil, nil, fmt.Errorf("encoding job %s: %w", j.ID, err)
	}
	largest := EntrySize(j.Tasks, 0) + doneSyntax
	if max(len(value), largest) > c.maxValue {
		return nil, nil, &wire.FieldError{Reason: "the job is too large to be recorded"}
	}
	return r, value, nil
}

// Cancel cancels a job unless it is over. Before it returns, the cancellation
// is in the store and enough controllers know it.
func (c *Store) Cancel(ctx context.Context, id string) (status wire.JobStatus, found bool, err error) {
	for range 3 {
		status, r, final := c.cached(id)
		if final {
			return c.confirmedStatus(ctx, id, status)
		}
		if r == nil {
			if status, found, err = c.read(ctx, id); err != nil || !found {
				return status, found, err
			}
			continue
		}
		if err := c.end(ctx, r, wire.JobCancelled, nil); err == nil {
			continue
		} else if conflict := (*state.Conflict)(nil); !errors.As(err, &conflict) {
			return wire.JobStatus{}, false, err
		}
		if c.Ended(id) {
			continue
		}
		if _, _, err := c.read(ctx, id); err != nil {
			return wire.JobStatus{}, false, err
		}
	}
	return wire.JobStatus{}, false, fmt.Errorf("%w: cancelling %s", state.ErrUnavailable, id)
}

// Finish records that every task of the job is done. With an outdated fence it
// fails with a *state.Conflict that names no key.
func (c *Store) Finish(ctx context.Context, r *Record, fence state.FencingCondition) error {
	return c.end(ctx, r, wire.JobDone, &fence)
}

// end writes the job's end. Only one that is fenced, which a share decided, is
// tried until the store has answered. A write that waits for budget is dropped
// once its fence is outdated or the job is over: it would only use up what other
// writes wait for.
func (c *Store) end(ctx context.Context, r *Record, s wire.JobState, fence *state.FencingCondition) error {
	f := finalOf(&r.Job, s, time.Now())
	write := endWrite(r, &f, state.Safety)
	write.Fresh = func() bool { return !c.Ended(r.Job.ID) }
	if fence != nil {
		write.Persist = true
		write = fence.Bind(write)
	}
	revision, err := c.commit.Commit(ctx, write)
	if err != nil {
		return err
	}
	c.setFinal(r.Job.ID, f, revision)
	return nil
}

// finalOf is the record of a job's end.
func finalOf(j *wire.Job, s wire.JobState, at time.Time) Outcome {
	return Outcome{State: s, Tasks: j.Tasks, Team: j.Team, CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, EndedMs: at.UnixMilli()}
}

// endWrite is the write that ends an active job, unless it is over.
func endWrite(r *Record, f *Outcome, p state.Priority) state.Write {
	value, err := json.Marshal(f)
	if err != nil {
		panic(err) // an Outcome holds nothing that cannot be encoded
	}
	return state.Write{
		Priority: p,
		If:       []wire.Condition{r.Condition(), {Key: finalPrefix + r.Job.ID}},
		Then: []wire.Change{
			{Delete: activePrefix + r.Job.ID},
			{Put: finalPrefix + r.Job.ID, Value: value},
		},
	}
}
