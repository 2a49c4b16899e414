package standin

import (
	"slices"
	"time"

	"heronwick/wire"
)

// ObserveCommands checks that a controller commands no start of a task more than NoStartAfter
// after its job was reported as cancelled.
func (c *Checker) ObserveCommands(commands []wire.Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, command := range commands {
		j := c.jobs[jobOf(command.Task)]
		if command.Op != wire.OpStart || j == nil || c.NoStartAfter <= 0 || j.cancelReportedAt.IsZero() {
			continue
		}
		if late := time.Since(j.cancelReportedAt); late > c.NoStartAfter {
			c.recordViolationLocked(ruleRanCancelled, "a start of %s is commanded %v after its job was reported as cancelled", command.Task, late)
		}
	}
}

// ObserveStart checks the start of a task, after the worker has fetched its image.
func (c *Checker) ObserveStart(task string, at Location) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := jobOf(task)
	j := c.trackedJobLocked(id)
	if other, ok := c.running[task]; ok {
		c.recordViolationLocked(ruleRanTwice, "%s starts on %s while on %s", task, at.Machine, other.Machine)
	}
	if c.cancelTimeoutExpired(j) {
		c.recordViolationLocked(ruleRanCancelled, "%s starts after the cancel timeout of its job", task)
	}
	for _, dependency := range j.dependencies {
		if !dependency.isDone() {
			c.recordViolationLocked(ruleTooEarly, "%s starts before %s is done", task, dependency.job.ID)
		}
	}
	if !c.allowsLocked(j, id, at) {
		c.recordViolationLocked(ruleWrongPlace, "%s starts on %+v", task, at)
	}
	c.starts[task]++
	c.running[task] = at
	c.checkQuotaLocked(j.job.Team)
}

// allowsLocked reports whether a job allows another of its tasks at a location, given where
// its other tasks run.
func (c *Checker) allowsLocked(j *trackedJob, id string, at Location) bool {
	if !j.submitted {
		return true // only tests of this package run tasks without a submitted job
	}
	job := &j.job
	if at.Spot && !job.Spot || job.Zone != nil && *job.Zone != at.Zone || len(job.Types) > 0 && !slices.Contains(job.Types, at.Type) {
		return false
	}
	if !job.Spread && !job.OneZone {
		return true
	}
	inZone := 1
	for task, other := range c.running {
		switch {
		case jobOf(task) != id:
		case other.Zone == at.Zone:
			inZone++
		case job.OneZone:
			return false
		}
	}
	return !job.Spread || inZone <= (job.Tasks+1)/2
}

// resultKept reports whether a task is done: its result is kept, and if the task is started
// again, it exits as soon as its image has been fetched.
func (c *Checker) resultKept(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[jobOf(task)]
	return j != nil && j.done[task]
}

// ObserveExit records that a task no longer runs; done reports whether it succeeded.
func (c *Checker) ObserveExit(task string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, task)
	if id, _, ok := wire.SplitTaskID(task); ok && done {
		c.trackedJobLocked(id).done[task] = true
	}
}
