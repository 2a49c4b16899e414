package standin

import (
	"net/http"
	"slices"
	"time"

	"heronwick/internal/wait"
	"heronwick/wire"
)

// Worker fakes the worker of one machine. Its fields are guarded by the fleet's lock.
type Worker struct {
	fleet       *Fleet
	name        string // of the machine; also the address of the worker
	machineType wire.MachineType
	zone        string
	spot        bool

	nodeIndex    int // of the controller that gets the heartbeats, modulo the number of controllers
	incarnation  uint64
	sequence     uint64 // of the last heartbeat in this incarnation
	fencingToken uint64 // highest token received
	leaseRenewed time.Time
	tasks        map[string]*task // by attempt
	awaited      *sentHeartbeat   // the heartbeat that waits for its reply; nil if none does
	executed     []message        // the most recent messages that were executed, for RepeatCommands
	removed      bool             // the machine no longer exists
	changed      chan struct{}    // wakes the worker to send a heartbeat

	// Faults.
	disconnected   bool                   // no messages to or from the worker
	dropInbound    bool                   // heartbeats arrive, but responses and commands do not
	dropHeartbeats bool                   // heartbeats do not reach any controller
	delay          time.Duration          // of each message to and from the worker
	paused         bool                   // no task progresses, and nothing is sent or executed
	holdCommands   bool                   // direct commands are held back
	heldCommands   []*wire.CommandRequest // direct commands received while holdCommands or paused
	holdHeartbeats bool                   // heartbeats are held back
	heldHeartbeats []*wire.Heartbeat      // heartbeats that were held back
}

const (
	// minHeartbeatInterval is the shortest interval between heartbeats of a worker.
	minHeartbeatInterval = 500 * time.Millisecond
	// responseTimeout is how long a worker waits for the response to a heartbeat that is lost.
	responseTimeout = 4 * time.Second
	// maxHeldHeartbeats is the maximum number of heartbeats of one machine that are held back.
	maxHeldHeartbeats = 50
	// maxExecuted is the number of executed messages that a worker keeps for RepeatCommands.
	maxExecuted = 50
)

// message is a message with commands for a worker: a direct request, or the reply to a
// heartbeat of the worker.
type message struct {
	request   *wire.CommandRequest
	heartbeat *sentHeartbeat
	reply     *wire.HeartbeatReply
}

// commands returns the commands of the message.
func (m *message) commands() []wire.Command {
	if m.request != nil {
		return m.request.Commands
	}
	return m.reply.Commands
}

// deliverCopyLocked delivers a message once more.
func (w *Worker) deliverCopyLocked(copied message) {
	if copied.request != nil {
		w.applyCommandRequestLocked(copied.request)
		return
	}
	w.applyReplyLocked(copied.heartbeat, copied.reply)
}

// recordExecutedLocked keeps a message for RepeatCommands.
func (w *Worker) recordExecutedLocked(executed message) {
	w.executed = append(w.executed, executed)
	w.executed = w.executed[max(0, len(w.executed)-maxExecuted):]
}

// location returns the location of the worker's tasks.
func (w *Worker) location() Location {
	return Location{Machine: w.name, Type: w.machineType.Name, Zone: w.zone, Spot: w.spot}
}

// headroomLocked returns the machine's free resources and the tasks on it.
func (w *Worker) headroomLocked() Headroom {
	headroom := Headroom{Location: w.location(), CPUs: w.machineType.CPUs, GPUs: w.machineType.GPUs, MemoryGB: w.machineType.MemoryGB}
	for _, t := range w.tasks {
		if t.State == wire.TaskExited {
			continue
		}
		if job := w.fleet.Checker.Job(t.Task); job != nil {
			headroom.CPUs, headroom.GPUs, headroom.MemoryGB = headroom.CPUs-job.CPUs, headroom.GPUs-job.GPUs, headroom.MemoryGB-job.MemoryGB
			headroom.Tasks = append(headroom.Tasks, t.Task)
		}
	}
	return headroom
}

// heartbeatLocked returns a heartbeat with the status of the worker's tasks.
func (w *Worker) heartbeatLocked() *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{
		Machine: w.name, Address: w.name, Type: w.machineType.Name, Zone: w.zone, Spot: w.spot,
		Incarnation: w.incarnation, Seq: w.sequence, FencingToken: w.fencingToken,
	}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

// applyCommandRequestLocked executes direct commands, unless their fencing token is too low or
// they are for another incarnation.
func (w *Worker) applyCommandRequestLocked(req *wire.CommandRequest) {
	if req.FencingToken < w.fencingToken || req.Incarnation != w.incarnation {
		return
	}
	w.fencingToken = req.FencingToken
	w.executeLocked(req.Commands)
	w.recordExecutedLocked(message{request: req})
}

// deliverHeldLocked executes the direct commands that were held back.
func (w *Worker) deliverHeldLocked() {
	held := w.heldCommands
	w.heldCommands = nil
	for _, req := range held {
		w.applyCommandRequestLocked(req)
	}
}

// resumeLocked ends the pause of a machine. It first checks the lease, which may have expired
// during the pause, and then handles the commands and timers that were due meanwhile.
func (w *Worker) resumeLocked() {
	w.expireLeaseLocked(time.Now())
	w.deliverHeldLocked()
	for _, t := range w.tasks {
		t.refireTimerLocked()
	}
	w.wake()
}

// wake makes the worker send a heartbeat soon.
func (w *Worker) wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// run sends heartbeats at regular intervals and whenever something changes, but at least
// minHeartbeatInterval apart, until the machine is removed or the fleet's context ends.
func (w *Worker) run(bootTime time.Duration) {
	f := w.fleet
	wait.Sleep(f.ctx, bootTime)
	f.mu.Lock()
	w.leaseRenewed = time.Now()
	f.mu.Unlock()
	go w.watchLease()
	for f.ctx.Err() == nil {
		sent := time.Now()
		next, removed := w.nextHeartbeat()
		if removed {
			return
		}
		if next != nil {
			w.exchangeHeartbeat(next)
		}
		wait.Sleep(f.ctx, time.Until(sent.Add(minHeartbeatInterval)))
		w.waitForChange(time.Until(sent.Add(f.HeartbeatInterval)))
	}
}

// waitForChange waits until the worker is woken, but no longer than timeout.
func (w *Worker) waitForChange(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.changed:
	case <-timer.C:
	case <-w.fleet.ctx.Done():
	}
}

// sentHeartbeat is a heartbeat and the time at which the worker sent it.
type sentHeartbeat struct {
	*wire.Heartbeat
	at time.Time
}

// nextHeartbeat returns the heartbeat to send now, or nil if the worker cannot send one, and
// whether the machine has been removed.
func (w *Worker) nextHeartbeat() (next *sentHeartbeat, removed bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.removed || w.paused {
		return nil, w.removed
	}
	w.sequence++
	if w.disconnected {
		return nil, false
	}
	return &sentHeartbeat{Heartbeat: w.heartbeatLocked(), at: time.Now()}, false
}

// watchLease ends the incarnation as soon as its lease expires, even while the worker waits
// for the response to a heartbeat.
func (w *Worker) watchLease() {
	for w.fleet.ctx.Err() == nil {
		remaining, removed := w.checkLease()
		if removed {
			return
		}
		wait.Sleep(w.fleet.ctx, remaining+time.Millisecond)
	}
}

// checkLease ends the incarnation if its lease has expired. It returns the remaining time of
// the lease, and whether the machine has been removed.
func (w *Worker) checkLease() (remaining time.Duration, removed bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.removed {
		return 0, true
	}
	now := time.Now()
	w.expireLeaseLocked(now)
	return w.leaseRenewed.Add(w.fleet.Lease).Sub(now), false
}

// expireLeaseLocked ends the incarnation and all of its tasks if its lease has expired.
func (w *Worker) expireLeaseLocked(now time.Time) {
	if now.Sub(w.leaseRenewed) > w.fleet.Lease {
		w.killTasksLocked()
		w.incarnation++
		w.leaseRenewed = now
		w.fleet.leaseExpiries++
	}
}

// exchangeHeartbeat sends a heartbeat to a controller and applies the response. It blocks
// until the response arrives or, if the heartbeat is lost, for responseTimeout.
func (w *Worker) exchangeHeartbeat(heartbeat *sentHeartbeat) {
	f := w.fleet
	node := f.Nodes[w.nodeIndex%len(f.Nodes)]
	f.mu.Lock()
	lost := w.dropHeartbeats || w.holdHeartbeats || !f.reachableLocked(node, w)
	delay := w.delay
	w.awaited = heartbeat
	if w.holdHeartbeats && len(w.heldHeartbeats) < maxHeldHeartbeats {
		w.heldHeartbeats = append(w.heldHeartbeats, heartbeat.Heartbeat)
	}
	f.mu.Unlock()
	var response HeartbeatResponse
	if lost {
		wait.Sleep(f.ctx, responseTimeout)
	} else {
		wait.Sleep(f.ctx, delay)
		response = f.DeliverHeartbeat(node, heartbeat.Heartbeat)
		wait.Sleep(f.ctx, delay)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case w.removed || w.disconnected || w.dropInbound || w.paused || w.awaited != heartbeat:
	case response.Status == http.StatusOK:
		f.Checker.ObserveCommands(response.Reply.Commands)
		w.applyReplyLocked(heartbeat, response.Reply)
	case response.Status == http.StatusMisdirectedRequest && slices.Contains(f.Nodes, response.Redirect):
		w.nodeIndex = slices.Index(f.Nodes, response.Redirect)
		w.wake()
	default:
		w.nodeIndex++
	}
	if w.awaited == heartbeat {
		w.awaited = nil
	}
}

// applyReplyLocked renews the lease from the time at which the heartbeat was sent, and
// executes the commands in the reply. It ignores a reply that the worker does not wait for,
// such as a copy of an earlier one, one whose fencing token is too low, and one to a heartbeat
// of an earlier incarnation.
func (w *Worker) applyReplyLocked(heartbeat *sentHeartbeat, reply *wire.HeartbeatReply) {
	if w.awaited != heartbeat || reply.FencingToken < w.fencingToken || heartbeat.Incarnation != w.incarnation {
		return
	}
	w.fencingToken, w.leaseRenewed = reply.FencingToken, heartbeat.at
	w.executeLocked(reply.Commands)
	if len(reply.Commands) > 0 {
		w.recordExecutedLocked(message{heartbeat: heartbeat, reply: reply})
	}
}
