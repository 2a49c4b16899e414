package completion

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"heronwick/internal/job"
	"heronwick/wire"
)

// fakeScheduler is a Scheduler with a prefix for bucket keys and a fixed value limit.
type fakeScheduler struct {
	Scheduler
	prefix     string
	valueLimit int
}

func (s fakeScheduler) BucketKey(n uint64) string { return fmt.Sprint(s.prefix, n) }

func (s fakeScheduler) ValueLimit() int { return s.valueLimit }

// newTestTable returns a table whose sizeLimit is the given number of bytes.
func newTestTable(prefix string, sizeLimit int) *Table {
	return NewTable(fakeScheduler{prefix: prefix, valueLimit: (sizeLimit*4 + 2) / 3}, nil, slog.Default())
}

// A bucket that was taken over and exceeds the size limit is removed only once each of
// the buckets that it was split into is in the store, or has become empty because its
// jobs have ended. An empty bucket is returned only once for removal.
func TestBucketIsKeptUntilItsSuccessorsAreWritten(t *testing.T) {
	const tasks, limit = 8000, 4000
	table := newTestTable("done/mine/", limit)
	written := &job.DoneBucket{Key: "done/former/1", Version: 7, Jobs: map[string]map[int][]byte{}}
	active := map[string]*job.Record{}
	for i := range 6 {
		id := fmt.Sprint("wk-", i)
		active[id] = &job.Record{Job: wire.Job{ID: id, Tasks: tasks}}
		written.Jobs[id] = map[int][]byte{0: make([]byte, tasks/8)}
	}
	written.Jobs["wk-over"] = map[int][]byte{0: {1}}
	successors := table.takeOver(written, func(id string) *job.Record { return active[id] })
	held := 0
	for _, successor := range successors {
		if successor.size > limit {
			t.Errorf("bucket %s holds %d bytes, want at most the limit", successor.key, successor.size)
		}
		held += len(successor.jobs)
	}
	if len(successors) < 2 || held != len(active) {
		t.Fatalf("the successors hold %d jobs in %d buckets, want all active jobs in at least 2", held, len(successors))
	}
	if again := table.takeOver(written, func(string) *job.Record { return nil }); again != nil {
		t.Error("the same bucket was taken over twice")
	}
	former := table.buckets[written.Key]
	for i, successor := range successors {
		table.clearReplaced()
		if pending := table.takePending(); !table.contains(former) || slices.Contains(pending, former) || !slices.Contains(pending, successor) {
			t.Errorf("with %d of %d successors written or removed: got former bucket in the table %v, buckets to write %v; want it kept and the next successor written", i, len(successors), table.contains(former), pending)
		}
		if i == 0 { // the jobs of this successor end before it is written
			for id := range successor.jobs {
				table.RemoveJob(id)
			}
			if slices.Contains(table.takePending(), successor) {
				t.Error("takePending returned an empty bucket that is not in the store")
			}
			continue
		}
		successor.version = 8
	}
	table.clearReplaced()
	if pending := table.takePending(); !slices.Equal(pending, []*bucket{former}) || table.contains(former) {
		t.Errorf("with all successors written: buckets to write: %v, want only the former bucket", pending)
	}
	if pending := table.takePending(); len(pending) != 0 {
		t.Errorf("takePending returned buckets a second time: %v", pending)
	}
}

// An entry is added to a bucket with enough free space. If there is none, it gets a new
// bucket, even if it exceeds the size limit by itself.
func TestReserve(t *testing.T) {
	table := newTestTable("", 100)
	first := table.reserve(60)
	if table.reserve(30) != first {
		t.Error("a bucket with enough free space was not used")
	}
	if large := table.reserve(500); large == first || large.size != 500 {
		t.Error("a large entry was added to a bucket without enough free space")
	}
	if len(table.buckets) != 2 {
		t.Errorf("the table has %d buckets, want 2", len(table.buckets))
	}
}
