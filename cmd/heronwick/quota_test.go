package main

import (
	"fmt"
	"testing"
	"time"

	"heronwick/internal/standin"
	"heronwick/wire"
)

// Guards against a team that exceeds its quota when one of its jobs is cancelled while
// its machines are unreachable, and the controller that owns the team fails: the next
// owner must count tasks that may still be running until they have provably stopped (rule
// quota).
func TestQuotaHoldsAcrossCancellationAndFailover(t *testing.T) {
	for _, machineFailure := range []struct {
		name   string
		inject func(fleet *standin.Fleet, machine string)
	}{
		{"disconnected", func(fleet *standin.Fleet, machine string) { fleet.Disconnect(machine, true) }},
		{"paused", func(fleet *standin.Fleet, machine string) { fleet.Pause(machine, true) }},
	} {
		t.Run(machineFailure.name, func(t *testing.T) {
			for _, controllerFailure := range ownerFailures {
				t.Run(controllerFailure.name, func(t *testing.T) {
					testQuotaAfterCancellation(t, machineFailure.inject, controllerFailure.inject)
				})
			}
		})
	}
}

// ownerFailures are controller failures after which another controller owns a team.
var ownerFailures = []struct {
	name   string
	inject func(tc *testCluster)
}{
	{"leader crashes", func(tc *testCluster) { tc.crash(tc.leader()) }},
	{"two controllers crash in succession", func(tc *testCluster) {
		tc.crash(tc.leader())
		time.Sleep(3500 * time.Millisecond)
		tc.crash(tc.leader())
	}},
	{"all controllers restart", func(tc *testCluster) {
		tc.crashAll()
		for i := range tc.nodes {
			time.Sleep(700 * time.Millisecond)
			tc.start(i)
		}
	}},
	{"all but the leader crash", func(tc *testCluster) { tc.crashAllExcept(tc.leader()) }},
	{"leader reaches only its workers", func(tc *testCluster) { tc.setIsolated(tc.leader(), true) }},
}

// testQuotaAfterCancellation has a team use its whole quota on machines that then become
// unreachable, cancels one of its jobs, injects a controller failure and submits another
// job of the team. The cluster's checker reports a violation if the team ever exceeds its
// quota.
func testQuotaAfterCancellation(t *testing.T, makeUnreachable func(fleet *standin.Fleet, machine string), injectFailure func(tc *testCluster)) {
	const quotaTasks = redTeamCPUs / 2 // number of tasks of 2 CPUs that the quota allows
	withCluster(t, 6, tasksRunUntilStopped, func(tc *testCluster) {
		tc.expectAccepted(0, 1, withTeam(redTeam), service(4))
		tc.expectAccepted(1, 2, withTeam(redTeam), service(4))
		time.Sleep(4 * time.Second)
		running := tc.fleet.Checker.Running()
		if len(running) != quotaTasks {
			t.Fatalf("got %d running tasks, want %d", len(running), quotaTasks)
		}
		tc.fleet.SetCloudOutage(true) // cloud outage: the unreachable machines cannot be returned
		for _, machine := range running {
			makeUnreachable(tc.fleet, machine)
		}
		tc.expectCancel(1, 1, wire.JobCancelled)
		injectFailure(tc)
		for second := range 30 {
			time.Sleep(time.Second)
			for i := range tc.nodes { // any controller may accept it
				tc.submit(i, submission(3, withTeam(redTeam), service(4)))
			}
			if second == 4 {
				tc.fleet.SetCloudOutage(false)
			}
		}
		notCancelled := 0
		for task := range tc.fleet.Checker.Running() {
			if task > jobID(2) {
				notCancelled++
			}
		}
		if notCancelled != quotaTasks {
			t.Errorf("got %d running tasks of jobs that were not cancelled, want %d", notCancelled, quotaTasks)
		}
	})
}

// Guards against metrics from which operators cannot see how close a team is to its limit.
func TestMetricsShowUsageAndLimitOfTeams(t *testing.T) {
	withCluster(t, 4, tasksRunUntilStopped, func(tc *testCluster) {
		tc.expectAccepted(0, 1, withTeam(redTeam), service(3))
		time.Sleep(3 * time.Second)
		used := 0
		for i := range tc.nodes {
			used += tc.metric(i, fmt.Sprintf("heronwick_team_used_cpus{team=%q}", redTeam))
			if limit := tc.metric(i, fmt.Sprintf("heronwick_team_limit_cpus{team=%q}", redTeam)); limit != redTeamCPUs {
				t.Errorf("%s: got a limit of %d CPUs, want %d", tc.nodes[i].name, limit, redTeamCPUs)
			}
			for _, name := range []string{"heronwick_team_used_gpus", "heronwick_team_limit_gpus"} {
				if got := tc.metric(i, fmt.Sprintf("%s{team=%q}", name, redTeam)); got != 0 {
					t.Errorf("%s: got %s %d, want 0", tc.nodes[i].name, name, got)
				}
			}
		}
		if used != 6 {
			t.Errorf("got %d CPUs used at all controllers together, want the 6 of three tasks", used)
		}
	})
}
