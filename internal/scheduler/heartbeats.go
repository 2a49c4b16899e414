package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// HandleHeartbeat takes a worker's heartbeat. It returns nil if this scheduler has no
// right to answer it.
func (s *Scheduler) HandleHeartbeat(heartbeat *wire.Heartbeat) *wire.HeartbeatReply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	token, permitted := s.opts.Authority.FencingToken()
	if !permitted {
		return nil
	}
	if node, owned := s.opts.Authority.HeartbeatTarget(heartbeat.Machine); owned && node != s.opts.Node {
		return nil // handed over since, whatever this scheduler has not followed yet
	}
	m, adopting := s.machines[heartbeat.Machine], false
	if m == nil {
		m, adopting = s.admitMachineLocked(heartbeat, now)
	}
	reply := &wire.HeartbeatReply{FencingToken: token, Commands: []wire.Command{}}
	switch {
	case m != nil:
		return s.replyLocked(m, heartbeat, reply, now)
	case adopting:
		return s.replyUnadoptedLocked(heartbeat, reply, now)
	default:
		// Answering a machine that is another's would renew a lease that its owner
		// counts as expired.
		return nil
	}
}

// replyLocked takes a heartbeat of one of the scheduler's machines and completes the
// reply with what the worker is commanded. It returns nil if the worker's lease must
// expire.
func (s *Scheduler) replyLocked(m *machine, heartbeat *wire.Heartbeat, reply *wire.HeartbeatReply, now time.Time) *wire.HeartbeatReply {
	fresh := s.applyHeartbeatLocked(m, heartbeat)
	if s.unknownTasksPastGraceLocked(heartbeat, now) {
		return nil
	}
	m.LastReply = now
	m.NoteUnsolicited(heartbeat, fresh, now)
	if fresh {
		reply.Commands = append(reply.Commands, m.Reply()...)
		return reply
	}
	// Late or repeated: its reply will be dropped, and must not carry commands meant
	// for the worker as it is now. Or the worker has started anew and counts from the
	// beginning: a probe shows which.
	if !m.ProbedRecently(now) {
		s.probeLocked(m, now)
	}
	return reply
}

// replyUnadoptedLocked completes the reply to a worker whose machine is being adopted:
// it keeps its lease meanwhile. It returns nil if the lease must expire.
func (s *Scheduler) replyUnadoptedLocked(heartbeat *wire.Heartbeat, reply *wire.HeartbeatReply, now time.Time) *wire.HeartbeatReply {
	if s.unknownTasksPastGraceLocked(heartbeat, now) {
		return nil
	}
	s.preAdoptionReplies[heartbeat.Machine] = now
	reply.Commands = s.stopCommandsForEndedJobsLocked(heartbeat)
	return reply
}

// admitMachineLocked decides about a worker whose machine this scheduler does not have:
// one just handed over to it, or one that nobody owns. adopting tells that its machine
// is this scheduler's and will be taken once the records are read.
func (s *Scheduler) admitMachineLocked(heartbeat *wire.Heartbeat, now time.Time) (m *machine, adopting bool) {
	name := heartbeat.Machine
	if s.isReleasedLocked(name) {
		return nil, false // sent before its machine was returned
	}
	node, owned := s.opts.Authority.HeartbeatTarget(name)
	if node != s.opts.Node || s.transfers.Moving(name) {
		return nil, false
	}
	_, named := s.opts.Authority.OwnerOf(name)
	if owned || named || !s.opts.Authority.Fresh() || !s.loaded || s.adoptedToken != s.opts.Authority.Token() {
		// Handed over a moment ago, or perhaps one with tasks whose owner has gone.
		s.recheckEpoch()
		return nil, true
	}
	// A machine that the records do not name never had anything placed on it.
	s.log.Info("machine joins", "machine", name, "type", heartbeat.Type, "zone", heartbeat.Zone,
		"spot", heartbeat.Spot, "incarnation", heartbeat.Incarnation)
	return s.addMachineLocked(fleet.NewMachine(name), now), false
}

// unknownTasksGrace is how long a worker is answered though it has tasks of jobs of
// which nothing is known.
func (s *Scheduler) unknownTasksGrace() time.Duration { return s.opts.Settings.LeaseDuration / 4 }

// unknownTasksPastGraceLocked notes whether a worker has tasks of unknown jobs, and tells
// whether it has had some for so long that its lease must expire. Such a job may be
// over: cancelled before this controller read the jobs, while the key-value store,
// which would tell, is out for longer than the tasks may stay.
func (s *Scheduler) unknownTasksPastGraceLocked(heartbeat *wire.Heartbeat, now time.Time) bool {
	unknown := s.hasUnknownTasksLocked(heartbeat)
	since, noted := s.unknownTasksSince[heartbeat.Machine]
	switch {
	case !unknown && noted:
		delete(s.unknownTasksSince, heartbeat.Machine)
	case unknown && !noted:
		s.unknownTasksSince[heartbeat.Machine] = now
	case unknown:
		return now.Sub(since) > s.unknownTasksGrace()
	}
	return false
}

// hasUnknownTasksLocked reports whether a heartbeat shows tasks, not yet being stopped,
// of jobs that are neither active nor known to be over.
func (s *Scheduler) hasUnknownTasksLocked(heartbeat *wire.Heartbeat) bool {
	m := s.machines[heartbeat.Machine]
	return slices.ContainsFunc(heartbeat.Tasks, func(t wire.TaskStatus) bool {
		id, _, ok := wire.SplitTaskID(t.Task)
		if !ok || t.State == wire.TaskExited || s.jobOf(id) != nil {
			return false
		}
		if m != nil {
			if a := m.Attempts.Get(fleet.Key{Task: t.Task, Attempt: t.Attempt}); a != nil && a.Stop {
				return false
			}
		}
		return s.opts.Jobs.Active(id) == nil && !s.opts.Jobs.Ended(id)
	})
}

// stopCommandsForEndedJobsLocked stops, of the tasks that a heartbeat shows, those whose jobs
// are over: their machine's records may not be readable for long.
func (s *Scheduler) stopCommandsForEndedJobsLocked(heartbeat *wire.Heartbeat) []wire.Command {
	stops := []wire.Command{}
	for _, t := range heartbeat.Tasks {
		id, _, ok := wire.SplitTaskID(t.Task)
		if ok && t.State != wire.TaskExited && s.opts.Jobs.Ended(id) && len(stops) < wire.MaxCommands {
			grace := 0.0
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	return stops
}

// applyHeartbeatLocked takes a heartbeat, also one that answers a probe or a direct command.
// It reports whether that was news.
func (s *Scheduler) applyHeartbeatLocked(m *machine, heartbeat *wire.Heartbeat) bool {
	if s.machines[m.Name] != m || heartbeat.Machine != m.Name {
		return false
	}
	now := time.Now()
	events, fresh := m.ApplyHeartbeat(heartbeat, now)
	if !fresh {
		return false
	}
	m.NoteAlive()
	if m.Type == nil {
		m.Type = s.types[m.TypeName]
	}
	s.handleEventsLocked(m, events)
	if len(events) > 0 {
		s.wakeLoop()
	}
	if s.needsDirectCommandLocked(m) {
		s.sendCommandsLocked(m)
	}
	return true
}

// handleEventsLocked takes what a heartbeat, or a proof that a worker is gone, has
// changed of the attempts on a machine.
func (s *Scheduler) handleEventsLocked(m *machine, events []fleet.Event) {
	for _, e := range events {
		a := e.Attempt
		switch e.Kind {
		case fleet.Found:
			s.adoptAttemptLocked(m, a)
			if a.Exited() {
				s.handleAttemptExitLocked(m, a)
			}
		case fleet.Started:
			s.log.Debug("started", "task", a.Task, "machine", m.Name, "after", time.Since(a.Placed))
			if queued := s.jobOf(a.Job); queued != nil && a.Service {
				queued.Succeeded = true
			}
		case fleet.Exited:
			s.handleAttemptExitLocked(m, a)
		case fleet.Lost:
			log := s.log.Info
			if a.Restored {
				log = s.log.Debug // most of those had ended before the takeover
			}
			log("task lost", "task", a.Task, "attempt", a.Attempt, "machine", m.Name)
			s.uncountAttemptLocked(a)
		}
	}
	s.updateOpenLocked(m)
}
