package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// Done tasks are written often enough that a lost machine takes few results with
// it, and seldom enough that the ends of many tasks are one change: every
// leastFlushEvery where the state service allows flushWriteRPS changes a second,
// less often where it allows fewer, but at least every mostFlushEvery.
const (
	leastFlushEvery = 2 * time.Second
	mostFlushEvery  = 6 * time.Second
	flushWriteRPS   = 60
)

// flushPriority is that of writing done tasks. They are few changes for many tasks,
// and a takeover runs again what they do not name: as what nobody waits for, behind
// submissions in a burst, they were a minute late.
const flushPriority = state.Safety

// flushEvery is how often done tasks are written.
func (s *Scheduler) flushEvery() time.Duration {
	slower := flushWriteRPS / max(s.opts.Settings.StateWriteRPS, 1)
	return min(max(leastFlushEvery, time.Duration(slower*float64(leastFlushEvery))), mostFlushEvery)
}

// doneBucketLimit is how many bytes the entries of a bucket of done tasks may come
// to, unless there is only one.
func (s *Scheduler) doneBucketLimit() int { return s.valueLimit() * 3 / 4 }

// doneKey names the n-th bucket of done tasks of the share.
func (s *Scheduler) doneKey(n uint64) string {
	return job.DoneBucketKey(s.opts.Node, s.epoch.Members[s.opts.Node].Since, n)
}

// takeDoneBucketLocked takes over what an owner that has gone left, for the jobs
// that are still active.
func (s *Scheduler) takeDoneBucketLocked(written *job.DoneBucket) {
	for _, bucket := range s.done.adopt(written, s.opts.Jobs.Active) {
		for id, chunks := range bucket.jobs {
			js := s.jobs[id]
			for chunk := range chunks {
				if js != nil && js.doneBuckets[chunk] == nil {
					js.doneBuckets[chunk] = bucket
				}
			}
		}
	}
}

// doneBucketWrite is one write of a bucket.
type doneBucketWrite struct {
	bucket  *doneBucket
	write   state.Write
	entries []doneBucketEntry
}

type doneBucketEntry struct {
	js       *jobState
	chunk    int
	attempts []*fleet.Attempt // that wait for it
}

// flushLocked writes the done tasks of jobs that go on.
func (s *Scheduler) flushLocked(now time.Time) {
	if !s.loaded || !s.currentLocked() || now.Sub(s.done.flushed) < s.flushEvery() {
		return
	}
	s.done.flushed = now
	due := map[*doneBucket]*doneBucketWrite{}
	for _, js := range s.jobs {
		if !js.finishing {
			s.flushJobLocked(js, due)
		}
	}
	s.done.retire()
	for _, bucket := range s.done.takeIdle() {
		if due[bucket] == nil {
			due[bucket] = &doneBucketWrite{bucket: bucket}
		}
	}
	for _, dw := range due {
		s.putDoneBucketLocked(dw)
	}
}

// flushJobLocked puts the job's done tasks on buckets, and those buckets among the ones
// to write.
func (s *Scheduler) flushJobLocked(js *jobState, due map[*doneBucket]*doneBucketWrite) {
	for chunk := range js.dirty {
		bucket := js.doneBuckets[chunk]
		if !s.done.holds(bucket) {
			bucket = s.done.withRoom(job.EntrySize(js.rec.Job.Tasks, chunk))
			js.doneBuckets[chunk] = bucket
		}
		if bucket.committing {
			continue
		}
		bucket.put(js.rec.Job.ID, chunk, js.done.Block(chunk))
		if due[bucket] == nil {
			due[bucket] = &doneBucketWrite{bucket: bucket}
		}
		due[bucket].entries = append(due[bucket].entries, doneBucketEntry{js: js, chunk: chunk, attempts: js.awaiting[chunk]})
		delete(js.awaiting, chunk)
		delete(js.dirty, chunk)
	}
}

// putDoneBucketLocked writes a bucket, or removes one that holds nothing any more.
func (s *Scheduler) putDoneBucketLocked(dw *doneBucketWrite) {
	bucket := dw.bucket
	write := state.Write{Priority: flushPriority, Persist: true, If: []wire.Condition{{Key: bucket.key, Version: bucket.version}}}
	if len(bucket.jobs) == 0 {
		guard, err := s.cleanupGuard()
		if err != nil {
			s.done.buckets[bucket.key] = bucket // removed later
			return
		}
		write.Then = []wire.Change{{Delete: bucket.key}}
		write = guard.Bind(write)
	} else {
		value, err := json.Marshal(job.DoneBucket{Jobs: bucket.jobs, Write: s.markLocked()})
		if err != nil {
			s.log.Error("encoding done tasks", "key", bucket.key, "err", err)
		}
		write.Then = []wire.Change{{Put: bucket.key, Value: value}}
	}
	bucket.committing = true
	dw.write = s.fenceLocked().Bind(write)
	s.goDo(func(ctx context.Context) { s.writeDoneBucket(ctx, dw) })
}

func (s *Scheduler) writeDoneBucket(ctx context.Context, dw *doneBucketWrite) {
	version, err := s.opts.Committer.Commit(ctx, dw.write)
	known := err == nil
	if err != nil {
		version, known = s.reread(ctx, flushPriority, dw.bucket.key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	dw.bucket.committing = false
	if known {
		dw.bucket.version = version
	}
	if err != nil {
		if len(dw.bucket.jobs) == 0 && dw.bucket.version > 0 && s.done.buckets[dw.bucket.key] == nil {
			s.done.buckets[dw.bucket.key] = dw.bucket // else it would stay in the store for ever
		}
		s.log.Debug("writing done tasks failed", "key", dw.bucket.key, "err", err)
		s.noteRejectedLocked(err)
	}
	for _, e := range dw.entries {
		if err != nil {
			e.js.awaiting[e.chunk] = append(e.js.awaiting[e.chunk], e.attempts...)
			e.js.dirty[e.chunk] = true
			continue
		}
		for _, a := range e.attempts {
			a.Handled = true
		}
	}
}

// finishLocked writes a job's end once all its tasks are done.
func (s *Scheduler) finishLocked(js *jobState) {
	if js.finishing || js.service() || js.done.Count < js.rec.Job.Tasks {
		return
	}
	js.finishing = true
	since := time.Now()
	s.goDo(func(ctx context.Context) {
		for s.finish(ctx, js, since) {
		}
	})
}

// finish returns false when nothing is left to do. However often the epoch changes,
// the end keeps its place among those that wait to be written.
func (s *Scheduler) finish(ctx context.Context, js *jobState, since time.Time) bool {
	s.mu.Lock()
	id, fence := js.rec.Job.ID, s.fenceLocked()
	fence.Since = since
	mine := s.jobs[id] == js && ctx.Err() == nil
	s.mu.Unlock()
	if !mine {
		return false
	}
	err := s.opts.Jobs.Finish(ctx, js.rec, fence)
	var conflict *state.Conflict
	if errors.As(err, &conflict) && conflict.Includes(js.rec.Condition().Key) {
		s.log.Debug("writing the end of a job failed", "job", id, "err", err)
		s.mu.Lock()
		s.resolveLocked(id)
		s.mu.Unlock()
	}
	return err != nil && wait.Sleep(ctx, 300*time.Millisecond)
}
