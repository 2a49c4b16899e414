package fleet

import (
	"time"

	"heronwick/wire"
)

// ApplyHeartbeat applies a heartbeat, or the answer to a direct command, and
// returns what it shows to have changed. It returns false for one that is outdated.
func (m *Machine) ApplyHeartbeat(h *wire.Heartbeat, now time.Time) (events []Event, fresh bool) {
	if m.outdated(h) {
		return nil, false
	}
	if h.Incarnation > m.Incarnation {
		// The worker's lease expired: it ended its tasks.
		events = m.removeLost(func(a *Attempt) bool { return a.incarnation < h.Incarnation })
		m.IncarnationSeenAt = now
	}
	m.applyHeader(h, now)
	for _, status := range h.Tasks {
		if event, ok := m.applyTaskStatus(status, now); ok {
			events = append(events, event)
		}
	}
	lost := m.removeLost(func(a *Attempt) bool { return a.lastShownIn != m.heartbeats && m.surelyAbsent(a) })
	return append(events, lost...), true
}

// outdated reports whether a heartbeat is older than what is known already, or of
// an incarnation whose lease has surely expired: it was delayed. A worker never
// shows a lower token than before: such a heartbeat is older, perhaps from an
// earlier incarnation of the machine that had counted further (ran_twice).
func (m *Machine) outdated(h *wire.Heartbeat) bool {
	return h.FencingToken < m.FencingToken ||
		h.Incarnation <= m.expiredIncarnation ||
		h.Incarnation < m.Incarnation ||
		h.Incarnation == m.Incarnation && h.Seq <= m.Seq
}

// applyHeader applies what a heartbeat says of the machine itself.
func (m *Machine) applyHeader(h *wire.Heartbeat, now time.Time) {
	m.Incarnation, m.Seq = h.Incarnation, h.Seq
	m.FencingToken = max(m.FencingToken, h.FencingToken)
	m.HeartbeatSeen, m.LastHeartbeat = true, now
	m.Address, m.TypeName, m.Zone, m.Spot = h.Address, h.Type, h.Zone, h.Spot
	m.ReclaimAt = time.Time{}
	if h.NoticeS != nil {
		m.ReclaimAt = now.Add(time.Duration(*h.NoticeS * float64(time.Second)))
	}
	m.heartbeats++
}

// applyTaskStatus applies what a heartbeat says of one attempt; ok is false if
// nothing has changed.
func (m *Machine) applyTaskStatus(status wire.TaskStatus, now time.Time) (event Event, ok bool) {
	a := m.Attempts.Get(Key{status.Task, status.Attempt})
	if a == nil {
		return m.addFound(status, now)
	}
	a.lastShownIn = m.heartbeats
	if a.Exited() {
		return Event{}, false
	}
	a.State, a.ExitReason = status.State, status.Reason
	switch {
	case status.State == wire.TaskExited:
		return Event{Exited, a}, true
	case status.State == wire.TaskRunning && a.RunningSince.IsZero():
		a.RunningSince = now
		m.noteImage(a, now)
		return Event{Started, a}, true
	}
	return Event{}, false
}

// addFound adds an attempt that is on the machine though no record says so; ok is
// false if its task has no valid id.
func (m *Machine) addFound(status wire.TaskStatus, now time.Time) (event Event, ok bool) {
	job, index, ok := wire.SplitTaskID(status.Task)
	if !ok {
		return Event{}, false
	}
	a := &Attempt{Key: Key{status.Task, status.Attempt}, Job: job, Index: index, Recorded: true, PlacedAt: now,
		State: status.State, ExitReason: status.Reason, incarnation: m.Incarnation, lastShownIn: m.heartbeats}
	if status.State == wire.TaskRunning {
		a.RunningSince = now
	}
	m.Attempts.Put(a)
	return Event{Found, a}, true
}

// surelyAbsent reports whether an attempt that the newest heartbeat does not show
// is not on the machine and cannot arrive there any more.
func (m *Machine) surelyAbsent(a *Attempt) bool {
	if a.State != "" {
		return true // the worker had it and has forgotten it
	}
	if !a.Stop && !a.Unconfirmed {
		return false // its start will be sent again
	}
	if m.directStartMayArrive(a) {
		return false
	}
	// The worker carries out a start in a reply before its next heartbeat or never.
	return !a.startInReply || m.Seq > a.repliedSeq
}

// directStartMayArrive reports whether the worker may still carry out a direct
// start of the attempt: one is in flight, or one had no answer and its token is
// the highest that the worker has seen.
func (m *Machine) directStartMayArrive(a *Attempt) bool {
	return a.directStarts > 0 || a.unansweredToken > 0 && a.unansweredToken >= m.FencingToken
}
