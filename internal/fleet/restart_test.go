package fleet

import (
	"testing"

	"heronwick/wire"
)

// machineWithRunningAttempt returns a machine whose worker runs an attempt that was
// started directly under token 5, as its heartbeat with sequence number 3 shows.
func machineWithRunningAttempt(t *testing.T) (*Machine, *Attempt) {
	t.Helper()
	m, a := machineWithAttempt(t)
	m.DirectRequestDone(m.DirectRequest(5), true)
	m.ApplyResponse(heartbeat(1, 2, 5, taskStatus(a, wire.TaskRunning, "")), m.Position(), t0)
	m.ApplyHeartbeat(heartbeat(1, 3, 5, taskStatus(a, wire.TaskRunning, "")), t0)
	return m, a
}

// A response to a direct request whose numbers are not above those known when the request
// was sent is from another life of the worker. Until it shows a token from after that, its
// heartbeats prove nothing, however high their numbers are, and it gets no commands.
func TestResponseBelowKnownPositionShowsRestart(t *testing.T) {
	const fence = 6
	for _, test := range []struct {
		name     string
		prepare  func(m *Machine)
		response *wire.Heartbeat
	}{
		{"lower sequence number", func(*Machine) {}, heartbeat(1, 2, 5)},
		{"same sequence number", func(*Machine) {}, heartbeat(1, 3, 5)},
		{"lower token", func(*Machine) {}, heartbeat(1, 9, 0)},
		{"lower incarnation", func(m *Machine) { m.Incarnation = 2 }, heartbeat(1, 9, 5)},
		{"incarnation that has expired", func(m *Machine) { m.expiredIncarnation = 1 }, heartbeat(1, 9, 5)},
	} {
		t.Run(test.name, func(t *testing.T) {
			m, a := machineWithRunningAttempt(t)
			test.prepare(m)
			if events, result := m.ApplyResponse(test.response, m.Position(), t0); result != Restarted || len(events) > 0 {
				t.Fatalf("got result %v and events %v, want a restart and no events", result, kinds(events))
			}
			m.BeginRestart(test.response, fence, t0)
			for _, late := range []*wire.Heartbeat{
				heartbeat(1, 4, 5), heartbeat(1, 900, 5), heartbeat(7, 1, 5), heartbeat(1, 10, 0),
			} {
				if events, result := m.ApplyHeartbeat(late, t0); result != Outdated || len(events) > 0 {
					t.Errorf("%+v: got result %v and events %v while the restart is pending, want it ignored", late, result, kinds(events))
				}
			}
			if !m.RestartPending() || m.Attempts.Get(a.Key) != a || m.DirectRequest(5) != nil || len(m.ReplyCommands(5)) > 0 {
				t.Error("got the attempt removed, a command sent or the restart over, want none of these")
			}
			if !m.NeedsHigherFencingToken(fence-1) || m.NeedsHigherFencingToken(fence) {
				t.Errorf("got need for a token above 5 %v and above 6 %v, want true and false",
					m.NeedsHigherFencingToken(fence-1), m.NeedsHigherFencingToken(fence))
			}
			events, result := m.ApplyHeartbeat(heartbeat(1, 11, fence), t0)
			if result != Applied || len(events) != 1 || events[0].Evidence != RestartFenced || m.RestartPending() {
				t.Errorf("got result %v and events %+v under the fence, want the attempt lost", result, events)
			}
			if _, result := m.ApplyHeartbeat(heartbeat(1, 901, 5, taskStatus(a, wire.TaskRunning, "")), t0); result != Outdated {
				t.Error("got a copy from before the restart applied after it, want it ignored")
			}
		})
	}
}

// Guards against a restart that goes unnoticed because the worker was young: the numbers
// of its second life have passed those of the first one. The attempt is missing without
// having exited, and a copy of its start is still valid.
func TestMissingRunningAttemptShowsRestart(t *testing.T) {
	for _, apply := range []struct {
		name string
		call func(m *Machine, h *wire.Heartbeat) ([]Event, Result)
	}{
		{"heartbeat", func(m *Machine, h *wire.Heartbeat) ([]Event, Result) { return m.ApplyHeartbeat(h, t0) }},
		{"response", func(m *Machine, h *wire.Heartbeat) ([]Event, Result) { return m.ApplyResponse(h, m.Position(), t0) }},
	} {
		t.Run(apply.name, func(t *testing.T) {
			m, _ := machineWithRunningAttempt(t)
			h := heartbeat(1, 4, 5)
			if events, result := apply.call(m, h); result != Restarted || len(events) > 0 {
				t.Errorf("got result %v and events %v, want a restart and the attempt kept", result, kinds(events))
			}
			m.BeginRestart(h, 6, t0)
			if events, result := apply.call(m, heartbeat(1, 5, 6)); result != Applied || len(events) != 1 || events[0].Kind != Lost {
				t.Errorf("got result %v and events %v under the fence, want the attempt lost", result, kinds(events))
			}
		})
	}
}

// Guards against an attempt that counts as exited while a copy of its start runs it again
// on a worker that has restarted.
func TestExitedAttemptThatRunsAgainShowsRestart(t *testing.T) {
	m, a := machineWithRunningAttempt(t)
	m.ApplyHeartbeat(heartbeat(1, 4, 5, taskStatus(a, wire.TaskExited, wire.ExitStopped)), t0)
	a.ExitProcessed = true
	again := heartbeat(1, 5, 5, taskStatus(a, wire.TaskRunning, ""))
	events, result := m.ApplyHeartbeat(again, t0)
	if result != Restarted || len(events) != 1 || events[0].Kind != Found || m.ActiveCount() != 1 {
		t.Errorf("got result %v and events %v, want a restart and the attempt found", result, kinds(events))
	}
	m.BeginRestart(again, 6, t0)
	if events, result := m.ApplyHeartbeat(heartbeat(1, 6, 6, taskStatus(a, wire.TaskRunning, "")), t0); result != Applied || len(events) > 0 || m.ActiveCount() != 1 {
		t.Errorf("got result %v and events %v under the fence, want the attempt kept", result, kinds(events))
	}
}

// A copy of a start may run an attempt again before the worker has seen the fence. The
// attempt is on the machine then. One that was never started is started now.
func TestAttemptsAfterRestart(t *testing.T) {
	m, a := machineWithRunningAttempt(t)
	unsent := &Attempt{Key: Key{"wk-2/0", 9}, Job: "wk-2", Recorded: true}
	m.Add(unsent, t0)
	restarted := heartbeat(1, 1, 0)
	if _, result := m.ApplyResponse(restarted, m.Position(), t0); result != Restarted {
		t.Fatalf("got result %v, want a restart", result)
	}
	m.BeginRestart(restarted, 6, t0)
	if events, result := m.ApplyHeartbeat(heartbeat(2, 9, 6, taskStatus(a, wire.TaskRunning, "")), t0); result != Applied || len(events) > 0 {
		t.Errorf("got result %v and events %v, want the attempt kept without a change", result, kinds(events))
	}
	if commands := m.ReplyCommands(6); len(commands) != 1 || commands[0].Op != wire.OpStart || commands[0].Task != unsent.Task {
		t.Errorf("got commands %v after the restart, want the start of %s", commands, unsent.Task)
	}
}

// Guards against a second restart that the fence of the first one does not cover: a worker
// may have shown that token in the life between them.
func TestSecondRestartRaisesFence(t *testing.T) {
	m, a := machineWithRunningAttempt(t)
	first := heartbeat(1, 1, 0)
	m.BeginRestart(first, 6, t0)
	sent := m.Position()
	m.ApplyResponse(heartbeat(1, 4, 0), sent, t0) // the same life: the fence stays
	if m.RestartFence() != 6 {
		t.Errorf("got fence %d after a response of the same life, want 6", m.RestartFence())
	}
	second := heartbeat(1, 2, 0)
	if _, result := m.ApplyResponse(second, m.Position(), t0); result != Restarted {
		t.Fatalf("got result %v for a response with lower numbers, want another restart", result)
	}
	m.BeginRestart(second, 7, t0)
	if events, result := m.ApplyHeartbeat(heartbeat(1, 5, 6), t0); result != Outdated || len(events) > 0 {
		t.Errorf("got result %v and events %v under the first fence, want it ignored", result, kinds(events))
	}
	if events, result := m.ApplyHeartbeat(heartbeat(1, 6, 7), t0); result != Applied || len(events) != 1 || events[0].Attempt != a {
		t.Errorf("got result %v and events %v under the second fence, want the attempt lost", result, kinds(events))
	}
}
