package main

import (
	"fmt"
	"testing"
	"time"

	"heronwick/wire"
)

// Guards against replicas that run twice or never when the leader fails at any moment while
// machines are being rented, boot within a second and receive tasks, and the key-value
// store responds slowly. The rentals, owners and tasks of machines must be recorded in the
// store before the controller acts on them.
func TestFastBootingMachinesDuringFailover(t *testing.T) {
	for step := range 8 {
		failAfter := time.Duration(step) * 400 * time.Millisecond
		t.Run(fmt.Sprint(failAfter), func(t *testing.T) {
			withCluster(t, 1, func(tc *testCluster) {
				tasksRunUntilStopped(tc)
				tc.fleet.BootTime, tc.fleet.Types[0].BootS = time.Second, 1
				tc.fleet.Capacity = 8
			}, func(tc *testCluster) {
				tc.state.DelayResponses(700 * time.Millisecond)
				for job := range 4 {
					tc.submitUntilAccepted(job%3, submission(job, service(4)), 100*time.Millisecond)
				}
				time.Sleep(failAfter)
				tc.restartLeader(2 * time.Second)
				tc.state.DelayResponses(0)
				time.Sleep(75 * time.Second)
				tc.expectRunning(16)
				tc.expectNoPlaceableTasks()
			})
		})
	}
}

// Guards against commands of a failed leader that arrive after commands of its successor:
// they must not start or stop anything, and the tasks that they would have started must
// run once on other machines.
func TestLateCommandsOfDeposedLeader(t *testing.T) {
	for _, delay := range []time.Duration{4 * time.Second, 9 * time.Second, 20 * time.Second, 40 * time.Second} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			withCluster(t, 4, tasksRunUntilStopped, func(tc *testCluster) {
				slowMachines := tc.fleet.Machines()[:2]
				for _, machine := range slowMachines {
					tc.fleet.HoldCommands(machine, true)
				}
				for job := range 3 {
					tc.expectAccepted(job, job, service(4))
				}
				time.Sleep(200 * time.Millisecond)
				tc.expectCancel(1, 2, wire.JobCancelled)
				leader := tc.leader()
				tc.crash(leader)
				time.Sleep(delay)
				for _, machine := range slowMachines {
					tc.fleet.HoldCommands(machine, false)
				}
				tc.start(leader)
				time.Sleep(60 * time.Second)
				tc.expectRunning(8)
				tc.expectStateEverywhere(2, wire.JobCancelled)
			})
		})
	}
}

// Guards against cancellations that are lost when a controller fails, its jobs and machines
// get new owners, and the leader fails when the first controller returns. Jobs whose
// cancellation was confirmed must stay cancelled and stop in time, and the other jobs must
// run.
func TestCancellationsDuringFailover(t *testing.T) {
	for _, leaderFails := range []bool{true, false} {
		t.Run(fmt.Sprintf("leader fails: %v", leaderFails), func(t *testing.T) {
			withCluster(t, 9, tasksRunUntilStopped, func(tc *testCluster) {
				const jobs = 12
				tc.submitServicesOfBothTeams(jobs)
				time.Sleep(6 * time.Second)
				runningBefore := len(tc.fleet.Checker.Running())
				failed := tc.leader()
				if !leaderFails {
					failed = (failed + 1) % 3
				}
				tc.crash(failed)
				confirmed := map[int]bool{}
				for job := 0; job < jobs; job += 2 {
					time.Sleep(600 * time.Millisecond)
					resp := tc.cancel((failed+1+job%2)%3, job)
					confirmed[job] = resp.status == 200 && resp.state() == wire.JobCancelled
				}
				tc.start(failed)
				time.Sleep(3 * time.Second)
				tc.restartLeader(500 * time.Millisecond)
				time.Sleep(75 * time.Second)
				for job := range jobs {
					tc.expectCancelledIfConfirmed(job, confirmed[job], job%2 == 0)
				}
				if runningBefore == 0 {
					t.Error("got no running tasks before the failure, want some")
				}
				tc.expectNoPlaceableTasks()
			})
		})
	}
}

// submitServicesOfBothTeams submits services with three replicas to the controllers in
// turn. A third of the services belong to the red team, the others to the blue team.
func (tc *testCluster) submitServicesOfBothTeams(jobs int) {
	for job := range jobs {
		team := []string{blueTeam, redTeam, blueTeam}[job%3]
		for status := 0; status != 201; time.Sleep(50 * time.Millisecond) {
			status = tc.submit(job%3, submission(job, service(3), withTeam(team))).status
		}
	}
}

// expectCancelledIfConfirmed expects every controller to report a job as cancelled if its
// cancellation was confirmed, and not to if none was requested. A cancellation that was
// requested but not confirmed may or may not have been carried out.
func (tc *testCluster) expectCancelledIfConfirmed(job int, confirmed, requested bool) {
	tc.t.Helper()
	for i, n := range tc.nodes {
		resp := tc.jobStatus(i, job)
		if cancelled := resp.state() == wire.JobCancelled; confirmed && !cancelled || !requested && cancelled {
			tc.t.Errorf("%s about job %d: got %v, want it cancelled if confirmed and not if never requested (requested %v, confirmed %v)", n.name, job, resp, requested, confirmed)
		}
	}
}

// Guards against replicas that run twice, do not run or are moved when the leader fails
// while the links to half of the machines are slow, so that direct commands arrive after
// their sender has timed out. A worker's lease must not expire as long as it is longer than
// three heartbeats with their round trips: one to the failed controller, one that is
// redirected and one that gets a reply.
func TestSlowWorkerLinksDuringFailover(t *testing.T) {
	const lease, heartbeatInterval, heartbeats = 12 * time.Second, 2 * time.Second, 3
	for _, delay := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			withCluster(t, 6, tasksRunUntilStopped, func(tc *testCluster) {
				for i, machine := range tc.fleet.Machines() {
					if i%2 == 0 {
						tc.fleet.DelayMessages(machine, delay)
					}
				}
				for job := range 4 {
					tc.expectAccepted(job%3, job, service(4))
				}
				time.Sleep(10 * time.Second)
				tc.expectCancel(0, 0, wire.JobCancelled)
				tc.restartLeader(10 * time.Second)
				time.Sleep(30 * time.Second)
				tc.expectRunning(12)
				if expired := tc.fleet.LeaseExpiries(); expired == 0 {
					tc.expectRunningStartedOnce()
				} else if heartbeats*(2*delay+heartbeatInterval) < lease {
					t.Errorf("got %d expired leases, want none", expired)
				}
				for _, machine := range tc.fleet.Machines() {
					tc.fleet.DelayMessages(machine, 0)
				}
				time.Sleep(30 * time.Second)
				tc.expectRunning(12)
			})
		})
	}
}

// Guards against a new leader that resigns because nearly half of the machines are lost
// permanently. This looks like a partition from these machines, since all workers also send
// heartbeats to the other controllers until they know the new leader. The leader must stay
// and replace the machines.
func TestLeaderStaysAfterMachineLoss(t *testing.T) {
	withCluster(t, 9, tasksRunUntilStopped, func(tc *testCluster) {
		for job := range 6 {
			tc.expectAccepted(job%3, job, service(4))
		}
		time.Sleep(5 * time.Second)
		tc.expectRunning(24)
		machines := tc.fleet.Machines()
		failed := tc.leader()
		tc.crash(failed)
		for _, machine := range machines[:4] {
			tc.fleet.Terminate(machine)
		}
		time.Sleep(5 * time.Second)
		tc.start(failed)
		time.Sleep(5 * time.Second)
		leader := tc.leader()
		for range 100 {
			time.Sleep(time.Second)
			if got := tc.leader(); got != leader {
				t.Errorf("got node %d as the leader, want node %d to stay the leader", got, leader)
				break
			}
		}
		tc.expectRunning(24)
		tc.expectNoPlaceableTasks()
	})
}
