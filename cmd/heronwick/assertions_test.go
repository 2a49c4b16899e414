package main

import (
	"heronwick/wire"
)

// expect sends a request to a node and checks the status code of the response and, if
// state is not empty, the job state in it.
func (tc *testCluster) expect(i int, method, path string, body any, status int, state wire.JobState) {
	tc.t.Helper()
	resp := tc.call(i, method, path, body)
	if resp.status != status || state != "" && resp.state() != state {
		tc.t.Errorf("%s %s on %s: got %v, want %d %q", method, path, tc.nodes[i].name, resp, status, state)
	}
}

// expectSubmit submits a job to a node and checks the response like expect.
func (tc *testCluster) expectSubmit(i int, job any, status int, state wire.JobState) {
	tc.t.Helper()
	tc.expect(i, "POST", wire.PathJobs, job, status, state)
}

// expectAccepted submits a job to a node and expects it to be accepted as a new job.
func (tc *testCluster) expectAccepted(i, job int, options ...jobOption) {
	tc.t.Helper()
	tc.expectSubmit(i, submission(job, options...), 201, "")
}

// expectCancel cancels a job at a node and expects the response to have a job state.
func (tc *testCluster) expectCancel(i, job int, state wire.JobState) {
	tc.t.Helper()
	tc.expect(i, "POST", cancelPath(job), nil, 200, state)
}

// expectState expects a node to return a state for a job.
func (tc *testCluster) expectState(i, job int, state wire.JobState) {
	tc.t.Helper()
	tc.expect(i, "GET", jobPath(job), nil, 200, state)
}

// expectStateEverywhere expects all nodes to return a state for a job.
func (tc *testCluster) expectStateEverywhere(job int, state wire.JobState) {
	tc.t.Helper()
	for i := range tc.nodes {
		tc.expectState(i, job, state)
	}
}

// expectNotFound expects a node to respond 404 to a status query of a job.
func (tc *testCluster) expectNotFound(i, job int) {
	tc.t.Helper()
	tc.expect(i, "GET", jobPath(job), nil, 404, "")
}

// expectRunning expects a number of running tasks.
func (tc *testCluster) expectRunning(want int) {
	tc.t.Helper()
	if running := tc.fleet.Checker.Running(); len(running) != want {
		tc.t.Errorf("got %d running tasks, want %d: %v", len(running), want, running)
	}
}

// expectStarts expects a task to have started a number of times.
func (tc *testCluster) expectStarts(task string, want int) {
	tc.t.Helper()
	if got := tc.fleet.Checker.StartCount(task); got != want {
		tc.t.Errorf("task %s: got %d starts, want %d", task, got, want)
	}
}

// expectRunningStartedOnce expects every running task to have started only once.
func (tc *testCluster) expectRunningStartedOnce() {
	tc.t.Helper()
	for task := range tc.fleet.Checker.Running() {
		tc.expectStarts(task, 1)
	}
}

// expectNoPlaceableTasks expects that no task is waiting although a machine has room
// for it.
func (tc *testCluster) expectNoPlaceableTasks() {
	tc.t.Helper()
	if waiting := tc.fleet.PlaceableTasks(); len(waiting) > 0 {
		tc.t.Errorf("got waiting tasks that fit on a machine, want none: %v", waiting)
	}
}
