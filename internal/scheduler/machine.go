package scheduler

import (
	"iter"
	"time"

	"heronwick/internal/checkpoint"
	"heronwick/internal/detector"
	"heronwick/internal/fleet"
	"heronwick/internal/packing"
)

// machine is a machine that the scheduler owns: the state that the detector,
// checkpoint and packing packages keep for it, and the scheduler's own decisions
// about it.
type machine struct {
	detector.Worker
	record  checkpoint.Machine // its record in the store
	packing *packing.Machine   // its free capacity

	commandPending bool // a direct command is in flight
	commandQueued  bool // another direct command is sent after it

	heldReply chan struct{} // closing it lets a reply go that waits for starts; nil if none waits

	idleSince      time.Time       // when its last task ended
	placeNotBefore time.Time       // no placements before this time, since its worker refused a start
	failedJobs     map[string]bool // jobs that have failed on it since a task last succeeded there
	quarantined    bool            // several jobs failed on it: no new placements

	returning       bool      // the return to the cloud is in progress
	returnIntent    bool      // a previous owner recorded the intent to return it
	returnNotBefore time.Time // no return before this time, since the last one could not be recorded

	// The machine counts as synced once its worker has sent a heartbeat under the
	// fencing token syncToken or a higher one.
	syncToken uint64
	// Other controllers may answer the worker until all epochs before fenceToken are
	// fenced. 0 means that no other controller answers it.
	fenceToken uint64
}

// addMachineLocked adds a machine to those of the scheduler.
func (s *Scheduler) addMachineLocked(fleetMachine *fleet.Machine, now time.Time) *machine {
	m := &machine{
		Worker: detector.NewWorker(fleetMachine, now), record: checkpoint.Machine{Machine: fleetMachine},
		failedJobs: map[string]bool{}, idleSince: now,
	}
	m.packing = packing.NewMachine(fleetMachine, func(now time.Time) bool { return s.acceptsLocked(m, now) && m.getsReplies() })
	m.Type = s.types[m.TypeName]
	m.syncToken, m.fenceToken = s.epoch.Token, s.epoch.Token
	m.returnIntent = s.opts.Actions.HasReturnIntent(m.Name)
	s.machines[m.Name] = m
	s.inventory.MarkJoined(m.Name)
	delete(s.preAdoptionReplies, m.Name)
	return m
}

// machineParts returns a sequence, in no particular order, of the part of each of the
// scheduler's machines that one other package maintains.
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
// fencing token, and since it restarted. Only then are all attempts on the machine known.
func (s *Scheduler) synced(m *machine) bool {
	return m.HeartbeatSeen && m.FencingToken >= m.syncToken && !m.RestartPending()
}

// acceptsLocked reports whether new tasks may be placed on the machine if it has
// room.
func (s *Scheduler) acceptsLocked(m *machine, now time.Time) bool {
	available := !m.returning && !m.returnIntent && !m.quarantined && m.ReclaimAt.IsZero()
	return s.synced(m) && m.Type != nil && available && !now.Before(m.placeNotBefore) &&
		m.Responsive() && now.Sub(m.LastHeartbeat) < s.detector.SuspectAfter() &&
		!s.detector.HeartbeatsMissing(&m.Worker, now)
}

// getsReplies reports whether the worker sends its heartbeats to this scheduler, as far as
// known, so that starts reach it soon. After a takeover, a worker may wait for the reply of the
// previous owner for some seconds; one whose machine was handed over is redirected at once.
func (m *machine) getsReplies() bool { return m.HeartbeatSeq > 0 || m.syncToken == 0 }

// usableLocked reports whether the machine accepts new tasks and its free capacity is
// known.
func (s *Scheduler) usableLocked(m *machine, now time.Time) bool {
	if !s.acceptsLocked(m, now) {
		return false
	}
	_, sized := m.FreeResources()
	return sized
}

// updateOpenLocked keeps a machine in the packer's list of open machines while tasks
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

// isReleasedLocked reports whether a machine is known to have been returned to the
// cloud, by this scheduler or another one.
func (s *Scheduler) isReleasedLocked(name string) bool {
	if s.inventory.IsReleased(name) {
		return true
	}
	owner, _ := s.opts.Authority.OwnerOf(name)
	return owner.Released()
}

// drainLocked stops tasks on a machine that the cloud will take away or whose lease
// will expire: service replicas, so that they move at once; tasks that can save their
// progress, while there is time; and tasks that have not started. Other tasks keep
// running: they may finish in time, and stopping them would lose their work anyway.
func (s *Scheduler) drainLocked(m *machine) {
	for _, a := range m.Attempts.All() {
		if a.Stop || a.Exited() || !a.SizeKnown {
			continue
		}
		if a.Service || a.GraceS > 0 || a.RunningSince.IsZero() {
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
	s.checkpoints.RemoveMachine(&m.record)
	m.releaseReply()
	delete(s.machines, m.Name)
	if _, named := s.opts.Authority.OwnerOf(m.Name); named {
		// A controller that takes over this scheduler's machines must not expect this one
		// to exist.
		s.transfers.Release(m.Name)
	}
}
