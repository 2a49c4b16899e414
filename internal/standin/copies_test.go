package standin

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/wire"
)

// copiedStart plays the start of a task in a message that send sends, a restart of the machine,
// and a copy of that message. It returns how often the task has started.
func copiedStart(t *testing.T, send func(ctx context.Context, f *Fleet, machine string, start wire.Command, replies *atomic.Pointer[wire.HeartbeatReply])) (starts int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		replies := &atomic.Pointer[wire.HeartbeatReply]{} // to the heartbeats from now on
		replies.Store(&wire.HeartbeatReply{FencingToken: 5})
		f := &Fleet{
			Types: []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, Zones: []string{"z"}}}, ImageFetchTime: time.Millisecond,
			HeartbeatInterval: 2 * time.Second, Lease: time.Minute, Nodes: []string{"n0"}, Checker: NewChecker(),
			TaskDuration: func(string) time.Duration { return 0 },
			DeliverHeartbeat: func(string, *wire.Heartbeat) HeartbeatResponse {
				return HeartbeatResponse{Status: http.StatusOK, Reply: replies.Load()}
			},
		}
		f.Start(ctx)
		driver{f.Checker, t}.submit(firstJob, nil)
		machine := f.Add(false)
		start := wire.Command{Op: wire.OpStart, Task: wire.TaskID(firstJob, 0), Attempt: 1}
		send(ctx, f, machine, start, replies)
		time.Sleep(5 * time.Second)
		replies.Store(&wire.HeartbeatReply{FencingToken: 5})
		if f.Checker.Running()[start.Task] != machine {
			t.Error("the task does not run")
		}
		f.Restart(machine)
		time.Sleep(10 * time.Millisecond) // its first heartbeat is answered: the worker waits for nothing, and has seen the token
		if !f.RepeatStart(machine, start.Task) {
			t.Error("got no message that started the task, want the one that did")
		}
		time.Sleep(time.Second)
		starts = f.Checker.StartCount(start.Task)
		cancel()
		time.Sleep(10 * time.Second)
	})
	return starts
}

// A copy of a direct start is executed by a worker that has restarted, under the token that it
// has seen since.
func TestCopiedDirectStartIsExecutedAfterRestart(t *testing.T) {
	starts := copiedStart(t, func(ctx context.Context, f *Fleet, machine string, start wire.Command, _ *atomic.Pointer[wire.HeartbeatReply]) {
		req := &wire.CommandRequest{FencingToken: 5, Incarnation: 1, Commands: []wire.Command{start}}
		if _, err := f.LinkFrom("n0").Command(ctx, machine, req); err != nil {
			t.Error(err)
		}
	})
	if starts != 2 {
		t.Errorf("got the task started %d times, want 2", starts)
	}
}

// A copy of a reply that contained a start is dropped, since the worker does not wait for it.
func TestCopiedReplyIsDroppedAfterRestart(t *testing.T) {
	starts := copiedStart(t, func(_ context.Context, _ *Fleet, _ string, start wire.Command, replies *atomic.Pointer[wire.HeartbeatReply]) {
		replies.Store(&wire.HeartbeatReply{FencingToken: 5, Commands: []wire.Command{start}})
	})
	if starts != 1 {
		t.Errorf("got the task started %d times, want 1", starts)
	}
}

// A start of a task without a job is refused, and the worker sends a heartbeat soon.
func TestStartWithoutJobIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var last atomic.Pointer[wire.Heartbeat]
		f := &Fleet{
			Types:             []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, Zones: []string{"z"}}},
			HeartbeatInterval: time.Minute, Lease: 5 * time.Minute, Nodes: []string{"n0"},
			DeliverHeartbeat: func(_ string, h *wire.Heartbeat) HeartbeatResponse {
				last.Store(h)
				return HeartbeatResponse{Status: http.StatusOK, Reply: &wire.HeartbeatReply{FencingToken: 5}}
			},
		}
		f.Start(ctx)
		machine := f.Add(false)
		time.Sleep(10 * time.Second)
		request := wire.Command{Op: wire.OpStart, Task: wire.NoTask, Attempt: 3}
		if _, err := f.LinkFrom("n0").Command(ctx, machine, &wire.CommandRequest{FencingToken: 5, Incarnation: 1, Commands: []wire.Command{request}}); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		want := wire.TaskStatus{Task: wire.NoTask, Attempt: 3, State: wire.TaskExited, Reason: wire.ExitUnknown}
		if tasks := last.Load().Tasks; len(tasks) != 1 || tasks[0] != want {
			t.Errorf("got tasks %+v in the last heartbeat, want %+v", tasks, want)
		}
		cancel()
		time.Sleep(2 * time.Minute)
	})
}
