package main

import (
	"slices"
	"sync"
	"testing"
	"time"

	"heronwick/internal/standin"
	"heronwick/wire"
)

// Guards against an old scheduler that is still active after its controller has lost its
// membership and joined again, because unfinished work delays its shutdown: it must not
// act any more, especially not under the new fencing token. Otherwise it starts tasks a
// second time on machines that another controller owns by now (rule ran_twice).
func TestDeposedSchedulerAnswersNoWorker(t *testing.T) {
	const machines = 4
	withCluster(t, machines, tasksRunUntilStopped, func(tc *testCluster) {
		for job := range 3 {
			tc.expectAccepted(0, job, service(3))
		}
		time.Sleep(3 * time.Second)
		deposed := tc.leader()
		tc.fleet.StallCloud(true)
		time.Sleep(500 * time.Millisecond) // so that a request to the cloud is in flight
		tc.setIsolated(deposed, true)
		time.Sleep(5 * time.Second)
		tc.setIsolated(deposed, false)
		for range 12 {
			time.Sleep(500 * time.Millisecond)
			for n := 1; n <= machines; n++ {
				if nodes := tc.nodesAcceptingHeartbeats(machineName(n)); len(nodes) > 1 {
					t.Fatalf("heartbeats of %s: got them accepted by %v, want at most one controller", machineName(n), nodes)
				}
			}
		}
		if tc.leader() == deposed {
			t.Error("got the same leader throughout, want a leader change, which the test depends on")
		}
		tc.fleet.StallCloud(false)
	})
}

// Guards against contradictory responses when a cancellation, a status query and a
// repeated submission race with the completion of a job's last task: once a final state
// has been reported to one user, every later response must report the same one. A past
// version both cancelled a job and recorded it as done in one transaction (rule
// went_back).
func TestCancelRacingJobCompletion(t *testing.T) {
	const jobs = 40
	withCluster(t, 6, func(tc *testCluster) {
		tc.fleet.TaskDuration = func(task string) time.Duration {
			if task >= firstFillerJob {
				return 10 * time.Millisecond
			}
			return 5 * time.Second
		}
		race := &completionRace{
			testCluster: tc, lastFillerJob: 1000,
			ended: map[string]int{}, reportedDone: map[string]bool{},
		}
		tc.fleet.DeliverHeartbeat = race.deliverHeartbeat
	}, func(tc *testCluster) {
		for job := range jobs {
			// Some attempts are refused, because the filler jobs need many writes.
			tc.submitUntilAccepted(job%3, submission(job), 700*time.Millisecond)
		}
		time.Sleep(time.Minute)
		count := map[wire.JobState]int{}
		for job := range jobs {
			state := tc.jobStatus(0, job).state()
			count[state]++
			tc.expectStateEverywhere(job, state)
		}
		if ended := count[wire.JobDone] + count[wire.JobCancelled]; ended != jobs {
			t.Errorf("got %d jobs that have ended, want %d: %v", ended, jobs, count)
		}
	})
}

// firstFillerJob is the lowest ID of the filler jobs, which only keep the key-value store
// busy.
const firstFillerJob = "wk-001000"

// allThreeTasks is the bit mask of tasks 0 to 2.
const allThreeTasks = 1<<0 | 1<<1 | 1<<2

// completionRace delivers workers' heartbeats. When one reports the completion of a job's
// last task, it immediately sends requests that cancel the job, query its status and
// submit it again.
type completionRace struct {
	*testCluster
	mu            sync.Mutex
	lastFillerJob int             // number of the last filler job
	ended         map[string]int  // by job, a bit mask of the tasks that accepted heartbeats reported done
	reportedDone  map[string]bool // tasks that any heartbeat has reported done
}

func (r *completionRace) deliverHeartbeat(node string, heartbeat *wire.Heartbeat) standin.HeartbeatResponse {
	if r.submitFillersOnDone(heartbeat) {
		time.Sleep(time.Millisecond)
	}
	response := r.testCluster.deliverHeartbeat(node, heartbeat)
	if response.Status == 200 {
		for _, job := range r.newlyCompletedJobs(heartbeat) {
			r.sendUserRequests(job)
		}
	}
	return response
}

// submitFillersOnDone reports whether a heartbeat is the first to report some task done.
// If so, it submits as many filler jobs as writes may be in flight, so that the next
// write has to wait. It does so only for the first report: a worker repeats the report
// until the job's completion is written, and more submissions for each repetition would
// prevent that write.
func (r *completionRace) submitFillersOnDone(heartbeat *wire.Heartbeat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	firstReport := slices.ContainsFunc(heartbeat.Tasks, func(task wire.TaskStatus) bool {
		return task.Reason == wire.ExitDone && task.Task < firstFillerJob && !r.reportedDone[task.Task]
	})
	for _, task := range heartbeat.Tasks {
		r.reportedDone[task.Task] = r.reportedDone[task.Task] || task.Reason == wire.ExitDone
	}
	if !firstReport {
		return false
	}
	for i := range 9 {
		r.lastFillerJob++
		go r.submit(i%3, submission(r.lastFillerJob, withTasks(1)))
	}
	return true
}

// newlyCompletedJobs returns the jobs whose last task is reported done by this heartbeat.
func (r *completionRace) newlyCompletedJobs(heartbeat *wire.Heartbeat) (completed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, task := range heartbeat.Tasks {
		job, index, _ := wire.SplitTaskID(task.Task)
		if task.Reason != wire.ExitDone || job >= firstFillerJob || r.ended[job]&(1<<index) != 0 {
			continue
		}
		r.ended[job] |= 1 << index
		if r.ended[job] == allThreeTasks {
			completed = append(completed, job)
		}
	}
	return completed
}

// sendUserRequests sends every controller two rounds of requests that cancel a job, query
// its status and submit it again: one now and one up to three milliseconds later.
func (r *completionRace) sendUserRequests(job string) {
	delay := time.Duration(job[len(job)-1]%4) * time.Millisecond
	path := wire.PathJobs + "/" + job
	for i := range 6 {
		go func() {
			time.Sleep(time.Duration(i/3) * delay)
			r.call(i%3, "POST", path+"/"+wire.SuffixCancel, nil)
			r.call(i%3, "GET", path, nil)
			r.submit(i%3, submission(0, with(fieldID, job)))
		}()
	}
}
