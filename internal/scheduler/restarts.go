package scheduler

import (
	"time"

	"heronwick/wire"
)

// beginRestartLocked handles the restart of a machine's worker, which a heartbeat has
// shown. Heartbeats from before the restart may still arrive; none of them shows a fencing
// token that was issued after it. Until the worker shows one, nothing is placed on the machine,
// and what was on it is not placed elsewhere.
func (s *Scheduler) beginRestartLocked(m *machine, heartbeat *wire.Heartbeat) {
	now := time.Now()
	fence := s.opts.Authority.Token() + 1
	s.log.Info("worker has restarted", "machine", m.Name, "tasks", m.ActiveCount(), "fence", fence,
		"known_incarnation", m.Incarnation, "known_seq", m.Seq, "known_token", m.FencingToken,
		"incarnation", heartbeat.Incarnation, "seq", heartbeat.Seq, "token", heartbeat.FencingToken)
	m.BeginRestart(heartbeat, fence, now)
	m.releaseReply()
	m.packing.RoomChanged()
	s.incrementTokenLocked(now)
}

// settleDoubtLocked probes a worker if there is a doubt whether it has restarted. The
// answer shows that.
func (s *Scheduler) settleDoubtLocked(m *machine, now time.Time) {
	if m.Doubted() && !m.RestartPending() && !m.ProbedRecently(now) && s.probeRate.Allow() {
		s.probeLocked(m, now)
	}
}

// fenceRestartLocked sends the worker of a machine with a pending restart the fencing
// token that ends it, once that token is issued.
func (s *Scheduler) fenceRestartLocked(m *machine, token uint64) {
	if m.RestartPending() && m.RestartFence() <= token && !m.RequestPending() {
		s.queueTokenSyncLocked(m)
	}
}

// replyRestartedLocked completes the reply to a worker whose restart is pending. The
// heartbeat may be from before the restart, so the only commands are stops of tasks that
// must not run in any case. It returns nil if the worker's lease must expire.
func (s *Scheduler) replyRestartedLocked(m *machine, heartbeat *wire.Heartbeat, reply *wire.HeartbeatReply, now time.Time) *wire.HeartbeatReply {
	if s.unknownTasksPastGraceLocked(heartbeat, now) {
		return nil
	}
	m.LastReply = now
	m.RecordUnsolicited(heartbeat, false, now)
	reply.Commands = s.stopCommandsForEndedJobsLocked(heartbeat)
	return reply
}
