package completion

import (
	"context"
	"encoding/json"
	"iter"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

// Done tasks are written often enough that a lost machine takes few results with
// it, and seldom enough that the ends of many tasks are one change: every
// minFlushInterval where the store allows flushWriteRPS changes a second, less
// often where it allows fewer, but at least every MaxFlushInterval.
const (
	minFlushInterval = 2 * time.Second
	// MaxFlushInterval is the longest time between two writes of done tasks.
	MaxFlushInterval = 6 * time.Second
	flushWriteRPS    = 60
)

// flushPriority is that of writing done tasks. They are few changes for many tasks,
// and a takeover runs again what they do not name: as what nobody waits for, behind
// submissions in a burst, they were a minute late.
const flushPriority = state.Safety

// flushInterval is how often done tasks are written.
func (t *Table) flushInterval() time.Duration {
	slower := flushWriteRPS / max(t.settings.StateWriteRate, 1)
	return min(max(minFlushInterval, time.Duration(slower*float64(minFlushInterval))), MaxFlushInterval)
}

// bucketWrite is one write of a bucket.
type bucketWrite struct {
	bucket  *bucket
	request state.Write
	blocks  []writtenBlock
}

// writtenBlock is a block of a job that a write contains for the first time.
type writtenBlock struct {
	job      *Job
	block    int
	attempts []*fleet.Attempt // that are handled once it is written
}

// FlushDue reports whether done tasks are to be written again.
func (t *Table) FlushDue(now time.Time) bool { return now.Sub(t.flushed) >= t.flushInterval() }

// Flush starts to write the done tasks of jobs, and what else is due of the
// buckets, as work of the scheduler.
func (t *Table) Flush(now time.Time, jobs iter.Seq[*Job]) {
	t.flushed = now
	due := map[*bucket]*bucketWrite{}
	for j := range jobs {
		t.gather(j, due)
	}
	t.clearReplaced()
	for _, b := range t.takeIdle() {
		if due[b] == nil {
			due[b] = &bucketWrite{bucket: b}
		}
	}
	for _, write := range due {
		t.startWrite(write)
	}
}

// gather puts the job's done tasks into buckets, and those buckets among the
// ones to write. Blocks of a bucket whose write is under way wait for the next
// flush.
func (t *Table) gather(j *Job, due map[*bucket]*bucketWrite) {
	for block := range j.dirty {
		b := j.buckets[block]
		if !t.contains(b) {
			b = t.reserve(job.EntrySize(j.record.Job.Tasks, block))
			j.buckets[block] = b
		}
		if b.committing {
			continue
		}
		b.put(j.record.Job.ID, block, j.Block(block))
		if due[b] == nil {
			due[b] = &bucketWrite{bucket: b}
		}
		due[b].blocks = append(due[b].blocks, writtenBlock{job: j, block: block, attempts: j.unwritten[block]})
		delete(j.unwritten, block)
		delete(j.dirty, block)
	}
}

// startWrite writes a bucket, or removes one that is empty.
func (t *Table) startWrite(write *bucketWrite) {
	b := write.bucket
	request := state.Write{Priority: flushPriority, RetryUntilAnswered: true, If: []wire.Condition{{Key: b.key, Version: b.version}}}
	if b.empty() {
		guard, err := t.scheduler.CleanupGuard()
		if err != nil {
			t.buckets[b.key] = b // removed later
			return
		}
		request.Then = []wire.Change{{Delete: b.key}}
		request = guard.Bind(request)
	} else {
		request.Then = []wire.Change{{Put: b.key, Value: t.encode(b)}}
	}
	b.committing = true
	write.request = t.scheduler.Fence().Bind(request)
	t.scheduler.Go(func(ctx context.Context) { t.commit(ctx, write) })
}

// encode returns the value of a bucket.
func (t *Table) encode(b *bucket) json.RawMessage {
	value, err := json.Marshal(job.DoneBucket{Jobs: b.jobs, Write: t.scheduler.UniqueWriteID()})
	if err != nil {
		t.log.Error("encoding done tasks", "key", b.key, "err", err)
	}
	return value
}

// commit commits a write and takes its result. The scheduler's lock is not held
// meanwhile.
func (t *Table) commit(ctx context.Context, write *bucketWrite) {
	result, err := t.scheduler.Commit(ctx, write.bucket.key, write.request)
	t.scheduler.Lock()
	defer t.scheduler.Unlock()
	write.bucket.committing = false
	if result.Known {
		write.bucket.version = result.Version
	}
	if err != nil {
		t.writeFailed(write, err)
		return
	}
	for _, written := range write.blocks {
		for _, a := range written.attempts {
			a.Handled = true
		}
	}
}

// writeFailed leaves what a failed write contained to the next flush.
func (t *Table) writeFailed(write *bucketWrite, err error) {
	b := write.bucket
	if b.empty() && b.version > 0 && t.buckets[b.key] == nil {
		t.buckets[b.key] = b // else it would stay in the store for ever
	}
	t.log.Debug("writing done tasks failed", "key", b.key, "err", err)
	t.scheduler.NoteRejected(err)
	for _, failed := range write.blocks {
		j := failed.job
		j.unwritten[failed.block] = append(j.unwritten[failed.block], failed.attempts...)
		j.dirty[failed.block] = true
	}
}
