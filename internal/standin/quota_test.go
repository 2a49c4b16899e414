package standin

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/wire"
)

// quotaFleet is a machine whose tasks are commanded directly, and a checker with a quota of 4 CPUs
// and 3 GPUs for the team "red".
type quotaFleet struct {
	*Fleet
	machine string
	t       *testing.T
}

// withQuotaFleet runs play on a machine with a task of 1 CPU and 2 GPUs that takes a second to save,
// of firstJob, and returns the violations.
func withQuotaFleet(t *testing.T, play func(f *quotaFleet)) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &quotaFleet{t: t, Fleet: &Fleet{
			Types: []wire.MachineType{{Name: "m", CPUs: 8, GPUs: 8, MemoryGB: 32, Zones: []string{"z"}}}, ImageFetchTime: time.Millisecond,
			HeartbeatInterval: 2 * time.Second, Lease: time.Minute, Nodes: []string{"n0"}, Checker: NewChecker(),
			TaskDuration: func(string) time.Duration { return 0 },
			DeliverHeartbeat: func(string, *wire.Heartbeat) HeartbeatResponse {
				return HeartbeatResponse{Status: http.StatusOK, Reply: &wire.HeartbeatReply{FencingToken: 5}}
			},
		}}
		f.Checker.TeamQuotas, f.Checker.TeamGPUQuotas = map[string]float64{"red": 4}, map[string]float64{"red": 3}
		f.Start(ctx)
		f.machine = f.Add(false)
		for _, id := range []string{firstJob, dependentJob} {
			driver{f.Checker, t}.submit(id, func(job map[string]any) {
				job["cores"], job["accelerators"], job["molt_s"], job["preen_s"] = 1.0, 2.0, 5.0, 1.0
			})
		}
		f.command(wire.Command{Op: wire.OpStart, Task: wire.TaskID(firstJob, 0), Attempt: 1})
		play(f)
		violations = f.Checker.Violations()
		cancel()
		time.Sleep(10 * time.Second)
	})
	return violations
}

// command sends the machine a command, and waits until it is carried out.
func (f *quotaFleet) command(command wire.Command) {
	f.t.Helper()
	req := &wire.CommandRequest{FencingToken: 5, Incarnation: 1, Commands: []wire.Command{command}}
	if _, err := f.LinkFrom("n0").Command(f.ctx, f.machine, req); err != nil {
		f.t.Error(err)
	}
	time.Sleep(100 * time.Millisecond)
}

// startNext starts a task of the same size of another job of the team.
func (f *quotaFleet) startNext() {
	f.command(wire.Command{Op: wire.OpStart, Task: wire.TaskID(dependentJob, 0), Attempt: 2})
}

// stopFirst stops the first task and gives it a time to save.
func (f *quotaFleet) stopFirst(graceS float64) {
	f.command(wire.Command{Op: wire.OpStop, Task: wire.TaskID(firstJob, 0), Attempt: 1, GraceS: &graceS})
}

// Guards against a checker that misses a breach of the limit on GPUs: one is planted at a worker.
func TestPlantedBreachOfGPULimitIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		play   func(f *quotaFleet)
		breach bool
	}{
		"beside a running task":       {func(f *quotaFleet) { f.startNext() }, true},
		"beside a task that saves":    {func(f *quotaFleet) { f.stopFirst(2); f.startNext() }, true},
		"after the task is stopped":   {func(f *quotaFleet) { f.stopFirst(0); f.startNext() }, false},
		"after the task has saved":    {func(f *quotaFleet) { f.stopFirst(2); time.Sleep(time.Second); f.startNext() }, false},
		"after the save is cut short": {func(f *quotaFleet) { f.stopFirst(2); f.stopFirst(0); f.startNext() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			violations := withQuotaFleet(t, test.play)
			breach := len(violations) == 1 && strings.HasPrefix(violations[0], string(ruleQuota)+": red uses 4 of 3 GPUs")
			if breach != test.breach || !test.breach && len(violations) > 0 {
				t.Errorf("got violations %q, want a breach of the limit on GPUs: %v", violations, test.breach)
			}
		})
	}
}
