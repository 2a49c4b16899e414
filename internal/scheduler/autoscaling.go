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
	// autoscaleInterval is how often the leader decides whether to rent or return
	// machines.
	autoscaleInterval = 500 * time.Millisecond
	// cloudListInterval is how often the leader reads the cloud's list of machines.
	cloudListInterval = 5 * time.Second
)

// runAutoscaling reads the cloud's list of machines, rents machines and returns them.
// Only the leader does this, so that the cloud's limit on the request rate is kept.
func (s *Scheduler) runAutoscaling(ctx context.Context) error {
	renter := s.renter()
	var listed time.Time
	return wait.Every(ctx, autoscaleInterval, func() {
		s.mu.Lock()
		leads := s.leadsLocked()
		s.mu.Unlock()
		if !leads {
			return
		}
		if now := time.Now(); now.Sub(listed) > cloudListInterval {
			listed = now
			s.readMachineList(ctx)
		}
		s.mu.Lock()
		s.returnIdleLocked(time.Now())
		s.mu.Unlock()
		renter.RunRound(ctx)
	})
}

// readMachineList reads the cloud's list of machines and applies it.
func (s *Scheduler) readMachineList(ctx context.Context) {
	machines, err := s.opts.Cloud.List(ctx)
	if err != nil {
		s.log.Info("failed to list the cloud's machines", "err", err)
		return
	}
	s.applyMachineList(machines, time.Now())
}

// applyMachineList applies the cloud's list of machines. The list lags behind: a
// machine that is missing from it may be running, and a machine on it may be gone.
func (s *Scheduler) applyMachineList(machines []wire.Machine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, listed := range machines {
		if s.isReleasedLocked(listed.ID) || s.opts.Actions.HasReturnIntent(listed.ID) {
			continue
		}
		if node, owned := s.opts.Authority.HeartbeatTarget(listed.ID); owned && node != s.opts.Node {
			s.inventory.MarkJoined(listed.ID)
			continue // its owner manages it
		}
		age := time.Duration(listed.AgeS * float64(time.Second))
		if listed.State == wire.MachineFailed {
			failed = append(failed, listed.ID)
			continue
		}
		if s.machines[listed.ID] != nil {
			continue
		}
		s.inventory.AddBooting(listed.ID, placement.Pool{Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot}, now.Add(-age), now)
	}
	// The list can lag by up to twice its usual lag.
	overdue := s.planner.Overdue(s.opts.Settings.CloudListLag, 2*s.opts.Settings.CloudListLag+s.detector.DeadAfter(), now)
	s.reclaimLocked(failed, autoscale.ReasonFailed)
	s.reclaimLocked(overdue, autoscale.ReasonNeverBooted)
	s.reclaimLocked(s.abandonedReturnsLocked(), autoscale.ReasonExistingIntent)
}

// returnIdleLocked returns machines that have been idle for a long time, if there are
// more idle machines than the reserve needs.
func (s *Scheduler) returnIdleLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	var idle []autoscale.IdleMachine
	for _, m := range s.machines {
		if m.returning || m.ActiveCount() > 0 || m.Attempts.Len() > 0 || m.record.Dirty || m.record.WriteInFlight() || !s.synced(m) {
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
