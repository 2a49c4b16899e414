package main

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// Guards against tasks that are placed, or stay, on a machine whose heartbeats
// arrive while no command reaches it: it gets no new tasks, and those it had run
// elsewhere.
func TestMachineUnreachableForCommands(t *testing.T) {
	withCluster(t, 3, tasksRunUntilStopped, func(tc *testCluster) {
		tc.expectAccepted(0, 1, service(4))
		time.Sleep(3 * time.Second)
		machine := tc.fleet.Checker.Running()[taskID(1, 0)]
		tc.fleet.DropInbound(machine, true)
		tc.expectAccepted(0, 2, service(3))
		time.Sleep(40 * time.Second)
		tc.expectRunning(4 + 3)
		if slices.Contains(slices.Collect(maps.Values(tc.fleet.Checker.Running())), machine) {
			t.Errorf("got replicas on %s, which no command reaches, want none", machine)
		}
	})
}

// Guards against tasks that count as running on a machine that has restarted without
// them, its sequence numbers starting over.
func TestMachineRestart(t *testing.T) {
	withCluster(t, 3, tasksRunUntilStopped, func(tc *testCluster) {
		tc.expectAccepted(0, 1, service(4))
		time.Sleep(3 * time.Minute) // the sequence numbers do not soon reach the former ones again
		tc.fleet.Restart(tc.fleet.Checker.Running()[taskID(1, 0)])
		time.Sleep(12 * time.Second)
		tc.expectRunning(4)
	})
}

// Guards against a worker that reaches no controller, while direct commands reach
// it, and starts one incarnation after the other: it gets nothing new, its replicas
// move before its lease expires, and in the end its machine is returned.
func TestWorkerWithoutHeartbeatsIsReturned(t *testing.T) {
	withCluster(t, 5, tasksRunUntilStopped, func(tc *testCluster) {
		tc.expectAccepted(0, 1, service(4))
		time.Sleep(3 * time.Second)
		machine := tc.fleet.Checker.Running()[taskID(1, 0)]
		tc.fleet.DropHeartbeats(machine, true)
		for range 5 {
			time.Sleep(7 * time.Second)
			tc.restartLeader(100 * time.Millisecond)
		}
		time.Sleep(40 * time.Second)
		for task, on := range tc.fleet.Checker.Running() {
			if on == machine {
				t.Errorf("got %s on %s, which reaches no controller, want it elsewhere", task, machine)
			}
		}
		tc.expectRunning(4)
		if !slices.Contains(tc.fleet.Returned, machine) {
			t.Errorf("got returned machines %v, want %s among them", tc.fleet.Returned, machine)
		}
	})
}
