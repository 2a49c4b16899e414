package checkpoint

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"heronwick/internal/duty"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/wire"
)

// bucketWrite is one write of a bucket or journal.
type bucketWrite struct {
	request state.Write
	bucket  *Bucket
	size    int // size of the new value, in bytes
	// forConsolidation reports whether the write only merges existing records and records
	// no new attempts.
	forConsolidation bool
	journal          bool
	deletes          bool                          // the write deletes the bucket because it is empty
	conditionalJobs  map[string]bool               // IDs of the jobs that must be active for the write to succeed
	attempts         map[*Machine][]*fleet.Attempt // attempts that the write records for the first time
	fromJournal      []*fleet.Attempt              // attempts that were recorded in a journal only
	consolidated     []*Machine                    // machines whose records in other buckets the write makes obsolete
}

// newWrite returns a write without content that is fenced by the epoch.
func (w *Writer) newWrite(priority state.Priority) *bucketWrite {
	return &bucketWrite{
		request:         w.scheduler.Fence().Bind(state.Write{Priority: priority, RetryUntilAnswered: true}),
		conditionalJobs: map[string]bool{},
		attempts:        map[*Machine][]*fleet.Attempt{},
	}
}

// addJobCondition makes the write conditional on the attempt's job being active, so that
// no attempt of a job is recorded that has just been cancelled. It returns false if the
// write has no room for the condition; the attempt is then recorded by a later write. A
// write uses at most half of the conditions that a transaction can have, and leaves the
// rest to other writes in the same transaction.
func (w *Writer) addJobCondition(write *bucketWrite, a *fleet.Attempt) bool {
	if a.Recorded || write.conditionalJobs[a.Job] {
		return true
	}
	r := w.scheduler.Job(a.Job)
	if r == nil {
		return true
	}
	if len(write.conditionalJobs) >= max(1, w.opts.TxnLimits.Conditions()/2) {
		return false
	}
	write.conditionalJobs[a.Job] = true
	write.request.If = append(write.request.If, r.Condition())
	return true
}

// addAttempt adds an attempt that the write records for the first time.
func (write *bucketWrite) addAttempt(m *Machine, a *fleet.Attempt) {
	write.attempts[m] = append(write.attempts[m], a)
}

// put makes the write put a value for a bucket.
func (write *bucketWrite) put(b *Bucket, value json.RawMessage) {
	b.writeInFlight, b.stale, b.lastWriteAt = true, false, time.Now()
	write.bucket, write.size = b, len(value)
	write.request.If = append(write.request.If, wire.Condition{Key: b.key, Version: b.version})
	write.request.Then = append(write.request.Then, wire.Change{Put: b.key, Value: value})
}

// delete makes the write delete a bucket under the cleanup guard.
func (write *bucketWrite) delete(b *Bucket, guard duty.Guard) {
	b.writeInFlight = true
	write.bucket, write.deletes = b, true
	write.request.If = append(write.request.If, wire.Condition{Key: b.key, Version: b.version})
	write.request.Then = append(write.request.Then, wire.Change{Delete: b.key})
	write.request = guard.Bind(write.request)
}

// putBucket encodes the content of a bucket and starts to write it.
func (w *Writer) putBucket(write *bucketWrite, b *Bucket, content fleet.RecordBucket) {
	value, err := json.Marshal(content)
	if err != nil {
		w.opts.Log.Error("cannot encode machine records", "key", b.key, "err", err)
		return
	}
	write.put(b, value)
	w.start(write)
}

// start commits a write in the background.
func (w *Writer) start(write *bucketWrite) {
	w.opts.Go(func(ctx context.Context) { w.commit(ctx, write) })
}

// commitRetryDelay is the delay after a failed write before Commit is called again.
const commitRetryDelay = 100 * time.Millisecond

// commit commits a write and processes the result. It holds the lock only while it
// processes the result.
func (w *Writer) commit(ctx context.Context, write *bucketWrite) {
	version, err := w.opts.Committer.Commit(ctx, write.request)
	known := err == nil
	if err != nil {
		version, known = state.VersionAfterFailedWrite(ctx, w.opts.Reader, state.Placement, write.bucket.key, err)
	}
	w.opts.Lock.Lock()
	defer w.opts.Lock.Unlock()
	if write.forConsolidation {
		w.consolidating--
	}
	write.bucket.writeInFlight = false
	if known {
		write.bucket.version = version
	}
	if err != nil {
		w.handleFailure(write, err)
		if ctx.Err() == nil {
			time.AfterFunc(commitRetryDelay, w.opts.Wake)
		}
		return
	}
	w.handleSuccess(write)
	w.opts.Wake() // to record the placements that were made meanwhile
}

// handleSuccess updates the state after a write has succeeded.
func (w *Writer) handleSuccess(write *bucketWrite) {
	write.bucket.size = write.size
	for _, m := range write.consolidated {
		if m.bucket == write.bucket {
			w.releaseOtherRecords(m)
		}
	}
	for m, attempts := range write.attempts {
		for _, a := range attempts {
			a.Recorded, a.InBucket = true, a.InBucket || !write.journal
			a.Journal = ""
			if !a.InBucket {
				a.Journal = write.bucket.key
				write.bucket.journaled[m] = true
			}
		}
		w.scheduler.AttemptsRecorded(m)
	}
	for _, a := range write.fromJournal {
		a.Journal, a.InBucket = "", true
	}
}

// handleFailure updates the state after a write has failed.
func (w *Writer) handleFailure(write *bucketWrite, err error) {
	w.opts.Log.Debug("failed to record placements", "err", err)
	write.bucket.stale = true
	if write.deletes {
		// The table must contain the bucket for the deletion to be retried.
		w.buckets[write.bucket.key] = write.bucket
	}
	for m := range write.attempts {
		m.Dirty = true
	}
	w.limit.LowerIfRejected(err)
	var conflict *state.Conflict
	if !errors.As(err, &conflict) {
		return
	}
	for _, failed := range conflict.Failed {
		if id, ok := job.ActiveJobID(failed); ok {
			w.scheduler.DropUnsentAttempts(id, maps.Keys(write.attempts))
		}
	}
}
