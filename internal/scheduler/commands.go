package scheduler

import (
	"context"
	"log/slog"
	"time"

	"heronwick/wire"
)

// commandTimeout bounds a direct command. A command that times out is sent again in the
// reply to the next heartbeat.
const commandTimeout = 2 * time.Second

// command sends commands directly to a worker and waits up to commandTimeout for the
// answer.
func (s *Scheduler) command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return s.opts.Workers.Command(ctx, address, req)
}

// logForgets logs which attempts a worker is told to forget, and the fencing token under
// which it is told.
func (s *Scheduler) logForgets(m *machine, token uint64, commands []wire.Command) {
	if !s.log.Enabled(s.ctx, slog.LevelDebug) {
		return
	}
	for _, c := range commands {
		if c.Op == wire.OpForget {
			s.log.Debug("forget sent", "task", c.Task, "attempt", c.Attempt, "machine", m.Name, "token", token, "worker_token", m.FencingToken)
		}
	}
}

// needsDirectCommandLocked reports whether a command should be sent directly instead of
// in the reply to the next heartbeat. That is so for stops, since they free room for
// pending tasks.
func (s *Scheduler) needsDirectCommandLocked(m *machine) bool {
	for _, a := range m.Attempts.All() {
		if a.Stop && a.State != "" && !a.Exited() && a.State != wire.TaskSaving {
			return true
		}
	}
	return false
}

// sendCommandsLocked sends a worker its pending commands, or for starts a request for a
// heartbeat, without waiting for its next heartbeat. Only one request is in flight at a time;
// commands that become due meanwhile are sent after it.
func (s *Scheduler) sendCommandsLocked(m *machine) {
	if m.commandPending {
		m.commandQueued = true
		return
	}
	token, permitted := s.opts.Authority.FencingToken()
	if m.Address == "" || !m.HeartbeatSeen || !permitted {
		return
	}
	req := m.DirectRequest(token)
	if req == nil {
		return
	}
	s.logForgets(m, token, req.Commands)
	m.commandPending = true
	address, sent := m.Address, m.Position()
	s.spawn(func(ctx context.Context) {
		heartbeat, err := s.command(ctx, address, req)
		s.mu.Lock()
		defer s.mu.Unlock()
		m.commandPending = false
		if !s.recordAnswerLocked(m, err) {
			m.DirectRequestFailed()
			m.commandQueued = false
			return
		}
		s.applyResponseLocked(m, heartbeat, sent)
		if m.commandQueued {
			m.commandQueued = false
			s.sendCommandsLocked(m)
		}
	})
}
