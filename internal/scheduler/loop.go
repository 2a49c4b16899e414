package scheduler

import (
	"context"
	"time"

	"heronwick/internal/wait"
)

// passInterval is the minimum pause after a pass; the pause is also at least twice as
// long as the pass took. Changes during the pause are handled together in the next pass:
// under load, one pass for each heartbeat would exceed this controller's share of a
// processor.
const passInterval = 10 * time.Millisecond

// tickInterval is the period of work that no event triggers.
const tickInterval = 200 * time.Millisecond

// logLoadInterval is how often the scheduler logs its load.
const logLoadInterval = 10 * time.Second

// loop runs a scheduling pass after each wake-up and each tick.
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

// maintenance holds when the less frequent steps of tick last ran. Only the loop uses
// it.
type maintenance struct {
	logged, bucketsRewritten, summarized, returnsClosed, usageChecked time.Time
}

// tick does the periodic work: it checks the machines, writes records that can be
// delayed, and updates the summary that is sent to other controllers.
func (s *Scheduler) tick(now time.Time) {
	s.epochChecked.Store(false) // in case a notification of a change was missed
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
	if now.Sub(s.maintenance.returnsClosed) > closeReturnsInterval {
		s.maintenance.returnsClosed = now
		s.closeReturnsLocked()
	}
	if now.Sub(s.maintenance.bucketsRewritten) > rewriteBucketsInterval {
		s.maintenance.bucketsRewritten = now
		s.rewriteStaleBucketsLocked(now)
	}
	if now.Sub(s.maintenance.usageChecked) > usageCheckInterval {
		s.maintenance.usageChecked = now
		s.checkUsageLocked()
	}
	if now.Sub(s.maintenance.logged) > logLoadInterval {
		s.maintenance.logged = now
		s.logLoadLocked(now)
	}
}

// schedule runs one scheduling pass and returns how long it took.
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
	s.detector.RecordDelay(max(locked.Sub(began), time.Since(locked)), time.Now())
	s.mu.Unlock()
	took = time.Since(began)
	s.passes.add(took)
	return took
}

// passStats counts passes and sums their durations. Only the loop uses it.
type passStats struct {
	count          int
	total, longest time.Duration
}

// add records a pass that took the given time.
func (p *passStats) add(took time.Duration) {
	p.count, p.total, p.longest = p.count+1, p.total+took, max(p.longest, took)
}

// EpochChanged must be called when the epoch or the owner of a machine has changed.
func (s *Scheduler) EpochChanged() { s.recheckEpoch() }

// recheckEpoch makes the next pass compare the scheduler's jobs and machines with their
// owners in the current epoch.
func (s *Scheduler) recheckEpoch() {
	s.epochChecked.Store(false)
	s.wakeLoop()
}

// wakeLoop triggers another pass soon. It needs no lock.
func (s *Scheduler) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
