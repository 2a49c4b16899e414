package scheduler

import (
	"context"
	"time"

	"heronwick/internal/autoscale"
	"heronwick/internal/placement"
	"heronwick/internal/wait"
	"heronwick/wire"
)

const (
	// cloudEvery is how often it is looked whether to rent or return machines.
	cloudEvery = 500 * time.Millisecond
	// listEvery is how often the cloud's list is read.
	listEvery = 5 * time.Second
)

// runCloud reads the cloud's list, rents and returns. One controller does, so that
// the cloud's limit holds.
func (s *Scheduler) runCloud(ctx context.Context) error {
	renter := s.renter()
	var listed time.Time
	return wait.Every(ctx, cloudEvery, func() {
		s.mu.Lock()
		leads := s.leadsLocked()
		s.mu.Unlock()
		if !leads {
			return
		}
		if now := time.Now(); now.Sub(listed) > listEvery {
			listed = now
			s.readMachineList(ctx)
		}
		s.mu.Lock()
		s.returnIdleLocked(time.Now())
		s.mu.Unlock()
		renter.Round(ctx)
	})
}

// readMachineList reads the cloud's list.
func (s *Scheduler) readMachineList(ctx context.Context) {
	machines, err := s.opts.Cloud.List(ctx)
	if err != nil {
		s.log.Info("listing machines failed", "err", err)
		return
	}
	s.takeMachineList(machines, time.Now())
}

// takeMachineList takes the cloud's list. It lags: a machine that is missing may be
// up, and one that is listed may be gone.
func (s *Scheduler) takeMachineList(machines []wire.Machine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, lm := range machines {
		if s.isReleasedLocked(lm.ID) || s.opts.Actions.HasReturnIntent(lm.ID) {
			continue
		}
		if node, owned := s.opts.Authority.HeartbeatTarget(lm.ID); owned && node != s.opts.Node {
			s.inventory.Joined(lm.ID)
			continue // its owner looks after it
		}
		age := time.Duration(lm.AgeS * float64(time.Second))
		if lm.State == wire.MachineFailed {
			failed = append(failed, lm.ID)
			continue
		}
		if s.machines[lm.ID] != nil {
			continue
		}
		s.inventory.Expect(lm.ID, placement.Place{Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot}, now.Add(-age), now)
	}
	// A list lags, and by up to double its usual lag.
	overdue := s.planner.Overdue(s.opts.Settings.CloudListLag, 2*s.opts.Settings.CloudListLag+s.detector.DeadAfter(), now)
	s.reclaimLocked(failed, "failed")
	s.reclaimLocked(overdue, "never came up")
	s.reclaimLocked(s.abandonedReturnsLocked(), autoscale.ReasonRecordedBefore)
}

// returnIdleLocked returns machines that have been idle for long, if more are
// idle than are wanted in reserve.
func (s *Scheduler) returnIdleLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	var idle []autoscale.IdleMachine
	for _, m := range s.machines {
		if m.returning || m.ActiveCount() > 0 || m.Attempts.Len() > 0 || m.record.Dirty || m.record.Writing() || !s.synced(m) {
			continue
		}
		idle = append(idle, autoscale.IdleMachine{Name: m.Name, Since: m.idleSince})
	}
	hasJobs := func() bool { return len(s.opts.Jobs.AllActive()) > 0 }
	var surplus []*machine
	for _, name := range autoscale.SurplusIdle(idle, s.idleReserve, hasJobs, now) {
		surplus = append(surplus, s.machines[name])
	}
	s.returnLocked(surplus, autoscale.ReasonIdle)
}
