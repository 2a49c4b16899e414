package fleet

import (
	"cmp"
	"slices"

	"heronwick/wire"
)

// ReplyCommands returns the commands for the reply to the newest heartbeat.
func (m *Machine) ReplyCommands() []wire.Command {
	commands := m.commands()
	m.eachStart(commands, func(a *Attempt) { a.startInReply, a.repliedSeq = true, m.Seq })
	return commands
}

// DirectRequest returns what to send straight to the worker under a fencing token,
// nil if there is nothing. DirectRequestDone must follow.
func (m *Machine) DirectRequest(token uint64) *wire.CommandRequest {
	commands := m.commands()
	if len(commands) == 0 {
		return nil
	}
	m.eachStart(commands, func(a *Attempt) {
		a.directStarts++
		a.maxStartToken = max(a.maxStartToken, token)
	})
	return &wire.CommandRequest{FencingToken: token, Incarnation: m.Incarnation, Commands: commands}
}

// DirectRequestDone ends what DirectRequest began. Without an answer the commands
// may still be carried out, while the token and the incarnation are the worker's.
func (m *Machine) DirectRequestDone(req *wire.CommandRequest, answered bool) {
	m.eachStart(req.Commands, func(a *Attempt) {
		a.directStarts--
		if !answered {
			a.unansweredToken = max(a.unansweredToken, req.FencingToken)
		}
	})
}

// eachStart calls f for the attempts that the commands start and that are still
// known.
func (m *Machine) eachStart(commands []wire.Command, f func(a *Attempt)) {
	for _, c := range commands {
		if c.Op != wire.OpStart {
			continue
		}
		if a := m.Attempts.Get(Key{c.Task, c.Attempt}); a != nil {
			f(a)
		}
	}
}

// commands returns the commands that the worker should get now, at most
// wire.MaxCommands: first those that make room.
func (m *Machine) commands() []wire.Command {
	var stops, forgets, starts []wire.Command
	for _, a := range m.Attempts.All() {
		switch {
		case m.forgettable(a):
			forgets = append(forgets, a.command(wire.OpForget))
		case m.mustStop(a):
			stop := a.command(wire.OpStop)
			grace := a.GraceS
			stop.GraceS = &grace
			stops = append(stops, stop)
		case m.mustStart(a):
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

// forgettable reports whether the worker may be told to forget an attempt that has
// exited. A start of it that still arrives later would run it once more; if it is
// done, the worker would only repeat its result.
func (m *Machine) forgettable(a *Attempt) bool {
	if !a.Exited() || !a.ExitProcessed || m.directStartMayArrive(a) {
		return false
	}
	return a.ExitReason == wire.ExitDone || a.maxStartToken < m.FencingToken
}

// mustStop reports whether the worker has the attempt and must be told to stop it.
// One that is saving, within its grace period, has been told.
func (m *Machine) mustStop(a *Attempt) bool {
	saving := a.State == wire.TaskSaving && a.GraceS > 0
	return a.Stop && a.State != "" && !a.Exited() && !saving
}

// mustStart reports whether the start of the attempt must be sent, or sent again.
func (m *Machine) mustStart(a *Attempt) bool {
	return a.State == "" && a.Recorded && !a.Stop && !a.Unconfirmed && a.incarnation == m.Incarnation
}

// maxLeftovers is how many exited attempts may stay in a worker's heartbeats until
// it has seen a higher token.
const maxLeftovers = 30

// NeedsHigherFencingToken reports whether something can only be settled once the
// worker has seen a higher token than this one.
func (m *Machine) NeedsHigherFencingToken(token uint64) bool {
	leftovers := 0
	for _, a := range m.Attempts.All() {
		if a.unansweredToken >= token && (a.Stop && a.State == "" || a.Exited()) {
			return true
		}
		if a.Exited() && a.ExitProcessed && a.ExitReason != wire.ExitDone && a.maxStartToken >= token {
			leftovers++
		}
	}
	return leftovers > maxLeftovers
}
