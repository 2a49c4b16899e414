package scheduler

import (
	"slices"
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// HandleHeartbeat applies a worker's heartbeat and returns the reply, or nil if this
// scheduler must not answer the worker.
func (s *Scheduler) HandleHeartbeat(heartbeat *wire.Heartbeat) *wire.HeartbeatReply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	token, permitted := s.opts.Authority.FencingToken()
	if !permitted {
		return nil
	}
	if node, owned := s.opts.Authority.HeartbeatTarget(heartbeat.Machine); owned && node != s.opts.Node {
		return nil // handed over, though this scheduler may not have applied that yet
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
		// Answering the worker of another controller's machine would renew a lease that the
		// machine's owner considers expired.
		return nil
	}
}

// replyLocked applies a heartbeat of one of the scheduler's machines and adds the
// commands for the worker to the reply. It returns nil if the worker's lease must
// expire.
func (s *Scheduler) replyLocked(m *machine, heartbeat *wire.Heartbeat, reply *wire.HeartbeatReply, now time.Time) *wire.HeartbeatReply {
	awaited := s.applyHeartbeatLocked(m, heartbeat)
	if m.RestartPending() {
		return s.replyRestartedLocked(m, heartbeat, reply, now)
	}
	if s.unknownTasksPastGraceLocked(heartbeat, now) {
		return nil
	}
	m.LastReply = now
	m.RecordUnsolicited(heartbeat, awaited, now)
	s.settleDoubtLocked(m, now)
	if awaited {
		reply.Commands = append(reply.Commands, m.ReplyCommands(reply.FencingToken)...)
		s.logForgets(m, reply.FencingToken, reply.Commands)
		return reply
	}
	// The heartbeat is late or a duplicate: the worker drops the reply, which must not
	// carry commands that are meant for the worker's current state. Or the worker has
	// restarted, and its numbers start over.
	return reply
}

// replyUnadoptedLocked completes the reply to a worker whose machine is being
// adopted. The reply keeps the worker's lease alive meanwhile. It returns nil if the
// lease must expire.
func (s *Scheduler) replyUnadoptedLocked(heartbeat *wire.Heartbeat, reply *wire.HeartbeatReply, now time.Time) *wire.HeartbeatReply {
	if s.unknownTasksPastGraceLocked(heartbeat, now) {
		return nil
	}
	s.preAdoptionReplies[heartbeat.Machine] = now
	reply.Commands = s.stopCommandsForEndedJobsLocked(heartbeat)
	return reply
}

// admitMachineLocked handles a worker whose machine this scheduler does not have: the
// machine was just handed over, or no controller owns it. adopting reports that the
// machine belongs to this scheduler and is added once the records are read.
func (s *Scheduler) admitMachineLocked(heartbeat *wire.Heartbeat, now time.Time) (m *machine, adopting bool) {
	name := heartbeat.Machine
	if s.isReleasedLocked(name) {
		return nil, false // the heartbeat was sent before the machine was returned
	}
	node, owned := s.opts.Authority.HeartbeatTarget(name)
	if node != s.opts.Node || s.transfers.Moving(name) {
		return nil, false
	}
	_, named := s.opts.Authority.OwnerOf(name)
	if owned || named || !s.opts.Authority.Fresh() || !s.loaded || s.adoptedToken != s.opts.Authority.Token() {
		// The machine was handed over a moment ago, or it may have tasks and its owner is
		// gone.
		s.recheckEpoch()
		return nil, true
	}
	// No task was ever placed on a machine that the records do not name.
	s.log.Info("machine joins", "machine", name, "type", heartbeat.Type, "zone", heartbeat.Zone,
		"spot", heartbeat.Spot, "incarnation", heartbeat.Incarnation)
	return s.addMachineLocked(fleet.NewMachine(name), now), false
}

// unknownTasksGrace is how long a worker with tasks of unknown jobs is still
// answered.
func (s *Scheduler) unknownTasksGrace() time.Duration { return s.opts.Settings.LeaseDuration / 4 }

// unknownTasksPastGraceLocked keeps track of whether a worker has tasks of unknown
// jobs, and reports whether it has had such tasks for so long that its lease must
// expire. Such a job may have ended: it may have been cancelled before this
// controller read the jobs, and the key-value store, which has its state, may be
// unavailable for longer than the tasks are allowed to run.
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

// hasUnknownTasksLocked reports whether a heartbeat lists tasks of jobs that are
// neither active nor known to have ended. Tasks that are already being stopped do not
// count.
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

// stopCommandsForEndedJobsLocked returns the commands to stop the tasks in a
// heartbeat whose jobs have ended. The stops do not wait for the records of the
// machine, which may stay unreadable for a long time.
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

// applyHeartbeatLocked applies an unsolicited heartbeat. It reports whether the worker, which
// has not restarted, awaits the reply.
func (s *Scheduler) applyHeartbeatLocked(m *machine, heartbeat *wire.Heartbeat) bool {
	if s.machines[m.Name] != m || heartbeat.Machine != m.Name {
		return false
	}
	events, result := m.ApplyHeartbeat(heartbeat, time.Now())
	s.handleResultLocked(m, heartbeat, events, result)
	return result == fleet.Applied || result == fleet.Overtaken
}

// applyResponseLocked applies the heartbeat in the response to a direct request, which was
// sent when the worker was known to be at a position.
func (s *Scheduler) applyResponseLocked(m *machine, heartbeat *wire.Heartbeat, sent fleet.Position) {
	if s.machines[m.Name] != m || heartbeat.Machine != m.Name {
		return
	}
	events, result := m.ApplyResponse(heartbeat, sent, time.Now())
	s.handleResultLocked(m, heartbeat, events, result)
}

// handleResultLocked handles what a heartbeat has shown.
func (s *Scheduler) handleResultLocked(m *machine, heartbeat *wire.Heartbeat, events []fleet.Event, result fleet.Result) {
	if result == fleet.Outdated || result == fleet.Overtaken {
		return
	}
	m.MarkAlive()
	if m.Type == nil {
		m.Type = s.types[m.TypeName]
	}
	if result == fleet.Restarted {
		s.beginRestartLocked(m, heartbeat)
	}
	s.handleEventsLocked(m, events)
	if len(events) > 0 {
		s.wakeLoop()
	}
	if s.needsDirectCommandLocked(m) {
		s.sendCommandsLocked(m)
	}
}

// handleEventsLocked applies the changes to attempts on a machine that follow from a
// heartbeat, or from proof that the worker is gone.
func (s *Scheduler) handleEventsLocked(m *machine, events []fleet.Event) {
	for _, e := range events {
		a := e.Attempt
		switch e.Kind {
		case fleet.Found:
			s.log.Debug("task found without a record", "task", a.Task, "attempt", a.Attempt, "machine", m.Name,
				"state", a.State, "reason", a.ExitReason, "worker_token", m.FencingToken)
			s.checkFoundLocked(m, a)
			s.adoptAttemptLocked(m, a)
			if a.Exited() {
				s.handleAttemptExitLocked(m, a)
			}
		case fleet.Started:
			s.log.Debug("task started", "task", a.Task, "machine", m.Name, "since_placed", time.Since(a.PlacedAt))
			if queued := s.jobOf(a.Job); queued != nil && a.Service {
				queued.Succeeded = true
			}
		case fleet.Exited:
			s.handleAttemptExitLocked(m, a)
		case fleet.Lost:
			log := s.log.Info
			if a.RestoredFromRecord {
				log = s.log.Debug // most restored attempts had ended before the takeover
			}
			log("task lost", "task", a.Task, "attempt", a.Attempt, "machine", m.Name, "evidence", e.Evidence,
				"seq", m.Seq, "heartbeat_seq", m.HeartbeatSeq, "worker_token", m.FencingToken)
			s.uncountAttemptLocked(a)
		}
	}
	s.updateOpenLocked(m)
}
