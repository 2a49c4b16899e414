package scheduler

import (
	"context"
	"encoding/json"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
)

// drainLocked empties a machine that the cloud will take away, or whose lease
// will lapse: replicas move at once, and what can save is stopped in time. The
// rest runs on: it may finish before, and stopping it would lose it anyway.
func (s *Scheduler) drainLocked(m *machine) {
	for _, a := range m.Attempts.All() {
		if a.Stop || a.Exited() || !a.Sized {
			continue
		}
		if a.Service || a.GraceS > 0 || a.Running.IsZero() {
			s.log.Info("draining", "task", a.Task, "machine", m.Name)
			a.Stop = true
			s.sendLocked(m)
		}
	}
}

// goneLocked drops a machine that was returned.
func (s *Scheduler) goneLocked(m *machine) {
	s.handleLocked(m, m.MarkReleased())
	s.list.Close(m)
	s.records.leave(m)
	delete(s.machines, m.Name)
	if _, named := s.opts.Authority.OwnerOf(m.Name); named {
		// Whoever takes over what is ours must not take it for a machine.
		s.notices.pending = append(s.notices.pending, m.Name)
	}
}

// tellGoneLocked tells the other controllers which machines are gone, many in
// one write.
func (s *Scheduler) tellGoneLocked() {
	if s.notices.sending || len(s.notices.pending) == 0 || !s.loaded {
		return
	}
	s.notices.sending = true
	names := s.notices.batch(s.valueLimit.Bytes())
	machines := map[string]json.RawMessage{}
	for _, name := range names {
		machines[name] = json.RawMessage("null")
	}
	s.goDo(func(ctx context.Context) {
		err := s.transfer(ctx, "", machines, state.Background)
		if err != nil {
			wait.Sleep(ctx, 500*time.Millisecond)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notices.sending = false
		if err == nil {
			s.notices.pending = s.notices.pending[len(names):]
		}
	})
}
