package fleet

import (
	"time"

	"heronwick/wire"
)

// source tells what made a worker send a heartbeat.
type source int

const (
	unsolicited source = iota // sent by the worker on its own; it waits for the reply before it sends the next one
	response                  // the response to a direct request, which may overtake unsolicited heartbeats and their replies
)

// ApplyHeartbeat applies an unsolicited heartbeat and returns the changes that it shows.
// It ignores an outdated heartbeat and returns false for it.
func (m *Machine) ApplyHeartbeat(h *wire.Heartbeat, now time.Time) (events []Event, applied bool) {
	return m.apply(h, unsolicited, now)
}

// ApplyResponse is ApplyHeartbeat for the heartbeat in the response to a direct request.
func (m *Machine) ApplyResponse(h *wire.Heartbeat, now time.Time) (events []Event, applied bool) {
	return m.apply(h, response, now)
}

func (m *Machine) apply(h *wire.Heartbeat, from source, now time.Time) (events []Event, applied bool) {
	if m.outdated(h) {
		if from == unsolicited && m.overtaken(h) {
			m.HeartbeatSeq = h.Seq
		}
		return nil, false
	}
	if h.Incarnation > m.Incarnation {
		// The lease of the previous incarnation expired, and the worker stopped its tasks.
		events = m.removeLost(func(a *Attempt) Evidence {
			if a.incarnation < h.Incarnation {
				return NewIncarnation
			}
			return unproven
		})
		m.IncarnationSeenAt = now
		m.HeartbeatSeq = 0
	}
	if from == unsolicited {
		m.HeartbeatSeq = h.Seq
	}
	m.applyHeader(h, now)
	for _, status := range h.Tasks {
		if event, ok := m.applyTaskStatus(status, now); ok {
			events = append(events, event)
		}
	}
	return append(events, m.removeLost(m.provenGone)...), true
}

// overtaken reports whether an outdated heartbeat is no copy, but the newest unsolicited
// one that the worker has sent in its current incarnation: only responses to later direct
// requests have arrived before it. A heartbeat with a lower token could also come from an
// earlier incarnation of the machine, see outdated.
func (m *Machine) overtaken(h *wire.Heartbeat) bool {
	return h.Incarnation == m.Incarnation && h.Incarnation > m.expiredIncarnation &&
		h.FencingToken == m.FencingToken && h.Seq > m.HeartbeatSeq
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
		return Event{Kind: Exited, Attempt: a}, true
	case status.State == wire.TaskRunning && a.RunningSince.IsZero():
		a.RunningSince = now
		m.recordImage(a, now)
		return Event{Kind: Started, Attempt: a}, true
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
	return Event{Kind: Found, Attempt: a}, true
}

// provenGone returns the evidence that an attempt that the newest heartbeat does not show
// is not on the machine and can no longer start there, or unproven.
func (m *Machine) provenGone(a *Attempt) Evidence {
	switch {
	case a.lastSeenHeartbeat == m.heartbeatsApplied:
		return unproven
	case a.State != "":
		return Forgotten
	case !a.Stop && !a.RestoredFromRecord:
		return unproven // the start will be sent again
	case m.directStartMayArrive(a) || a.replyStartMayArrive(m.HeartbeatSeq, m.FencingToken):
		return unproven
	}
	return StartExcluded
}

// directStartMayArrive reports whether the worker may still execute a direct start of
// the attempt: a request is in flight, or a request got no response and the worker has
// not seen a higher token since.
func (m *Machine) directStartMayArrive(a *Attempt) bool {
	return a.directStartsInFlight > 0 || a.maxUnansweredToken > 0 && a.maxUnansweredToken >= m.FencingToken
}

// replyStartMayArrive reports whether a worker may still execute a start of the attempt
// from a reply to a heartbeat, given the sequence number of its newest unsolicited
// heartbeat and a fencing token that it has seen. It sends the next unsolicited heartbeat
// only after it has executed the reply or has given up waiting for it, and it drops a
// reply with a lower token. The response to a direct request proves nothing of that kind:
// the worker may send it while the reply is still on its way.
func (a *Attempt) replyStartMayArrive(heartbeatSeq, token uint64) bool {
	return a.startSentInReply && heartbeatSeq <= a.startReplySeq && token <= a.startReplyToken
}
