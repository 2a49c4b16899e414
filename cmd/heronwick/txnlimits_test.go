package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"heronwick/internal/config"
	"heronwick/wire"
)

// lowestStoreLimits are the lowest limits that the settings allow.
var lowestStoreLimits = storeLimits{config.MinValueKB << 10, config.MinTxnOps}

// useStoreLimits configures the controllers with limits, and the store with the same ones.
func (tc *testCluster) useStoreLimits(limits storeLimits) {
	tc.state.MaxValueBytes, tc.state.MaxTxnOps = limits.valueBytes, limits.operations
	tc.adjustSettings = func(settings *config.Settings) {
		settings.MaxValueBytes, settings.MaxTxnOps = limits.valueBytes, limits.operations
	}
}

// Guards against a transaction that the store rejects again and again because it exceeds a
// limit. All code that builds one runs under the lowest limits that the settings allow:
// elections, memberships, features, machine types, submissions with dependencies, status
// queries, placements, done tasks, ends of jobs, cancellations, handovers and releases of
// machines, their removal, duties and their resignation, returns and rentals.
func TestAllTransactionsFitTheLowestLimits(t *testing.T) {
	for _, dutiesEnabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("duties: %v", dutiesEnabled), func(t *testing.T) {
			const machines, jobs = 24, 40
			withCluster(t, machines, func(tc *testCluster) {
				tc.dutiesEnabled = dutiesEnabled
				tc.useStoreLimits(lowestStoreLimits)
				tasksRunFor(6 * time.Second)(tc)
			}, func(tc *testCluster) {
				for job := range jobs {
					var dependencies jobOption
					if job > 6 {
						dependencies = dependingOn(job-1, job-2, job-3, job-4, job-5, job-6)
					}
					if job < 20 {
						dependencies = nil
					}
					tc.submitUntilAccepted(job%3, submission(job, withTeam(alternatingTeam(job)), withTasks(8), dependencies), time.Second)
					if job%10 == 9 {
						tc.disruptOwnership(job)
					}
				}
				if cancelled := tc.cancel(0, jobs-1); cancelled.status != 200 {
					t.Errorf("cancellation: got %v, want 200", cancelled)
				}
				time.Sleep(4 * time.Minute)
				for job := range jobs - 1 {
					tc.expectStateEverywhere(job, wire.JobDone)
				}
				if rejected := tc.state.TooLarge; rejected > 0 {
					t.Errorf("got %d transactions over the limits, want none", rejected)
				}
				tc.restartLeader(3 * time.Second) // many transfers become obsolete
				time.Sleep(3 * time.Minute)
				if rejected := tc.state.TooLarge; rejected > 0 {
					t.Errorf("got %d transactions over the limits after the leader change, want none", rejected)
				}
			})
		})
	}
}

// disruptOwnership makes machines and duties change hands: a machine is lost, and a
// controller other than the leader, or the leader, restarts.
func (tc *testCluster) disruptOwnership(job int) {
	tc.fleet.Terminate(tc.fleet.Machines()[0])
	time.Sleep(2 * time.Second)
	node := tc.leader()
	if job%20 == 9 {
		node = (node + 1) % len(tc.nodes)
	}
	tc.restart(node, 3*time.Second)
	time.Sleep(8 * time.Second)
}

// Guards against transactions that are sent again unchanged after the store's limits fell
// without notice: they are made smaller until none is rejected, and that is counted.
func TestTransactionsShrinkWhenLimitsFall(t *testing.T) {
	const jobs = 60
	withCluster(t, 16, func(tc *testCluster) {
		tc.useStoreLimits(oldStoreLimits)
		tasksRunFor(5 * time.Second)(tc)
	}, func(tc *testCluster) {
		tc.submitBurst(0, jobs/2)
		tc.state.LowerLimits(oldStoreLimits.valueBytes, config.MinTxnOps)
		tc.submitBurst(jobs/2, jobs)
		time.Sleep(time.Minute)
		rejected := tc.state.TooLarge
		if rejected == 0 {
			t.Fatal("got no transaction rejected when the limits fell, want some, which the test depends on")
		}
		// Each controller halves its limit twice; of each kind of transaction, three can be
		// in flight with the old one.
		if limit := 2 * 2 * 3 * len(tc.nodes); rejected > limit {
			t.Errorf("got %d transactions rejected, want at most %d", rejected, limit)
		}
		tc.submitBurst(jobs, 2*jobs)
		time.Sleep(2 * time.Minute)
		if again := tc.state.TooLarge; again > rejected {
			t.Errorf("got %d more transactions rejected, want none after the first minute", again-rejected)
		}
		for job := range 2 * jobs {
			tc.expectStateEverywhere(job, wire.JobDone)
		}
		counted := 0
		for i := range tc.nodes {
			counted += tc.metric(i, "heronwick_store_rejected_transactions")
		}
		if counted != rejected {
			t.Errorf("got %d rejected transactions in the metrics, want %d", counted, rejected)
		}
	})
}

// submitBurst submits the jobs with the numbers from to to-1 at the same time, so that
// their writes share transactions.
func (tc *testCluster) submitBurst(from, to int) {
	for job := from; job < to; job++ {
		go tc.submitUntilAccepted(job%3, submission(job, withTasks(2)), time.Second)
	}
	time.Sleep(10 * time.Second)
}

// metric returns the value of a metric of a controller that has no labels.
func (tc *testCluster) metric(i int, name string) (value int) {
	tc.t.Helper()
	for line := range strings.Lines(string(tc.call(i, "GET", "/metrics", nil).body)) {
		if _, err := fmt.Sscanf(line, name+" %d", &value); err == nil {
			return value
		}
	}
	tc.t.Errorf("got no metric %s, want it on the page", name)
	return 0
}
