package main

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"heronwick/wire"
)

// Guards against controllers that respond differently about the same job: from its
// acceptance until after it is done, every controller reports the same state in response
// to submissions, status queries and cancellations.
func TestJobFromSubmissionToDone(t *testing.T) {
	withCluster(t, 2, nil, func(tc *testCluster) {
		tc.expectNotFound(0, 1)
		tc.expectSubmit(0, submission(1), 201, wire.JobQueued)
		tc.expectSubmit(1, submission(1), 200, "")
		time.Sleep(5 * time.Second)
		tc.expectStateEverywhere(1, wire.JobRunning)
		time.Sleep(25 * time.Second)
		tc.expectStateEverywhere(1, wire.JobDone)
		// A late retry returns the job's state even if its other fields are invalid.
		tc.expectSubmit(2, submission(1, with(fieldCPUs, -1)), 200, wire.JobDone)
		tc.expectCancel(2, 1, wire.JobDone)
		tc.expectState(0, 1, wire.JobDone)
	})
}

// Guards against invalid requests that are accepted, or rejected with the wrong status
// or without naming the invalid field.
func TestInvalidRequestsAreRejected(t *testing.T) {
	withCluster(t, 1, nil, func(tc *testCluster) {
		for _, test := range []struct {
			name   string
			body   any
			status int
			field  string // named in the response; "": not checked
		}{
			{"not JSON", "{", 400, ""},
			{"not an object", "[1]", 400, ""},
			{"null", "null", 400, ""},
			{"invalid ID", submission(1, with(fieldID, "x")), 400, fieldID},
			{"missing field", submission(1, without(fieldMemory)), 400, fieldMemory},
			{"null field", submission(1, with(fieldSpread, nil)), 400, fieldSpread},
			{"wrong type", submission(1, with(fieldCPUs, "4")), 400, fieldCPUs},
			{"too many tasks", submission(1, withTasks(100001)), 400, fieldTasks},
			{"fractional task count", submission(1, with(fieldTasks, 1.5)), 400, fieldTasks},
			{"number out of range", strings.Replace(mustMarshal(submission(1)), `"cores":2`, `"cores":1e999`, 1), 400, fieldCPUs},
			{"unknown kind", submission(1, with(fieldKind, "trot")), 400, fieldKind},
			{"unknown priority", submission(1, withPriority("top")), 400, fieldPriority},
			{"unknown team", submission(1, withTeam("green")), 422, fieldTeam},
			{"fits no machine type", submission(1, with(fieldCPUs, 9)), 422, ""},
			{"over the team's quota", submission(1, withTeam(redTeam), service(9)), 422, fieldTasks},
		} {
			resp := tc.submit(0, test.body)
			field, _ := resp.fields["field"].(string)
			if resp.status != test.status || test.field != "" && field != test.field {
				t.Errorf("%s: got %v, want status %d and field %q", test.name, resp, test.status, test.field)
			}
		}
		tc.expectNotFound(0, 999999)
		tc.expect(0, "GET", wire.PathJobs+"/nonsense", nil, 404, "")
		tc.expect(0, "POST", cancelPath(999999), nil, 404, "")
		tc.expect(0, "GET", "/nothing", nil, 404, "")
		tc.expect(0, "DELETE", wire.PathJobs, nil, 405, "")
		tc.expect(0, "GET", wire.PathReady, nil, 200, "")
	})
}

func mustMarshal(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// Guards against tasks that keep running after their job was cancelled, also when a new
// leader learns of the tasks only from the workers' heartbeats.
func TestCancelRunningJob(t *testing.T) {
	withCluster(t, 2, tasksRunUntilStopped, func(tc *testCluster) {
		tc.expectAccepted(0, 1, service(3))
		tc.expectAccepted(0, 2, service(3))
		time.Sleep(3 * time.Second)
		tc.expectCancel(1, 1, wire.JobCancelled)
		time.Sleep(3 * time.Second)
		tc.expectRunning(3) // the tasks of job 2
		leader := tc.leader()
		tc.crash(leader)
		tc.expectCancel((leader+1)%3, 2, wire.JobCancelled)
		time.Sleep(10 * time.Second)
		tc.expectRunning(0)
	})
}

// Guards against a task that starts because commands reach its worker only after its job was
// cancelled: no direct command starts it, and no reply does any more.
func TestCancelWithLateStart(t *testing.T) {
	withCluster(t, 1, nil, func(tc *testCluster) {
		tc.fleet.HoldCommands(machineName(1), true)
		tc.fleet.DropHeartbeats(machineName(1), true)
		time.Sleep(time.Second) // until no reply is held
		tc.expectAccepted(0, 1)
		time.Sleep(100 * time.Millisecond)
		tc.expectCancel(1, 1, wire.JobCancelled)
		time.Sleep(10 * time.Second)
		tc.fleet.HoldCommands(machineName(1), false)
		tc.fleet.DropHeartbeats(machineName(1), false)
		time.Sleep(3 * time.Second)
		tc.expectStarts(taskID(1, 0), 0)
		tc.expectStateEverywhere(1, wire.JobCancelled)
	})
}

// Guards against a faulty machine that is kept, so that its tasks fail again and again,
// and against a faulty job that causes the machines on which it fails to be returned.
func TestFailingMachineAndFailingJob(t *testing.T) {
	const failingJob, jobs = 99, 6
	withCluster(t, 3, func(tc *testCluster) {
		tc.fleet.TaskFails = func(job, machine string) bool { return machine == machineName(1) || job == jobID(failingJob) }
	}, func(tc *testCluster) {
		tc.expectAccepted(0, failingJob)
		for job := range jobs {
			tc.expectAccepted(0, job)
			time.Sleep(2 * time.Second)
		}
		time.Sleep(60 * time.Second)
		for job := range jobs {
			tc.expectState(0, job, wire.JobDone)
		}
		if want := []string{machineName(1)}; !slices.Equal(tc.fleet.ReturnedMachines, want) {
			t.Errorf("got returned machines %v, want %v", tc.fleet.ReturnedMachines, want)
		}
		tc.expectState(0, failingJob, "")
		tc.expectCancel(1, failingJob, wire.JobCancelled)
	})
}

// Guards against metrics that are missing from a controller's /metrics page.
func TestMetrics(t *testing.T) {
	withCluster(t, 1, nil, func(tc *testCluster) {
		page := string(tc.call(tc.leader(), "GET", "/metrics", nil).body)
		for _, want := range []string{"heronwick_share_machines 1", `heronwick_answers_total{request="report",status="200"}`} {
			if !strings.Contains(page, want) {
				t.Errorf("got metrics without %q, want it included", want)
			}
		}
	})
}
