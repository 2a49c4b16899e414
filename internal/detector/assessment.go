package detector

import (
	"iter"
	"time"
)

// Assessment is one look at all workers of the scheduler: each of them is judged
// against it, while the scheduler holds its lock.
type Assessment struct {
	// Reachable is how many workers have not failed to answer.
	Reachable int

	detector *Detector
	workers  iter.Seq[*Worker]
	count    int
	now      time.Time
	busy     bool
	// partitioned: it is rather this controller that is cut off from its workers.
	partitioned bool
	// fewUnreachable and fewHeartbeatsMissing: so few workers are that each is
	// judged by itself.
	fewUnreachable, fewHeartbeatsMissing bool
	index                                *heartbeatIndex // made when first needed
}

// Assess looks at all workers of the scheduler as of now. busy is what Busy says,
// by a clock that may have gone on since now was read.
func (d *Detector) Assess(workers iter.Seq[*Worker], now time.Time, busy bool) *Assessment {
	a := &Assessment{detector: d, workers: workers, now: now, busy: busy}
	unresponsive, unreachable, heartbeatsMissing := 0, 0, 0
	for w := range workers {
		a.count++
		if w.failedProbes >= missedProbes {
			unresponsive++
		}
		if !w.unreachableSince.IsZero() {
			unreachable++
		}
		if d.HeartbeatsMissing(w, now) {
			heartbeatsMissing++
		}
	}
	// Many at once: rather this controller is cut off than all of them dead, or
	// it is so busy that it does not hear them, and the next leader would be too.
	a.partitioned = !a.few(unresponsive) && !busy
	a.Reachable = a.count - unresponsive
	a.fewUnreachable, a.fewHeartbeatsMissing = a.few(unreachable), a.few(heartbeatsMissing)
	d.partitioned = a.partitioned
	return a
}

// few reports whether so few of the workers have something that it is theirs
// rather than this controller's.
func (a *Assessment) few(count int) bool { return count <= max(2, a.count/3) }

// Dead reports whether a worker that neither sends heartbeats nor answers probes
// counts as lost.
func (a *Assessment) Dead(w *Worker) bool {
	return a.detector.unresponsive(w, a.now) && a.judgedByItself(w) && a.failedAlone(w)
}

// judgedByItself reports whether a silent worker may be judged by itself. While this
// controller is rather cut off from many, their machines are kept for as long as new
// ones would take to serve.
func (a *Assessment) judgedByItself(w *Worker) bool {
	return !a.partitioned || w.silence(a.now) > a.detector.partitionTimeout(w)
}

// failedAlone reports whether most other workers that were probed or have sent a
// heartbeat since this one began to fail have been heard. A controller that loses
// all its workers would otherwise return them one after the other. Where most of a
// zone is silent and the others are not, the zone is partitioned off: its machines
// are as they were when that ends, their images included, so they are kept for as
// long as new ones would take to serve.
func (a *Assessment) failedAlone(w *Worker) bool {
	index := a.heartbeatIndex()
	allHeard, allFailed := index.all.since(w.failingSince)
	allFailed-- // itself
	if allHeard < min(a.count/2, 2*SampleSize) || allHeard < allFailed {
		return false
	}
	heard, failed := index.zones[w.Zone].since(w.failingSince)
	failed--
	zonePartitioned := failed > heard && allHeard-heard > allFailed-failed
	return !zonePartitioned || w.serves() || w.silence(a.now) > a.detector.partitionTimeout(w)
}

// heartbeatIndex returns the index of the workers' heartbeats, made when first needed.
func (a *Assessment) heartbeatIndex() *heartbeatIndex {
	if a.index == nil {
		a.index = newHeartbeatIndex(a.workers)
	}
	return a.index
}

// Unreachable reports whether a worker whose heartbeats arrive is lost since nothing
// reaches it, while few others are like it.
func (a *Assessment) Unreachable(w *Worker) bool {
	return a.fewUnreachable && !a.busy && a.detector.unreachable(w, a.now)
}

// HeartbeatsMissing reports whether a worker that answers reaches no controller, while
// few others are like it.
func (a *Assessment) HeartbeatsMissing(w *Worker) bool {
	return a.fewHeartbeatsMissing && a.detector.HeartbeatsMissing(w, a.now)
}

// HeartbeatsMissingPersistently reports whether it has been so for so long that another
// machine is worth its price.
func (a *Assessment) HeartbeatsMissingPersistently(w *Worker) bool {
	return a.fewHeartbeatsMissing && a.detector.heartbeatsMissingPersistently(w, a.now)
}
