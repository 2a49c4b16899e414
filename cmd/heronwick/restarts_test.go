package main

import (
	"testing"
	"time"
)

// Guards against tasks that run twice after a machine was back at once, while the cloud's
// interface is down and direct commands from before the restart arrive again (rule
// ran_twice): a worker that has restarted is fenced by a higher token. Its tasks must run
// again soon, before the cloud is back.
func TestMachineRestartsDuringCloudOutage(t *testing.T) {
	const replicas = 6
	for _, test := range []struct {
		name    string
		disrupt func(tc *testCluster, machine string) // called while the restart is being handled
	}{
		{"restart", func(*testCluster, string) {}},
		{"leader changes", func(tc *testCluster, _ string) { tc.restartLeader(300 * time.Millisecond) }},
		{"second restart", func(tc *testCluster, machine string) { tc.fleet.Restart(machine) }},
		{"second restart, leader changes", func(tc *testCluster, machine string) {
			tc.fleet.Restart(machine)
			tc.restartLeader(300 * time.Millisecond)
		}},
	} {
		// How long after the restart the commands arrive: while it is being handled, once the
		// new numbers of the worker have passed the old ones, and long after that.
		for _, quiet := range []time.Duration{250 * time.Millisecond, 6 * time.Second, 12 * time.Second} {
			t.Run(test.name+", commands after "+quiet.String(), func(t *testing.T) {
				withCluster(t, 3, func(tc *testCluster) {
					tasksRunUntilStopped(tc)
					tc.fleet.ImageFetchTime = time.Millisecond // the images are still on the machine
				}, func(tc *testCluster) {
					tc.expectAccepted(0, 1, service(replicas))
					time.Sleep(2 * time.Second)
					machine := tc.fleet.Checker.Running()[taskID(1, 0)]
					tc.fleet.SetCloudOutage(true)
					tc.fleet.Restart(machine)
					time.Sleep(100 * time.Millisecond)
					test.disrupt(tc, machine)
					time.Sleep(quiet)
					tc.repeatCommandsFor(5*time.Second, machine)
					tc.expectRunning(replicas)
					time.Sleep(10 * time.Second)
					tc.fleet.SetCloudOutage(false)
					time.Sleep(10 * time.Second)
					tc.expectRunning(replicas)
				})
			})
		}
	}
}

// repeatCommandsFor delivers the direct commands of a machine again and again.
func (tc *testCluster) repeatCommandsFor(duration time.Duration, machine string) {
	const interval = 250 * time.Millisecond
	for range duration / interval {
		time.Sleep(interval)
		tc.fleet.RepeatCommands(machine)
	}
}
