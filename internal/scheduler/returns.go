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

// Reasons for which machines are returned that are told apart here.
const (
	whyOverdue   = "a cancelled task may still be on it"
	whyCondemned = "condemned by its owner before"
)

const (
	// returnAgainAfter is how long a machine is kept whose return was refused.
	returnAgainAfter = time.Second
	// overdueRecordTime is how long recording the return of a machine may take when a
	// cancelled task must be gone from it.
	overdueRecordTime = time.Second
	// closeReturnsEvery is how often intents are looked through whose machines are gone.
	closeReturnsEvery = 3 * time.Second
)

// returnLocked gives machines of the share back. When the cloud says so, they and all
// that was on them are gone.
func (s *Scheduler) returnLocked(machines []*machine, why string) {
	s.returnUnderLocked(duty.ID{Name: duty.Return, Scope: duty.Share(s.opts.Node)}, machines, why)
}

// returnNamesLocked gives back machines that may have no worker, and that no share
// looks after.
func (s *Scheduler) returnNamesLocked(names []string, why string) {
	var known []*machine
	for _, name := range names {
		m := s.machines[name]
		if m == nil {
			m = s.addMachineLocked(fleet.NewMachine(name), time.Now())
		}
		known = append(known, m)
	}
	s.returnUnderLocked(duty.ID{Name: duty.Reclaim, Scope: duty.Fleet}, known, why)
}

func (s *Scheduler) returnUnderLocked(id duty.ID, machines []*machine, why string) {
	now := time.Now()
	var names []string
	for _, m := range machines {
		if m.returning || now.Before(m.returnAgain) || len(names) == wire.MaxReturn {
			continue
		}
		if names = append(names, m.Name); s.opts.Actions.MaxCondemned(names) < len(names) {
			names = names[:len(names)-1]
			break
		}
		m.returning = true
		s.log.Info("returning machine", "machine", m.Name, "why", why, "tasks", m.ActiveCount(), "suspect", m.quarantined)
	}
	if len(names) == 0 {
		return
	}
	fence := s.fenceLocked()
	s.goDo(func(ctx context.Context) { s.giveBack(ctx, id, fence, names, why) })
}

// giveBack records that machines are to be returned, and returns them.
func (s *Scheduler) giveBack(ctx context.Context, id duty.ID, fence state.FencingCondition, names []string, why string) {
	send, err := s.condemn(ctx, id, fence, names, why)
	if err != nil {
		s.log.Info("machines are not returned for now", "machines", names, "err", err)
		s.mu.Lock()
		s.keepLocked(names)
		s.mu.Unlock()
		return
	}
	for {
		err := send(ctx)
		if err == nil {
			break
		}
		s.log.Info("returning machines failed, trying again", "machines", names, "err", err)
		if !wait.Sleep(ctx, 300*time.Millisecond+rand.N(400*time.Millisecond)) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, name := range names {
		s.inventory.MarkReleased(name, now)
		if m := s.machines[name]; m != nil {
			s.goneLocked(m)
		}
	}
	s.poke()
}

// condemn records the return and gives what then carries it out. A cancelled task must
// be gone by a time, also while the store cannot be reached.
func (s *Scheduler) condemn(ctx context.Context, id duty.ID, fence state.FencingCondition, names []string, why string) (send func(context.Context) error, err error) {
	recording, overdue := ctx, why == whyOverdue
	if overdue {
		var cancel context.CancelFunc
		recording, cancel = context.WithTimeout(ctx, overdueRecordTime)
		defer cancel()
	}
	condemnation, err := s.opts.Actions.Condemn(recording, id, fence, names, why)
	if err != nil && overdue {
		return func(ctx context.Context) error { return s.opts.Actions.GiveBackUnrecorded(ctx, id, names) }, nil
	}
	return func(ctx context.Context) error { return s.opts.Actions.GiveBack(ctx, condemnation) }, err
}

// keepLocked keeps machines whose return could not be recorded.
func (s *Scheduler) keepLocked(names []string) {
	for _, name := range names {
		if m := s.machines[name]; m != nil {
			m.returning, m.returnAgain = false, time.Now().Add(returnAgainAfter)
		}
	}
}

// abandonedLocked returns the condemned machines that are on no record of tasks and
// whose owners are no members any more. Those with records are adopted first.
func (s *Scheduler) abandonedLocked() []string {
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

// cleanupDuty is the duty of removing the share's records.
func (s *Scheduler) cleanupDuty() duty.ID {
	return duty.ID{Name: duty.Cleanup, Scope: duty.Share(s.opts.Node)}
}

// cleanupGuard returns the right to remove the share's records.
func (s *Scheduler) cleanupGuard() (duty.Guard, error) { return s.opts.Actions.Guard(s.cleanupDuty()) }

// closeReturnsLocked removes the intents whose machines are gone, once no other
// controller takes those for machines that are there.
func (s *Scheduler) closeReturnsLocked() {
	if !s.opts.Actions.Active() || !s.loaded {
		return
	}
	untold := map[string]bool{}
	for _, name := range s.notices.pending {
		untold[name] = true
	}
	s.goDo(func(ctx context.Context) {
		s.opts.Actions.CloseReturns(ctx, s.cleanupDuty(), func(machine string) bool { return !untold[machine] })
	})
}
