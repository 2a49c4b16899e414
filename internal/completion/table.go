package completion

import (
	"log/slog"
	"slices"
	"time"

	"heronwick/internal/config"
	"heronwick/internal/job"
)

// Table is one scheduler's buckets of completion bitmaps: which there are,
// what they hold, and where there is room.
//
// A Table is not safe for concurrent use: the scheduler's lock guards it. A
// task that ends changes the job's bitmap, its place in the queue and its
// attempt's state, which must be seen to change together; a lock of the
// table's own would only be taken inside the scheduler's.
type Table struct {
	scheduler Scheduler
	settings  *config.Settings
	log       *slog.Logger
	buckets   map[string]*bucket // by key
	named     uint64             // buckets named so far
	flushed   time.Time          // when buckets were last written
}

// NewTable returns a table without buckets that writes through scheduler.
func NewTable(scheduler Scheduler, settings *config.Settings, log *slog.Logger) *Table {
	return &Table{scheduler: scheduler, settings: settings, log: log, buckets: map[string]*bucket{}}
}

// sizeLimit is how many bytes the entries of a bucket may come to, unless
// there is only one.
func (t *Table) sizeLimit() int { return t.scheduler.ValueLimit() * 3 / 4 }

// contains reports whether the bucket is one of the table's.
func (t *Table) contains(b *bucket) bool {
	return b != nil && t.buckets[b.key] == b
}

// reserve returns a bucket with room for an entry of the size in bytes, and
// takes the room.
func (t *Table) reserve(size int) *bucket {
	for _, b := range t.buckets {
		if b.successors == nil && b.size+size <= t.sizeLimit() {
			b.size += size
			return b
		}
	}
	b := t.add()
	b.size = size
	return b
}

// add adds an empty bucket.
func (t *Table) add() *bucket {
	t.named++
	b := &bucket{key: t.scheduler.BucketKey(t.named), jobs: map[string]map[int][]byte{}}
	t.buckets[b.key] = b
	return b
}

// RemoveJob drops the bitmaps of a job that is over. The keys are rewritten when
// there is something else to write, or removed once empty.
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

// TakeOver takes over a bucket whose owner has left the cluster, for the jobs
// that are still active. Those that queued returns, which are the scheduler's
// own, are written to it from now on.
func (t *Table) TakeOver(written *job.DoneBucket, active func(id string) *job.Record, queued func(id string) *Job) {
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

// takeOver returns the buckets that hold what is taken over from now on.
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
			b.put(id, block, bits)
			b.size += job.EntrySize(r.Job.Tasks, block)
			entries++
		}
	}
	if b.size > t.sizeLimit() && entries > 1 {
		return t.split(b, tasks)
	}
	return []*bucket{b}
}

// split copies what a bucket holds that is larger than a value may be to new
// buckets and returns those; tasks is how many tasks each job has. Tasks that
// are done stay so, so reading both does no harm.
func (t *Table) split(large *bucket, tasks map[string]int) (successors []*bucket) {
	var successor *bucket
	for id, blocks := range large.jobs {
		for block, bits := range blocks {
			size := job.EntrySize(tasks[id], block)
			if successor == nil || successor.size+size > t.sizeLimit() {
				successor = t.add()
				successors = append(successors, successor)
			}
			successor.put(id, block, bits)
			successor.size += size
		}
	}
	large.successors = slices.Clone(successors)
	return successors
}

// clearReplaced empties the buckets whose successors hold all that they did.
func (t *Table) clearReplaced() {
	for _, b := range t.buckets {
		if b.successors == nil {
			continue
		}
		b.successors = slices.DeleteFunc(b.successors, func(successor *bucket) bool {
			return successor.version > 0 || !t.contains(successor) // written, or of jobs that are over
		})
		if len(b.successors) == 0 {
			clear(b.jobs)
		}
	}
}

// takeIdle returns the buckets that must be written though no task of them was
// done: successors that are not in the store yet, and buckets in the store that
// are empty. The latter are taken out of the table.
func (t *Table) takeIdle() (idle []*bucket) {
	for key, b := range t.buckets {
		switch {
		case b.committing:
		case b.empty():
			delete(t.buckets, key)
			if b.version > 0 {
				idle = append(idle, b)
			}
		case b.version == 0:
			idle = append(idle, b)
		}
	}
	return idle
}
