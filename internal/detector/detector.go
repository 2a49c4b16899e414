package detector

import "time"

const (
	// ProbeTimeout is how long a probe waits for its answer, and the least time
	// between two probes of a worker.
	ProbeTimeout = 700 * time.Millisecond
	// deadProbes is how many probes in a row a dead worker has left unanswered.
	deadProbes = 3
	// missedProbes is how many probes in a row are unanswered once a worker counts as
	// out of reach: one may be lost.
	missedProbes = 2
	// SampleSize is how many other workers of each zone are probed when one fails
	// to answer: enough to tell a partition, and no more work for a large fleet.
	SampleSize = 12
)

const (
	// lostHeartbeatAllowance is by how much a healthy worker's heartbeat may be late
	// that was lost and sent again.
	lostHeartbeatAllowance = 750 * time.Millisecond
	// lateHeartbeatAllowance is by how much a heartbeat may be late that is on its way.
	lateHeartbeatAllowance = 250 * time.Millisecond
	// leaseAllowance is how much longer than its duration a lease may last, beside
	// the drift of two clocks, which is less than one in clockDrift.
	leaseAllowance = 200 * time.Millisecond
	clockDrift     = 1000
)

// Settings are what the judgement depends on beside the workers.
type Settings struct {
	// HeartbeatInterval is how often a worker sends a heartbeat, plus or minus a quarter.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long a worker keeps its tasks after its last answered heartbeat.
	LeaseDuration time.Duration
	// CommandTimeout is how long a direct command waits for its answer.
	CommandTimeout time.Duration
	// Latency returns how long goroutines of this process lately waited for the
	// processor; nil: that is not measured.
	Latency func() time.Duration
}

// Detector judges the workers of one scheduler. It is not safe for concurrent use.
type Detector struct {
	settings    Settings
	busyUntil   time.Time // until when the scheduler's last long delay counts
	partitioned bool
}

// New returns a detector that counts no delay yet.
func New(settings Settings) *Detector { return &Detector{settings: settings} }

// Partitioned reports whether at the last assessment most workers could not be
// reached: rather this controller is cut off from them than all of them dead.
func (d *Detector) Partitioned() bool { return d.partitioned }

// longestInterval is the longest time between two heartbeats of a healthy worker.
func (d *Detector) longestInterval() time.Duration { return d.settings.HeartbeatInterval * 5 / 4 }

// SuspectAfter is how long a healthy worker can be silent: one heartbeat may be
// lost and resent, and this controller may be late to read it.
func (d *Detector) SuspectAfter() time.Duration {
	return d.longestInterval() + lostHeartbeatAllowance + min(d.Latency(), d.settings.HeartbeatInterval)
}

// Suspected reports whether the worker has been silent for longer than a healthy one.
func (d *Detector) Suspected(w *Worker, now time.Time) bool {
	return w.silence(now) > d.SuspectAfter()
}

// DeadAfter is when a silent worker that does not answer probes either counts
// as dead, and its machine is returned for proof: a heartbeat is surely missing.
func (d *Detector) DeadAfter() time.Duration { return d.longestInterval() + lateHeartbeatAllowance }

// ProbeDue reports whether the worker is to be probed: it is silent, or does not answer.
func (d *Detector) ProbeDue(w *Worker, now time.Time) bool {
	wanted := d.probeWanted(w, now) || !w.unreachableSince.IsZero()
	return wanted && now.Sub(w.lastProbe) >= d.probeInterval(w) && !w.requestPending
}

// probeWanted reports whether the worker has been silent for so long that it is probed.
func (d *Detector) probeWanted(w *Worker, now time.Time) bool {
	silence := w.silence(now)
	// Whether it serves is only found out of those that may be silent.
	return silence > min(d.probeServingAfter(), d.SuspectAfter()) && silence > d.probeAfter(w)
}

// probeAfter is how long a worker may be silent before it is probed: soon
// where replicas would be down.
func (d *Detector) probeAfter(w *Worker) time.Duration {
	if w.serves() {
		return d.probeServingAfter()
	}
	return d.SuspectAfter()
}

// probeServingAfter is probeAfter where replicas are: the probes that a dead worker
// leaves unanswered end with DeadAfter.
func (d *Detector) probeServingAfter() time.Duration {
	return d.DeadAfter() - deadProbes*ProbeTimeout
}

// probeInterval is how long to wait between two probes of a worker: what could be
// learnt soon is known after a few, and hundreds may be silent for minutes.
func (d *Detector) probeInterval(w *Worker) time.Duration {
	if w.failedProbes <= 2*deadProbes {
		return ProbeTimeout
	}
	return max(ProbeTimeout, d.settings.HeartbeatInterval/2)
}

// HeartbeatsMissing reports whether a worker that answers direct requests has not sent
// a heartbeat for most of a lease: it reaches no controller, so its lease expires
// again and again.
func (d *Detector) HeartbeatsMissing(w *Worker, now time.Time) bool {
	return now.Sub(w.LastUnsolicited) > d.settings.LeaseDuration*3/4 && !d.Suspected(w, now)
}

// heartbeatsMissingPersistently reports whether it has been so for so long that another
// machine is worth its price.
func (d *Detector) heartbeatsMissingPersistently(w *Worker, now time.Time) bool {
	return d.HeartbeatsMissing(w, now) && now.Sub(w.LastUnsolicited) > 2*d.settings.LeaseDuration
}

// unresponsive reports whether a silent worker has left enough probes unanswered, for
// long enough, to count as dead by itself.
func (d *Detector) unresponsive(w *Worker, now time.Time) bool {
	return w.failedProbes >= deadProbes && w.silence(now) > d.DeadAfter()
}

// unreachable reports whether a worker whose heartbeats arrive has answered nothing
// for so long that it counts as lost: its lease expires, since replies do not
// reach it either, and what it is sent does not start.
func (d *Detector) unreachable(w *Worker, now time.Time) bool {
	return !w.unreachableSince.IsZero() && w.unansweredProbes >= deadProbes &&
		now.Sub(w.unreachableSince) > d.DeadAfter()+deadProbes*ProbeTimeout && !d.Suspected(w, now)
}

// partitionTimeout is how long a machine in a zone that is partitioned off is kept:
// its tasks are gone once its lease has expired, and a new one takes a boot or two.
func (d *Detector) partitionTimeout(w *Worker) time.Duration {
	timeout := 2 * d.settings.LeaseDuration
	if w.Type != nil {
		timeout += time.Duration(2 * w.Type.BootS * float64(time.Second))
	}
	return timeout
}

// LeaseExpiry returns when the lease of the worker has surely expired: counted
// from the last answer that this or any other controller can have given, or from
// when its incarnation began, with the drift of two clocks. A worker that reaches no
// controller starts incarnation after incarnation by itself, and takes direct commands
// in each. fenced is since when no other controller answers the worker; zero if none
// ever did.
func (d *Detector) LeaseExpiry(w *Worker, fenced time.Time) time.Time {
	last := w.LastReply
	if w.IncarnationSeenAt.After(last) {
		last = w.IncarnationSeenAt
	}
	if fenced.After(last) {
		last = fenced
	}
	lease := d.settings.LeaseDuration
	return last.Add(lease + lease/clockDrift + leaseAllowance)
}
