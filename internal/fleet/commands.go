package fleet

import (
	"cmp"
	"slices"

	"heronwick/wire"
)

// ReplyCommands returns the commands for the reply to the newest heartbeat, which is sent
// under a fencing token, and records the starts among them as sent.
func (m *Machine) ReplyCommands(token uint64) []wire.Command {
	commands := m.commands(token)
	m.forEach(wire.OpStart, commands, func(a *Attempt) { a.starts.sentInReply(m.HeartbeatSeq, token) })
	m.forEach(wire.OpForget, commands, func(a *Attempt) { a.forgetSent = true })
	return commands
}

// DirectRequest returns the request to send to the worker directly, outside of a
// heartbeat reply, under a fencing token. It returns nil if there are no commands. The
// caller must call DirectRequestDone when the request has completed or failed.
func (m *Machine) DirectRequest(token uint64) *wire.CommandRequest {
	commands := m.commands(token)
	if len(commands) == 0 {
		return nil
	}
	m.forEach(wire.OpStart, commands, func(a *Attempt) { a.starts.sendingDirectly(m.Incarnation) })
	m.forEach(wire.OpForget, commands, func(a *Attempt) { a.forgetSent = true })
	return &wire.CommandRequest{FencingToken: token, Incarnation: m.Incarnation, Commands: commands}
}

// DirectRequestDone records the end of a request from DirectRequest. sent is false if it
// certainly was not sent. Otherwise the worker may execute the commands later or again, as
// long as it has the incarnation of the request and has seen no higher token.
func (m *Machine) DirectRequestDone(req *wire.CommandRequest, sent bool) {
	m.forEach(wire.OpStart, req.Commands, func(a *Attempt) { a.starts.directRequestDone(req.FencingToken, sent) })
}

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

// commands returns the commands to send to the worker now under a fencing token, at most
// wire.MaxCommands. Commands that free capacity come first. There are none while a restart
// of the worker is pending.
func (m *Machine) commands(token uint64) []wire.Command {
	if m.RestartPending() {
		return nil
	}
	var stops, forgets, starts []wire.Command
	for _, a := range m.Attempts.All() {
		switch {
		case m.canForget(a, token):
			forgets = append(forgets, a.command(wire.OpForget))
		case m.needsStop(a):
			stop := a.command(wire.OpStop)
			grace := a.GraceS
			stop.GraceS = &grace
			stops = append(stops, stop)
		case m.needsStart(a):
			starts = append(starts, a.command(wire.OpStart))
		}
	}
	slices.SortFunc(starts, func(a, b wire.Command) int { return cmp.Compare(a.Task, b.Task) })
	all := slices.Concat(stops, forgets, starts)
	return all[:min(len(all), wire.MaxCommands)]
}

func (a *Attempt) command(op wire.Op) wire.Command {
	return wire.Command{Op: op, Task: a.Task, Attempt: a.Attempt}
}

// canForget reports whether the worker may be told under a fencing token to forget an
// attempt that has exited. A worker that has forgotten an attempt executes any copy of its
// start that arrives later. So no copy must be able to arrive once the worker has seen the
// token, as it has when it forgets. The exit reason makes no difference: a copy starts even
// a task that is done, whose job may have been cancelled and whose team may be at its quota.
func (m *Machine) canForget(a *Attempt, token uint64) bool {
	return a.Exited() && a.ExitProcessed && !a.starts.mayArrive(m.HeartbeatSeq, token)
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

// maxExitedAttempts is the maximum number of exited attempts that the worker cannot
// forget until it has seen a higher fencing token. All of them stay in its heartbeats.
const maxExitedAttempts = 30

// NeedsHigherFencingToken reports whether the worker must soon see a higher token than
// this one: it has restarted, or it may still execute the start of an attempt that is to
// be stopped, or it has too many exited attempts that it cannot forget until then.
func (m *Machine) NeedsHigherFencingToken(token uint64) bool {
	if m.RestartPending() && m.restartFence > token {
		return true
	}
	for _, a := range m.Attempts.All() {
		if a.Stop && a.State == "" && a.starts.inFlight == 0 && a.starts.directMayArrive(token) {
			return true
		}
	}
	return m.UnforgettableExits(token) > maxExitedAttempts
}

// UnforgettableExits returns the number of exited attempts that the worker need not
// remember any more but cannot be told to forget under this token.
func (m *Machine) UnforgettableExits(token uint64) int {
	n := 0
	for _, a := range m.Attempts.All() {
		if a.Exited() && a.ExitProcessed && a.starts.maxDirectToken >= token {
			n++
		}
	}
	return n
}
