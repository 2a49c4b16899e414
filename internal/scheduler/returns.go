package scheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"heronwick/internal/duty"
	"heronwick/internal/fleet"
	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// returnReason is why a machine is returned to the cloud. It is logged and
// stored in the return intent.
type returnReason string

const (
	notReturned          returnReason = ""
	reasonIdle           returnReason = "idle"
	reasonFailed         returnReason = "failed"
	reasonNeverBooted    returnReason = "never came up"
	reasonRecordedBefore returnReason = "condemned by its owner before"
	reasonLost           returnReason = "lost"
	reasonOverdueTask    returnReason = "a cancelled task may still be on it"
	reasonUnreachable    returnReason = "nothing reaches it"
	reasonQuarantined    returnReason = "set aside"
	reasonCannotReport   returnReason = "it reaches nobody"
	reasonRestarted      returnReason = "its worker has started anew"
)

const (
	// returnAgainAfter is how long a machine is kept whose return was refused.
	returnAgainAfter = time.Second
	// overdueRecordTime is how long recording the return of a machine may take when a
	// cancelled task must be gone from it.
	overdueRecordTime = time.Second
	// returnRetryAfter and a random part of returnRetryJitter are how long after
	// a return that failed it is tried again.
	returnRetryAfter  = 300 * time.Millisecond
	returnRetryJitter = 400 * time.Millisecond
	// closeReturnsEvery is how often intents are looked through whose machines are gone.
	closeReturnsEvery = 3 * time.Second
)

// returnLocked returns machines of this scheduler to the cloud. When the cloud
// says so, they and all that was on them are gone.
func (s *Scheduler) returnLocked(machines []*machine, reason returnReason) {
	s.beginReturnLocked(duty.ID{Name: duty.Return, Scope: duty.Share(s.opts.Node)}, machines, reason)
}

// reclaimLocked returns machines that may have no worker, and that no scheduler
// looks after.
func (s *Scheduler) reclaimLocked(names []string, reason returnReason) {
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
func (s *Scheduler) beginReturnLocked(id duty.ID, machines []*machine, reason returnReason) {
	names := s.selectReturnsLocked(machines, reason, time.Now())
	if len(names) == 0 {
		return
	}
	fence := s.fenceLocked()
	s.goDo(func(ctx context.Context) { s.carryOutReturn(ctx, id, fence, names, reason) })
}

// selectReturnsLocked marks as returning as many of the machines as fit one
// request and one return intent, and returns their names.
func (s *Scheduler) selectReturnsLocked(machines []*machine, reason returnReason, now time.Time) []string {
	var names []string
	for _, m := range machines {
		if m.returning || now.Before(m.returnAgain) || len(names) == wire.MaxReturn {
			continue
		}
		names = append(names, m.Name)
		if s.opts.Actions.MaxCondemned(names) < len(names) {
			return names[:len(names)-1]
		}
		m.returning = true
		s.log.Info("returning machine", "machine", m.Name, "why", reason, "tasks", m.ActiveCount(), "quarantined", m.quarantined)
	}
	return names
}

// carryOutReturn records that machines are to be returned, and returns them.
func (s *Scheduler) carryOutReturn(ctx context.Context, id duty.ID, fence state.FencingCondition, names []string, reason returnReason) {
	send, err := s.recordReturn(ctx, id, fence, names, reason)
	if err != nil {
		s.log.Info("machines are not returned for now", "machines", names, "err", err)
		s.mu.Lock()
		s.abortReturnLocked(names)
		s.mu.Unlock()
		return
	}
	for {
		err := send(ctx)
		if err == nil {
			break
		}
		s.log.Info("returning machines failed, trying again", "machines", names, "err", err)
		if !wait.Sleep(ctx, returnRetryAfter+rand.N(returnRetryJitter)) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, name := range names {
		s.inventory.MarkReleased(name, now)
		if m := s.machines[name]; m != nil {
			s.removeReleasedLocked(m)
		}
	}
	s.poke()
}

// recordReturn records the return intent and gives what then carries it out. A
// cancelled task must be gone by a time, also while the store cannot be
// reached: its machine is then returned without an intent.
func (s *Scheduler) recordReturn(ctx context.Context, id duty.ID, fence state.FencingCondition, names []string, reason returnReason) (send func(context.Context) error, err error) {
	recording, overdue := ctx, reason == reasonOverdueTask
	if overdue {
		var cancel context.CancelFunc
		recording, cancel = context.WithTimeout(ctx, overdueRecordTime)
		defer cancel()
	}
	intent, err := s.opts.Actions.Condemn(recording, id, fence, names, string(reason))
	if err != nil && overdue {
		return func(ctx context.Context) error { return s.opts.Actions.GiveBackUnrecorded(ctx, id, names) }, nil
	}
	return func(ctx context.Context) error { return s.opts.Actions.GiveBack(ctx, intent) }, err
}

// abortReturnLocked keeps machines whose return could not be recorded, and
// tries again later.
func (s *Scheduler) abortReturnLocked(names []string) {
	for _, name := range names {
		if m := s.machines[name]; m != nil {
			m.returning, m.returnAgain = false, time.Now().Add(returnAgainAfter)
		}
	}
}

// abandonedReturnsLocked returns the machines with return intents that are on no
// record of tasks and whose owners are no members any more. Those with records
// are adopted first.
func (s *Scheduler) abandonedReturnsLocked() []string {
	if !s.leadsLocked() || s.adopted != s.opts.Authority.Token() || !s.permitted() {
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

// cleanupDuty is the duty of removing this scheduler's records.
func (s *Scheduler) cleanupDuty() duty.ID {
	return duty.ID{Name: duty.Cleanup, Scope: duty.Share(s.opts.Node)}
}

// cleanupGuard returns the right to remove this scheduler's records.
func (s *Scheduler) cleanupGuard() (duty.Guard, error) { return s.opts.Actions.Guard(s.cleanupDuty()) }

// closeReturnsLocked removes the return intents whose machines are released,
// once no other controller takes those for machines that are there.
func (s *Scheduler) closeReturnsLocked() {
	if !s.opts.Actions.Active() || !s.loaded {
		return
	}
	unannounced := map[string]bool{}
	for _, name := range s.notices.pending {
		unannounced[name] = true
	}
	s.goDo(func(ctx context.Context) {
		s.opts.Actions.CloseReturns(ctx, s.cleanupDuty(), func(machine string) bool { return !unannounced[machine] })
	})
}
