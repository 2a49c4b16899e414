package main

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heronwick/wire"
)

// queryAllControllers queries the status of a job at every controller and repeats its
// submission there. It reports every response, except 503, whose job state is not one of
// states.
func (tc *testCluster) queryAllControllers(job int, states ...wire.JobState) {
	tc.t.Helper()
	for i, n := range tc.nodes {
		if n.current.Load() == nil {
			continue
		}
		for request, send := range map[string]func() response{
			"status query":        func() response { return tc.jobStatus(i, job) },
			"repeated submission": func() response { return tc.submit(i, submission(job)) },
		} {
			resp := send()
			if resp.status != 503 && (resp.status != 200 || !slices.Contains(states, resp.state())) {
				tc.t.Errorf("%s to %s about job %d: got %v, want one of %v", request, n.name, job, resp, states)
			}
		}
	}
}

// Guards against stale responses: within milliseconds after a controller has confirmed
// that a job is accepted, cancelled or done, all controllers are queried for its status
// and receive its submission again. Meanwhile a controller restarts, a controller is
// rejected by the key-value store, or responses of the store to executed transactions
// are lost.
func TestNoStaleResponsesRightAfterChange(t *testing.T) {
	noFault := func(*testCluster) {}
	for _, test := range []struct {
		name   string
		inject func(tc *testCluster)
		heal   func(tc *testCluster)
	}{
		{"no fault", noFault, noFault},
		{"a controller has just restarted", func(tc *testCluster) { tc.restart(2, 0) }, noFault},
		{
			"the store rejects a controller",
			func(tc *testCluster) { tc.setStoreRejected(1, true) },
			func(tc *testCluster) { tc.setStoreRejected(1, false) },
		},
		{"responses of the store are lost", func(tc *testCluster) { tc.state.DropResponses(2) }, noFault},
	} {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, 6, tasksRunFor(4*time.Second), func(tc *testCluster) {
				const jobs = 24
				accepted := map[int]bool{}
				for job := range jobs {
					test.inject(tc)
					accepted[job] = tc.submitAndQuery(job)
					time.Sleep(time.Duration(job%4) * 100 * time.Millisecond)
					if job%2 == 0 {
						tc.cancelAndQuery(job)
					}
					test.heal(tc)
					time.Sleep(300 * time.Millisecond)
				}
				for job := range jobs {
					if accepted[job] {
						tc.awaitEndAndQuery(job)
					}
				}
				time.Sleep(20 * time.Second)
				for job := range jobs {
					if accepted[job] {
						tc.queryAllControllers(job, wire.JobDone, wire.JobCancelled)
					}
				}
			})
		})
	}
}

// submitAndQuery submits a job and, if it is accepted, immediately queries all
// controllers.
func (tc *testCluster) submitAndQuery(job int) (accepted bool) {
	tc.t.Helper()
	accepted = tc.submit(job%3, submission(job)).accepted()
	if accepted {
		tc.queryAllControllers(job, wire.JobQueued, wire.JobRunning)
	}
	return accepted
}

// cancelAndQuery cancels a job and, if the cancellation is confirmed, immediately queries
// all controllers.
func (tc *testCluster) cancelAndQuery(job int) {
	tc.t.Helper()
	if tc.cancel((job+1)%3, job).state() == wire.JobCancelled {
		tc.queryAllControllers(job, wire.JobCancelled)
	}
}

// awaitEndAndQuery waits up to 20 s until a job has ended. As soon as a controller reports
// it as done, it queries all controllers.
func (tc *testCluster) awaitEndAndQuery(job int) {
	tc.t.Helper()
	for range 20 {
		switch tc.jobStatus(job%3, job).state() {
		case wire.JobDone:
			tc.queryAllControllers(job, wire.JobDone)
			return
		case wire.JobCancelled:
			return
		}
		time.Sleep(time.Second)
	}
}

// Guards against tasks that run twice or are lost when delayed duplicates of old
// heartbeats from many machines reach all controllers during a leader change.
func TestStaleHeartbeatsAtNewLeaders(t *testing.T) {
	const jobs, services, firstService = 12, 4, 1000
	withCluster(t, 8, func(tc *testCluster) {
		tc.fleet.TaskDuration = func(task string) time.Duration {
			if task >= jobID(firstService) {
				return 0
			}
			return 15 * time.Second
		}
	}, func(tc *testCluster) {
		random := rand.New(rand.NewPCG(1, 1))
		for n := range services {
			tc.expectAccepted(0, firstService+n, service(3))
		}
		for job := range jobs {
			tc.submitUntilAccepted(job%3, submission(job), 300*time.Millisecond) // a controller may have just restarted
			time.Sleep(4 * time.Second)
			if job%3 == 2 {
				tc.restartLeaderAmidStaleHeartbeats(random)
			}
		}
		time.Sleep(time.Minute)
		for job := range jobs {
			tc.expectStateEverywhere(job, wire.JobDone)
		}
		for n := range services {
			tc.expectStateEverywhere(firstService+n, wire.JobRunning)
		}
	})
}

// restartLeaderAmidStaleHeartbeats restarts the leader and sends old heartbeats to all
// controllers until its successor has been the leader for some seconds.
func (tc *testCluster) restartLeaderAmidStaleHeartbeats(random *rand.Rand) {
	leader := tc.leader()
	tc.crash(leader)
	for range 60 {
		for i := range tc.nodes {
			if heartbeat := tc.randomHeartbeat(random); heartbeat != nil {
				tc.sendHeartbeat(i, heartbeat)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	tc.start(leader)
}

// Guards against jobs whose final state differs from what was confirmed to their users.
// Four single-task jobs per second arrive for a minute, a quarter of them are cancelled,
// and the leader restarts four times.
func TestSingleTaskJobsOverLeaderChanges(t *testing.T) {
	withCluster(t, 8, tasksRunFor(2*time.Second), func(tc *testCluster) {
		const jobs = 240
		accepted, cancelled := map[int]bool{}, map[int]bool{}
		for job := range jobs {
			if tc.submitToAny(job%3, submission(job, withTasks(1))).accepted() {
				accepted[job] = true
			}
			if job%4 == 3 {
				target := job - job%3
				cancelled[target] = tc.cancel(job%3, target).state() == wire.JobCancelled
			}
			if job%60 == 50 {
				tc.restartLeader(100 * time.Millisecond)
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(40 * time.Second)
		if minAccepted := jobs * 3 / 4; len(accepted) < minAccepted {
			t.Errorf("got %d of %d jobs accepted, want at least %d", len(accepted), jobs, minAccepted)
		}
		for job := range accepted {
			want := wire.JobDone
			if cancelled[job] {
				want = wire.JobCancelled
			}
			for i, n := range tc.nodes {
				// A cancellation without a response may also have been carried out.
				if resp := tc.jobStatus(i, job); resp.state() != want && resp.state() != wire.JobCancelled {
					t.Errorf("%s about job %d: got %v, want %s", n.name, job, resp, want)
				}
			}
		}
	})
}

// submitToAny sends a submission to the controllers in turn, starting with node first,
// until one accepts it, and returns the last response.
func (tc *testCluster) submitToAny(first int, job map[string]any) (resp response) {
	for i := range tc.nodes {
		resp = tc.submit((first+i)%len(tc.nodes), job)
		if resp.accepted() {
			break
		}
	}
	return resp
}

// Guards against lost jobs and against replicas that run twice or not at all when the
// leader changes ten times in two minutes. Some of the changes happen during a store
// outage, in which no leader can be elected and leases of workers expire.
func TestTenLeaderElectionsInTwoMinutes(t *testing.T) {
	const services, replicas = 4, 3
	withCluster(t, 6, tasksRunUntilStopped, func(tc *testCluster) {
		for job := range services {
			tc.expectAccepted(job%3, job, service(replicas))
		}
		time.Sleep(4 * time.Second)
		tc.expectRunning(services * replicas)
		for change := range 10 {
			if change == 4 {
				tc.state.SetOutage(true)
			}
			failed := change % 3 // if no controller considers itself the leader
			for i, n := range tc.nodes {
				if n.leads() {
					failed = i
				}
			}
			tc.restart(failed, 500*time.Millisecond)
			if change == 6 {
				tc.state.SetOutage(false)
			}
			time.Sleep(11500 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		tc.expectRunning(services * replicas)
		for job := range services {
			tc.expectStateEverywhere(job, wire.JobRunning)
		}
	})
}
