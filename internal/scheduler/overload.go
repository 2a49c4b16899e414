package scheduler

import "time"

// busyLatency is the scheduling latency from which on a missing answer says more
// of this controller than of the worker.
const busyLatency = 100 * time.Millisecond

// latency is how long goroutines of this process lately waited for the processor.
func (s *Scheduler) latency() time.Duration {
	if s.opts.Latency == nil {
		return 0
	}
	return s.opts.Latency()
}

// busyFor is how long a delay of the share's own loop counts: as long as a
// command waits for its answer, and the probes after it.
const busyFor = commandTimeout + deadProbes*probeTimeout

// noteDelay takes how long the loop waited for the share's lock, or held it:
// whoever reads an answer meanwhile waits for it too.
func (s *Scheduler) noteDelay(delay time.Duration) {
	if delay > busyLatency {
		s.busyUntil.Store(time.Now().Add(busyFor).UnixNano())
	}
}

// busy tells whether this controller is too short of processor time to judge by
// an answer's absence.
func (s *Scheduler) busy() bool {
	return s.latency() > busyLatency || time.Now().UnixNano() < s.busyUntil.Load()
}
