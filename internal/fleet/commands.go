package fleet

import (
	"cmp"
	"slices"

	"heronwick/wire"
)

// ReplyCommands returns the commands for the reply to the newest heartbeat, which is sent
// under a fencing token, and records the starts among them as sent.
func (m *Machine) ReplyCommands(token uint64) []wire.Command {
	due := m.dueCommands(token)
	commands := slices.Concat(due.stops, due.forgets, due.starts)
	commands = commands[:min(len(commands), wire.MaxCommands)]
	m.heartbeatDue = len(due.starts) > 0
	m.forEach(wire.OpStart, commands, func(a *Attempt) { a.start.record(m.HeartbeatSeq, token) })
	m.forEach(wire.OpForget, commands, func(a *Attempt) { a.forgetSent = true })
	return commands
}

// DirectRequest returns the request to send to the worker directly, outside of a heartbeat
// reply, under a fencing token. It returns nil if there are no commands. Instead of starts
// the request contains a heartbeat request, unless a heartbeat is due soon anyway.
func (m *Machine) DirectRequest(token uint64) *wire.CommandRequest {
	due := m.dueCommands(token)
	commands := slices.Concat(due.stops, due.forgets)
	commands = commands[:min(len(commands), wire.MaxCommands-1)]
	if len(due.starts) > 0 && !m.heartbeatDue {
		m.heartbeatDue = true
		commands = append(commands, heartbeatRequest(due.starts[0]))
	}
	if len(commands) == 0 {
		return nil
	}
	m.forEach(wire.OpForget, commands, func(a *Attempt) { a.forgetSent = true })
	return &wire.CommandRequest{FencingToken: token, Incarnation: m.Incarnation, Commands: commands}
}

// DirectRequestFailed records that no response to a request from DirectRequest arrived.
func (m *Machine) DirectRequestFailed() { m.heartbeatDue = false }

// forEach calls f for the attempt of each command of one kind, except for attempts that
// were removed meanwhile.
func (m *Machine) forEach(op wire.Op, commands []wire.Command, f func(a *Attempt)) {
	for _, c := range commands {
		if c.Op != op {
			continue
		}
		if a := m.Attempts.Get(Key{c.Task, c.Attempt}); a != nil {
			f(a)
		}
	}
}

// dueCommands are the commands for a worker, by kind. Those that free capacity come first.
type dueCommands struct{ stops, forgets, starts []wire.Command }

// dueCommands returns the commands that are due under a fencing token. There are none while
// a restart of the worker is pending.
func (m *Machine) dueCommands(token uint64) (due dueCommands) {
	if m.RestartPending() {
		return due
	}
	for _, refused := range m.refusedRequests {
		due.forgets = append(due.forgets, wire.Command{Op: wire.OpForget, Task: refused.Task, Attempt: refused.Attempt})
	}
	for _, a := range m.Attempts.All() {
		switch {
		case m.canForget(a, token):
			due.forgets = append(due.forgets, a.command(wire.OpForget))
		case m.needsStop(a):
			stop := a.command(wire.OpStop)
			grace := a.GraceS
			stop.GraceS = &grace
			due.stops = append(due.stops, stop)
		case m.needsStart(a):
			due.starts = append(due.starts, a.command(wire.OpStart))
		}
	}
	slices.SortFunc(due.starts, func(a, b wire.Command) int { return cmp.Compare(a.Task, b.Task) })
	return due
}

func (a *Attempt) command(op wire.Op) wire.Command {
	return wire.Command{Op: op, Task: a.Task, Attempt: a.Attempt}
}

// canForget reports whether the worker may be told under a fencing token to forget an
// attempt that has exited. A worker that has forgotten an attempt executes a start of it that
// arrives later. So none must be able to arrive once the worker has seen the token, as it has
// when it forgets. The exit reason makes no difference: the worker starts even a task that is
// done, whose job may have been cancelled and whose team may be at its quota.
func (m *Machine) canForget(a *Attempt, token uint64) bool {
	return a.Exited() && a.ExitProcessed && !a.start.mayArrive(m.HeartbeatSeq, token)
}

// needsStop reports whether the worker has the attempt and must be sent a stop. An
// attempt that is saving its progress in its grace period has already received one.
func (m *Machine) needsStop(a *Attempt) bool {
	saving := a.State == wire.TaskSaving && a.GraceS > 0
	return a.Stop && a.State != "" && !a.Exited() && !saving
}

// needsStart reports whether the start of the attempt must be sent or resent.
func (m *Machine) needsStart(a *Attempt) bool {
	return a.State == "" && a.Recorded && !a.Stop && !a.RestoredFromRecord && a.incarnation == m.Incarnation
}

// StartsDue reports whether the start of any attempt must be sent or resent.
func (m *Machine) StartsDue() bool { return slices.ContainsFunc(m.Attempts.All(), m.needsStart) }

// StartsUnrecorded reports whether the record of any attempt to start is not in the store yet.
func (m *Machine) StartsUnrecorded() bool {
	return slices.ContainsFunc(m.Attempts.All(), func(a *Attempt) bool { return a.State == "" && !a.Recorded && !a.Stop })
}

// NeedsHigherFencingToken reports whether the worker must soon see a higher token than
// this one, since it has restarted.
func (m *Machine) NeedsHigherFencingToken(token uint64) bool {
	return m.RestartPending() && m.restartFence > token
}
