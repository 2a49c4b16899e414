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
// requests as answer says, which runs with the scheduler's lock released.
type scriptedWorker struct {
	fakeEnvironment
	answer func(req *wire.CommandRequest) (*wire.Heartbeat, error)
}

// Command implements Workers.
func (w *scriptedWorker) Command(_ context.Context, _ string, req *wire.CommandRequest) (*wire.Heartbeat, error) {
	return w.answer(req)
}

// workerHeartbeat returns a heartbeat of machine m1 in incarnation 1.
func workerHeartbeat(seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "m1", Address: "m1", Type: "m", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: token, Tasks: tasks}
}

// Guards against done tasks that stay in a busy worker's heartbeats: since it cannot
// forget them under the token of their starts, the token is incremented after a time.
func TestDoneTasksOnBusyMachineIncrementToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, m := newTestScheduler(t)
		done := wire.TaskStatus{Task: "wk-1/0", Attempt: 9, State: wire.TaskFetching}
		running := wire.TaskStatus{Task: "wk-1/1", Attempt: 9, State: wire.TaskRunning}
		s.opts.Workers = &scriptedWorker{answer: func(*wire.CommandRequest) (*wire.Heartbeat, error) {
			return workerHeartbeat(2, 5, done, running), nil
		}}
		s.mu.Lock()
		for i, status := range []wire.TaskStatus{done, running} {
			m.Add(&fleet.Attempt{Key: fleet.Key{Task: status.Task, Attempt: status.Attempt}, Job: "wk-1", Index: i, Recorded: true}, time.Now())
		}
		s.sendCommandsLocked(m)
		s.mu.Unlock()
		synctest.Wait()
		done.State, done.Reason = wire.TaskExited, wire.ExitDone
		advancesAfter := func(elapsed time.Duration, seq uint64) int64 {
			time.Sleep(elapsed)
			s.HandleHeartbeat(workerHeartbeat(seq, 5, done, running))
			s.mu.Lock()
			m.Attempts.Get(fleet.Key{Task: done.Task, Attempt: done.Attempt}).ExitProcessed = true
			s.watchMachinesLocked(time.Now())
			s.mu.Unlock()
			synctest.Wait()
			return p.epochAdvances.Load()
		}
		if advances := advancesAfter(time.Second, 3); advances != 0 {
			t.Errorf("got the token incremented %d times while it is young, want 0", advances)
		}
		if advances := advancesAfter(exitedAttemptsTokenAge, 4); advances != 1 {
			t.Errorf("got the token incremented %d times once it is old, want 1", advances)
		}
	})
}
