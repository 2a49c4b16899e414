package fleet

import "heronwick/wire"

// A heartbeat request makes a worker send a heartbeat soon, so that the reply can contain
// starts. A worker does so whenever its tasks change, at the earliest half a second after
// its last heartbeat. The request is a start that every worker refuses, since its task does
// not exist. So a late copy of it does nothing but cause another heartbeat, after a restart
// of the worker as well.

// heartbeatRequest returns the command that requests a heartbeat for the sake of a start. It
// has the attempt number of the start, so that the worker does not take it for a copy of an
// earlier one.
func heartbeatRequest(start wire.Command) wire.Command {
	return wire.Command{Op: wire.OpStart, Task: wire.NoTask, Attempt: start.Attempt}
}

// recordRequests records the heartbeat requests that a heartbeat shows as refused. The worker
// keeps them until it is told to forget them.
func (m *Machine) recordRequests(tasks []wire.TaskStatus) {
	m.refusedRequests = nil
	for _, status := range tasks {
		if status.State == wire.TaskExited && status.Task == wire.NoTask {
			m.refusedRequests = append(m.refusedRequests, Key{status.Task, status.Attempt})
		}
	}
}
