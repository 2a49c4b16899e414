package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// A scheduler that has used up the attempt numbers of its fencing token places nothing
// until the token is incremented: a number beyond them would be assigned again under the
// next token.
func TestAttemptNumbersStayWithinTheirToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		useUp := func(left uint64) {
			for s.attemptNumbers.Remaining(s.epoch.Token) > left {
				s.attemptNumbers.Next(s.epoch.Token)
			}
		}
		place := func(id string) bool {
			s.mu.Lock()
			queued := s.addJobLocked(p.add(id, "ours", wire.PriorityNormal, 1, 1))
			s.scheduleLocked(time.Now())
			s.mu.Unlock()
			synctest.Wait()
			return queued.LiveTasks() > 0
		}
		useUp(fleet.LowAttemptNumbers + 9)
		if !place("wk-1") || p.epochAdvances.Load() != 0 {
			t.Errorf("many numbers left: not placed, or token incremented %d times, want 0", p.epochAdvances.Load())
		}
		useUp(fleet.LowAttemptNumbers - 1)
		if !place("wk-2") || p.epochAdvances.Load() != 1 {
			t.Errorf("few numbers left: not placed, or token incremented %d times, want 1", p.epochAdvances.Load())
		}
		useUp(fleet.MinAttemptNumbers - 1)
		s.incrementAttemptedAt = time.Time{} // the minimum time since the last attempt has passed
		if place("wk-3") || p.epochAdvances.Load() != 2 {
			t.Errorf("no numbers left: placed, or token incremented %d times, want 2", p.epochAdvances.Load())
		}
		p.epoch.Token++
		s.mu.Lock()
		s.setEpochLocked(p.View())
		s.scheduleLocked(time.Now())
		s.mu.Unlock()
		if m.ActiveCount() != 3 {
			t.Errorf("next token: got %d tasks placed, want 3", m.ActiveCount())
		}
		for _, a := range m.Attempts.All() {
			if a.Attempt >= (s.epoch.Token+1)<<fleet.AttemptNumberBits {
				t.Errorf("attempt number %d does not belong to token %d or an older one", a.Attempt, s.epoch.Token)
			}
		}
	})
}
