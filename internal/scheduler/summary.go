package scheduler

import (
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/placement"
	"heronwick/internal/quota"
)

// logLoadLocked logs the scheduler's load for operators.
func (s *Scheduler) logLoadLocked(now time.Time) {
	usable, open, tasks, exited, waiting, notReady := 0, 0, 0, 0, 0, 0
	for _, m := range s.machines {
		active := m.ActiveCount()
		tasks += active
		exited += m.Attempts.Len() - active
		if s.packer.Open.Has(m.packing) {
			open++
		}
		if s.usableLocked(m, now) {
			usable++
		}
	}
	available := s.capacityLocked(now)
	for _, queued := range s.jobs {
		if queued.Ready {
			waiting += queued.Pending()
		} else {
			notReady++
		}
	}
	s.log.Info("load", "jobs", len(s.jobs), "remote", s.remoteAttempts.Len(), "waiting", waiting, "not_ready", notReady,
		"tasks", tasks, "exited", exited, "machines", len(s.machines), "usable", usable, "open", open, "booting", len(s.inventory.Booting()),
		"cpus", available.total.CPUs, "free_cpus", available.free.CPUs, "free_memory_gb", available.free.MemoryGB,
		"latency", s.detector.Latency(), "passes", s.passes.count, "pass_time", s.passes.total, "longest_pass", s.passes.longest)
	s.passes = passStats{}
}

// capacity is the total capacity of the usable machines.
type capacity struct {
	idleMachines int
	total, free  placement.Resources
}

// capacityLocked counts the idle machines and sums up the resources of the usable
// ones.
func (s *Scheduler) capacityLocked(now time.Time) capacity {
	var sum capacity
	for _, m := range s.machines {
		if !s.usableLocked(m, now) {
			continue
		}
		sum.total, sum.free = sum.total.Plus(placement.Capacity(m.Type)), sum.free.Plus(m.Free())
		if m.ActiveCount() == 0 {
			sum.idleMachines++
		}
	}
	return sum
}

// summary is the scheduler's state as sent in heartbeats to the peers.
type summary struct {
	machines, idle int
	cpus, freeCPUs float64
	partitioned    bool
	overloaded     bool
	wants          []*peerpb.Want
	used           map[string]quota.Amounts // by team that this scheduler owns
}

// summarizeInterval is how often the summary is updated. Heartbeats go out this often
// in a cluster with two peers, each of which is sent one per second.
const summarizeInterval = 500 * time.Millisecond

// summarizeLocked updates the summary.
func (s *Scheduler) summarizeLocked(now time.Time) {
	available := s.capacityLocked(now)
	s.summary.Store(&summary{machines: len(s.machines), idle: available.idleMachines, cpus: available.total.CPUs, freeCPUs: available.free.CPUs,
		partitioned: s.detector.Partitioned(), overloaded: s.overloadedLocked(now), wants: s.wantsLocked(now), used: s.usedByTeamLocked()})
}

// usedByTeamLocked returns, by name, what the teams that the scheduler owns use.
func (s *Scheduler) usedByTeamLocked() map[string]quota.Amounts {
	if !s.loaded {
		return nil
	}
	return s.teams.UsedByTeam(func(team string) bool { return s.epoch.Teams[team] == s.opts.Node })
}

// UsedBy returns what a team uses, as of the last summary. It is zero for a team that another
// controller owns.
func (s *Scheduler) UsedBy(team string) quota.Amounts {
	sum := s.summary.Load()
	if sum == nil {
		return quota.Amounts{}
	}
	return sum.used[team]
}

// Status fills in the scheduler's part of a heartbeat to a peer from the last
// summary. It takes no lock: if the heartbeat had to wait for passes and workers'
// heartbeats, the peers would consider a busy controller dead.
func (s *Scheduler) Status(status *peerpb.Status) {
	sum := s.summary.Load()
	if sum == nil {
		return
	}
	status.Machines, status.Idle = uint32(sum.machines), uint32(sum.idle)
	status.Cpus, status.FreeCpus, status.Cut = sum.cpus, sum.freeCPUs, sum.partitioned
	status.Overloaded, status.Wants = sum.overloaded, sum.wants
}
