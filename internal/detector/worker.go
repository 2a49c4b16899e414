package detector

import (
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// Worker is a machine with the history of its worker's heartbeats and answers.
type Worker struct {
	*fleet.Machine

	// LastUnsolicited is when the last unsolicited heartbeat arrived, which is one that
	// did not answer a probe or a command.
	LastUnsolicited    time.Time
	lastUnsolicitedSeq uint64

	requestPending   bool      // a probe, or a command that carries a new fencing token, is in flight
	lastProbe        time.Time // when the last probe was sent
	failedProbes     int       // number of failed probes since the worker was last heard from
	failingSince     time.Time // when the first of failedProbes was sent
	unreachableSince time.Time // when direct requests began to fail; zero if the last one was answered
	unansweredProbes int       // number of failed probes since a direct request was last answered
}

// NewWorker returns the worker of a machine that the scheduler has started to own. The
// worker counts as heard from now.
func NewWorker(m *fleet.Machine, now time.Time) Worker {
	m.LastHeartbeat = now
	return Worker{Machine: m, LastUnsolicited: now}
}

// RecordUnsolicited records that an unsolicited heartbeat has arrived. fresh is whether it
// is newer than everything known about the worker. On a slow link, the answer to a later
// probe can overtake a heartbeat. Such a heartbeat contains nothing new but still counts,
// as long as it is not a duplicate: otherwise the heartbeats of the worker would be
// considered missing, although they reach this controller.
func (w *Worker) RecordUnsolicited(heartbeat *wire.Heartbeat, fresh bool, now time.Time) {
	if fresh || heartbeat.Incarnation == w.Incarnation && heartbeat.Seq > w.lastUnsolicitedSeq {
		w.LastUnsolicited, w.lastUnsolicitedSeq = now, heartbeat.Seq
	}
}

// MarkAlive records that the worker was heard from, by any fresh heartbeat or answer.
func (w *Worker) MarkAlive() { w.failedProbes = 0 }

// MarkReachable records that a direct request was answered.
func (w *Worker) MarkReachable() { w.unreachableSince, w.unansweredProbes = time.Time{}, 0 }

// MarkUnreachable records that a direct request was not answered. Arriving heartbeats do
// not clear this state, since they do not prove that requests reach the worker.
func (w *Worker) MarkUnreachable(now time.Time) {
	if w.unreachableSince.IsZero() {
		w.unreachableSince = now
	}
}

// Responsive reports whether no probe has failed since the worker was last heard from,
// and the last direct request was answered.
func (w *Worker) Responsive() bool { return w.failedProbes == 0 && w.unreachableSince.IsZero() }

// BeginRequest records that a direct request is being sent whose answer will show whether
// the worker responds. Until EndRequest, further requests for that purpose are redundant.
func (w *Worker) BeginRequest() { w.requestPending = true }

// EndRequest records that the request was answered or has failed.
func (w *Worker) EndRequest() { w.requestPending = false }

// RequestPending reports whether EndRequest has not yet been called after BeginRequest.
func (w *Worker) RequestPending() bool { return w.requestPending }

// BeginProbe records that a probe is being sent. EndRequest must follow as for other
// requests.
func (w *Worker) BeginProbe(now time.Time) {
	w.BeginRequest()
	w.lastProbe = now
}

// ProbeFailed records that the probe sent at the given time was not answered. It reports
// whether it is the first failed probe since the worker was last heard from.
func (w *Worker) ProbeFailed(sent time.Time) (first bool) {
	w.failedProbes++
	w.unansweredProbes++
	if first = w.failedProbes == 1; first {
		w.failingSince = sent
	}
	return first
}

// ProbeImpossible records that no probe can be sent because the worker's address is
// unknown. It counts as a failed probe.
func (w *Worker) ProbeImpossible(now time.Time) {
	w.failedProbes++
	w.lastProbe = now
}

// ProbedRecently reports whether another probe would be redundant now: a request is in
// flight, or the last probe was sent within ProbeTimeout.
func (w *Worker) ProbedRecently(now time.Time) bool {
	return w.requestPending || now.Sub(w.lastProbe) <= ProbeTimeout
}

// silence returns how long ago the last heartbeat of the worker arrived, unsolicited or
// not.
func (w *Worker) silence(now time.Time) time.Duration { return now.Sub(w.LastHeartbeat) }

// hasServiceReplicas reports whether service replicas may be running on the machine.
func (w *Worker) hasServiceReplicas() bool {
	for _, a := range w.Attempts.All() {
		if a.Service && !a.Exited() {
			return true
		}
	}
	return false
}
