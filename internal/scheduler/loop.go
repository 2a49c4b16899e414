package scheduler

import (
	"context"
	"time"

	"heronwick/internal/wait"
)

// passInterval is how long a pass waits after the one before, or twice as long as
// that took. What comes meanwhile is served together: under load a pass for
// each heartbeat would take more than this controller's part of a processor.
const passInterval = 10 * time.Millisecond

// tickInterval is how often the scheduler does what no event calls for.
const tickInterval = 200 * time.Millisecond

// logLoadInterval is how often the scheduler logs how full it is.
const logLoadInterval = 10 * time.Second

// loop schedules whenever something has changed, and ticks at regular times.
func (s *Scheduler) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case now := <-tick.C:
			s.tick(now)
		}
		took := s.schedule()
		if !wait.Sleep(ctx, max(passInterval, 2*took)) {
			return nil
		}
	}
}

// maintenance is when the rarer parts of a tick were last done. Only the loop uses it.
type maintenance struct {
	logged, tidied, summarized, closed time.Time
}

// tick does what is due by the clock: it watches the machines, writes records that
// can wait, and brings up to date what the other controllers are sent.
func (s *Scheduler) tick(now time.Time) {
	s.epochChecked.Store(false) // in case that a change went unnoticed
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebalanceIdleLocked(now)
	s.shedIdleMachinesLocked(now)
	s.watchMachinesLocked(now)
	if now.Sub(s.maintenance.summarized) >= summarizeInterval {
		s.maintenance.summarized = now
		s.summarizeLocked(now)
	}
	s.flushDoneTasksLocked(now)
	s.announceReleasesLocked()
	if now.Sub(s.maintenance.closed) > closeReturnsInterval {
		s.maintenance.closed = now
		s.closeReturnsLocked()
	}
	if now.Sub(s.maintenance.tidied) > tidyInterval {
		s.maintenance.tidied = now
		s.tidyRecordsLocked(now)
	}
	if now.Sub(s.maintenance.logged) > logLoadInterval {
		s.maintenance.logged = now
		s.logLoadLocked(now)
	}
}

// schedule places what waits, and returns how long that took.
func (s *Scheduler) schedule() (took time.Duration) {
	began := time.Now()
	s.mu.Lock()
	locked := time.Now()
	if !s.epochChecked.Swap(true) {
		s.followEpochLocked()
	}
	s.scheduleLocked(time.Now())
	s.recordPlacementsLocked()
	s.placeRemotelyLocked(time.Now())
	s.detector.NoteDelay(max(locked.Sub(began), time.Since(locked)), time.Now())
	s.mu.Unlock()
	took = time.Since(began)
	s.passes.add(took)
	return took
}

// passStats sums how long passes took. Only the loop uses it.
type passStats struct {
	count          int
	total, longest time.Duration
}

// add counts a pass.
func (p *passStats) add(took time.Duration) {
	p.count, p.total, p.longest = p.count+1, p.total+took, max(p.longest, took)
}

// EpochChanged notes that the epoch or a machine's owner has changed.
func (s *Scheduler) EpochChanged() { s.recheckEpoch() }

// recheckEpoch has the next pass compare what the scheduler has with who owns what.
func (s *Scheduler) recheckEpoch() {
	s.epochChecked.Store(false)
	s.wakeLoop()
}

// wakeLoop has the loop make another pass soon. It needs no lock.
func (s *Scheduler) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
