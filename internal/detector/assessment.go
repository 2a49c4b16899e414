package detector

import (
	"iter"
	"time"
)

// Assessment is a snapshot of all workers of the scheduler, against which each single
// worker is assessed. It is valid only until the scheduler releases its lock.
type Assessment struct {
	// Reachable is the number of workers that do not count as unresponsive.
	Reachable int

	detector *Detector
	workers  iter.Seq[*Worker]
	count    int
	now      time.Time
	busy     bool
	// partitioned reports that this controller is likely partitioned from its workers.
	partitioned bool
	// unreachableIsMinority and heartbeatsMissingIsMinority report that the workers in the
	// respective state are few enough to attribute it to each of them rather than to this
	// controller.
	unreachableIsMinority, heartbeatsMissingIsMinority bool
	index                                              *heartbeatIndex // built when first needed
}

// Assess returns an assessment of all workers of the scheduler at the time now. busy is
// the result of Busy, which the caller may have evaluated at a later time than now.
func (d *Detector) Assess(workers iter.Seq[*Worker], now time.Time, busy bool) *Assessment {
	a := &Assessment{detector: d, workers: workers, now: now, busy: busy}
	unresponsive, unreachable, heartbeatsMissing := 0, 0, 0
	for w := range workers {
		a.count++
		if w.failedProbes >= unresponsiveProbeThreshold {
			unresponsive++
		}
		if !w.unreachableSince.IsZero() {
			unreachable++
		}
		if d.HeartbeatsMissing(w, now) {
			heartbeatsMissing++
		}
	}
	// If many workers are unresponsive at once, this controller is more likely
	// partitioned from them than all of them are dead. If it is busy, it is more likely
	// too slow to process their messages, and the next leader would be as slow; so that
	// does not count as a partition.
	a.partitioned = !a.isMinority(unresponsive) && !busy
	a.Reachable = a.count - unresponsive
	a.unreachableIsMinority, a.heartbeatsMissingIsMinority = a.isMinority(unreachable), a.isMinority(heartbeatsMissing)
	d.partitioned = a.partitioned
	return a
}

// isMinority reports whether count workers are few enough to attribute a symptom that
// they share to the workers rather than to this controller.
func (a *Assessment) isMinority(count int) bool { return count <= max(2, a.count/3) }

// Dead reports whether a worker counts as dead. Such a worker sends no heartbeats and
// answers no probes, and a partition is not the likely cause.
func (a *Assessment) Dead(w *Worker) bool {
	return a.detector.exceedsDeadThresholds(w, a.now) && a.silenceIsConclusive(w) && a.failedIndividually(w)
}

// silenceIsConclusive reports whether the silence of a worker may be taken as its failure.
// While this controller is likely partitioned from many workers, their machines are kept
// for as long as replacements would take to become ready.
func (a *Assessment) silenceIsConclusive(w *Worker) bool {
	return !a.partitioned || w.silence(a.now) > a.detector.partitionTimeout(w)
}

// failedIndividually reports whether the failure of a worker is its own and not part of
// a larger one. Most of the other workers that were probed or sent a heartbeat since this
// worker began to fail must have been heard from: otherwise, a controller that loses all
// its workers would return their machines one by one.
//
// If most workers of the zone are silent and those of other zones are not, the zone is
// partitioned. Its machines will be unchanged after the partition, with their cached
// images, so they are kept for as long as replacements would take to become ready. This
// does not apply to machines with service replicas.
func (a *Assessment) failedIndividually(w *Worker) bool {
	index := a.heartbeatIndex()
	allHeard, allFailed := index.all.countSince(w.failingSince)
	allFailed-- // not counting the worker itself
	if allHeard < min(a.count/2, 2*SampleSize) || allHeard < allFailed {
		return false
	}
	heard, failed := index.zones[w.Zone].countSince(w.failingSince)
	failed--
	zonePartitioned := failed > heard && allHeard-heard > allFailed-failed
	return !zonePartitioned || w.hasServiceReplicas() || w.silence(a.now) > a.detector.partitionTimeout(w)
}

// heartbeatIndex returns the index of the workers' heartbeats, building it on first use.
func (a *Assessment) heartbeatIndex() *heartbeatIndex {
	if a.index == nil {
		a.index = newHeartbeatIndex(a.workers)
	}
	return a.index
}

// Unreachable reports whether a worker counts as lost because it does not answer direct
// requests although its heartbeats arrive. It is false if this controller is busy or if
// many workers are in that state, since the cause is then more likely this controller.
func (a *Assessment) Unreachable(w *Worker) bool {
	return a.unreachableIsMinority && !a.busy && a.detector.unreachable(w, a.now)
}

// HeartbeatsMissing reports whether the heartbeats of a worker are missing although it
// answers direct requests, see Detector.HeartbeatsMissing. It is false if many workers
// are in that state.
func (a *Assessment) HeartbeatsMissing(w *Worker) bool {
	return a.heartbeatsMissingIsMinority && a.detector.HeartbeatsMissing(w, a.now)
}

// HeartbeatsMissingPersistently reports whether HeartbeatsMissing has been true for so
// long that replacing the machine is worth its price.
func (a *Assessment) HeartbeatsMissingPersistently(w *Worker) bool {
	return a.heartbeatsMissingIsMinority && a.detector.heartbeatsMissingPersistently(w, a.now)
}
