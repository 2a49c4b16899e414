package scheduler

import (
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"heronwick/wire"
)

const (
	// maxTokenRequests is how many workers are sent a new token at a time. A takeover
	// of thousands at once would use up sockets and this controller's part of a
	// processor, and most send a heartbeat by themselves before their turn comes. Those
	// of a zone that is partitioned off must not keep all others waiting.
	maxTokenRequests = 512
	// tokenRequestsPerSecondPerCore is how many workers a second may be sent a new token for
	// each core that this controller has: about half of its time, the rest is for the
	// heartbeats that come by themselves.
	tokenRequestsPerSecondPerCore = 4000
	// tokenRequestPause is how long sending the token waits where it went too fast.
	tokenRequestPause = 50 * time.Millisecond
)

// tokenSync is the part of a takeover that follows the rebuild: the workers of the
// machines that were adopted are sent the scheduler's fencing token.
type tokenSync struct {
	unsynced []*machine    // whose workers are still to be sent the token
	requests int           // that are under way
	rate     *rate.Limiter // of requests
	paused   bool          // until the rate allows the next
}

// tokenRequestRate bounds the token requests of a controller with so many cores.
func tokenRequestRate(coreShare float64) *rate.Limiter {
	perSecond := tokenRequestsPerSecondPerCore * coreShare
	return newLimiter(perSecond, max(1, min(maxTokenRequests, int(perSecond/4))))
}

// queueTokenSyncLocked sends a worker the new token soon and takes its heartbeat: until then
// nothing may be placed on its machine.
func (s *Scheduler) queueTokenSyncLocked(m *machine) {
	if m.mayRunCancelledTask() {
		s.tokenSync.unsynced = slices.Insert(s.tokenSync.unsynced, 0, m)
	} else {
		s.tokenSync.unsynced = append(s.tokenSync.unsynced, m)
	}
	s.syncNextWorkersLocked()
}

// mayRunCancelledTask reports whether a cancelled job's task may be on the machine: sending
// its worker the token, and with it the stop, does not wait for its turn.
func (m *machine) mayRunCancelledTask() bool {
	for _, a := range m.Attempts.All() {
		if !a.MustGoBy.IsZero() && !a.Exited() {
			return true
		}
	}
	return false
}

// syncNextWorkersLocked goes on with the workers that still have not sent a heartbeat.
func (s *Scheduler) syncNextWorkersLocked() {
	t := &s.tokenSync
	for t.requests < maxTokenRequests && len(t.unsynced) > 0 {
		m := t.unsynced[0]
		if m.Address == "" || m.RequestPending() || s.machines[m.Name] != m || s.synced(m) {
			t.unsynced = t.unsynced[1:]
			continue
		}
		if !m.mayRunCancelledTask() && !t.rate.Allow() {
			if !t.paused {
				t.paused = true
				time.AfterFunc(tokenRequestPause, s.resumeTokenSync)
			}
			return
		}
		t.unsynced = t.unsynced[1:]
		s.sendTokenLocked(m)
	}
}

// resumeTokenSync goes on after a pause.
func (s *Scheduler) resumeTokenSync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokenSync.paused = false; s.ctx.Err() == nil {
		s.syncNextWorkersLocked()
	}
}

// sendTokenLocked sends a worker the token, without any command, and takes the
// heartbeat with which it answers.
func (s *Scheduler) sendTokenLocked(m *machine) {
	m.BeginRequest()
	s.tokenSync.requests++
	address := m.Address
	req := &wire.CommandRequest{FencingToken: s.opts.Authority.Token(), Incarnation: m.Incarnation, Commands: []wire.Command{}}
	s.spawn(func(ctx context.Context) {
		heartbeat, err := s.command(ctx, address, req)
		s.mu.Lock()
		defer s.mu.Unlock()
		m.EndRequest()
		s.tokenSync.requests--
		if s.noteAnswerLocked(m, err) {
			s.applyHeartbeatLocked(m, heartbeat)
		}
		if ctx.Err() == nil {
			s.syncNextWorkersLocked()
		}
	})
}
