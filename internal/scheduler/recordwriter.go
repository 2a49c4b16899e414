package scheduler

import (
	"fmt"

	"heronwick/internal/duty"
	"heronwick/internal/state"
)

// recordWriter implements the methods common to checkpoint.Scheduler and
// completion.Scheduler: the permissions under which the scheduler's records are
// written and removed.
type recordWriter struct{ *Scheduler }

// Fence implements checkpoint.Scheduler and completion.Scheduler.
func (s recordWriter) Fence() state.FencingCondition { return s.fenceLocked() }

// UniqueWriteID implements checkpoint.Scheduler and completion.Scheduler.
func (s recordWriter) UniqueWriteID() string { return s.uniqueWriteIDLocked() }

// CleanupGuard implements checkpoint.Scheduler and completion.Scheduler.
func (s recordWriter) CleanupGuard() (duty.Guard, error) { return s.recordCleanupGuard() }

// uniqueWriteIDLocked returns a string that is unique to one write.
func (s *Scheduler) uniqueWriteIDLocked() string {
	s.lastSerial++ // never repeats under this token
	return fmt.Sprintf("%s-%d-%d", s.opts.Node, s.epoch.Token, s.lastSerial)
}

// recordCleanupDuty returns the duty of removing this scheduler's records.
func (s *Scheduler) recordCleanupDuty() duty.ID {
	return duty.ID{Name: duty.Cleanup, Scope: duty.Shard(s.opts.Node)}
}

// recordCleanupGuard returns the guard for removing this scheduler's records.
func (s *Scheduler) recordCleanupGuard() (duty.Guard, error) {
	return s.opts.Actions.Guard(s.recordCleanupDuty())
}
