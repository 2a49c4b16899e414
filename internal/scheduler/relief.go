package scheduler

import "time"

// After a takeover the leader has all machines, and their reports alone may take
// more processor time than a small controller has, while the others have nothing
// to do. So a share that is short of it gives idle machines to others, which
// place its tasks there when it asks them for room.

const (
	// relieveEvery is how often a share that is short of processor time gives
	// idle machines away.
	relieveEvery = 5 * time.Second
	// overloadedFor is how long a shortage counts: idle machines that went back
	// and forth with each short one would be nobody's for most of the time.
	overloadedFor = time.Minute
)

// overloadedLocked tells whether this controller was short of processor time
// lately.
func (s *Scheduler) overloadedLocked(now time.Time) bool {
	if s.busy() {
		s.overloaded = now
	}
	return now.Sub(s.overloaded) < overloadedFor
}

// relieveLocked gives idle machines to the member with the fewest, if this share
// is short of processor time and that member is not: half of those it can spare,
// until both have as many.
func (s *Scheduler) relieveLocked(now time.Time) {
	if !s.loaded || !s.permitted() || !s.overloadedLocked(now) || now.Sub(s.relieved) < relieveEvery {
		return
	}
	s.relieved = now
	node, surplus := s.reliefLocked()
	if surplus <= 0 {
		return
	}
	// Those idle for the longest: the others' images are the most likely to be wanted.
	idle := s.giveableMachinesLocked(now)
	s.giveLocked(idle[:min(surplus, len(idle)/2)], node)
}

// reliefLocked returns the member with the fewest machines, and how many of this
// share's would have both look after as many; none if that member is itself short
// of processor time.
func (s *Scheduler) reliefLocked() (node string, surplus int) {
	for candidate, load := range s.opts.Authority.PeerLoads() {
		if n := (len(s.machines) - load.Machines) / 2; !load.Overloaded && (n > surplus || n == surplus && candidate < node) {
			node, surplus = candidate, n
		}
	}
	return node, surplus
}
