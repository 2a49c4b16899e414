package main

import (
	"testing"
	"time"
)

// demandedJob is a job that was submitted under overload.
type demandedJob struct {
	number, tasks        int
	submitted, firstSeen time.Time // firstSeen running; zero until then
}

// classDemand is all the jobs that were submitted, by job class.
type classDemand struct {
	*testCluster
	classes map[string][]*demandedJob
	jobs    int
}

// submitJob submits a job of a class to the controllers in turn.
func (d *classDemand) submitJob(class, team string, tasks int) {
	d.t.Helper()
	submitted := time.Now()
	d.expectAccepted(d.jobs%3, d.jobs, with(fieldClass, class), withTeam(team), withTasks(tasks), with(fieldEstimate, 5.0))
	d.classes[class] = append(d.classes[class], &demandedJob{number: d.jobs, tasks: tasks, submitted: submitted})
	d.jobs++
}

// startedTasks counts the tasks of a job that have started.
func (d *classDemand) startedTasks(job *demandedJob) (count int) {
	for index := range job.tasks {
		count += min(1, d.fleet.Checker.Starts(taskID(job.number, index)))
	}
	return count
}

// observeStarts notes which jobs have started since the last time.
func (d *classDemand) observeStarts() {
	for _, jobs := range d.classes {
		for _, job := range jobs {
			if job.firstSeen.IsZero() && d.startedTasks(job) > 0 {
				job.firstSeen = time.Now()
			}
		}
	}
}

// latestStart is how long after its submission a job has to have started.
const latestStart = 4 * time.Minute

// checkClass checks the jobs of a class that were submitted long enough ago: each has
// started in time, and so have half of their tasks.
func (d *classDemand) checkClass(class string) {
	started, tasks := 0, 0
	for _, job := range d.classes[class] {
		if time.Since(job.submitted) < latestStart {
			continue // it may still start in time
		}
		started, tasks = started+d.startedTasks(job), tasks+job.tasks
		if job.firstSeen.IsZero() || job.firstSeen.Sub(job.submitted) > latestStart {
			d.t.Errorf("class %s: got no start of job %d of %d tasks within %v, want one", class, job.number, job.tasks, latestStart)
		}
	}
	if 2*started < tasks {
		d.t.Errorf("class %s: got %d of %d tasks started, want at least half", class, started, tasks)
	}
}

// Guards against starvation: whatever one team or class demands, and for however
// long, at least half of the demand of every team, of every class and of a class's
// largest jobs is served, and the largest jobs start within four minutes. This holds
// across schedulers that host tasks for each other.
func TestNoStarvationUnderOverload(t *testing.T) {
	withCluster(t, 6, func(tc *testCluster) {
		tc.fleet.Capacity = 6
		tasksRunFor(5 * time.Second)(tc)
	}, func(tc *testCluster) {
		demand := &classDemand{testCluster: tc, classes: map[string][]*demandedJob{}}
		// The demand is 59 CPUs all the time, nearly all by one team; there are 48.
		for second := range 540 {
			demand.submitJob("small", blueTeam, 2)
			demand.submitJob("small", blueTeam, 2)
			if second%10 == 0 {
				demand.submitJob("other", redTeam, 4)
			}
			if second%20 == 0 {
				demand.submitJob("large", blueTeam, 30)
			}
			time.Sleep(time.Second)
			demand.observeStarts()
		}
		for class := range demand.classes {
			demand.checkClass(class)
		}
	})
}
