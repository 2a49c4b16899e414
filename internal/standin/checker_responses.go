package standin

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"heronwick/wire"
)

// ObserveRequest takes note of a user's request before it is sent.
func (c *Checker) ObserveRequest(method, path string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if path == wire.PathJobs {
		if job, err := wire.ParseJob(body); err == nil {
			c.submittedLocked(job)
		}
		return
	}
	if id, ok := strings.CutSuffix(strings.TrimPrefix(path, wire.PathJobs+"/"), "/"+wire.SuffixCancel); ok && method == http.MethodPost {
		c.jobLocked(id).cancelRequested = true
	}
}

// submittedLocked notes the first submission of a job.
func (c *Checker) submittedLocked(job wire.Job) {
	j := c.jobLocked(job.ID)
	if j.submitted {
		return
	}
	j.submitted, j.job = true, job
	for _, dependency := range job.Dependencies {
		j.dependencies = append(j.dependencies, c.jobLocked(dependency))
	}
}

// ObserveResponse checks the response to a user's request: its HTTP status, and the job's
// status in its body if it succeeded. body is that of the request.
func (c *Checker) ObserveResponse(path string, body []byte, status int, answer wire.JobStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathJobs+"/"), "/")
	if path == wire.PathJobs {
		job, _ := wire.ParseJob(body)
		id = job.ID
	}
	if !wire.ValidJobID(id) || !strings.HasPrefix(path, wire.PathJobs) {
		return
	}
	j := c.jobLocked(id)
	switch status {
	case http.StatusOK:
		c.checkStateLocked(id, j, answer.State)
	case http.StatusCreated:
		c.checkStateLocked(id, j, answer.State)
		c.checkAcceptedLocked(id, body)
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		if j.accepted {
			c.violateLocked(ruleForgotten, "%s is answered %d", id, status)
		}
	}
}

// checkAcceptedLocked checks that the job that was accepted can run.
func (c *Checker) checkAcceptedLocked(id string, body []byte) {
	job, err := wire.ParseJob(body)
	switch limit, limited := c.TeamQuotas[job.Team]; {
	case err != nil:
		c.violateLocked(ruleAccepted, "%s, which is malformed: %v", id, err)
	case c.Types != nil && !slices.ContainsFunc(c.Types, func(t wire.MachineType) bool { return fitsType(&job, &t) }):
		c.violateLocked(ruleAccepted, "%s, which fits no machine type", id)
	case slices.ContainsFunc(job.Dependencies, func(dependency string) bool { return !c.jobLocked(dependency).submitted }):
		c.violateLocked(ruleAccepted, "%s, which depends on a job that no user has submitted", id)
	case limited && (job.CPUs > limit || job.Kind == wire.KindService && job.CPUs*float64(job.Tasks) > limit):
		c.violateLocked(ruleAccepted, "%s, which exceeds its team's quota", id)
	}
}

// fitsType reports whether a task of the job can run on an empty machine of a type.
func fitsType(job *wire.Job, t *wire.MachineType) bool {
	return (len(job.Types) == 0 || slices.Contains(job.Types, t.Name)) && (job.Zone == nil || slices.Contains(t.Zones, *job.Zone)) &&
		job.CPUs <= t.CPUs && job.GPUs <= t.GPUs && job.MemoryGB <= t.MemoryGB
}

// checkStateLocked checks a job's state as its user is told, and takes note of it.
func (c *Checker) checkStateLocked(id string, j *trackedJob, state wire.JobState) {
	if !j.submitted {
		c.violateLocked(ruleInvented, "%s, which no user has submitted, is %s", id, state)
		return
	}
	j.accepted = true
	if j.reported.Final() && state != j.reported {
		c.violateLocked(ruleWentBack, "%s was %s and is %s", id, j.reported, state)
	}
	if state == wire.JobCancelled && !j.anyDependency(wasCancelRequested) {
		c.violateLocked(ruleWentBack, "%s is cancelled, which no user asked for", id)
	}
	if !state.Final() && j.anyDependency(c.cancelOverdue) {
		c.violateLocked(ruleOrphaned, "%s is %s long after a job that it depends on was cancelled", id, state)
	}
	if state == wire.JobDone && !j.isDone() {
		c.violateLocked(ruleNotDone, "%s is done after %d of %d tasks", id, len(j.done), j.job.Tasks)
	}
	if state == wire.JobCancelled && j.cancelled.IsZero() {
		j.cancelled = time.Now()
		if c.CancelTimeout > 0 {
			time.AfterFunc(c.CancelTimeout, func() { c.checkCancelledGone(id) })
		}
	}
	j.reported = state
}

// cancelOverdue reports whether the time is over in which a cancelled job's tasks must be
// gone.
func (c *Checker) cancelOverdue(j *trackedJob) bool {
	return c.CancelTimeout > 0 && !j.cancelled.IsZero() && time.Since(j.cancelled) > c.CancelTimeout
}

// checkCancelledGone checks that no task of a cancelled job runs any more.
func (c *Checker) checkCancelledGone(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, task := range slices.Sorted(maps.Keys(c.running)) {
		if jobOf(task) == id {
			c.violateLocked(ruleRanCancelled, "%s is still on %s", task, c.running[task].Machine)
		}
	}
}
