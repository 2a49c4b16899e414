package scheduler

import (
	"time"

	"heronwick/internal/fleet"
	"heronwick/internal/quota"
	"heronwick/wire"
)

// HandleHeartbeat applies a worker's heartbeat and returns the reply, or nil if this
// scheduler must not answer the worker. It may wait for starts to include in the reply.
func (s *Scheduler) HandleHeartbeat(heartbeat *wire.Heartbeat) *wire.HeartbeatReply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	token, ok := s.replyTokenLocked(heartbeat.Machine)
	if !ok {
		return nil
	}
	m, adopting := s.machines[heartbeat.Machine], false
	if m == nil {
		m, adopting = s.admitMachineLocked(heartbeat, now)
	}
	switch {
	case m != nil:
		awaited := s.receiveLocked(m, heartbeat)
		token, ok = s.replyTokenLocked(heartbeat.Machine)
		if !ok || s.machines[heartbeat.Machine] != m {
			return nil // the right to answer was lost while the reply was held
		}
		return s.replyLocked(m, heartbeat, awaited, newReply(token))
	case adopting:
		return s.replyUnadoptedLocked(heartbeat, newReply(token), now)
	default:
		// Answering the worker of another controller's machine would renew a lease that the
		// machine's owner considers expired.
		return nil
	}
}

// replyTokenLocked returns the fencing token under which the worker of a machine may be
// answered now. ok is false if this scheduler may not answer it.
func (s *Scheduler) replyTokenLocked(machine string) (token uint64, ok bool) {
	if node, owned := s.opts.Authority.HeartbeatTarget(machine); owned && node != s.opts.Node {
		return 0, false // handed over, though this scheduler may not have applied that yet
	}
	return s.opts.Authority.FencingToken()
}

// newReply returns a reply without commands.
func newReply(token uint64) *wire.HeartbeatReply {
	return &wire.HeartbeatReply{FencingToken: token, Commands: []wire.Command{}}
}

// receiveLocked applies a heartbeat of one of the scheduler's machines. If the machine may
// get starts, it waits for them for a short time. It reports whether the worker still
// awaits the reply then, as far as known.
func (s *Scheduler) receiveLocked(m *machine, heartbeat *wire.Heartbeat) (awaited bool) {
	if !s.applyHeartbeatLocked(m, heartbeat) {
		return false
	}
	if s.awaitsStartsLocked(m) {
		s.holdReplyLocked(m)
	}
	return m.IsNewest(heartbeat)
}

// replyLocked completes the reply to the worker of one of the scheduler's machines: it adds
// the commands if the worker awaits the reply. It returns nil if the worker's lease must expire.
func (s *Scheduler) replyLocked(m *machine, heartbeat *wire.Heartbeat, awaited bool, reply *wire.HeartbeatReply) *wire.HeartbeatReply {
	now := time.Now()
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
		s.checkStartsLocked(m)
		reply.Commands = append(reply.Commands, m.ReplyCommands(reply.FencingToken)...)
		s.logForgets(m, reply.FencingToken, reply.Commands)
	}
	// Otherwise the heartbeat is late or a duplicate: the worker drops the reply, which must
	// not carry commands that are meant for the worker's current state. Or the worker has
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
			s.uncountAttemptLocked(a, quota.Lost(e.Evidence))
		}
	}
	s.updateOpenLocked(m)
}
