package main

import (
	"testing"
	"time"

	"heronwick/wire"
)

// Guards against tasks that run twice after a failover: the tasks of an unreachable
// worker may still be running, so the new leader must not place them again before the
// worker's lease has expired or its machine has been returned.
func TestFailoverWithUnreachableWorker(t *testing.T) {
	withCluster(t, 3, tasksRunUntilStopped, func(tc *testCluster) {
		tc.expectAccepted(0, 1, service(4))
		time.Sleep(3 * time.Second)
		running := tc.fleet.Checker.Running()
		if len(running) != 4 {
			t.Fatalf("got %d running replicas, want 4", len(running))
		}
		machine := running[taskID(1, 0)]
		tc.fleet.SetCloudOutage(true) // so the machine cannot be returned
		tc.fleet.Disconnect(machine, true)
		tc.restartLeader(8 * time.Second)
		tc.expectStarts(taskID(1, 0), 1) // the lease cannot have expired yet
		time.Sleep(30 * time.Second)
		tc.expectRunning(4)
		if got := tc.fleet.Checker.Running()[taskID(1, 0)]; got == machine {
			t.Errorf("got a replica on disconnected machine %s, want it on another machine", got)
		}
	})
}

// Guards against an outage of the key-value store that stops tasks or lets workers' leases
// expire. During the outage the controllers make no new decisions, workers keep their
// leases and tasks keep running.
func TestStoreOutage(t *testing.T) {
	withCluster(t, 2, tasksRunFor(50*time.Second), func(tc *testCluster) {
		tc.expectAccepted(0, 1)
		time.Sleep(3 * time.Second)
		tc.state.SetOutage(true)
		time.Sleep(time.Second)
		start := time.Now()
		resp := tc.submit(1, submission(2))
		if took := time.Since(start); !resp.retryLater() || took > 2*time.Second {
			t.Errorf("submission during an outage: got %v after %v, want 503 with Retry-After within 2 s", resp, took)
		}
		time.Sleep(30 * time.Second) // far longer than a lease
		for i := range tc.nodes {
			tc.expect(i, "GET", wire.PathReady, nil, 200, "")
		}
		tc.state.SetOutage(false)
		time.Sleep(25 * time.Second)
		tc.expectState(2, 1, wire.JobDone)
		for index := range 3 {
			tc.expectStarts(taskID(1, index), 1)
		}
	})
}

// Guards against requests that fail because the key-value store rejects the controller
// that received them: this controller must reach the store through the other
// controllers.
func TestStoreRejectsOneController(t *testing.T) {
	withCluster(t, 2, nil, func(tc *testCluster) {
		tc.expectAccepted(0, 1)
		for i := range tc.nodes {
			tc.setStoreRejected(i, true)
			time.Sleep(10 * time.Second)
			tc.expectState(i, 1, "")
			tc.expectAccepted(i, 10+i)
			tc.expectNotFound(i, 777777)
			tc.setStoreRejected(i, false)
		}
	})
}

// Guards against a team that exceeds its quota after a failover: the new leader must
// count the tasks that may still be running.
func TestQuotaAcrossFailover(t *testing.T) {
	withCluster(t, 4, tasksRunUntilStopped, func(tc *testCluster) {
		const quotaTasks = redTeamCPUs / 2 // number of tasks with 2 CPUs that fit in the quota
		for job := range 3 {
			tc.expectAccepted(0, job, withTeam(redTeam), service(4))
		}
		time.Sleep(3 * time.Second)
		tc.expectRunning(quotaTasks)
		for range 2 {
			tc.restartLeader(6 * time.Second)
			time.Sleep(2 * time.Second)
			tc.expectRunning(quotaTasks)
		}
	})
}

// Guards against lost jobs and expired worker leases when all controllers restart at the
// same time.
func TestAllControllersRestart(t *testing.T) {
	withCluster(t, 2, tasksRunFor(25*time.Second), func(tc *testCluster) {
		tc.expectAccepted(0, 1)
		time.Sleep(3 * time.Second)
		tc.crashAll()
		time.Sleep(5 * time.Second)
		tc.startAll()
		time.Sleep(22 * time.Second)
		tc.expectStateEverywhere(1, wire.JobDone)
		tc.expectStarts(taskID(1, 0), 1)
	})
}

// Guards against two controllers that reply to the same worker after machines have moved
// between schedulers: a reply from a controller that does not own the machine would renew
// a lease that the owner considers expired, and tasks would run twice.
func TestOneControllerAnswersEachWorker(t *testing.T) {
	const machines = 6
	withCluster(t, machines, tasksRunUntilStopped, func(tc *testCluster) {
		for job := range 8 {
			tc.expectAccepted(job%3, job, withTeam(alternatingTeam(job)), service(2))
			time.Sleep(time.Second)
		}
		time.Sleep(40 * time.Second) // until the machines have been rebalanced among the controllers
		machinesByNode := map[string]int{}
		for n := 1; n <= machines; n++ {
			nodes := tc.nodesAcceptingHeartbeats(machineName(n))
			for _, node := range nodes {
				machinesByNode[node]++
			}
			if len(nodes) != 1 {
				t.Errorf("worker of %s: got replies from %v, want them from one controller", machineName(n), nodes)
			}
		}
		if len(machinesByNode) < 2 {
			t.Errorf("got machines per owner %v, want at least two owners so that the test is meaningful", machinesByNode)
		}
	})
}

// Guards against a leader that loses its connection to all workers, considers them dead
// and returns their machines. It must resign instead, so that a controller that still
// receives the workers' heartbeats takes over.
func TestLeaderCutOffFromWorkers(t *testing.T) {
	withCluster(t, 6, tasksRunUntilStopped, func(tc *testCluster) {
		for job := range 4 {
			tc.expectAccepted(0, job, service(3), with(fieldCPUs, 3))
		}
		time.Sleep(3 * time.Second)
		running := len(tc.fleet.Checker.Running())
		leader := tc.leader()
		tc.fleet.Isolate(tc.nodes[leader].name, true)
		time.Sleep(20 * time.Second)
		if returned := tc.fleet.ReturnedMachines; len(returned) != 0 {
			t.Errorf("got returned machines %v, want none", returned)
		}
		if tc.leader() == leader {
			t.Errorf("got node %d as the leader, which reaches no worker, want another node", leader)
		}
		tc.fleet.Isolate(tc.nodes[leader].name, false)
		time.Sleep(10 * time.Second)
		if running == 0 {
			t.Error("got no running tasks before the failure, want some")
		}
		tc.expectRunning(running)
		tc.expectRunningStartedOnce()
	})
}

// Guards against tasks that stop or run twice when a controller loses the key-value store
// and the other controllers but not its workers: the others must take over the workers
// before their leases expire, and the isolated controller must refuse requests.
func TestControllerIsolatedWithItsWorkers(t *testing.T) {
	withCluster(t, 4, tasksRunUntilStopped, func(tc *testCluster) {
		for job := range 4 {
			tc.expectAccepted(0, job, service(3))
		}
		time.Sleep(3 * time.Second)
		tc.expectRunning(12)
		isolated := tc.leader()
		tc.setIsolated(isolated, true)
		time.Sleep(10 * time.Second)
		tc.expectSubmit(isolated, submission(9), 503, "")
		tc.expect(isolated, "GET", wire.PathReady, nil, 503, "")
		time.Sleep(10 * time.Second)
		tc.expectRunning(12)
		tc.expectRunningStartedOnce()
		tc.setIsolated(isolated, false)
		time.Sleep(10 * time.Second)
		tc.expectStateEverywhere(1, wire.JobRunning)
	})
}
