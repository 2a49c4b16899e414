package standin

import (
	"slices"
	"time"

	"heronwick/wire"
)

// quotaTolerance is by how many CPUs a sum may exceed a quota because of rounding.
const quotaTolerance = 1e-6

// ObserveCommands checks the starts that a controller commands.
func (c *Checker) ObserveCommands(commands []wire.Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, command := range commands {
		j := c.jobs[jobOf(command.Task)]
		if command.Op != wire.OpStart || j == nil || c.NoStartAfter <= 0 || j.cancelled.IsZero() {
			continue
		}
		if late := time.Since(j.cancelled); late > c.NoStartAfter {
			c.violateLocked(ruleRanCancelled, "%s is to be started %v after its user was told that it is cancelled", command.Task, late)
		}
	}
}

// ObserveStart checks the start of a task, once it has its image.
func (c *Checker) ObserveStart(task string, at Location) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := jobOf(task)
	j := c.jobLocked(id)
	if other, ok := c.running[task]; ok {
		c.violateLocked(ruleRanTwice, "%s starts on %s while on %s", task, at.Machine, other.Machine)
	}
	if c.cancelOverdue(j) {
		c.violateLocked(ruleRanCancelled, "%s starts", task)
	}
	for _, dependency := range j.dependencies {
		if !dependency.isDone() {
			c.violateLocked(ruleTooEarly, "%s starts before %s is done", task, dependency.job.ID)
		}
	}
	if !c.allowsLocked(j, id, at) {
		c.violateLocked(ruleWrongPlace, "%s starts on %+v", task, at)
	}
	c.starts[task]++
	c.running[task] = at
	c.checkQuotaLocked(j.job.Team)
}

// checkQuotaLocked checks that a team's running tasks stay within its quota.
func (c *Checker) checkQuotaLocked(team string) {
	limit, limited := c.TeamQuotas[team]
	if !limited {
		return
	}
	used := 0.0
	for task := range c.running {
		if j := c.jobs[jobOf(task)]; j.job.Team == team {
			used += j.job.CPUs
		}
	}
	if used > limit+quotaTolerance {
		c.violateLocked(ruleQuota, "%s uses %v of %v CPUs", team, used, limit)
	}
}

// allowsLocked reports whether a job allows one more task at a location, with its other tasks
// where they run.
func (c *Checker) allowsLocked(j *trackedJob, id string, at Location) bool {
	if !j.submitted {
		return true // a task that only a test of this package knows
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

// ObserveExit takes note that a task no longer runs; done reports whether it ended well.
func (c *Checker) ObserveExit(task string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, task)
	if id, _, ok := wire.SplitTaskID(task); ok && done {
		c.jobLocked(id).done[task] = true
	}
}
