package scheduler

import (
	"heronwick/internal/fleet"
	"heronwick/internal/quota"
)

// reserveLocked counts a new attempt, which is about to be placed on a machine in the zone, in
// the usage of its team and among the attempts of its job. It returns false, and counts
// nothing, if the attempt may not start because of its team's limit.
func (s *Scheduler) reserveLocked(zone string, a *fleet.Attempt) bool {
	if s.teams.Reserve(a.Key, a.Team, a.Job, a.Size) != quota.Granted {
		return false
	}
	s.markCountedLocked(zone, a)
	return true
}

// countAttemptLocked counts an attempt that may already be on a machine in the zone, whatever
// the limit of its team is.
func (s *Scheduler) countAttemptLocked(zone string, a *fleet.Attempt) {
	if a.CountedInUsage {
		return
	}
	if earlier := s.remoteAttempts.Get(a.Key); earlier != nil && earlier.Attempt != a {
		s.untrackRemoteLocked(earlier, quota.OnOwnMachine) // the machine belonged to another scheduler before
	}
	s.teams.Count(a.Key, a.Team, a.Size)
	s.markCountedLocked(zone, a)
}

// markCountedLocked records that the ledger holds an attempt on a machine in the zone.
func (s *Scheduler) markCountedLocked(zone string, a *fleet.Attempt) {
	a.CountedInUsage, a.Zone = true, zone
	if queued := s.jobs[a.Job]; queued != nil {
		queued.AttemptAdded(a.Index, a.Zone)
	}
}

// uncountAttemptLocked no longer counts an attempt, and wakes the scheduler. The task is
// queued again unless it is done or another attempt of it may be on a machine.
func (s *Scheduler) uncountAttemptLocked(a *fleet.Attempt, evidence quota.Evidence) {
	s.uncountWithoutWakeLocked(a, evidence)
	s.wakeLoop()
}

// uncountWithoutWakeLocked is uncountAttemptLocked without waking the scheduler.
func (s *Scheduler) uncountWithoutWakeLocked(a *fleet.Attempt, evidence quota.Evidence) {
	if !a.CountedInUsage {
		return
	}
	a.CountedInUsage = false
	s.teams.Release(a.Key, a.Team, evidence)
	if queued := s.jobs[a.Job]; queued != nil {
		queued.AttemptRemoved(a.Index, a.Zone)
	}
}
