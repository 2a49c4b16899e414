package checkpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/config"
	"heronwick/internal/duty"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

// Limits of the store.
const (
	lowValueBytes = 2 << 10
	lowTxnOps     = 5
)

// testStore collects the writes of a Writer.
type testStore struct {
	mu        sync.Mutex
	writes    []state.Write
	commitErr error // error that writes fail with
}

func (s *testStore) Commit(_ context.Context, w state.Write) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commitErr != nil {
		return 0, s.commitErr
	}
	s.writes = append(s.writes, w)
	return 1, nil
}

func (s *testStore) Get(context.Context, state.Priority, string) (wire.Item, error) {
	return wire.Item{}, state.ErrNotFound
}

// testScheduler is a fake scheduler.
type testScheduler struct {
	machines map[string]*Machine
	jobs     map[string]*job.Record
	writeIDs int
	recorded []string // machines that AttemptsRecorded was called for
	dropped  []string // jobs that DropUnsentAttempts was called for
}

func (s *testScheduler) Machines() iter.Seq[*Machine] { return maps.Values(s.machines) }
func (s *testScheduler) MachineCount() int            { return len(s.machines) }
func (s *testScheduler) Owns(m *Machine) bool         { return s.machines[m.Name] == m }
func (s *testScheduler) Returning(*Machine) bool      { return false }
func (s *testScheduler) MemberSince() uint64          { return 3 }
func (s *testScheduler) Fence() state.FencingCondition {
	return state.FencingCondition{Condition: wire.Condition{Key: "epoch", Version: 5}, IsCurrent: func() bool { return true }}
}
func (s *testScheduler) UniqueWriteID() string {
	s.writeIDs++
	return fmt.Sprint("me-5-", s.writeIDs)
}
func (s *testScheduler) CleanupGuard() (duty.Guard, error) {
	return duty.NewUnfencedActions(nil, slog.New(slog.DiscardHandler)).Guard(duty.ID{Name: duty.Cleanup, Scope: duty.Shard("me")})
}
func (s *testScheduler) Job(id string) *job.Record        { return s.jobs[id] }
func (s *testScheduler) DropStaleHostedAttempts(*Machine) {}
func (s *testScheduler) AttemptsRecorded(m *Machine)      { s.recorded = append(s.recorded, m.Name) }
func (s *testScheduler) DropUnsentAttempts(id string, _ iter.Seq[*Machine]) {
	s.dropped = append(s.dropped, id)
}

// testWriter is a Writer with low limits, a fake scheduler and a fake store.
type testWriter struct {
	*Writer
	t         *testing.T
	lock      sync.Mutex
	scheduler *testScheduler
	store     *testStore
	stored    standin.Values // content of the store after the writes that applyWrites has applied
}

func newTestWriter(t *testing.T) *testWriter {
	w := &testWriter{t: t, store: &testStore{}, stored: standin.Values{},
		scheduler: &testScheduler{machines: map[string]*Machine{}, jobs: map[string]*job.Record{}}}
	settings := &config.Settings{MaxValueBytes: lowValueBytes, MaxTxnOps: lowTxnOps}
	log := slog.New(slog.DiscardHandler)
	w.Writer = NewWriter(Options{
		Node: "me", Settings: settings, Limit: NewValueLimit(settings, log), TxnLimits: state.NewTxnLimits(lowTxnOps, log), Scheduler: w.scheduler, Lock: &w.lock,
		Committer: w.store, Reader: w.store, Go: func(f func(context.Context)) { go f(context.Background()) }, Wake: func() {}, Log: log,
	})
	return w
}

// commitPending rewrites stale buckets and commits all pending machines.
func (w *testWriter) commitPending() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.RewriteStaleBuckets(time.Now())
	w.Commit(slices.DeleteFunc(slices.Collect(w.scheduler.Machines()), func(m *Machine) bool { return !m.Pending() }))
}

// applyWrites applies the collected writes to the store one by one, and calls check after
// each of them.
func (w *testWriter) applyWrites(check func()) {
	w.t.Helper()
	synctest.Wait()
	w.store.mu.Lock()
	writes := w.store.writes
	w.store.writes = nil
	w.store.mu.Unlock()
	for _, write := range writes {
		if err := w.stored.Apply(write, lowTxnOps, lowValueBytes); err != nil {
			w.t.Error(err)
		}
		check()
	}
}

// A new placement is written to a journal, on the condition that the epoch and the record
// of the job have not changed. Its start may be sent once the journal is written. If the
// job has ended, it is never sent.
func TestPlacementIsRecordedBeforeItStarts(t *testing.T) {
	for _, ended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestWriter(t)
			r := &job.Record{Job: wire.Job{ID: "wk-1"}, Version: 4}
			w.scheduler.jobs["wk-1"] = r
			m := newTestMachine(1)
			a := &fleet.Attempt{Key: fleet.Key{Task: "wk-1/0", Attempt: 7}, Job: "wk-1"}
			m.Attempts.Put(a)
			m.Dirty = true
			w.scheduler.machines[m.Name] = m
			if ended {
				w.store.commitErr = &state.Conflict{Failed: []string{r.Condition().Key}}
			}
			w.commitPending()
			synctest.Wait()
			if ended {
				if a.Recorded || !m.Dirty || len(w.scheduler.recorded) > 0 || !slices.Equal(w.scheduler.dropped, []string{"wk-1"}) {
					t.Errorf("got recorded %v, dirty %v, machines with recorded attempts %v, dropped jobs %v; want only dirty and dropped job wk-1", a.Recorded, m.Dirty, w.scheduler.recorded, w.scheduler.dropped)
				}
				return
			}
			journal := fleet.JournalKey("me", 3, 0)
			if !a.Recorded || a.Journal != journal || m.Dirty || !slices.Equal(w.scheduler.recorded, []string{"m1"}) {
				t.Errorf("got recorded %v, journal %q, dirty %v, machines with recorded attempts %v; want recorded in the first journal, not dirty, m1", a.Recorded, a.Journal, m.Dirty, w.scheduler.recorded)
			}
			if len(w.store.writes) != 1 {
				t.Fatalf("got %d writes, want 1", len(w.store.writes))
			}
			conditions := []wire.Condition{{Key: "epoch", Version: 5}, r.Condition(), {Key: journal}}
			if write := w.store.writes[0]; write.Then[0].Put != journal || !slices.Equal(write.If, conditions) {
				t.Errorf("got a put of %s on the conditions %v, want the journal on those of epoch, job and journal", write.Then[0].Put, write.If)
			}
		})
	}
}

// A bucket that exceeds the current value limit is split: the new buckets are written
// first, and the large bucket is rewritten or deleted after that. After each write, the
// store contains all attempts that may be on the machines.
func TestLargeBucketIsSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWriter(t)
		const key, machines = "machines/old/1/1", 60
		w.scheduler.jobs["wk-1"] = &job.Record{Job: wire.Job{ID: "wk-1"}, Version: 1}
		large := fleet.RecordBucket{Machines: map[string]fleet.Record{}}
		attempts := map[string]uint64{}
		for i := range machines {
			task := wire.TaskID("wk-1", i)
			r := fleet.Record{Address: "10.1.0.1:9000", Type: "m", Zone: "z", Incarnation: 1, Attempts: map[string]uint64{task: uint64(100 + i)}}
			for image := range 60 {
				r.Images = append(r.Images, fleet.ImageRecord{Name: fmt.Sprint("a/long/name/of/an/image/", image), GB: 1})
			}
			attempts[task] = uint64(100 + i)
			large.Machines[fmt.Sprintf("host-%06d", i)] = r
		}
		value, err := json.Marshal(large)
		if err != nil {
			t.Fatal(err)
		}
		w.stored[key] = value
		bucket := w.AdoptBucket(key, 3, len(value))
		for name, r := range large.Machines {
			m := &Machine{Machine: fleet.FromRecord(name, r, 5, time.Now()), checkpointDue: true}
			w.scheduler.machines[name] = m
			w.AdoptMachine(m, []*Bucket{bucket})
		}
		check := func() {
			found := map[string]uint64{}
			for key, value := range w.stored {
				bucket, err := fleet.ReadBucket(key, value)
				if err != nil {
					t.Fatal(err)
				}
				for _, r := range bucket.Machines {
					maps.Copy(found, r.Attempts)
				}
			}
			if !maps.Equal(found, attempts) {
				t.Fatalf("got %d of %d attempts in the store, want all", len(found), len(attempts))
			}
		}
		for range 4 {
			w.commitPending()
			w.applyWrites(check)
		}
		if len(w.stored[key]) > lowValueBytes || len(w.stored) < machines/8 {
			t.Errorf("got %d keys and %d bytes in the large bucket, want it split", len(w.stored), len(w.stored[key]))
		}
	})
}

// Guards against consolidations that delay the checkpoint of full journals: they have the
// lowest priority, and placements waited for them.
func TestConsolidationDoesNotDelayCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWriter(t)
		m := newTestMachine(1)
		w.scheduler.machines[m.Name] = m
		former := &Bucket{key: "machines/old/1/1", version: 1, machines: map[string]*Machine{}, retained: map[string]fleet.Record{"m1": {Incarnation: 1}}}
		w.buckets[former.key] = former
		w.addOtherBuckets(m, former)
		w.lock.Lock()
		w.consolidate()
		checkpointInProgress := w.checkpointInProgress()
		writing := m.WriteInFlight()
		w.lock.Unlock()
		if !writing || checkpointInProgress {
			t.Errorf("got write in flight %v, checkpoint in progress %v; want a write in flight and no checkpoint", writing, checkpointInProgress)
		}
		synctest.Wait()
	})
}

// Guards against empty buckets that stay in the store forever: if the epoch changes during
// the deletion of a bucket, the deletion fails and must be retried.
func TestRemovalOfABucketIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWriter(t)
		left := &Bucket{key: "machines/former/1/1", version: 3, machines: map[string]*Machine{}, stale: true}
		w.buckets[left.key] = left
		w.store.commitErr = &state.Conflict{}
		w.lock.Lock()
		w.RewriteStaleBuckets(time.Now())
		w.lock.Unlock()
		synctest.Wait()
		w.store.commitErr = nil
		w.lock.Lock()
		w.RewriteStaleBuckets(time.Now())
		w.lock.Unlock()
		synctest.Wait()
		if len(w.store.writes) != 1 || w.store.writes[0].Then[0].Delete != left.key {
			t.Errorf("got writes %v, want the deletion of the bucket", w.store.writes)
		}
		if w.buckets[left.key] != nil {
			t.Error("got the deleted bucket still in the table, want it removed")
		}
	})
}
