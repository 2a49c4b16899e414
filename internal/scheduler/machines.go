package scheduler

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"heronwick/internal/placement"
	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

const (
	probeTimeout = 700 * time.Millisecond
	// deadProbes is how many probes in a row must go unanswered.
	deadProbes = 3
	// keepWarm is how long an idle machine is kept for what may come.
	keepWarm = 5 * time.Minute
	// keepUnused is how long it is kept while there are no jobs at all.
	keepUnused = 30 * time.Second
	// cloudEvery is how often it is looked whether to rent or return machines.
	cloudEvery = 500 * time.Millisecond
	// listEvery is how often the cloud's list is read.
	listEvery = 5 * time.Second
)

// drainLocked empties a machine that the cloud will take away, or whose lease
// will lapse: replicas move at once, and what can save is stopped in time. The
// rest runs on: it may finish before, and stopping it would lose it anyway.
func (s *Scheduler) drainLocked(m *machine) {
	for _, a := range m.Attempts.All() {
		if a.Stop || a.Exited() || !a.Sized {
			continue
		}
		if a.Service || a.GraceS > 0 || a.Running.IsZero() {
			s.log.Info("draining", "task", a.Task, "machine", m.Name)
			a.Stop = true
			s.sendLocked(m)
		}
	}
}

// goneLocked drops a machine that was returned.
func (s *Scheduler) goneLocked(m *machine) {
	s.handleLocked(m, m.MarkReleased())
	s.list.Close(m)
	s.records.leave(m)
	delete(s.machines, m.Name)
	if _, named := s.opts.Authority.OwnerOf(m.Name); named {
		// Whoever takes over what is ours must not take it for a machine.
		s.supply.untold = append(s.supply.untold, m.Name)
	}
}

// tellGoneLocked tells the other controllers which machines are gone, many in
// one write.
func (s *Scheduler) tellGoneLocked() {
	if s.supply.telling || len(s.supply.untold) == 0 || !s.loaded {
		return
	}
	s.supply.telling = true
	names := s.supply.toTell(s.valueLimit())
	machines := map[string]json.RawMessage{}
	for _, name := range names {
		machines[name] = json.RawMessage("null")
	}
	s.goDo(func(ctx context.Context) {
		err := s.transfer(ctx, "", machines, state.Background)
		if err != nil {
			wait.Sleep(ctx, 500*time.Millisecond)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.supply.telling = false
		if err == nil {
			s.supply.untold = s.supply.untold[len(names):]
		}
	})
}

// runCloud reads the cloud's list, rents and returns. One controller does, so that
// the cloud's limit holds.
func (s *Scheduler) runCloud(ctx context.Context) error {
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
			s.readList(ctx)
		}
		s.mu.Lock()
		s.returnIdleLocked(time.Now())
		s.mu.Unlock()
		s.rent(ctx)
	})
}

// readList reads the cloud's list.
func (s *Scheduler) readList(ctx context.Context) {
	machines, err := s.opts.Cloud.List(ctx)
	if err != nil {
		s.log.Info("listing machines failed", "err", err)
		return
	}
	s.takeList(machines, time.Now())
}

// takeList takes the cloud's list. It lags: a machine that is missing may be
// up, and one that is listed may be gone.
func (s *Scheduler) takeList(machines []wire.Machine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, lm := range machines {
		if s.isGoneLocked(lm.ID) || s.opts.Actions.Condemned(lm.ID) {
			continue
		}
		if node, owned := s.opts.Authority.HeartbeatTarget(lm.ID); owned && node != s.opts.Node {
			delete(s.supply.booting, lm.ID)
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
		s.supply.expect(lm.ID, placement.Place{Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot}, now.Add(-age), now)
	}
	// A list lags, and by up to double its usual lag.
	stuck := s.supply.overdue(now, s.bootLimit, 2*s.opts.Settings.ListLag+s.deadAfter())
	s.returnNamesLocked(failed, "failed")
	s.returnNamesLocked(stuck, "never came up")
	s.returnNamesLocked(s.abandonedLocked(), whyCondemned)
}

// bootLimit is when a machine that has not come up is given back: some take
// several times as long as usual, a few for ever.
func (s *Scheduler) bootLimit(place placement.Place) time.Duration {
	boot := 30 * time.Second
	if t := s.types[place.Type]; t != nil {
		boot = time.Duration(t.BootS * float64(time.Second))
	}
	return 3*boot + 2*s.opts.Settings.ListLag
}

// returnIdleLocked gives back a machine that has been idle for long, if more
// are idle than are wanted in reserve.
func (s *Scheduler) returnIdleLocked(now time.Time) {
	if !s.loaded || !s.permitted() {
		return
	}
	var idle []*machine
	for _, m := range s.machines {
		if m.returning || m.ActiveCount() > 0 || m.Attempts.Len() > 0 || m.dirty || m.writing() || !s.synced(m) {
			continue
		}
		idle = append(idle, m)
	}
	if len(idle) <= s.spare {
		return
	}
	slices.SortFunc(idle, func(a, b *machine) int { return a.idleSince.Compare(b.idleSince) })
	back, warm := idle[:1], keepWarm
	if len(s.opts.Jobs.AllActive()) == 0 {
		// Nobody wants anything, so only the reserve is worth its price.
		back, warm = idle[:len(idle)-s.spare], keepUnused
	}
	back = slices.DeleteFunc(back, func(m *machine) bool { return now.Sub(m.idleSince) <= warm })
	s.returnLocked(back, "idle")
}
