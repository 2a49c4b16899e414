package detector

import "time"

const (
	// ProbeTimeout is how long a probe waits for its answer, and the minimum interval
	// between two probes of the same worker.
	ProbeTimeout = 700 * time.Millisecond
	// deadProbeThreshold is the number of consecutive unanswered probes from which on a
	// worker may count as dead.
	deadProbeThreshold = 3
	// unresponsiveProbeThreshold is the number of consecutive unanswered probes from which
	// on a worker counts as unresponsive. A single probe may have been lost.
	unresponsiveProbeThreshold = 2
	// SampleSize is the number of other workers of each zone that are probed when a
	// worker fails to answer. It is enough to detect a partition, and the work does not
	// grow with the fleet.
	SampleSize = 12
)

const (
	// lostHeartbeatAllowance is the maximum delay of a healthy worker's heartbeat that
	// was lost and resent.
	lostHeartbeatAllowance = 750 * time.Millisecond
	// lateHeartbeatAllowance is the maximum delay of a heartbeat that was not lost.
	lateHeartbeatAllowance = 250 * time.Millisecond
	// leaseAllowance is how much longer than its duration a lease may last, in addition
	// to the drift between two clocks, which is less than 1/clockDriftDivisor.
	leaseAllowance    = 200 * time.Millisecond
	clockDriftDivisor = 1000
)

// Settings configures a Detector.
type Settings struct {
	// HeartbeatInterval is the interval between a worker's heartbeats, with a jitter of
	// plus or minus a quarter.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long a worker keeps its tasks running after its last heartbeat
	// that was answered.
	LeaseDuration time.Duration
	// CommandTimeout is how long a command sent directly to a worker waits for its answer.
	CommandTimeout time.Duration
	// Latency returns the recent scheduling latency of this process: how long its
	// goroutines waited for a processor. It is nil if that is not measured.
	Latency func() time.Duration
}

// Detector is the failure detector for the workers of one scheduler. It is not safe for
// concurrent use.
type Detector struct {
	settings    Settings
	busyUntil   time.Time // this controller counts as busy until then, see RecordDelay
	partitioned bool
}

// New returns a detector that does not count as busy or partitioned yet.
func New(settings Settings) *Detector { return &Detector{settings: settings} }

// Partitioned reports whether the last assessment found so many unresponsive workers
// that this controller is more likely partitioned from them than all of them are dead.
func (d *Detector) Partitioned() bool { return d.partitioned }

// longestInterval returns the longest interval between two heartbeats of a healthy
// worker.
func (d *Detector) longestInterval() time.Duration { return d.settings.HeartbeatInterval * 5 / 4 }

// SuspectAfter returns how long a healthy worker can be silent: a heartbeat may be lost
// and resent, and this controller may read it late.
func (d *Detector) SuspectAfter() time.Duration {
	return d.longestInterval() + lostHeartbeatAllowance + min(d.Latency(), d.settings.HeartbeatInterval)
}

// Suspected reports whether the worker has been silent for longer than SuspectAfter.
func (d *Detector) Suspected(w *Worker, now time.Time) bool {
	return w.silence(now) > d.SuspectAfter()
}

// DeadAfter returns how long a worker must be silent to count as dead if it does not
// answer probes either: by then, a heartbeat is certainly missing. The machine of a dead
// worker is returned to prove that its tasks are no longer running.
func (d *Detector) DeadAfter() time.Duration { return d.longestInterval() + lateHeartbeatAllowance }

// ProbeDue reports whether the worker should be probed now, because it is silent or did
// not answer the last direct request.
func (d *Detector) ProbeDue(w *Worker, now time.Time) bool {
	wanted := d.probeWanted(w, now) || !w.unreachableSince.IsZero()
	return wanted && now.Sub(w.lastProbe) >= d.probeInterval(w) && !w.requestPending
}

// probeWanted reports whether the worker has been silent for long enough to be probed.
func (d *Detector) probeWanted(w *Worker, now time.Time) bool {
	silence := w.silence(now)
	// The first comparison avoids searching for service replicas on workers that are not
	// silent.
	return silence > min(d.probeReplicasAfter(), d.SuspectAfter()) && silence > d.probeAfter(w)
}

// probeAfter returns how long a worker may be silent before it is probed. A worker with
// service replicas, which may be down, is probed sooner.
func (d *Detector) probeAfter(w *Worker) time.Duration {
	if w.hasServiceReplicas() {
		return d.probeReplicasAfter()
	}
	return d.SuspectAfter()
}

// probeReplicasAfter returns how long a worker with service replicas may be silent before
// it is probed. For a dead worker, the last of the deadProbeThreshold probes then times
// out when the silence reaches DeadAfter.
func (d *Detector) probeReplicasAfter() time.Duration {
	return d.DeadAfter() - deadProbeThreshold*ProbeTimeout
}

// probeInterval returns the interval between two probes of a worker. It is longer after
// the first few probes: by then a quick result is no longer expected, and hundreds of
// workers may be silent for minutes.
func (d *Detector) probeInterval(w *Worker) time.Duration {
	if w.failedProbes <= 2*deadProbeThreshold {
		return ProbeTimeout
	}
	return max(ProbeTimeout, d.settings.HeartbeatInterval/2)
}

// HeartbeatsMissing reports whether no heartbeat of a worker that answers direct requests
// has arrived for most of a lease. The worker reaches no controller, so its lease expires
// repeatedly.
func (d *Detector) HeartbeatsMissing(w *Worker, now time.Time) bool {
	return now.Sub(w.LastUnsolicited) > d.settings.LeaseDuration*3/4 && !d.Suspected(w, now)
}

// heartbeatsMissingPersistently reports whether HeartbeatsMissing has been true for so
// long that replacing the machine is worth its price.
func (d *Detector) heartbeatsMissingPersistently(w *Worker, now time.Time) bool {
	return d.HeartbeatsMissing(w, now) && now.Sub(w.LastUnsolicited) > 2*d.settings.LeaseDuration
}

// exceedsDeadThresholds reports whether a worker has been silent for long enough and has
// left enough probes unanswered to count as dead, regardless of the other workers.
func (d *Detector) exceedsDeadThresholds(w *Worker, now time.Time) bool {
	return w.failedProbes >= deadProbeThreshold && w.silence(now) > d.DeadAfter()
}

// unreachable reports whether a worker whose heartbeats arrive has not answered direct
// requests for so long that it counts as lost. Its lease expires, since the replies to its
// heartbeats do not reach it either, and tasks that are sent to it do not start.
func (d *Detector) unreachable(w *Worker, now time.Time) bool {
	return !w.unreachableSince.IsZero() && w.unansweredProbes >= deadProbeThreshold &&
		now.Sub(w.unreachableSince) > d.DeadAfter()+deadProbeThreshold*ProbeTimeout && !d.Suspected(w, now)
}

// partitionTimeout returns how long the machine of a silent worker is kept during a
// partition: long enough for the worker's lease to expire, which ends its tasks, and for
// a replacement to boot once or twice.
func (d *Detector) partitionTimeout(w *Worker) time.Duration {
	timeout := 2 * d.settings.LeaseDuration
	if w.Type != nil {
		timeout += time.Duration(2 * w.Type.BootS * float64(time.Second))
	}
	return timeout
}

// LeaseExpiry returns the time by which the lease of the worker has certainly expired,
// allowing for the drift between two clocks. The lease is counted from the last reply that
// this or any other controller can have sent, or from when the worker's incarnation was
// first seen if that is later: a worker that reaches no controller starts new incarnations
// on its own, and accepts direct commands in each. fencedAt is the time since which no
// other controller replies to the worker; it is zero if none ever did.
func (d *Detector) LeaseExpiry(w *Worker, fencedAt time.Time) time.Time {
	last := w.LastReply
	if w.IncarnationSeenAt.After(last) {
		last = w.IncarnationSeenAt
	}
	if fencedAt.After(last) {
		last = fencedAt
	}
	lease := d.settings.LeaseDuration
	return last.Add(lease + lease/clockDriftDivisor + leaseAllowance)
}
