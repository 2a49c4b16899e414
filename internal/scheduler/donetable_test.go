package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"heronwick/internal/job"
	"heronwick/wire"
)

// A bucket of a former owner that is larger than values may be goes only once all
// buckets that it was split into are in the store, or their jobs are over; a bucket
// that holds nothing any more is handed out once, to be removed.
func TestDoneTableKeepsABucketUntilItsHeirsAreWritten(t *testing.T) {
	const tasks, limit = 8000, 4000
	table := newDoneTable(func(n uint64) string { return fmt.Sprint("done/mine/", n) }, func() int { return limit })
	written := &job.DoneBucket{Key: "done/former/1", Version: 7, Jobs: map[string]map[int][]byte{}}
	active := map[string]*job.Record{}
	for i := range 6 {
		id := fmt.Sprint("wk-", i)
		active[id] = &job.Record{Job: wire.Job{ID: id, Tasks: tasks}}
		written.Jobs[id] = map[int][]byte{0: make([]byte, tasks/8)}
	}
	written.Jobs["wk-over"] = map[int][]byte{0: {1}}
	heirs := table.adopt(written, func(id string) *job.Record { return active[id] })
	held := 0
	for _, heir := range heirs {
		if heir.size > limit {
			t.Errorf("%s holds %d bytes", heir.key, heir.size)
		}
		held += len(heir.jobs)
	}
	if len(heirs) < 2 || held != len(active) {
		t.Fatalf("%d jobs on %d buckets", held, len(heirs))
	}
	if again := table.adopt(written, func(string) *job.Record { return nil }); again != nil {
		t.Error("adopted a bucket twice")
	}
	former := table.buckets[written.Key]
	for i, heir := range heirs {
		table.retire()
		if idle := table.takeIdle(); !table.holds(former) || slices.Contains(idle, former) || !slices.Contains(idle, heir) {
			t.Errorf("%d of %d heirs are written: the former bucket is kept: %v; to write: %v", i, len(heirs), table.holds(former), idle)
		}
		if i == 0 { // the jobs of one are over before it is written
			for id := range heir.jobs {
				table.forget(id)
			}
			if slices.Contains(table.takeIdle(), heir) {
				t.Error("a bucket that was never written is to be removed from the store")
			}
			continue
		}
		heir.version = 8
	}
	table.retire()
	if idle := table.takeIdle(); !slices.Equal(idle, []*doneBucket{former}) || table.holds(former) {
		t.Errorf("all heirs are written: to write are %v", idle)
	}
	if idle := table.takeIdle(); len(idle) != 0 {
		t.Errorf("handed out again: %v", idle)
	}
}

// Entries go on a bucket while it has room, and one that no bucket has room for gets a
// bucket of its own, however large it is.
func TestDoneTableRoom(t *testing.T) {
	table := newDoneTable(func(n uint64) string { return fmt.Sprint(n) }, func() int { return 100 })
	first := table.withRoom(60)
	if table.withRoom(30) != first {
		t.Error("a bucket with room was not used")
	}
	if large := table.withRoom(500); large == first || large.size != 500 {
		t.Error("a large entry went on a bucket without room")
	}
	if len(table.buckets) != 2 {
		t.Errorf("%d buckets", len(table.buckets))
	}
}
