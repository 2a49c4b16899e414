package scheduler

import (
	"context"
	"time"

	"heronwick/internal/autoscale"
	"heronwick/internal/duty"
	"heronwick/internal/fleet"
	"heronwick/wire"
)

const (
	// returnRetryDelay is how long a machine is kept before its return is tried again
	// after it could not be recorded.
	returnRetryDelay = time.Second
	// closeReturnsInterval is how often the return intents of machines that are gone are
	// removed.
	closeReturnsInterval = 3 * time.Second
)

// returnLocked returns machines of this scheduler to the cloud. Once the cloud
// confirms it, the machines and all attempts on them are gone.
func (s *Scheduler) returnLocked(machines []*machine, reason autoscale.ReturnReason) {
	s.beginReturnLocked(duty.ID{Name: duty.Return, Scope: duty.Shard(s.opts.Node)}, machines, reason)
}

// reclaimLocked returns machines that may have no worker and that no scheduler
// manages.
func (s *Scheduler) reclaimLocked(names []string, reason autoscale.ReturnReason) {
	var machines []*machine
	for _, name := range names {
		m := s.machines[name]
		if m == nil {
			m = s.addMachineLocked(fleet.NewMachine(name), time.Now())
		}
		machines = append(machines, m)
	}
	s.beginReturnLocked(duty.ID{Name: duty.Reclaim, Scope: duty.Fleet}, machines, reason)
}

// beginReturnLocked starts to return, under a duty, those of the machines that may be
// returned now.
func (s *Scheduler) beginReturnLocked(id duty.ID, machines []*machine, reason autoscale.ReturnReason) {
	names := s.selectReturnsLocked(machines, reason, time.Now())
	if len(names) == 0 {
		return
	}
	ret := autoscale.Return{Duty: id, Fence: s.fenceLocked(), Machines: names, Reason: reason}
	s.spawn(func(ctx context.Context) { s.returner().Execute(ctx, ret) })
}

// selectReturnsLocked marks as many of the machines as returning as fit into one
// request and one return intent, and returns their names.
func (s *Scheduler) selectReturnsLocked(machines []*machine, reason autoscale.ReturnReason, now time.Time) []string {
	var names []string
	for _, m := range machines {
		if m.returning || now.Before(m.returnNotBefore) || len(names) == wire.MaxReturn {
			continue
		}
		names = append(names, m.Name)
		if s.opts.Actions.MaxReturnMachines(names) < len(names) {
			return names[:len(names)-1]
		}
		m.returning = true
		s.log.Info("returning machine", "machine", m.Name, "reason", reason, "tasks", m.ActiveCount(), "quarantined", m.quarantined)
	}
	return names
}

// returner returns the Returner that executes the returns of this scheduler.
func (s *Scheduler) returner() *autoscale.Returner {
	return &autoscale.Returner{
		Actions: s.opts.Actions,
		OnReleased: func(machines []string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.applyReleaseLocked(machines, time.Now())
		},
		OnRecordFailure: func(machines []string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.abortReturnLocked(machines)
		},
		Log: s.log,
	}
}

// applyReleaseLocked removes machines that the cloud has taken back.
func (s *Scheduler) applyReleaseLocked(names []string, now time.Time) {
	for _, name := range names {
		s.inventory.MarkReleased(name, now)
		if m := s.machines[name]; m != nil {
			s.removeReleasedLocked(m)
		}
	}
	s.wakeLoop()
}

// abortReturnLocked keeps machines whose return could not be recorded. The return is
// tried again after returnRetryDelay.
func (s *Scheduler) abortReturnLocked(names []string) {
	for _, name := range names {
		if m := s.machines[name]; m != nil {
			m.returning, m.returnNotBefore = false, time.Now().Add(returnRetryDelay)
		}
	}
}

// abandonedReturnsLocked returns the names of machines with return intents that have
// no records of tasks and whose owners are no longer members. Machines with records
// are adopted first.
func (s *Scheduler) abandonedReturnsLocked() []string {
	if !s.leadsLocked() || s.adoptedToken != s.opts.Authority.Token() || !s.permitted() {
		return nil
	}
	var names []string
	for _, name := range s.opts.Actions.AbandonedReturns() {
		if s.machines[name] == nil && !s.inventory.IsReleased(name) {
			names = append(names, name)
		}
	}
	return names
}

// closeReturnsLocked removes the return intents of released machines once the release
// has been announced: from then on no other controller expects the machines to exist.
func (s *Scheduler) closeReturnsLocked() {
	if !s.opts.Actions.Active() || !s.loaded {
		return
	}
	unannounced := map[string]bool{}
	for _, name := range s.transfers.Unannounced() {
		unannounced[name] = true
	}
	s.spawn(func(ctx context.Context) {
		s.opts.Actions.CloseReturns(ctx, s.recordCleanupDuty(), func(machine string) bool { return !unannounced[machine] })
	})
}
