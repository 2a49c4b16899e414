package main

import (
	"time"
)

// outageCase is a sequence of cancellations and faults around the start of an outage of
// the key-value store.
type outageCase struct {
	name  string
	nodes int
	// cancelAndFail cancels jobs, starts the outage and injects other faults.
	cancelAndFail func(c *outageCluster)
	// confirmed and refused are the expected numbers of confirmed and refused
	// cancellations.
	confirmed, refused int
	// othersKeepRunning expects the tasks of the other jobs to keep running on their
	// machines.
	othersKeepRunning bool
}

// outageCases are the test cases of TestAcknowledgedCancellationOutlastsStoreOutage.
var outageCases = []outageCase{
	{"the store rejects the leader, then all controllers", 3, func(c *outageCluster) {
		c.setStoreRejected(c.leader, true)
		time.Sleep(1900 * time.Millisecond)
		c.cancelNext(c.follower(1), 2)
		c.cancelNext(c.follower(2), 2)
		c.state.SetOutage(true)
		// Controllers that know of the cancellations stop the tasks without the store,
		// by heartbeat replies and by commands.
		const stopTime = 5 * time.Second
		time.Sleep(stopTime)
		c.expectCancelledTasksStopped(stopTime)
	}, 4, 0, true},
	{"the leader is also partitioned from its peers", 3, func(c *outageCluster) {
		c.setIsolated(c.leader, true)
		time.Sleep(500 * time.Millisecond)
		c.cancelNext(c.follower(1), 2)
		c.cancelNext(c.follower(2), 2)
		c.state.SetOutage(true)
	}, 4, 0, false},
	{"the only controller that reaches the store is partitioned", 3, func(c *outageCluster) {
		c.setPartitioned(c.follower(1), true)
		c.setStoreRejected(c.leader, true)
		c.setStoreRejected(c.follower(2), true)
		time.Sleep(500 * time.Millisecond)
		c.cancelNext(c.follower(1), 3)
		// A status query or a repeated submission must not report the cancellation
		// either.
		c.expect(c.follower(1), "GET", jobPath(0), nil, 503, "")
		c.expectSubmit(c.follower(1), submission(0), 503, "")
		c.state.SetOutage(true)
	}, 0, 3, false},
	{"the confirming controller crashes after confirming", 3, func(c *outageCluster) {
		c.cancelWhileLeaderIsRejected(3)
		c.crash(c.follower(1))
		c.state.SetOutage(true)
	}, 3, 0, false},
	{"the confirming controller is partitioned after confirming, the other follower restarts", 3, func(c *outageCluster) {
		c.setStoreRejected(c.leader, true)
		time.Sleep(rejectionDetectionTime)
		c.setPartitioned(c.leader, true)
		c.cancelNext(c.follower(1), 3)
		c.state.SetOutage(true)
		c.setPartitioned(c.follower(1), true)
		c.setPartitioned(c.leader, false)
		c.restart(c.follower(2), 300*time.Millisecond)
	}, 3, 0, false},
	{"the other follower restarts after the cancellation and rereads the store", 3, func(c *outageCluster) {
		// The isolated leader does not learn of the cancellation, and the follower that
		// knows of it crashes later. The other follower, which then confirms epochs,
		// read the jobs after the cancellation, so it does not know which job was
		// cancelled.
		c.setIsolated(c.leader, true)
		c.cancelNext(c.follower(1), 3)
		c.restart(c.follower(2), 0)
		time.Sleep(700 * time.Millisecond)
		c.state.SetOutage(true)
		c.crash(c.follower(1))
		c.setPartitioned(c.leader, false)
	}, 3, 0, false},
	{"the leader crashes, and its successor has not taken over the machines", 3, func(c *outageCluster) {
		c.cancelNext(c.follower(1), 2)
		c.crash(c.leader)
		// The leader key exists until its lease expires.
		time.Sleep(3100 * time.Millisecond)
		c.state.SetOutage(true)
	}, 2, 0, false},
	{"the leader restarts during the outage", 3, func(c *outageCluster) {
		c.cancelWhileLeaderIsRejected(2)
		c.state.SetOutage(true)
		c.restart(c.leader, 2*time.Second)
	}, 2, 0, false},
	{"all controllers restart during the outage", 3, func(c *outageCluster) {
		c.cancelWhileLeaderIsRejected(2)
		c.state.SetOutage(true)
		for i := range c.nodes {
			c.restart(i, 0)
		}
	}, 2, 0, false},
	{"the followers crash, the leader confirms and loses the store", 3, func(c *outageCluster) {
		c.crashAllExcept(c.leader)
		time.Sleep(6 * time.Second)
		c.cancelNext(c.leader, 2)
		c.state.SetOutage(true)
	}, 2, 0, false},
	{"half of the machines are disconnected", 3, func(c *outageCluster) {
		c.cancelWhileLeaderIsRejected(4)
		c.state.SetOutage(true)
		c.forEveryOtherMachine(c.fleet.Disconnect)
		c.fleet.SetCloudOutage(true) // so the machines cannot be returned
	}, 4, 0, false},
	{"half of the machines receive no messages", 3, func(c *outageCluster) {
		c.setStoreRejected(c.leader, true)
		time.Sleep(rejectionDetectionTime)
		c.forEveryOtherMachine(c.fleet.DropInbound)
		c.cancelNext(c.follower(1), 4)
		c.state.SetOutage(true)
		c.fleet.SetCloudOutage(true)
	}, 4, 0, false},
	{"two controllers", 2, func(c *outageCluster) {
		c.cancelWhileLeaderIsRejected(3)
		c.state.SetOutage(true)
	}, 3, 0, true},
	{"two controllers, partitioned from each other", 2, func(c *outageCluster) {
		c.setIsolated(c.leader, true)
		c.cancelNext(c.follower(1), 3)
		c.state.SetOutage(true)
	}, 3, 0, false},
	{"one controller", 1, func(c *outageCluster) {
		c.cancelNext(c.leader, 3)
		c.state.SetOutage(true)
	}, 3, 0, false},
}
