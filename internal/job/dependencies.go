package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// A job may need others: none of its tasks starts before they are done, which
// the store must have, so that it is final. A job after a cancelled one is
// cancelled: that follows from the one durable cancellation, wherever it is
// asked, and needs no write of its own. What users are told of a job that waits
// is true of all that it waits for, see Status.

// Readiness tells whether a job's DAG dependencies are done and what priority it inherits; one that is not
// known to be active is not ready.
func (c *Store) Readiness(r *Record) Readiness {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.graph.vertices[r.Job.ID]; v != nil && !v.over {
		return v.readiness()
	}
	return Readiness{EffectivePriority: r.ownPriority()}
}

// cancelDependentsLocked takes all jobs after a cancelled one for cancelled.
func (c *Store) cancelDependentsLocked(id string) map[string]Outcome {
	ended := map[string]Outcome{}
	for _, after := range c.graph.after(id) {
		r := c.active[after]
		if r == nil {
			continue
		}
		ended[after] = c.cancelImpliedLocked(id, r)
		c.graph.remove(after)
	}
	return ended
}

// cancelWithDependentsLocked takes a job that names a cancelled one for cancelled, with all that
// come after it.
func (c *Store) cancelWithDependentsLocked(cancelled string, r *Record) map[string]Outcome {
	f := c.cancelImpliedLocked(cancelled, r)
	ended := c.cancelDependentsLocked(r.Job.ID)
	ended[r.Job.ID] = f
	return ended
}

// cancelImpliedLocked takes a job for cancelled as another is. It has no task, and can
// get none, so nobody need be told before its user is.
func (c *Store) cancelImpliedLocked(cancelled string, r *Record) Outcome {
	f := finalOf(&r.Job, wire.JobCancelled, time.Now())
	c.keepFinalLocked(r.Job.ID, &outcomeEntry{Outcome: f, revision: c.final[cancelled].revision, replicated: true})
	c.implied[r.Job.ID] = r
	return f
}

// maxConditions bounds the jobs before one that its answer is conditional on, as
// a multiple of the changes in a transaction: others' share that transaction.
const maxConditions = 2

// activeProof is what must hold for a job that is known as active to be so.
type activeProof struct {
	conditions []wire.Condition
	// unknown are jobs before it of which nothing is known here.
	unknown []string
	// partial: there are too many jobs before it. What has been cancelled of them
	// must be learnt up to the moment of the answer instead.
	partial bool
}

// activeProofOf gathers what must hold for an active job not to be cancelled: its own
// record and those of all jobs before it that may still be cancelled.
func (c *Store) activeProofOf(r *Record) activeProof {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := activeProof{conditions: []wire.Condition{r.Condition()}}
	for _, id := range c.graph.unfinishedBefore(r.Job.ID) {
		before := c.active[id]
		switch {
		case before == nil:
			e.unknown = append(e.unknown, id)
		case len(e.conditions) >= maxConditions*c.commit.MaxChanges():
			e.partial = true
		default:
			e.conditions = append(e.conditions, before.Condition())
		}
	}
	if e.partial {
		e.conditions = e.conditions[:1]
	}
	return e
}

// check confirms in the store that a job is still active as known. again tells
// that something has moved on, has been read, and must be judged anew.
func (c *Store) check(ctx context.Context, r *Record) (again bool, err error) {
	e := c.activeProofOf(r)
	for _, id := range e.unknown {
		if _, _, err := c.read(ctx, id); err != nil {
			return false, err
		}
	}
	if len(e.unknown) > 0 {
		return true, nil
	}
	revision, err := c.commit.Commit(ctx, state.Write{Priority: state.Safety, If: e.conditions})
	var conflict *state.Conflict
	if errors.As(err, &conflict) {
		for _, key := range conflict.Failed {
			id, _ := IsActive(key)
			if _, _, err := c.read(ctx, id); err != nil {
				return false, err
			}
		}
		return true, nil
	}
	if err != nil || !e.partial {
		return false, err
	}
	if err := c.SyncToRevision(ctx, revision); err != nil {
		return false, err
	}
	return c.Ended(r.Job.ID), nil
}

// checkDependencies tells whether all jobs that a job names were accepted: that is so for
// ever. The error is a *wire.FieldError if one of them never was.
func (c *Store) checkDependencies(ctx context.Context, j *wire.Job) error {
	for _, id := range j.Dependencies {
		if err := c.checkDependency(ctx, j, id); err != nil {
			return err
		}
	}
	return nil
}

func (c *Store) checkDependency(ctx context.Context, j *wire.Job, id string) error {
	never := &wire.FieldError{Field: wire.FieldDependencies, Reason: id + " never accepted"}
	if id == j.ID || !wire.ValidJobID(id) {
		return never
	}
	for range 2 {
		_, r, final := c.cached(id)
		switch {
		case final:
			return nil
		case r != nil && r.Job.Kind == wire.KindService:
			return &wire.FieldError{Field: wire.FieldDependencies, Reason: id + " is a service, which is never done"}
		case r != nil:
			return nil
		}
		if _, found, err := c.read(ctx, id); err != nil {
			return err
		} else if !found {
			return never
		}
	}
	return nil // accepted, and forgotten here since
}

// resolveLaterLocked has a job looked up that others need.
func (c *Store) resolveLaterLocked(id string) {
	c.unresolved[id] = true
	select {
	case c.toResolve <- struct{}{}:
	default:
	}
}

// resolvers is how many jobs are looked up at once.
const resolvers = 8

// runResolver looks up the jobs that others need and that are not among the active
// ones: mostly they were done before this controller started.
func (c *Store) runResolver(ctx context.Context) error {
	if c.Wait(ctx) != nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.toResolve:
		}
		c.resolveAll(ctx)
	}
}

func (c *Store) resolveAll(ctx context.Context) {
	c.mu.Lock()
	var ids []string
	for id := range c.unresolved {
		ids = append(ids, id)
	}
	c.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(resolvers)
	for _, id := range ids {
		g.Go(func() error {
			_, found, err := c.read(ctx, id)
			if err == nil && !found {
				c.log.Error("a job that another needs is not in the store", "job", id)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		c.log.Debug("looking up jobs that others need failed", "err", err)
		wait.Sleep(ctx, retryPause())
		c.mu.Lock()
		defer c.mu.Unlock()
		for id := range c.unresolved {
			c.resolveLaterLocked(id)
		}
	}
}

// settleImpliedEvery is about how often the records of jobs that are cancelled
// since one before them is are rewritten as such. Nobody waits for it; every
// controller does it, and the varying time lets one come first.
const settleImpliedEvery = 2 * time.Second

// maxImpliedAtOnce bounds those of one round: they use writes that others want.
const maxImpliedAtOnce = 20

// runImplied ends the active records of jobs that are cancelled since one before
// them is, so that they need not be looked up again after a restart.
func (c *Store) runImplied(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, settleImpliedEvery/2+rand.N(settleImpliedEvery))
		c.mu.Lock()
		var implied []*Record
		for _, r := range c.implied {
			if len(implied) == maxImpliedAtOnce {
				break
			}
			implied = append(implied, r)
		}
		c.mu.Unlock()
		for _, r := range implied {
			c.settleImplied(ctx, r)
		}
	}
	return nil
}

func (c *Store) settleImplied(ctx context.Context, r *Record) {
	c.mu.Lock()
	o, implied := c.final[r.Job.ID], c.implied[r.Job.ID] != nil
	c.mu.Unlock()
	if !implied {
		return
	}
	revision, err := c.commit.Commit(ctx, endWrite(r, &o.Outcome, state.Background))
	var conflict *state.Conflict
	switch {
	case err == nil:
		c.setFinal(r.Job.ID, o.Outcome, revision)
	case errors.As(err, &conflict):
		// Another controller, or the job's user, came first.
		if _, err := c.readKey(ctx, finalPrefix+r.Job.ID); err != nil {
			c.log.Debug("reading a cancelled job's end failed", "job", r.Job.ID, "err", err)
		}
	default:
		c.log.Debug("recording a cancellation that follows from another failed", "job", r.Job.ID, "err", err)
	}
}
