package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"heronwick/wire"
)

// modelWorker is the model of a worker.
type modelWorker struct {
	life                    int // how often it has restarted
	incarnation, seq, token uint64
	leaseRenewed            time.Time
	awaitedSeq              uint64 // sequence number of the heartbeat that waits for its reply; 0 if none does
	tasks                   map[Key]wire.TaskStatus
}

func (m *model) heartbeat() *wire.Heartbeat {
	w := &m.worker
	w.seq++
	h := &wire.Heartbeat{Machine: "m", Address: "m", Type: "t", Incarnation: w.incarnation, Seq: w.seq, FencingToken: w.token}
	for _, status := range w.tasks {
		h.Tasks = append(h.Tasks, status)
	}
	slices.SortFunc(h.Tasks, func(a, b wire.TaskStatus) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return h
}

// expireLease begins the next incarnation if the lease of the current one has expired.
func (m *model) expireLease() {
	w := &m.worker
	if m.now.Sub(w.leaseRenewed) <= modelLease {
		return
	}
	m.logf("worker: incarnation %d expires", w.incarnation)
	w.incarnation, w.seq, w.leaseRenewed, w.awaitedSeq = w.incarnation+1, 0, m.now, 0
	clear(w.tasks)
}

func (m *model) restart() {
	m.logf("worker: restarts")
	m.counts.restarts++
	m.worker = modelWorker{life: m.worker.life + 1, incarnation: 1, leaseRenewed: m.now, tasks: map[Key]wire.TaskStatus{}}
}

// sendHeartbeat sends an unsolicited heartbeat, unless another one waits for its reply, and
// schedules the next one.
func (m *model) sendHeartbeat() {
	m.after(m.between(500*time.Millisecond, 3*time.Second), m.sendHeartbeat)
	m.expireLease()
	w := &m.worker
	if w.awaitedSeq != 0 {
		return
	}
	h, life, sent := m.heartbeat(), w.life, m.now
	w.awaitedSeq = h.Seq
	m.after(modelReplyTimeout, func() {
		if m.worker.life == life && m.worker.incarnation == h.Incarnation && m.worker.awaitedSeq == h.Seq {
			m.worker.awaitedSeq = 0
		}
	})
	m.deliver(fromWorker, func() {
		m.receiveHeartbeat(h, life, func(reply *wire.HeartbeatReply) {
			m.deliver(toWorker, func() { m.receiveReply(h, life, sent, reply) })
		})
	})
	if m.trouble(8) {
		m.after(m.between(time.Second, 40*time.Second), func() { m.receiveHeartbeat(h, life, func(*wire.HeartbeatReply) {}) }) // a late copy; nobody waits for the reply
	}
}

func (m *model) receiveReply(h *wire.Heartbeat, life int, sent time.Time, reply *wire.HeartbeatReply) {
	w := &m.worker
	if w.life != life || w.incarnation != h.Incarnation || w.awaitedSeq != h.Seq {
		return
	}
	w.awaitedSeq = 0
	if reply.FencingToken < w.token {
		return
	}
	m.logf("worker: reply to %d under %d: %v", h.Seq, reply.FencingToken, reply.Commands)
	w.token, w.leaseRenewed = reply.FencingToken, sent
	m.execute(reply.Commands)
}

// receiveRequest executes a direct request, or a copy of one, and returns the response.
func (m *model) receiveRequest(req *wire.CommandRequest, isCopy bool) *wire.Heartbeat {
	m.expireLease()
	w := &m.worker
	rejected := req != nil && (req.FencingToken < w.token || req.Incarnation != w.incarnation)
	if isCopy && rejected {
		m.counts.copiesRejected++
	}
	if req != nil && !rejected {
		m.logf("worker: request under %d, copy %v: %v", req.FencingToken, isCopy, req.Commands)
		if isCopy {
			m.counts.copiesExecuted++
		}
		w.token = req.FencingToken
		m.execute(req.Commands)
	}
	return m.heartbeat()
}

func (m *model) execute(commands []wire.Command) {
	w := &m.worker
	for _, c := range commands {
		key := Key{c.Task, c.Attempt}
		status, known := w.tasks[key]
		switch {
		case c.Op == wire.OpStart && !known && c.Task == wire.NoTask:
			w.tasks[key] = wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskExited, Reason: wire.ExitUnknown}
			m.counts.requestsRefused++
		case c.Op == wire.OpStart && !known:
			w.tasks[key] = wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
			m.started(key)
			if m.chance(2) {
				life := w.life
				m.after(m.between(0, 5*time.Second), func() { m.exit(key, life, []wire.ExitReason{wire.ExitDone, wire.ExitError}[m.random.IntN(2)]) })
			}
		case c.Op == wire.OpStop && known && status.State != wire.TaskExited:
			m.exit(key, w.life, wire.ExitStopped)
		case c.Op == wire.OpForget && known && status.State == wire.TaskExited:
			delete(w.tasks, key)
		}
	}
}

func (m *model) exit(key Key, life int, reason wire.ExitReason) {
	status, known := m.worker.tasks[key]
	if known && m.worker.life == life && status.State != wire.TaskExited {
		status.State, status.Reason = wire.TaskExited, reason
		m.worker.tasks[key] = status
	}
}

// started checks the start of an attempt. A start of an attempt that is gone breaks the rule.
func (m *model) started(key Key) {
	goneAt, gone := m.gone[key]
	if !gone {
		return
	}
	m.violations = append(m.violations, fmt.Sprintf("%s/%d starts, which is gone since %v", key.Task, key.Attempt, m.now.Sub(goneAt)))
	m.logf("VIOLATION: %+v starts", key)
}
