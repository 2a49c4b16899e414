package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// heldHeartbeat sends a heartbeat to a scheduler that places a task on the worker's machine. A
// reply is held for its start. During the hold, meanwhile is called with the scheduler's lock,
// and then the start is recorded. It returns the reply and the time until it was given.
func heldHeartbeat(t *testing.T, meanwhile func(s *Scheduler, p *fakeEnvironment, m *machine, a *fleet.Attempt)) (reply *wire.HeartbeatReply, took time.Duration) {
	const recordedAfter = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		a := &fleet.Attempt{Key: fleet.Key{Task: "wk-000001/0", Attempt: 9}, Job: "wk-000001"}
		p.add("wk-000001", "ours", wire.PriorityNormal, 1, 1)
		m.Add(a, time.Now())
		began := time.Now()
		time.AfterFunc(recordedAfter, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			meanwhile(s, p, m, a)
			a.Recorded = true
			s.sendStartsLocked(m)
		})
		reply = s.HandleHeartbeat(workerHeartbeat(2, 5))
		took = time.Since(began)
	})
	return reply, took
}

// A reply waits for a start that is being recorded, and is given as soon as it is.
func TestHeldReplyContainsStart(t *testing.T) {
	reply, took := heldHeartbeat(t, func(*Scheduler, *fakeEnvironment, *machine, *fleet.Attempt) {})
	if reply == nil || len(reply.Commands) != 1 || reply.Commands[0].Op != wire.OpStart || took != 100*time.Millisecond {
		t.Errorf("got reply %+v after %v, want the start after 100ms", reply, took)
	}
}

// Guards against starts, and renewed leases, by a scheduler that has lost the right to give them
// while it held the reply (rules ran_twice and ran_cancelled).
func TestHeldReplyNeedsCurrentRight(t *testing.T) {
	for _, test := range []struct {
		name      string
		meanwhile func(s *Scheduler, p *fakeEnvironment, m *machine, a *fleet.Attempt)
		answered  bool
		commands  int
	}{
		{"deposed", func(_ *Scheduler, p *fakeEnvironment, _ *machine, _ *fleet.Attempt) { p.deposed = true }, false, 0},
		{"machine handed over", func(_ *Scheduler, p *fakeEnvironment, _ *machine, _ *fleet.Attempt) { p.machineOwner = "peer" }, false, 0},
		{"machine released", func(s *Scheduler, _ *fakeEnvironment, m *machine, _ *fleet.Attempt) { delete(s.machines, m.Name) }, false, 0},
		{"job cancelled", func(_ *Scheduler, _ *fakeEnvironment, _ *machine, a *fleet.Attempt) { a.Stop = true }, true, 0},
		{"next heartbeat", func(_ *Scheduler, _ *fakeEnvironment, m *machine, _ *fleet.Attempt) {
			m.ApplyHeartbeat(workerHeartbeat(3, 5), time.Now())
		}, true, 0},
		{"worker restarted", func(_ *Scheduler, _ *fakeEnvironment, m *machine, _ *fleet.Attempt) {
			m.BeginRestart(workerHeartbeat(1, 0), 6, time.Now())
		}, true, 0},
		{"higher token", func(_ *Scheduler, p *fakeEnvironment, _ *machine, _ *fleet.Attempt) { p.epoch.Token = 6 }, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			token := uint64(5)
			reply, _ := heldHeartbeat(t, func(s *Scheduler, p *fakeEnvironment, m *machine, a *fleet.Attempt) {
				test.meanwhile(s, p, m, a)
				token = p.epoch.Token
			})
			if answered := reply != nil; answered != test.answered {
				t.Fatalf("got reply %+v, want one: %v", reply, test.answered)
			}
			if reply != nil && (len(reply.Commands) != test.commands || reply.FencingToken != token) {
				t.Errorf("got reply %+v, want %d commands under token %d", reply, test.commands, token)
			}
		})
	}
}

// Replies that need not be held are given at once: starts are due, the machine is full, or the
// worker may have restarted.
func TestRepliesAreGivenAtOnce(t *testing.T) {
	running := wire.TaskStatus{Task: "wk-000002/0", Attempt: 7, State: wire.TaskRunning}
	for _, test := range []struct {
		name    string
		prepare func(m *machine)
		held    bool
	}{
		{"room", func(*machine) {}, true},
		{"starts due", func(m *machine) {
			m.Add(&fleet.Attempt{Key: fleet.Key{Task: "wk-000001/0", Attempt: 9}, Job: "wk-000001", Recorded: true}, time.Now())
		}, false},
		{"full", func(m *machine) {
			a := &fleet.Attempt{Key: fleet.Key{Task: running.Task, Attempt: running.Attempt}, Job: "wk-000002", Recorded: true, SizeKnown: true}
			a.Size.CPUs = 8
			m.Add(a, time.Now())
		}, false},
		{"doubt", func(m *machine) { m.ApplyHeartbeat(workerHeartbeat(1, 0), time.Now()) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _, m := newTestScheduler(t)
				test.prepare(m)
				began := time.Now()
				s.HandleHeartbeat(workerHeartbeat(2, 5, running))
				if took := time.Since(began); (took == maxReplyHold) != test.held || !test.held && took > 0 {
					t.Errorf("got the reply after %v, want it held: %v", took, test.held)
				}
				synctest.Wait()
			})
		})
	}
}

// After a takeover, no task is placed on a machine before its worker's heartbeats arrive: its
// start would wait while the worker waits for the previous owner.
func TestTasksArePlacedWhereHeartbeatsArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScheduler(t)
		m := s.addMachineLocked(fleet.NewMachine("m1"), time.Now())
		s.applyResponseLocked(m, workerHeartbeat(2, 5), m.Position())
		if !s.acceptsLocked(m, time.Now()) || m.getsReplies() {
			t.Errorf("got machine accepted %v and replies %v after a response, want true and false", s.acceptsLocked(m, time.Now()), m.getsReplies())
		}
		s.applyHeartbeatLocked(m, workerHeartbeat(3, 5))
		if !m.getsReplies() {
			t.Error("got no replies after a heartbeat, want them")
		}
	})
}
