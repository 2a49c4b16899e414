package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/job"
)

// doneBucket is one key of the store with done tasks of many jobs. Until they are
// written, the workers keep the results; so a bucket is written at leisure.
type doneBucket struct {
	key        string
	version    uint64
	jobs       map[string]map[int][]byte // by job and chunk, what it holds or is about to
	size       int                       // bytes that its entries can come to
	committing bool
	// heirs are the buckets that together hold what this one does, which is larger
	// than values may be: once all are written it is removed.
	heirs []*doneBucket
}

func (bucket *doneBucket) put(id string, chunk int, bits []byte) {
	if bucket.jobs[id] == nil {
		bucket.jobs[id] = map[int][]byte{}
	}
	bucket.jobs[id][chunk] = bits
}

// doneTable is the share's buckets of done tasks: which there are, what they hold, and
// where there is room. It writes nothing.
type doneTable struct {
	buckets map[string]*doneBucket
	named   uint64 // buckets named so far
	// key names a new bucket of this share.
	key func(n uint64) string
	// limit is how many bytes the entries of a bucket may come to, unless there is
	// only one.
	limit   func() int
	flushed time.Time // when buckets were last written
}

func newDoneTable(key func(n uint64) string, limit func() int) *doneTable {
	return &doneTable{buckets: map[string]*doneBucket{}, key: key, limit: limit}
}

// holds tells whether the bucket is one of the table's.
func (t *doneTable) holds(bucket *doneBucket) bool {
	return bucket != nil && t.buckets[bucket.key] == bucket
}

// withRoom returns a bucket with room for an entry of the size, and takes the room.
func (t *doneTable) withRoom(size int) *doneBucket {
	for _, bucket := range t.buckets {
		if bucket.heirs == nil && bucket.size+size <= t.limit() {
			bucket.size += size
			return bucket
		}
	}
	bucket := t.add()
	bucket.size = size
	return bucket
}

func (t *doneTable) add() *doneBucket {
	t.named++
	bucket := &doneBucket{key: t.key(t.named), jobs: map[string]map[int][]byte{}}
	t.buckets[bucket.key] = bucket
	return bucket
}

// forget drops the done tasks of a job that is over. The keys are rewritten when
// there is something else to write, or removed once empty.
func (t *doneTable) forget(id string) {
	for _, bucket := range t.buckets {
		if _, ok := bucket.jobs[id]; !ok {
			continue
		}
		delete(bucket.jobs, id)
		if len(bucket.jobs) == 0 {
			bucket.size = 0
		}
	}
}

// adopt takes over what an owner that has gone left, for the jobs that are still
// active, and returns the buckets that hold it from now on.
func (t *doneTable) adopt(written *job.DoneBucket, active func(id string) *job.Record) []*doneBucket {
	if t.buckets[written.Key] != nil {
		return nil
	}
	bucket := &doneBucket{key: written.Key, version: written.Version, jobs: map[string]map[int][]byte{}}
	t.buckets[bucket.key] = bucket
	tasks := map[string]int{}
	entries := 0
	for id, chunks := range written.Jobs {
		r := active(id)
		if r == nil {
			continue
		}
		tasks[id] = r.Job.Tasks
		for chunk, bits := range chunks {
			bucket.put(id, chunk, bits)
			bucket.size += job.EntrySize(r.Job.Tasks, chunk)
			entries++
		}
	}
	if bucket.size > t.limit() && entries > 1 {
		return t.split(bucket, tasks)
	}
	return []*doneBucket{bucket}
}

// split copies what a bucket holds that is larger than values may be to new ones and
// returns those; tasks is how many tasks each job has. Done tasks only ever become
// more, so reading both does no harm.
func (t *doneTable) split(bucket *doneBucket, tasks map[string]int) (heirs []*doneBucket) {
	var heir *doneBucket
	for id, chunks := range bucket.jobs {
		for chunk, bits := range chunks {
			size := job.EntrySize(tasks[id], chunk)
			if heir == nil || heir.size+size > t.limit() {
				heir = t.add()
				heirs = append(heirs, heir)
			}
			heir.put(id, chunk, bits)
			heir.size += size
		}
	}
	bucket.heirs = slices.Clone(heirs)
	return heirs
}

// retire empties buckets whose heirs hold all that they did.
func (t *doneTable) retire() {
	for _, bucket := range t.buckets {
		if bucket.heirs == nil {
			continue
		}
		bucket.heirs = slices.DeleteFunc(bucket.heirs, func(heir *doneBucket) bool {
			return heir.version > 0 || !t.holds(heir) // written, or of jobs that are over
		})
		if len(bucket.heirs) == 0 {
			clear(bucket.jobs)
		}
	}
}

// takeIdle returns the buckets that must be written though no task of them was done:
// heirs that are not in the store yet, and buckets in the store that hold nothing any
// more. The latter are not the table's any longer.
func (t *doneTable) takeIdle() (idle []*doneBucket) {
	for key, bucket := range t.buckets {
		switch {
		case bucket.committing:
		case len(bucket.jobs) == 0:
			delete(t.buckets, key)
			if bucket.version > 0 {
				idle = append(idle, bucket)
			}
		case bucket.version == 0:
			idle = append(idle, bucket)
		}
	}
	return idle
}
