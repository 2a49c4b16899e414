package recovery

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"testing"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/standin"
	"heronwick/internal/state"
	"heronwick/wire"
)

// fakeStore implements Store with the given items, and Jobs with an active job wk-1 and
// a done job wk-2.
type fakeStore struct {
	items []wire.Item
	err   error // error of Resolve
}

func (s *fakeStore) List(context.Context, state.Priority, string) (state.Listing, error) {
	return state.Listing{Items: s.items, Revision: 1}, nil
}

func (s *fakeStore) Active(id string) *job.Record {
	if id == "wk-1" {
		return &job.Record{}
	}
	return nil
}

func (s *fakeStore) Resolve(_ context.Context, id string) (job.Resolution, error) {
	return job.Resolution{Found: id == "wk-2", Ended: id == "wk-2", Outcome: job.Outcome{State: wire.JobDone}}, s.err
}

func (s *fakeStore) ReadDone(context.Context) ([]job.DoneBucket, error) {
	return []job.DoneBucket{{Key: "done/1"}}, nil
}

// put stores a bucket with one machine, which has the given attempts.
func (s *fakeStore) put(t *testing.T, key, machine string, attempts map[string]uint64) {
	t.Helper()
	value, err := json.Marshal(fleet.RecordBucket{Machines: map[string]fleet.Record{machine: {Address: machine, Attempts: attempts}}})
	if err != nil {
		t.Fatal(err)
	}
	s.items = append(s.items, wire.Item{Key: key, Value: value, Version: 3})
}

// Read keeps only the newest attempt of each task, looks up the outcomes of jobs that are
// not active, and returns the error of a failed lookup.
func TestRead(t *testing.T) {
	s := &fakeStore{}
	s.put(t, "machines/a/1/1", "m1", map[string]uint64{"wk-1/0": 4, "wk-2/0": 5})
	s.put(t, "machines/b/1/1", "m2", map[string]uint64{"wk-1/0": 7, "wk-3/0": 6})
	r, err := Read(t.Context(), s, s)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Buckets) != 2 || len(r.Done) != 1 {
		t.Fatalf("got %d buckets of machine records and %d of done tasks, want 2 and 1", len(r.Buckets), len(r.Done))
	}
	for i, want := range []map[string]uint64{{"wk-2/0": 5}, {"wk-1/0": 7, "wk-3/0": 6}} {
		bucket, item := r.Buckets[i], s.items[i]
		if bucket.Key != item.Key || bucket.Version != item.Version || bucket.Size != len(item.Value) {
			t.Errorf("got bucket %s with version %d and %d bytes, want the key, version and size of the stored item", bucket.Key, bucket.Version, bucket.Size)
		}
		for _, record := range bucket.Machines {
			if !maps.Equal(record.Attempts, want) {
				t.Errorf("%s: got attempts %v, want %v", bucket.Key, record.Attempts, want)
			}
		}
	}
	if want := map[string]job.Outcome{"wk-2": {State: wire.JobDone}}; !maps.Equal(r.Outcomes, want) {
		t.Errorf("got outcomes %v, want %v", r.Outcomes, want)
	}
	if len(r.Active) != 1 || r.Active["wk-1"] == nil {
		t.Errorf("got active jobs %v, want wk-1", r.Active)
	}
	s.err = errors.New("store unavailable")
	if _, err := Read(t.Context(), s, s); !errors.Is(err, s.err) {
		t.Errorf("got error %v, want %v", err, s.err)
	}
}

// Guards against a takeover that misses an attempt because its host moves the record from a
// journal to a bucket between two pages: the task was placed again and ran twice.
func TestReadFindsAttemptsWhoseRecordsMoveMeanwhile(t *testing.T) {
	const task = "wk-1/0"
	bucket, journal := fleet.BucketKey("peer", 4, 1), fleet.JournalKey("peer", 4, 0)
	withAttempts := func(attempts map[string]uint64) fleet.RecordBucket {
		return fleet.RecordBucket{Machines: map[string]fleet.Record{"m": {Address: "m", Attempts: attempts}}}
	}
	store := standin.NewState()
	store.MaxListItems = 1
	store.Put(bucket, withAttempts(nil))
	store.Put(journal, withAttempts(map[string]uint64{task: 7}))
	conn := store.Connect("me")
	conn.AfterList = func() {
		store.Put(bucket, withAttempts(map[string]uint64{task: 7}))
		store.Delete(journal)
	}
	client := state.NewClient(conn, state.NewBudget(100, 100, 16), state.NewTxnLimits(16, slog.New(slog.DiscardHandler)))
	records, err := Read(context.Background(), client, &fakeStore{})
	if err != nil {
		t.Fatal(err)
	}
	found := false
	for _, b := range records.Buckets {
		found = found || b.Machines["m"].Attempts[task] == 7
	}
	if !found {
		t.Errorf("got buckets %v, want the attempt %s in one of them", records.Buckets, task)
	}
}
