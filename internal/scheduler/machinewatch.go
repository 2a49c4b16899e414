package scheduler

import (
	"iter"
	"time"

	"heronwick/internal/autoscale"
	"heronwick/internal/detector"
)

const (
	// electionSettleTime is how long after an election workers still send heartbeats to
	// controllers other than the leader, even workers that the leader reaches.
	electionSettleTime = 10 * time.Second
	// overdueMargin is how long before the deadline of a cancelled task its machine is
	// returned, if no lease expiry will prove the task gone in time.
	overdueMargin = 3 * time.Second
)

// workersLocked returns a sequence of the workers of the scheduler's machines.
func (s *Scheduler) workersLocked() iter.Seq[*detector.Worker] {
	return machineParts(s, func(m *machine) *detector.Worker { return &m.Worker })
}

// watchMachinesLocked probes silent workers, settles the attempts of workers whose
// leases have expired, returns failed machines, drains machines that are about to be
// taken away or whose heartbeats are missing, and increments the fencing token for workers
// that have restarted.
func (s *Scheduler) watchMachinesLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	assessment := s.detector.Assess(s.workersLocked(), now, s.detector.Busy(time.Now()))
	s.resignIfPartitionedLocked(assessment, now)
	increment := false
	token := s.opts.Authority.Token()
	returned := map[autoscale.ReturnReason][]*machine{}
	for _, m := range s.machines {
		s.probeIfDueLocked(m, now)
		s.settleDoubtLocked(m, now)
		s.fenceRestartLocked(m, token)
		s.expireLeaseIfDueLocked(m, now)
		if reason := s.returnReasonLocked(m, assessment, now); reason != autoscale.ReasonNone {
			returned[reason] = append(returned[reason], m)
		}
		if !m.ReclaimAt.IsZero() || assessment.HeartbeatsMissing(&m.Worker) {
			s.drainLocked(m)
		}
		increment = increment || m.NeedsHigherFencingToken(token)
	}
	for reason, machines := range returned {
		s.returnLocked(machines, reason)
	}
	if increment {
		s.incrementTokenLocked(now)
	}
}

// resignIfPartitionedLocked gives up leadership if the workers that this controller
// cannot reach send their heartbeats to another controller. Soon after an election
// all workers still do that, so then it resigns only if more workers send their
// heartbeats there than it reaches. Without this rule, when many machines had failed
// permanently, one leader after the other resigned and none led for long enough to
// detect that.
func (s *Scheduler) resignIfPartitionedLocked(assessment *detector.Assessment, now time.Time) {
	if !s.detector.Partitioned() || !s.leadsLocked() || now.Sub(s.resignedAt) <= electionSettleTime {
		return
	}
	workersAtPeers := s.opts.WorkersAtPeers()
	settled := now.Sub(s.leaderSince) > electionSettleTime && workersAtPeers > len(s.machines)/3
	if settled || workersAtPeers > assessment.Reachable {
		s.resignedAt = now
		s.spawn(s.opts.Resign)
	}
}

// expireLeaseIfDueLocked settles the attempts on a machine once the lease of its
// silent worker has provably expired.
func (s *Scheduler) expireLeaseIfDueLocked(m *machine, now time.Time) {
	if m.ActiveCount() == 0 || !s.detector.Suspected(&m.Worker, now) {
		return
	}
	if expiry, ok := s.leaseExpiryLocked(m); ok && !now.Before(expiry) {
		tasks := m.ActiveCount()
		if events := m.MarkLeaseExpired(); len(events) > 0 {
			s.log.Info("lease expired", "machine", m.Name, "tasks", tasks, "left", m.ActiveCount())
			s.handleEventsLocked(m, events)
		}
	}
}

// leaseExpiryLocked returns the time by which the lease of the machine's worker has
// certainly expired. ok is false if another controller may still answer the worker.
func (s *Scheduler) leaseExpiryLocked(m *machine) (expiry time.Time, ok bool) {
	var fencedAt time.Time
	if m.fenceToken > 0 {
		if fencedAt, ok = s.opts.Authority.FencedSince(m.fenceToken); !ok {
			return time.Time{}, false
		}
	}
	return s.detector.LeaseExpiry(&m.Worker, fencedAt), true
}

// returnReasonLocked returns the reason to return a machine to the cloud, or
// ReasonNone.
func (s *Scheduler) returnReasonLocked(m *machine, assessment *detector.Assessment, now time.Time) autoscale.ReturnReason {
	switch {
	case m.returning:
		return autoscale.ReasonNone
	case m.returnIntent:
		return autoscale.ReasonExistingIntent
	case assessment.Dead(&m.Worker):
		return autoscale.ReasonLost
	case s.cancelledTaskOverdueLocked(m, now):
		return autoscale.ReasonOverdueTask
	case assessment.Unreachable(&m.Worker):
		return autoscale.ReasonUnreachable
	case m.quarantined && m.ActiveCount() == 0:
		return autoscale.ReasonQuarantined
	case m.ActiveCount() == 0 && assessment.HeartbeatsMissingPersistently(&m.Worker):
		return autoscale.ReasonSendsNoHeartbeats
	}
	return autoscale.ReasonNone
}

// cancelledTaskOverdueLocked reports whether a task of a cancelled job may still be
// on the machine at its deadline, or shortly before it while the lease is not certain
// to expire in time.
func (s *Scheduler) cancelledTaskOverdueLocked(m *machine, now time.Time) bool {
	for _, a := range m.Attempts.All() {
		if a.ExitDeadline.IsZero() || a.Exited() || now.Before(a.ExitDeadline.Add(-overdueMargin)) {
			continue
		}
		if now.After(a.ExitDeadline) {
			return true
		}
		if expiry, ok := s.leaseExpiryLocked(m); !ok || expiry.After(a.ExitDeadline) {
			return true
		}
	}
	return false
}
