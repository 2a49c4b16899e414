package standin

import (
	"maps"
	"slices"
	"time"

	"heronwick/wire"
)

// partition separates the workers of a zone, and the one controller in it, from the rest.
type partition struct {
	zone, node string // zone "": there is no partition
}

// withWorker calls change under the fleet's lock with a machine's worker; it does nothing
// if the machine is gone.
func (f *Fleet) withWorker(machine string, change func(w *Worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		change(w)
	}
}

// Disconnect cuts a machine's network, or restores it. Its tasks run on.
func (f *Fleet) Disconnect(machine string, on bool) {
	f.withWorker(machine, func(w *Worker) { w.disconnected = on })
}

// DropInbound drops responses and commands to a machine, whose heartbeats still arrive, or
// ends that.
func (f *Fleet) DropInbound(machine string, on bool) {
	f.withWorker(machine, func(w *Worker) { w.dropInbound = on })
}

// DropHeartbeats drops a machine's heartbeats, while direct commands reach it, or ends
// that.
func (f *Fleet) DropHeartbeats(machine string, on bool) {
	f.withWorker(machine, func(w *Worker) { w.dropHeartbeats = on })
}

// Restart restarts a machine at once: its tasks are gone, and its worker knows nothing of
// its earlier incarnation.
func (f *Fleet) Restart(machine string) {
	f.withWorker(machine, func(w *Worker) {
		w.killTasksLocked()
		w.restarts++
		w.incarnation, w.sequence, w.fencingToken, w.leaseRenewed = 1, 0, 0, time.Now()
		w.wake()
	})
}

// HoldCommands holds direct commands to a machine back, without an answer. Ending that
// delivers them late.
func (f *Fleet) HoldCommands(machine string, on bool) {
	f.withWorker(machine, func(w *Worker) {
		w.holdCommands = on
		if !on {
			w.deliverHeldLocked()
		}
	})
}

// Isolate cuts a controller off from all workers, or ends that.
func (f *Fleet) Isolate(node string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isolated == nil {
		f.isolated = map[string]bool{}
	}
	f.isolated[node] = on
}

// Terminate removes a machine for good, without a notice.
func (f *Fleet) Terminate(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(machine)
}

// DelayMessages delays each message to and from a machine; 0 ends that.
func (f *Fleet) DelayMessages(machine string, delay time.Duration) {
	f.withWorker(machine, func(w *Worker) { w.delay = delay })
}

// messageDelay returns the delay of each message to and from a machine.
func (f *Fleet) messageDelay(machine string) (delay time.Duration) {
	f.withWorker(machine, func(w *Worker) { delay = w.delay })
	return delay
}

// Pause stops a machine, or lets it go on: if its lease has not expired its tasks then run
// on, and the commands that were sent meanwhile are carried out.
func (f *Fleet) Pause(machine string, on bool) {
	f.withWorker(machine, func(w *Worker) {
		if w.paused == on {
			return
		}
		w.paused = on
		if !on {
			w.unpauseLocked()
		}
	})
}

// HoldHeartbeats holds a machine's heartbeats back, without a response. Ending that
// delivers them late, to all controllers in turn.
func (f *Fleet) HoldHeartbeats(machine string, on bool) {
	var late []*wire.Heartbeat
	f.withWorker(machine, func(w *Worker) {
		w.holdHeartbeats = on
		if !on {
			late, w.heldHeartbeats = w.heldHeartbeats, nil
		}
	})
	for i, heartbeat := range late {
		f.DeliverHeartbeat(f.Nodes[i%len(f.Nodes)], heartbeat) // the response is too late for the worker
	}
}

// Partition separates the workers of a zone and one controller from the rest; zone "" ends
// that.
func (f *Fleet) Partition(zone, node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partition = partition{zone, node}
}

// reachableLocked reports whether messages pass between a controller and a worker.
func (f *Fleet) reachableLocked(node string, w *Worker) bool {
	if f.isolated[node] {
		return false
	}
	return f.partition.zone == "" || (w.zone == f.partition.zone) == (node == f.partition.node)
}

// Machines returns the names of the machines, sorted.
func (f *Fleet) Machines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.workers))
}

// PlaceableTasks returns a task of each job that could run but is on no machine: one has room, is
// of a type and in a zone that the job allows, and the team's quota permits it.
func (f *Fleet) PlaceableTasks() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var machines []Headroom
	for _, w := range f.workers {
		machines = append(machines, w.headroomLocked())
	}
	return f.Checker.PlaceableTasks(machines)
}
