package scheduler

import (
	"iter"
	"time"

	"heronwick/internal/autoscale"
	"heronwick/internal/detector"
)

const (
	// electionSettleTime is how long after an election workers still come to controllers that
	// do not lead, also those that the leader reaches.
	electionSettleTime = 10 * time.Second
	// exitedAttemptsTokenAge and exitedAttemptsIdleTime are how long after the token last rose, and
	// after a machine became idle, exited attempts on it may call for a higher token.
	exitedAttemptsTokenAge = 20 * time.Second
	exitedAttemptsIdleTime = 2 * time.Second
	// overdueMargin is how long before a cancelled task must be gone its machine is
	// returned, if no lease expiry proves it gone in time.
	overdueMargin = 3 * time.Second
)

// workersLocked are the workers of the scheduler's machines.
func (s *Scheduler) workersLocked() iter.Seq[*detector.Worker] {
	return machineParts(s, func(m *machine) *detector.Worker { return &m.Worker })
}

// watchMachinesLocked probes silent workers, settles what lease expiries or returns
// prove, drains what is noticed, and raises the token where only that helps.
func (s *Scheduler) watchMachinesLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	assessment := s.detector.Assess(s.workersLocked(), now, s.detector.Busy(time.Now()))
	s.resignIfPartitionedLocked(assessment, now)
	raise := false
	token := s.opts.Authority.Token()
	returned := map[autoscale.ReturnReason][]*machine{}
	for _, m := range s.machines {
		s.probeIfDueLocked(m, now)
		s.expireLeaseIfDueLocked(m, now)
		if reason := s.returnReasonLocked(m, assessment, now); reason != autoscale.NotReturned {
			returned[reason] = append(returned[reason], m)
		}
		if !m.Notice.IsZero() || assessment.HeartbeatsMissing(&m.Worker) {
			s.drainLocked(m)
		}
		raise = raise || m.NeedsHigherFencingToken(token) || s.heldByExitedAttemptsLocked(m, now)
	}
	for reason, machines := range returned {
		s.returnLocked(machines, reason)
	}
	if raise {
		s.raiseTokenLocked(now)
	}
}

// resignIfPartitionedLocked gives up leading where the workers that this controller
// cannot reach come to another. Soon after an election all workers do: then more
// must have come there than this controller reaches. Where many machines are gone
// for good, each leader otherwise resigned in turn, and none led for long enough
// to find out.
func (s *Scheduler) resignIfPartitionedLocked(assessment *detector.Assessment, now time.Time) {
	if !s.detector.Partitioned() || !s.leadsLocked() || now.Sub(s.resignedAt) <= electionSettleTime {
		return
	}
	elsewhere := s.opts.WorkersAtPeers()
	settled := now.Sub(s.leaderSince) > electionSettleTime && elsewhere > len(s.machines)/3
	if settled || elsewhere > assessment.Reachable {
		s.resignedAt = now
		s.spawn(s.opts.Resign)
	}
}

// expireLeaseIfDueLocked takes the proof that a silent worker's lease has expired.
func (s *Scheduler) expireLeaseIfDueLocked(m *machine, now time.Time) {
	if m.ActiveCount() == 0 || !s.detector.Suspected(&m.Worker, now) {
		return
	}
	if expiry, ok := s.leaseExpiryLocked(m); ok && !now.Before(expiry) {
		s.log.Info("lease expired", "machine", m.Name, "tasks", m.ActiveCount())
		s.handleEventsLocked(m, m.MarkLeaseExpired())
	}
}

// leaseExpiryLocked returns when the lease of the machine's worker has surely
// expired; not ok: another controller may still answer the worker.
func (s *Scheduler) leaseExpiryLocked(m *machine) (expiry time.Time, ok bool) {
	var fenced time.Time
	if m.fenceToken > 0 {
		if fenced, ok = s.opts.Authority.FencedSince(m.fenceToken); !ok {
			return time.Time{}, false
		}
	}
	return s.detector.LeaseExpiry(&m.Worker, fenced), true
}

// returnReasonLocked tells why a machine is to be returned, if it is.
func (s *Scheduler) returnReasonLocked(m *machine, assessment *detector.Assessment, now time.Time) autoscale.ReturnReason {
	switch {
	case m.returning:
		return autoscale.NotReturned
	case m.returnIntent:
		return autoscale.ReasonRecordedBefore
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
	return autoscale.NotReturned
}

// cancelledTaskOverdueLocked reports whether a cancelled job's task may still be there when
// it must be gone soon, and its lease does not surely expire before.
func (s *Scheduler) cancelledTaskOverdueLocked(m *machine, now time.Time) bool {
	for _, a := range m.Attempts.All() {
		if a.MustGoBy.IsZero() || a.Exited() || now.Before(a.MustGoBy.Add(-overdueMargin)) {
			continue
		}
		if now.After(a.MustGoBy) {
			return true
		}
		if expiry, ok := s.leaseExpiryLocked(m); !ok || expiry.After(a.MustGoBy) {
			return true
		}
	}
	return false
}

// heldByExitedAttemptsLocked reports whether exited attempts alone keep an idle machine
// from being handed over or returned.
func (s *Scheduler) heldByExitedAttemptsLocked(m *machine, now time.Time) bool {
	return m.ActiveCount() == 0 && m.Attempts.Len() > 0 &&
		now.Sub(s.epoch.raisedAt) > exitedAttemptsTokenAge && now.Sub(m.idleSince) > exitedAttemptsIdleTime
}
