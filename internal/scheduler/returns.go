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
	// returnRetryDelay is how long a machine is kept whose return was refused.
	returnRetryDelay = time.Second
	// closeReturnsInterval is how often return intents are removed whose machines are gone.
	closeReturnsInterval = 3 * time.Second
)

// returnLocked returns machines of this scheduler to the cloud. When the cloud
// says so, they and all that was on them are gone.
func (s *Scheduler) returnLocked(machines []*machine, reason autoscale.ReturnReason) {
	s.beginReturnLocked(duty.ID{Name: duty.Return, Scope: duty.Shard(s.opts.Node)}, machines, reason)
}

// reclaimLocked returns machines that may have no worker, and that no scheduler
// looks after.
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

// beginReturnLocked starts to return those of the machines that may be returned
// now, under a duty.
func (s *Scheduler) beginReturnLocked(id duty.ID, machines []*machine, reason autoscale.ReturnReason) {
	names := s.selectReturnsLocked(machines, reason, time.Now())
	if len(names) == 0 {
		return
	}
	ret := autoscale.Return{Duty: id, Fence: s.fenceLocked(), Machines: names, Reason: reason}
	s.spawn(func(ctx context.Context) { s.returner().Execute(ctx, ret) })
}

// selectReturnsLocked marks as returning as many of the machines as fit one
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
		s.log.Info("returning machine", "machine", m.Name, "why", reason, "tasks", m.ActiveCount(), "quarantined", m.quarantined)
	}
	return names
}

// returner returns what carries out the returns of this scheduler.
func (s *Scheduler) returner() *autoscale.Returner {
	return &autoscale.Returner{
		Actions: s.opts.Actions,
		Released: func(machines []string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.applyReleaseLocked(machines, time.Now())
		},
		Kept: func(machines []string) {
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

// abortReturnLocked keeps machines whose return could not be recorded, and
// tries again later.
func (s *Scheduler) abortReturnLocked(names []string) {
	for _, name := range names {
		if m := s.machines[name]; m != nil {
			m.returning, m.returnNotBefore = false, time.Now().Add(returnRetryDelay)
		}
	}
}

// abandonedReturnsLocked returns the machines with return intents that are on no
// record of tasks and whose owners are no members any more. Those with records
// are adopted first.
func (s *Scheduler) abandonedReturnsLocked() []string {
	if !s.leadsLocked() || s.adoptedToken != s.opts.Authority.Token() || !s.permitted() {
		return nil
	}
	var names []string
	for _, name := range s.opts.Actions.Abandoned() {
		if s.machines[name] == nil && !s.inventory.IsReleased(name) {
			names = append(names, name)
		}
	}
	return names
}

// closeReturnsLocked removes the return intents whose machines are released,
// once no other controller takes those for machines that are there.
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
