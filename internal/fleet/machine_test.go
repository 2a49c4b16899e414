package fleet

import (
	"slices"
	"testing"
	"time"

	"heronwick/wire"
)

// t0 is the time of all events in these tests.
var t0 = time.Unix(1000, 0)

// heartbeat returns a heartbeat of the worker of machine m.
func heartbeat(incarnation, seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "m", Address: "m", Type: "t", Incarnation: incarnation, Seq: seq, FencingToken: token, Tasks: tasks}
}

func taskStatus(a *Attempt, state wire.TaskState, reason wire.ExitReason) wire.TaskStatus {
	return wire.TaskStatus{Task: a.Task, Attempt: a.Attempt, State: state, Reason: reason}
}

// machineWithAttempt returns a machine in incarnation 1 with one recorded attempt.
func machineWithAttempt(t *testing.T) (*Machine, *Attempt) {
	t.Helper()
	m := NewMachine("m")
	if _, result := m.ApplyHeartbeat(heartbeat(1, 1, 5), t0); result != Applied {
		t.Fatal("got the first heartbeat ignored, want it applied")
	}
	a := &Attempt{Key: Key{"wk-1/0", 9}, Job: "wk-1", SizeKnown: true}
	m.Add(a, t0)
	a.Recorded = true
	return m, a
}

func kinds(events []Event) []EventKind {
	var all []EventKind
	for _, e := range events {
		all = append(all, e.Kind)
	}
	return all
}

// Guards against tasks without a record: no start is sent before the record is in the
// store.
func TestStartNotSentBeforeRecorded(t *testing.T) {
	m, a := machineWithAttempt(t)
	a.Recorded = false
	if len(m.ReplyCommands(5)) != 0 || m.DirectRequest(5) != nil {
		t.Error("got a start sent before its record is in the store, want none")
	}
	a.Recorded = true
	if len(m.ReplyCommands(5)) != 1 {
		t.Error("got no start sent after its record is in the store, want one")
	}
}

// Guards against a start that a worker executes late or once more, also after a restart
// (rules ran_twice and ran_cancelled): no direct request contains one. It requests a
// heartbeat instead, whose reply contains the start.
func TestStartsAreSentOnlyInReplies(t *testing.T) {
	m, a := machineWithAttempt(t)
	request := wire.Command{Op: wire.OpStart, Task: wire.NoTask, Attempt: a.Attempt}
	req := m.DirectRequest(5)
	if req == nil || len(req.Commands) != 1 || req.Commands[0] != request || !a.NeverSent() {
		t.Fatalf("got request %+v and attempt never sent %v, want a heartbeat request only", req, a.NeverSent())
	}
	if req := m.DirectRequest(5); req != nil {
		t.Errorf("got request %+v while a heartbeat is due, want none", req)
	}
	m.DirectRequestFailed()
	if req := m.DirectRequest(5); req == nil || len(req.Commands) != 1 || req.Commands[0] != request {
		t.Errorf("got request %+v after the last one failed, want a heartbeat request", req)
	}
	refused := wire.TaskStatus{Task: wire.NoTask, Attempt: a.Attempt, State: wire.TaskExited, Reason: wire.ExitUnknown}
	if events, result := m.ApplyHeartbeat(heartbeat(1, 2, 5, refused), t0); result != Applied || len(events) > 0 {
		t.Errorf("got result %v and events %v for a refused request, want it applied without events", result, kinds(events))
	}
	forget := wire.Command{Op: wire.OpForget, Task: wire.NoTask, Attempt: a.Attempt}
	if commands := m.ReplyCommands(5); len(commands) != 2 || commands[0] != forget || commands[1].Task != a.Task || a.NeverSent() {
		t.Errorf("got commands %v in the reply, want the request forgotten and the start", commands)
	}
	if req := m.DirectRequest(5); req != nil && slices.ContainsFunc(req.Commands, func(c wire.Command) bool { return c.Op == wire.OpStart }) {
		t.Errorf("got request %+v after the start, which makes a heartbeat due, want no start", req)
	}
}

// Guards against running an attempt again: after the worker has forgotten an attempt, a start
// that arrives later would run it once more, whatever its exit reason was. Only the worker's
// next heartbeat, or a token above that of the reply with the start, excludes this.
func TestForgetOnlyWhenNoStartCanArrive(t *testing.T) {
	for _, test := range []struct {
		name      string
		reason    wire.ExitReason
		processed bool
		next      bool   // the next heartbeat has arrived, not only a response
		token     uint64 // under which the forget would be sent; the start was sent under 5
		want      bool
	}{
		{"done, reply may arrive", wire.ExitDone, true, false, 5, false},
		{"done, next heartbeat", wire.ExitDone, true, true, 5, true},
		{"done, reply is rejected", wire.ExitDone, true, false, 6, true},
		{"done, not processed yet", wire.ExitDone, false, true, 6, false},
		{"stopped, reply may arrive", wire.ExitStopped, true, false, 5, false},
		{"stopped, next heartbeat", wire.ExitStopped, true, true, 5, true},
		{"stopped, reply is rejected", wire.ExitStopped, true, false, 6, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m, a := machineWithAttempt(t)
			m.ReplyCommands(5) // to heartbeat 1, whose sequence number is 1
			exited := heartbeat(1, 2, 5, taskStatus(a, wire.TaskExited, test.reason))
			if test.next {
				m.ApplyHeartbeat(exited, t0)
			} else {
				m.ApplyResponse(exited, m.Position(), t0)
			}
			a.ExitProcessed = test.processed
			forgets := 0
			if req := m.DirectRequest(test.token); req != nil {
				forgets = len(req.Commands)
			}
			if (forgets == 1) != test.want {
				t.Errorf("got forget command %v, want %v", forgets == 1, test.want)
			}
		})
	}
}

// Guards against heartbeats that grow without end: a worker that has run many short tasks is
// told to forget them under the token of their starts.
func TestManyDoneAttemptsAreForgotten(t *testing.T) {
	const attempts = 31
	m, _ := machineWithAttempt(t)
	for i := range attempts - 1 {
		m.Add(&Attempt{Key: Key{wire.TaskID("wk-2", i), 10}, Job: "wk-2", Index: i, Recorded: true}, t0)
	}
	m.ReplyCommands(5)
	var tasks []wire.TaskStatus
	for _, a := range m.Attempts.All() {
		tasks = append(tasks, taskStatus(a, wire.TaskExited, wire.ExitDone))
	}
	m.ApplyHeartbeat(heartbeat(1, 2, 5, tasks...), t0)
	if commands := m.ReplyCommands(5); len(commands) > 0 {
		t.Errorf("got commands %v before the exits are processed, want none", commands)
	}
	for _, a := range m.Attempts.All() {
		a.ExitProcessed = true
	}
	if commands := m.ReplyCommands(5); len(commands) != attempts || m.NeedsHigherFencingToken(5) {
		t.Errorf("got %d commands and need for a higher token %v, want %d forgets and none", len(commands), m.NeedsHigherFencingToken(5), attempts)
	}
	m.ApplyHeartbeat(heartbeat(1, 3, 5), t0)
	if !m.Idle() {
		t.Errorf("got %d attempts left, want none", m.Attempts.Len())
	}
}

// A worker whose lease has expired stops its tasks and continues as the next incarnation.
// A heartbeat of that incarnation may be a late one from before a restart, but the response
// to a request that was sent after it arrived is not.
func TestNewIncarnationMeansTasksLost(t *testing.T) {
	m, a := machineWithAttempt(t)
	m.ApplyHeartbeat(heartbeat(1, 2, 5, taskStatus(a, wire.TaskRunning, "")), t0)
	before := m.Position()
	events, result := m.ApplyHeartbeat(heartbeat(2, 1, 5), t0)
	if result != Applied || len(events) > 0 || m.Attempts.Get(a.Key) != a {
		t.Errorf("got result %v and events %v for an unsolicited heartbeat, want it applied and the attempt kept", result, kinds(events))
	}
	if events, _ := m.ApplyResponse(heartbeat(2, 2, 5), before, t0); len(events) > 0 {
		t.Errorf("got events %v for the response to an earlier request, want none", kinds(events))
	}
	events, _ = m.ApplyResponse(heartbeat(2, 3, 5), m.Position(), t0)
	if len(events) != 1 || events[0].Kind != Lost || m.Attempts.Len() != 0 {
		t.Errorf("got events %v, want the attempt lost and removed", kinds(events))
	}
}

// Heartbeats are ignored if they are older than the newest one, or if the lease of
// their incarnation has expired.
func TestLateHeartbeatsAreIgnored(t *testing.T) {
	m, a := machineWithAttempt(t)
	m.ApplyHeartbeat(heartbeat(1, 5, 5, taskStatus(a, wire.TaskRunning, "")), t0)
	if _, result := m.ApplyHeartbeat(heartbeat(1, 4, 5), t0); result != Outdated {
		t.Error("got an older heartbeat applied, want it ignored")
	}
	m.MarkLeaseExpired()
	if _, result := m.ApplyHeartbeat(heartbeat(1, 6, 5, taskStatus(a, wire.TaskRunning, "")), t0); result != Outdated || m.Attempts.Len() != 0 {
		t.Error("got a heartbeat of an expired incarnation applied, want it ignored and no attempts")
	}
	if _, result := m.ApplyHeartbeat(heartbeat(2, 7, 5), t0); result != Applied {
		t.Error("got the first heartbeat of the next incarnation ignored, want it applied")
	}
}

// After a takeover, the first heartbeat under the new token shows whether a recorded
// attempt is on the machine. An earlier heartbeat does not, because a start from the
// old leader may still arrive.
func TestRestoredAttemptSettlesUnderNewFencingToken(t *testing.T) {
	old, a := machineWithAttempt(t)
	m := FromRecord("m", old.Record(func(*Attempt) bool { return false }), 8, t0)
	if events, _ := m.ApplyHeartbeat(heartbeat(1, 2, 5), t0); len(events) != 0 || m.ActiveCount() != 1 {
		t.Errorf("got events %v under the old token, want none and the attempt kept", kinds(events))
	}
	if len(m.ReplyCommands(5)) != 0 {
		t.Error("got the start of a restored attempt sent again, want no command")
	}
	if events, _ := m.ApplyHeartbeat(heartbeat(1, 3, 8), t0); len(events) != 1 || events[0].Kind != Lost || events[0].Attempt.Key != a.Key {
		t.Errorf("got events %v under the new token, want the restored attempt lost", kinds(events))
	}
}

// Guards against delayed heartbeats from an earlier incarnation of the machine that had
// reached a higher sequence number. Such a heartbeat shows a lower token and proves
// nothing about the tasks that run now.
func TestHeartbeatFromEarlierIncarnationIsIgnored(t *testing.T) {
	m, a := machineWithAttempt(t)
	m.ApplyHeartbeat(heartbeat(1, 2, 7, taskStatus(a, wire.TaskRunning, "")), t0)
	if events, result := m.ApplyHeartbeat(heartbeat(1, 900, 6), t0); result != Outdated {
		t.Errorf("got a heartbeat with a token below 7 applied, events %v; want it ignored", kinds(events))
	}
	if _, result := m.ApplyHeartbeat(heartbeat(1, 3, 7, taskStatus(a, wire.TaskRunning, "")), t0); result != Applied || m.Attempts.Get(a.Key) == nil {
		t.Error("got the next heartbeat of the worker ignored, want it applied and the attempt kept")
	}
}

// machineWithReplyStart returns a machine whose worker's heartbeat with sequence number 2
// got a reply under token 5 with the start of an attempt that is to be stopped.
func machineWithReplyStart(t *testing.T) (*Machine, *Attempt) {
	t.Helper()
	m, a := machineWithAttempt(t)
	m.ApplyHeartbeat(heartbeat(1, 2, 5), t0)
	if commands := m.ReplyCommands(5); len(commands) != 1 || commands[0].Op != wire.OpStart {
		t.Fatalf("got commands %v in the reply, want one start", commands)
	}
	a.Stop = true
	return m, a
}

// Guards against a task that runs twice over a slow link (rule ran_twice): the response
// to a direct request says nothing about a start in a reply that is still on its way.
// Only the worker's next unsolicited heartbeat does, or a token above that of the reply.
func TestResponseDoesNotExcludeStartInReply(t *testing.T) {
	response := func(m *Machine, seq, token uint64) []Event {
		events, _ := m.ApplyResponse(heartbeat(1, seq, token), m.Position(), t0)
		return events
	}
	for _, test := range []struct {
		name   string
		events func(m *Machine) []Event
		lost   bool
	}{
		{"response to a direct request", func(m *Machine) []Event { return response(m, 3, 5) }, false},
		{"several responses", func(m *Machine) []Event { return append(response(m, 3, 5), response(m, 4, 5)...) }, false},
		{"next heartbeat", func(m *Machine) []Event {
			events, _ := m.ApplyHeartbeat(heartbeat(1, 3, 5), t0)
			return events
		}, true},
		{"response under a higher token", func(m *Machine) []Event { return response(m, 3, 6) }, true},
		{"copy of the heartbeat that got the reply", func(m *Machine) []Event {
			response(m, 4, 5)
			m.ApplyHeartbeat(heartbeat(1, 2, 5), t0)
			return response(m, 5, 5)
		}, false},
		{"next heartbeat, overtaken by a response", func(m *Machine) []Event {
			response(m, 4, 5)
			m.ApplyHeartbeat(heartbeat(1, 3, 5), t0)
			return response(m, 5, 5)
		}, true},
		{"heartbeat of an earlier time with a lower token", func(m *Machine) []Event {
			response(m, 40, 5)
			m.ApplyHeartbeat(heartbeat(1, 39, 4), t0)
			return response(m, 41, 5)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m, a := machineWithReplyStart(t)
			events := test.events(m)
			if lost := len(events) == 1 && events[0].Kind == Lost; lost != test.lost || m.Attempts.Get(a.Key) == nil != test.lost {
				t.Errorf("got events %v and attempt kept %v, want it lost: %v", kinds(events), m.Attempts.Get(a.Key) != nil, test.lost)
			}
		})
	}
}

// Guards against an attempt that runs again because a forget, sent directly, overtakes a
// reply that contains the start of the attempt once more.
func TestForgetWaitsForReplyWithStart(t *testing.T) {
	m, a := machineWithAttempt(t)
	m.ReplyCommands(5)
	m.ApplyHeartbeat(heartbeat(1, 2, 5), t0) // the worker has not got that reply in time
	m.ReplyCommands(6)                       // contains the start once more
	exited := taskStatus(a, wire.TaskExited, wire.ExitError)
	m.ApplyResponse(heartbeat(1, 3, 5, exited), m.Position(), t0)
	a.ExitProcessed = true
	if req := m.DirectRequest(6); req != nil {
		t.Errorf("got commands %v while the reply with the start is on its way, want none", req.Commands)
	}
	m.ApplyHeartbeat(heartbeat(1, 4, 6, exited), t0)
	if commands := m.ReplyCommands(6); len(commands) != 1 || commands[0].Op != wire.OpForget {
		t.Errorf("got commands %v after the next heartbeat, want a forget", commands)
	}
}
