package main

import (
	"testing"
	"time"

	"heronwick/wire"
)

const (
	outageMachines = 6
	outageJobs     = 10 // services of two replicas each
	outageReplicas = 2

	// cancelDeadline is the time after which the tasks of a cancelled job must have
	// stopped: CancelTimeout in the settings plus a second for the test.
	cancelDeadline = 26 * time.Second

	// cancelResponseTime is the maximum response time of a cancellation.
	cancelResponseTime = 1500 * time.Millisecond

	// rejectionDetectionTime is more than the controllers need to detect that the
	// key-value store rejects one of them.
	rejectionDetectionTime = 1500 * time.Millisecond
)

// outageCluster is a test cluster in which services run on machines of every controller.
// The first of them are cancelled in the order of their numbers just before an outage of
// the key-value store, which lasts far longer than the tasks of cancelled jobs may run.
type outageCluster struct {
	*testCluster
	leader        int
	confirmed     []int // jobs whose cancellation was confirmed to the user
	refused       int   // number of cancellations refused with 503 and Retry-After
	lastConfirmed time.Time
}

// follower returns the n-th node after the leader.
func (c *outageCluster) follower(n int) int { return (c.leader + n) % len(c.nodes) }

// cancelNext cancels the next count jobs at node i.
func (c *outageCluster) cancelNext(i, count int) {
	c.t.Helper()
	for range count {
		job := len(c.confirmed) + c.refused
		start := time.Now()
		resp := c.cancel(i, job)
		took := time.Since(start)
		switch {
		case resp.status == 200 && resp.state() == wire.JobCancelled:
			c.confirmed = append(c.confirmed, job)
			c.lastConfirmed = time.Now()
		case resp.retryLater():
			c.refused++
		default:
			c.t.Errorf("cancelling job %d: got %v, want it cancelled, or 503 with Retry-After", job, resp)
		}
		if took > cancelResponseTime {
			c.t.Errorf("cancelling job %d: got %v after %v, want a response within %v", job, resp, took, cancelResponseTime)
		}
	}
}

// cancelWhileLeaderIsRejected makes the store reject the leader, waits until the
// controllers have detected that, and cancels the next count jobs at the first follower.
func (c *outageCluster) cancelWhileLeaderIsRejected(count int) {
	c.t.Helper()
	c.setStoreRejected(c.leader, true)
	time.Sleep(rejectionDetectionTime)
	c.cancelNext(c.follower(1), count)
}

// forEveryOtherMachine calls set with true for half of the machines.
func (c *outageCluster) forEveryOtherMachine(set func(machine string, on bool)) {
	for n := 1; n <= outageMachines; n += 2 {
		set(machineName(n), true)
	}
}

// isConfirmed reports whether a task belongs to a job whose cancellation was confirmed.
func (c *outageCluster) isConfirmed(task string) bool {
	id, _, _ := wire.SplitTaskID(task)
	for _, job := range c.confirmed {
		if id == jobID(job) {
			return true
		}
	}
	return false
}

// expectCancelledTasksStopped expects that no task of a job whose cancellation was
// confirmed is running. after is only for the failure message.
func (c *outageCluster) expectCancelledTasksStopped(after time.Duration) {
	c.t.Helper()
	for task, machine := range c.fleet.Checker.Running() {
		if c.isConfirmed(task) {
			c.t.Errorf("got %s running on %s %v after the cancellation of its job, want it stopped", task, machine, after)
		}
	}
}

// expectOthersKeepRunning expects the tasks that ran before, except those of cancelled
// jobs, to keep running on the same machines.
func (c *outageCluster) expectOthersKeepRunning(before map[string]string) {
	c.t.Helper()
	running := c.fleet.Checker.Running()
	for task, want := range before {
		if got := running[task]; !c.isConfirmed(task) && got != want {
			c.t.Errorf("task %s: got it on machine %q, want it on %s as before", task, got, want)
		}
	}
}

// Guards against a confirmed cancellation that the controllers lose because of a store
// outage combined with other failures: the tasks of the job would keep running. A
// cancellation is confirmed only once every controller that may still reply to workers
// knows of it, so the tasks stop in time although the store, which holds the only durable
// copy, is out for far longer.
func TestAcknowledgedCancellationOutlastsStoreOutage(t *testing.T) {
	for _, test := range outageCases {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, outageMachines, func(tc *testCluster) {
				tasksRunUntilStopped(tc)
				tc.fleet.Nodes, tc.nodes = tc.fleet.Nodes[:test.nodes], tc.nodes[:test.nodes]
			}, func(tc *testCluster) {
				c := &outageCluster{testCluster: tc}
				before := c.startServices()
				c.leader = tc.leader()
				test.cancelAndFail(c)
				if len(c.confirmed) != test.confirmed || c.refused != test.refused {
					t.Errorf("got %d cancellations confirmed and %d refused, want %d and %d", len(c.confirmed), c.refused, test.confirmed, test.refused)
				}
				time.Sleep(time.Until(c.lastConfirmed.Add(cancelDeadline)))
				c.expectCancelledTasksStopped(cancelDeadline)
				time.Sleep(20 * time.Second)
				if test.othersKeepRunning {
					c.expectOthersKeepRunning(before)
				}
				c.healAll()
				time.Sleep(60 * time.Second)
				c.expectFinalStates()
			})
		})
	}
}

// startServices starts the services on machines of all controllers and returns the
// machine of each running task. Each service is submitted to one controller and placed by
// another.
func (c *outageCluster) startServices() (machines map[string]string) {
	c.t.Helper()
	for job := range outageJobs {
		c.expectAccepted(job%len(c.nodes), job, withTeam(alternatingTeam(job)), service(outageReplicas))
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(31 * time.Second) // until the machines have been rebalanced among the controllers
	const minRunning = 18        // of 20: the red team's quota does not allow more
	machines = c.fleet.Checker.Running()
	if len(machines) < minRunning {
		c.t.Fatalf("got %d running tasks, want at least %d of %d", len(machines), minRunning, outageJobs*outageReplicas)
	}
	return machines
}

// healAll ends the outage and all other faults, and restarts crashed controllers.
func (c *outageCluster) healAll() {
	c.state.SetOutage(false)
	c.fleet.SetCloudOutage(false)
	for n := 1; n <= outageMachines; n++ {
		c.fleet.Disconnect(machineName(n), false)
		c.fleet.DropInbound(machineName(n), false)
	}
	for i := range c.nodes {
		c.setStoreRejected(i, false)
		c.setPartitioned(i, false)
	}
	c.startStoppedNodes()
}

// expectFinalStates expects every controller to report the jobs that were cancelled as
// cancelled, and the others as running. That includes refused cancellations, because they
// are recorded in the store nevertheless.
func (c *outageCluster) expectFinalStates() {
	c.t.Helper()
	for job := range outageJobs {
		want := wire.JobRunning
		if job < len(c.confirmed)+c.refused {
			want = wire.JobCancelled
		}
		c.expectStateEverywhere(job, want)
	}
}
