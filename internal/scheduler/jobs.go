package scheduler

import (
	"context"
	"time"

	"heronwick/internal/job"
	"heronwick/internal/queue"
	"heronwick/internal/quota"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// resolveRetryDelay is the pause between two attempts to read the state of a job from
// the store.
const resolveRetryDelay = 300 * time.Millisecond

// resolveJobLocked starts reading from the store whether a job that is not among the
// active ones has ended or is just not known here yet. It is called for jobs that may
// have tasks on machines.
func (s *Scheduler) resolveJobLocked(id string) {
	if s.resolvingJobs[id] {
		return
	}
	s.resolvingJobs[id] = true
	s.spawn(func(ctx context.Context) {
		for !s.resolveJob(ctx, id) {
			if !wait.Sleep(ctx, resolveRetryDelay) {
				return
			}
		}
	})
}

// resolveJob reads the state of a job from the store and handles its end. It returns
// false if the read failed.
func (s *Scheduler) resolveJob(ctx context.Context, id string) bool {
	resolution, err := s.opts.Jobs.Resolve(ctx, id)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.resolvingJobs, id)
	if resolution.Ended || !resolution.Found {
		// The job may have ended long ago, so its tasks must stop soon.
		s.endJobLocked(id, resolution.Outcome, time.Now().Add(s.opts.Settings.HeartbeatInterval*2))
	}
	return true
}

// jobOf returns the own or hosted job with the given ID, or nil if there is none.
func (s *Scheduler) jobOf(id string) *queue.Job {
	if queued := s.jobs[id]; queued != nil {
		return queued
	}
	return s.hostedJobs[id]
}

// JobAdded implements job.Listener.
func (s *Scheduler) JobAdded(record *job.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeLoop()
	if s.ownsJobLocked(&record.Job) && s.jobs[record.Job.ID] == nil {
		if !s.acceptedInEpochLocked(record) {
			// The previous owner may have placed tasks of it: the records must be read.
			s.epochChecked.Store(false)
			return
		}
		s.addJobLocked(record)
	}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if a.Job == record.Job.ID && !a.SizeKnown {
				s.adoptAttemptLocked(m, a)
				if a.Exited() && !a.ExitProcessed {
					s.handleAttemptExitLocked(m, a)
				}
			}
		}
	}
}

// addJobLocked adds one of this scheduler's own jobs to the queue.
func (s *Scheduler) addJobLocked(record *job.Record) *queue.Job {
	j := &record.Job
	queued := s.newJob(record)
	s.jobs[j.ID] = queued
	s.log.Debug("job queued", "job", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks, "cpus", j.CPUs,
		"image", j.Image, "estimate_s", j.EstimateS,
		"dependencies", j.Dependencies, "ready", queued.Ready, "rank", queued.EffectivePriority)
	return queued
}

// newJob returns the queue state of an own or hosted job.
func (s *Scheduler) newJob(record *job.Record) *queue.Job {
	queued := queue.NewJob(record, s.opts.Settings.Objectives, s.types)
	queued.SetReadiness(s.opts.Jobs.Readiness(record))
	return queued
}

// JobEnded implements job.Listener.
func (s *Scheduler) JobEnded(id string, outcome job.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endJobLocked(id, outcome, time.Now().Add(s.opts.Settings.CancelTimeout*3/4))
}

// endJobLocked removes a job that has ended and stops its tasks. stopBy is when the
// tasks must be gone, unless the job is done.
func (s *Scheduler) endJobLocked(id string, outcome job.Outcome, stopBy time.Time) {
	queued := s.jobs[id]
	if queued != nil {
		s.log.Debug("job ended", "job", id, "state", outcome.State, "elapsed", time.Since(queued.AcceptedAt))
		for a := range queued.Done.Unwritten() {
			a.ExitProcessed = true
		}
	}
	s.completions.RemoveJob(id)
	delete(s.jobs, id)
	delete(s.hostedJobs, id)
	s.stopTasksLocked(id, outcome, stopBy)
}

// stopTasksLocked stops all tasks of an ended job, including those that are still being
// started. stopBy is when they must be gone.
func (s *Scheduler) stopTasksLocked(id string, outcome job.Outcome, stopBy time.Time) {
	for _, m := range s.machines {
		s.stopTasksOnLocked(m, id, outcome, stopBy)
	}
	s.wakeLoop()
}

// stopTasksOnLocked stops the tasks of an ended job that are on one machine.
func (s *Scheduler) stopTasksOnLocked(m *machine, id string, outcome job.Outcome, stopBy time.Time) {
	if outcome.State == wire.JobDone {
		stopBy = time.Time{} // no time is promised for the tasks of a done job
	}
	touched := false
	for _, a := range m.Attempts.All() {
		if a.Job != id {
			continue
		}
		if a.Exited() {
			a.ExitProcessed = true
			continue
		}
		touched = true
		if a.NeverSent() {
			m.Attempts.Delete(a.Key)
			s.uncountAttemptLocked(a, quota.NeverSent)
			continue
		}
		a.Stop, a.GraceS, a.ExitDeadline = true, 0, stopBy
		if !a.SizeKnown {
			setOutcome(a, outcome)
			if s.ownsAttemptLocked(a) {
				s.countAttemptLocked(m.Zone, a)
			}
		}
	}
	if touched {
		s.updateOpenLocked(m)
		s.sendCommandsLocked(m)
	}
}
