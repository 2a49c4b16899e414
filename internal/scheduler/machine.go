package scheduler

import (
	"iter"
	"time"

	"heronwick/internal/checkpoint"
	"heronwick/internal/detector"
	"heronwick/internal/fleet"
	"heronwick/internal/packing"
)

// machine is a machine that the scheduler owns, with what the packages that
// judge, record and fill it keep of it, and the scheduler's decisions about it.
type machine struct {
	detector.Worker
	record  checkpoint.Machine // what is recorded of it
	packing *packing.Machine   // what is known of its room

	commandPending bool // a direct command is under way
	commandQueued  bool // another is to follow it

	idleSince      time.Time       // when its last task ended
	placeNotBefore time.Time       // no placements before then: its worker has refused a start
	failedJobs     map[string]bool // jobs that failed on it, since a task on it last succeeded
	quarantined    bool            // fails what it starts: no new placements

	returning       bool      // it is being returned to the cloud
	returnIntent    bool      // an owner before has recorded that it is to be returned
	returnNotBefore time.Time // no return is tried before then: the last one could not be recorded

	// syncToken is the fencing token under which the worker must have sent a
	// heartbeat for the machine to count as synced.
	syncToken uint64
	// fenceToken: no other controller answers the worker once the epochs before this
	// token are fenced; 0: none does.
	fenceToken uint64
}

// addMachineLocked makes a machine one of the scheduler's.
func (s *Scheduler) addMachineLocked(fleetMachine *fleet.Machine, now time.Time) *machine {
	m := &machine{
		Worker: detector.NewWorker(fleetMachine, now), record: checkpoint.Machine{Machine: fleetMachine},
		failedJobs: map[string]bool{}, idleSince: now,
	}
	m.packing = packing.NewMachine(fleetMachine, func(now time.Time) bool { return s.acceptsLocked(m, now) })
	m.Type = s.types[m.TypeName]
	m.syncToken, m.fenceToken = s.epoch.Token, s.epoch.Token
	m.returnIntent = s.opts.Actions.HasReturnIntent(m.Name)
	s.machines[m.Name] = m
	s.inventory.Joined(m.Name)
	delete(s.preAdoptionReplies, m.Name)
	return m
}

// machineParts yields the part of each of the scheduler's machines that one of its
// packages keeps, in no order.
func machineParts[Part any](s *Scheduler, part func(m *machine) *Part) iter.Seq[*Part] {
	return func(yield func(*Part) bool) {
		for _, m := range s.machines {
			if !yield(part(m)) {
				return
			}
		}
	}
}

// synced reports whether the worker has sent a heartbeat under the scheduler's
// fencing token: then all that is on the machine is known.
func (s *Scheduler) synced(m *machine) bool { return m.HeartbeatSeen && m.FencingToken >= m.syncToken }

// acceptsLocked reports whether new tasks may go to the machine, if there is room.
func (s *Scheduler) acceptsLocked(m *machine, now time.Time) bool {
	kept := !m.returning && !m.returnIntent && !m.quarantined && m.Notice.IsZero()
	return s.synced(m) && m.Type != nil && kept && !now.Before(m.placeNotBefore) &&
		m.Responsive() && now.Sub(m.LastHeartbeat) < s.detector.SuspectAfter() &&
		!s.detector.HeartbeatsMissing(&m.Worker, now)
}

// usableLocked reports whether new tasks may go to the machine at all.
func (s *Scheduler) usableLocked(m *machine, now time.Time) bool {
	if !s.acceptsLocked(m, now) {
		return false
	}
	_, sized := m.Room()
	return sized
}

// updateOpenLocked keeps a machine on the list of open ones for as long as tasks
// are on it.
func (s *Scheduler) updateOpenLocked(m *machine) {
	if m.ActiveCount() > 0 {
		if !s.packer.Open.Has(m.packing) {
			s.packer.Open.Append(m.packing)
		}
		return
	}
	if s.packer.Open.Has(m.packing) {
		s.packer.Open.Close(m.packing)
		m.idleSince = time.Now()
	}
}

// isReleasedLocked reports whether a machine was surely returned to the cloud, by
// this scheduler or by another.
func (s *Scheduler) isReleasedLocked(name string) bool {
	if s.inventory.IsReleased(name) {
		return true
	}
	owner, _ := s.opts.Authority.OwnerOf(name)
	return owner.Released()
}

// drainLocked empties a machine that the cloud will take away, or whose lease
// will expire: replicas move at once, and what can save is stopped in time. The
// rest runs on: it may finish before, and stopping it would lose it anyway.
func (s *Scheduler) drainLocked(m *machine) {
	for _, a := range m.Attempts.All() {
		if a.Stop || a.Exited() || !a.Sized {
			continue
		}
		if a.Service || a.GraceS > 0 || a.Running.IsZero() {
			s.log.Info("draining", "task", a.Task, "machine", m.Name)
			a.Stop = true
			s.sendCommandsLocked(m)
		}
	}
}

// removeReleasedLocked removes a machine that was released to the cloud.
func (s *Scheduler) removeReleasedLocked(m *machine) {
	s.handleEventsLocked(m, m.MarkReleased())
	s.packer.Open.Close(m.packing)
	s.checkpoints.Leave(&m.record)
	delete(s.machines, m.Name)
	if _, named := s.opts.Authority.OwnerOf(m.Name); named {
		// Whoever takes over this scheduler's machines must not expect it among them.
		s.transfers.Release(m.Name)
	}
}
