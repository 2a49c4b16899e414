package scheduler

import "time"

// maxReplyHold is how long the reply to a heartbeat waits for starts. A worker sends its next
// heartbeat half a second after the last one at the earliest, also if one is requested. So a
// shorter hold delays no heartbeat, and a start that is recorded meanwhile is not delayed.
const maxReplyHold = 450 * time.Millisecond

// awaitsStartsLocked reports whether the reply to the newest heartbeat of a machine's worker
// should be held: no starts are due, but some are being recorded, or the machine has room for
// more.
func (s *Scheduler) awaitsStartsLocked(m *machine) bool {
	switch {
	case m.Doubted() || m.StartsDue():
		return false
	case m.StartsUnrecorded():
		return true
	}
	return s.acceptsLocked(m, time.Now()) && m.Free().CPUs > 0
}

// holdReplyLocked waits until starts for a machine are recorded, at most maxReplyHold. It
// releases the scheduler's lock meanwhile.
func (s *Scheduler) holdReplyLocked(m *machine) {
	release := make(chan struct{})
	m.heldReply = release
	s.mu.Unlock()
	timer := time.NewTimer(maxReplyHold)
	select {
	case <-release:
	case <-timer.C:
	case <-s.ctx.Done():
	}
	timer.Stop()
	s.mu.Lock()
	if m.heldReply == release {
		m.heldReply = nil
	}
}

// sendStartsLocked lets the reply that is held for a machine's worker go, which then contains
// the starts that are due, or requests a heartbeat.
func (s *Scheduler) sendStartsLocked(m *machine) {
	if !m.releaseReply() {
		s.sendCommandsLocked(m)
	}
}

// releaseReply lets the reply that is held for the machine's worker go. It reports whether
// there is one.
func (m *machine) releaseReply() bool {
	if m.heldReply == nil {
		return false
	}
	close(m.heldReply)
	m.heldReply = nil
	return true
}
