package standin

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"heronwick/wire"
)

// ObserveRequest records a user's request. It is called before the request is sent.
func (c *Checker) ObserveRequest(method, path string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if path == wire.PathJobs {
		if job, err := wire.ParseJob(body); err == nil {
			c.recordSubmissionLocked(job)
		}
		return
	}
	if id, ok := strings.CutSuffix(strings.TrimPrefix(path, wire.PathJobs+"/"), "/"+wire.SuffixCancel); ok && method == http.MethodPost {
		c.trackedJobLocked(id).cancelRequested = true
	}
}

// recordSubmissionLocked records the first submission of a job.
func (c *Checker) recordSubmissionLocked(job wire.Job) {
	j := c.trackedJobLocked(job.ID)
	if j.submitted {
		return
	}
	j.submitted, j.job = true, job
	for _, dependency := range job.Dependencies {
		j.dependencies = append(j.dependencies, c.trackedJobLocked(dependency))
	}
}

// ObserveResponse is ObserveResponseTo for a request that was sent just now.
func (c *Checker) ObserveResponse(path string, body []byte, status int, jobStatus wire.JobStatus) {
	c.ObserveResponseTo(time.Now(), path, body, status, jobStatus)
}

// ObserveResponseTo checks the response to a user's request, which was sent at a time: its
// HTTP status and, if the request succeeded, the job's status. body is the body of the request.
func (c *Checker) ObserveResponseTo(sent time.Time, path string, body []byte, status int, jobStatus wire.JobStatus) {
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
	j := c.trackedJobLocked(id)
	switch status {
	case http.StatusOK:
		c.checkStateLocked(sent, id, j, jobStatus.State)
	case http.StatusCreated:
		c.checkStateLocked(sent, id, j, jobStatus.State)
		c.checkAcceptableLocked(id, body)
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		if j.accepted {
			c.recordViolationLocked(ruleForgotten, "%s was accepted, but a later response has status %d", id, status)
		}
	}
}

// checkAcceptableLocked checks that an accepted job is valid and can run.
func (c *Checker) checkAcceptableLocked(id string, body []byte) {
	job, err := wire.ParseJob(body)
	switch {
	case err != nil:
		c.recordViolationLocked(ruleAccepted, "%s, which is malformed: %v", id, err)
	case c.Types != nil && !slices.ContainsFunc(c.Types, func(t wire.MachineType) bool { return fitsType(&job, &t) }):
		c.recordViolationLocked(ruleAccepted, "%s, which fits no machine type", id)
	case slices.ContainsFunc(job.Dependencies, func(dependency string) bool { return !c.trackedJobLocked(dependency).submitted }):
		c.recordViolationLocked(ruleAccepted, "%s, which depends on a job that no user has submitted", id)
	case c.exceedsQuota(&job):
		c.recordViolationLocked(ruleAccepted, "%s, which exceeds its team's quota", id)
	}
}

// fitsType reports whether a task of the job fits an empty machine of the given type.
func fitsType(job *wire.Job, t *wire.MachineType) bool {
	return (len(job.Types) == 0 || slices.Contains(job.Types, t.Name)) && (job.Zone == nil || slices.Contains(t.Zones, *job.Zone)) &&
		job.CPUs <= t.CPUs && job.GPUs <= t.GPUs && job.MemoryGB <= t.MemoryGB
}

// checkStateLocked checks a job state that the response to a request sent at a time reports,
// and records it.
func (c *Checker) checkStateLocked(sent time.Time, id string, j *trackedJob, state wire.JobState) {
	if !j.submitted {
		c.recordViolationLocked(ruleInvented, "%s, which no user has submitted, is %s", id, state)
		return
	}
	j.accepted = true
	if !state.Final() && sent.Before(j.finalReportedAt) {
		return // the response may have been given before the job ended
	}
	if j.lastReported.Final() && state != j.lastReported {
		c.recordViolationLocked(ruleWentBack, "%s was %s and is %s", id, j.lastReported, state)
	}
	if state == wire.JobCancelled && !j.selfOrAnyDependency(wasCancelRequested) {
		c.recordViolationLocked(ruleWentBack, "%s is cancelled without a request of a user", id)
	}
	if !state.Final() && j.selfOrAnyDependency(c.cancelTimeoutExpired) {
		c.recordViolationLocked(ruleOrphaned, "%s is %s long after a job that it depends on was cancelled", id, state)
	}
	if state == wire.JobDone && !j.isDone() {
		c.recordViolationLocked(ruleNotDone, "%s is done after %d of %d tasks", id, len(j.done), j.job.Tasks)
	}
	if state == wire.JobCancelled && j.cancelReportedAt.IsZero() {
		j.cancelReportedAt = time.Now()
		if c.CancelTimeout > 0 {
			time.AfterFunc(c.CancelTimeout, func() { c.checkCancelledStopped(id) })
		}
	}
	if state.Final() && !j.lastReported.Final() {
		j.finalReportedAt = time.Now()
	}
	j.lastReported = state
}

// cancelTimeoutExpired reports whether a job was first reported as cancelled more than
// CancelTimeout ago, so that none of its tasks may run any more.
func (c *Checker) cancelTimeoutExpired(j *trackedJob) bool {
	return c.CancelTimeout > 0 && !j.cancelReportedAt.IsZero() && time.Since(j.cancelReportedAt) > c.CancelTimeout
}

// checkCancelledStopped checks that no task of a cancelled job is still running.
func (c *Checker) checkCancelledStopped(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, task := range slices.Sorted(maps.Keys(c.running)) {
		if jobOf(task) == id {
			c.recordViolationLocked(ruleRanCancelled, "%s is still on %s", task, c.running[task].Machine)
		}
	}
}
