package scheduler

import (
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"heronwick/wire"
)

// maxSyncs is how many workers are shown a new token at a time. A takeover of
// thousands at once would use up sockets and the share of a processor, and most
// report by themselves before their turn comes. Those of a zone that is cut off
// must not keep all others waiting.
const maxSyncs = 512

// syncsPerCore is how many workers a second may be shown a new token for each
// core that this controller has: about half of its time, the rest is for the
// reports of those that come by themselves.
const syncsPerCore = 4000

// syncLocked shows a worker the new token soon and takes its report: until then
// nothing may be placed on its machine.
func (s *Scheduler) syncLocked(m *machine) {
	if m.mustStop() {
		s.unsynced = slices.Insert(s.unsynced, 0, m)
	} else {
		s.unsynced = append(s.unsynced, m)
	}
	s.syncNextLocked()
}

// mustStop tells whether a cancelled job's task may be on the machine: showing
// its worker the token, and with it the stop, does not wait for its turn.
func (m *machine) mustStop() bool {
	for _, a := range m.Attempts.All() {
		if !a.MustGoBy.IsZero() && !a.Exited() {
			return true
		}
	}
	return false
}

// syncNextLocked goes on with the workers that still have not reported.
func (s *Scheduler) syncNextLocked() {
	for s.syncing < maxSyncs && len(s.unsynced) > 0 {
		m := s.unsynced[0]
		if m.Address == "" || m.RequestPending() || s.machines[m.Name] != m || s.synced(m) {
			s.unsynced = s.unsynced[1:]
			continue
		}
		if !m.mustStop() && !s.syncRate.Allow() {
			if !s.syncWaits {
				s.syncWaits = true
				time.AfterFunc(syncPause, s.syncAgain)
			}
			return
		}
		s.unsynced = s.unsynced[1:]
		m.BeginRequest()
		s.syncing++
		address := m.Address
		req := &wire.CommandRequest{FencingToken: s.opts.Authority.Token(), Incarnation: m.Incarnation, Commands: []wire.Command{}}
		s.goDo(func(ctx context.Context) {
			report, err := s.command(ctx, address, req)
			s.mu.Lock()
			defer s.mu.Unlock()
			m.EndRequest()
			s.syncing--
			if s.answeredLocked(m, err) {
				s.applyLocked(m, report)
			}
			if ctx.Err() == nil {
				s.syncNextLocked()
			}
		})
	}
}

func syncRate(coreShare float64) *rate.Limiter {
	perSecond := syncsPerCore * coreShare
	return limiter(perSecond, max(1, min(maxSyncs, int(perSecond/4))))
}

// syncPause is how long showing the token waits where it went too fast.
const syncPause = 50 * time.Millisecond

func (s *Scheduler) syncAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.syncWaits = false; s.ctx.Err() == nil {
		s.syncNextLocked()
	}
}
