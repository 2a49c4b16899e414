package detector

import (
	"errors"
	"time"

	"heronwick/internal/fleet"
)

// busyLatency is the scheduling latency above which a missing answer is more likely
// caused by this controller than by the worker.
const busyLatency = 100 * time.Millisecond

// Latency returns the recent scheduling latency of this process, or zero if it is not
// measured.
func (d *Detector) Latency() time.Duration {
	if d.settings.Latency == nil {
		return 0
	}
	return d.settings.Latency()
}

// RecordDelay records how long the scheduler's loop waited for its lock or held it.
// Goroutines that process answers wait for the same lock. After a long delay this
// controller counts as busy for as long as a command and the probes after it wait for
// their answers.
func (d *Detector) RecordDelay(delay time.Duration, now time.Time) {
	if delay > busyLatency {
		d.busyUntil = now.Add(d.settings.CommandTimeout + deadProbeThreshold*ProbeTimeout)
	}
}

// Busy reports whether this controller is too short of processor time to draw
// conclusions from missing answers.
func (d *Detector) Busy(now time.Time) bool {
	return d.Latency() > busyLatency || now.Before(d.busyUntil)
}

// Inconclusive reports whether the failure of a direct request is no evidence of a
// failure of the worker, because this controller had no free socket or is busy.
func (d *Detector) Inconclusive(err error, now time.Time) bool {
	return errors.Is(err, fleet.ErrNoSocket) || d.Busy(now)
}
