package detector

import (
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// Worker is a machine with what its worker has answered, and left unanswered.
type Worker struct {
	*fleet.Machine

	// LastUnsolicited is when the last heartbeat came by itself, and not as the
	// answer to a probe or a command.
	LastUnsolicited    time.Time
	lastUnsolicitedSeq uint64

	requestPending   bool      // a probe, or the command that shows a new token, is under way
	lastProbe        time.Time // when the last probe was sent
	failedProbes     int       // since the last sign of life
	failingSince     time.Time // when the first of them was sent
	unreachableSince time.Time // since when no direct request was answered; zero: the last one was
	unansweredProbes int       // since the last direct request that was answered
}

// NewWorker returns the worker of a machine that the scheduler owns from now on.
// It counts as heard now.
func NewWorker(m *fleet.Machine, now time.Time) Worker {
	m.LastHeartbeat = now
	return Worker{Machine: m, LastUnsolicited: now}
}

// NoteUnsolicited notes that a heartbeat has come by itself; fresh reports whether
// it is newer than all that is known of the worker. On a slow link a heartbeat that
// the answer to a later probe has overtaken is no news, but it did come: a worker
// of which none counts would be taken for one that reaches no controller. A copy of
// one that has come before does not count.
func (w *Worker) NoteUnsolicited(heartbeat *wire.Heartbeat, fresh bool, now time.Time) {
	if fresh || heartbeat.Incarnation == w.Incarnation && heartbeat.Seq > w.lastUnsolicitedSeq {
		w.LastUnsolicited, w.lastUnsolicitedSeq = now, heartbeat.Seq
	}
}

// NoteAlive notes a sign of life: fresh news of the worker, on whichever way it came.
func (w *Worker) NoteAlive() { w.failedProbes = 0 }

// NoteReachable notes that a direct request was answered.
func (w *Worker) NoteReachable() { w.unreachableSince, w.unansweredProbes = time.Time{}, 0 }

// NoteUnreachable notes that a direct request was not answered. Heartbeats that
// arrive are no proof that anything reaches the worker.
func (w *Worker) NoteUnreachable(now time.Time) {
	if w.unreachableSince.IsZero() {
		w.unreachableSince = now
	}
}

// Responsive reports whether no probe has failed since the last sign of life, and the
// last direct request was answered.
func (w *Worker) Responsive() bool { return w.failedProbes == 0 && w.unreachableSince.IsZero() }

// BeginRequest notes that a direct request whose answer tells how the worker is goes
// out: others would be in vain until EndRequest.
func (w *Worker) BeginRequest() { w.requestPending = true }

// EndRequest notes that the answer has come, or will not come.
func (w *Worker) EndRequest() { w.requestPending = false }

// RequestPending reports whether a request is between BeginRequest and EndRequest.
func (w *Worker) RequestPending() bool { return w.requestPending }

// BeginProbe begins a request that is a probe.
func (w *Worker) BeginProbe(now time.Time) {
	w.BeginRequest()
	w.lastProbe = now
}

// ProbeFailed notes that the probe that was sent at a time was not answered. It
// reports whether it is the first since the last sign of life.
func (w *Worker) ProbeFailed(sent time.Time) (first bool) {
	w.failedProbes++
	w.unansweredProbes++
	if first = w.failedProbes == 1; first {
		w.failingSince = sent
	}
	return first
}

// ProbeImpossible notes that no probe can be sent, since the worker's address is
// unknown: that is no sign of life either.
func (w *Worker) ProbeImpossible(now time.Time) {
	w.failedProbes++
	w.lastProbe = now
}

// ProbedRecently reports whether another probe now would be in vain: one is under way,
// or went out a moment ago.
func (w *Worker) ProbedRecently(now time.Time) bool {
	return w.requestPending || now.Sub(w.lastProbe) <= ProbeTimeout
}

// silence is for how long nothing has come from the worker.
func (w *Worker) silence(now time.Time) time.Duration { return now.Sub(w.LastHeartbeat) }

// serves reports whether replicas of services may be on the machine.
func (w *Worker) serves() bool {
	for _, a := range w.Attempts.All() {
		if a.Service && !a.Exited() {
			return true
		}
	}
	return false
}
