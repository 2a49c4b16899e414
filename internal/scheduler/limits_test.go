package scheduler

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/completion"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/standin"
	"heronwick/wire"
)

// Low limits, as the store may announce them.
const (
	lowValueBytes = 2 << 10
	lowTxnOps     = 5
)

// lowLimitScheduler is a scheduler under low limits, with the contents of the store.
type lowLimitScheduler struct {
	*Scheduler
	t           *testing.T
	environment *fakeEnvironment
	stored      standin.Values
}

func newLowLimitScheduler(t *testing.T) *lowLimitScheduler {
	s, p, _ := newTestSchedulerWithTxnOps(t, lowTxnOps)
	s.opts.Settings.MaxValueBytes = lowValueBytes
	return &lowLimitScheduler{Scheduler: s, t: t, environment: p, stored: standin.Values{}}
}

// applyWrites applies the scheduler's writes to the store one after the other, and
// calls check after each.
func (s *lowLimitScheduler) applyWrites(check func()) {
	s.t.Helper()
	synctest.Wait()
	s.environment.mu.Lock()
	writes := s.environment.writes
	s.environment.writes = nil
	s.environment.mu.Unlock()
	for _, write := range writes {
		if err := s.stored.Apply(write, lowTxnOps, lowValueBytes); err != nil {
			s.t.Error(err)
		}
		check()
	}
}

// Done tasks in a bucket that exceeds the current limit on values are copied to other
// buckets before that bucket is removed, whether or not further tasks are completed
// meanwhile.
func TestLargeBucketOfDoneTasksIsSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLowLimitScheduler(t)
		const key, jobs = "done/old/1/1", 100
		large := job.DoneBucket{Key: key, Version: 3, Jobs: map[string]map[int][]byte{}}
		for i := range jobs {
			id := fmt.Sprintf("wk-%06d", i)
			s.addJobLocked(s.environment.add(id, "ours", wire.PriorityNormal, 40, 1))
			large.Jobs[id] = map[int][]byte{0: {1}}
			s.jobs[id].Done.AddBlock(0, []byte{1})
		}
		value, err := json.Marshal(large)
		if err != nil {
			t.Fatal(err)
		}
		s.stored[key] = value
		s.completions.AdoptBucket(&large, s.opts.Jobs.Active, s.completionOf)
		check := func() {
			found := map[string]bool{}
			for _, value := range s.stored {
				var bucket job.DoneBucket
				if err := json.Unmarshal(value, &bucket); err != nil {
					t.Fatal(err)
				}
				for id, blocks := range bucket.Jobs {
					found[id] = found[id] || blocks[0][0]&1 != 0
				}
			}
			if len(found) != jobs {
				t.Fatalf("got done tasks of %d jobs in the store, want %d", len(found), jobs)
			}
		}
		for round := range 4 {
			queued := s.jobs[fmt.Sprintf("wk-%06d", round)]
			queued.Done.Complete(&fleet.Attempt{Index: 5})
			s.mu.Lock()
			s.flushDoneTasksLocked(time.Now())
			s.mu.Unlock()
			s.applyWrites(check)
			time.Sleep(completion.MaxFlushInterval)
		}
		if len(s.stored[key]) > 0 || len(s.stored) < 4 {
			t.Errorf("got %d keys and %d bytes in the large bucket, want at least 4 keys and the bucket removed", len(s.stored), len(s.stored[key]))
		}
	})
}

// However many machines are released or handed over at once, one write names no more
// than fit into a value.
func TestTransfersFitAValue(t *testing.T) {
	s := newLowLimitScheduler(t)
	for i := range 500 {
		s.transfers.Release(fmt.Sprintf("host-%06d", i))
	}
	_, records := s.transfers.BeginAnnouncement(s.valueLimit.Bytes())
	value, err := json.Marshal(records)
	if err != nil {
		t.Fatal(err)
	}
	if len(value) > s.valueLimit.Bytes()+2 || len(value) < lowValueBytes/2 {
		t.Errorf("got a write of %d bytes, want it between half the limit and the limit", len(value))
	}
}
