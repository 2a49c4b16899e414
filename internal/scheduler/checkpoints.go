package scheduler

import (
	"iter"
	"time"

	"heronwick/internal/checkpoint"
	"heronwick/internal/job"
	"heronwick/internal/quota"
)

// newCheckpointWriter returns the Writer that records which attempts may be on the
// scheduler's machines. It shares the scheduler's lock.
func (s *Scheduler) newCheckpointWriter() *checkpoint.Writer {
	return checkpoint.NewWriter(checkpoint.Options{
		Node: s.opts.Node, Settings: s.opts.Settings, Limit: s.valueLimit, TxnLimits: s.opts.TxnLimits,
		Scheduler: checkpointScheduler{recordWriter{s}}, Lock: &s.mu,
		Committer: s.opts.Committer, Reader: s.opts.Records,
		Go: s.spawn, Wake: s.wakeLoop, Log: s.log,
	})
}

// recordPlacementsLocked writes new placements to the store.
func (s *Scheduler) recordPlacementsLocked() {
	if !s.currentLocked() {
		return // the write would fail, and failed writes count against the write limit too
	}
	var pending []*checkpoint.Machine
	for _, m := range s.machines {
		if !m.returning && m.record.Pending() {
			pending = append(pending, &m.record)
		}
	}
	s.checkpoints.Commit(pending)
}

// rewriteBucketsInterval is how often outdated records are removed from the buckets.
// Nothing waits for that.
const rewriteBucketsInterval = 10 * time.Second

// rewriteStaleBucketsLocked removes from the store the records of machines that the
// scheduler no longer owns.
func (s *Scheduler) rewriteStaleBucketsLocked(now time.Time) {
	if s.loaded && s.currentLocked() {
		s.checkpoints.RewriteStaleBuckets(now)
	}
}

// checkpointScheduler implements checkpoint.Scheduler, the scheduler as seen by the
// Writer of machine records.
type checkpointScheduler struct{ recordWriter }

// owned returns the scheduler's machine that m is part of, or nil if the scheduler no
// longer owns it.
func (s checkpointScheduler) owned(m *checkpoint.Machine) *machine {
	if owned := s.machines[m.Name]; owned != nil && &owned.record == m {
		return owned
	}
	return nil
}

// Machines implements checkpoint.Scheduler.
func (s checkpointScheduler) Machines() iter.Seq[*checkpoint.Machine] {
	return machineParts(s.Scheduler, func(m *machine) *checkpoint.Machine { return &m.record })
}

// MachineCount implements checkpoint.Scheduler.
func (s checkpointScheduler) MachineCount() int { return len(s.machines) }

// Owns implements checkpoint.Scheduler.
func (s checkpointScheduler) Owns(m *checkpoint.Machine) bool { return s.owned(m) != nil }

// Returning implements checkpoint.Scheduler.
func (s checkpointScheduler) Returning(m *checkpoint.Machine) bool {
	owned := s.owned(m)
	return owned != nil && owned.returning
}

// MemberSince implements checkpoint.Scheduler.
func (s checkpointScheduler) MemberSince() uint64 { return s.epoch.Members[s.opts.Node].Since }

// Job implements checkpoint.Scheduler.
func (s checkpointScheduler) Job(id string) *job.Record {
	if queued := s.jobOf(id); queued != nil {
		return queued.Record
	}
	return nil
}

// DropStaleHostedAttempts implements checkpoint.Scheduler.
func (s checkpointScheduler) DropStaleHostedAttempts(m *checkpoint.Machine) {
	if owned := s.owned(m); owned != nil {
		s.dropStaleHostedLocked(owned)
	}
}

// AttemptsRecorded implements checkpoint.Scheduler.
func (s checkpointScheduler) AttemptsRecorded(m *checkpoint.Machine) {
	if owned := s.owned(m); owned != nil {
		s.sendStartsLocked(owned)
	}
}

// DropUnsentAttempts implements checkpoint.Scheduler.
func (s checkpointScheduler) DropUnsentAttempts(id string, machines iter.Seq[*checkpoint.Machine]) {
	for m := range machines {
		for _, a := range m.Attempts.All() {
			if a.Job == id && a.NeverSent() {
				m.Attempts.Delete(a.Key)
				s.uncountAttemptLocked(a, quota.NeverSent)
			}
		}
		if owned := s.owned(m); owned != nil {
			s.updateOpenLocked(owned)
		}
	}
	if queued := s.jobOf(id); queued != nil {
		queued.NotBefore = time.Now().Add(time.Second)
	}
	s.resolveJobLocked(id)
}
