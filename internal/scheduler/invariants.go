package scheduler

import (
	"sync/atomic"

	"heronwick/internal/fleet"
)

// Violations counts the violated invariants that a controller has noticed since it started.
// The zero value is ready to use, and the methods may be called on nil.
type Violations struct{ count atomic.Int64 }

// Count returns the number of violated invariants.
func (v *Violations) Count() int64 {
	if v == nil {
		return 0
	}
	return v.count.Load()
}

func (v *Violations) add() {
	if v != nil {
		v.count.Add(1)
	}
}

// checkFoundLocked checks that an attempt that a heartbeat shows unexpectedly is the only one of
// its task. If another one may be on a machine, one of the two was taken for gone or has been
// started by a late command; adoptAttemptLocked then stops the one that was found.
func (s *Scheduler) checkFoundLocked(m *machine, a *fleet.Attempt) {
	queued := s.jobs[a.Job]
	if a.Exited() || !s.synced(m) || queued == nil || s.remoteAttempts.Get(a.Key) != nil || !queued.HasAttempt(a.Index) {
		return
	}
	s.opts.Violations.add()
	s.log.Error("invariant violated: a task has another attempt", "task", a.Task, "attempt", a.Attempt, "machine", m.Name,
		"state", a.State, "incarnation", m.Incarnation, "seq", m.Seq, "worker_token", m.FencingToken,
		"token", s.epoch.Token, "leader", s.epoch.Leader, "restart_pending", m.RestartPending())
}
