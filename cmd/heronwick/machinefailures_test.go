package main

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// Guards against tasks that are placed or remain on a machine whose heartbeats arrive
// although commands and responses do not reach it: it gets no new tasks, and the tasks
// that it had are moved to other machines.
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
			t.Errorf("got replicas on %s, which commands do not reach, want none", machine)
		}
	})
}

// Guards against tasks that are still considered running on a machine that has restarted
// and lost them, and whose heartbeat sequence numbers start over.
func TestMachineRestart(t *testing.T) {
	withCluster(t, 3, tasksRunUntilStopped, func(tc *testCluster) {
		tc.expectAccepted(0, 1, service(4))
		time.Sleep(3 * time.Minute) // long enough that the new sequence numbers stay below the old ones
		tc.fleet.Restart(tc.fleet.Checker.Running()[taskID(1, 0)])
		time.Sleep(12 * time.Second)
		tc.expectRunning(4)
	})
}

// Guards against a worker whose heartbeats reach no controller, although direct commands
// reach it, and which starts a new incarnation whenever its lease expires: it gets no new
// tasks, its replicas are moved before its lease expires, and finally its machine is
// returned.
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
				t.Errorf("got %s on %s, whose heartbeats reach no controller, want it on another machine", task, machine)
			}
		}
		tc.expectRunning(4)
		if !slices.Contains(tc.fleet.ReturnedMachines, machine) {
			t.Errorf("got returned machines %v, want %s among them", tc.fleet.ReturnedMachines, machine)
		}
	})
}
