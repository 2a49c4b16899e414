package main

import (
	"fmt"
	"testing"
	"time"

	"heronwick/wire"
)

// Guards against tasks that start before their job's dependencies are done, or long after
// that. The dependency graph is a diamond of jobs of two teams, submitted to three
// controllers.
func TestDependencyOrder(t *testing.T) {
	withCluster(t, 4, nil, func(tc *testCluster) {
		tc.expectSubmit(0, submission(1), 201, wire.JobQueued)
		tc.expectSubmit(1, submission(2, withTeam(redTeam), dependingOn(1)), 201, wire.JobQueued)
		tc.expectSubmit(2, submission(3, withTeam(blueTeam), dependingOn(1, 1)), 201, wire.JobQueued)
		tc.expectSubmit(0, submission(4, withTeam(redTeam), dependingOn(2, 3, 1)), 201, wire.JobQueued)
		time.Sleep(10 * time.Second)
		tc.expectStateEverywhere(1, wire.JobRunning)
		tc.expectStateEverywhere(2, wire.JobQueued)
		tc.expectStateEverywhere(4, wire.JobQueued)
		time.Sleep(12 * time.Second)
		tc.expectStateEverywhere(1, wire.JobDone)
		for _, job := range []int{2, 3} { // about 2 s after their dependency is done
			tc.expectStarts(taskID(job, 0), 1)
		}
		time.Sleep(45 * time.Second)
		tc.expectStateEverywhere(4, wire.JobDone)
	})
}

// Guards against submissions that are accepted although their dependencies are invalid,
// unknown or cannot be checked at the moment.
func TestDependencyValidation(t *testing.T) {
	withCluster(t, 2, nil, func(tc *testCluster) {
		tc.expectAccepted(0, 1)
		tc.expectAccepted(0, 2, service(3))
		tc.expectAccepted(0, 3)
		tc.expectCancel(0, 3, wire.JobCancelled)
		for i, test := range []struct {
			dependencies any
			status       int
			state        wire.JobState
		}{
			{nil, 201, wire.JobQueued},
			{[]string{}, 201, wire.JobQueued},
			{[]string{jobID(1), jobID(1)}, 201, wire.JobQueued},
			{jobID(1), 400, ""},
			{[]int{1}, 400, ""},
			{[]any{nil}, 400, ""},
			{[]string{jobID(999999)}, 422, ""}, // unknown
			{[]string{"nonsense"}, 422, ""},
			{[]string{jobID(2)}, 422, ""}, // a service is never done
			{[]string{jobID(1), jobID(3)}, 201, wire.JobCancelled},
		} {
			tc.expectSubmit(i%3, submission(10+i, with(fieldDependencies, test.dependencies)), test.status, test.state)
		}
		tc.expectSubmit(1, submission(30, dependingOn(30)), 422, "")
		// A repeated submission gets the response for the existing job, even if it has
		// other dependencies.
		tc.expectSubmit(2, submission(12, dependingOn(999999)), 200, wire.JobQueued)
		tc.state.SetOutage(true)
		time.Sleep(time.Second)
		tc.expectSubmit(2, submission(31, dependingOn(888888)), 503, "")
		tc.state.SetOutage(false)
		time.Sleep(90 * time.Second)
		tc.expectStateEverywhere(12, wire.JobDone)
		tc.expectStateEverywhere(19, wire.JobCancelled)
	})
}

// Guards against a cancellation that does not immediately include all transitive
// dependents, across owners and teams, or that a restart of all controllers loses. A job
// that is done cannot be cancelled, and its dependents must still run.
func TestCancellationOfDependents(t *testing.T) {
	withCluster(t, 4, nil, func(tc *testCluster) {
		tc.expectAccepted(0, 1)
		tc.expectAccepted(1, 2, dependingOn(1))
		tc.expectAccepted(2, 3, withTeam(redTeam), dependingOn(2))
		tc.expectAccepted(0, 4, dependingOn(2, 3))
		tc.expectAccepted(0, 5, dependingOn(1))
		time.Sleep(5 * time.Second)
		tc.expectCancel(1, 2, wire.JobCancelled)
		for _, job := range []int{2, 3, 4} {
			tc.expectStateEverywhere(job, wire.JobCancelled)
		}
		tc.expectStateEverywhere(5, wire.JobQueued)
		tc.expectSubmit(2, submission(6, dependingOn(4)), 201, wire.JobCancelled)
		time.Sleep(20 * time.Second)
		tc.expectCancel(0, 1, wire.JobDone)
		tc.expectStateEverywhere(5, wire.JobRunning)
		tc.crashAll() // cancellations must not be held in memory only
		tc.startAll()
		time.Sleep(30 * time.Second)
		tc.expectStateEverywhere(5, wire.JobDone)
		for _, job := range []int{2, 3, 4, 6} {
			tc.expectStateEverywhere(job, wire.JobCancelled)
			tc.expectStarts(taskID(job, 0), 0)
		}
	})
}

// Guards against stale responses about the dependents of a cancelled job from a controller
// that the key-value store rejects and that receives no watch events, also during a
// following store outage that lasts longer than the controller may report the dependents
// as queued. It must return the same state as the others or refuse the request.
func TestCancellationOfDependentsDuringStoreOutage(t *testing.T) {
	const jobs = 6
	withCluster(t, 4, nil, func(tc *testCluster) {
		tc.expectAccepted(1, 1)
		for job := 2; job <= jobs; job++ {
			tc.expectAccepted(job%3, job, dependingOn(job-1))
		}
		time.Sleep(3 * time.Second)
		leader := tc.leader()
		tc.setIsolated(leader, true)
		time.Sleep(300 * time.Millisecond)
		tc.expectCancel((leader+1)%3, 1, wire.JobCancelled)
		tc.expectNoStaleState(jobs, wire.JobCancelled)
		tc.state.SetOutage(true)
		for range 8 {
			time.Sleep(5 * time.Second)
			tc.expectNoStaleState(jobs, wire.JobCancelled)
		}
		tc.state.SetOutage(false)
		tc.setIsolated(leader, false)
		time.Sleep(10 * time.Second)
		for job := 1; job <= jobs; job++ {
			tc.expectStateEverywhere(job, wire.JobCancelled)
		}
	})
}

// expectNoStaleState expects every successful status query of the jobs 1 to last, at any
// node, to return a state.
func (tc *testCluster) expectNoStaleState(last int, state wire.JobState) {
	tc.t.Helper()
	for job := 1; job <= last; job++ {
		for i, n := range tc.nodes {
			if resp := tc.jobStatus(i, job); resp.status == 200 && resp.state() != state {
				tc.t.Errorf("%s about job %d: got %v, want %q or no status", n.name, job, resp, state)
			}
		}
	}
}

// Guards against submissions with dependencies that are accepted while a controller may
// still run the old version, for any order of the upgrade and any leader. A controller
// that cannot be reached counts as old. Once all controllers have the new version, this is
// recorded, and submissions with dependencies are accepted from then on.
func TestDependenciesEnabledAfterRollingUpgrade(t *testing.T) {
	for run, order := range [][]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}} {
		t.Run(fmt.Sprint(run), func(t *testing.T) {
			withCluster(t, 4, (*testCluster).useOldVersion, func(tc *testCluster) {
				tc.expectAccepted(0, 1)
				tc.upgrade(order[0])
				tc.expectDependenciesRefused("one node upgraded")
				tc.upgrade(order[1])
				tc.expectDependenciesRefused("two nodes upgraded")
				tc.upgradeLast(order[2])
				for i := range tc.nodes {
					tc.expectAccepted(i, 10+i, dependingOn(1))
				}
				// Since the upgrade is recorded, a controller that starts alone knows of it.
				tc.crashAll()
				time.Sleep(time.Second)
				tc.start(order[0])
				time.Sleep(8 * time.Second)
				tc.expectAccepted(order[0], 20, dependingOn(10, 11))
				tc.start(order[1])
				tc.start(order[2])
				time.Sleep(70 * time.Second)
				tc.expectStateEverywhere(20, wire.JobDone)
			})
		})
	}
}

// upgrade restarts a node's controller with the new version.
func (tc *testCluster) upgrade(i int) {
	tc.restartWithVersion(i, false)
}

// restartWithVersion restarts a node's controller with the old or the new version.
func (tc *testCluster) restartWithVersion(i int, oldVersion bool) {
	tc.crash(i)
	time.Sleep(2 * time.Second)
	tc.nodes[i].oldVersion.Store(oldVersion)
	tc.start(i)
	time.Sleep(4 * time.Second)
}

// upgradeLast upgrades the last node, but first restarts it with the old version, crashes
// it, and partitions it from the other nodes.
func (tc *testCluster) upgradeLast(last int) {
	tc.t.Helper()
	tc.restartWithVersion(last, true)
	tc.expectDependenciesRefused("two nodes upgraded, the third restarted with the old version")
	tc.crash(last)
	time.Sleep(10 * time.Second)
	tc.expectDependenciesRefused("two nodes upgraded, the third crashed")
	tc.nodes[last].oldVersion.Store(false)
	tc.setPartitioned(last, true)
	tc.start(last)
	time.Sleep(5 * time.Second)
	tc.expectDependenciesRefused("two nodes upgraded, the third partitioned")
	tc.setPartitioned(last, false)
	time.Sleep(5 * time.Second)
}

// expectDependenciesRefused expects every controller of the new version to refuse a job
// with dependencies and to ask for a later retry. when is the stage of the upgrade, for
// the failure message.
func (tc *testCluster) expectDependenciesRefused(when string) {
	tc.t.Helper()
	for i, n := range tc.nodes {
		if n.current.Load() == nil || n.oldVersion.Load() {
			continue
		}
		if resp := tc.submit(i, submission(2, dependingOn(1))); !resp.retryLater() {
			tc.t.Errorf("%s: %s: got %v, want 503 with Retry-After", when, n.name, resp)
		}
	}
}

// Guards against a dependency graph that will miss its deadline but is not shown to
// operators with all its jobs, or is counted more than once. A graph that will meet its
// deadline must not be marked as in danger.
func TestDependencyGraphInDangerIsReported(t *testing.T) {
	withCluster(t, 4, nil, func(tc *testCluster) {
		tc.expectAccepted(0, 1)
		tc.expectAccepted(0, 2, dependingOn(1))
		tc.expectAccepted(0, 3, dependingOn(2), with(fieldDeadline, 50.0)) // the three jobs take 60 s
		tc.expectAccepted(0, 4, dependingOn(1), with(fieldDeadline, 500.0))
		time.Sleep(5 * time.Second)
		endangered := int64(0)
		for i, n := range tc.nodes {
			resp := tc.call(i, "GET", wire.PathDAGs, nil)
			graphs, _ := resp.fields["chains"].([]any)
			if len(graphs) != 2 {
				t.Fatalf("%s: got %d graphs, want 2: %v", n.name, len(graphs), resp)
			}
			late, _ := graphs[0].(map[string]any)
			inTime, _ := graphs[1].(map[string]any)
			jobs, _ := late["jobs"].([]any)
			if late["last"] != jobID(3) || late["in_danger"] != true || inTime["in_danger"] != false || len(jobs) != 3 {
				t.Errorf("%s: got %v, want only the graph of 3 jobs that ends in %s in danger", n.name, resp, jobID(3))
			}
			endangered += n.current.Load().dagMonitor.endangered.Load()
		}
		if endangered != 1 {
			t.Errorf("got %d graphs counted as in danger, want 1", endangered)
		}
		time.Sleep(90 * time.Second)
		if resp := tc.call(1, "GET", wire.PathDAGs, nil); resp.fields["chains"] != nil {
			t.Errorf("got %v, want no graph after all jobs are done", resp)
		}
	})
}
