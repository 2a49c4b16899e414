package fleet

import (
	"time"

	"heronwick/wire"
)

// ApplyHeartbeat applies a heartbeat, or the response to a direct request, and returns
// the changes that it shows. It ignores an outdated heartbeat and returns false for it.
func (m *Machine) ApplyHeartbeat(h *wire.Heartbeat, now time.Time) (events []Event, applied bool) {
	if m.outdated(h) {
		return nil, false
	}
	if h.Incarnation > m.Incarnation {
		// The lease of the previous incarnation expired, and the worker stopped its tasks.
		events = m.removeLost(func(a *Attempt) bool { return a.incarnation < h.Incarnation })
		m.IncarnationSeenAt = now
	}
	m.applyHeader(h, now)
	for _, status := range h.Tasks {
		if event, ok := m.applyTaskStatus(status, now); ok {
			events = append(events, event)
		}
	}
	lost := m.removeLost(func(a *Attempt) bool { return a.lastSeenHeartbeat != m.heartbeatsApplied && m.provenGone(a) })
	return append(events, lost...), true
}

// outdated reports whether a heartbeat was delayed: a newer one has been applied, or the
// lease of its incarnation is certain to have expired. The token that a worker shows
// never decreases, so a heartbeat with a lower token is older too. Such a heartbeat may
// come from an earlier incarnation of the machine that had reached a higher sequence
// number; applying it made tasks run twice (rule ran_twice).
func (m *Machine) outdated(h *wire.Heartbeat) bool {
	return h.FencingToken < m.FencingToken ||
		h.Incarnation <= m.expiredIncarnation ||
		h.Incarnation < m.Incarnation ||
		h.Incarnation == m.Incarnation && h.Seq <= m.Seq
}

// applyHeader applies the part of a heartbeat that describes the machine itself.
func (m *Machine) applyHeader(h *wire.Heartbeat, now time.Time) {
	m.Incarnation, m.Seq = h.Incarnation, h.Seq
	m.FencingToken = max(m.FencingToken, h.FencingToken)
	m.HeartbeatSeen, m.LastHeartbeat = true, now
	m.Address, m.TypeName, m.Zone, m.Spot = h.Address, h.Type, h.Zone, h.Spot
	m.ReclaimAt = time.Time{}
	if h.NoticeS != nil {
		m.ReclaimAt = now.Add(time.Duration(*h.NoticeS * float64(time.Second)))
	}
	m.heartbeatsApplied++
}

// applyTaskStatus applies the status of one attempt. ok is false if there is no event.
func (m *Machine) applyTaskStatus(status wire.TaskStatus, now time.Time) (event Event, ok bool) {
	a := m.Attempts.Get(Key{status.Task, status.Attempt})
	if a == nil {
		return m.addFound(status, now)
	}
	a.lastSeenHeartbeat = m.heartbeatsApplied
	if a.Exited() {
		return Event{}, false
	}
	a.State, a.ExitReason = status.State, status.Reason
	switch {
	case status.State == wire.TaskExited:
		return Event{Exited, a}, true
	case status.State == wire.TaskRunning && a.RunningSince.IsZero():
		a.RunningSince = now
		m.recordImage(a, now)
		return Event{Started, a}, true
	}
	return Event{}, false
}

// addFound adds an attempt that is on the machine but in no record. ok is false if the
// ID of its task is not valid.
func (m *Machine) addFound(status wire.TaskStatus, now time.Time) (event Event, ok bool) {
	job, index, ok := wire.SplitTaskID(status.Task)
	if !ok {
		return Event{}, false
	}
	a := &Attempt{Key: Key{status.Task, status.Attempt}, Job: job, Index: index, Recorded: true, PlacedAt: now,
		State: status.State, ExitReason: status.Reason, incarnation: m.Incarnation, lastSeenHeartbeat: m.heartbeatsApplied}
	if status.State == wire.TaskRunning {
		a.RunningSince = now
	}
	m.Attempts.Put(a)
	return Event{Found, a}, true
}

// provenGone reports whether an attempt that the newest heartbeat does not show is not
// on the machine and can no longer start there.
func (m *Machine) provenGone(a *Attempt) bool {
	if a.State != "" {
		return true // the worker had the attempt and has forgotten it
	}
	if !a.Stop && !a.RestoredFromRecord {
		return false // the start will be sent again
	}
	if m.directStartMayArrive(a) {
		return false
	}
	// The worker executes a start from a reply before its next heartbeat or never.
	return !a.startSentInReply || m.Seq > a.startReplySeq
}

// directStartMayArrive reports whether the worker may still execute a direct start of
// the attempt: a request is in flight, or a request got no response and the worker has
// not seen a higher token since.
func (m *Machine) directStartMayArrive(a *Attempt) bool {
	return a.directStartsInFlight > 0 || a.maxUnansweredToken > 0 && a.maxUnansweredToken >= m.FencingToken
}
