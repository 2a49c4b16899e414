package scheduler

import (
	"context"
	"errors"
	"iter"
	"time"

	"heronwick/internal/completion"
	"heronwick/internal/job"
	"heronwick/internal/queue"
	"heronwick/internal/state"
	"heronwick/internal/wait"
)

// completionScheduler implements completion.Scheduler.
type completionScheduler struct{ recordWriter }

// Lock implements completion.Scheduler.
func (s completionScheduler) Lock() { s.mu.Lock() }

// Unlock implements completion.Scheduler.
func (s completionScheduler) Unlock() { s.mu.Unlock() }

// Go implements completion.Scheduler.
func (s completionScheduler) Go(work func(ctx context.Context)) { s.spawn(work) }

// BucketKey implements completion.Scheduler.
func (s completionScheduler) BucketKey(n uint64) string {
	return job.DoneBucketKey(s.opts.Node, s.epoch.Members[s.opts.Node].Since, n)
}

// ValueLimit implements completion.Scheduler.
func (s completionScheduler) ValueLimit() int { return s.valueLimit.Bytes() }

// Commit implements completion.Scheduler.
func (s completionScheduler) Commit(ctx context.Context, key string, write state.Write) (completion.CommitResult, error) {
	version, err := s.opts.Committer.Commit(ctx, write)
	if err == nil {
		return completion.CommitResult{Version: version, Known: true}, nil
	}
	version, known := state.VersionAfterFailedWrite(ctx, s.opts.Records, write.Priority, key, err)
	return completion.CommitResult{Version: version, Known: known}, err
}

// LowerLimitIfRejected implements completion.Scheduler.
func (s completionScheduler) LowerLimitIfRejected(err error) { s.valueLimit.LowerIfRejected(err) }

// completionOf returns which tasks of a job are done, or nil if it is not one of this
// scheduler's own jobs.
func (s *Scheduler) completionOf(id string) *completion.Job {
	if queued := s.jobs[id]; queued != nil {
		return queued.Done
	}
	return nil
}

// flushDoneTasksLocked writes the done tasks of unfinished jobs if a flush is due.
func (s *Scheduler) flushDoneTasksLocked(now time.Time) {
	if s.loaded && s.currentLocked() && s.completions.FlushDue(now) {
		s.completions.Flush(now, s.unfinishedLocked())
	}
}

// unfinishedLocked yields the jobs whose end is not being written.
func (s *Scheduler) unfinishedLocked() iter.Seq[*completion.Job] {
	return func(yield func(*completion.Job) bool) {
		for _, queued := range s.jobs {
			if !queued.Finishing && !yield(queued.Done) {
				return
			}
		}
	}
}

// finishLocked starts writing a job's end once all its tasks are done.
func (s *Scheduler) finishLocked(queued *queue.Job) {
	if queued.Finishing || queued.IsService() || queued.Done.Count < queued.Record.Job.Tasks {
		return
	}
	queued.Finishing = true
	since := time.Now()
	s.spawn(func(ctx context.Context) {
		for s.tryFinish(ctx, queued, since) {
		}
	})
}

// tryFinish writes a job's end once, and reports whether that must be retried. All
// retries count as queued since the first one, so that the write keeps its position
// among those that wait for the store even if the epoch changes meanwhile.
func (s *Scheduler) tryFinish(ctx context.Context, queued *queue.Job, since time.Time) bool {
	s.mu.Lock()
	id, fence := queued.Record.Job.ID, s.fenceLocked()
	fence.QueuedAt = since
	owned := s.jobs[id] == queued && ctx.Err() == nil
	s.mu.Unlock()
	if !owned {
		return false
	}
	err := s.opts.Jobs.Finish(ctx, queued.Record, fence)
	var conflict *state.Conflict
	if errors.As(err, &conflict) && conflict.Includes(queued.Record.Condition().Key) {
		s.log.Debug("failed to write the end of a job", "job", id, "err", err)
		s.mu.Lock()
		s.resolveJobLocked(id)
		s.mu.Unlock()
	}
	return err != nil && wait.Sleep(ctx, 300*time.Millisecond)
}
