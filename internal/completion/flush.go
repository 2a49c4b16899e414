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

// The flush interval is a compromise: short enough that few results are lost with a
// machine, and long enough that one change records the completion of many tasks. It is
// minFlushInterval if the store allows flushWriteRPS changes per second or more. It is
// longer if the store allows fewer, up to MaxFlushInterval.
const (
	minFlushInterval = 2 * time.Second
	// MaxFlushInterval is the maximum time between two flushes.
	MaxFlushInterval = 6 * time.Second
	flushWriteRPS    = 60
)

// flushPriority is the priority of writing done tasks. These are few changes for many
// tasks, and after a takeover all tasks that are not recorded as done run again. With
// the priority Background they waited behind bursts of submissions and were a minute
// late.
const flushPriority = state.Safety

// flushInterval returns the time between two flushes.
func (t *Table) flushInterval() time.Duration {
	slowdown := flushWriteRPS / max(t.settings.StateWriteRate, 1)
	return min(max(minFlushInterval, time.Duration(slowdown*float64(minFlushInterval))), MaxFlushInterval)
}

// bucketWrite is a write of one bucket.
type bucketWrite struct {
	bucket  *bucket
	request state.Write
	blocks  []writtenBlock
}

// writtenBlock is a block of a job's bitmap with changes that are contained in a write
// for the first time.
type writtenBlock struct {
	job      *Job
	block    int
	attempts []*fleet.Attempt // attempts to mark as ExitProcessed once the block is written
}

// FlushDue reports whether the flush interval has passed since the last flush.
func (t *Table) FlushDue(now time.Time) bool { return now.Sub(t.lastFlush) >= t.flushInterval() }

// Flush starts to write the done tasks of jobs, and the buckets that must be written
// or removed for other reasons. The writes run in goroutines of the scheduler.
func (t *Table) Flush(now time.Time, jobs iter.Seq[*Job]) {
	t.lastFlush = now
	due := map[*bucket]*bucketWrite{}
	for j := range jobs {
		t.collectDirty(j, due)
	}
	t.clearReplaced()
	for _, b := range t.takePending() {
		if due[b] == nil {
			due[b] = &bucketWrite{bucket: b}
		}
	}
	for _, write := range due {
		t.startWrite(write)
	}
}

// collectDirty copies the changed blocks of the job's bitmap to their buckets, and adds
// those buckets to due. Blocks of a bucket with a write in flight wait for the next
// flush.
func (t *Table) collectDirty(j *Job, due map[*bucket]*bucketWrite) {
	for block := range j.dirty {
		b := j.buckets[block]
		if !t.contains(b) {
			b = t.reserve(job.MaxDoneEntryBytes(j.record.Job.Tasks, block))
			j.buckets[block] = b
		}
		if b.writeInFlight {
			continue
		}
		b.setBlock(j.record.Job.ID, block, j.Block(block))
		if due[b] == nil {
			due[b] = &bucketWrite{bucket: b}
		}
		due[b].blocks = append(due[b].blocks, writtenBlock{job: j, block: block, attempts: j.unwritten[block]})
		delete(j.unwritten, block)
		delete(j.dirty, block)
	}
}

// startWrite starts to write a bucket, or to remove it from the store if it is empty.
func (t *Table) startWrite(write *bucketWrite) {
	b := write.bucket
	request := state.Write{Priority: flushPriority, RetryUntilAnswered: true, If: []wire.Condition{{Key: b.key, Version: b.version}}}
	if b.empty() {
		guard, err := t.scheduler.CleanupGuard()
		if err != nil {
			t.buckets[b.key] = b // retry the removal at a later flush
			return
		}
		request.Then = []wire.Change{{Delete: b.key}}
		request = guard.Bind(request)
	} else {
		request.Then = []wire.Change{{Put: b.key, Value: t.encode(b)}}
	}
	b.writeInFlight = true
	write.request = t.scheduler.Fence().Bind(request)
	t.scheduler.Go(func(ctx context.Context) { t.commit(ctx, write) })
}

// encode returns the value to write for a bucket.
func (t *Table) encode(b *bucket) json.RawMessage {
	value, err := json.Marshal(job.DoneBucket{Jobs: b.jobs, Write: t.scheduler.UniqueWriteID()})
	if err != nil {
		t.log.Error("cannot encode a bucket of done tasks", "key", b.key, "err", err)
	}
	return value
}

// commit commits a write and processes the result. It holds the scheduler's lock only
// while it processes the result.
func (t *Table) commit(ctx context.Context, write *bucketWrite) {
	result, err := t.scheduler.Commit(ctx, write.bucket.key, write.request)
	t.scheduler.Lock()
	defer t.scheduler.Unlock()
	write.bucket.writeInFlight = false
	if result.Known {
		write.bucket.version = result.Version
	}
	if err != nil {
		t.handleWriteFailure(write, err)
		return
	}
	for _, written := range write.blocks {
		for _, a := range written.attempts {
			a.ExitProcessed = true
		}
	}
}

// handleWriteFailure marks the blocks of a failed write as dirty again, so that the
// next flush retries them.
func (t *Table) handleWriteFailure(write *bucketWrite, err error) {
	b := write.bucket
	if b.empty() && b.version > 0 && t.buckets[b.key] == nil {
		t.buckets[b.key] = b // otherwise the key would never be removed from the store
	}
	t.log.Debug("failed to write a bucket of done tasks; will retry", "key", b.key, "err", err)
	t.scheduler.LowerLimitIfRejected(err)
	for _, failed := range write.blocks {
		j := failed.job
		j.unwritten[failed.block] = append(j.unwritten[failed.block], failed.attempts...)
		j.dirty[failed.block] = true
	}
}
