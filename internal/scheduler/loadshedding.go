package scheduler

import "time"

// Load shedding. After a takeover the leader owns all machines, and their
// heartbeats alone may take more processor time than a small controller has,
// while the others have nothing to do. So a scheduler that is short of it hands
// idle machines over to other controllers, which place its tasks there when it
// sends them placement requests.

const (
	// shedInterval is how often a scheduler that is short of processor time hands
	// idle machines over.
	shedInterval = 5 * time.Second
	// overloadHoldTime is how long a shortage counts: idle machines that went back
	// and forth with each short one would be nobody's for most of the time.
	overloadHoldTime = time.Minute
)

// overloadedLocked reports whether this controller was short of processor time
// lately.
func (s *Scheduler) overloadedLocked(now time.Time) bool {
	if s.detector.Busy(time.Now()) {
		s.overloadedAt = now
	}
	return now.Sub(s.overloadedAt) < overloadHoldTime
}

// shedIdleMachinesLocked hands idle machines over to the controller with the
// fewest, if this one is short of processor time and that one is not: half of
// those it can spare, until both have as many.
func (s *Scheduler) shedIdleMachinesLocked(now time.Time) {
	if !s.loaded || !s.permitted() || !s.overloadedLocked(now) || now.Sub(s.shedAt) < shedInterval {
		return
	}
	s.shedAt = now
	node, surplus := s.shedTargetLocked()
	if surplus <= 0 {
		return
	}
	// Those idle for the longest: the others' images are the most likely to be wanted.
	idle := s.handoverCandidatesLocked(now)
	s.handOverLocked(idle[:min(surplus, len(idle)/2)], node)
}

// shedTargetLocked returns the controller with the fewest machines, and how
// many of this one's would leave both with as many; none if every such
// controller is itself short of processor time.
func (s *Scheduler) shedTargetLocked() (node string, surplus int) {
	for candidate, load := range s.opts.Authority.PeerLoads() {
		if n := (len(s.machines) - load.Machines) / 2; !load.Overloaded && (n > surplus || n == surplus && candidate < node) {
			node, surplus = candidate, n
		}
	}
	return node, surplus
}
