package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/internal/fleet"
	"heronwick/wire"
)

// scriptedWorker is the worker of machine m1 of a test scheduler. It answers direct
// requests as answer says, which runs with the scheduler's lock released. req is nil for
// a probe.
type scriptedWorker struct {
	fakeEnvironment
	answer func(req *wire.CommandRequest) (*wire.Heartbeat, error)
}

// Command implements Workers.
func (w *scriptedWorker) Command(_ context.Context, _ string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	return w.answer(req)
}

// Status implements Workers.
func (w *scriptedWorker) Status(context.Context, string) (*wire.Heartbeat, error) {
	return w.answer(nil)
}

// workerHeartbeat returns a heartbeat of machine m1 in incarnation 1.
func workerHeartbeat(seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: token, Tasks: tasks}
}

// Guards against done tasks that stay in a busy worker's heartbeats: it is told to forget them
// in the reply that follows, without a higher token.
func TestDoneTasksOnBusyMachineAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		done := wire.TaskStatus{Task: "wk-1/0", Attempt: 9, State: wire.TaskFetching}
		running := wire.TaskStatus{Task: "wk-1/1", Attempt: 9, State: wire.TaskRunning}
		for i, status := range []wire.TaskStatus{done, running} {
			m.Add(&fleet.Attempt{Key: fleet.Key{Task: status.Task, Attempt: status.Attempt}, Job: "wk-1", Index: i, Recorded: true}, time.Now())
		}
		if reply := s.HandleHeartbeat(workerHeartbeat(2, 5)); len(reply.Commands) != 2 {
			t.Errorf("got commands %v, want two starts", reply.Commands)
		}
		done.State, done.Reason = wire.TaskExited, wire.ExitDone
		s.HandleHeartbeat(workerHeartbeat(3, 5, done, running))
		m.Attempts.Get(fleet.Key{Task: done.Task, Attempt: done.Attempt}).ExitProcessed = true
		reply := s.HandleHeartbeat(workerHeartbeat(4, 5, done, running))
		if len(reply.Commands) != 1 || reply.Commands[0].Op != wire.OpForget || p.epochAdvances.Load() != 0 {
			t.Errorf("got commands %v and the token incremented %d times, want a forget and 0", reply.Commands, p.epochAdvances.Load())
		}
	})
}

// Guards against a task that runs twice over a slow link (rule ran_twice): while the reply
// with its start is on its way, no response to a direct request proves that the worker
// does not get it. All paths that apply such a response are covered.
func TestResponsesDoNotExcludeStartInReply(t *testing.T) {
	for _, test := range []struct {
		name string
		send func(s *Scheduler, m *machine) // sends the direct request, with the scheduler's lock held
	}{
		{"command", func(s *Scheduler, m *machine) {
			m.DirectRequestFailed() // no heartbeat is due, so one is requested
			s.sendCommandsLocked(m)
		}},
		{"probe", func(s *Scheduler, m *machine) { s.probeLocked(m, time.Now()) }},
		{"token", func(s *Scheduler, m *machine) { s.sendTokenLocked(m) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _, m := newTestScheduler(t)
				first := wire.TaskStatus{Task: "wk-1/0", Attempt: 9, State: wire.TaskRunning}
				s.opts.Workers = &scriptedWorker{answer: func(*wire.CommandRequest) (*wire.Heartbeat, error) {
					time.Sleep(300 * time.Millisecond) // the worker answers before it gets the reply to its heartbeat
					return workerHeartbeat(4, 5, first), nil
				}}
				add := func(task string) *fleet.Attempt {
					a := &fleet.Attempt{Key: fleet.Key{Task: task, Attempt: 9}, Recorded: true}
					a.Job, a.Index, _ = wire.SplitTaskID(task)
					m.Add(a, time.Now())
					return a
				}
				add(first.Task)
				if reply := s.HandleHeartbeat(workerHeartbeat(2, 5)); len(reply.Commands) != 1 {
					t.Fatalf("got commands %v in the reply, want one start", reply.Commands)
				}
				s.mu.Lock()
				second := add("wk-2/0")
				test.send(s, m)
				s.mu.Unlock()
				reply := s.HandleHeartbeat(workerHeartbeat(3, 5, first))
				if len(reply.Commands) != 1 || reply.Commands[0].Task != second.Task {
					t.Fatalf("got commands %v in the reply, want the start of %s", reply.Commands, second.Task)
				}
				s.mu.Lock()
				second.Stop = true // preempted
				s.mu.Unlock()
				time.Sleep(time.Second)
				synctest.Wait()
				s.mu.Lock()
				if m.Seq != 4 || m.Attempts.Get(second.Key) != second {
					t.Errorf("got sequence number %d and attempt kept %v, want 4 and the attempt kept until the next heartbeat",
						m.Seq, m.Attempts.Get(second.Key) == second)
				}
				s.mu.Unlock()
				s.HandleHeartbeat(workerHeartbeat(5, 5, first))
				synctest.Wait()
				s.mu.Lock()
				defer s.mu.Unlock()
				if m.Attempts.Get(second.Key) != nil {
					t.Error("got the attempt kept after the next heartbeat, want it lost: the worker did not get the reply")
				}
			})
		})
	}
}

// Guards against a restarted worker's tasks that start elsewhere while a command from
// before the restart can still start them on it (rule ran_twice), and against a machine
// that stays unused or is returned for a restart: its worker is fenced by a higher token
// as soon as that is issued, without the cloud.
func TestRestartedWorkerIsFencedByToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		running := wire.TaskStatus{Task: "wk-1/0", Attempt: 9, State: wire.TaskRunning}
		a := &fleet.Attempt{Key: fleet.Key{Task: running.Task, Attempt: running.Attempt}, Job: "wk-1", Recorded: true, SizeKnown: true}
		worker := struct{ seq, token uint64 }{seq: 2, token: 5}
		s.opts.Workers = &scriptedWorker{answer: func(req *wire.CommandRequest) (*wire.Heartbeat, error) {
			if req != nil {
				worker.token = max(worker.token, req.FencingToken)
			}
			worker.seq++
			return workerHeartbeat(worker.seq, worker.token), nil
		}}
		s.mu.Lock()
		m.Add(a, time.Now())
		m.ReplyCommands(5)
		s.mu.Unlock()
		s.HandleHeartbeat(workerHeartbeat(2, 5, running))

		worker.seq, worker.token = 0, 0 // the worker restarts; its first heartbeat causes a probe
		worker.seq++
		s.HandleHeartbeat(workerHeartbeat(worker.seq, worker.token))
		synctest.Wait()
		if !m.RestartPending() || p.epochAdvances.Load() != 1 || m.returning {
			t.Fatalf("got restart pending %v, token incremented %d times, returning %v; want true, 1 and false",
				m.RestartPending(), p.epochAdvances.Load(), m.returning)
		}
		late := s.HandleHeartbeat(workerHeartbeat(900, 5))
		s.mu.Lock()
		if late == nil || len(late.Commands) > 0 || m.Attempts.Get(a.Key) != a || s.usableLocked(m, time.Now()) {
			t.Errorf("got reply %+v, attempt kept %v, machine usable %v while the restart is pending; want no commands, true and false",
				late, m.Attempts.Get(a.Key) == a, s.usableLocked(m, time.Now()))
		}
		p.epoch.Token = 6
		s.watchMachinesLocked(time.Now())
		s.mu.Unlock()
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if m.RestartPending() || m.Attempts.Get(a.Key) != nil || !s.usableLocked(m, time.Now()) || m.returning {
			t.Errorf("got restart pending %v, attempt kept %v, machine usable %v, returning %v under the new token; want false, false, true, false",
				m.RestartPending(), m.Attempts.Get(a.Key) != nil, s.usableLocked(m, time.Now()), m.returning)
		}
	})
}
