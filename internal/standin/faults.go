package standin

import (
	"maps"
	"slices"
	"time"

	"heronwick/wire"
)

// partition separates the workers of one zone and one controller from all other workers and
// controllers.
type partition struct {
	zone, node string // an empty zone means no partition
}

// withWorker calls change with a machine's worker while it holds the fleet's lock. It does
// nothing if the machine does not exist.
func (f *Fleet) withWorker(machine string, change func(w *Worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		change(w)
	}
}

// Disconnect cuts or restores the network of a machine. Its tasks keep running.
func (f *Fleet) Disconnect(machine string, on bool) {
	f.withWorker(machine, func(w *Worker) { w.disconnected = on })
}

// DropInbound starts or stops dropping responses and commands to a machine, whose heartbeats
// still arrive.
func (f *Fleet) DropInbound(machine string, on bool) {
	f.withWorker(machine, func(w *Worker) { w.dropInbound = on })
}

// DropHeartbeats starts or stops dropping the heartbeats of a machine, which direct commands
// still reach.
func (f *Fleet) DropHeartbeats(machine string, on bool) {
	f.withWorker(machine, func(w *Worker) { w.dropHeartbeats = on })
}

// Restart restarts a machine immediately: its tasks end, and its worker starts without any
// state of its earlier incarnations.
func (f *Fleet) Restart(machine string) {
	f.withWorker(machine, func(w *Worker) {
		w.killTasksLocked()
		w.awaited = nil
		w.incarnation, w.sequence, w.fencingToken, w.leaseRenewed = 1, 0, 0, time.Now()
		w.wake()
	})
}

// HoldCommands starts or stops holding back direct commands to a machine, whose senders get no
// response. Stopping delivers the held commands late.
func (f *Fleet) HoldCommands(machine string, on bool) {
	f.withWorker(machine, func(w *Worker) {
		w.holdCommands = on
		if !on {
			w.deliverHeldLocked()
		}
	})
}

// RepeatCommands delivers the messages with commands that a machine has executed recently once
// more, in the same order, also those from before a restart of the machine.
func (f *Fleet) RepeatCommands(machine string) {
	f.withWorker(machine, func(w *Worker) {
		if w.disconnected || w.dropInbound || w.paused {
			return
		}
		recent := w.executed
		for _, executed := range recent {
			w.deliverCopyLocked(executed)
		}
		w.executed = recent // repetitions are not recorded
	})
}

// RepeatStart delivers the last message that started a task on a machine once more, without
// those that followed. It reports whether there is one.
func (f *Fleet) RepeatStart(machine, task string) (found bool) {
	starts := func(c wire.Command) bool { return c.Op == wire.OpStart && c.Task == task }
	f.withWorker(machine, func(w *Worker) {
		recent := w.executed
		for _, executed := range slices.Backward(recent) {
			if slices.ContainsFunc(executed.commands(), starts) {
				w.deliverCopyLocked(executed)
				found = true
				break
			}
		}
		w.executed = recent // repetitions are not recorded
	})
	return found
}

// Isolate cuts a controller off from all workers, or reconnects it.
func (f *Fleet) Isolate(node string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isolated == nil {
		f.isolated = map[string]bool{}
	}
	f.isolated[node] = on
}

// Terminate removes a machine permanently, without announcing that it will be reclaimed.
func (f *Fleet) Terminate(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(machine)
}

// DelayMessages delays each message to and from a machine; 0 ends the delay.
func (f *Fleet) DelayMessages(machine string, delay time.Duration) {
	f.withWorker(machine, func(w *Worker) { w.delay = delay })
}

// messageDelay returns the delay of each message to and from a machine.
func (f *Fleet) messageDelay(machine string) (delay time.Duration) {
	f.withWorker(machine, func(w *Worker) { delay = w.delay })
	return delay
}

// Pause pauses or resumes a machine. If its lease has not expired when it resumes, its tasks
// keep running and it executes the commands that were sent during the pause.
func (f *Fleet) Pause(machine string, on bool) {
	f.withWorker(machine, func(w *Worker) {
		if w.paused == on {
			return
		}
		w.paused = on
		if !on {
			w.resumeLocked()
		}
	})
}

// HoldHeartbeats starts or stops holding back the heartbeats of a machine, which get no
// response. Stopping delivers the held heartbeats late, to all controllers in turn.
func (f *Fleet) HoldHeartbeats(machine string, on bool) {
	var late []*wire.Heartbeat
	f.withWorker(machine, func(w *Worker) {
		w.holdHeartbeats = on
		if !on {
			late, w.heldHeartbeats = w.heldHeartbeats, nil
		}
	})
	for i, heartbeat := range late {
		f.DeliverHeartbeat(f.Nodes[i%len(f.Nodes)], heartbeat) // the worker no longer waits for the response
	}
}

// Partition separates the workers of a zone and one controller from all others; an empty zone
// ends the partition.
func (f *Fleet) Partition(zone, node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partition = partition{zone, node}
}

// reachableLocked reports whether a controller and a worker can exchange messages.
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

// PlaceableTasks returns, for each job that can run, its first unplaced task if there is a
// machine with room for it, of a type and in a zone that the job allows, and the team's quota
// permits it.
func (f *Fleet) PlaceableTasks() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var machines []Headroom
	for _, w := range f.workers {
		machines = append(machines, w.headroomLocked())
	}
	return f.Checker.PlaceableTasks(machines)
}
