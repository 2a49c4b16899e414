package scheduler

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// commandTimeout bounds a direct command; the answer to the next heartbeat brings
// it again.
const commandTimeout = 2 * time.Second

// command sends commands straight to a worker, which must answer within
// commandTimeout.
func (s *Scheduler) command(ctx context.Context, address string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return s.opts.Workers.Command(ctx, address, req)
}

// needsDirectCommandLocked reports whether waiting for the next heartbeat would cost
// time: stops make room for what waits.
func (s *Scheduler) needsDirectCommandLocked(m *machine) bool {
	for _, a := range m.Attempts.All() {
		if a.Stop && a.State != "" && !a.Exited() && a.State != wire.TaskSaving {
			return true
		}
	}
	return false
}

// sendCommandsLocked sends a worker the commands that are due, without waiting for
// its next heartbeat. One request is under way at a time; what comes meanwhile
// follows it.
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
	m.commandPending = true
	address := m.Address
	s.spawn(func(ctx context.Context) {
		heartbeat, err := s.command(ctx, address, req)
		s.mu.Lock()
		defer s.mu.Unlock()
		m.commandPending = false
		m.DirectRequestDone(req, err == nil || errors.Is(err, fleet.ErrNoSocket))
		if !s.noteAnswerLocked(m, err) {
			m.commandQueued = false
			return
		}
		s.applyHeartbeatLocked(m, heartbeat)
		if m.commandQueued {
			m.commandQueued = false
			s.sendCommandsLocked(m)
		}
	})
}
