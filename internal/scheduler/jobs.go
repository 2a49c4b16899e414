package scheduler

import (
	"context"
	"time"

	"heronwick/internal/job"
	"heronwick/internal/queue"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// resolveRetryDelay is how long after a failed look-up of a job the next one is.
const resolveRetryDelay = 300 * time.Millisecond

// resolveJobLocked looks up a job that is not among the active ones, since tasks
// of it may be on machines: it is over, or only not heard of yet.
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

// resolveJob returns false if the job could not be looked up.
func (s *Scheduler) resolveJob(ctx context.Context, id string) bool {
	resolution, err := s.opts.Jobs.Resolve(ctx, id)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.resolvingJobs, id)
	if resolution.Over || !resolution.Found {
		// When it ended is not known: perhaps long ago.
		s.endJobLocked(id, resolution.Outcome, time.Now().Add(s.opts.Settings.HeartbeatInterval*2))
	}
	return true
}

// jobOf returns one of the scheduler's own jobs or a hosted one, nil if there is
// neither.
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
			// Its owner before may have placed it, which the records tell.
			s.epochChecked.Store(false)
			return
		}
		s.addJobLocked(record)
	}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if a.Job == record.Job.ID && !a.Sized {
				s.adoptAttemptLocked(m, a)
				if a.Exited() && !a.Handled {
					s.handleAttemptExitLocked(m, a)
				}
			}
		}
	}
}

// addJobLocked queues one of the scheduler's own jobs.
func (s *Scheduler) addJobLocked(record *job.Record) *queue.Job {
	j := &record.Job
	queued := s.newJob(record)
	s.jobs[j.ID] = queued
	s.log.Debug("job queued", "job", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks, "cpus", j.CPUs,
		"image", j.Image, "estimate_s", j.EstimateS,
		"needs", j.Dependencies, "ready", queued.Ready, "rank", queued.EffectivePriority)
	return queued
}

// newJob returns the queue's state of a job, its own or a hosted one.
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

// endJobLocked forgets a job that is over and stops its tasks.
func (s *Scheduler) endJobLocked(id string, outcome job.Outcome, goneBy time.Time) {
	queued := s.jobs[id]
	if queued != nil {
		s.log.Debug("job over", "job", id, "state", outcome.State, "after", time.Since(queued.AcceptedAt))
		for a := range queued.Done.Unwritten() {
			a.Handled = true
		}
	}
	s.completions.RemoveJob(id)
	delete(s.jobs, id)
	delete(s.hostedJobs, id)
	s.stopTasksLocked(id, outcome, goneBy)
}

// stopTasksLocked stops every task of a job that is over, also those whose
// start may still be under way. goneBy is when they must surely be gone.
func (s *Scheduler) stopTasksLocked(id string, outcome job.Outcome, goneBy time.Time) {
	for _, m := range s.machines {
		s.stopTasksOnLocked(m, id, outcome, goneBy)
	}
	s.wakeLoop()
}

// stopTasksOnLocked stops those of the tasks that are on one machine.
func (s *Scheduler) stopTasksOnLocked(m *machine, id string, outcome job.Outcome, goneBy time.Time) {
	if outcome.State == wire.JobDone {
		goneBy = time.Time{} // its user relies on no time by which its tasks are gone
	}
	touched := false
	for _, a := range m.Attempts.All() {
		if a.Job != id {
			continue
		}
		if a.Exited() {
			a.Handled = true
			continue
		}
		touched = true
		if a.NeverSent() {
			m.Attempts.Delete(a.Key)
			s.uncountAttemptLocked(a)
			continue
		}
		a.Stop, a.GraceS, a.MustGoBy = true, 0, goneBy
		if !a.Sized {
			a.Team, a.Size, a.Sized = outcome.Team, outcomeTaskSize(outcome), true
			if s.epoch.OwnerOf(outcome.Team, id) == s.opts.Node {
				s.countAttemptLocked(m.Zone, a)
			}
		}
	}
	if touched {
		s.updateOpenLocked(m)
		s.sendCommandsLocked(m)
	}
}
