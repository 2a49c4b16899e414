package completion

import (
	"log/slog"
	"slices"
	"time"

	"heronwick/internal/config"
	"heronwick/internal/job"
)

// Table holds the buckets of completion bitmaps of one scheduler and assigns bitmaps
// to buckets with free space.
//
// A Table is not safe for concurrent use: the scheduler's lock guards it. When a task
// ends, the job's bitmap, its position in the queue and the state of the attempt must
// change atomically. A separate lock of the table would thus always be taken while
// the scheduler's lock is held.
type Table struct {
	scheduler    Scheduler
	settings     *config.Settings
	log          *slog.Logger
	buckets      map[string]*bucket // by key
	bucketsNamed uint64             // number of bucket keys assigned so far
	lastFlush    time.Time          // when buckets were last written
}

// NewTable returns a table without buckets. It writes them through scheduler.
func NewTable(scheduler Scheduler, settings *config.Settings, log *slog.Logger) *Table {
	return &Table{scheduler: scheduler, settings: settings, log: log, buckets: map[string]*bucket{}}
}

// sizeLimit returns the maximum size of the entries of a bucket, in bytes. A bucket
// with a single entry may exceed it.
func (t *Table) sizeLimit() int { return t.scheduler.ValueLimit() * 3 / 4 }

// contains reports whether the bucket is in the table.
func (t *Table) contains(b *bucket) bool {
	return b != nil && t.buckets[b.key] == b
}

// reserve returns a bucket with space for an entry of the given size in bytes, and
// reserves the space. It adds a bucket if none has enough.
func (t *Table) reserve(size int) *bucket {
	for _, b := range t.buckets {
		if b.successors == nil && b.size+size <= t.sizeLimit() {
			b.size += size
			return b
		}
	}
	b := t.addBucket()
	b.size = size
	return b
}

// addBucket adds an empty bucket.
func (t *Table) addBucket() *bucket {
	t.bucketsNamed++
	b := &bucket{key: t.scheduler.BucketKey(t.bucketsNamed), jobs: map[string]map[int][]byte{}}
	t.buckets[b.key] = b
	return b
}

// RemoveJob removes the bitmaps of a job that has ended from the buckets. The keys in
// the store are updated when the buckets are next written for another reason, or
// removed once the buckets are empty.
func (t *Table) RemoveJob(id string) {
	for _, b := range t.buckets {
		if _, ok := b.jobs[id]; !ok {
			continue
		}
		delete(b.jobs, id)
		if b.empty() {
			b.size = 0
		}
	}
}

// AdoptBucket adds a bucket whose owner has left the cluster to the table, with the
// bitmaps of jobs that are still active. queued returns the Job of an ID if the
// scheduler owns the job; such jobs are written to this bucket from now on.
func (t *Table) AdoptBucket(written *job.DoneBucket, active func(id string) *job.Record, queued func(id string) *Job) {
	for _, b := range t.takeOver(written, active) {
		for id, blocks := range b.jobs {
			j := queued(id)
			for block := range blocks {
				if j != nil && j.buckets[block] == nil {
					j.buckets[block] = b
				}
			}
		}
	}
}

// takeOver adds the bucket to the table and returns the buckets that hold its bitmaps
// from now on: the bucket itself, or its successors if it was split.
func (t *Table) takeOver(written *job.DoneBucket, active func(id string) *job.Record) []*bucket {
	if t.buckets[written.Key] != nil {
		return nil
	}
	b := &bucket{key: written.Key, version: written.Version, jobs: map[string]map[int][]byte{}}
	t.buckets[b.key] = b
	tasks := map[string]int{}
	entries := 0
	for id, blocks := range written.Jobs {
		r := active(id)
		if r == nil {
			continue
		}
		tasks[id] = r.Job.Tasks
		for block, bits := range blocks {
			b.setBlock(id, block, bits)
			b.size += job.MaxDoneEntryBytes(r.Job.Tasks, block)
			entries++
		}
	}
	if b.size > t.sizeLimit() && entries > 1 {
		return t.split(b, tasks)
	}
	return []*bucket{b}
}

// split copies the bitmaps of a bucket that exceeds the size limit to new buckets and
// returns those. tasks holds the number of tasks of each job. A reader may find both
// the old bucket and the new ones, which is harmless since done tasks stay done.
func (t *Table) split(large *bucket, tasks map[string]int) (successors []*bucket) {
	var successor *bucket
	for id, blocks := range large.jobs {
		for block, bits := range blocks {
			size := job.MaxDoneEntryBytes(tasks[id], block)
			if successor == nil || successor.size+size > t.sizeLimit() {
				successor = t.addBucket()
				successors = append(successors, successor)
			}
			successor.setBlock(id, block, bits)
			successor.size += size
		}
	}
	large.successors = slices.Clone(successors)
	return successors
}

// clearReplaced empties the buckets whose successors have all been written or removed.
func (t *Table) clearReplaced() {
	for _, b := range t.buckets {
		if b.successors == nil {
			continue
		}
		b.successors = slices.DeleteFunc(b.successors, func(successor *bucket) bool {
			return successor.version > 0 || !t.contains(successor) // written, or removed because its jobs have ended
		})
		if len(b.successors) == 0 {
			clear(b.jobs)
		}
	}
}

// takePending returns the buckets that must be written even if none of their tasks was
// completed: successors that are not yet in the store, and empty buckets that are in
// the store. It removes empty buckets from the table. Buckets with a write in flight
// are left for a later flush.
func (t *Table) takePending() (pending []*bucket) {
	for key, b := range t.buckets {
		switch {
		case b.writeInFlight:
		case b.empty():
			delete(t.buckets, key)
			if b.version > 0 {
				pending = append(pending, b)
			}
		case b.version == 0:
			pending = append(pending, b)
		}
	}
	return pending
}
