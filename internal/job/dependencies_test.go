package job_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/job"
	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

// storeCluster runs the stores of several controllers on one key-value store.
type storeCluster struct {
	*testing.T
	ctx     context.Context
	service *standin.State
	running sync.WaitGroup
}

func withStoreCluster(t *testing.T, f func(c *storeCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &storeCluster{T: t, ctx: ctx, service: standin.NewState()}
		f(c)
		cancel()
		c.running.Wait()
		time.Sleep(30 * time.Second) // lets pending transactions complete
	})
}

// start starts a store and waits until it has read all jobs. stop ends its watch, so that
// it receives no further changes.
func (c *storeCluster) start(txnChanges int) (store *job.Store, stop func()) {
	_, store = newStoreOn(c.service, 1000, 1000, txnChanges)
	ctx, cancel := context.WithCancel(c.ctx)
	c.running.Go(func() { _ = store.Run(ctx) })
	if err := store.WaitUntilReady(c.ctx); err != nil {
		c.Fatal(err)
	}
	return store, cancel
}

func (c *storeCluster) submit(store *job.Store, id int, dependencies ...int) {
	c.Helper()
	j := testJob(id)
	for _, dependency := range dependencies {
		j.Dependencies = append(j.Dependencies, testJob(dependency).ID)
	}
	if _, err := store.Submit(c.ctx, j); err != nil {
		c.Fatalf("failed to submit job %d: %v", id, err)
	}
}

func (c *storeCluster) expect(store *job.Store, id int, want wire.JobState) {
	c.Helper()
	got, err := store.Status(c.ctx, testJob(id).ID)
	if err != nil || !got.Found || got.Status.State != want {
		c.Errorf("job %d: got state %q, found %v, error %v; want state %q", id, got.Status.State, got.Found, err, want)
	}
}

// A controller that has received no changes for a while must not report a job as queued
// after another controller may have reported it as cancelled. Its status query has
// conditions on the records of all dependencies or, if there are too many for a
// transaction, first applies all changes up to the revision of the query.
func TestStatusOfDependentJobsIsCurrent(t *testing.T) {
	for _, length := range []int{2, 4, 40} {
		withStoreCluster(t, func(c *storeCluster) {
			fresh, _ := c.start(4)
			c.submit(fresh, 1)
			for id := 2; id <= length; id++ {
				c.submit(fresh, id, id-1)
			}
			stale, stop := c.start(4)
			time.Sleep(time.Second)
			stop()
			c.expect(stale, length, wire.JobQueued)
			if _, err := fresh.Cancel(c.ctx, testJob(1).ID); err != nil {
				t.Fatal(err)
			}
			c.expect(fresh, length, wire.JobCancelled)
			c.expect(stale, length, wire.JobCancelled)
		})
	}
}

// A controller looks up dependencies that ended before it started. A job whose dependency
// is done has been ready since that dependency ended; a job whose dependency is cancelled
// is cancelled.
func TestDependencyGraphsSurviveRestart(t *testing.T) {
	withStoreCluster(t, func(c *storeCluster) {
		before, stop := c.start(16)
		for id := 1; id <= 2; id++ {
			c.submit(before, id)
		}
		c.submit(before, 3, 1)
		c.submit(before, 4, 3)
		c.submit(before, 5, 2)
		time.Sleep(10 * time.Second)
		ended := time.Now()
		fence := state.FencingCondition{Condition: wire.Condition{Key: epochKey}, IsCurrent: func() bool { return true }}
		if err := before.Finish(c.ctx, before.Active(testJob(1).ID), fence); err != nil {
			t.Fatal(err)
		}
		stop()
		if _, err := before.Cancel(c.ctx, testJob(2).ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		after, _ := c.start(16)
		time.Sleep(2 * time.Second)
		readiness := after.Readiness(after.Active(testJob(3).ID))
		if !readiness.Ready || readiness.ReadyAt.Sub(ended).Abs() > time.Second {
			t.Errorf("job 3: got ready %v since %v, want ready since %v", readiness.Ready, readiness.ReadyAt, ended)
		}
		if after.Readiness(after.Active(testJob(4).ID)).Ready {
			t.Error("job 4 is ready before its dependency is done")
		}
		c.expect(after, 4, wire.JobQueued)
		c.expect(after, 5, wire.JobCancelled)
		time.Sleep(10 * time.Second)
		if c.service.Get("jobs/active/"+testJob(5).ID) != nil {
			t.Error("the store still has an active record of a cancelled job")
		}
		c.expect(after, 5, wire.JobCancelled)
	})
}

// A job inherits the highest priority and the earliest required start of all jobs that
// depend on it, as long as these are active.
func TestPriorityIsInheritedFromDependents(t *testing.T) {
	withStoreCluster(t, func(c *storeCluster) {
		store, _ := c.start(16)
		submit := func(id int, priority wire.Priority, deadline float64, dependencies ...int) {
			j := testJob(id)
			j.Priority, j.EstimateS = priority, 10
			if deadline > 0 {
				j.DeadlineS = &deadline
			}
			for _, dependency := range dependencies {
				j.Dependencies = append(j.Dependencies, testJob(dependency).ID)
			}
			if _, err := store.Submit(c.ctx, j); err != nil {
				t.Fatal(err)
			}
		}
		submit(1, wire.PriorityLow, 0)
		submit(2, wire.PriorityNormal, 0, 1)
		submit(3, wire.PriorityLow, 0, 1)
		began := time.Now()
		submit(4, wire.PriorityHigh, 100, 2, 3)
		expect := func(id int, rank int, due time.Duration) {
			t.Helper()
			readiness := store.Readiness(store.Active(testJob(id).ID))
			if readiness.Rank != rank || (due > 0) != !readiness.Due.IsZero() || due > 0 && (readiness.Due.Sub(began)-due).Abs() > time.Second {
				t.Errorf("job %d: got rank %d, due after %v; want rank %d, due after %v", id, readiness.Rank, readiness.Due.Sub(began), rank, due)
			}
		}
		for id, due := range map[int]time.Duration{4: 100 * time.Second, 3: 90 * time.Second, 2: 90 * time.Second, 1: 80 * time.Second} {
			expect(id, wire.PriorityHigh.Rank(), due)
		}
		if _, err := store.Cancel(c.ctx, testJob(4).ID); err != nil {
			t.Fatal(err)
		}
		expect(3, wire.PriorityLow.Rank(), 0)
		expect(2, wire.PriorityNormal.Rank(), 0)
		expect(1, wire.PriorityNormal.Rank(), 0)
	})
}

// A job is rejected permanently if one of its dependencies was never accepted. A
// dependency that another controller has just accepted is found in the store.
func TestDependenciesMustHaveBeenAccepted(t *testing.T) {
	withStoreCluster(t, func(c *storeCluster) {
		one, _ := c.start(16)
		other, stop := c.start(16)
		stop()
		c.submit(one, 1)
		c.submit(other, 2, 1) // job 1 was just accepted by the other controller
		j := testJob(3)
		j.Dependencies = []string{fmt.Sprintf("wk-%d", 99)}
		var field *wire.FieldError
		if _, err := other.Submit(c.ctx, j); !errors.As(err, &field) || field.Field != wire.FieldDependencies {
			t.Errorf("got error %v for a job whose dependency was never accepted, want a field error", err)
		}
	})
}

// Even if the key-value store has a low limit for the size of values, a job can depend on
// more than a hundred others. A list of dependencies that does not fit is rejected at
// submission, and nothing is stored.
func TestLongestDependencyList(t *testing.T) {
	const names, lowTxnOps, lowValueBytes = 200, 5, 2 << 10
	withStoreCluster(t, func(c *storeCluster) {
		store := newStoreWith(state.NewClient(c.service.Connect("a"), state.NewBudget(1000, 1000, lowTxnOps), state.NewTxnLimits(lowTxnOps, slog.New(slog.DiscardHandler))), lowValueBytes)
		c.running.Go(func() { _ = store.Run(c.ctx) })
		if err := store.WaitUntilReady(c.ctx); err != nil {
			t.Fatal(err)
		}
		last := testJob(names)
		for i := range names {
			if _, err := store.Submit(c.ctx, testJob(i)); err != nil {
				t.Fatal(err)
			}
			last.Dependencies = append(last.Dependencies, testJob(i).ID)
		}
		_, err := store.Submit(c.ctx, last)
		var field *wire.FieldError
		if !errors.As(err, &field) {
			t.Errorf("list of %d dependencies: got error %v, want a field error", names, err)
		}
		if refused, err := store.Status(c.ctx, last.ID); refused.Found || err != nil {
			t.Errorf("got found %v, error %v for a rejected job; want neither", refused.Found, err)
		}
		last.Dependencies = last.Dependencies[:120]
		if accepted, err := store.Submit(c.ctx, last); !accepted.Created || err != nil {
			t.Errorf("a list of 120 dependencies was not accepted: %v", err)
		}
		if _, size := c.service.LargestValue(); size > lowValueBytes {
			t.Errorf("the largest value has %d bytes, more than the limit", size)
		}
	})
}
