package scheduler

import "time"

// Load shedding. After a takeover the leader owns all machines. Their heartbeats
// alone may take more processor time than a small controller has, while the other
// controllers are idle. A scheduler that is short of processor time therefore hands
// idle machines over to other controllers. These place its tasks on the machines when
// it sends them placement requests.

const (
	// shedInterval is how often a scheduler that is short of processor time hands over
	// idle machines.
	shedInterval = 5 * time.Second
	// overloadHoldTime is how long a controller counts as overloaded after a shortage of
	// processor time. If idle machines changed owner at each brief shortage, they would
	// be in transfer for most of the time, owned by no controller.
	overloadHoldTime = time.Minute
)

// overloadedLocked reports whether this controller was recently short of processor
// time.
func (s *Scheduler) overloadedLocked(now time.Time) bool {
	if s.detector.Busy(time.Now()) {
		s.overloadedAt = now
	}
	return now.Sub(s.overloadedAt) < overloadHoldTime
}

// shedIdleMachinesLocked hands idle machines over to the controller with the fewest
// machines, if this controller is short of processor time and that one is not. It
// hands over at most half of the machines that it can spare, and no more than makes
// both own equally many.
func (s *Scheduler) shedIdleMachinesLocked(now time.Time) {
	if !s.loaded || !s.permitted() || !s.overloadedLocked(now) || now.Sub(s.shedAt) < shedInterval {
		return
	}
	s.shedAt = now
	node, surplus := s.shedTargetLocked()
	if surplus <= 0 {
		return
	}
	// Hand over the machines that were idle for longest: the images on the others are
	// more likely to be needed again.
	idle := s.handoverCandidatesLocked(now)
	s.handOverLocked(idle[:min(surplus, len(idle)/2)], node)
}

// shedTargetLocked returns the controller with the fewest machines, and how many
// machines to hand over to it so that both own equally many. surplus is 0 if every
// controller with fewer machines is itself short of processor time.
func (s *Scheduler) shedTargetLocked() (node string, surplus int) {
	for candidate, load := range s.opts.Authority.PeerLoads() {
		if n := (len(s.machines) - load.Machines) / 2; !load.Overloaded && (n > surplus || n == surplus && candidate < node) {
			node, surplus = candidate, n
		}
	}
	return node, surplus
}
