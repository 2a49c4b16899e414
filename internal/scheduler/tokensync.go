package scheduler

import (
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"heronwick/wire"
)

const (
	// maxTokenRequests bounds the number of workers that are sent a new token at a time.
	// A takeover that contacted thousands of workers at once would use up sockets and
	// this controller's share of a processor, and most workers send a heartbeat by
	// themselves before their turn comes. The bound is large enough that the workers of
	// a partitioned zone do not block all others.
	maxTokenRequests = 512
	// tokenRequestsPerSecondPerCore is how many workers may be sent a new token per
	// second for each core that this controller has. This takes about half of the
	// processor time; the rest is left for the heartbeats that workers send by
	// themselves.
	tokenRequestsPerSecondPerCore = 4000
	// tokenRequestPause is how long token requests pause when they reach the rate limit.
	tokenRequestPause = 50 * time.Millisecond
)

// tokenSync is the part of a takeover that follows the rebuild: the scheduler's
// fencing token is sent to the workers of the adopted machines.
type tokenSync struct {
	unsynced []*machine    // machines whose workers have not been sent the token yet
	requests int           // number of requests in flight
	rate     *rate.Limiter // limits the requests
	paused   bool          // whether requests pause for tokenRequestPause
}

// tokenRequestRate returns the limiter for the token requests of a controller with
// coreShare cores.
func tokenRequestRate(coreShare float64) *rate.Limiter {
	perSecond := tokenRequestsPerSecondPerCore * coreShare
	return newLimiter(perSecond, max(1, min(maxTokenRequests, int(perSecond/4))))
}

// queueTokenSyncLocked queues a machine so that its worker is sent the new token and
// answers with a heartbeat. Nothing may be placed on the machine before that.
func (s *Scheduler) queueTokenSyncLocked(m *machine) {
	if m.mayRunCancelledTask() {
		s.tokenSync.unsynced = slices.Insert(s.tokenSync.unsynced, 0, m)
	} else {
		s.tokenSync.unsynced = append(s.tokenSync.unsynced, m)
	}
	s.syncNextWorkersLocked()
}

// mayRunCancelledTask reports whether a task of a cancelled job may be on the
// machine. Its worker is then sent the token, and after its answer the stop, without
// waiting in the queue or for the limiter.
func (m *machine) mayRunCancelledTask() bool {
	for _, a := range m.Attempts.All() {
		if !a.ExitDeadline.IsZero() && !a.Exited() {
			return true
		}
	}
	return false
}

// syncNextWorkersLocked sends the token to the next queued workers that have not sent
// a heartbeat under it yet.
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

// resumeTokenSync continues to send the token after a pause.
func (s *Scheduler) resumeTokenSync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokenSync.paused = false; s.ctx.Err() == nil {
		s.syncNextWorkersLocked()
	}
}

// sendTokenLocked sends a worker the token without any command, and applies the
// heartbeat that the worker answers with.
func (s *Scheduler) sendTokenLocked(m *machine) {
	m.BeginRequest()
	s.tokenSync.requests++
	address, sent := m.Address, m.Position()
	req := &wire.CommandRequest{FencingToken: s.opts.Authority.Token(), Incarnation: m.Incarnation, Commands: []wire.Command{}}
	s.spawn(func(ctx context.Context) {
		heartbeat, err := s.command(ctx, address, req)
		s.mu.Lock()
		defer s.mu.Unlock()
		m.EndRequest()
		s.tokenSync.requests--
		if s.recordAnswerLocked(m, err) {
			s.applyResponseLocked(m, heartbeat, sent)
		}
		if ctx.Err() == nil {
			s.syncNextWorkersLocked()
		}
	})
}
