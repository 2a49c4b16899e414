package job_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

const epochKey = "epoch"

// fencedStore is a store that finishes jobs under the fencing condition of an epoch.
type fencedStore struct {
	*job.Store
	client *state.Client
	epoch  atomic.Uint64 // version of the epoch key
}

// advanceEpoch writes the next epoch, which outdates the fencing conditions of the
// previous one.
func (s *fencedStore) advanceEpoch(t *testing.T) {
	t.Helper()
	next, err := s.client.Txn(t.Context(), state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: epochKey, Version: s.epoch.Load()}},
		Then: []wire.Change{{Put: epochKey, Value: []byte(`{}`)}},
	})
	if err != nil {
		t.Fatalf("failed to write the epoch: %v", err)
	}
	s.epoch.Store(next)
}

// finish finishes the i-th job under the current epoch.
func (s *fencedStore) finish(ctx context.Context, i int) error {
	version := s.epoch.Load()
	return s.Finish(ctx, s.Active(testJob(i).ID), state.FencingCondition{
		Condition: wire.Condition{Key: epochKey, Version: version},
		IsCurrent: func() bool { return s.epoch.Load() == version },
	})
}

// Writes that finish jobs and are queued for the write limit when the epoch changes must
// not delay those of the new epoch. Each outdated write used to be sent, failed, and used
// two writes of the limit. If the epoch changed again before all of them had failed, no
// job could finish any more, and the machines of ended jobs were not transferred, which
// incremented the fencing token again.
func TestOutdatedFinishWritesDoNotDelayCurrentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client, base := newStore(10, 16)
		store := &fencedStore{Store: base, client: client}
		store.advanceEpoch(t)
		var running sync.WaitGroup
		defer running.Wait()
		running.Go(func() { _ = store.Run(ctx) })
		if err := store.WaitUntilReady(ctx); err != nil {
			t.Fatal(err)
		}
		const jobs = 200
		submitJobs(t, base, jobs)
		var outdated atomic.Int32
		for i := 1; i < jobs; i++ {
			running.Go(func() {
				var conflict *state.Conflict
				if errors.As(store.finish(ctx, i), &conflict) {
					outdated.Add(1)
				}
			})
		}
		time.Sleep(time.Second)
		store.advanceEpoch(t)
		began := time.Now()
		if err := store.finish(ctx, 0); err != nil {
			t.Errorf("failed to finish a job under the new epoch: %v", err)
		}
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("finishing a job took %v behind outdated writes, want at most 3s", took)
		}
		if outdated.Load() < jobs/2 {
			t.Errorf("got %d conflicts from outdated writes, want at least half of the jobs", outdated.Load())
		}
		cancel()
	})
}

// A cancellation that is queued for the write limit while its job finishes returns the
// job's outcome and uses no writes of the limit.
func TestCancelOfAnEndedJobWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, store := newStore(2, 4)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { _ = store.Run(ctx) })
		if err := store.WaitUntilReady(ctx); err != nil {
			t.Fatal(err)
		}
		if _, err := store.Submit(ctx, testJob(0)); err != nil {
			t.Fatal(err)
		}
		record := store.Active(testJob(0).ID)
		finished := make(chan error, 1)
		go func() {
			fence := state.FencingCondition{Condition: wire.Condition{Key: epochKey}, IsCurrent: func() bool { return true }}
			finished <- store.Finish(ctx, record, fence)
		}()
		synctest.Wait()
		const users = 20
		began := time.Now()
		for range users {
			running.Go(func() {
				cancelled, err := store.Cancel(ctx, record.Job.ID)
				if err != nil || cancelled.Status.State != wire.JobDone {
					t.Errorf("Cancel returned state %q and error %v, want a done job", cancelled.Status.State, err)
				}
				if took := time.Since(began); took > 5*time.Second {
					t.Errorf("Cancel took %v, want at most 5s", took)
				}
			})
		}
		if err := <-finished; err != nil {
			t.Errorf("failed to finish the job: %v", err)
		}
		time.Sleep(30 * time.Second)
	})
}
