package main

import (
	"testing"
	"time"
)

// submittedJob is a job that was submitted in an overloadRun.
type submittedJob struct {
	number, tasks int
	// startSeenAt is when recordStarts first found that a task had started, or zero.
	submittedAt, startSeenAt time.Time
}

// overloadRun is one run of a cluster whose demand exceeds its capacity.
type overloadRun struct {
	*testCluster
	classes map[string][]*submittedJob // all submitted jobs, by job class
	jobs    int                        // number of submitted jobs, and of the next job
}

// submitJob submits a job of a class, to a different controller each time.
func (r *overloadRun) submitJob(class, team string, tasks int) {
	r.t.Helper()
	submittedAt := time.Now()
	r.expectAccepted(r.jobs%3, r.jobs, with(fieldClass, class), withTeam(team), withTasks(tasks), with(fieldEstimate, 5.0))
	r.classes[class] = append(r.classes[class], &submittedJob{number: r.jobs, tasks: tasks, submittedAt: submittedAt})
	r.jobs++
}

// startedTasks returns the number of a job's tasks that have started.
func (r *overloadRun) startedTasks(job *submittedJob) (count int) {
	for index := range job.tasks {
		count += min(1, r.fleet.Checker.StartCount(taskID(job.number, index)))
	}
	return count
}

// recordStarts records which jobs have started since the last call.
func (r *overloadRun) recordStarts() {
	for _, jobs := range r.classes {
		for _, job := range jobs {
			if job.startSeenAt.IsZero() && r.startedTasks(job) > 0 {
				job.startSeenAt = time.Now()
			}
		}
	}
}

// maxStartDelay is the time within which a submitted job must start.
const maxStartDelay = 4 * time.Minute

// checkClass checks the jobs of a class that were submitted at least maxStartDelay ago:
// each started within that time, and at least half of all their tasks have started.
func (r *overloadRun) checkClass(class string) {
	started, tasks := 0, 0
	for _, job := range r.classes[class] {
		if time.Since(job.submittedAt) < maxStartDelay {
			continue // it may still start in time
		}
		started, tasks = started+r.startedTasks(job), tasks+job.tasks
		if job.startSeenAt.IsZero() || job.startSeenAt.Sub(job.submittedAt) > maxStartDelay {
			r.t.Errorf("class %s: job %d of %d tasks: got no task started within %v, want at least one", class, job.number, job.tasks, maxStartDelay)
		}
	}
	if 2*started < tasks {
		r.t.Errorf("class %s: got %d of %d tasks started, want at least half", class, started, tasks)
	}
}

// Guards against starvation under a lasting overload that one team or class causes: at
// least half of the demand of every team, of every class and of a class's largest jobs
// is served, and the largest jobs start within four minutes. This also holds when
// schedulers host tasks for each other.
func TestNoStarvationUnderOverload(t *testing.T) {
	withCluster(t, 6, func(tc *testCluster) {
		tc.fleet.Capacity = 6
		tasksRunFor(5 * time.Second)(tc)
	}, func(tc *testCluster) {
		run := &overloadRun{testCluster: tc, classes: map[string][]*submittedJob{}}
		// The demand is a constant 59 CPUs, nearly all from one team; the cluster has 48.
		for second := range 540 {
			run.submitJob("small", blueTeam, 2)
			run.submitJob("small", blueTeam, 2)
			if second%10 == 0 {
				run.submitJob("other", redTeam, 4)
			}
			if second%20 == 0 {
				run.submitJob("large", blueTeam, 30)
			}
			time.Sleep(time.Second)
			run.recordStarts()
		}
		for class := range run.classes {
			run.checkClass(class)
		}
	})
}
