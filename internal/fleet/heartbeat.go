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

// Result is the effect of a heartbeat on what is known of its machine.
type Result int

const (
	// Outdated means that the heartbeat was ignored.
	Outdated Result = iota
	// Overtaken means that the heartbeat was ignored, since the response to a later direct
	// request has arrived before it, but that it is no copy: the worker awaits the reply.
	Overtaken
	// Applied means that the heartbeat was newer than what was known.
	Applied
	// Restarted means that the heartbeat shows a restart of the worker. The caller must
	// call BeginRestart.
	Restarted
)

// ApplyHeartbeat applies an unsolicited heartbeat and returns the changes that it shows.
func (m *Machine) ApplyHeartbeat(h *wire.Heartbeat, now time.Time) ([]Event, Result) {
	return m.apply(h, unsolicited, now)
}

// ApplyResponse is ApplyHeartbeat for the heartbeat in the response to a direct request.
// sent is the Position of the machine when the request was sent.
func (m *Machine) ApplyResponse(h *wire.Heartbeat, sent Position, now time.Time) ([]Event, Result) {
	if !sent.precedes(h) {
		return nil, Restarted
	}
	m.settleDoubt(sent)
	return m.apply(h, response, now)
}

func (m *Machine) apply(h *wire.Heartbeat, from source, now time.Time) ([]Event, Result) {
	if m.outdated(h) {
		return nil, m.applyOutdated(h, from, now)
	}
	if m.RestartPending() {
		m.endRestart(h, now)
	}
	if h.Incarnation > m.Incarnation {
		m.beginIncarnation(from, now)
	}
	if from == unsolicited {
		m.HeartbeatSeq = h.Seq
	}
	m.applyHeader(h, now)
	m.recordRequests(h.Tasks)
	var changes changes
	for _, status := range h.Tasks {
		m.applyTaskStatus(&changes, status, now)
	}
	if changes.restarted || m.missesAttempt() {
		// The heartbeat may be from before the restart, so what it does not show is not gone.
		return changes.events, Restarted
	}
	return append(changes.events, m.removeLost(m.provenGone)...), Applied
}

// changes is what a heartbeat has changed.
type changes struct {
	events    []Event
	restarted bool // the worker has restarted since the last heartbeat that was applied
}

func (c *changes) add(kind EventKind, a *Attempt) {
	c.events = append(c.events, Event{Kind: kind, Attempt: a})
}

// applyOutdated keeps what an outdated heartbeat nevertheless shows.
func (m *Machine) applyOutdated(h *wire.Heartbeat, from source, now time.Time) Result {
	if from == response {
		if m.RestartPending() {
			m.followRestarted(h, now)
		}
		return Outdated
	}
	m.raiseDoubt(h.Incarnation, now)
	if m.RestartPending() || !m.overtaken(h) {
		return Outdated
	}
	m.HeartbeatSeq = h.Seq
	return Overtaken
}

// IsNewest reports whether a heartbeat is the newest unsolicited one of the worker, which has
// not restarted since.
func (m *Machine) IsNewest(h *wire.Heartbeat) bool {
	return !m.RestartPending() && h.Incarnation == m.Incarnation && h.Seq == m.HeartbeatSeq
}

// beginIncarnation handles the first heartbeat of an incarnation.
func (m *Machine) beginIncarnation(from source, now time.Time) {
	m.IncarnationSeenAt, m.HeartbeatSeq = now, 0
	if from == unsolicited && m.Incarnation > 0 {
		m.raiseDoubt(m.Incarnation, now)
	}
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
// number; applying it made tasks run twice (rule ran_twice). While a restart is pending,
// only a token from after the restart counts.
func (m *Machine) outdated(h *wire.Heartbeat) bool {
	if m.RestartPending() {
		return h.FencingToken < m.restartFence
	}
	return h.FencingToken < m.FencingToken ||
		h.Incarnation <= m.expiredIncarnation ||
		h.Incarnation < m.Incarnation ||
		h.Incarnation == m.Incarnation && h.Seq <= m.Seq
}

// applyHeader applies the part of a heartbeat that describes the machine itself.
func (m *Machine) applyHeader(h *wire.Heartbeat, now time.Time) {
	m.Incarnation, m.Seq = h.Incarnation, h.Seq
	m.FencingToken = h.FencingToken // outdated excludes a lower one
	m.HeartbeatSeen, m.LastHeartbeat = true, now
	m.Address, m.TypeName, m.Zone, m.Spot = h.Address, h.Type, h.Zone, h.Spot
	m.ReclaimAt = time.Time{}
	if h.NoticeS != nil {
		m.ReclaimAt = now.Add(time.Duration(*h.NoticeS * float64(time.Second)))
	}
	m.heartbeatsApplied++
}

// applyTaskStatus applies the status of one attempt.
func (m *Machine) applyTaskStatus(c *changes, status wire.TaskStatus, now time.Time) {
	a := m.Attempts.Get(Key{status.Task, status.Attempt})
	if a != nil && a.Exited() && status.State != wire.TaskExited {
		// A copy of its start has run it again. It is found like an unknown attempt.
		c.restarted = c.restarted || !a.beforeRestart
		m.Attempts.Delete(a.Key)
		a = nil
	}
	if a == nil {
		m.addFound(c, status, now)
		return
	}
	a.lastSeenHeartbeat, a.beforeRestart = m.heartbeatsApplied, false
	if a.Exited() || status.State == wire.TaskExited && m.Doubted() {
		return
	}
	a.State, a.ExitReason = status.State, status.Reason
	switch {
	case status.State == wire.TaskExited:
		c.add(Exited, a)
	case status.State == wire.TaskRunning && a.RunningSince.IsZero():
		a.RunningSince = now
		m.recordImage(a, now)
		c.add(Started, a)
	}
}

// addFound adds an attempt that is on the machine but in no record, unless the ID of its
// task is not valid.
func (m *Machine) addFound(c *changes, status wire.TaskStatus, now time.Time) {
	job, index, ok := wire.SplitTaskID(status.Task)
	if !ok {
		return
	}
	a := &Attempt{Key: Key{status.Task, status.Attempt}, Job: job, Index: index, Recorded: true, PlacedAt: now,
		State: status.State, ExitReason: status.Reason, incarnation: m.Incarnation, lastSeenHeartbeat: m.heartbeatsApplied}
	if status.State == wire.TaskRunning {
		a.RunningSince = now
	}
	m.Attempts.Put(a)
	c.add(Found, a)
}

// provenGone returns the evidence that an attempt that the newest heartbeat does not show
// is not on the machine and can no longer start there, or unproven.
func (m *Machine) provenGone(a *Attempt) Evidence {
	switch {
	case a.lastSeenHeartbeat == m.heartbeatsApplied || m.Doubted():
		return unproven
	case a.incarnation < m.Incarnation:
		return NewIncarnation // the lease of its incarnation expired, and the worker stopped its tasks
	case a.State == "" && !a.Stop && !a.RestoredFromRecord:
		return unproven // its start will be sent again
	case a.start.mayArrive(m.HeartbeatSeq, m.FencingToken):
		return unproven
	case a.beforeRestart:
		return RestartFenced
	case a.State != "":
		return Forgotten
	}
	return StartExcluded
}
