package scheduler

import (
	"time"

	"heronwick/wire"
)

const (
	// rebalanceInterval is how often idle machines are rebalanced among the controllers.
	rebalanceInterval = 30 * time.Second
	// unknownTasksRetention is how long a machine with tasks of unknown jobs is
	// remembered. By then the machine is gone, or the state of the jobs was resolved.
	unknownTasksRetention = 10 * time.Minute
	// busyPerIdleMachine is the number of machines in use for each idle machine that a
	// controller keeps.
	busyPerIdleMachine = 4
)

// rebalanceIdleLocked hands idle machines that a controller does not need over to the
// leader, and on the leader distributes them to controllers that have none. A
// controller whose tasks find no room gets machines at once, see Place.
func (s *Scheduler) rebalanceIdleLocked(now time.Time) {
	if !s.loaded || !s.permitted() || now.Sub(s.rebalancedAt) < rebalanceInterval {
		return
	}
	s.rebalancedAt = now
	s.forgetOldMachinesLocked(now)
	if s.hasUnplacedGangLocked() {
		return
	}
	idle := s.handoverCandidatesLocked(now)
	if len(idle) <= 1 {
		return
	}
	// A controller's further demand is expected to be proportional to what it has in
	// use.
	keep := max(1, (len(s.machines)-len(idle))/busyPerIdleMachine)
	switch {
	case len(idle) <= keep:
	case s.epoch.Leader == s.opts.Node:
		s.distributeIdleLocked(idle, keep)
	case !s.opts.Authority.PeerLoads()[s.epoch.Leader].Overloaded:
		s.handOverLocked(idle[keep:], s.epoch.Leader)
	}
}

// forgetOldMachinesLocked deletes what is remembered of machines that have been gone
// for a long time.
func (s *Scheduler) forgetOldMachinesLocked(now time.Time) {
	s.inventory.PruneReleased(now)
	for name, at := range s.unknownTasksSince {
		if now.Sub(at) > unknownTasksRetention {
			delete(s.unknownTasksSince, name)
		}
	}
}

// hasUnplacedGangLocked reports whether a gang of this scheduler waits for machines.
func (s *Scheduler) hasUnplacedGangLocked() bool {
	for _, queued := range s.jobs {
		if queued.Record.Job.Kind == wire.KindGang && !queued.UnplacedSince.IsZero() {
			return true
		}
	}
	return false
}

// distributeIdleLocked hands over the idle machines, except for keep of them, in
// equal shares to the controllers that have jobs and no idle machine. One share
// remains here.
func (s *Scheduler) distributeIdleLocked(idle []*machine, keep int) {
	var starving []string
	for node := range s.epoch.Members {
		if node != s.opts.Node && s.opts.Authority.IdleMachines(node) == 0 && s.hasJobs(node) {
			starving = append(starving, node)
		}
	}
	each := (len(idle) - keep) / (len(starving) + 1)
	if each == 0 {
		return
	}
	for i, node := range starving {
		s.handOverLocked(idle[i*each:(i+1)*each], node)
	}
}

// hasJobs reports whether a member has active jobs.
func (s *Scheduler) hasJobs(node string) bool {
	for _, r := range s.opts.Jobs.AllActive() {
		if s.epoch.OwnerOf(r.Job.Team, r.Job.ID) == node {
			return true
		}
	}
	return false
}
