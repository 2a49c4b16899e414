package fleet

import (
	"testing"
	"time"

	"heronwick/wire"
)

// machineWithRunningAttempt returns a machine whose worker runs an attempt that was
// started under token 5, as its heartbeat with sequence number 3 shows.
func machineWithRunningAttempt(t *testing.T) (*Machine, *Attempt) {
	t.Helper()
	m, a := machineWithAttempt(t)
	m.ReplyCommands(5)
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
			if events, result := m.ApplyHeartbeat(heartbeat(1, 11, fence), t0); result != Applied || len(events) > 0 {
				t.Errorf("got result %v and events %v under the fence, want it applied and the attempt kept: other heartbeats are not explained", result, kinds(events))
			}
			events, result := m.ApplyResponse(heartbeat(1, 12, fence), m.Position(), t0)
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
	if req := m.DirectRequest(5); req != nil {
		t.Errorf("got commands %v while the restart is pending, want none", req.Commands)
	}
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
	if events, result := m.ApplyResponse(heartbeat(1, 6, 7), m.Position(), t0); result != Applied || len(events) != 1 || events[0].Attempt != a {
		t.Errorf("got result %v and events %v under the second fence, want the attempt lost", result, kinds(events))
	}
}

// Guards against conclusions from a late heartbeat of an earlier life, after a heartbeat
// that may be from a new one: no attempt counts as exited or gone until the response to a
// later request settles that, and the lease may have begun just now.
func TestNothingIsConcludedUnderDoubt(t *testing.T) {
	m, a := machineWithRunningAttempt(t)
	missing := &Attempt{Key: Key{"wk-2/0", 9}, Job: "wk-2", Recorded: true}
	m.Add(missing, t0)
	missing.Stop = true // and was never sent
	before, now := m.Position(), t0.Add(time.Second)
	if _, result := m.ApplyHeartbeat(heartbeat(1, 1, 0), now); result != Outdated || !m.Doubted() || m.IncarnationSeenAt != now {
		t.Fatalf("got result %v, doubted %v and the incarnation seen at %v, want it outdated, true and now", result, m.Doubted(), m.IncarnationSeenAt)
	}
	exited := taskStatus(a, wire.TaskExited, wire.ExitDone)
	if events, result := m.ApplyHeartbeat(heartbeat(1, 4, 5, exited), now); result != Applied || len(events) > 0 {
		t.Errorf("got result %v and events %v for a heartbeat under doubt, want it applied without events", result, kinds(events))
	}
	if events, _ := m.ApplyResponse(heartbeat(1, 5, 5, exited), before, now); len(events) > 0 || !m.Doubted() {
		t.Errorf("got events %v, doubted %v after the response to an earlier request, want none and true", kinds(events), m.Doubted())
	}
	events, _ := m.ApplyResponse(heartbeat(1, 6, 5, exited), m.Position(), now)
	if len(events) != 2 || events[0].Kind != Exited || events[1].Kind != Lost || m.Doubted() {
		t.Errorf("got events %v, doubted %v after the response to a later request, want one attempt exited, one lost, and false", kinds(events), m.Doubted())
	}
}

// Guards against a lease that counts as expired for attempts of a later incarnation than the
// one that a worker, which may have restarted, was in: it may reach that one yet.
func TestLeaseExpiryUnderDoubtEndsOnlyEarlierIncarnations(t *testing.T) {
	m, first := machineWithAttempt(t)
	m.ReplyCommands(5)
	m.Incarnation = 2
	second := &Attempt{Key: Key{"wk-2/0", 9}, Job: "wk-2", Recorded: true}
	m.Add(second, t0)
	m.ReplyCommands(5)
	m.ApplyHeartbeat(heartbeat(1, 1, 0), t0) // outdated, or from a worker that has restarted
	if events := m.MarkLeaseExpired(); len(events) != 1 || events[0].Attempt != first {
		t.Errorf("got events %v under doubt, want only the attempt of the first incarnation lost", kinds(events))
	}
	m.BeginRestart(heartbeat(1, 2, 0), 6, t0)
	m.ApplyHeartbeat(heartbeat(1, 3, 6), t0) // ends the restart, but does not settle that heartbeat 1 was of this life
	m.ApplyHeartbeat(heartbeat(1, 1, 0), t0)
	if events := m.MarkLeaseExpired(); len(events) != 1 || events[0].Attempt != second {
		t.Errorf("got events %v, want the second attempt lost: no reply of the first life arrives any more", kinds(events))
	}
}

// Guards against a takeover that takes a running attempt for gone because a late report from
// before a restart of the worker shows a higher incarnation than the attempt's record: its
// task was placed again and ran twice.
func TestReportFromBeforeRestartProvesNothingAfterTakeover(t *testing.T) {
	const token = 9 // of the new owner
	running, ended := Key{"wk-1/0", 7}, Key{"wk-2/0", 3}
	m := FromRecord("m", Record{Incarnation: 1, Attempts: map[string]uint64{running.Task: running.Attempt}}, token, t0)
	m.MergeRecord(Record{Incarnation: 2, Attempts: map[string]uint64{ended.Task: ended.Attempt}}, token, t0)
	if events, _ := m.ApplyHeartbeat(heartbeat(2, 75, 5), t0); len(events) > 0 || m.Attempts.Get(running) == nil {
		t.Errorf("late report: got events %v and attempt %v, want the attempt kept", events, m.Attempts.Get(running))
	}
	if events, _ := m.ApplyHeartbeat(heartbeat(2, 76, token), t0); len(events) != 2 || m.Attempts.Len() > 0 {
		t.Errorf("report under the new token: got events %v and %d attempts, want both lost", events, m.Attempts.Len())
	}
}
