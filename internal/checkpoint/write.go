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

// bucketWrite is one write of a bucket or a journal.
type bucketWrite struct {
	write  state.Write
	bucket *Bucket
	size   int // bytes that the bucket then holds
	// consolidates: it only gathers what is recorded already.
	consolidates bool
	journal      bool
	removes      bool                          // the bucket, which holds nothing any more
	jobs         map[string]bool               // whose being active it is conditional on
	attempts     map[*Machine][]*fleet.Attempt // that it records for the first time
	moved        []*fleet.Attempt              // that only the journal held
	gathered     []*Machine                    // with records left over on other buckets
}

func (w *Writer) newWrite(priority state.Priority) *bucketWrite {
	return &bucketWrite{attempts: map[*Machine][]*fleet.Attempt{}, jobs: map[string]bool{},
		write: w.scheduler.Fence().Bind(state.Write{Priority: priority, Persist: true})}
}

// admits tells whether the write can record an attempt, and makes it
// conditional on the attempt's job being active, so that nothing is placed for
// one cancelled a moment ago. A write takes half of the conditions that a
// transaction can have: the rest is for others' writes beside it. What finds
// no place goes with the next write.
func (w *Writer) admits(bw *bucketWrite, a *fleet.Attempt) bool {
	if a.Durable || bw.jobs[a.Job] {
		return true
	}
	r := w.scheduler.Job(a.Job)
	if r == nil {
		return true
	}
	if len(bw.jobs) >= max(1, 2*w.opts.Settings.TxnOps) {
		return false
	}
	bw.jobs[a.Job] = true
	bw.write.If = append(bw.write.If, r.Condition())
	return true
}

// records notes that the write records an attempt for the first time.
func (bw *bucketWrite) records(m *Machine, a *fleet.Attempt) {
	bw.attempts[m] = append(bw.attempts[m], a)
}

// put makes the write one of a bucket.
func (bw *bucketWrite) put(b *Bucket, value json.RawMessage) {
	b.committing, b.untidy, b.written = true, false, time.Now()
	bw.bucket, bw.size = b, len(value)
	bw.write.If = append(bw.write.If, wire.Condition{Key: b.key, Version: b.version})
	bw.write.Then = append(bw.write.Then, wire.Change{Put: b.key, Value: value})
}

// delete makes the write one that removes a bucket, by the right to.
func (bw *bucketWrite) delete(b *Bucket, guard duty.Guard) {
	b.committing = true
	bw.bucket, bw.removes = b, true
	bw.write.If = append(bw.write.If, wire.Condition{Key: b.key, Version: b.version})
	bw.write.Then = append(bw.write.Then, wire.Change{Delete: b.key})
	bw.write = guard.Bind(bw.write)
}

// putBucket encodes a bucket and commits it.
func (w *Writer) putBucket(bw *bucketWrite, b *Bucket, content fleet.RecordBucket) {
	value, err := json.Marshal(content)
	if err != nil {
		w.opts.Log.Error("encoding machines' records", "key", b.key, "err", err)
		return
	}
	bw.put(b, value)
	w.start(bw)
}

// start commits a write without the lock.
func (w *Writer) start(bw *bucketWrite) {
	w.opts.Go(func(ctx context.Context) { w.commit(ctx, bw) })
}

// commitAgainAfter is how long what could not be recorded waits.
const commitAgainAfter = 100 * time.Millisecond

func (w *Writer) commit(ctx context.Context, bw *bucketWrite) {
	version, err := w.opts.Committer.Commit(ctx, bw.write)
	known := err == nil
	if err != nil {
		version, known = state.Reread(ctx, w.opts.Reader, state.Placement, bw.bucket.key, err)
	}
	w.opts.Lock.Lock()
	defer w.opts.Lock.Unlock()
	if bw.consolidates {
		w.consolidating--
	}
	bw.bucket.committing = false
	if known {
		bw.bucket.version = version
	}
	if err != nil {
		w.notRecorded(bw, err)
		if ctx.Err() == nil {
			time.AfterFunc(commitAgainAfter, w.opts.Wake)
		}
		return
	}
	w.recorded(bw)
	w.opts.Wake() // for what has gathered meanwhile
}

// recorded draws the consequences of a write that was made.
func (w *Writer) recorded(bw *bucketWrite) {
	bw.bucket.size = bw.size
	for _, m := range bw.gathered {
		if m.bucket == bw.bucket {
			w.consolidated(m)
		}
	}
	for m, attempts := range bw.attempts {
		for _, a := range attempts {
			a.Durable, a.InBucket = true, a.InBucket || !bw.journal
			a.Journal = ""
			if !a.InBucket {
				a.Journal = bw.bucket.key
				bw.bucket.journaled[m] = true
			}
		}
		w.scheduler.Recorded(m)
	}
	for _, a := range bw.moved {
		a.Journal, a.InBucket = "", true
	}
}

// notRecorded draws the consequences of a write that failed.
func (w *Writer) notRecorded(bw *bucketWrite, err error) {
	w.opts.Log.Debug("recording placements failed", "err", err)
	bw.bucket.untidy = true
	if bw.removes {
		// Else it would stay in the store for ever.
		w.buckets[bw.bucket.key] = bw.bucket
	}
	for m := range bw.attempts {
		m.Dirty = true
	}
	w.limit.NoteRejected(err)
	var conflict *state.Conflict
	if !errors.As(err, &conflict) {
		return
	}
	for _, failed := range conflict.Failed {
		if id, ok := job.IsActive(failed); ok {
			w.scheduler.DropUnsent(id, maps.Keys(bw.attempts))
		}
	}
}
