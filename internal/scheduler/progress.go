package scheduler

import (
	"time"

	"heronwick/internal/job"
	"heronwick/wire"
)

const (
	// progressRepeatDuration is how long a change of progress is sent repeatedly, in
	// case a message is lost.
	progressRepeatDuration = 3 * time.Second
	// fullProgressInterval is how often the progress of all jobs is sent. Without it, a
	// controller that has started since would show a job as queued until its progress
	// changes.
	fullProgressInterval = 20 * time.Second
)

// Progress returns, by job ID, the progress of jobs where it has changed recently, and
// every fullProgressInterval that of all jobs. It is for display only.
func (s *Scheduler) Progress() map[string]job.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	running := s.runningTasksLocked()
	changed := map[string]job.Progress{}
	if now.Sub(s.fullProgressAt) >= fullProgressInterval {
		s.fullProgressAt = now
	}
	all := now.Sub(s.fullProgressAt) < progressRepeatDuration
	for id, queued := range s.jobs {
		progress := job.Progress{Done: queued.Done.Count, Running: running[id]}
		if progress != queued.ReportedProgress {
			queued.ReportedProgress, queued.ProgressChangedAt = progress, now
		}
		if all || now.Sub(queued.ProgressChangedAt) < progressRepeatDuration {
			changed[id] = progress
		}
	}
	return changed
}

// runningTasksLocked counts the running tasks by job: own and hosted ones on this
// scheduler's machines, and own ones on other schedulers' machines.
func (s *Scheduler) runningTasksLocked() map[string]int {
	running := map[string]int{}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if a.State == wire.TaskRunning {
				running[a.Job]++
			}
		}
	}
	for a := range s.remoteAttempts.All() {
		if a.State == wire.TaskRunning {
			running[a.Job]++
		}
	}
	return running
}
