package scheduler

import (
	"time"

	"heronwick/internal/job"
	"heronwick/wire"
)

const (
	// progressRepeatDuration is how long a change of progress is sent, so that a lost
	// message does not hide it.
	progressRepeatDuration = 3 * time.Second
	// fullProgressInterval is how often that of all jobs is sent: to a controller that
	// has started since, a job whose progress does not change would stay queued.
	fullProgressInterval = 20 * time.Second
)

// Progress returns how far the jobs are whose progress has changed lately, and
// now and then of all, by job ID. It is for display only.
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

// runningTasksLocked counts the tasks that run, by job: own and hosted ones here,
// own ones at other schedulers.
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
