package detector

import (
	"errors"
	"time"

	"heronwick/internal/fleet"
)

// busyLatency is the scheduling latency from which on a missing answer says more
// of this controller than of the worker.
const busyLatency = 100 * time.Millisecond

// Latency is how long goroutines of this process lately waited for the processor.
func (d *Detector) Latency() time.Duration {
	if d.settings.Latency == nil {
		return 0
	}
	return d.settings.Latency()
}

// NoteDelay takes how long the scheduler's loop waited for its lock, or held it:
// whoever reads an answer meanwhile waits for it too. A long delay counts for as long
// as a command waits for its answer, and the probes after it.
func (d *Detector) NoteDelay(delay time.Duration, now time.Time) {
	if delay > busyLatency {
		d.busyUntil = now.Add(d.settings.CommandTimeout + deadProbes*ProbeTimeout)
	}
}

// Busy reports whether this controller is too short of processor time to judge by
// an answer's absence.
func (d *Detector) Busy(now time.Time) bool {
	return d.Latency() > busyLatency || now.Before(d.busyUntil)
}

// Inconclusive reports whether the failure of a direct request says nothing of the
// worker: this controller had no socket for it, or is too busy.
func (d *Detector) Inconclusive(err error, now time.Time) bool {
	return errors.Is(err, fleet.ErrNoSocket) || d.Busy(now)
}
