package fleet

import (
	"time"

	"heronwick/wire"
)

// A worker that has restarted is another worker. Its tasks are gone, it counts
// incarnations and sequence numbers from the beginning, and it has seen no fencing token.
// So it executes direct commands from before the restart, if they arrive late or again; none
// of them starts a task, see sentStart.
//
// Its numbers may reach those from before the restart and pass them, so comparing them
// does not show which of two heartbeats is the later one. What shows that cannot be
// overtaken:
//
//   - A response to a direct request is sent after the request. A worker that has not
//     restarted in between answers with higher numbers than those known when the request
//     was sent, see Position. Unsolicited heartbeats may be late copies and show nothing.
//   - A worker drops a task that it was not told to forget, or runs one again that has
//     exited, only by restarting.
//   - An unsolicited heartbeat that is not newer than what is known may be a late copy, or
//     from a worker that has restarted; one of a new incarnation may be a late copy from
//     before a restart. Both raise a doubt, which only the response to a request that was
//     sent afterwards settles. Until then, no task counts as exited or gone: a heartbeat
//     that shows that may be from before the restart.
//   - A fencing token that was issued after the restart was detected cannot be in a
//     heartbeat from before the restart. Until the worker shows one, the restart is
//     pending: its heartbeats prove nothing about the attempts, no matter what their
//     numbers are, and it gets no commands. What it does not have once it shows one is gone.

// Position is what is known of a worker when a direct request is sent to it.
type Position struct {
	incarnation, seq, token, expiredIncarnation uint64
	doubts                                      uint64
}

// Position returns what is known of the worker now.
func (m *Machine) Position() Position {
	return Position{
		incarnation: m.Incarnation, seq: m.Seq, token: m.FencingToken, expiredIncarnation: m.expiredIncarnation,
		doubts: m.doubt.raised,
	}
}

// doubt is the doubt whether the worker has restarted without being known to have.
type doubt struct {
	raised      uint64 // number of unsolicited heartbeats that may be from another life of the worker
	settled     uint64 // value of raised when the last request was sent whose response settled the doubt
	incarnation uint64 // lowest incarnation that the worker may be in
}

// Doubted reports whether the worker may have restarted since the last request to it that
// was answered.
func (m *Machine) Doubted() bool { return m.doubt.raised != m.doubt.settled }

// raiseDoubt records an unsolicited heartbeat that may be from another life of the worker
// than what is known. The worker may be in the incarnation then, and its lease may have
// begun now.
func (m *Machine) raiseDoubt(incarnation uint64, now time.Time) {
	if !m.Doubted() || incarnation < m.doubt.incarnation {
		m.doubt.incarnation = incarnation
	}
	m.doubt.raised++
	m.IncarnationSeenAt = now
}

// settleDoubt records a response from the worker as it is known, to a request that was
// sent at a position.
func (m *Machine) settleDoubt(sent Position) {
	m.doubt.settled = max(m.doubt.settled, sent.doubts)
}

// precedes reports whether a worker that has not restarted since it was known to be at
// the position can have sent the heartbeat in response to a direct request: its numbers
// rise with every heartbeat, its token never falls, and an incarnation whose lease has
// expired has ended.
func (p Position) precedes(h *wire.Heartbeat) bool {
	later := h.Incarnation > p.incarnation || h.Incarnation == p.incarnation && h.Seq > p.seq
	return later && h.FencingToken >= p.token && h.Incarnation > p.expiredIncarnation
}

// BeginRestart records that the worker has restarted, as a heartbeat has shown. fence
// must be higher than every fencing token that was issued until now. The restart stays
// pending until the worker shows this token or a higher one.
func (m *Machine) BeginRestart(h *wire.Heartbeat, fence uint64, now time.Time) {
	m.restartFence = max(m.restartFence, fence, m.FencingToken+1)
	m.Incarnation, m.Seq, m.HeartbeatSeq, m.FencingToken = h.Incarnation, h.Seq, 0, h.FencingToken
	m.expiredIncarnation = 0
	m.doubt.settled = m.doubt.raised
	m.IncarnationSeenAt, m.LastHeartbeat = now, now
	for _, a := range m.Attempts.All() {
		a.beforeRestart = a.State != ""
	}
}

// endRestart ends a pending restart with the first heartbeat that bears a fencing token
// from after it. It may be from yet another restart, with lower numbers.
func (m *Machine) endRestart(h *wire.Heartbeat, now time.Time) {
	m.Incarnation, m.HeartbeatSeq, m.IncarnationSeenAt = h.Incarnation, 0, now
	for _, a := range m.Attempts.All() {
		a.incarnation = h.Incarnation // a start that the worker never got is sent again
	}
}

// RestartPending reports whether the worker has restarted and has not shown a fencing
// token since that was issued after the restart.
func (m *Machine) RestartPending() bool { return m.FencingToken < m.restartFence }

// RestartFence returns the lowest fencing token that ends a pending restart.
func (m *Machine) RestartFence() uint64 { return m.restartFence }

// followRestarted updates, from a response to a direct request, what is known of a worker
// whose restart is pending.
func (m *Machine) followRestarted(h *wire.Heartbeat, now time.Time) {
	m.LastHeartbeat = now
	if m.Position().precedes(h) {
		m.Incarnation, m.Seq, m.FencingToken = h.Incarnation, h.Seq, h.FencingToken
	}
}

// missesAttempt reports whether an attempt that the worker has had in its current
// incarnation, since its last known restart, is missing in the newest heartbeat, although
// the worker was not told to forget it.
func (m *Machine) missesAttempt() bool {
	for _, a := range m.Attempts.All() {
		expected := a.State != "" && !a.forgetSent && !a.beforeRestart && a.incarnation >= m.Incarnation
		if expected && a.lastSeenHeartbeat != m.heartbeatsApplied {
			return true
		}
	}
	return false
}
