package scheduler

import (
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/queue"
	"heronwick/internal/quota"
	"heronwick/wire"
)

// adoptAttemptLocked takes over an attempt on one of this scheduler's machines that was
// read from a record or that a heartbeat shows unexpectedly.
func (s *Scheduler) adoptAttemptLocked(m *machine, a *fleet.Attempt) {
	queued := s.jobs[a.Job]
	if queued == nil {
		record := s.opts.Jobs.Active(a.Job)
		if record == nil || s.ownsJobLocked(&record.Job) {
			s.resolveJobLocked(a.Job)
			return
		}
		a.SetJobDetails(&record.Job, s.effectivePriorityOf(record))
		a.Hosted = true
		s.updateOpenLocked(m)
		return
	}
	a.Hosted = false
	if earlier := s.remoteAttempts.Get(a.Key); earlier != nil {
		s.untrackRemoteLocked(earlier, quota.OnOwnMachine) // the machine belonged to another scheduler before
	}
	a.SetJobDetails(&queued.Record.Job, queued.EffectivePriority)
	if a.Exited() {
		return
	}
	if a.Index >= queued.Record.Job.Tasks || queued.Done.Has(a.Index) || queued.HasAttempt(a.Index) {
		// The job has no such task, the task is done, or another attempt of it may be
		// running: stop this one.
		a.Stop = true
	}
	s.countAttemptLocked(m.Zone, a)
	s.updateOpenLocked(m)
}

const (
	// refusedMachineDelay is how long nothing is placed on a machine after its worker
	// has refused to start a task.
	refusedMachineDelay = time.Second
	// refusedStartDelay is how long no task of a job is placed after a worker has
	// refused to start one.
	refusedStartDelay = 500 * time.Millisecond
)

// handleAttemptExitLocked handles the exit of an own or hosted attempt on one of this
// scheduler's machines: first its consequences for the machine, then those for the job.
func (s *Scheduler) handleAttemptExitLocked(m *machine, a *fleet.Attempt) {
	now := time.Now()
	s.log.Debug("task exited", "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "reason", a.ExitReason, "since_placed", now.Sub(a.PlacedAt))
	if a.ExitReason == wire.ExitError {
		s.handleTaskFailureLocked(m, s.jobOf(a.Job), a, now)
	}
	if a.ExitReason == wire.ExitDone {
		clear(m.failedJobs)
		if queued := s.jobOf(a.Job); queued != nil {
			queued.Succeeded = true
		}
	}
	if a.ExitReason == wire.ExitNoCapacity || a.ExitReason == wire.ExitBusy {
		m.placeNotBefore = now.Add(refusedMachineDelay)
	}
	s.applyAttemptExitLocked(a, now)
}

// applyAttemptExitLocked updates the job of an exited attempt, whether that was on one
// of this scheduler's machines or on a remote one.
func (s *Scheduler) applyAttemptExitLocked(a *fleet.Attempt, now time.Time) {
	queued := s.jobs[a.Job]
	if queued == nil {
		// The owner of a hosted job settles the attempt and decides what follows. If the
		// job has ended, nothing follows.
		a.ExitProcessed = !a.Hosted
		s.uncountAttemptLocked(a, quota.Exited)
		return
	}
	if a.ExitReason == wire.ExitDone && !a.Service {
		s.markTaskDoneLocked(queued, a)
		return
	}
	a.ExitProcessed = true
	switch a.ExitReason {
	case wire.ExitStopped, wire.ExitDone, wire.ExitError, wire.ExitPeerLost, wire.ExitGangIncomplete:
	default:
		s.log.Info("worker refused to start a task", "task", a.Task, "attempt", a.Attempt, "reason", a.ExitReason)
		queued.NotBefore = now.Add(refusedStartDelay)
	}
	s.uncountAttemptLocked(a, quota.Exited)
}

// markTaskDoneLocked records that the task of an attempt is done.
func (s *Scheduler) markTaskDoneLocked(queued *queue.Job, a *fleet.Attempt) {
	queued.Succeeded = true
	queued.Done.Complete(a)
	s.uncountAttemptLocked(a, quota.Exited)
	s.stopDuplicatesLocked(a)
	s.finishLocked(queued)
}

// stopDuplicatesLocked stops the other attempts of a task that is done.
func (s *Scheduler) stopDuplicatesLocked(done *fleet.Attempt) {
	queued := s.jobs[done.Job]
	if queued == nil || !queued.HasAttempt(done.Index) {
		return
	}
	for _, m := range s.machines {
		for _, a := range m.Attempts.All() {
			if a.Task == done.Task && a != done && !a.Exited() {
				a.Stop = true
				s.sendCommandsLocked(m)
			}
		}
	}
}

// quarantineThreshold is how many jobs must have failed on a machine, without failing on
// other machines too, for it to be quarantined.
const quarantineThreshold = 2

// handleTaskFailureLocked decides whether a failure is due to the machine or to the job.
// A machine is quarantined if several jobs fail on it that do not fail elsewhere. A job
// that fails on several machines and succeeds on none is retried with increasing delays.
func (s *Scheduler) handleTaskFailureLocked(m *machine, queued *queue.Job, a *fleet.Attempt, now time.Time) {
	s.log.Info("task failed", "task", a.Task, "attempt", a.Attempt, "machine", m.Name)
	if queued == nil {
		return
	}
	queued.AddFailure(m.Name, now)
	m.failedJobs[a.Job] = true
	failedOnlyHere := 0
	for id := range m.failedJobs {
		if other := s.jobOf(id); other != nil && !other.FailsEverywhere() {
			failedOnlyHere++
		}
	}
	if failedOnlyHere >= quarantineThreshold && !m.quarantined {
		m.quarantined = true
		s.log.Info("machine set aside: jobs fail on it that do not fail elsewhere", "machine", m.Name)
	}
}

// ensureAttemptNumbersLocked reports whether enough attempt numbers are left under the
// fencing token to place tasks. It increments the token when few are left.
func (s *Scheduler) ensureAttemptNumbersLocked(now time.Time) bool {
	left := s.attemptNumbers.Remaining(s.epoch.Token)
	if left < fleet.LowAttemptNumbers {
		s.incrementTokenLocked(now)
	}
	return left >= fleet.MinAttemptNumbers
}

// newAttempt returns an attempt of a job's task with an unused attempt number.
func (s *Scheduler) newAttempt(queued *queue.Job, index int) *fleet.Attempt {
	j := &queued.Record.Job
	a := &fleet.Attempt{Key: fleet.Key{Task: wire.TaskID(j.ID, index), Attempt: s.attemptNumbers.Next(s.epoch.Token)}, Job: j.ID, Index: index}
	a.SetJobDetails(j, queued.EffectivePriority)
	return a
}
